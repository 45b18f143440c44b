#include "EventQueue.h"

#include <LibPlacement/SlotScheduler.h>

#include <cmath>
#include <doctest.h>
#include <functional>
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

/// A kind of request of the simulated load.
struct Kind
{
  int m_priority = 0;
  double m_per_second = 0;
  double m_prompt_tokens = 0;
  double m_output_tokens = 0;
  double m_objective_ms = 0;
  double m_max_wait_ms = 3'200;
};

/// Outcomes of the requests of one kind.
struct Served
{
  int m_arrived_count = 0;
  int m_in_time = 0;
  int m_late = 0;
  int m_refused = 0;

  double InTimeShare() const
  {
    return m_arrived_count == 0 ? 1 : static_cast<double>(m_in_time) / m_arrived_count;
  }
  double ResponseShare() const
  {
    return m_arrived_count == 0 ? 1 : static_cast<double>(m_in_time + m_late) / m_arrived_count;
  }
};

// Nine endpoints with four slots each, of which a third is slower by a factor of 4.4, and three
// kinds of generation requests.
const std::vector<Kind> kKinds{ { 0, 12.9, 3'720, 120, 800 },
                                { 1, 9.34, 2'890, 54, 800 },
                                { 2, 15.6, 1'110, 172, 500 } };
constexpr int kEndpoints = 9;
constexpr int kSlotsPerEndpoint = 4;
constexpr double kFastSlowness = 0.68;
constexpr double kSlowSlowness = 3.0;
constexpr double kDurationSeconds = 30;
constexpr double kLimitTurnMs = 5'000;
constexpr double kLimitWindowMs = 4'000;
constexpr double kLimitNotifiedMs = 500;

/// Simulates arrivals, a scheduler, and endpoints whose service times the scheduler has to learn.
class LoadSimulation
{
public:
  explicit LoadSimulation(unsigned aSeed,
                          std::vector<Kind> aKinds = kKinds,
                          SlotSchedulerLimits aLimits = {})
    : m_random(aSeed)
    , m_scheduler(aLimits)
    , m_kinds(std::move(aKinds))
  {
    std::vector<SlotEndpointInfo> infos;
    for (int i = 0; i < kEndpoints; ++i) {
      const EndpointId id("e" + std::to_string(i));
      infos.push_back(SlotEndpointInfo{ id, DataCenterName("dc"), kSlotsPerEndpoint, 1 });
      m_slowness[id] = i % 3 == 2 ? kSlowSlowness : kFastSlowness;
    }
    m_scheduler.SetEndpoints(infos, kStart);
  }

  using Factor = std::function<double(int aKind, double aSecond)>;

  /// Simulates the load, with the arrival rate scaled by a factor that depends on kind and time.
  void Run(const Factor& aFactor)
  {
    for (std::size_t kind = 0; kind < m_kinds.size(); ++kind) {
      ScheduleArrival(kind, 0, aFactor);
    }
    while (m_events.RunNext()) {
      Decide();
    }
  }

  /// A third of the endpoints states a limit at a time, in turns of five seconds. aIsKnown: whether
  /// the scheduler knows of it.
  void StateLimits(RequestRate aLimit, bool aIsKnown)
  {
    m_limit = aLimit;
    m_is_limit_known = aIsKnown;
    constexpr double kTickMs = 20;
    for (double at = 0; at < (kDurationSeconds + 4) * 1'000; at += kTickMs) {
      m_events.Schedule(at, [] {});
    }
  }

  const Served& Of(std::size_t aKind) { return m_served[aKind]; }
  /// The most grants of an endpoint in four seconds for which it had stated its limit.
  std::size_t MostGrantsWhileLimited() const { return m_most_grants_while_limited; }

private:
  struct Request
  {
    std::size_t m_kind;
    double m_arrived;
    RequestWork m_actual_work;
  };

  void ScheduleArrival(std::size_t aKind, double aFrom, const Factor& aFactor)
  {
    const double per_second =
      m_kinds[aKind].m_per_second * aFactor(static_cast<int>(aKind), aFrom / 1'000);
    const double at = aFrom + std::exponential_distribution<double>(per_second)(m_random) * 1'000;
    if (at > kDurationSeconds * 1'000) {
      return;
    }
    m_events.Schedule(at, [this, aKind, at, aFactor] {
      Arrive(aKind);
      ScheduleArrival(aKind, at, aFactor);
    });
  }

  double LogNormal(double aMean, double aSigma)
  {
    return aMean * std::lognormal_distribution<double>(-aSigma * aSigma / 2, aSigma)(m_random);
  }

  void Arrive(std::size_t aKind)
  {
    const Kind& kind = m_kinds[aKind];
    const std::uint64_t number = ++m_last_number;
    SlotRequest request;
    request.m_request_id = SlotRequestId{ Incarnation("d"), number };
    request.m_priority = kind.m_priority;
    Request& stored = m_requests[number];
    stored =
      Request{ aKind,
               m_events.Now(),
               { LogNormal(kind.m_prompt_tokens, 1.0), LogNormal(kind.m_output_tokens, 1.2) } };
    // The caller's estimate of its output is right at the median and often far off.
    request.m_work = { stored.m_actual_work.m_prompt_tokens,
                       LogNormal(stored.m_actual_work.m_output_tokens, 0.5) };
    request.m_arrived_at = At(m_events.Now());
    request.m_objective_at = At(m_events.Now() + kind.m_objective_ms);
    request.m_abandoned_at = At(m_events.Now() + kind.m_max_wait_ms);
    request.m_data_center = DataCenterName("dc");
    ++m_served[aKind].m_arrived_count;
    m_scheduler.RequestSlot(request, At(m_events.Now()));
    // Makes the scheduler decide again when the caller stops waiting, as the daemon's tick does.
    m_events.Schedule(m_events.Now() + kind.m_max_wait_ms, [] {});
  }

  void Decide()
  {
    const SlotDecisions decisions = m_scheduler.Decide(At(m_events.Now()));
    for (const SlotRefusal& refusal : decisions.m_refusals) {
      ++m_served[m_requests.at(refusal.m_request_id.m_number).m_kind].m_refused;
    }
    for (const SlotGrant& grant : decisions.m_grants) {
      Serve(grant);
    }
  }

  std::optional<RequestRate> LimitOf(const EndpointId& aEndpoint, double aAtMs) const
  {
    const int turn = static_cast<int>(aAtMs / kLimitTurnMs) % 3;
    return m_limit && (aEndpoint.Value().back() - '0') % 3 == turn ? m_limit : std::nullopt;
  }

  void CountGrant(const EndpointId& aEndpoint)
  {
    std::vector<double>& grants = m_grants[aEndpoint];
    grants.push_back(m_events.Now());
    std::erase_if(grants, [&](double aAt) { return aAt <= m_events.Now() - kLimitWindowMs; });
    // The whole window lies within the turn, half a second after its begin.
    if (LimitOf(aEndpoint, m_events.Now()) &&
        std::fmod(m_events.Now(), kLimitTurnMs) >= kLimitWindowMs + kLimitNotifiedMs) {
      m_most_grants_while_limited = std::max(m_most_grants_while_limited, grants.size());
    }
  }

  void Serve(const SlotGrant& aGrant)
  {
    CountGrant(aGrant.m_endpoint);
    const Request request = m_requests.at(aGrant.m_request_id.m_number);
    const double slowness = m_slowness.at(aGrant.m_endpoint);
    const double first = slowness * (16 + request.m_actual_work.m_prompt_tokens / 48);
    const double rest = slowness * request.m_actual_work.m_output_tokens * 3;
    const double first_byte_at = m_events.Now() + first;
    m_events.Schedule(first_byte_at, [this, aGrant, request, first_byte_at] {
      const bool is_in_time =
        first_byte_at - request.m_arrived <= m_kinds[request.m_kind].m_objective_ms;
      Served& served = m_served[request.m_kind];
      ++(is_in_time ? served.m_in_time : served.m_late);
      if (m_is_limit_known) {
        m_scheduler.RecordStatedLimit({ aGrant.m_endpoint, 1 },
                                      LimitOf(aGrant.m_endpoint, m_events.Now()),
                                      aGrant.m_request_id,
                                      At(m_events.Now()));
      }
      m_scheduler.RecordStarted(aGrant.m_request_id, aGrant.m_endpoint, At(m_events.Now()));
    });
    m_events.Schedule(first_byte_at + rest, [this, aGrant] {
      m_scheduler.RecordEnded(
        aGrant.m_request_id, aGrant.m_endpoint, SlotOutcome::Complete, At(m_events.Now()));
    });
  }

  std::mt19937 m_random;
  SlotScheduler m_scheduler;
  std::vector<Kind> m_kinds;
  std::uint64_t m_last_number = 0;
  EventQueue m_events;
  std::map<std::uint64_t, Request> m_requests;
  std::map<EndpointId, double> m_slowness;
  std::map<std::size_t, Served> m_served;
  std::optional<RequestRate> m_limit;
  bool m_is_limit_known = false;
  std::map<EndpointId, std::vector<double>> m_grants;
  std::size_t m_most_grants_while_limited = 0;
};

constexpr unsigned kSeeds = 5;

}

TEST_CASE("Under normal load at least 95 % of each kind is served in time")
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    LoadSimulation simulation(seed);
    simulation.Run([](int, double) { return 1.0; });
    for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
      CHECK_MESSAGE(simulation.Of(kind).InTimeShare() >= 0.95, "seed ", seed, " kind ", kind);
    }
  }
}

TEST_CASE(
  "Under bursts the higher priorities are in time, and the lowest keeps its minimum response share")
{
  // At least 0.41 of each kind must be served under the heaviest load. The kind of the highest
  // value comes first.
  constexpr double kMinResponseShare = 0.41;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    LoadSimulation simulation(seed);
    simulation.Run([](int, double aSecond) { return aSecond > 5 && aSecond < 15 ? 2.2 : 1.2; });
    CHECK_MESSAGE(simulation.Of(0).InTimeShare() >= 0.9, "seed ", seed);
    CHECK_MESSAGE(simulation.Of(1).InTimeShare() >= 0.75, "seed ", seed);
    CHECK_MESSAGE(simulation.Of(2).ResponseShare() >= kMinResponseShare, "seed ", seed);
    CHECK_MESSAGE(simulation.Of(0).InTimeShare() >= simulation.Of(2).InTimeShare(), "seed ", seed);
  }
}

