#include "EventQueue.h"

#include <LibPlacement/SlotScheduler.h>

#include <doctest.h>
#include <map>
#include <random>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

constexpr TimePoint kStart{};

TimePoint
At(double aMs)
{
  return kStart +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(aMs));
}

/// A load of one kind of request on endpoints of stated slowness.
struct Load
{
  std::vector<double> m_slowness;
  int m_slots = 4;
  int m_daemons = 8;
  double m_per_second = 0;
  double m_prompt_tokens = 0;
  /// Standard deviation of the logarithm of the prompt tokens.
  double m_prompt_sigma = 0;
  double m_output_tokens = 0;
  double m_objective_ms = 500;
};

struct Outcome
{
  int m_arrived = 0;
  int m_in_time = 0;
  int m_granted = 0;
  /// Grants whose daemon had an idle connection to the endpoint.
  int m_reused = 0;

  double InTimeShare() const { return static_cast<double>(m_in_time) / m_arrived; }
  double ReusedShare() const { return static_cast<double>(m_reused) / m_granted; }
};

constexpr double kDurationMs = 20'000;
constexpr double kTickMs = 10;
constexpr unsigned kSeeds = 5;

/// Simulates arrivals at several daemons, a scheduler, and endpoints whose speed it has to learn.
class ChoiceSimulation
{
public:
  ChoiceSimulation(const Load& aLoad, bool aLearns, unsigned aSeed)
    : m_load(aLoad)
    , m_random(aSeed)
    , m_scheduler(LimitsOf(aLearns))
  {
    std::vector<SlotEndpointInfo> infos;
    for (std::size_t i = 0; i < aLoad.m_slowness.size(); ++i) {
      const EndpointId id("e" + std::to_string(i));
      infos.push_back(SlotEndpointInfo{ id, DataCenterName("dc"), aLoad.m_slots, 1 });
      m_slowness[id] = aLoad.m_slowness[i];
    }
    m_scheduler.SetEndpoints(infos, kStart);
  }

  Outcome Run()
  {
    m_events.ScheduleEach(m_random, 0, kDurationMs, m_load.m_per_second, [this] { Arrive(); });
    for (double at = 0; at < kDurationMs; at += kTickMs) {
      m_events.Schedule(at, [] {});
    }
    while (m_events.RunNext()) {
      for (const SlotGrant& grant : m_scheduler.Decide(At(m_events.Now())).m_grants) {
        Serve(grant);
      }
    }
    return m_outcome;
  }

private:
  static SlotSchedulerLimits LimitsOf(bool aLearns)
  {
    SlotSchedulerLimits limits;
    limits.m_learn_concurrency = aLearns;
    return limits;
  }

  double LogNormal(double aMean, double aSigma)
  {
    return aMean * std::lognormal_distribution<double>(-aSigma * aSigma / 2, aSigma)(m_random);
  }

  void Arrive()
  {
    const std::uint64_t number = ++m_outcome.m_arrived;
    std::uniform_int_distribution<int> daemons(1, m_load.m_daemons);
    SlotRequest& request = m_requests[number];
    request.m_request_id = { Incarnation("d" + std::to_string(daemons(m_random))), number };
    request.m_work = { LogNormal(m_load.m_prompt_tokens, m_load.m_prompt_sigma),
                       LogNormal(m_load.m_output_tokens, 1.2) };
    request.m_arrived_at = At(m_events.Now());
    request.m_objective_at = At(m_events.Now() + m_load.m_objective_ms);
    request.m_abandoned_at = At(m_events.Now() + 5'000);
    request.m_data_center = DataCenterName("dc");
    m_scheduler.RequestSlot(request, At(m_events.Now()));
  }

  /// Whether the daemon has a connection that became idle within its lifetime; uses the last one.
  bool TakeConnection(const SlotGrant& aGrant)
  {
    auto& idle = m_idle[{ aGrant.m_request_id.m_daemon, aGrant.m_endpoint }];
    std::erase_if(idle, [&](double aSince) {
      return m_events.Now() - aSince >= static_cast<double>(kIdleConnectionLifetime.count());
    });
    if (idle.empty()) {
      return false;
    }
    idle.pop_back();
    return true;
  }

  void Serve(const SlotGrant& aGrant)
  {
    const SlotRequest request = m_requests.at(aGrant.m_request_id.m_number);
    ++m_outcome.m_granted;
    m_outcome.m_reused += TakeConnection(aGrant) ? 1 : 0;
    const double slowness = m_slowness.at(aGrant.m_endpoint) * LogNormal(1, 0.1);
    const double first = slowness * ServiceTimeModel::ReferenceFirstByteMs(request.m_work, 0);
    const double rest = slowness * ServiceTimeModel::ReferenceRestMs(request.m_work);
    m_events.Schedule(m_events.Now() + first, [this, aGrant, request] {
      m_outcome.m_in_time += At(m_events.Now()) <= request.m_objective_at ? 1 : 0;
      m_scheduler.RecordStarted(aGrant.m_request_id, aGrant.m_endpoint, At(m_events.Now()));
    });
    m_events.Schedule(m_events.Now() + first + rest, [this, aGrant] {
      m_idle[{ aGrant.m_request_id.m_daemon, aGrant.m_endpoint }].push_back(m_events.Now());
      m_scheduler.RecordEnded(
        aGrant.m_request_id, aGrant.m_endpoint, SlotOutcome::Complete, At(m_events.Now()));
    });
  }

  Load m_load;
  std::mt19937 m_random;
  SlotScheduler m_scheduler;
  EventQueue m_events;
  std::map<std::uint64_t, SlotRequest> m_requests;
  std::map<EndpointId, double> m_slowness;
  std::map<std::pair<Incarnation, EndpointId>, std::vector<double>> m_idle;
  Outcome m_outcome;
};

/// Sums the outcomes of all seeds.
Outcome
RunSeeds(const Load& aLoad, bool aLearns)
{
  Outcome sum;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const Outcome one = ChoiceSimulation(aLoad, aLearns, seed).Run();
    sum.m_arrived += one.m_arrived;
    sum.m_in_time += one.m_in_time;
    sum.m_granted += one.m_granted;
    sum.m_reused += one.m_reused;
  }
  return sum;
}

}

