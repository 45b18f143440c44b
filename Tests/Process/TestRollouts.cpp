#include "GatewayCluster.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <atomic>
#include <csignal>
#include <doctest.h>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

constexpr std::size_t kDaemons = 3;
constexpr std::size_t kOldEndpoints = 3;
constexpr std::size_t kEndpoints = 6;
constexpr std::size_t kCallers = 6;
constexpr double kExposureShare = 0.1;
constexpr int kExposureSlack = 50;
constexpr const char* kKey = "rollout/s";
constexpr std::array kRoutes = { "safe", "unsafe", "third", "fourth" };
constexpr std::chrono::milliseconds kWorkTime{ 10 };
/// The route of requests that run long, of either version.
constexpr const char* kLongRoute = "long";
constexpr int kLongWork = 50;

/// What is wrong with the target version.
struct VersionFault
{
  std::string m_name = "none";
  /// Of ten requests, so many fail.
  int m_failures_of_ten = 0;
  int m_slowness = 1;
  /// Number of requests that an endpoint serves well before that.
  int m_begins_after = 0;
  /// The route that it is restricted to; empty for all.
  std::string m_route;
};

struct Counts
{
  /// Requests that reached endpoints of each version, and that run there.
  int m_at_old = 0;
  int m_running_at_old = 0;
  int m_at_target = 0;
  int m_running_at_target = 0;
  /// Responses that callers received; those that are neither a success nor a refusal; and requests
  /// that were broken off.
  int m_responses = 0;
  int m_errors = 0;
  int m_broken = 0;

  auto operator<=>(const Counts&) const = default;
};

/// Daemons before endpoints of two versions, with callers that call all the time.
class RolloutDrill
{
public:
  explicit RolloutDrill(VersionFault aFault, bool aHasProxies = false)
    : m_fault(std::move(aFault))
    , m_cluster(OptionsOf(aHasProxies))
  {
    m_cluster.Configure([](nlohmann::json& aConfiguration) {
      for (const char* name : { "third", "fourth", kLongRoute }) {
        nlohmann::json route = aConfiguration["routes"][0];
        route["name"] = name;
        route["path_prefix"] = absl::StrCat("/", name, "/");
        aConfiguration["routes"].push_back(std::move(route));
      }
    });
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      m_cluster.Endpoint(i).SetBehaviour(
        [this, i](RawConnection& aConnection, const RawRequest& aRequest) {
          return Serve(i, aConnection, aRequest);
        });
    }
    for (auto& is_called : m_is_called) {
      is_called = true;
    }
  }

  ~RolloutDrill()
  {
    m_is_stopping = true;
    for (std::thread& caller : m_callers) {
      caller.join();
    }
  }

  RolloutDrill(const RolloutDrill&) = delete;
  RolloutDrill& operator=(const RolloutDrill&) = delete;

  GatewayCluster& Cluster() { return m_cluster; }

  /// The operator orders the target, and callers begin once that is known to be in progress.
  /// aLongCallers: how many others have a request that runs long at all times.
  void Begin(double aDurationSeconds, std::size_t aLongCallers = 0)
  {
    m_cluster.Store().Put(
      "keyed.op",
      kKey,
      nlohmann::json{ { "service", "s" }, { "target", "v2" }, { "duration_s", aDurationSeconds } }
        .dump());
    REQUIRE(AwaitStatus("running"));
    for (std::size_t i = 0; i < kCallers + aLongCallers; ++i) {
      m_callers.emplace_back([this, i] { CallAllTheTime(i); });
    }
  }

  std::string Status() const
  {
    const auto status = m_cluster.Store().Newest("keyed.status", kKey);
    return status ? nlohmann::json::parse(*status)["state"].get<std::string>() : "";
  }

  /// Waits for a status, for the longest duration of an order.
  bool AwaitStatus(const std::string& aStatus) const
  {
    for (int round = 0; round < 3; ++round) {
      if (WaitFor([&] { return Status() == aStatus; })) {
        return true;
      }
    }
    return false;
  }

  /// Waits until the rollout has ended, and returns how.
  std::string AwaitEnd() const
  {
    for (int round = 0; round < 3; ++round) {
      if (WaitFor([&] { return Status() == "completed" || Status() == "rolled_back"; })) {
        break;
      }
    }
    return Status();
  }

  /// What the daemons have logged of the rollout.
  std::string LogOfRollout() const
  {
    std::string lines;
    for (std::size_t i = 0; i < kDaemons; ++i) {
      std::istringstream log(m_cluster.LogOfDaemon(i));
      for (std::string line; std::getline(log, line);) {
        if (line.find("rollout: ") != std::string::npos) {
          absl::StrAppend(&lines, "\n", line);
        }
      }
    }
    return lines;
  }

  Counts Count() const
  {
    const std::lock_guard lock(m_mutex);
    return m_counts;
  }

  /// Waits until callers have received more responses.
  bool AwaitResponses(int aCount) const
  {
    const int until = Count().m_responses + aCount;
    return WaitFor([&] { return Count().m_responses >= until; });
  }

  /// Waits until the target has received requests.
  bool AwaitAtTarget(int aCount) const
  {
    return WaitFor([&] { return Count().m_at_target >= aCount; });
  }

  /// The daemon that decides by the newest state in the store.
  std::optional<std::size_t> Decider() const
  {
    const auto state = m_cluster.Store().Newest("keyed.rollouts", kKey);
    if (!state) {
      return std::nullopt;
    }
    const std::string incarnation = nlohmann::json::parse(*state)["decider"];
    for (std::size_t i = 0; i < kDaemons; ++i) {
      if (m_cluster.LogOfDaemon(i).find("incarnation=" + incarnation) != std::string::npos) {
        return i;
      }
    }
    return std::nullopt;
  }

  /// Sets whether callers call a daemon.
  void SetIsCalled(std::size_t aDaemon, bool aIsCalled) { m_is_called.at(aDaemon) = aIsCalled; }

  void Kill(std::size_t aDaemon)
  {
    SetIsCalled(aDaemon, false);
    m_cluster.Daemon(aDaemon).Signal(SIGKILL);
    REQUIRE(WaitFor([&] { return m_cluster.Daemon(aDaemon).ExitStatus().has_value(); }));
  }

  void Restart(std::size_t aDaemon)
  {
    m_cluster.StartDaemon(aDaemon);
    m_cluster.WaitUntilReady(aDaemon);
    SetIsCalled(aDaemon, true);
  }

  /// Lets the old endpoints reset each connection, as endpoints that stop at once.
  void StopOldEndpoints() { m_are_old_stopped = true; }

  /// Checks what holds once a rollout has been rolled back.
  void CheckRolledBack() const
  {
    CHECK(AwaitEnd() == "rolled_back");
    CHECK(WaitFor([&] { return Count().m_running_at_target == 0; }));
    const Counts ended = Count();
    MESSAGE(m_fault.m_name << ": at the target " << ended.m_at_target << " of "
                           << ended.m_responses);
    CHECK(ended.m_at_target <= kExposureShare * ended.m_responses + kExposureSlack);
    CHECK(AwaitResponses(300));
    CHECK(Count().m_at_target == ended.m_at_target);
    CHECK(Status() == "rolled_back");
  }

