#include "GatewayCluster.h"

#include <absl/strings/str_cat.h>
#include <doctest.h>
#include <thread>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

/// A response that continues until the caller closes: bytes that come first, then bytes that are
/// repeated.
struct EndlessResponse
{
  std::string m_name;
  std::string m_begin;
  std::string m_repeated;
  /// Between two repetitions.
  std::chrono::milliseconds m_pause{ 0 };
};

constexpr const char* kHead = "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n";
// Far above the buffers of a socket, and far below what a flood writes within a deadline.
constexpr std::size_t kMaxBytesWritten = 64 << 20;

std::vector<EndlessResponse>
EndlessHeads()
{
  const std::string block(1'000, 'x');
  return {
    { "bytes that are no HTTP", "", block },
    { "a status line", "HTTP/1.1 200 ", block },
    { "a header line", absl::StrCat(kHead, "X-Long: "), block },
    { "header lines", kHead, absl::StrCat("X-Next: ", block, "\r\n") },
    { "informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "a chunk extension", absl::StrCat(kHead, "Transfer-Encoding: chunked\r\n\r\n2;"), block },
    { "trailer fields",
      absl::StrCat(kHead, "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"),
      absl::StrCat("X-Next: ", block, "\r\n") },
    { "a body without a length", absl::StrCat(kHead, "\r\n"), block },
    { "a head, one byte at a time", kHead, "X", std::chrono::milliseconds(100) }
  };
}

/// Writes an endless response and returns how many bytes were written before the caller closed.
std::size_t
Flood(RawConnection& aConnection, const RawRequest& aRequest, const EndlessResponse& aResponse)
{
  const std::string& begin = aResponse.m_begin;
  std::size_t written = begin.size();
  bool is_open = aConnection.Write(begin.starts_with(kHead) ? WithIdOf(aRequest, begin) : begin);
  while (is_open && written < kMaxBytesWritten) {
    is_open = aConnection.Write(aResponse.m_repeated);
    written += aResponse.m_repeated.size();
    if (aResponse.m_pause.count() > 0) {
      std::this_thread::sleep_for(aResponse.m_pause);
    }
  }
  return written;
}

}

TEST_CASE("An endpoint whose response never ends costs bounded memory, and the request is retried")
{
  for (const EndlessResponse& response : EndlessHeads()) {
    CAPTURE(response.m_name);
    GatewayCluster cluster;
    std::atomic<std::size_t> written = 0;
    cluster.Endpoint(0).SetBehaviour([&](RawConnection& aConnection, const RawRequest& aRequest) {
      written = std::max<std::size_t>(written, Flood(aConnection, aRequest, response));
      return false;
    });
    // The endpoints take turns at the latest when one of them is suspected.
    for (int number = 0; cluster.Endpoint(0).Requests().empty() && number < 200; ++number) {
      const std::string id = absl::StrCat("endless-", number);
      const CallerResponse answer = cluster.Call("/safe/x", id);
      CHECK(answer.m_status == 200);
      CHECK(answer.m_body == "answer to " + id);
    }
    CHECK(cluster.Endpoint(0).Requests().size() == 1);
    CHECK(WaitFor([&] { return written > 0; }));
    CHECK(written < kMaxBytesWritten);
  }
}

TEST_CASE("A stream whose event never ends is cut, and continues at another endpoint")
{
  for (const std::string head : { "Content-Type: text/event-stream\r\n", "" }) {
    CAPTURE(head);
    GatewayCluster cluster;
    std::atomic<std::size_t> written = 0;
    const EndlessResponse endless{ "an event",
                                   absl::StrCat(kHead, head, "\r\nid: 1\ndata: a\n\nid: 2\ndata: "),
                                   std::string(1'000, 'x') };
    for (std::size_t i = 0; i < 2; ++i) {
      cluster.Endpoint(i).SetBehaviour([&](RawConnection& aConnection, const RawRequest& aRequest) {
        if (aRequest.Header("last-event-id").empty()) {
          written = std::max<std::size_t>(written, Flood(aConnection, aRequest, endless));
          return false;
        }
        aConnection.Write(
          WithIdOf(aRequest,
                   absl::StrCat(kHead,
                                "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                                "id: 2\ndata: b\n\n")));
        return false;
      });
    }
    const CallerResponse resumed = cluster.Call("/resumable/x", "resumable");
    CHECK(resumed.m_is_complete);
    CHECK(resumed.m_body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    const CallerResponse cut = cluster.Call("/stream/x", "stream");
    CHECK(cut.m_status == 200);
    CHECK_FALSE(cut.m_is_complete);
    CHECK(WaitFor([&] { return written > 0; }));
    CHECK(written < kMaxBytesWritten);
  }
}

// Guards against a response that is no event stream by its type and is kept as one event.
TEST_CASE(
  "A response to a resumable stream that never ends costs bounded memory, whatever its type")
{
  const std::string block(1'000, 'x');
  const std::string chunk = absl::StrCat("3e8\r\n", block, "\r\n");
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string binary = "Content-Type: application/octet-stream\r\n";
  for (const EndlessResponse& response : std::vector<EndlessResponse>{
         { "octets without a length", absl::StrCat(kHead, binary, "\r\n"), block },
         { "octets in chunks", absl::StrCat(kHead, binary, chunked, "\r\n"), chunk },
         { "chunks without a type", absl::StrCat(kHead, chunked, "\r\n"), chunk },
         { "octets of a great length",
           absl::StrCat(kHead, binary, "Content-Length: 1000000000\r\n\r\n"),
           block } }) {
    CAPTURE(response.m_name);
    GatewayCluster cluster;
    std::atomic<std::size_t> written = 0;
    std::atomic<bool> is_first = true;
    for (std::size_t i = 0; i < 2; ++i) {
      cluster.Endpoint(i).SetBehaviour([&](RawConnection& aConnection, const RawRequest& aRequest) {
        if (!is_first.exchange(false)) {
          return RespondWithSuccess(aConnection, aRequest);
        }
        written = Flood(aConnection, aRequest, response);
        return false;
      });
    }
    const CallerResponse answer = cluster.Call("/resumable/x", "endless");
    CHECK(answer.m_status == 200);
    const bool is_of_other_endpoint = answer.m_body == "answer to endless";
    CHECK(is_of_other_endpoint);
    CHECK(WaitFor([&] { return written > 0; }));
    CHECK(written < kMaxBytesWritten);
  }
}

TEST_CASE("Bytes without end on an idle connection end that connection only")
{
  GatewayCluster cluster(1, 1);
  std::atomic<std::size_t> written = 0;
  std::atomic<bool> is_first = true;
  cluster.Endpoint(0).SetBehaviour([&](RawConnection& aConnection, const RawRequest& aRequest) {
    RespondWithSuccess(aConnection, aRequest);
    if (is_first.exchange(false)) {
      written =
        Flood(aConnection, aRequest, { "after the response", "x", std::string(1'000, 'x') });
      return false;
    }
    return true;
  });
  CHECK(cluster.Call("/safe/x", "idle-1").m_body == "answer to idle-1");
  CHECK(WaitFor([&] { return written > 0; }));
  CHECK(written < kMaxBytesWritten);
  CHECK(cluster.Call("/safe/x", "idle-2").m_body == "answer to idle-2");
}

TEST_CASE("A slow stream is passed on whole, one that only sends a byte now and then ends")
{
  constexpr std::chrono::milliseconds kPause{ 700 };
  constexpr int kEvents = 4;
  GatewayCluster cluster(1, 1);
  cluster.Configure([](nlohmann::json& aConfiguration) {
    for (nlohmann::json& route : aConfiguration["routes"]) {
      route["timeout_ms"] = 4'000;
    }
  });
  REQUIRE(WaitFor(
    [&] { return cluster.LogOfDaemon(0).find("event=in-force version=2") != std::string::npos; }));
  std::string events;
  for (int number = 1; number <= kEvents; ++number) {
    events += absl::StrCat("id: ", number, "\ndata: ", number, "\n\n");
  }
  cluster.Endpoint(0).SetBehaviour([&](RawConnection& aConnection, const RawRequest& aRequest) {
    const bool stalls = aRequest.Header("x-request-id").starts_with("stalled");
    aConnection.Write(absl::StrCat(kHead,
                                   "X-Request-Id: ",
                                   aRequest.Header("x-request-id"),
                                   "\r\nContent-Type: text/event-stream\r\n",
                                   "Transfer-Encoding: chunked\r\n\r\n"));
    const std::size_t step = events.size() / kEvents;
    for (int number = 0; stalls || number < kEvents; ++number) {
      const std::string part =
        stalls ? std::string(":") : events.substr(static_cast<std::size_t>(number) * step, step);
      if (!aConnection.Write(absl::StrCat(absl::Hex(part.size()), "\r\n", part, "\r\n"))) {
        return false;
      }
      std::this_thread::sleep_for(kPause);
    }
    aConnection.Write("0\r\n\r\n");
    return true;
  });
  for (const char* path : { "/stream/x", "/resumable/x" }) {
    CAPTURE(path);
    const CallerResponse slow = cluster.Call(path, absl::StrCat("slow", path));
    CHECK(slow.m_status == 200);
    CHECK(slow.m_is_complete);
    CHECK(slow.m_body == events);
    const CallerResponse stalled = cluster.Call(path, absl::StrCat("stalled", path));
    CHECK_FALSE((stalled.m_status == 200 && stalled.m_is_complete));
  }
}
