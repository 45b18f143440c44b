#include "GatewayCluster.h"
#include "LeavingChecker.h"
#include "StatementCases.h"

#include <absl/strings/str_cat.h>
#include <csignal>
#include <doctest.h>
#include <thread>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

using Ms = std::chrono::milliseconds;

constexpr std::size_t kDaemons = 3;
constexpr std::size_t kEndpoints = 2;
constexpr std::size_t kCallersPerDaemon = 3;
// Longer than the time for which requests may still arrive at an endpoint that leaves.
constexpr Ms kLoadTime{ 4'000 };
constexpr Ms kDisturbanceTime{ 1'500 };

const EndpointStatement kLeaves{ "200 OK",
                                 "Server-Leaving: 1\r\nX-Response-Seal: s\r\n",
                                 "ok",
                                 "the endpoint has said that it leaves" };

/// How an endpoint that leaves responds.
enum class Farewell
{
  Success,
  /// Refuses to run the request.
  Refusal,
  Error,
};

/// Daemons under load, and endpoints that may say in their responses that they leave.
class LeavingCluster
{
public:
  explicit LeavingCluster(bool aHasPeerNetwork = false)
    : m_cluster(GatewayClusterOptions{ kDaemons, kEndpoints, 1, false, {}, aHasPeerNetwork })
  {
    for (std::size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
      m_cluster.Endpoint(endpoint).SetBehaviour(
        [this, endpoint](RawConnection& aConnection, const RawRequest& aRequest) {
          return Serve(endpoint, aConnection, aRequest);
        });
    }
  }

  void SetLeaving(std::size_t aEndpoint, bool aIsLeaving, Farewell aFarewell = Farewell::Success)
  {
    m_farewell = aFarewell;
    m_is_leaving[aEndpoint] = aIsLeaving;
  }

  /// Starts another incarnation of an endpoint under the same id, which is not registered yet.
  void Restart(std::size_t aEndpoint)
  {
    ++m_incarnations[aEndpoint];
    m_is_leaving[aEndpoint] = false;
  }

  /// Sends requests to all daemons without a pause until aAction has returned.
  void RunUnderLoad(const std::function<void()>& aAction)
  {
    std::atomic<bool> is_over = false;
    std::vector<std::thread> callers;
    for (std::size_t caller = 0; caller < kDaemons * kCallersPerDaemon; ++caller) {
      callers.emplace_back([this, &is_over, daemon = caller % kDaemons] {
        while (!is_over) {
          if (Call(daemon).m_status != 200) {
            std::this_thread::sleep_for(Ms(5));
          }
        }
      });
    }
    aAction();
    is_over = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
  }

  CallerResponse Call(std::size_t aDaemon, const std::string& aPath = "/safe/x")
  {
    // The ids begin with the number of the daemon.
    const std::string id = absl::StrCat(aDaemon, "-", ++m_last_id);
    {
      const std::lock_guard lock(m_mutex);
      m_sent_at[id] = LeavingChecker::Clock::now();
    }
    CallerResponse response = m_cluster.Call(aPath, id, "", aDaemon);
    if (response.Header("server-leaving") == "1") {
      m_checkers[response.Header("x-endpoint") == "0" ? 0 : 1].RecordForwarded(
        aDaemon, std::stoi(response.Header("x-incarnation")));
    }
    return response;
  }

  /// Disturbs one daemon after the other. One of them is the coordinator each time.
  void DisturbEach(const std::function<void(std::size_t aDaemon)>& aBegin,
                   const std::function<void(std::size_t aDaemon)>& aEnd)
  {
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      aBegin(daemon);
      std::this_thread::sleep_for(kDisturbanceTime);
      for (LeavingChecker& checker : m_checkers) {
        checker.RecordDisturbance(daemon);
      }
      aEnd(daemon);
      std::this_thread::sleep_for(kLoadTime);
    }
  }

  std::size_t Received(std::size_t aEndpoint) { return m_received[aEndpoint]; }
  GatewayCluster& Daemons() { return m_cluster; }
  LeavingChecker& CheckerOf(std::size_t aEndpoint) { return m_checkers[aEndpoint]; }

  std::string FirstViolation() const
  {
    for (const LeavingChecker& checker : m_checkers) {
      if (const auto violations = checker.Violations(); !violations.empty()) {
        return absl::StrCat(violations.front(), " (", violations.size(), " in all)");
      }
    }
    return "none";
  }

private:
  bool Serve(std::size_t aEndpoint, RawConnection& aConnection, const RawRequest& aRequest)
  {
    const std::string id = aRequest.Header("x-request-id");
    LeavingChecker::Clock::time_point sent_at;
    {
      const std::lock_guard lock(m_mutex);
      sent_at = m_sent_at.at(id);
    }
    ++m_received[aEndpoint];
    m_checkers[aEndpoint].RecordArrival(
      static_cast<std::size_t>(id.front() - '0'), m_incarnations[aEndpoint], sent_at, id);
    const std::string statements =
      absl::StrCat("X-Request-Id: ",
                   id,
                   "\r\nX-Endpoint: ",
                   aEndpoint,
                   "\r\nX-Incarnation: ",
                   m_incarnations[aEndpoint].load(),
                   m_is_leaving[aEndpoint] ? "\r\nServer-Leaving: 1\r\n" : "\r\n");
    if (aRequest.m_target.starts_with("/stream/")) {
      aConnection.Write(absl::StrCat("HTTP/1.1 200 OK\r\n",
                                     statements,
                                     "X-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n"
                                     "e\r\nid: 1\ndata: x\n\n\r\n"));
      aConnection.WaitForClose();
      return false;
    }
    const Farewell farewell = m_is_leaving[aEndpoint] ? m_farewell.load() : Farewell::Success;
    switch (farewell) {
      case Farewell::Success:
        aConnection.Write(absl::StrCat(
          "HTTP/1.1 200 OK\r\n", statements, "X-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok"));
        return true;
      case Farewell::Refusal:
        aConnection.Write(
          absl::StrCat("HTTP/1.1 503 X\r\n",
                       statements,
                       "X-Not-Executed: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"));
        return true;
      case Farewell::Error:
        aConnection.Write(absl::StrCat(
          "HTTP/1.1 404 X\r\n", statements, "X-Response-Seal: s\r\nContent-Length: 0\r\n\r\n"));
        return true;
    }
    return false;
  }

  std::atomic<int> m_last_id = 0;
  std::atomic<Farewell> m_farewell = Farewell::Success;
  std::array<std::atomic<int>, kEndpoints> m_incarnations{ 1, 1 };
  std::array<std::atomic<bool>, kEndpoints> m_is_leaving{};
  std::array<std::atomic<std::size_t>, kEndpoints> m_received{};
  std::array<LeavingChecker, kEndpoints> m_checkers;
  std::mutex m_mutex;
  std::map<std::string, LeavingChecker::Clock::time_point> m_sent_at;
  GatewayCluster m_cluster;
};

/// Starts the load, lets the first endpoint leave, and runs aAction once a daemon knows.
void
LeaveUnderLoad(LeavingCluster& aCluster, const std::function<void()>& aAction)
{
  aCluster.RunUnderLoad([&] {
    REQUIRE(WaitFor([&] { return aCluster.Received(0) > 50; }));
    aCluster.SetLeaving(0, true);
    REQUIRE(WaitFor([&] { return aCluster.CheckerOf(0).ForwardedCount() > 0; }));
    aAction();
  });
}

}

