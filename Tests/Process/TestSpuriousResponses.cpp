#include "GatewayCluster.h"

#include <absl/strings/str_cat.h>
#include <atomic>
#include <chrono>
#include <doctest.h>
#include <mutex>
#include <set>
#include <thread>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

/// Bytes that an endpoint writes in place of its response to a request that it has run.
struct SpuriousResponse
{
  std::string m_status_line;
  /// Complete lines.
  std::string m_fields;
  std::string m_body;
  bool m_names_request = false;

  std::string To(const RawRequest& aRequest) const
  {
    const std::string response =
      absl::StrCat("HTTP/1.1 ", m_status_line, "\r\n", m_fields, "\r\n", m_body);
    return m_names_request ? WithIdOf(aRequest, response) : response;
  }
};

constexpr const char* kNineBytes = "Content-Type: text/plain\r\nContent-Length: 9\r\n";
constexpr const char* kChunked = "Transfer-Encoding: chunked\r\n";
/// A response before the final one, with fields that count only in that.
constexpr const char* kInformational =
  "103 Early Hints\r\nX-Response-Seal: s\r\nX-Not-Executed: 1\r\n\r\nHTTP/1.1 ";
constexpr const char* kEvents = "Content-Type: text/event-stream\r\nConnection: close\r\n";

std::vector<SpuriousResponse>
WithAndWithoutId(const std::vector<SpuriousResponse>& aResponses)
{
  std::vector<SpuriousResponse> all;
  for (SpuriousResponse response : aResponses) {
    all.push_back(response);
    response.m_names_request = true;
    all.push_back(response);
  }
  return all;
}

/// Two endpoints, of which the one that gets a request first writes a spurious response to it.
class SpuriousCluster
{
public:
  SpuriousCluster()
  {
    for (std::size_t i = 0; i < 2; ++i) {
      m_cluster.Endpoint(i).SetBehaviour(
        [this](RawConnection& aConnection, const RawRequest& aRequest) {
          const std::string spurious = SpuriousResponseTo(aRequest);
          if (spurious.empty()) {
            return RespondWithSuccess(aConnection, aRequest);
          }
          aConnection.Write(spurious);
          return true;
        });
    }
  }

  GatewayCluster& Cluster() { return m_cluster; }
  /// Makes the first response to each further request spurious.
  void WriteSpurious(const SpuriousResponse& aResponse)
  {
    const std::lock_guard lock(m_mutex);
    m_spurious = aResponse;
  }
  /// Serves further requests, so that their connections are idle afterwards.
  void OpenConnections()
  {
    const std::lock_guard lock(m_mutex);
    m_spurious = std::nullopt;
  }
  std::string NextId() { return absl::StrCat("r-", ++m_last_id); }

private:
  std::string SpuriousResponseTo(const RawRequest& aRequest)
  {
    const std::lock_guard lock(m_mutex);
    const bool is_first = m_seen.insert(aRequest.Header("x-request-id")).second;
    return m_spurious && is_first ? m_spurious->To(aRequest) : "";
  }

  std::mutex m_mutex;
  std::optional<SpuriousResponse> m_spurious;
  std::set<std::string> m_seen;
  int m_last_id = 0;
  GatewayCluster m_cluster;
};

/// Lets each kind of request meet a spurious response on a new connection, then on a used one. No
/// caller may get any of it: an idempotent request is served by the other endpoint, the outcome of
/// another one stays open.
void
CheckIsDiscarded(const SpuriousResponse& aResponse)
{
  CAPTURE(aResponse.m_status_line);
  CAPTURE(aResponse.m_fields);
  CAPTURE(aResponse.m_names_request);
  SpuriousCluster endpoints;
  GatewayCluster& cluster = endpoints.Cluster();
  for (const bool is_used : { false, true }) {
    CAPTURE(is_used);
    for (const std::string path : { "/safe/x", "/unsafe/x", "/stream/x", "/resumable/x" }) {
      CAPTURE(path);
      if (is_used) {
        endpoints.OpenConnections();
        CHECK(cluster.Call(path, endpoints.NextId()).m_status == 200);
      }
      endpoints.WriteSpurious(aResponse);
      const std::string id = endpoints.NextId();
      const CallerResponse response = cluster.Call(path, id);
      const bool may_repeat = path == "/safe/x" || path == "/resumable/x";
      CHECK(response.m_status == (may_repeat ? 200 : 502));
      CHECK(response.Header("x-response-seal") == (may_repeat ? "seal-1" : ""));
      CHECK(response.m_body == (may_repeat ? "answer to " + id : ""));
      CHECK(cluster.RunsOf(id) == (may_repeat ? 2 : 1));
    }
  }
}

}

