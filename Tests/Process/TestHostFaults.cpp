#include "Cluster.h"

#include <LibDispatch/CallerError.h>
#include <csignal>
#include <doctest.h>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

HttpRequest
DeskRequest(const std::string& aIdentity = {})
{
  HttpRequest request{
    "POST", "/v1/services/desk/lots/1", { { "Authorization", "Bearer mill-key" } }, "{}"
  };
  if (!aIdentity.empty()) {
    request.m_headers.emplace_back(headers::kIdentity, aIdentity);
  }
  return request;
}

std::map<std::string, int>
AddressesGiven(Cluster& aCluster, std::size_t aDaemon, int aRequestCount)
{
  std::map<std::string, int> hosts;
  for (int request_index = 0; request_index < aRequestCount; ++request_index) {
    const Json response =
      aCluster.Caller().CallJson(aCluster.CallerAddress(aDaemon), "GET", "/v1/address");
    ++hosts[response.value("host", "")];
  }
  return hosts;
}

}

TEST_CASE("A leaving endpoint gets no new work, and its running requests end complete")
{
  ClusterOptions options;
  options.m_deadline_ms = 60'000;
  Cluster cluster(options);
  cluster.Control("desk", Json{ { "hold", true } });
  const std::string identity = cluster.PermitOf(0) + "-running";
  const auto running = cluster.Caller().Send(cluster.CallerAddress(0), DeskRequest(identity));
  REQUIRE(cluster.Caller().RunUntil(
    [&] { return cluster.ExecutionsOf("desk", "mill." + identity) == 1; }));
  cluster.SetHosts({ { "desk-1", "leaving" } });
  TestCallPtr refused;
  CHECK(cluster.Caller().RunUntil([&] {
    refused = cluster.Caller().Call(cluster.CallerAddress(0), DeskRequest());
    return refused->Header(headers::kErrorCode) == "no_endpoint";
  }));
  CHECK(refused->Outcome() == "not-run");
  cluster.Control("desk", Json{ { "hold", false } });
  CHECK(cluster.Caller().RunUntil([&] { return running->HasEnded(); }));
  CHECK(running->Outcome() == "done");
}

TEST_CASE("Callers are spread over the live entry hosts, and none is directed to a leaving one")
{
  Cluster cluster({});
  const auto spread = AddressesGiven(cluster, 0, 300);
  for (const char* host : { "entry-0", "entry-1", "entry-2" }) {
    REQUIRE(spread.contains(host));
    CHECK(spread.at(host) > 50);
  }
  cluster.SetHosts({ { "entry-1", "leaving" } });
  for (const std::size_t daemon : { 0, 1, 2 }) {
    CHECK(cluster.Caller().RunUntil(
      [&] { return !AddressesGiven(cluster, daemon, 30).contains("entry-1"); }));
  }
  const auto after = AddressesGiven(cluster, 1, 100);
  CHECK(after.at("entry-0") > 20);
  CHECK(after.at("entry-2") > 20);
}

TEST_CASE("The address of a killed daemon is no longer given to callers")
{
  Cluster cluster({});
  cluster.KillDaemon(1);
  CHECK(
    cluster.Caller().RunUntil([&] { return !AddressesGiven(cluster, 0, 30).contains("entry-1"); }));
}

TEST_CASE("While the host list is down the last known hosts are used")
{
  Cluster cluster({});
  cluster.Control("hosts", Json{ { "down", true } });
  CHECK(cluster.Caller().RunUntil(
    [&] { return cluster.LogOf(0).find("Lost the host list") != std::string::npos; }));
  CHECK(cluster.Caller().Call(cluster.CallerAddress(0), DeskRequest())->Outcome() == "done");
}

TEST_CASE("A draining daemon turns new work away, says where to go, ends its work and exits with 0")
{
  ClusterOptions options;
  options.m_deadline_ms = 60'000;
  Cluster cluster(options);
  cluster.Control("desk", Json{ { "hold", true } });
  const std::string identity = cluster.PermitOf(0) + "-running";
  const auto running = cluster.Caller().Send(cluster.CallerAddress(0), DeskRequest(identity));
  REQUIRE(cluster.Caller().RunUntil(
    [&] { return cluster.ExecutionsOf("desk", "mill." + identity) == 1; }));
  CHECK(cluster.Caller().CallJson(cluster.OperatorAddress(0), "POST", "/drain")["draining"] ==
        true);
  const auto late = cluster.Caller().Call(cluster.CallerAddress(0), DeskRequest());
  CHECK(late->Header(headers::kErrorCode) == "leaving");
  CHECK(late->Outcome() == "not-run");
  CHECK_FALSE(late->Header(headers::kUseInstead).empty());
  CHECK_FALSE(AddressesGiven(cluster, 0, 30).contains("entry-0"));
  CHECK_FALSE(cluster.Process(0).ExitStatus());
  cluster.Control("desk", Json{ { "hold", false } });
  CHECK(cluster.Caller().RunUntil([&] { return running->HasEnded(); }));
  CHECK(running->Outcome() == "done");
  CHECK(cluster.Caller().RunUntil([&] { return cluster.Process(0).ExitStatus().has_value(); }));
  CHECK(cluster.Process(0).ExitStatus() == 0);
}

TEST_CASE("A daemon cut off from its peers does not use their share of an endpoint's slots")
{
  ClusterOptions options;
  options.m_settings_of[0] = Json{ { "peer_interval_ms", 3'600'000 } };
  options.m_settings_of[1] = Json{ { "peer_interval_ms", 3'600'000 } };
  options.m_daemons = 2;
  options.m_concurrency_limit = 4;
  options.m_publishes = false;
  Cluster cluster(options);
  cluster.Publish(0, cluster.DocumentOf("desk", 1), 0);
  REQUIRE(cluster.Caller().RunUntil([&] { return cluster.IsInForceEverywhere("desk", 1); }));
  cluster.Control("desk", Json{ { "hold", true } });
  std::vector<TestCallPtr> calls;
  calls.reserve(6);
  for (int index = 0; index < 6; ++index) {
    calls.push_back(cluster.Caller().Send(cluster.CallerAddress(0), DeskRequest()));
  }
  CHECK(cluster.Caller().RunUntil([&] {
    const Json status = cluster.Caller().CallJson(cluster.OperatorAddress(0), "GET", "/status");
    const Json& waiting = status["self"]["waiting"];
    return waiting.contains("desk") && waiting["desk"][0] == 4;
  }));
  const Json status = cluster.Caller().CallJson(cluster.OperatorAddress(0), "GET", "/status");
  CHECK(status["running"] == 2);
  cluster.Control("desk", Json{ { "hold", false } });
}
