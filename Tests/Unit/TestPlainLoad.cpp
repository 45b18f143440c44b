#include <LibPlacement/SlotScheduler.h>

#include <doctest.h>
#include <functional>
#include <map>
#include <queue>
#include <random>

using namespace auburnhitch;

namespace {

constexpr TimePoint kStart{};

TimePoint
At(double aMs)
{
  return kStart +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(aMs));
}

// The plain service of the association's grown deployment after two of its five servers are gone:
// six places each, 60 ms a call with a spread of one half, an aim of 300 ms, callers that stay for
// 800 ms and come back once.
constexpr int kServers = 3;
constexpr int kPlaces = 6;
constexpr double kWorkMs = 60;
constexpr double kSpread = 0.5;
constexpr double kObjectiveMs = 300;
constexpr double kPatienceMs = 800;
constexpr double kSeconds = 20;
constexpr double kCapacityPerSecond = kServers * kPlaces * 1'000 / kWorkMs;

struct Served
{
  int m_asked = 0;
  int m_in_time = 0;
  int m_late = 0;
  int m_refused = 0;
  /// Refused after more than an eighth of the objective: the caller could have gone elsewhere.
  int m_refused_late = 0;
};

/// Plays arrivals of one kind of call against a scheduler.
class PlainPlay
{
public:
  explicit PlainPlay(unsigned aSeed)
    : m_random(aSeed)
    , m_scheduler(SlotSchedulerLimits())
  {
    std::vector<SlotEndpointInfo> infos;
    infos.reserve(kServers);
    for (int i = 0; i < kServers; ++i) {
      infos.push_back(
        SlotEndpointInfo{ EndpointId("e" + std::to_string(i)), DataCenterName("dc"), kPlaces, 1 });
    }
    m_scheduler.SetEndpoints(infos, kStart);
  }

  /// aLoad is the work that arrives against what the servers can do.
  Served Run(double aLoad)
  {
    PlanArrival(0, aLoad * kCapacityPerSecond / 1'000);
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      event.m_run();
      Decide();
    }
    return m_served;
  }

private:
  struct Event
  {
    double m_at;
    std::uint64_t m_order;
    std::function<void()> m_run;

    bool operator<(const Event& aOther) const
    {
      return std::pair(m_at, m_order) > std::pair(aOther.m_at, aOther.m_order);
    }
  };

  /// One caller, who may ask twice.
  struct Caller
  {
    double m_first_asked = 0;
    double m_asked = 0;
    int m_tries = 0;
  };

  void Plan(double aAt, std::function<void()> aRun)
  {
    m_events.push(Event{ aAt, ++m_last_event, std::move(aRun) });
  }

  void PlanArrival(double aFrom, double aPerMs)
  {
    const double at = aFrom + std::exponential_distribution<double>(aPerMs)(m_random);
    if (at > kSeconds * 1'000) {
      return;
    }
    Plan(at, [this, at, aPerMs] {
      ++m_served.m_asked;
      RequestSlot(Caller{ at, at, 0 });
      PlanArrival(at, aPerMs);
    });
  }

  void RequestSlot(Caller aCaller)
  {
    aCaller.m_asked = m_now;
    ++aCaller.m_tries;
    const std::uint64_t number = ++m_last_number;
    m_callers[number] = aCaller;
    SlotRequest request;
    request.m_request_id = SlotRequestId{ Incarnation("d"), number };
    request.m_arrived_at = At(m_now);
    request.m_objective_at = At(m_now + kObjectiveMs);
    request.m_abandoned_at = At(m_now + kPatienceMs);
    request.m_data_center = DataCenterName("dc");
    m_scheduler.RequestSlot(request, At(m_now));
    // The daemon looks at those that wait every 20 ms.
    for (double tick = m_now + 20; tick < m_now + kPatienceMs; tick += 20) {
      Plan(tick, [] {});
    }
  }

  void OnRefused(const SlotRefusal& aRefusal)
  {
    constexpr int kTries = 2;
    const Caller caller = m_callers.at(aRefusal.m_request_id.m_number);
    if (m_now - caller.m_asked > kObjectiveMs / 8) {
      ++m_served.m_refused_late;
    }
    if (caller.m_tries == kTries) {
      ++m_served.m_refused;
      return;
    }
    const auto pause = static_cast<double>(aRefusal.m_retry_after.count());
    Plan(m_now + std::min(pause, kPatienceMs / 3), [this, caller] { RequestSlot(caller); });
  }

  void Decide()
  {
    const SlotDecisions decisions = m_scheduler.Decide(At(m_now));
    for (const SlotRefusal& refusal : decisions.m_refusals) {
      OnRefused(refusal);
    }
    for (const SlotGrant& grant : decisions.m_grants) {
      Serve(grant);
    }
  }

  void Serve(const SlotGrant& aGrant)
  {
    const Caller caller = m_callers.at(aGrant.m_request_id.m_number);
    const double mean = kWorkMs;
    const double took =
      mean * std::lognormal_distribution<double>(-kSpread * kSpread / 2, kSpread)(m_random);
    Plan(m_now + took, [this, aGrant, caller] {
      const bool is_in_time = m_now - caller.m_first_asked <= kObjectiveMs;
      ++(is_in_time ? m_served.m_in_time : m_served.m_late);
      m_scheduler.RecordStarted(aGrant.m_request_id, aGrant.m_endpoint, At(m_now));
      m_scheduler.RecordEnded(
        aGrant.m_request_id, aGrant.m_endpoint, SlotOutcome::Complete, At(m_now));
    });
  }

  std::mt19937 m_random;
  SlotScheduler m_scheduler;
  double m_now = 0;
  std::uint64_t m_last_event = 0;
  std::uint64_t m_last_number = 0;
  std::priority_queue<Event> m_events;
  std::map<std::uint64_t, Caller> m_callers;
  Served m_served;
};

constexpr unsigned kSeeds = 5;

}

TEST_CASE("With half again and twice the work that the servers can do, what they do is in time")
{
  for (const double load : { 1.5, 2.0, 2.5 }) {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      const Served served = PlainPlay(seed).Run(load);
      const double in_time = static_cast<double>(served.m_in_time) / served.m_asked;
      // Of what could be served at all, nine tenths in time.
      CHECK_MESSAGE(in_time >= 0.9 / load, "load ", load, " seed ", seed);
      // Who can't be served hears it while there is time to go elsewhere.
      CHECK_MESSAGE(served.m_refused_late <= served.m_asked / 20, "load ", load, " seed ", seed);
    }
  }
}

TEST_CASE("With less work than the servers can do nobody is refused")
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const Served served = PlainPlay(seed).Run(0.8);
    CHECK_MESSAGE(served.m_refused == 0, "seed ", seed);
    CHECK_MESSAGE(served.m_in_time >= 0.97 * served.m_asked, "seed ", seed);
  }
}