TEST_CASE(
  "Leaving: an endpoint that says so gets no more requests though it is registered as ready")
{
  LeavingCluster cluster;
  LeaveUnderLoad(cluster, [] { std::this_thread::sleep_for(kLoadTime); });
  CHECK(cluster.FirstViolation() == "none");
  const std::size_t received = cluster.Received(0);
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    CHECK(cluster.Call(daemon).m_status == 200);
  }
  CHECK(cluster.Received(0) == received);
}

TEST_CASE("Leaving: a statement outlasts the store's outage and the registration's return")
{
  LeavingCluster cluster;
  LeaveUnderLoad(cluster, [&] {
    GatewayCluster& daemons = cluster.Daemons();
    daemons.Store().SetMode(StoreStandIn::Mode::Silent);
    std::this_thread::sleep_for(kDisturbanceTime);
    daemons.Store().SetMode(StoreStandIn::Mode::Normal);
    daemons.Deregister(0);
    std::this_thread::sleep_for(kDisturbanceTime);
    daemons.Register(0);
    daemons.Store().Compact("keyed.servers");
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      daemons.Daemon(daemon).Signal(SIGHUP);
    }
    std::this_thread::sleep_for(kLoadTime);
  });
  CHECK(cluster.FirstViolation() == "none");
}