TEST_CASE("A flood of the lowest priority does not delay the higher ones")
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    LoadSimulation simulation(seed);
    simulation.Run([](int aKind, double) { return aKind == 2 ? 6.0 : 1.0; });
    CHECK_MESSAGE(simulation.Of(0).InTimeShare() >= 0.9, "seed ", seed);
    CHECK_MESSAGE(simulation.Of(1).InTimeShare() >= 0.75, "seed ", seed);
    // The lowest priority still gets the capacity that the others leave.
    CHECK_MESSAGE(simulation.Of(2).m_in_time > 0, "seed ", seed);
  }
}

TEST_CASE("Every request ends exactly once: in time, late or refused")
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    LoadSimulation simulation(seed);
    simulation.Run([](int, double aSecond) { return aSecond < 10 ? 4.0 : 0.5; });
    for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
      const Served& served = simulation.Of(kind);
      CHECK(served.m_arrived_count == served.m_in_time + served.m_late + served.m_refused);
    }
  }
}

TEST_CASE("While a third of the endpoints states limits in turns, they hold and callers are served")
{
  // One and a half times the limit in a window, and five requests.
  constexpr std::size_t kMaxGrants = 11;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    LoadSimulation unknown(seed);
    unknown.StateLimits(RequestRate{ 1 }, false);
    unknown.Run([](int, double) { return 1.0; });
    CHECK(unknown.MostGrantsWhileLimited() > kMaxGrants);
    LoadSimulation normal(seed);
    normal.StateLimits(RequestRate{ 1 }, true);
    normal.Run([](int, double) { return 1.0; });
    CHECK(normal.MostGrantsWhileLimited() <= kMaxGrants);
    for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
      CHECK(normal.Of(kind).InTimeShare() >= 0.95);
    }
    LoadSimulation heavy(seed);
    heavy.StateLimits(RequestRate{ 1 }, true);
    heavy.Run([](int, double) { return 1.5; });
    CHECK(heavy.MostGrantsWhileLimited() <= kMaxGrants);
    CHECK(heavy.Of(0).InTimeShare() >= 0.9);
    CHECK(heavy.Of(1).InTimeShare() >= 0.75);
  }
}