private:
  static GatewayClusterOptions OptionsOf(bool aHasProxies)
  {
    GatewayClusterOptions options;
    options.m_daemons = kDaemons;
    options.m_endpoints = kEndpoints;
    options.m_has_proxies = aHasProxies;
    options.m_versions = { "v1", "v1", "v1", "v2", "v2", "v2" };
    options.m_settings = { { "bounds",
                             { { "exposure_share", kExposureShare },
                               { "exposure_slack", kExposureSlack },
                               { "rollback_ms", 5'000 } } } };
    return options;
  }

  bool IsBad(int aNumber, const RawRequest& aRequest) const
  {
    return aNumber > m_fault.m_begins_after &&
           (m_fault.m_route.empty() || aRequest.Path() == absl::StrCat("/", m_fault.m_route, "/x"));
  }

  bool Serve(std::size_t aEndpoint, RawConnection& aConnection, const RawRequest& aRequest)
  {
    const bool is_target = aEndpoint >= kOldEndpoints;
    int number = 0;
    {
      const std::lock_guard lock(m_mutex);
      ++(is_target ? m_counts.m_at_target : m_counts.m_at_old);
      ++(is_target ? m_counts.m_running_at_target : m_counts.m_running_at_old);
      number = ++m_served[aEndpoint];
    }
    bool is_open = false;
    if (is_target || !m_are_old_stopped) {
      const bool is_bad = is_target && IsBad(number, aRequest);
      const bool is_long = aRequest.Path() == absl::StrCat("/", kLongRoute, "/x");
      std::this_thread::sleep_for(kWorkTime * (is_long ? kLongWork : 1) *
                                  (is_bad ? m_fault.m_slowness : 1));
      // The failures are spread evenly over the requests.
      constexpr int kStride = 7;
      is_open = is_bad && number * kStride % 10 < m_fault.m_failures_of_ten
                  ? RespondWithFailure(aConnection, aRequest)
                  : RespondWithSuccess(aConnection, aRequest);
    } else {
      aConnection.Reset();
    }
    const std::lock_guard lock(m_mutex);
    --(is_target ? m_counts.m_running_at_target : m_counts.m_running_at_old);
    return is_open;
  }

  static bool RespondWithFailure(RawConnection& aConnection, const RawRequest& aRequest)
  {
    aConnection.Write(absl::StrCat("HTTP/1.1 500 X\r\nX-Request-Id: ",
                                   aRequest.Header("x-request-id"),
                                   "\r\nContent-Length: 0\r\n\r\n"));
    return true;
  }

  void CallAllTheTime(std::size_t aCaller)
  {
    for (int number = 0; !m_is_stopping; ++number) {
      std::this_thread::sleep_for(kWorkTime);
      const std::size_t daemon = (aCaller + static_cast<std::size_t>(number)) % kDaemons;
      if (!m_is_called.at(daemon)) {
        continue;
      }
      const char* const route = aCaller >= kCallers
                                  ? kLongRoute
                                  : kRoutes.at(static_cast<std::size_t>(number) % kRoutes.size());
      const CallerResponse response = m_cluster.Call(
        absl::StrCat("/", route, "/x"), absl::StrCat("c-", aCaller, "-", number), "", daemon);
      const bool is_refusal = response.m_status == 503 || response.m_status == 429;
      const std::lock_guard lock(m_mutex);
      m_counts.m_responses += response.m_status != 0 ? 1 : 0;
      m_counts.m_errors += response.m_status >= 400 && !is_refusal ? 1 : 0;
      m_counts.m_broken += response.m_status == 0 || !response.m_is_complete ? 1 : 0;
    }
  }

  const VersionFault m_fault;
  mutable std::mutex m_mutex;
  Counts m_counts;
  std::map<std::size_t, int> m_served;
  std::atomic<bool> m_are_old_stopped = false;
  std::atomic<bool> m_is_stopping = false;
  std::array<std::atomic<bool>, kDaemons> m_is_called;
  mutable GatewayCluster m_cluster;
  std::vector<std::thread> m_callers;
};

constexpr double kDuration = 20;

}

// Guards against callers' requests that break when the old endpoints stop at once, as they do when
// the rollout is completed.
TEST_CASE("Rollouts: a good version is completed, with no request at the old endpoints then")
{
  RolloutDrill drill({});
  drill.Begin(kDuration, 3);
  // A malformed record does not end the rollout.
  drill.Cluster().Store().Put("keyed.op", kKey, "{");
  REQUIRE_MESSAGE(drill.AwaitEnd() == "completed", drill.LogOfRollout());
  const Counts completed = drill.Count();
  drill.StopOldEndpoints();
  CHECK(completed.m_running_at_old == 0);
  CHECK(drill.AwaitResponses(300));
  const Counts after = drill.Count();
  CHECK(after.m_at_old == completed.m_at_old);
  CHECK(after.m_errors == 0);
  CHECK(after.m_broken == 0);
  CHECK(drill.Status() == "completed");
}

// Guards against a bad version that gets all callers, or more of them than the operator permits.
TEST_CASE("Rollouts: a bad version is rolled back within its exposure")
{
  for (const VersionFault& fault : std::vector<VersionFault>{
         { "fails from the start", 3, 1, 0, "" },
         { "ten times slower", 0, 10, 0, "" },
         { "fails later", 3, 1, 15, "" },
         { "fails on one route", 5, 1, 0, "third" },
       }) {
    CAPTURE(fault.m_name);
    RolloutDrill drill(fault);
    drill.Begin(kDuration);
    drill.CheckRolledBack();
  }
}

// Guards against a decider whose loss lets a bad version exceed its exposure or ends the rollout.
TEST_CASE("Rollouts: a bad version is rolled back although the decider fails")
{
  const VersionFault fault{ "fails later", 3, 1, 8, "" };
  for (const int signal : { SIGKILL, SIGSTOP }) {
    CAPTURE(signal);
    RolloutDrill drill(fault);
    drill.Begin(kDuration);
    REQUIRE(drill.AwaitAtTarget(10));
    const auto decider = drill.Decider();
    REQUIRE(decider);
    drill.SetIsCalled(*decider, false);
    drill.Cluster().Daemon(*decider).Signal(signal);
    CHECK(drill.AwaitEnd() == "rolled_back");
    drill.Cluster().Daemon(*decider).Signal(SIGCONT);
    drill.CheckRolledBack();
  }
}

// Guards against a decider that cannot reserve exposure and sends requests nevertheless.
TEST_CASE("Rollouts: a bad version is rolled back although the decider is cut off from the store")
{
  RolloutDrill drill({ "fails later", 3, 1, 8, "" }, true);
  drill.Begin(kDuration);
  REQUIRE(drill.AwaitAtTarget(10));
  const auto decider = drill.Decider();
  REQUIRE(decider);
  drill.Cluster().CommandStoreProxy(*decider,
                                    { { "fault", "unreachable" }, { "change_open", true } });
  drill.CheckRolledBack();
}

// Guards against exposure and verdicts that are known to the daemons only.
TEST_CASE("Rollouts: a bad version is rolled back although all daemons are killed and restarted")
{
  RolloutDrill drill({ "fails later", 3, 1, 8, "" });
  drill.Begin(kDuration);
  REQUIRE(drill.AwaitAtTarget(10));
  for (std::size_t i = 0; i < kDaemons; ++i) {
    drill.Kill(i);
  }
  for (std::size_t i = 0; i < kDaemons; ++i) {
    drill.Restart(i);
  }
  drill.CheckRolledBack();
}

// Guards against a version that goes on to get requests after its order was withdrawn.
TEST_CASE("Rollouts: a rollout whose order is withdrawn ends as rolled back")
{
  RolloutDrill drill({});
  drill.Begin(kDuration);
  REQUIRE(drill.AwaitAtTarget(10));
  drill.Cluster().Store().Put("keyed.op", kKey, std::nullopt);
  drill.CheckRolledBack();
}

// Guards against an operator who is told for good that a rollout is in progress, and against a bad
// version that is tried once more.
TEST_CASE("Rollouts: a verdict that the store has lost is saved and published again")
{
  RolloutDrill drill({ "fails from the start", 3, 1, 0, "" });
  drill.Begin(kDuration);
  const StoreStandIn::Copy copy = drill.Cluster().Store().TakeCopy();
  drill.CheckRolledBack();
  const Counts ended = drill.Count();
  drill.Cluster().Store().GoBackTo(copy);
  drill.CheckRolledBack();
  CHECK(drill.Count().m_at_target == ended.m_at_target);
}

// Guards against a good version that is never completed because its decider was lost.
TEST_CASE("Rollouts: a good version is completed although the decider is killed")
{
  RolloutDrill drill({});
  drill.Begin(kDuration);
  REQUIRE(drill.AwaitAtTarget(10));
  const auto decider = drill.Decider();
  REQUIRE(decider);
  drill.Kill(*decider);
  CHECK(drill.AwaitEnd() == "completed");
  CHECK(drill.Count().m_running_at_old == 0);
}

// Guards against an operator who cannot see what becomes of an order.
TEST_CASE("Rollouts: the command shows orders with the states and statuses that belong to them")
{
  StoreStandIn store;
  const auto put = [&](const char* aTopic, const char* aService, const nlohmann::json& aValue) {
    store.Put(aTopic, absl::StrCat("rollout/", aService), aValue.dump());
  };
  store.Put("keyed.op", "config", "{}");
  for (const char* service : { "a", "b" }) {
    put("keyed.op", service, { { "service", service }, { "target", "v2" }, { "duration_s", 20 } });
  }
  store.Put("keyed.op", "rollout/c", "{");
  const auto show = [&] {
    const auto path =
      std::filesystem::temp_directory_path() / absl::StrCat("auburnhitch-rollouts-", getpid());
    std::filesystem::remove(path);
    ChildProcess command({ COMMAND_PROGRAM, "--json", "rollouts", store.Address().Value() },
                         path.string());
    CHECK(WaitFor([&] { return command.ExitStatus() == 0; }));
    auto shown = nlohmann::json::parse(std::ifstream(path));
    std::filesystem::remove(path);
    return shown;
  };
  const nlohmann::json begun = show();
  REQUIRE(begun.size() == 2);
  CHECK(begun[0]["service"] == "a");
  CHECK_FALSE(begun[0].contains("stage"));
  nlohmann::json state{ { "service", "a" }, { "order", begun[0]["order"] }, { "target", "v2" },
                        { "decider", "d" }, { "stage", "share" },           { "arrived", 1'000 },
                        { "sent", 40 } };
  put("keyed.rollouts", "a", state);
  put("keyed.status", "a", { { "state", "running" }, { "target", "v2" } });
  state["service"] = "b";
  put("keyed.rollouts", "b", state);
  const nlohmann::json shown = show();
  REQUIRE(shown.size() == 2);
  CHECK(shown[0]["stage"] == "share");
  CHECK(shown[0]["sent"] == 40);
  CHECK(shown[0]["status"] == "running");
  // The state is that of another order.
  CHECK_FALSE(shown[1].contains("stage"));
}

// Guards against calls to the store that cost while there is nothing to decide.
TEST_CASE("Rollouts: no topic of rollouts is read or written while no order is in progress")
{
  GatewayCluster cluster(kDaemons, 2);
  for (int count = 0; count < 50; ++count) {
    cluster.Call(
      "/safe/x", absl::StrCat("r-", count), "", static_cast<std::size_t>(count) % kDaemons);
  }
  CHECK(cluster.Store().Calls("keyed.rollouts") == 0);
  CHECK(cluster.Store().Calls("keyed.status") == 0);
}
