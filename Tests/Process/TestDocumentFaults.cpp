#include "Cluster.h"

#include <csignal>
#include <doctest.h>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

bool
AwaitRevision(Cluster& aCluster, std::int64_t aRevision)
{
  return aCluster.Caller().RunUntil(
    [&] { return aCluster.IsInForceEverywhere("desk", aRevision); });
}

std::string
AwaitVerdict(Cluster& aCluster, std::size_t aDaemon, const std::string& aPublication)
{
  std::string verdict;
  aCluster.Caller().RunUntil([&] {
    verdict = aCluster.VerdictAt(aDaemon, aPublication);
    return verdict != "unknown";
  });
  return verdict;
}

}

TEST_CASE("Of two racing publications exactly one is accepted, and all daemons agree")
{
  Cluster cluster({});
  for (std::int64_t round = 1; round <= 5; ++round) {
    const bool is_same_daemon = round % 2 == 0;
    const std::string first = cluster.Publish(0, cluster.DocumentOf("desk", 10), round);
    const std::string second =
      cluster.Publish(is_same_daemon ? 0 : 1, cluster.DocumentOf("desk", 20), round);
    int accepted = 0;
    for (const std::string& publication : { first, second }) {
      const std::string verdict = AwaitVerdict(cluster, 0, publication);
      accepted += verdict == "accepted" ? 1 : 0;
      CHECK(AwaitVerdict(cluster, 2, publication) == verdict);
    }
    CHECK(accepted == 1);
    CHECK(AwaitRevision(cluster, round + 1));
    CHECK(cluster.RevisionAt(0, "desk") == round + 1);
  }
}

TEST_CASE(
  "The verdict on a publication is correct although the log lost the response to its append")
{
  Cluster cluster({});
  cluster.Control("log", Json{ { "lose_append_answers", true } });
  const std::string first = cluster.Publish(0, cluster.DocumentOf("desk", 2), 1);
  const std::string stale = cluster.Publish(1, cluster.DocumentOf("desk", 3), 0);
  CHECK(AwaitVerdict(cluster, 0, first) == "accepted");
  CHECK(AwaitVerdict(cluster, 1, stale) == "refused");
}

TEST_CASE("During an outage of the log no publication is accepted, and the documents stay in force")
{
  Cluster cluster({});
  cluster.Control("log", Json{ { "down", true } });
  const std::string publication = cluster.Publish(0, cluster.DocumentOf("desk", 2), 1);
  CHECK(cluster.Caller().RunUntil(
    [&] { return cluster.LogOf(0).find("No answer for publication") != std::string::npos; }));
  CHECK(cluster.VerdictAt(0, publication) == "unknown");
  CHECK(cluster.RevisionAt(0, "desk") == 1);
  cluster.Control("log", Json{ { "down", false } });
  const std::string again = cluster.Publish(0, cluster.DocumentOf("desk", 2), 1);
  CHECK(AwaitVerdict(cluster, 0, again) == "accepted");
}

TEST_CASE("A daemon that is frozen through ten revisions catches up")
{
  Cluster cluster({});
  cluster.Process(2).Signal(SIGSTOP);
  for (std::int64_t base = 1; base <= 10; ++base) {
    const auto publication = cluster.Publish(0, cluster.DocumentOf("desk", 5), base);
    CHECK(AwaitVerdict(cluster, 0, publication) == "accepted");
  }
  cluster.Process(2).Signal(SIGCONT);
  CHECK(AwaitRevision(cluster, 11));
}

TEST_CASE(
  "A daemon cut off from the log is updated by peers, and one cut off from peers by the log")
{
  ClusterOptions options;
  options.m_settings_of[1] = Json{ { "log_service", Cluster::UnusedAddress().Value() } };
  options.m_settings_of[2] = Json{ { "host_list", Cluster::UnusedAddress().Value() } };
  options.m_publishes = false;
  Cluster cluster(options);
  for (std::int64_t base = 0; base < 3; ++base) {
    const auto publication = cluster.Publish(0, cluster.DocumentOf("desk", 5), base);
    CHECK(AwaitVerdict(cluster, 0, publication) == "accepted");
    CHECK(AwaitRevision(cluster, base + 1));
  }
}