// Guards against bytes without a signature that reach callers as a success.
TEST_CASE("Spurious responses: a success without an id or a signature reaches no caller")
{
  for (const SpuriousResponse& response :
       WithAndWithoutId({ { "200 OK", kNineBytes, "It works!" },
                          { "201 Created", kNineBytes, "It works!" },
                          { "204 No Content", "", "" },
                          { "206 Partial Content", kNineBytes, "It works!" },
                          { "200 OK", kChunked, "9\r\nIt works!\r\n0\r\n\r\n" },
                          { "200 OK", kEvents, "id: 1\ndata: a\n\n" },
                          { absl::StrCat(kInformational, "200 OK"), kNineBytes, "It works!" } })) {
    CheckIsDiscarded(response);
  }
  CheckIsDiscarded(
    { "200 OK", absl::StrCat("X-Response-Seal: foreign\r\n", kNineBytes), "It works!" });
}

// Guards against "not run" for a request that has run, and against its second run.
TEST_CASE("Spurious responses: a failure or refusal without an id or a statement proves nothing")
{
  for (const SpuriousResponse& response : WithAndWithoutId(
         { { "503 Service Unavailable", kNineBytes, "It works!" },
           { "429 Too Many", absl::StrCat("Retry-After: 1\r\n", kNineBytes), "slow down" },
           { "421 Misdirected Request", kNineBytes, "It works!" },
           { "421 Misdirected Request",
             absl::StrCat("X-Instance-Id: i-9\r\n", kNineBytes),
             "It works!" },
           { absl::StrCat(kInformational, "503 Service Unavailable"), kNineBytes, "It works!" },
           { "408 Request Timeout", "Content-Length: 0\r\n", "" } })) {
    CheckIsDiscarded(response);
  }
  for (const std::string status : { "503 Service Unavailable", "421 Misdirected Request" }) {
    CheckIsDiscarded({ status, absl::StrCat("X-Not-Executed: 1\r\n", kNineBytes), "It works!" });
  }
  for (const std::string status : { "500 Oops", "504 Late", "404 Not Found", "302 Found" }) {
    CheckIsDiscarded({ status, kNineBytes, "It works!" });
  }
}

// Guards against a rest, limit or leaving that a faulty endpoint did not state.
TEST_CASE("Spurious responses: what they state about the endpoint binds nothing")
{
  GatewayCluster cluster(1, 1);
  std::atomic<int> count = 0;
  cluster.Endpoint(0).SetBehaviour([&](RawConnection& aConnection, const RawRequest& aRequest) {
    if (aRequest.Path() != "/unsafe/spurious") {
      return RespondWithSuccess(aConnection, aRequest);
    }
    aConnection.Write(SpuriousResponse{
      "503 X",
      "Server-Leaving: 1\r\nRetry-After: 60\r\nServer-Limit: 0.001\r\nContent-Length: 0\r\n",
      "",
      ++count % 2 == 0 }
                        .To(aRequest));
    return true;
  });
  for (int number = 0; number < 4; ++number) {
    CHECK(cluster.Call("/unsafe/spurious", absl::StrCat("f-", number)).m_status == 502);
    CHECK(cluster.Call("/unsafe/x", absl::StrCat("sound-", number)).m_status == 200);
  }
}

