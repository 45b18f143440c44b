#include "GatewayCluster.h"

#include "Cluster.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <csignal>
#include <doctest.h>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

/// Two of them read the store all the time and forward what they have read to the others.
constexpr std::size_t kDaemons = 5;
constexpr std::size_t kReaders = 2;
constexpr const char* kRegistrations = "keyed.servers";
constexpr const char* kConfiguration = "keyed.op";

GatewayClusterOptions
ForwardingOptions()
{
  GatewayClusterOptions options;
  options.m_daemons = kDaemons;
  options.m_endpoints = 4;
  options.m_has_peer_network = true;
  options.m_forward_records = true;
  return options;
}

/// The last endpoint is registered anew until every follower applies what is forwarded to it.
class ForwardingDrill
{
public:
  ForwardingDrill()
    : m_cluster(ForwardingOptions())
  {
    CHECK(WaitFor([&] { return Followers().size() == kDaemons - kReaders; }));
    CHECK(WaitFor([&] { return EachFollowerApplies(); }));
  }

  GatewayCluster& Cluster() { return m_cluster; }

  std::vector<std::size_t> Followers() const { return DaemonsThat(true); }
  std::vector<std::size_t> Readers() const { return DaemonsThat(false); }

  /// Number of forwarded registrations with an outcome, at one daemon.
  double Forwarded(std::size_t aDaemon, const std::string& aOutcome) const
  {
    const std::string metrics =
      Exchange(m_cluster.MetricsAddress(aDaemon),
               "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const std::string name = absl::StrCat("auburnhitch_forwarded_records_total{outcome=\"",
                                          aOutcome,
                                          "\",topic=\"",
                                          kRegistrations,
                                          "\"} ");
    for (const absl::string_view line : absl::StrSplit(metrics, '\n')) {
      double count = 0;
      if (absl::StartsWith(line, name) && absl::SimpleAtod(line.substr(name.size()), &count)) {
        return count;
      }
    }
    return 0;
  }

  bool AwaitInLogs(const std::vector<std::size_t>& aDaemons, const std::string& aText) const
  {
    return WaitFor([&] {
      return std::all_of(aDaemons.begin(), aDaemons.end(), [&](std::size_t aDaemon) {
        return m_cluster.LogOfDaemon(aDaemon).find(aText) != std::string::npos;
      });
    });
  }

  /// Changes the configuration and an endpoint's registration, and expects that both are in force.
  void ChangeAndAwait(const std::vector<std::size_t>& aDaemons, std::size_t aEndpoint)
  {
    Change(aEndpoint);
    CHECK(AwaitInLogs(aDaemons, absl::StrCat("event=draining endpoint=i-", aEndpoint)));
    CHECK(AwaitInLogs(aDaemons, absl::StrCat("event=in-force version=", m_version)));
  }

  void Change(std::size_t aEndpoint)
  {
    ++m_version;
    m_cluster.Configure();
    m_cluster.Register(aEndpoint, "draining");
  }

private:
  std::vector<std::size_t> DaemonsThat(bool aFollow) const
  {
    std::vector<std::size_t> found;
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      const std::string log = m_cluster.LogOfDaemon(daemon);
      const auto follower = log.rfind("event=follower");
      const auto reader = log.rfind("event=reader");
      const bool follows =
        follower != std::string::npos && (reader == std::string::npos || reader < follower);
      if (follows == aFollow) {
        found.push_back(daemon);
      }
    }
    return found;
  }

  bool EachFollowerApplies()
  {
    m_cluster.Renew(3);
    const auto followers = Followers();
    return std::all_of(followers.begin(), followers.end(), [&](std::size_t aDaemon) {
      return Forwarded(aDaemon, "applied") > 0;
    });
  }

  GatewayCluster m_cluster;
  int m_version = 1;
};

}

