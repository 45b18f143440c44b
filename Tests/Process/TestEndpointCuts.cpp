#include "GatewayCluster.h"

#include <absl/strings/str_cat.h>
#include <chrono>
#include <doctest.h>
#include <map>
#include <mutex>
#include <thread>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

constexpr std::size_t kDaemons = 3;
constexpr std::size_t kEndpoints = 3;
constexpr int kRounds = 8;
constexpr std::chrono::milliseconds kWorkTime{ 30 };
constexpr const char* kPaths[] = { "/safe/x", "/unsafe/x", "/stream/x", "/resumable/x" };

GatewayClusterOptions
WithPaths(std::size_t aDaemons = kDaemons)
{
  GatewayClusterOptions options;
  options.m_daemons = aDaemons;
  options.m_endpoints = kEndpoints;
  options.m_has_endpoint_paths = true;
  return options;
}

/// Sends requests through a daemon until it responds with success to one that may be repeated.
bool
WaitUntilServed(GatewayCluster& aCluster, std::size_t aDaemon, const std::string& aName)
{
  int count = 0;
  return WaitFor([&] {
    return aCluster
             .Call("/safe/x", absl::StrCat(aName, "-", ++count), "X-Deadline-Ms: 1500\r\n", aDaemon)
             .m_status == 200;
  });
}

struct ServedCount
{
  int m_served = 0;
  int m_sent = 0;

  bool operator==(const ServedCount&) const = default;
};

/// Sends requests of all kinds through a daemon, one of each kind at a time, and counts those that
/// it serves.
ServedCount
CountServed(GatewayCluster& aCluster, std::size_t aDaemon, const std::string& aName)
{
  std::mutex mutex;
  std::map<std::string, CallerResponse> responses;
  std::vector<std::thread> callers;
  for (const char* path : kPaths) {
    callers.emplace_back([&, path] {
      for (int round = 0; round < kRounds; ++round) {
        const std::string id = absl::StrCat(aName, "-", aDaemon, "-", round, path);
        CallerResponse response = aCluster.Call(path, id, "X-Deadline-Ms: 3000\r\n", aDaemon);
        const std::lock_guard lock(mutex);
        responses[id] = std::move(response);
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  ServedCount count;
  for (const auto& [id, response] : responses) {
    CAPTURE(id);
    const bool is_whole = response.m_is_complete && response.m_body == "answer to " + id;
    CHECK((response.m_status != 200 || is_whole));
    CHECK(aCluster.RunsOf(id) <= 1);
    CHECK((response.m_status != 503 || aCluster.RunsOf(id) == 0));
    count.m_served += response.m_status == 200 ? 1 : 0;
    ++count.m_sent;
  }
  return count;
}

void
CheckCut(EndpointCut aCut)
{
  GatewayCluster cluster(WithPaths());
  const ServedCount all{ kRounds * 4, kRounds * 4 };
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    // Requests overlap, so that they need more connections than are open.
    cluster.Endpoint(i).SetBehaviour([](RawConnection& aConnection, const RawRequest& aRequest) {
      std::this_thread::sleep_for(kWorkTime);
      return RespondWithSuccess(aConnection, aRequest);
    });
  }
  REQUIRE(WaitUntilServed(cluster, 0, "before"));
  cluster.CutFromEndpoints(0, aCut);
  REQUIRE(WaitUntilServed(cluster, 0, "cut"));
  CHECK(CountServed(cluster, 0, "cut") == all);
  CHECK(CountServed(cluster, 1, "cut") == all);
  cluster.HealEndpointPaths(0);
  REQUIRE(WaitUntilServed(cluster, 0, "healed"));
  CHECK(CountServed(cluster, 0, "healed") == all);
}

}

TEST_CASE("Cut off: a daemon whose connections to all endpoints are reset serves its callers")
{
  CheckCut(EndpointCut::Reset);
}

TEST_CASE("Cut off: a daemon that can open no connection to an endpoint serves its callers")
{
  CheckCut(EndpointCut::RefuseNew);
}

TEST_CASE("Cut off: a daemon whose connections to all endpoints hang serves its callers")
{
  CheckCut(EndpointCut::Hang);
}