// Guards against a spurious response that one of two daemons passes on.
TEST_CASE("Spurious responses: one to a forwarded request proves nothing")
{
  GatewayClusterOptions options;
  options.m_daemons = 2;
  options.m_endpoints = 2;
  options.m_has_endpoint_paths = true;
  GatewayCluster cluster(options);
  cluster.CutFromEndpoints(0, EndpointCut::RefuseNew);
  int number = 0;
  REQUIRE(WaitFor([&] {
    return cluster.Call("/safe/x", absl::StrCat("warm-", ++number)).m_status == 200 &&
           cluster.LogOfDaemon(0).find("event=forwarded request=warm") != std::string::npos;
  }));
  for (const SpuriousResponse& response :
       WithAndWithoutId({ { "200 OK", kNineBytes, "It works!" },
                          { "503 Service Unavailable", kNineBytes, "It works!" },
                          { "421 Misdirected Request", kNineBytes, "It works!" } })) {
    CAPTURE(response.m_status_line);
    CAPTURE(response.m_names_request);
    for (std::size_t i = 0; i < 2; ++i) {
      cluster.Endpoint(i).SetBehaviour([&](RawConnection& aConnection, const RawRequest& aRequest) {
        aConnection.Write(response.To(aRequest));
        return true;
      });
    }
    for (const std::string path : { "/unsafe/x", "/stream/x", "/safe/x" }) {
      const std::string id = absl::StrCat("forwarded-", ++number);
      const CallerResponse answer = cluster.Call(path, id);
      CHECK(answer.m_status == 502);
      CHECK(answer.m_body.empty());
      CHECK(cluster.RunsOf(id) >= 1);
      CHECK((cluster.RunsOf(id) == 1 || path == "/safe/x"));
    }
  }
}

// Guards against an encoded body, which is not the endpoint's.
TEST_CASE("Spurious responses: one with a content coding reaches no caller, signed or not")
{
  const std::string fields = absl::StrCat("Content-Encoding: gzip\r\n", kNineBytes);
  for (const std::string status : { "200 OK", "404 Not Found", "500 Oops" }) {
    CheckIsDiscarded({ status, absl::StrCat("X-Response-Seal: s\r\n", fields), "It works!", true });
  }
}

// Guards against a resumed stream that a spurious response ends as if it were complete.
TEST_CASE("Spurious responses: one to a resumed stream neither continues nor ends it")
{
  GatewayCluster cluster;
  for (const SpuriousResponse& spurious :
       WithAndWithoutId({ { "200 OK", "Content-Length: 7\r\n", "foreign" },
                          { "200 OK", "Connection: close\r\n", "id: 2\ndata: b\n\n" },
                          { "200 OK", kEvents, "id: 2\ndata: b\n\n" } })) {
    CAPTURE(spurious.m_fields);
    CAPTURE(spurious.m_names_request);
    for (std::size_t i = 0; i < 2; ++i) {
      cluster.Endpoint(i).SetBehaviour([&](RawConnection& aConnection, const RawRequest& aRequest) {
        const bool is_resumed = !aRequest.Header("last-event-id").empty();
        const std::string begin = absl::StrCat(
          "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n", kEvents, "\r\nid: 1\ndata: a\n\nid: 2");
        aConnection.Write(is_resumed ? spurious.To(aRequest) : WithIdOf(aRequest, begin));
        return false;
      });
    }
    const std::string id =
      absl::StrCat("resumed-", spurious.m_fields.size(), spurious.m_body.size());
    const CallerResponse response =
      cluster.Call("/resumable/x", absl::StrCat(id, spurious.m_names_request));
    CHECK(response.m_status == 200);
    CHECK_FALSE(response.m_is_complete);
    CHECK(response.m_body == "id: 1\ndata: a\n\n");
  }
}

