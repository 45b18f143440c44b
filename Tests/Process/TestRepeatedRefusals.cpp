#include "GatewayCluster.h"

#include <absl/strings/str_cat.h>
#include <chrono>
#include <csignal>
#include <doctest.h>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

using Ms = std::chrono::milliseconds;

/// A refusal of a request; without a request id if the id is empty.
std::string
RefusalOf(const std::string& aRequestId)
{
  return absl::StrCat("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n",
                      aRequestId.empty() ? "" : absl::StrCat("X-Request-Id: ", aRequestId, "\r\n"),
                      "Content-Length: 0\r\n\r\n");
}

bool
IsRefusal(const CallerResponse& aResponse)
{
  return aResponse.m_status == 503 || aResponse.m_status == 429 || aResponse.m_status == 421;
}

}

TEST_CASE("Repeated refusals: one without a request id on a reused connection proves nothing")
{
  GatewayCluster cluster(1, 1);
  std::atomic<int> requests_on_reused = 0;
  std::mutex mutex;
  std::map<std::string, int> runs;
  RawServer server([&](RawConnection& aConnection) {
    for (int number = 0;; ++number) {
      const auto request = aConnection.ReadRequest();
      if (!request) {
        return;
      }
      {
        const std::lock_guard lock(mutex);
        ++runs[request->Header("x-request-id")];
      }
      if (number == 0) {
        RespondWithSuccess(aConnection, *request);
        continue;
      }
      // The request runs, while the refusal of another one is written once more.
      ++requests_on_reused;
      aConnection.Write(RefusalOf(""));
    }
  });
  cluster.Register(0, "ready", { { "address", server.Address().Value() }, { "born", 2 } });
  REQUIRE(
    WaitFor([&] { return cluster.LogOfDaemon(0).find("event=restarted") != std::string::npos; }));
  int told_not_run = 0;
  for (int number = 0; number < 10; ++number) {
    told_not_run += IsRefusal(cluster.Call("/unsafe/x", absl::StrCat("r", number))) ? 1 : 0;
  }
  CHECK(requests_on_reused > 0);
  CHECK(told_not_run == 0);
  for (const auto& [id, count] : runs) {
    CHECK(count == 1);
  }
}

TEST_CASE("A response that names no request is passed to no caller, and its connection closed")
{
  GatewayCluster cluster(1, 1);
  std::mutex mutex;
  std::vector<int> requests_of_connections;
  RawServer server([&](RawConnection& aConnection) {
    for (int number = 0; aConnection.ReadRequest(); ++number) {
      {
        const std::lock_guard lock(mutex);
        requests_of_connections.push_back(number);
      }
      aConnection.Write("HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok");
    }
  });
  cluster.Register(0, "ready", { { "address", server.Address().Value() }, { "born", 2 } });
  REQUIRE(
    WaitFor([&] { return cluster.LogOfDaemon(0).find("event=restarted") != std::string::npos; }));
  for (int number = 0; number < 10; ++number) {
    const CallerResponse response = cluster.Call("/unsafe/x", absl::StrCat("r", number));
    CHECK(response.m_status == 502);
    CHECK(response.m_body.empty());
  }
  const std::lock_guard lock(mutex);
  CHECK(requests_of_connections == std::vector<int>(10, 0));
}

TEST_CASE("Repeated refusals: one of the same request, sent again to its endpoint, proves nothing")
{
  // The endpoint refuses each id once, and writes that refusal once more on any connection that is
  // in use already, while the request runs.
  GatewayCluster cluster(1, 1);
  std::mutex mutex;
  std::map<std::string, int> arrivals;
  std::map<std::string, int> runs;
  RawServer server([&](RawConnection& aConnection) {
    for (int number = 0;; ++number) {
      const auto request = aConnection.ReadRequest();
      if (!request) {
        return;
      }
      const std::string id = request->Header("x-request-id");
      const bool is_twice = id.find("twice") == 0;
      std::unique_lock lock(mutex);
      if (is_twice && ++arrivals[id] == 1) {
        lock.unlock();
        aConnection.Write(RefusalOf(id));
        continue;
      }
      ++runs[id];
      lock.unlock();
      if (is_twice && number > 0) {
        aConnection.Write(RefusalOf(id));
        continue;
      }
      RespondWithSuccess(aConnection, *request);
    }
  });
  cluster.Register(0, "ready", { { "address", server.Address().Value() }, { "born", 2 } });
  REQUIRE(
    WaitFor([&] { return cluster.LogOfDaemon(0).find("event=restarted") != std::string::npos; }));
  for (int number = 0; number < 10; ++number) {
    const std::string id = absl::StrCat("twice-", number);
    // Leaves idle connections for the next request.
    std::thread other([&] { cluster.Call("/unsafe/x", absl::StrCat("other-a-", number)); });
    cluster.Call("/unsafe/x", absl::StrCat("other-b-", number));
    other.join();
    // A caller may send its request again under the same id after it was refused.
    bool is_refused = true;
    for (int attempt = 0; attempt < 3 && is_refused; ++attempt) {
      is_refused = IsRefusal(cluster.Call("/unsafe/x", id));
      const std::lock_guard lock(mutex);
      CHECK_FALSE((is_refused && runs[id] > 0));
    }
    const std::lock_guard lock(mutex);
    CHECK(runs[id] <= 1);
  }
}

