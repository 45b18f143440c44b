#include "GatewayCluster.h"

#include <absl/strings/str_cat.h>
#include <atomic>
#include <csignal>
#include <doctest.h>
#include <thread>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

constexpr std::size_t kDaemons = 2;
constexpr int kRequests = 6;
constexpr int kUnauthorized = 401;
// Longer than the deadline of the requests that wait.
constexpr std::chrono::milliseconds kPause{ 5'000 };

void
KillAndStartAgain(GatewayCluster& aCluster, std::size_t aDaemon)
{
  aCluster.Daemon(aDaemon).Signal(SIGKILL);
  aCluster.StartDaemon(aDaemon);
  aCluster.WaitUntilReady(aDaemon);
}

}

TEST_CASE("After the restart of any daemon a withdrawn key and an endpoint that left stay unused")
{
  GatewayCluster cluster(kDaemons, 2);
  cluster.Configure(
    [](nlohmann::json& aConfiguration) { aConfiguration["tenants"][0]["api_keys"] = { "key-2" }; });
  cluster.Deregister(0);
  const auto forgets_both = [&](std::size_t aDaemon) {
    const std::string log = cluster.LogOfDaemon(aDaemon);
    return log.find("event=in-force version=2") != std::string::npos &&
           log.find("event=removed endpoint=i-0") != std::string::npos;
  };
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    REQUIRE(WaitFor([&] { return forgets_both(daemon); }));
  }
  const std::size_t before = cluster.Endpoint(0).Requests().size();
  for (std::size_t restarted = 0; restarted < kDaemons; ++restarted) {
    KillAndStartAgain(cluster, restarted);
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      for (int i = 0; i < kRequests; ++i) {
        const std::string id = absl::StrCat("withdrawn-", restarted, "-", daemon, "-", i);
        CHECK(cluster.Call("/safe/x", id, "", daemon).m_status == kUnauthorized);
        CHECK(cluster.RunsOf(id) == 0);
      }
    }
  }
  cluster.Configure();
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    int count = 0;
    CHECK(WaitFor([&] {
      const std::string id = absl::StrCat("valid-", daemon, "-", ++count);
      return cluster.Call("/safe/x", id, "", daemon).m_status == 200;
    }));
  }
  CHECK(cluster.Endpoint(0).Requests().size() == before);
}

TEST_CASE("A daemon that was paused sends no request whose deadline has passed meanwhile")
{
  GatewayCluster cluster(kDaemons, 1);
  std::atomic<bool> may_respond = false;
  cluster.Endpoint(0).SetBehaviour([&](RawConnection& aConnection, const RawRequest& aRequest) {
    if (aRequest.Header("x-request-id").starts_with("held")) {
      WaitFor([&] { return may_respond.load(); });
    }
    return RespondWithSuccess(aConnection, aRequest);
  });
  cluster.Configure([](nlohmann::json& aConfiguration) {
    for (nlohmann::json& route : aConfiguration["routes"]) {
      route["timeout_ms"] = route["name"] == "unsafe" ? 4'000 : 8'000;
    }
  });
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    REQUIRE(WaitFor([&] {
      return cluster.LogOfDaemon(daemon).find("event=in-force version=2") != std::string::npos;
    }));
  }
  // The endpoint has four slots.
  constexpr int kSlots = 4;
  std::vector<std::thread> callers;
  for (int i = 0; i < kSlots; ++i) {
    const std::string id = absl::StrCat("held-", i);
    callers.emplace_back([&cluster, id] { cluster.Call("/safe/x", id, "", 1); });
    cluster.Endpoint(0).WaitForRun(id);
  }
  for (int i = 0; i < kRequests; ++i) {
    callers.emplace_back([&cluster, i] {
      const CallerResponse response = cluster.Call("/unsafe/x", absl::StrCat("late-", i), "", 0);
      CHECK(response.m_status == 503);
    });
  }
  REQUIRE(WaitFor([&] {
    const auto metrics = Exchange(cluster.MetricsAddress(0),
                                  "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    return metrics.find(absl::StrCat("name=\"attempts\"} ", kRequests)) != std::string::npos;
  }));
  cluster.Daemon(0).Signal(SIGSTOP);
  std::this_thread::sleep_for(kPause);
  may_respond = true;
  cluster.Daemon(0).Signal(SIGCONT);
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (int i = 0; i < kRequests; ++i) {
    CHECK(cluster.RunsOf(absl::StrCat("late-", i)) == 0);
  }
}

// Guards against a withdrawn key that is still accepted when the store has been back for long.
TEST_CASE("After a read that the store left without a response, the next does not wait for records")
{
  constexpr const char* kConfiguration = "keyed.op";
  GatewayCluster cluster(1, 1);
  StoreStandIn& store = cluster.Store();
  store.SetSilent(kConfiguration, true);
  cluster.Configure(
    [](nlohmann::json& aConfiguration) { aConfiguration["tenants"][0]["api_keys"] = { "key-2" }; });
  REQUIRE(WaitFor([&] { return store.HeldCalls(kConfiguration) > 0; }));
  const int calls = store.Calls(kConfiguration);
  REQUIRE(WaitFor([&] { return store.Calls(kConfiguration) > calls; }));
  CHECK(store.ReadsWithoutWait(kConfiguration) == 0);
  store.SetSilent(kConfiguration, false);
  CHECK(WaitFor([&] { return store.ReadsWithoutWait(kConfiguration) > 0; }));
  CHECK(WaitFor(
    [&] { return cluster.LogOfDaemon(0).find("event=in-force version=2") != std::string::npos; }));
}