TEST_CASE("Among similar endpoints, more grants find an idle connection")
{
  // Guards against a placement by which daemons open connections that they need not.
  const Load plain{ std::vector<double>(9, 1.0), 6, 8, 120, 0, 0, 0, 150 };
  const Load engines{ std::vector<double>(12, 0.7), 4, 8, 60, 1'110, 1.0, 60, 500 };
  for (const Load& load : { plain, engines }) {
    const Outcome before = RunSeeds(load, false);
    const Outcome after = RunSeeds(load, true);
    MESSAGE("reused ",
            before.ReusedShare(),
            " -> ",
            after.ReusedShare(),
            ", in time ",
            before.InTimeShare(),
            " -> ",
            after.InTimeShare());
    CHECK(after.ReusedShare() > before.ReusedShare());
    CHECK(after.InTimeShare() >= before.InTimeShare());
  }
}

TEST_CASE("More requests are in time when long prompts wait for fast endpoints")
{
  // Guards against long prompts at endpoints where they are late for certain.
  std::vector<double> slowness(12, 0.7);
  std::fill(slowness.begin(), slowness.begin() + 4, 2.8);
  for (const double per_second : { 80.0, 95.0, 105.0, 120.0 }) {
    const Load load{ slowness, 4, 8, per_second, 3'720, 1.2, 120, 500 };
    const Outcome before = RunSeeds(load, false);
    const Outcome after = RunSeeds(load, true);
    MESSAGE(per_second,
            " a second: in time ",
            before.InTimeShare(),
            " -> ",
            after.InTimeShare(),
            ", granted ",
            before.m_granted,
            " -> ",
            after.m_granted);
    CHECK(after.InTimeShare() >= before.InTimeShare());
  }
}

TEST_CASE("A request waits beside a free slot only while a better one is expected in time")
{
  // Guards against requests that wait in vain while a slot is free.
  EndpointChooser::Endpoints endpoints;
  for (const auto& [name, slowness] : { std::pair("fast", 1.0), std::pair("slow", 4.0) }) {
    const EndpointId id(name);
    SlotEndpoint endpoint({ id, DataCenterName("dc"), 1, 1 }, At(0));
    endpoint.Times().SetPrior(slowness, slowness);
    endpoints.emplace(id, std::move(endpoint));
  }
  const EndpointId fast("fast");
  const SlotEndpoint& slow = endpoints.at(EndpointId("slow"));
  const CrashSuspects suspects;
  const SlotEndpoint::Daemons doubted;
  const EndpointChooser chooser({ suspects, doubted, 1.0, true });
  const auto better = [&](double aObjectiveMs, std::size_t aAwaited, double aNowMs) {
    SlotRequest request;
    request.m_request_id = { Incarnation("d"), 2 };
    // 220 ms at the fast endpoint, 880 ms at the slow one.
    request.m_work = { 9'600, 0 };
    request.m_objective_at = At(aObjectiveMs);
    return chooser.BetterSoon(
      endpoints,
      request,
      slow,
      { { fast, aAwaited } },
      [](const auto&) { return true; },
      At(aNowMs));
  };
  // The fast endpoint is expected to have a slot after 320 ms.
  endpoints.at(fast).Hold({ Incarnation("d"), 1 }, { 0, 100 }, At(0));
  CHECK(better(600, 0, 0) == &endpoints.at(fast));
  CHECK(better(500, 0, 0) == nullptr);
  CHECK(better(600, 1, 0) == nullptr);
  CHECK(better(900, 0, 0) == nullptr);
  // Its request takes longer than expected.
  CHECK(better(900, 0, 330) == nullptr);
  // The slow endpoint has not been tried for more than two seconds.
  endpoints.at(fast).Hold({ Incarnation("d"), 3 }, { 0, 100 }, At(2'500));
  CHECK(better(3'100, 0, 2'500) == nullptr);
}

TEST_CASE("An idle connection does not attract a request to a clearly slower endpoint")
{
  const auto scheduler = [](bool aLearns) {
    SlotSchedulerLimits limits;
    limits.m_learn_concurrency = aLearns;
    return SlotScheduler(limits);
  };
  SlotScheduler learning = scheduler(true);
  learning.SetEndpoints({ { EndpointId("a"), DataCenterName("dc"), 1, 1 },
                          { EndpointId("b"), DataCenterName("dc"), 1, 1 } },
                        kStart);
  const auto request = [](std::uint64_t aNumber, double aNowMs) {
    SlotRequest made;
    made.m_request_id = { Incarnation("d"), aNumber };
    made.m_objective_at = At(aNowMs + 500);
    made.m_abandoned_at = At(aNowMs + 5'000);
    made.m_data_center = DataCenterName("dc");
    return made;
  };
  // Both are idle and equal, so the first one is chosen; it takes five times as long as expected.
  learning.RequestSlot(request(1, 0), At(0));
  REQUIRE(learning.Decide(At(0)).m_grants.at(0).m_endpoint == EndpointId("a"));
  learning.RecordStarted({ Incarnation("d"), 1 }, EndpointId("a"), At(100));
  learning.RecordEnded({ Incarnation("d"), 1 }, EndpointId("a"), SlotOutcome::Complete, At(100));
  learning.RequestSlot(request(2, 100), At(100));
  CHECK(learning.Decide(At(100)).m_grants.at(0).m_endpoint == EndpointId("b"));
}

TEST_CASE("Requests that run at once are not learned as slower than they are")
{
  // Guards against a slowness that rises beyond each measured one, because a rise between the grant
  // and the first byte of a request counts again in what that request measures.
  const auto learn = [](bool aLearns) {
    constexpr std::uint64_t kRequests = 4;
    SlotSchedulerLimits limits;
    limits.m_learn_concurrency = aLearns;
    SlotScheduler scheduler(limits);
    const EndpointId id("a");
    scheduler.SetEndpoints({ { id, DataCenterName("dc"), kRequests, 1 } }, kStart);
    for (std::uint64_t number = 1; number <= kRequests; ++number) {
      SlotRequest request;
      request.m_request_id = { Incarnation("d"), number };
      request.m_objective_at = At(500);
      request.m_abandoned_at = At(5'000);
      scheduler.RequestSlot(request, kStart);
    }
    REQUIRE(scheduler.Decide(kStart).m_grants.size() == kRequests);
    const double took_ms = 4 * ServiceTimeModel::ReferenceFirstByteMs({}, 0);
    for (std::uint64_t number = 1; number <= kRequests; ++number) {
      scheduler.RecordStarted({ Incarnation("d"), number }, id, At(took_ms));
    }
    return scheduler.View(At(took_ms)).at(0).m_first_byte_slowness;
  };
  CHECK(learn(true) <= 4);
  CHECK(learn(true) > 2);
  // Deployments without the setting are served as before.
  CHECK(learn(false) > 4);
}

TEST_CASE("Daemons have idle connections only for a while after a complete response")
{
  // Guards against a bonus for connections that a daemon no longer has.
  const Incarnation daemon("d");
  IdleConnections connections;
  CHECK_FALSE(connections.Has(daemon, At(0)));
  connections.RecordIdle(daemon, At(0));
  connections.RecordIdle(daemon, At(300));
  CHECK(connections.Has(daemon, At(900)));
  CHECK_FALSE(connections.Has(Incarnation("other"), At(400)));
  // The newer of the two is used, and the older one has expired by then.
  connections.RecordUsed(daemon, At(800));
  CHECK_FALSE(connections.Has(daemon, At(800)));
  connections.RecordIdle(daemon, At(1'000));
  CHECK_FALSE(connections.Has(daemon, At(1'700)));
  connections.RecordIdle(daemon, At(2'000));
  connections.ForgetDaemon(daemon);
  CHECK_FALSE(connections.Has(daemon, At(2'000)));

  const auto leaves = [&](SlotOutcome aOutcome) {
    SlotEndpoint endpoint({ EndpointId("a"), DataCenterName("dc"), 1, 1 }, At(0));
    endpoint.Hold({ daemon, 1 }, {}, At(0));
    endpoint.RecordEnded({ daemon, 1 }, aOutcome, {}, At(10));
    return endpoint.HasIdleConnection(daemon, At(20));
  };
  CHECK(leaves(SlotOutcome::Complete));
  CHECK(leaves(SlotOutcome::Failed));
  CHECK_FALSE(leaves(SlotOutcome::Broken));
  CHECK_FALSE(leaves(SlotOutcome::Cancelled));
  CHECK_FALSE(leaves(SlotOutcome::Unreachable));
}