TEST_CASE(
  "Repeated refusals: one of a request that its caller sends again under the same id proves "
  "nothing")
{
  // More than a daemon sends one request to endpoints.
  constexpr int kRefusals = 6;
  GatewayCluster cluster(1, 1);
  std::mutex mutex;
  int arrivals = 0;
  int runs = 0;
  RawServer server([&](RawConnection& aConnection) {
    for (int number = 0;; ++number) {
      const auto request = aConnection.ReadRequest();
      if (!request) {
        return;
      }
      if (request->Header("x-request-id") != "again") {
        RespondWithSuccess(aConnection, *request);
        continue;
      }
      std::unique_lock lock(mutex);
      const bool is_refused = ++arrivals <= kRefusals;
      runs += is_refused ? 0 : 1;
      lock.unlock();
      if (is_refused || number > 0) {
        aConnection.Write(RefusalOf("again"));
      } else {
        RespondWithSuccess(aConnection, *request);
      }
    }
  });
  cluster.Register(0, "ready", { { "address", server.Address().Value() }, { "born", 2 } });
  REQUIRE(
    WaitFor([&] { return cluster.LogOfDaemon(0).find("event=restarted") != std::string::npos; }));
  int number = 0;
  const bool has_run = WaitFor([&] {
    CHECK(cluster.Call("/unsafe/x", absl::StrCat("other-", ++number)).m_status == 200);
    const CallerResponse response = cluster.Call("/unsafe/x", "again");
    const std::lock_guard lock(mutex);
    CHECK_FALSE((IsRefusal(response) && runs > 0));
    return runs > 0;
  });
  CHECK(has_run);
  CHECK(runs == 1);
}

TEST_CASE("Repeated refusals: one that arrived before the request was written is no response to it")
{
  GatewayCluster cluster(1, 1);
  std::atomic<bool> is_stale_written = false;
  std::atomic<int> told_not_run = 0;
  cluster.Endpoint(0).SetBehaviour([&](RawConnection& aConnection, const RawRequest& aRequest) {
    if (aRequest.Header("x-request-id") != "first") {
      return RespondWithSuccess(aConnection, aRequest);
    }
    RespondWithSuccess(aConnection, aRequest);
    // Arrives on the idle connection while the daemon is paused.
    cluster.Daemon(0).Signal(SIGSTOP);
    std::this_thread::sleep_for(Ms(50));
    aConnection.Write(RefusalOf("second"));
    is_stale_written = true;
    return true;
  });
  for (int round = 0; round < 10; ++round) {
    is_stale_written = false;
    std::thread first([&] { cluster.Call("/unsafe/x", "first"); });
    REQUIRE(WaitFor([&] { return is_stale_written.load(); }));
    const int before = cluster.RunsOf("second");
    CallerResponse response;
    std::thread second([&] { response = cluster.Call("/unsafe/x", "second"); });
    std::this_thread::sleep_for(Ms(50));
    cluster.Daemon(0).Signal(SIGCONT);
    first.join();
    second.join();
    told_not_run += IsRefusal(response) && cluster.RunsOf("second") > before ? 1 : 0;
  }
  CHECK(told_not_run == 0);
}