// Guards against followers that call the store for each change of a registration.
TEST_CASE("Forwarded records: followers follow a registration without a call to the store")
{
  ForwardingDrill drill;
  const auto missing = [&] {
    double count = 0;
    for (const std::size_t daemon : drill.Followers()) {
      count += drill.Forwarded(daemon, "missing");
    }
    return count;
  };
  // Each record that is not applied as forwarded is read, and each read is counted.
  const int reads = drill.Cluster().Store().ReadsWithoutWait(kRegistrations);
  const double missing_before = missing();
  for (std::size_t endpoint = 0; endpoint < 3; ++endpoint) {
    drill.Cluster().Register(endpoint, "draining");
    CHECK(
      drill.AwaitInLogs(drill.Followers(), absl::StrCat("event=draining endpoint=i-", endpoint)));
  }
  CHECK(drill.Cluster().Store().ReadsWithoutWait(kRegistrations) == reads);
  CHECK(missing() == missing_before);
}

// Guards against followers that wait for a datagram which was lost.
TEST_CASE("Forwarded records: followers read what no datagram brings")
{
  ForwardingDrill drill;
  const int reads = drill.Cluster().Store().ReadsWithoutWait(kRegistrations);
  drill.Cluster().Network().SetLosesRecords(true);
  drill.ChangeAndAwait(drill.Followers(), 0);
  CHECK(drill.Cluster().Store().ReadsWithoutWait(kRegistrations) > reads);
  drill.Cluster().Network().SetLosesRecords(false);
  drill.ChangeAndAwait(drill.Followers(), 1);
}

// Guards against a configuration that no datagram can carry and that nobody reads.
TEST_CASE("Forwarded records: followers read a configuration that is larger than a datagram")
{
  ForwardingDrill drill;
  const auto configure = [&] {
    drill.Cluster().Configure([](nlohmann::json& aConfiguration) {
      aConfiguration["routes"][0]["remark"] = std::string(3'000, 'x');
    });
  };
  // A long poll from before the daemons became followers may bring the first one.
  configure();
  CHECK(drill.AwaitInLogs(drill.Followers(), "event=in-force version=2"));
  const int reads = drill.Cluster().Store().ReadsWithoutWait(kConfiguration);
  configure();
  CHECK(drill.AwaitInLogs(drill.Followers(), "event=in-force version=3"));
  CHECK(drill.Cluster().Store().ReadsWithoutWait(kConfiguration) > reads);
}

// Guards against followers that wait for readers which are gone.
TEST_CASE("Forwarded records: changes are in force when the readers are killed")
{
  ForwardingDrill drill;
  const auto followers = drill.Followers();
  for (const std::size_t daemon : drill.Readers()) {
    drill.Cluster().Daemon(daemon).Signal(SIGKILL);
  }
  drill.ChangeAndAwait(followers, 0);
}

// Guards against followers that wait for frozen readers, and records that are applied twice.
TEST_CASE("Forwarded records: changes are in force when readers are stopped and continue")
{
  ForwardingDrill drill;
  const auto followers = drill.Followers();
  const auto readers = drill.Readers();
  for (const std::size_t daemon : readers) {
    drill.Cluster().Daemon(daemon).Signal(SIGSTOP);
  }
  drill.ChangeAndAwait(followers, 0);
  for (const std::size_t daemon : readers) {
    drill.Cluster().Daemon(daemon).Signal(SIGCONT);
  }
  drill.ChangeAndAwait({ 0, 1, 2, 3, 4 }, 1);
}

// Guards against followers that no reader reaches.
TEST_CASE("Forwarded records: changes are in force when a reader is cut off and returns")
{
  ForwardingDrill drill;
  const auto followers = drill.Followers();
  const std::size_t reader = drill.Readers().front();
  drill.Cluster().Network().SetIsolated(reader, true);
  drill.ChangeAndAwait(followers, 0);
  drill.Cluster().Network().SetIsolated(reader, false);
  drill.ChangeAndAwait({ 0, 1, 2, 3, 4 }, 1);
}

// Guards against records of an era that has ended, and against followers that wait for its offsets.
TEST_CASE("Forwarded records: changes are in force after the store has gone back")
{
  ForwardingDrill drill;
  const StoreStandIn::Copy copy = drill.Cluster().Store().TakeCopy();
  drill.ChangeAndAwait({ 0, 1, 2, 3, 4 }, 0);
  drill.Cluster().Store().GoBackTo(copy);
  drill.ChangeAndAwait({ 0, 1, 2, 3, 4 }, 1);
  drill.ChangeAndAwait({ 0, 1, 2, 3, 4 }, 2);
}