namespace {

/// The kinds, each of workspaces of high priority and, as often, of low priority.
std::vector<Kind>
KindsOfTwoWorkspacePriorities()
{
  std::vector<Kind> kinds;
  for (const int workspace_priority : { 0, 1 }) {
    for (Kind kind : kKinds) {
      kind.m_priority = CombinedPriority(workspace_priority, kind.m_priority);
      kind.m_per_second /= 2;
      kinds.push_back(kind);
    }
  }
  return kinds;
}

SlotSchedulerLimits
LimitsWith(bool aIsContended)
{
  SlotSchedulerLimits limits;
  limits.m_is_contended = aIsContended;
  return limits;
}

double
ResponseShareOf(LoadSimulation& aSimulation, const std::vector<std::size_t>& aKinds)
{
  Served all;
  for (const std::size_t kind : aKinds) {
    const Served& served = aSimulation.Of(kind);
    all.m_arrived_count += served.m_arrived_count;
    all.m_in_time += served.m_in_time;
    all.m_late += served.m_late;
  }
  return all.ResponseShare();
}

}

// Guards against kinds of low value that take the slots of those of high value because each
// priority has a minimum share of its own.
TEST_CASE("Under bursts, floors by kind serve more of the kind of highest value, and starve none")
{
  // No kind and no workspace may be served less than a quarter as often as all requests.
  constexpr double kMinRatio = 0.25;
  const LoadSimulation::Factor bursts = [](int, double aSecond) {
    return aSecond > 5 && aSecond < 15 ? 3.0 : 1.5;
  };
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    LoadSimulation by_priority(seed, KindsOfTwoWorkspacePriorities(), LimitsWith(false));
    by_priority.Run(bursts);
    LoadSimulation by_kind(seed, KindsOfTwoWorkspacePriorities(), LimitsWith(true));
    by_kind.Run(bursts);
    CHECK(by_kind.Of(0).InTimeShare() >= 0.95);
    CHECK(by_kind.Of(3).InTimeShare() > by_priority.Of(3).InTimeShare());
    const double all = ResponseShareOf(by_kind, { 0, 1, 2, 3, 4, 5 });
    for (const std::size_t kind : { 0, 1, 2 }) {
      CHECK(ResponseShareOf(by_kind, { kind, kind + 3 }) >= kMinRatio * all);
    }
    CHECK(ResponseShareOf(by_kind, { 3, 4, 5 }) >= kMinRatio * all);
  }
}