TEST_CASE(
  "Repeated refusals: one in the middle of an event stream, or behind it, is no event of it")
{
  GatewayCluster cluster(1, 1);
  const auto stream = [&](const std::string& aFraming, const std::string& aBody) {
    cluster.Endpoint(0).SetBehaviour(
      [aFraming, aBody](RawConnection& aConnection, const RawRequest& aRequest) {
        aConnection.Write(absl::StrCat("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n",
                                       aFraming,
                                       "X-Response-Seal: s\r\nX-Request-Id: ",
                                       aRequest.Header("x-request-id"),
                                       "\r\n\r\n",
                                       aBody));
        return !aFraming.empty();
      });
  };
  const std::string event = "id: 1\ndata: a\n\n";
  const std::string chunk = absl::StrCat("f\r\n", event, "\r\n");
  int number = 0;
  for (const char* path : { "/stream/x", "/resumable/x" }) {
    for (const std::string& id : { std::string(), absl::StrCat("s-", number + 1) }) {
      CAPTURE(path);
      const std::string refusal = RefusalOf(id);
      stream("Transfer-Encoding: chunked\r\n", chunk + refusal);
      const CallerResponse in_chunks = cluster.Call(path, absl::StrCat("s-", ++number));
      CHECK_FALSE((in_chunks.m_status == 200 && in_chunks.m_is_complete));
      CHECK(in_chunks.m_body.find("503") == std::string::npos);
      stream("", absl::StrCat(event, refusal, "id: 2\ndata: b\n\n"));
      const CallerResponse until_close = cluster.Call(path, absl::StrCat("s-", ++number));
      CHECK_FALSE((until_close.m_status == 200 && until_close.m_is_complete));
      CHECK(until_close.m_body.find("503") == std::string::npos);
      stream("Transfer-Encoding: chunked\r\n", absl::StrCat(chunk, "0\r\n\r\n", refusal));
      const CallerResponse behind = cluster.Call(path, absl::StrCat("s-", ++number));
      CHECK(behind.m_is_complete);
      CHECK(behind.m_body == event);
      cluster.Endpoint(0).SetBehaviour(RespondWithSuccess);
      CHECK(cluster.Call("/unsafe/x", absl::StrCat("after-", number)).m_status == 200);
    }
  }
}

TEST_CASE(
  "Repeated refusals: what one without a request id states binds nothing on a reused connection")
{
  GatewayCluster cluster(1, 1);
  std::atomic<int> on_reused = 0;
  RawServer server([&](RawConnection& aConnection) {
    for (int number = 0;; ++number) {
      const auto request = aConnection.ReadRequest();
      if (!request) {
        return;
      }
      if (number == 0) {
        RespondWithSuccess(aConnection, *request);
        continue;
      }
      ++on_reused;
      aConnection.Write("HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nServer-Limit: 0.001\r\n"
                        "Content-Length: 0\r\n\r\n");
    }
  });
  cluster.Register(0, "ready", { { "address", server.Address().Value() }, { "born", 2 } });
  REQUIRE(
    WaitFor([&] { return cluster.LogOfDaemon(0).find("event=restarted") != std::string::npos; }));
  for (int number = 0; number < 10; ++number) {
    cluster.Call("/unsafe/x", absl::StrCat("r", number));
  }
  CHECK(on_reused > 0);
  CHECK(cluster.LogOfDaemon(0).find("event=limit-learned") == std::string::npos);
}

TEST_CASE("Repeated refusals: one of a request for the endpoint that was at the address before")
{
  // More than the slots of one endpoint, so that both ids are used.
  constexpr int kCallers = 16;
  constexpr int kCalls = 20;
  constexpr std::chrono::milliseconds kWorkTime{ 5 };
  GatewayCluster cluster;
  std::mutex mutex;
  std::map<std::string, int> runs;
  std::map<std::string, std::string> refusals;
  cluster.Endpoint(0).SetBehaviour([&](RawConnection& aConnection, const RawRequest& aRequest) {
    const std::string id = aRequest.Header("x-request-id");
    std::string repeated;
    {
      const std::lock_guard lock(mutex);
      if (aRequest.Header("x-expect-instance") != cluster.IdOf(1)) {
        refusals[id] = absl::StrCat("HTTP/1.1 421 X\r\nX-Not-Executed: 1\r\nX-Request-Id: ",
                                    id,
                                    "\r\nContent-Length: 0\r\n\r\n");
        repeated = refusals[id];
      } else {
        ++runs[id];
        thread_local int t_requests = 0;
        const bool is_kept = t_requests++ > 0;
        repeated = is_kept ? refusals[id] : "";
      }
    }
    if (!repeated.empty()) {
      aConnection.Write(repeated);
      return true;
    }
    std::this_thread::sleep_for(kWorkTime);
    return RespondWithSuccess(aConnection, aRequest);
  });
  // The endpoint registers under another id at the same address.
  cluster.Register(1, "ready", { { "address", cluster.Endpoint(0).Address().Value() } });
  REQUIRE(WaitFor([&] {
    static int s_count = 0;
    cluster.Call("/safe/x", absl::StrCat("warm-", ++s_count));
    const std::lock_guard lock(mutex);
    return !runs.empty();
  }));
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int call = 0; call < kCalls; ++call) {
        cluster.Call("/unsafe/x", absl::StrCat("unsafe-", caller, "-", call));
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK_FALSE(refusals.empty());
  for (const auto& entry : runs) {
    const std::string& id = entry.first;
    INFO(id);
    CHECK((!id.starts_with("unsafe-") || entry.second <= 1));
  }
}
