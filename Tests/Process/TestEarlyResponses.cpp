#include "GatewayCluster.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <chrono>
#include <doctest.h>
#include <thread>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

using Ms = std::chrono::milliseconds;

/// One upload that fits into the buffer of the daemon's socket, and one that does not.
constexpr std::array<std::size_t, 2> kUploadBytes{ 768 << 10, 4 << 20 };
constexpr int kEventsOfPart = 1'000;

/// How an endpoint ends the connection on which it has responded to an upload that it does not
/// read.
enum class EarlyEnd
{
  Reset,
  /// The system resets the connection, since the upload is unread.
  Close,
  /// The end of the response arrives before the reset.
  FinishAndReset,
};

/// A part of a body that ends after a whole event.
std::string
Part()
{
  std::string part;
  for (int number = 0; number < kEventsOfPart; ++number) {
    part += "data: event\n\n";
  }
  return part;
}

/// Responds as soon as the head of a request is there, writes a part of the body and ends the
/// connection while the request is still being written.
void
RespondEarly(RawConnection& aConnection, const std::string& aHead, EarlyEnd aEnd, Ms aPause)
{
  const auto request = aConnection.ReadHead();
  if (!request) {
    return;
  }
  aConnection.Write(WithIdOf(*request, aHead) + Part());
  std::this_thread::sleep_for(aPause);
  if (aEnd == EarlyEnd::Close) {
    aConnection.Close();
    return;
  }
  if (aEnd == EarlyEnd::FinishAndReset) {
    aConnection.FinishWriting();
    std::this_thread::sleep_for(Ms(20));
  }
  aConnection.Reset();
}

CallerResponse
Upload(const GatewayCluster& aCluster,
       const std::string& aPath,
       const std::string& aRequestId,
       std::size_t aBytes)
{
  return ParseResponse(Exchange(aCluster.CallerAddress(0),
                                absl::StrCat("POST ",
                                             aPath,
                                             " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: ",
                                             aRequestId,
                                             "\r\nAuthorization: Bearer key-1\r\n"
                                             "X-Deadline-Ms: 4000\r\nConnection: close\r\n"
                                             "Content-Length: ",
                                             aBytes,
                                             "\r\n\r\n",
                                             std::string(aBytes, 'u'))));
}

}

// Guards against a truncated response to an upload that reaches the caller as complete.
TEST_CASE("Early responses: one that breaks off while the upload is written is not complete")
{
  GatewayCluster cluster(1, 1);
  cluster.Configure([](nlohmann::json& aConfiguration) {
    aConfiguration["limits"]["max_body_bytes"] = kUploadBytes.back();
  });
  REQUIRE(WaitFor(
    [&] { return cluster.LogOfDaemon(0).find("event=in-force version=2") != std::string::npos; }));
  std::string head;
  EarlyEnd end = EarlyEnd::Reset;
  Ms pause{ 0 };
  RawServer server(
    [&](RawConnection& aConnection) { RespondEarly(aConnection, head, end, pause); });
  cluster.Register(0, "ready", { { "address", server.Address().Value() }, { "born", 2 } });
  REQUIRE(
    WaitFor([&] { return cluster.LogOfDaemon(0).find("event=restarted") != std::string::npos; }));
  int number = 0;
  const std::string sealed = "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n";
  for (const std::string& fields :
       { sealed + "\r\n",
         sealed + "Connection: close\r\n\r\n",
         sealed + "Content-Length: 40000\r\n\r\n",
         sealed + "Content-Type: text/event-stream\r\n\r\n",
         std::string("HTTP/1.0 200 OK\r\nX-Response-Seal: s\r\n\r\n") }) {
    for (const EarlyEnd early_end :
         { EarlyEnd::Reset, EarlyEnd::Close, EarlyEnd::FinishAndReset }) {
      for (const Ms early_pause : { Ms(0), Ms(100) }) {
        for (const std::string path : { "/unsafe/x", "/stream/x" }) {
          for (const std::size_t bytes : kUploadBytes) {
            head = fields;
            end = early_end;
            pause = early_pause;
            CAPTURE(fields);
            CAPTURE(static_cast<int>(early_end));
            CAPTURE(early_pause.count());
            CAPTURE(path);
            CAPTURE(bytes);
            const CallerResponse response =
              Upload(cluster, path, absl::StrCat("early-", ++number), bytes);
            CHECK((response.m_status == 502 || !response.m_is_complete));
          }
        }
      }
    }
  }
}
