#include <LibRollout/Rollout.h>

#include <algorithm>
#include <doctest.h>
#include <functional>
#include <random>
#include <vector>

using namespace auburnhitch;

namespace {

constexpr ExposureBounds kBounds{ 0.1, 50 };
constexpr int kSlots = 4;
constexpr int kRoutes = 5;
constexpr int kBoundOfBad = 50;

TimePoint
At(int aMs)
{
  return TimePoint() + Milliseconds(aMs);
}

EndpointId
Target(int aNumber)
{
  return EndpointId("t" + std::to_string(aNumber));
}

RolloutEndpoints
Endpoints(int aTargets, int aOthers)
{
  RolloutEndpoints endpoints;
  for (int i = 0; i < aTargets; ++i) {
    endpoints.m_target.insert(Target(i));
  }
  for (int i = 0; i < aOthers; ++i) {
    endpoints.m_others.insert(EndpointId("o" + std::to_string(i)));
  }
  return endpoints;
}

Rollout
MakeRollout(int aDurationMs = 20'000)
{
  return { { "1", ServiceName("s"), SoftwareVersion("2"), Milliseconds(aDurationMs) },
           kBounds,
           At(0) };
}

/// A request on its way, as a shape of a version or of a fault sees it.
struct Sent
{
  bool m_is_target = false;
  int m_endpoint = 0;
  int m_route = 0;
  int m_running = 0;
  int m_at_ms = 0;
};

struct Effect
{
  double m_failures = 0;
  double m_slowness = 1;
};

/// What happens to requests: the faults of a version, or of the world around it.
using Shape = std::function<Effect(const Sent&)>;

struct Result
{
  RolloutStage m_stage = RolloutStage::Waiting;
  int m_ended_at_ms = 0;
  std::uint64_t m_arrived = 0;
  std::uint64_t m_sent = 0;
  std::uint64_t m_bad = 0;
};

/// Sends generated requests through a rollout, in steps of 10 ms.
class RolloutRun
{
public:
  RolloutRun(unsigned aSeed, int aTargets, Shape aShape)
    : m_random(aSeed)
    , m_targets(aTargets)
    , m_shape(std::move(aShape))
    , m_running_at(aTargets + kOthers, 0)
  {
  }

  /// Breaks all connections of an endpoint of the target at a time.
  void CrashTargetAt(int aMs) { m_crash_at_ms = aMs; }

  Result Run()
  {
    for (int now = 0; now < kDurationMs && !m_rollout.HasEnded(); now += kStepMs) {
      End(now);
      for (int i = std::poisson_distribution<int>(kPerStep)(m_random); i > 0; --i) {
        Send(now);
      }
      RolloutEndpoints endpoints = Endpoints(m_targets, kOthers);
      endpoints.m_running_at_others = CountRunningAtOthers();
      m_rollout.Advance(endpoints, At(now));
      m_ended_at_ms = now;
    }
    // What arrives until the deadline counts for the bound, but was not needed to decide.
    return { m_rollout.Stage(),
             m_ended_at_ms,
             m_rollout.Budget().Arrived(),
             m_rollout.Budget().Sent(),
             m_rollout.BadCount() };
  }

private:
  static constexpr int kDurationMs = 20'000;
  static constexpr int kStepMs = 10;
  static constexpr int kOthers = 20;
  static constexpr double kPerStep = 1.2;
  static constexpr double kExpectedMs = 200;

  struct Running
  {
    Sent m_sent;
    int m_end_ms = 0;
    bool m_is_failure = false;
    bool m_is_counted = false;
  };

  std::size_t CountRunningAtOthers() const
  {
    return static_cast<std::size_t>(
      std::count_if(m_running.begin(), m_running.end(), [](const Running& aRunning) {
        return !aRunning.m_sent.m_is_target;
      }));
  }

  int Choose()
  {
    int best = -1;
    for (int i = 0; i < m_targets; ++i) {
      if (m_rollout.PermitsTarget(Target(i)) && m_running_at[i] < kSlots &&
          (best < 0 || m_running_at[i] < m_running_at[best])) {
        best = i;
      }
    }
    if (best < 0 && m_rollout.PermitsOthers()) {
      best = m_targets + std::uniform_int_distribution<int>(0, kOthers - 1)(m_random);
    }
    return best;
  }

  void Send(int aNow)
  {
    m_rollout.RecordArrival();
    const int chosen = Choose();
    if (chosen < 0) {
      return;
    }
    Sent sent{ chosen < m_targets, chosen, 0, ++m_running_at[chosen], aNow };
    sent.m_route = std::uniform_int_distribution<int>(0, kRoutes - 1)(m_random);
    if (sent.m_is_target) {
      m_rollout.RecordSent();
    }
    const Effect effect = m_shape(sent);
    const double time =
      kExpectedMs * effect.m_slowness * std::lognormal_distribution<double>(0, 0.3)(m_random);
    const bool is_failure = std::bernoulli_distribution(effect.m_failures)(m_random);
    m_running.push_back({ sent, aNow + static_cast<int>(time), is_failure });
  }

  void End(int aNow)
  {
    std::erase_if(m_running, [&](Running& aRunning) {
      const Sent& sent = aRunning.m_sent;
      const KindName route("r" + std::to_string(sent.m_route));
      const bool is_broken = sent.m_endpoint == 0 && m_crash_at_ms >= 0 && aNow >= m_crash_at_ms &&
                             sent.m_at_ms < m_crash_at_ms;
      const bool has_ended = aRunning.m_end_ms <= aNow || is_broken;
      const double slowness = (std::min(aNow, aRunning.m_end_ms) - sent.m_at_ms) / kExpectedMs;
      if (!aRunning.m_is_counted && (has_ended || m_rollout.IsOverdue(route, slowness))) {
        aRunning.m_is_counted = true;
        m_rollout.RecordResponse({ EndpointId("t" + std::to_string(sent.m_endpoint)),
                                   sent.m_is_target,
                                   route,
                                   has_ended && aRunning.m_is_failure,
                                   is_broken,
                                   slowness },
                                 At(aNow));
      }
      m_running_at[sent.m_endpoint] -= has_ended ? 1 : 0;
      return has_ended;
    });
  }

  std::mt19937 m_random;
  int m_targets;
  Shape m_shape;
  Rollout m_rollout = MakeRollout(kDurationMs);
  std::vector<Running> m_running;
  std::vector<int> m_running_at;
  int m_crash_at_ms = -1;
  int m_ended_at_ms = 0;
};

constexpr double kOrdinaryFailures = 0.01;

/// A good version among one kind of disturbance for each seed.
Effect
GoodEffect(unsigned aSeed, const Sent& aSent)
{
  Effect effect{ kOrdinaryFailures, 1 };
  switch (aSeed % 5) {
    case 0:
      // One endpoint of the target is slow.
      effect.m_slowness = aSent.m_is_target && aSent.m_endpoint == 1 ? 4 : 1;
      break;
    case 1:
      // A burst slows all endpoints down for three seconds.
      effect.m_slowness = aSent.m_at_ms > 4'000 && aSent.m_at_ms < 7'000 ? 3 : 1;
      break;
    case 2:
      // One route fails often, whichever version serves it.
      effect.m_failures = aSent.m_route == 0 ? 0.2 : kOrdinaryFailures;
      break;
    default:
      break;
  }
  return effect;
}

void
CheckRolledBack(const std::string& aName, const Shape& aShape)
{
  CAPTURE(aName);
  constexpr unsigned kSeeds = 20;
  std::vector<std::uint64_t> bad;
  bad.reserve(kSeeds);
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    const Result result = RolloutRun(seed, 15, aShape).Run();
    CHECK(result.m_stage == RolloutStage::RolledBack);
    CHECK(result.m_bad <= kBoundOfBad);
    CHECK(static_cast<double>(result.m_sent) <=
          kBounds.m_share * static_cast<double>(result.m_arrived) + kBounds.m_slack);
    bad.push_back(result.m_bad);
  }
  std::sort(bad.begin(), bad.end());
  MESSAGE(aName << ": bad responses until the verdict: median " << bad[kSeeds / 2] << ", most "
                << bad.back());
}

}

