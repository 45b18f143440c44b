#include "GatewayCluster.h"

#include <absl/strings/str_cat.h>
#include <atomic>
#include <csignal>
#include <doctest.h>
#include <mutex>
#include <thread>
#include <vector>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

constexpr std::size_t kDaemons = 3;
constexpr std::size_t kEndpoints = 3;
constexpr int kRounds = 2;
constexpr int kFew = 2 * static_cast<int>(kEndpoints);
constexpr int kSlots = 4 * static_cast<int>(kEndpoints);
constexpr std::size_t kCrowd = 8 * kEndpoints;
// Longer than any time after which a daemon takes silent endpoints for unreachable.
constexpr std::chrono::milliseconds kQuiet{ 2'500 };
constexpr std::chrono::milliseconds kPause{ 1'300 };
constexpr const char* kBody = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// Writes a stream of two events and keeps quiet before the first one, or between them.
bool
WriteQuietStream(RawConnection& aConnection, const RawRequest& aRequest)
{
  const bool is_quiet_first = aRequest.Header("x-request-id").starts_with("first");
  if (is_quiet_first) {
    std::this_thread::sleep_for(kQuiet);
  }
  const bool is_resumed = !aRequest.Header("last-event-id").empty();
  aConnection.Write(WithIdOf(
    aRequest,
    absl::StrCat("HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n",
                 is_resumed ? "" : "f\r\nid: 1\ndata: a\n\n\r\n")));
  if (!is_quiet_first) {
    std::this_thread::sleep_for(kQuiet);
  }
  return aConnection.Write("f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
}

void
SetQuiet(GatewayCluster& aCluster)
{
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    aCluster.Endpoint(i).SetBehaviour(WriteQuietStream);
  }
}

void
SetStatesNoState(GatewayCluster& aCluster)
{
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    aCluster.Endpoint(i).SetStatesItsState(false);
  }
}

/// Streams that are sent at once through one daemon, in turn of both kinds and quiet in both ways.
struct Streams
{
  std::string m_name;
  int m_count = 0;
  /// How often each may run.
  int m_max_runs = 1;
  /// Whether those that no endpoint has run may be refused.
  bool m_may_be_refused = false;
  std::size_t m_daemon = 0;
};

/// Sends streams and checks that each arrives whole.
void
CheckStreams(GatewayCluster& aCluster, const Streams& aStreams)
{
  std::mutex mutex;
  std::map<std::string, CallerResponse> responses;
  std::vector<std::thread> callers;
  callers.reserve(static_cast<std::size_t>(aStreams.m_count));
  for (int number = 0; number < aStreams.m_count; ++number) {
    callers.emplace_back([&, number] {
      const std::string id =
        absl::StrCat(number % 2 == 0 ? "first-" : "between-", aStreams.m_name, number);
      const char* path = number % 4 < 2 ? "/resumable/x" : "/stream/x";
      CallerResponse response = aCluster.Call(path, id, "", aStreams.m_daemon);
      const std::lock_guard lock(mutex);
      responses[id] = std::move(response);
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const auto& entry : responses) {
    const std::string& id = entry.first;
    CAPTURE(id);
    if (aStreams.m_may_be_refused && entry.second.m_status == 503) {
      CHECK(aCluster.RunsOf(id) == 0);
      continue;
    }
    CHECK(entry.second.m_status == 200);
    CHECK(entry.second.m_is_complete);
    CHECK(entry.second.m_body == kBody);
    CHECK(aCluster.RunsOf(id) <= aStreams.m_max_runs);
  }
}

bool
HasLogged(const GatewayCluster& aCluster, std::size_t aDaemon, const std::string& aText)
{
  return aCluster.LogOfDaemon(aDaemon).find(aText) != std::string::npos;
}

}

TEST_CASE("Quiet endpoints: streams of endpoints that are quiet together run once, to their end")
{
  GatewayCluster cluster(kDaemons, kEndpoints);
  SetQuiet(cluster);
  for (int round = 0; round < kRounds; ++round) {
    CheckStreams(cluster, { absl::StrCat(round, "-"), kFew });
  }
  CHECK_FALSE(HasLogged(cluster, 0, "event=given-up"));
}

TEST_CASE("Quiet endpoints: streams that hold all slots are not given up for a refusal")
{
  GatewayCluster cluster(kDaemons, kEndpoints);
  SetQuiet(cluster);
  for (int round = 0; round < kRounds; ++round) {
    CheckStreams(cluster, { absl::StrCat(round, "-"), kSlots });
  }
}

TEST_CASE(
  "Quiet endpoints: streams of a daemon that seems cut off run on while no retry is allowed")
{
  GatewayClusterOptions options;
  options.m_daemons = kDaemons;
  options.m_endpoints = kEndpoints;
  options.m_settings["bounds"] = { { "retry_ratio", 0 }, { "retry_slack", 0 } };
  GatewayCluster cluster(options);
  SetQuiet(cluster);
  SetStatesNoState(cluster);
  for (int round = 0; round < kRounds; ++round) {
    CheckStreams(cluster, { absl::StrCat(round, "-"), kFew });
  }
  CHECK(HasLogged(cluster, 0, "event=cannot-connect"));
}

TEST_CASE("Quiet endpoints: streams of a daemon that seems cut off are not lost to a full queue")
{
  GatewayCluster cluster(kDaemons, kEndpoints);
  SetQuiet(cluster);
  SetStatesNoState(cluster);
  std::atomic<bool> is_over = false;
  std::vector<std::thread> crowd;
  crowd.reserve(kCrowd);
  for (std::size_t caller = 0; caller < kCrowd; ++caller) {
    crowd.emplace_back([&, caller] {
      for (int number = 0; !is_over; ++number) {
        cluster.Call("/stream/x", absl::StrCat("first-crowd-", caller, "-", number), "", 1);
      }
    });
  }
  CheckStreams(cluster, { "", kSlots, 2, true });
  is_over = true;
  for (std::thread& caller : crowd) {
    caller.join();
  }
}

TEST_CASE("Quiet endpoints: streams arrive whole through a daemon that stands still at times")
{
  GatewayCluster cluster(kDaemons, kEndpoints);
  SetQuiet(cluster);
  std::atomic<bool> is_over = false;
  std::thread pauses([&] {
    while (!is_over) {
      std::this_thread::sleep_for(kPause);
      cluster.Daemon(0).Signal(SIGSTOP);
      std::this_thread::sleep_for(kPause);
      cluster.Daemon(0).Signal(SIGCONT);
    }
  });
  for (int round = 0; round < kRounds; ++round) {
    CheckStreams(cluster, { absl::StrCat(round, "-"), kFew });
  }
  is_over = true;
  pauses.join();
}

TEST_CASE("Quiet endpoints: a forwarded request is not given up when heartbeats are lost")
{
  GatewayClusterOptions options;
  options.m_daemons = kDaemons;
  options.m_endpoints = kEndpoints;
  options.m_has_endpoint_paths = true;
  options.m_has_peer_network = true;
  GatewayCluster cluster(options);
  cluster.CutFromEndpoints(0, EndpointCut::Reset);
  int count = 0;
  REQUIRE(WaitFor([&] {
    return cluster.Call("/safe/x", absl::StrCat("cut-", ++count), "X-Deadline-Ms: 1500\r\n")
             .m_status == 200;
  }));
  std::atomic<int> arrived = 0;
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    cluster.Endpoint(i).SetBehaviour([&](RawConnection& aConnection, const RawRequest& aRequest) {
      ++arrived;
      if (aRequest.Path() != "/unsafe/x") {
        return WriteQuietStream(aConnection, aRequest);
      }
      std::this_thread::sleep_for(kQuiet);
      return RespondWithSuccess(aConnection, aRequest);
    });
  }
  CallerResponse response;
  std::thread unsafe([&] { response = cluster.Call("/unsafe/x", "unsafe"); });
  std::thread cut([&] {
    CHECK(WaitFor([&] { return arrived == 3; }));
    for (std::size_t i = 1; i < kDaemons; ++i) {
      cluster.Network().SetCut(i, 0, true);
    }
  });
  CheckStreams(cluster, { "forwarded-", 2 });
  unsafe.join();
  cut.join();
  CHECK(response.m_status == 200);
  CHECK(cluster.RunsOf("unsafe") == 1);
}

TEST_CASE("Quiet endpoints: streams run once, to their end, when their coordinator is killed")
{
  GatewayCluster cluster(kDaemons, kEndpoints);
  SetQuiet(cluster);
  cluster.Call("/safe/x", "first");
  std::size_t coordinator = 0;
  while (!HasLogged(cluster, 0, absl::StrCat("home=gateway-", coordinator, " before="))) {
    ++coordinator;
    REQUIRE(coordinator < kDaemons);
  }
  const std::size_t daemon = (coordinator + 1) % kDaemons;
  std::thread kill([&] {
    CHECK(WaitFor([&] { return cluster.RunsOf("between-killed-1") > 0; }));
    cluster.Daemon(coordinator).Signal(SIGKILL);
  });
  CheckStreams(cluster, { "killed-", kFew, 1, false, daemon });
  kill.join();
  CHECK(HasLogged(cluster, daemon, "event=home-lost"));
}