TEST_CASE("Leaving: a statement outlasts the coordinator that knew it")
{
  LeavingCluster cluster;
  LeaveUnderLoad(cluster, [&] {
    GatewayCluster& daemons = cluster.Daemons();
    cluster.DisturbEach([&](std::size_t aDaemon) { daemons.Daemon(aDaemon).Signal(SIGKILL); },
                        [&](std::size_t aDaemon) {
                          daemons.StartDaemon(aDaemon);
                          daemons.WaitUntilReady(aDaemon);
                        });
  });
  CHECK(cluster.FirstViolation() == "none");
}

TEST_CASE("Leaving: a statement outlasts daemons that are paused in turn")
{
  LeavingCluster cluster;
  LeaveUnderLoad(cluster, [&] {
    GatewayCluster& daemons = cluster.Daemons();
    cluster.DisturbEach([&](std::size_t aDaemon) { daemons.Daemon(aDaemon).Signal(SIGSTOP); },
                        [&](std::size_t aDaemon) { daemons.Daemon(aDaemon).Signal(SIGCONT); });
  });
  CHECK(cluster.FirstViolation() == "none");
}

TEST_CASE("Leaving: a refusal and an error say so as well")
{
  for (const Farewell farewell : { Farewell::Refusal, Farewell::Error }) {
    LeavingCluster cluster;
    cluster.RunUnderLoad([&] {
      REQUIRE(WaitFor([&] { return cluster.Received(0) > 50; }));
      cluster.SetLeaving(0, true, farewell);
      std::this_thread::sleep_for(kDisturbanceTime);
      const std::size_t received = cluster.Received(0);
      std::this_thread::sleep_for(kLoadTime);
      CHECK(cluster.Received(0) == received);
    });
    CHECK(cluster.FirstViolation() == "none");
  }
}

TEST_CASE("Leaving: the head of a stream that goes on says so")
{
  LeavingCluster cluster;
  cluster.SetLeaving(0, true);
  cluster.SetLeaving(1, true);
  // Both endpoints say so at the head of a stream that does not end before its route's timeout.
  std::vector<std::thread> callers;
  for (std::size_t daemon = 0; daemon < kEndpoints; ++daemon) {
    callers.emplace_back([&cluster, daemon] { cluster.Call(daemon, "/stream/x"); });
  }
  CHECK(WaitFor([&] { return cluster.Received(0) + cluster.Received(1) == kEndpoints; }));
  CHECK(WaitFor([&] { return cluster.Call(2).m_status == 503; }));
  const std::size_t received = cluster.Received(0) + cluster.Received(1);
  CHECK(cluster.Call(2).m_status == 503);
  CHECK(cluster.Received(0) + cluster.Received(1) == received);
  for (std::thread& caller : callers) {
    caller.join();
  }
}

TEST_CASE("Leaving: callers are refused at once when all endpoints of a service leave")
{
  LeavingCluster cluster;
  cluster.SetLeaving(0, true);
  cluster.SetLeaving(1, true);
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    CallerResponse response;
    CHECK(WaitFor([&] {
      response = cluster.Call(daemon);
      return response.m_status == 503;
    }));
    CHECK_FALSE(response.Header("retry-after").empty());
  }
  CHECK(WaitFor([&] {
    return cluster.Daemons().LogOfDaemon(0).find("reason=\"no-endpoint\"") != std::string::npos;
  }));
}

TEST_CASE(
  "Leaving: the daemon that heard it hands back the grants of a coordinator that does not know")
{
  CheckGrantsAreHandedBack(kLeaves);
}

TEST_CASE("Leaving: a request that is still connecting to the endpoint is not sent there")
{
  CheckConnectingRequestIsNotSent(kLeaves);
}