// Guards against rollbacks of good versions for faults that are not theirs.
TEST_CASE("Rollouts: at most 2 of 200 good versions are rolled back")
{
  int rolled_back = 0;
  for (unsigned seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    RolloutRun run(seed, 15, [&](const Sent& aSent) { return GoodEffect(seed, aSent); });
    if (seed % 5 == 3) {
      run.CrashTargetAt(5'000);
    }
    const Result result = run.Run();
    CHECK(
      (result.m_stage == RolloutStage::Completed || result.m_stage == RolloutStage::RolledBack));
    if (result.m_stage == RolloutStage::RolledBack) {
      ++rolled_back;
      MESSAGE("rolled back: seed " << seed << ", disturbance " << seed % 5 << ", at "
                                   << result.m_ended_at_ms << " ms");
    }
  }
  CHECK(rolled_back <= 2);
}

// Guards against bad versions of each shape that are completed, found late, or exposed too much.
TEST_CASE("Rollouts: bad versions are rolled back within the bounds of exposure")
{
  CheckRolledBack("failures of 0.3", [](const Sent& aSent) {
    return Effect{ aSent.m_is_target ? 0.3 : kOrdinaryFailures, 1 };
  });
  CheckRolledBack("ten times slower", [](const Sent& aSent) {
    return Effect{ kOrdinaryFailures, aSent.m_is_target ? 10.0 : 1 };
  });
  CheckRolledBack("four times slower", [](const Sent& aSent) {
    return Effect{ kOrdinaryFailures, aSent.m_is_target ? 4.0 : 1 };
  });
  CheckRolledBack("failures of 0.3 after 4 s", [](const Sent& aSent) {
    return Effect{ aSent.m_is_target && aSent.m_at_ms > 4'000 ? 0.3 : kOrdinaryFailures, 1 };
  });
  CheckRolledBack(
    "failures of 0.5 with three or more requests at an endpoint", [](const Sent& aSent) {
      return Effect{ aSent.m_is_target && aSent.m_running >= 3 ? 0.5 : kOrdinaryFailures, 1 };
    });
  CheckRolledBack("failures of 0.5 on one route of five", [](const Sent& aSent) {
    return Effect{ aSent.m_is_target && aSent.m_route == 2 ? 0.5 : kOrdinaryFailures, 1 };
  });
}

// Guards against a bad version that is not rolled back because it has one endpoint.
TEST_CASE("Rollouts: a version with one endpoint is judged by it")
{
  const auto run = [](double aFailures) {
    return RolloutRun(7,
                      1,
                      [&](const Sent& aSent) {
                        return Effect{ aSent.m_is_target ? aFailures : kOrdinaryFailures, 1 };
                      })
      .Run();
  };
  CHECK(run(0.3).m_stage == RolloutStage::RolledBack);
  CHECK(run(kOrdinaryFailures).m_stage == RolloutStage::Completed);
}

// Guards against slow hosts whose slowness is taken for that of the version.
TEST_CASE("Rollouts: the slowness of some endpoints is not that of their version")
{
  constexpr std::size_t kEndpoints = 9;
  constexpr int kSlow = 3;
  SlowEndpoints endpoints;
  for (int i = 0; i < static_cast<int>(kEndpoints); ++i) {
    CHECK_FALSE(endpoints.Record(Target(i), i < kSlow, kEndpoints));
  }
  CHECK_FALSE(endpoints.Record(Target(0), true, kEndpoints));
  // The version turns slow.
  CHECK_FALSE(endpoints.Record(Target(kSlow), true, kEndpoints));
  CHECK(endpoints.Record(Target(kSlow + 1), true, kEndpoints));
  CHECK(endpoints.Record(Target(0), true, kEndpoints));
  CHECK_FALSE(endpoints.Record(Target(0), false, kEndpoints));
  endpoints.Reset();
  CHECK(endpoints.Record(Target(0), true, 1));
}

// Guards against requests to a target before its order has a stage, and after a rollback.
TEST_CASE("Rollouts: a target gets nothing before the first stage and after the deadline")
{
  Rollout rollout = MakeRollout();
  rollout.Advance(Endpoints(0, 3), At(0));
  CHECK_FALSE(rollout.PermitsTarget(Target(0)));
  CHECK(rollout.PermitsOthers());
  rollout.Advance(Endpoints(2, 3), At(10));
  CHECK(rollout.Stage() == RolloutStage::Probe);
  CHECK(rollout.PermitsTarget(Target(0)));
  rollout.Advance(Endpoints(2, 3), At(20'000));
  CHECK(rollout.Stage() == RolloutStage::RolledBack);
  CHECK_FALSE(rollout.PermitsTarget(Target(0)));
  CHECK(rollout.PermitsOthers());
  // A version that comes back after its rollback stays unused.
  rollout.Advance(Endpoints(3, 3), At(20'100));
  CHECK_FALSE(rollout.PermitsTarget(Target(2)));
}

// Guards against an order for the version that serves already, which has nothing to compare with.
TEST_CASE("Rollouts: a target that alone serves is completed at once")
{
  Rollout rollout = MakeRollout();
  rollout.Advance(Endpoints(3, 0), At(0));
  CHECK(rollout.PermitsTarget(Target(0)));
  rollout.Advance(Endpoints(3, 0), At(10));
  CHECK(rollout.Stage() == RolloutStage::Completed);
}

// Guards against an order of a service that is gone, which has no end.
TEST_CASE("Rollouts: an order without endpoints is rolled back before its deadline")
{
  Rollout rollout = MakeRollout();
  rollout.Advance({}, At(10'000));
  CHECK(rollout.Stage() == RolloutStage::Waiting);
  rollout.Advance({}, At(19'000));
  CHECK(rollout.Stage() == RolloutStage::RolledBack);
}

// Guards against old endpoints that stop while requests run there.
TEST_CASE("Rollouts: completion waits for requests at the old endpoints")
{
  Rollout rollout = MakeRollout();
  rollout.Restore(RolloutStage::Drain, 1'000, 100, At(12'000));
  RolloutEndpoints endpoints = Endpoints(3, 3);
  endpoints.m_running_at_others = 1;
  CHECK_FALSE(rollout.Advance(endpoints, At(12'000)));
  CHECK_FALSE(rollout.PermitsOthers());
  endpoints.m_running_at_others = 0;
  CHECK(rollout.Advance(endpoints, At(12'100)));
  CHECK(rollout.Stage() == RolloutStage::Completed);
}

// Guards against requests that break because a version is completed while they run elsewhere, and
// against a stage without an end because a daemon has left.
TEST_CASE("Rollouts: a version is not completed at the deadline while requests run at others")
{
  Rollout rollout = MakeRollout();
  rollout.Restore(RolloutStage::Drain, 1'000, 100, At(12'000));
  RolloutEndpoints endpoints = Endpoints(3, 3);
  CHECK(rollout.PermitsStreamsAtOthers(At(12'000)));
  CHECK_FALSE(rollout.PermitsStreamsAtOthers(At(17'500)));
  SUBCASE("known to run")
  {
    endpoints.m_running_at_others = 1;
    CHECK_FALSE(rollout.Advance(endpoints, At(18'500)));
    CHECK(rollout.Advance(endpoints, At(19'500)));
    CHECK(rollout.Stage() == RolloutStage::RolledBack);
  }
  SUBCASE("of daemons that have left")
  {
    endpoints.m_possibly_running_at_others = 1;
    CHECK_FALSE(rollout.Advance(endpoints, At(13'000)));
    CHECK(rollout.Advance(endpoints, At(18'500)));
    CHECK(rollout.Stage() == RolloutStage::Completed);
  }
}

// Guards against a stage Drain that begins too late for the requests at other versions to end.
TEST_CASE("Rollouts: a short rollout decides early enough for requests to end")
{
  for (const auto& [duration_ms, drain_ms] :
       { std::pair(20'000, 12'000), std::pair(50'000, 34'000), std::pair(600'000, 450'000) }) {
    Rollout rollout = MakeRollout(duration_ms);
    rollout.Restore(RolloutStage::Share, 1'000, 100, At(100));
    rollout.RecordResponse({ Target(0), true, KindName("r") }, At(100));
    CHECK_FALSE(rollout.Advance(Endpoints(3, 3), At(drain_ms - 100)));
    CHECK(rollout.Advance(Endpoints(3, 3), At(drain_ms + 100)));
    CHECK(rollout.Stage() == RolloutStage::Drain);
  }
}

// Guards against a successor that spends the exposure of its predecessor once more.
TEST_CASE("Rollouts: a restored rollout continues the count of its exposure")
{
  Rollout rollout = MakeRollout();
  rollout.Restore(RolloutStage::Share, 1'000, 120, At(5'000));
  rollout.Advance(Endpoints(3, 3), At(5'000));
  CHECK_FALSE(rollout.PermitsTarget(Target(0)));
  for (int i = 0; i < 600; ++i) {
    rollout.RecordArrival();
  }
  CHECK(rollout.PermitsTarget(Target(0)) == (0.6 * (0.1 * 1'600 + 50) >= 121));
}
