#include "GatewayCluster.h"
#include "RestChecker.h"
#include "StatementCases.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <csignal>
#include <doctest.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

using Ms = std::chrono::milliseconds;

constexpr std::size_t kDaemons = 3;
constexpr std::size_t kEndpoints = 2;
constexpr std::size_t kCallersPerDaemon = 3;
constexpr Ms kRest{ 2'000 };
constexpr Ms kDisturbanceTime{ 1'000 };

// Longer than a test.
const EndpointStatement kRests{ "503 X",
                                "X-Not-Executed: 1\r\nRetry-After: 250\r\n",
                                "",
                                "the endpoint has asked this daemon for rest" };

/// Daemons under load, and endpoints that refuse all requests for a while and ask for rest.
class RestingCluster
{
public:
  explicit RestingCluster(bool aHasPeerNetwork = false)
    : m_cluster(GatewayClusterOptions{ kDaemons, kEndpoints, 1, false, {}, aHasPeerNetwork })
  {
    for (std::size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
      m_cluster.Endpoint(endpoint).SetBehaviour(
        [this, endpoint](RawConnection& aConnection, const RawRequest& aRequest) {
          return Serve(endpoint, aConnection, aRequest);
        });
    }
  }

  /// From now on an endpoint refuses all requests and asks for rest, or serves again.
  void SetResting(std::size_t aEndpoint, bool aIsResting) { m_is_resting[aEndpoint] = aIsResting; }

  /// Starts another incarnation of an endpoint under the same id, and registers it.
  void Restart(std::size_t aEndpoint)
  {
    m_is_resting[aEndpoint] = false;
    const int incarnation = ++m_incarnations[aEndpoint];
    m_cluster.Register(aEndpoint, "ready", { { "born", incarnation } });
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
            std::this_thread::sleep_for(Ms(20));
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

  /// Lets endpoints rest under load. aAction runs once each daemon has been asked by each of them,
  /// and the rests end after it.
  void RestUnderLoad(std::vector<std::size_t> aEndpoints, const std::function<void()>& aAction)
  {
    RunUnderLoad([&] {
      for (const std::size_t endpoint : aEndpoints) {
        REQUIRE(WaitFor([&] { return Received(endpoint) > 50; }));
      }
      for (const std::size_t endpoint : aEndpoints) {
        SetResting(endpoint, true);
      }
      for (const std::size_t endpoint : aEndpoints) {
        REQUIRE(WaitFor([&] { return m_checkers[endpoint].RestCount() > 0; }));
      }
      aAction();
      for (const std::size_t endpoint : aEndpoints) {
        SetResting(endpoint, false);
      }
      // The endpoints serve again once their rests are over.
      for (const std::size_t endpoint : aEndpoints) {
        const std::size_t served = m_served[endpoint];
        CHECK(WaitFor([&] { return m_served[endpoint] > served + 50; }));
      }
    });
  }

  CallerResponse Call(std::size_t aDaemon, const std::string& aPath = "/safe/x")
  {
    // The ids begin with the number of the daemon.
    return m_cluster.Call(aPath, absl::StrCat(aDaemon, "-", ++m_last_id), "", aDaemon);
  }

  std::size_t Received(std::size_t aEndpoint) const { return m_received[aEndpoint]; }
  GatewayCluster& Daemons() { return m_cluster; }
  RestChecker& CheckerOf(std::size_t aEndpoint) { return m_checkers[aEndpoint]; }

  void RecordDisturbance(std::size_t aDaemon)
  {
    for (RestChecker& checker : m_checkers) {
      checker.RecordDisturbance(aDaemon);
    }
  }

  std::string FirstViolation() const
  {
    for (const RestChecker& checker : m_checkers) {
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
    const auto daemon = static_cast<std::size_t>(id.front() - '0');
    const int incarnation = m_incarnations[aEndpoint];
    ++m_received[aEndpoint];
    m_checkers[aEndpoint].RecordArrival(daemon, incarnation);
    if (m_is_resting[aEndpoint]) {
      m_checkers[aEndpoint].RecordRest(daemon, incarnation, kRest);
      aConnection.Write(absl::StrCat("HTTP/1.1 503 X\r\nX-Request-Id: ",
                                     id,
                                     "\r\nX-Not-Executed: 1\r\nRetry-After: ",
                                     static_cast<double>(kRest.count()) / 1'000,
                                     "\r\nContent-Length: 0\r\n\r\n"));
      return true;
    }
    ++m_served[aEndpoint];
    return RespondWithSuccess(aConnection, aRequest);
  }

  std::atomic<int> m_last_id = 0;
  std::array<std::atomic<int>, kEndpoints> m_incarnations{ 1, 1 };
  std::array<std::atomic<bool>, kEndpoints> m_is_resting{};
  std::array<std::atomic<std::size_t>, kEndpoints> m_received{};
  std::array<std::atomic<std::size_t>, kEndpoints> m_served{};
  std::array<RestChecker, kEndpoints> m_checkers;
  GatewayCluster m_cluster;
};

}

TEST_CASE("Rest: endpoints that all ask a daemon for rest get no more requests from it meanwhile")
{
  RestingCluster cluster;
  cluster.RestUnderLoad({ 0, 1 }, [] { std::this_thread::sleep_for(2 * kRest); });
  CHECK(cluster.FirstViolation() == "none");
}

TEST_CASE("Rest: an endpoint that asks for rest beside a free one gets no more requests meanwhile")
{
  RestingCluster cluster;
  cluster.RestUnderLoad({ 0 }, [] { std::this_thread::sleep_for(2 * kRest); });
  CHECK(cluster.FirstViolation() == "none");
}

TEST_CASE("Rest: a rest outlasts the coordinator that knew it")
{
  RestingCluster cluster;
  GatewayCluster& daemons = cluster.Daemons();
  cluster.RestUnderLoad({ 0, 1 }, [&] {
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      daemons.Daemon(daemon).Signal(SIGKILL);
      std::this_thread::sleep_for(kDisturbanceTime);
      cluster.RecordDisturbance(daemon);
      daemons.StartDaemon(daemon);
      daemons.WaitUntilReady(daemon);
    }
  });
  CHECK(cluster.FirstViolation() == "none");
}

TEST_CASE("Rest: a rest outlasts daemons that are paused in turn")
{
  RestingCluster cluster;
  GatewayCluster& daemons = cluster.Daemons();
  cluster.RestUnderLoad({ 0, 1 }, [&] {
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      daemons.Daemon(daemon).Signal(SIGSTOP);
      std::this_thread::sleep_for(kDisturbanceTime);
      cluster.RecordDisturbance(daemon);
      daemons.Daemon(daemon).Signal(SIGCONT);
      std::this_thread::sleep_for(kDisturbanceTime);
    }
  });
  CHECK(cluster.FirstViolation() == "none");
}

TEST_CASE("Rest: a rest is kept while paths between daemons are cut")
{
  RestingCluster cluster(true);
  PeerNetwork& network = cluster.Daemons().Network();
  cluster.RestUnderLoad({ 0, 1 }, [&] {
    for (std::size_t from = 0; from < kDaemons; ++from) {
      for (std::size_t to = 0; to < kDaemons; ++to) {
        network.SetCut(from, to, from != to);
        std::this_thread::sleep_for(kDisturbanceTime / 2);
        network.SetCut(from, to, false);
      }
    }
    network.SetIsolated(0, true);
    std::this_thread::sleep_for(2 * kDisturbanceTime);
    network.SetIsolated(0, false);
  });
  CHECK(network.HeldBackCount() > 0);
  CHECK(cluster.FirstViolation() == "none");
}

TEST_CASE("Rest: a registration that lapses and returns does not end a rest")
{
  RestingCluster cluster;
  cluster.RestUnderLoad({ 0, 1 }, [&] {
    for (int round = 0; round < 3; ++round) {
      cluster.Daemons().Deregister(0);
      std::this_thread::sleep_for(kDisturbanceTime / 2);
      cluster.Daemons().Register(0);
      std::this_thread::sleep_for(kDisturbanceTime / 2);
    }
  });
  CHECK(cluster.FirstViolation() == "none");
}

TEST_CASE("Rest: another incarnation under the same id gets requests at once")
{
  GatewayCluster cluster(1, 1);
  cluster.Endpoint(0).SetBehaviour([](RawConnection& aConnection, const RawRequest& aRequest) {
    aConnection.Write(kRests.ResponseTo(aRequest.Header("x-request-id")));
    return true;
  });
  CHECK(cluster.Call("/unsafe/x", "first").m_status == 503);
  const std::size_t received = cluster.Endpoint(0).Requests().size();
  CHECK(cluster.Call("/unsafe/x", "second").m_status == 503);
  CHECK(cluster.Endpoint(0).Requests().size() == received);
  cluster.Endpoint(0).SetBehaviour(RespondWithSuccess);
  // A registration that follows sooner may be that of the incarnation that asked.
  std::this_thread::sleep_for(Ms(4'500));
  cluster.Register(0, "ready", { { "born", 2 } });
  CHECK(WaitFor([&] { return cluster.Call("/unsafe/x", "third").m_status == 200; }));
}

TEST_CASE("Rest: the daemon that heard it hands back the grants of a coordinator that ignores it")
{
  CheckGrantsAreHandedBack(kRests);
}

TEST_CASE("Rest: a request that is still connecting to the endpoint is not sent there")
{
  CheckConnectingRequestIsNotSent(kRests);
}

TEST_CASE("Rest: a longer rest is not shortened by a later one nor ended by a success")
{
  GatewayCluster cluster(1, 1);
  std::atomic<int> requests = 0;
  std::atomic<bool> may_respond = false;
  cluster.Endpoint(0).SetBehaviour([&](RawConnection& aConnection, const RawRequest& aRequest) {
    const int number = ++requests;
    // All four run at once, and the last one succeeds.
    WaitFor([&] { return requests >= 4; });
    WaitFor([&] { return may_respond || number == 1; });
    if (number == 4) {
      std::this_thread::sleep_for(Ms(100));
      return RespondWithSuccess(aConnection, aRequest);
    }
    aConnection.Write(absl::StrCat("HTTP/1.1 503 X\r\nX-Request-Id: ",
                                   aRequest.Header("x-request-id"),
                                   "\r\nX-Not-Executed: 1\r\nRetry-After: ",
                                   number == 1 ? "250" : "0.1",
                                   "\r\nContent-Length: 0\r\n\r\n"));
    return true;
  });
  std::vector<std::thread> callers;
  std::atomic<int> ended = 0;
  callers.reserve(4);
  for (int i = 0; i < 4; ++i) {
    callers.emplace_back([&, i] {
      cluster.Call("/unsafe/x", absl::StrCat("held-", i));
      ++ended;
    });
  }
  CHECK(WaitFor([&] { return ended == 1; }));
  may_respond = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::this_thread::sleep_for(Ms(200));
  const int received = requests;
  CHECK(cluster.Call("/unsafe/x", "late").m_status == 503);
  CHECK(requests == received);
}

namespace {

/// Lets an endpoint refuse a request only once the daemon no longer waits for its response.
void
RefuseWhenAbandoned(GatewayCluster& aCluster, const EndpointStatement& aStatement)
{
  aCluster.Endpoint(0).SetBehaviour(
    [aStatement](RawConnection& aConnection, const RawRequest& aRequest) {
      aConnection.WaitForClose();
      aConnection.Write(aStatement.ResponseTo(aRequest.Header("x-request-id")));
      return false;
    });
}

/// Sends a request and closes the connection once the endpoint has it.
void
CallAndLeave(GatewayCluster& aCluster, std::size_t aDaemon)
{
  const int caller = ConnectTo(aCluster.CallerAddress(aDaemon));
  const std::string request = "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: gone\r\n"
                              "Authorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nbody";
  CHECK(send(caller, request.data(), request.size(), MSG_NOSIGNAL) ==
        static_cast<ssize_t>(request.size()));
  aCluster.Endpoint(0).WaitForRun("gone");
  close(caller);
}

void
CheckRestIsKept(GatewayCluster& aCluster)
{
  CHECK(WaitFor([&] {
    return aCluster.LogOfDaemon(0).find("event=rest-learned endpoint=i-0") != std::string::npos;
  }));
  const std::size_t received = aCluster.Endpoint(0).Requests().size();
  CHECK(aCluster.Call("/unsafe/x", "next").m_status == 503);
  CHECK(aCluster.Endpoint(0).Requests().size() == received);
}

}

TEST_CASE("Rest: a rest asked for when the deadline of the request has passed is kept")
{
  GatewayCluster cluster(1, 1);
  cluster.Configure([](nlohmann::json& aConfiguration) {
    for (nlohmann::json& route : aConfiguration["routes"]) {
      route["timeout_ms"] = 300;
    }
  });
  REQUIRE(WaitFor(
    [&] { return cluster.LogOfDaemon(0).find("in-force version=2") != std::string::npos; }));
  RefuseWhenAbandoned(cluster, kRests);
  CHECK(cluster.Call("/unsafe/x", "late").m_status == 504);
  CheckRestIsKept(cluster);
}

TEST_CASE("Rest: a rest asked for when the caller of the request has left is kept")
{
  GatewayCluster cluster(1, 1);
  RefuseWhenAbandoned(cluster, kRests);
  CallAndLeave(cluster, 0);
  CheckRestIsKept(cluster);
}

TEST_CASE("Leaving: a statement in a response that nobody waits for reaches all daemons")
{
  const EndpointStatement leaves{ "503 X", "X-Not-Executed: 1\r\nServer-Leaving: 1\r\n", "", "" };
  // One of them is the coordinator.
  for (std::size_t asked = 0; asked < kDaemons; ++asked) {
    GatewayCluster cluster(kDaemons, 1);
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      CHECK(cluster.Call("/unsafe/x", absl::StrCat("before-", daemon), "", daemon).m_status == 200);
    }
    RefuseWhenAbandoned(cluster, leaves);
    CallAndLeave(cluster, asked);
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      CHECK(WaitFor([&] {
        return cluster.LogOfDaemon(daemon).find("event=leaving-learned endpoint=i-0") !=
               std::string::npos;
      }));
    }
  }
}