TEST_CASE("Documents survive an outage of the log in which all daemons are restarted one by one")
{
  Cluster cluster({});
  cluster.Control("log", Json{ { "down", true } });
  for (std::size_t daemon = 0; daemon < cluster.Size(); ++daemon) {
    cluster.KillDaemon(daemon);
    cluster.StartDaemon(daemon);
    CHECK(AwaitRevision(cluster, 1));
  }
  cluster.Control("log", Json{ { "down", false } });
  const auto publication = cluster.Publish(0, cluster.DocumentOf("desk", 2), 1);
  CHECK(AwaitVerdict(cluster, 0, publication) == "accepted");
  CHECK(AwaitRevision(cluster, 2));
}

TEST_CASE("Documents survive the deletion of their log records and a restart of all daemons")
{
  ClusterOptions options;
  options.m_settings = Json{ { "snapshot_interval_ms", 100 } };
  Cluster cluster(options);
  const auto second = cluster.Publish(0, cluster.DocumentOf("desk", 2), 1);
  CHECK(AwaitVerdict(cluster, 0, second) == "accepted");
  const Json records = cluster.Caller().CallJson(
    cluster.StandInAddress("log"), "GET", "/v1/streams/documents/records?from=0&wait_ms=0");
  const auto end = records["end"].get<std::int64_t>();
  // Any snapshot that is written from here on covers all publications.
  CHECK(cluster.Caller().RunUntil([&] {
    const Json later = cluster.Caller().CallJson(
      cluster.StandInAddress("log"), "GET", "/v1/streams/documents/records?from=0&wait_ms=0");
    return later["end"].get<std::int64_t>() > end + 1;
  }));
  cluster.Control("log", Json{ { "drop_before", end } });
  for (std::size_t daemon = 0; daemon < cluster.Size(); ++daemon) {
    cluster.KillDaemon(daemon);
  }
  for (std::size_t daemon = 0; daemon < cluster.Size(); ++daemon) {
    cluster.StartDaemon(daemon);
  }
  CHECK(AwaitRevision(cluster, 2));
  const auto third = cluster.Publish(1, cluster.DocumentOf("desk", 3), 2);
  CHECK(AwaitVerdict(cluster, 1, third) == "accepted");
}

TEST_CASE("Corrupt and oversized records are skipped and logged, and the daemons keep running")
{
  Cluster cluster({});
  const std::string path = "/v1/streams/documents/records";
  const SocketAddress log = cluster.StandInAddress("log");
  for (const std::string& record :
       { std::string("\xff\xfe{"), std::string("{\"type\":"), std::string(20 << 20, 'x') }) {
    CHECK(cluster.Caller().Call(log, HttpRequest{ "POST", path, {}, record })->IsComplete());
  }
  const auto publication = cluster.Publish(1, cluster.DocumentOf("desk", 2), 1);
  CHECK(AwaitVerdict(cluster, 1, publication) == "accepted");
  CHECK(AwaitRevision(cluster, 2));
  CHECK(cluster.LogOf(1).find("Skips record 2") != std::string::npos);
  CHECK(cluster.LogOf(1).find("Skips record 4") != std::string::npos);
}

TEST_CASE("A daemon without documents responds with outcome not-run and Retry-After")
{
  ClusterOptions options;
  options.m_daemons = 1;
  options.m_publishes = false;
  Cluster cluster(options);
  const auto call = cluster.Caller().Call(
    cluster.CallerAddress(0),
    HttpRequest{ "POST", "/v1/services/desk/x", { { "Authorization", "Bearer mill-key" } }, "{}" });
  CHECK(call->m_status == 503);
  CHECK(call->Outcome() == "not-run");
  CHECK(call->Header("X-Error-Code") == "no_document");
  CHECK_FALSE(call->Header("Retry-After").empty());
}
