#include "GatewayCluster.h"

#include <absl/strings/str_cat.h>
#include <csignal>
#include <doctest.h>
#include <fstream>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

constexpr const char* kMembersTopic = "keyed.hosts";
constexpr std::size_t kDaemons = 6;
constexpr int kTokensPerRequest = 1'000;
// The burst of the quota, in requests. It refills so slowly that it bounds a whole test.
constexpr int kBurstRequests = 100;
constexpr int kOverageRequests = 10;
constexpr int kAttempts = 40;
/// Among how many daemons one that does not know the others divides what all of them share.
constexpr int kSharesWithoutList = 16;
constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;

GatewayClusterOptions
WithQuota(std::size_t aDaemons)
{
  GatewayClusterOptions options;
  options.m_daemons = aDaemons;
  options.m_settings["bounds"] = { { "quota_overage", 0.1 },
                                   { "quota_slack_tokens", 0 },
                                   { "quota_window_s", 8 } };
  return options;
}

void
SetQuota(GatewayCluster& aCluster)
{
  aCluster.Configure([](nlohmann::json& aConfiguration) {
    aConfiguration["tenants"][0]["rate_per_s"] = 1;
    aConfiguration["tenants"][0]["burst"] = kBurstRequests * kTokensPerRequest;
  });
}

int
GaugeAt(const GatewayCluster& aCluster, std::size_t aDaemon, const std::string& aName)
{
  const std::string metrics =
    Exchange(aCluster.MetricsAddress(aDaemon),
             "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  const std::string name = absl::StrCat("name=\"", aName, "\"} ");
  const std::size_t found = metrics.find(name);
  return found == std::string::npos ? 0 : std::stoi(metrics.substr(found + name.size()));
}

/// Among how many daemons a daemon divides what all of them share.
int
SharesAt(const GatewayCluster& aCluster, std::size_t aDaemon)
{
  return GaugeAt(aCluster, aDaemon, "daemons_for_shares");
}

/// Kills all daemons and starts them again with the quota in force, while the list of daemons can
/// be read or not.
void
RestartWithQuota(GatewayCluster& aCluster, std::size_t aDaemons, bool aCanReadList)
{
  SetQuota(aCluster);
  for (std::size_t daemon = 0; daemon < aDaemons; ++daemon) {
    aCluster.Daemon(daemon).Signal(SIGKILL);
  }
  aCluster.Store().SetSilent(kMembersTopic, !aCanReadList);
  for (std::size_t daemon = 0; daemon < aDaemons; ++daemon) {
    aCluster.StartDaemon(daemon);
  }
  for (std::size_t daemon = 0; daemon < aDaemons; ++daemon) {
    aCluster.WaitUntilReady(daemon);
    const auto is_listed = [&] { return SharesAt(aCluster, daemon) == static_cast<int>(aDaemons); };
    if (aCanReadList) {
      REQUIRE(WaitFor(is_listed));
    }
  }
}

/// Calls until a request is refused. Returns how many were served.
int
CallUntilRefused(GatewayCluster& aCluster, const std::string& aName, std::size_t aDaemon)
{
  for (int served = 0; served < kAttempts; ++served) {
    const CallerResponse response =
      aCluster.Call("/safe/x",
                    absl::StrCat(aName, "-", aDaemon, "-", served),
                    absl::StrCat("X-Token-Count: ", kTokensPerRequest - 1, ",1\r\n"),
                    aDaemon);
    if (response.m_status != kOk) {
      CHECK(response.m_status == kTooManyRequests);
      return served;
    }
  }
  return kAttempts;
}

}

// Guards against daemons that each use a whole quota because none has read the list of daemons.
TEST_CASE("Unknown members: daemons that cannot read the list of daemons together keep to a quota")
{
  GatewayCluster cluster(WithQuota(kDaemons));
  RestartWithQuota(cluster, kDaemons, false);
  int served = 0;
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    const int of_daemon = CallUntilRefused(cluster, "unknown", daemon);
    CHECK(of_daemon > 0);
    CHECK(SharesAt(cluster, daemon) == kSharesWithoutList);
    served += of_daemon;
  }
  CHECK(served <= kBurstRequests + kOverageRequests);
  cluster.Store().SetSilent(kMembersTopic, false);
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    CHECK(WaitFor([&] { return SharesAt(cluster, daemon) == kDaemons; }));
  }
}

// Guards against a share for daemons that do not exist.
TEST_CASE("Unknown members: a daemon whose list holds only itself uses a whole quota")
{
  GatewayCluster cluster(WithQuota(1));
  RestartWithQuota(cluster, 1, true);
  // A quarter of the burst is granted to a daemon that has just started.
  CHECK(CallUntilRefused(cluster, "alone", 0) >= kBurstRequests / 4);
}

// Guards against a daemon that no longer knows the others once it cannot read their list.
TEST_CASE("Unknown members: a list that has been read counts on when it cannot be read any more")
{
  GatewayCluster cluster(WithQuota(2));
  RestartWithQuota(cluster, 2, true);
  cluster.Store().SetSilent(kMembersTopic, true);
  CHECK(CallUntilRefused(cluster, "lost-0", 0) >= kBurstRequests / 4);
  CHECK(CallUntilRefused(cluster, "lost-1", 1) == 0);
}

// Guards against a daemon that coordinates for itself although a seed knows the others.
TEST_CASE("Unknown members: a daemon that hears only its seed leaves the decisions to it")
{
  GatewayCluster cluster(WithQuota(2));
  for (std::size_t added = 0; added < 2; ++added) {
    const std::size_t seed = 1 - added;
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
      REQUIRE(WaitFor([&] { return SharesAt(cluster, daemon) == 2; }));
    }
    cluster.Daemon(added).Signal(SIGKILL);
    cluster.Store().SetSilent(kMembersTopic, true);
    nlohmann::json settings = nlohmann::json::parse(std::ifstream(cluster.SettingsPath(added)));
    settings["gateway"]["seed_addresses"] = { cluster.PeerAddress(seed).Value() };
    std::ofstream(cluster.SettingsPath(added)) << settings;
    cluster.StartDaemonAsItIs(added);
    cluster.WaitUntilReady(added);
    REQUIRE(WaitFor([&] { return GaugeAt(cluster, added, "peers_heard") == 1; }));
    const std::string id = absl::StrCat("seeded-", added);
    CHECK(cluster.Call("/safe/x", id, "", added).m_status == kOk);
    CHECK(SharesAt(cluster, added) == kSharesWithoutList);
    CHECK(WaitFor([&] {
      const std::string log = cluster.LogOfDaemon(added);
      const std::size_t granted = log.find(absl::StrCat("event=granted request=", id, " "));
      const std::string home = absl::StrCat("home=gateway-", seed, " ");
      return granted != std::string::npos &&
             log.substr(granted, log.find('\n', granted) - granted).find(home) != std::string::npos;
    }));
    cluster.Store().SetSilent(kMembersTopic, false);
  }
}