TEST_CASE("Leaving: neither a retry nor a stream that goes on reaches the endpoint again")
{
  for (const char* path : { "/safe/x", "/resumable/x" }) {
    GatewayCluster cluster(1, 1);
    cluster.Endpoint(0).SetBehaviour([](RawConnection& aConnection, const RawRequest& aRequest) {
      const std::string fields = absl::StrCat(
        "X-Request-Id: ", aRequest.Header("x-request-id"), "\r\nServer-Leaving: 1\r\n");
      if (aRequest.m_target.starts_with("/safe/")) {
        aConnection.Write(absl::StrCat("HTTP/1.1 500 X\r\n", fields, "Content-Length: 0\r\n\r\n"));
        return true;
      }
      aConnection.Write(absl::StrCat("HTTP/1.1 200 OK\r\n",
                                     fields,
                                     "X-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n"
                                     "e\r\nid: 1\ndata: x\n\n\r\n"));
      aConnection.Reset();
      return false;
    });
    cluster.Call(path, "first");
    CHECK(cluster.RunsOf("first") == 1);
    CHECK(cluster.Call("/resumable/x", "again", "Resumes: first\r\n").m_status == 503);
    CHECK(cluster.RunsOf("again") == 0);
  }
}

TEST_CASE("Leaving: another incarnation under the same id gets requests at once")
{
  LeavingCluster cluster;
  LeaveUnderLoad(cluster, [&] {
    std::this_thread::sleep_for(kLoadTime + kDisturbanceTime);
    cluster.Restart(0);
    const std::size_t received = cluster.Received(0);
    cluster.Daemons().Register(0, "ready", { { "born", 2 } });
    CHECK(WaitFor([&] { return cluster.Received(0) > received + 100; }));
  });
  CHECK(cluster.FirstViolation() == "none");
}

TEST_CASE("Leaving: a statement of an incarnation that is not registered yet counts for it")
{
  LeavingCluster cluster;
  GatewayCluster& daemons = cluster.Daemons();
  cluster.RunUnderLoad([&] {
    REQUIRE(WaitFor([&] { return cluster.Received(0) > 50; }));
    // It starts again under its id while the store is away, and leaves before the store is back.
    daemons.Store().SetMode(StoreStandIn::Mode::Silent);
    cluster.Restart(0);
    std::this_thread::sleep_for(kLoadTime);
    cluster.SetLeaving(0, true);
    REQUIRE(WaitFor([&] { return cluster.CheckerOf(0).ForwardedCount() > 0; }));
    std::this_thread::sleep_for(kLoadTime + kDisturbanceTime);
    daemons.Store().SetMode(StoreStandIn::Mode::Normal);
    daemons.Register(0, "ready", { { "born", 2 } });
    std::this_thread::sleep_for(kLoadTime);
  });
  CHECK(cluster.FirstViolation() == "none");
}

TEST_CASE("Leaving: a daemon that is cut off from the others keeps to what it has heard")
{
  for (std::size_t isolated = 0; isolated < kDaemons; ++isolated) {
    LeavingCluster cluster(true);
    PeerNetwork& network = cluster.Daemons().Network();
    network.SetIsolated(isolated, true);
    LeaveUnderLoad(cluster, [&] {
      std::this_thread::sleep_for(kLoadTime);
      network.SetIsolated(isolated, false);
      std::this_thread::sleep_for(kLoadTime);
    });
    CHECK(network.HeldBackCount() > 0);
    CHECK(cluster.FirstViolation() == "none");
    const std::size_t received = cluster.Received(0);
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      const CallerResponse response = cluster.Call(daemon);
      INFO(response.m_head, response.m_body);
      CHECK(response.m_status == 200);
    }
    CHECK(cluster.Received(0) == received);
  }
}

TEST_CASE("Leaving: no request follows while paths between daemons are cut in one direction")
{
  LeavingCluster cluster(true);
  PeerNetwork& network = cluster.Daemons().Network();
  LeaveUnderLoad(cluster, [&] {
    for (std::size_t from = 0; from < kDaemons; ++from) {
      for (std::size_t to = 0; to < kDaemons; ++to) {
        network.SetCut(from, to, from != to);
        std::this_thread::sleep_for(kDisturbanceTime);
        network.SetCut(from, to, false);
      }
    }
  });
  CHECK(network.HeldBackCount() > 0);
  CHECK(cluster.FirstViolation() == "none");
}