// Guards against an endpoint that gets no more requests after a few spurious responses.
TEST_CASE("Spurious responses: one in twenty from each endpoint does not empty the service")
{
  // As many as the endpoints have slots, so that requests wait unless both are in use.
  constexpr int kCallers = 8;
  constexpr int kRequestsOfCaller = 50;
  constexpr int kRequests = kCallers * kRequestsOfCaller;
  constexpr int kSpuriousOneIn = 20;
  GatewayCluster cluster;
  std::atomic<int> arrivals = 0;
  for (std::size_t i = 0; i < 2; ++i) {
    cluster.Endpoint(i).SetBehaviour([&](RawConnection& aConnection, const RawRequest& aRequest) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      if (++arrivals % kSpuriousOneIn != 0) {
        return RespondWithSuccess(aConnection, aRequest);
      }
      aConnection.Write(SpuriousResponse{ "200 OK", kNineBytes, "It works!" }.To(aRequest));
      return true;
    });
  }
  std::atomic<int> served = 0;
  std::atomic<int> open = 0;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int number = 0; number < kRequestsOfCaller; ++number) {
        const CallerResponse response = cluster.Call(number % 2 == 0 ? "/safe/x" : "/unsafe/x",
                                                     absl::StrCat("s-", caller, "-", number));
        served += response.m_status == 200 ? 1 : 0;
        open += response.m_status == 502 ? 1 : 0;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(served + open == kRequests);
  CHECK(open <= arrivals / kSpuriousOneIn);
  for (std::size_t i = 0; i < 2; ++i) {
    CHECK(cluster.Endpoint(i).Requests().size() > kRequests / 4);
  }
}

// Guards against a discarded response that logs and metrics do not show.
TEST_CASE("Spurious responses: the log and a counter say which endpoint wrote one, and why")
{
  GatewayCluster cluster(1, 1);
  cluster.Endpoint(0).SetBehaviour([](RawConnection& aConnection, const RawRequest& aRequest) {
    aConnection.Write(SpuriousResponse{ "200 OK", kNineBytes, "It works!", true }.To(aRequest));
    return true;
  });
  CHECK(cluster.Call("/unsafe/x", "seen").m_status == 502);
  CHECK(WaitFor([&] {
    return cluster.LogOfDaemon(0).find(
             "event=response-discarded request=seen service=s endpoint=i-0 "
             "via=none status=200 why=unsigned") != std::string::npos;
  }));
  const std::string metrics =
    Exchange(cluster.MetricsAddress(0), "GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n");
  CHECK(metrics.find("auburnhitch_endpoint_responses_discarded_total{service=\"s\","
                     "why=\"unsigned\"} 1") != std::string::npos);
}

// Guards against an invalid status that is passed on or taken for an informational response.
TEST_CASE("A response with an invalid status reaches no caller")
{
  GatewayCluster cluster;
  std::atomic<int> arrivals = 0;
  for (const std::string status : { "000", "0", "099", "20", "-200", "2000", "600", "999" }) {
    CAPTURE(status);
    for (const std::string follows : { "", "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n" }) {
      for (std::size_t i = 0; i < 2; ++i) {
        cluster.Endpoint(i).SetBehaviour(
          [&](RawConnection& aConnection, const RawRequest& aRequest) {
            if (arrivals++ > 0) {
              return RespondWithSuccess(aConnection, aRequest);
            }
            const std::string fields = "X-Response-Seal: s\r\nContent-Length: 0\r\n\r\n";
            aConnection.Write(
              WithIdOf(aRequest, absl::StrCat("HTTP/1.1 ", status, " X\r\n", fields)));
            if (!follows.empty()) {
              aConnection.Write(WithIdOf(aRequest, follows + "Content-Length: 2\r\n\r\nno"));
            }
            return true;
          });
      }
      for (const std::string path : { "/safe/x", "/unsafe/x", "/stream/x", "/resumable/x" }) {
        arrivals = 0;
        const std::string id = absl::StrCat(status, follows.size(), path);
        const CallerResponse response = cluster.Call(path, id);
        const bool may_repeat = path == "/safe/x" || path == "/resumable/x";
        CHECK(response.m_status == (may_repeat ? 200 : 502));
        CHECK(response.m_body == (may_repeat ? "answer to " + id : ""));
      }
    }
  }
}
