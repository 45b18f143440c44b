#include "EventQueue.h"

#include <LibPlacement/SlotScheduler.h>

#include <doctest.h>
#include <functional>
#include <map>
#include <random>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

TimePoint
At(double aMs)
{
  return TimePoint() +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(aMs));
}

constexpr int kSlots = 6;
constexpr std::size_t kDaemons = 6;
constexpr double kDurationMs = 60'000;
constexpr double kHarmlessPerSecond = 17;
constexpr double kHarmfulPerSecond = 2.4;
constexpr double kHarmfulFromMs = 10'000;
constexpr double kDownMs = 3'000;
constexpr double kObjectiveMs = 300;
constexpr double kMaxWaitMs = 1'500;
constexpr double kMinTimeToCrashMs = 30;
constexpr double kMaxTimeToCrashMs = 110;
constexpr int kAttempts = 2;
// One harmless request in this many is the same popular one, and one in this many must not be sent
// again.
constexpr int kPopularOneIn = 4;
constexpr const char* kPopular = "popular";
constexpr int kUnsafeOneIn = 2;

struct Load
{
  std::size_t m_endpoints = 3;
  int m_harmful_requests = 0;
  /// Crashes for other reasons, over all endpoints, and how many endpoints crash at once.
  double m_crashes_per_second = 0;
  std::size_t m_crashes_at_once = 1;
  /// How long an endpoint that has crashed is down; 0 if only its connections are reset.
  double m_down_ms = kDownMs;
};

struct Result
{
  int m_harmful_crashes = 0;
  /// Arrivals of a harmful request later than three seconds after its third crash; the most of any.
  int m_most_late_arrivals = 0;
  int m_harmless = 0;
  int m_in_time = 0;
  int m_served = 0;
  /// Harmless requests that were refused as harmful, and among them the popular one.
  int m_false_alarms = 0;
  int m_popular_refused = 0;
  /// Time from the first crash under a harmful request until it is refused.
  double m_refused_after_ms = 0;

  double InTimeShare() const { return static_cast<double>(m_in_time) / m_harmless; }
  double ServedShare() const { return static_cast<double>(m_served) / m_harmless; }
  double FalseAlarmShare() const { return static_cast<double>(m_false_alarms) / m_harmless; }
};

/// Simulates a plain service whose endpoints crash under certain requests, which come again and
/// again. Daemons send idempotent requests that broke off again, and callers come back once.
class RepeatedCrashSimulation
{
public:
  RepeatedCrashSimulation(unsigned aSeed, bool aWeighsRequests, Load aLoad)
    : m_random(aSeed)
    , m_arrival_random(aSeed)
    , m_crash_random(aSeed)
    , m_weighs_requests(aWeighsRequests)
    , m_load(aLoad)
    , m_scheduler(SlotSchedulerLimits())
  {
    for (std::size_t i = 0; i < m_load.m_endpoints; ++i) {
      m_ids.push_back(NewId());
    }
    Register();
  }

  Result Run()
  {
    m_events.ScheduleEach(m_arrival_random, 0, kDurationMs, kHarmlessPerSecond, [this] {
      const int number = ++m_last_number;
      const bool is_popular = m_arrival_random() % kPopularOneIn == 0;
      ++m_result.m_harmless;
      Arrive(
        -1, is_popular ? kPopular : std::to_string(number), m_arrival_random() % kUnsafeOneIn != 0);
    });
    for (int harmful = 0; harmful < m_load.m_harmful_requests; ++harmful) {
      m_events.ScheduleEach(
        m_arrival_random, kHarmfulFromMs, kDurationMs, kHarmfulPerSecond, [this, harmful] {
          Arrive(harmful, "bad-" + std::to_string(harmful), true);
        });
    }
    if (m_load.m_crashes_per_second > 0) {
      m_events.ScheduleEach(m_crash_random,
                            0,
                            kDurationMs,
                            m_load.m_crashes_per_second /
                              static_cast<double>(m_load.m_crashes_at_once),
                            [this] {
                              const std::size_t first = m_crash_random() % m_load.m_endpoints;
                              for (std::size_t i = 0; i < m_load.m_crashes_at_once; ++i) {
                                Crash((first + i) % m_load.m_endpoints);
                              }
                            });
    }
    while (m_events.RunNext()) {
      for (SlotDecisions decisions = m_scheduler.Decide(At(m_events.Now()));
           !decisions.m_grants.empty() || !decisions.m_refusals.empty();
           decisions = m_scheduler.Decide(At(m_events.Now()))) {
        Apply(decisions);
      }
    }
    for (const auto& [harmful, arrivals] : m_late_arrivals) {
      m_result.m_most_late_arrivals = std::max(m_result.m_most_late_arrivals, arrivals);
    }
    return m_result;
  }

private:
  struct Request
  {
    int m_harmful = -1;
    std::string m_digest;
    bool m_is_idempotent = true;
    double m_arrived = 0;
    int m_attempts = 0;
    bool m_has_come_back = false;
    std::vector<EndpointId> m_avoided;
  };

  EndpointId NewId() { return EndpointId("e" + std::to_string(++m_last_id)); }

  void Register()
  {
    std::vector<SlotEndpointInfo> infos;
    for (const EndpointId& id : m_ids) {
      infos.push_back({ id, DataCenterName("dc"), kSlots, 1, SoftwareVersion("v1"), {} });
    }
    m_scheduler.SetEndpoints(infos, At(m_events.Now()));
  }

  void Arrive(int aHarmful, const std::string& aDigest, bool aIsIdempotent)
  {
    const std::uint64_t number = ++m_last_request;
    m_requests[number] = { aHarmful, aDigest, aIsIdempotent, m_events.Now(), 0, false, {} };
    RequestSlot(number);
  }

  void RequestSlot(std::uint64_t aNumber)
  {
    const Request& request = m_requests.at(aNumber);
    SlotRequest slot;
    slot.m_request_id = { Incarnation("d" + std::to_string(aNumber % kDaemons)), aNumber };
    slot.m_arrived_at = At(request.m_arrived);
    slot.m_objective_at = At(request.m_arrived + kObjectiveMs);
    slot.m_abandoned_at = At(request.m_arrived + kMaxWaitMs);
    slot.m_data_center = DataCenterName("dc");
    slot.m_avoided = request.m_avoided;
    if (m_weighs_requests) {
      slot.m_crash_traits = { TraitOfRequest(request.m_digest) };
    }
    m_scheduler.RequestSlot(slot, At(m_events.Now()));
    // The coordinator decides at intervals as well.
    for (double at = 50; at < kMaxWaitMs; at += 50) {
      m_events.Schedule(m_events.Now() + at, [] {});
    }
  }

  /// A caller comes back once, as it is told, if that is within a third of the time that it has
  /// left.
  void ComeBack(std::uint64_t aNumber, double aRetryAfterMs)
  {
    Request& request = m_requests.at(aNumber);
    const double left = request.m_arrived + kMaxWaitMs - m_events.Now();
    if (request.m_has_come_back || aRetryAfterMs > left / 3) {
      return;
    }
    request.m_has_come_back = true;
    request.m_attempts = 0;
    request.m_avoided.clear();
    m_events.Schedule(m_events.Now() + aRetryAfterMs, [this, aNumber] { RequestSlot(aNumber); });
  }

  void Apply(const SlotDecisions& aDecisions)
  {
    for (const SlotRefusal& refusal : aDecisions.m_refusals) {
      const std::uint64_t number = refusal.m_request_id.m_number;
      const Request& request = m_requests.at(number);
      if (refusal.m_reason == SlotRefusalReason::Harmful) {
        m_result.m_false_alarms += request.m_harmful < 0 ? 1 : 0;
        m_result.m_popular_refused += request.m_digest == kPopular ? 1 : 0;
        if (request.m_harmful >= 0 && m_refused.insert(request.m_harmful).second) {
          m_result.m_refused_after_ms += m_events.Now() - m_crash_times[request.m_harmful].at(0);
        }
      }
      if (request.m_attempts == 0 || request.m_is_idempotent) {
        ComeBack(number, static_cast<double>(refusal.m_retry_after.count()));
      }
    }
    for (const SlotGrant& grant : aDecisions.m_grants) {
      Serve(grant);
    }
  }

  void Serve(const SlotGrant& aGrant)
  {
    const auto found = std::find(m_ids.begin(), m_ids.end(), aGrant.m_endpoint);
    const auto endpoint = static_cast<std::size_t>(found - m_ids.begin());
    const std::uint64_t number = aGrant.m_request_id.m_number;
    Request& request = m_requests.at(number);
    request.m_avoided.push_back(aGrant.m_endpoint);
    if (found == m_ids.end() || m_down.contains(endpoint)) {
      m_scheduler.RecordEnded(
        aGrant.m_request_id, aGrant.m_endpoint, SlotOutcome::Unreachable, At(m_events.Now()));
      constexpr std::size_t kMaxSlotRequests = 6;
      if (request.m_avoided.size() < kMaxSlotRequests) {
        m_events.Schedule(m_events.Now() + 2, [this, number] { RequestSlot(number); });
      } else {
        constexpr double kShortRetryAfterMs = 100;
        ComeBack(number, kShortRetryAfterMs);
      }
      return;
    }
    ++request.m_attempts;
    m_running[endpoint].push_back(aGrant);
    if (request.m_harmful >= 0) {
      CountArrival(request.m_harmful);
      const double crash_after =
        std::uniform_real_distribution<double>(kMinTimeToCrashMs, kMaxTimeToCrashMs)(m_random);
      const int harmful = request.m_harmful;
      m_events.Schedule(m_events.Now() + crash_after, [this, endpoint, number, harmful] {
        if (IsRunning(endpoint, number)) {
          ++m_result.m_harmful_crashes;
          m_crash_times[harmful].push_back(m_events.Now());
          Crash(endpoint);
        }
      });
      return;
    }
    const double took = std::lognormal_distribution<double>(4.1, 0.4)(m_random);
    m_events.Schedule(m_events.Now() + took,
                      [this, endpoint, number] { Complete(endpoint, number); });
  }

  void CountArrival(int aHarmful)
  {
    constexpr std::size_t kCrashesUntilBound = 3;
    constexpr double kContactMs = 3'000;
    const auto& crashes = m_crash_times[aHarmful];
    if (crashes.size() >= kCrashesUntilBound &&
        m_events.Now() > crashes[kCrashesUntilBound - 1] + kContactMs) {
      ++m_late_arrivals[aHarmful];
    }
  }

  bool IsRunning(std::size_t aEndpoint, std::uint64_t aNumber)
  {
    const auto& running = m_running[aEndpoint];
    return std::any_of(running.begin(), running.end(), [&](const SlotGrant& aGrant) {
      return aGrant.m_request_id.m_number == aNumber;
    });
  }

  void Complete(std::size_t aEndpoint, std::uint64_t aNumber)
  {
    auto& running = m_running[aEndpoint];
    const auto found = std::find_if(running.begin(), running.end(), [&](const SlotGrant& aGrant) {
      return aGrant.m_request_id.m_number == aNumber;
    });
    if (found == running.end()) {
      return;
    }
    const SlotGrant grant = *found;
    running.erase(found);
    ++m_result.m_served;
    m_result.m_in_time += m_events.Now() - m_requests.at(aNumber).m_arrived <= kObjectiveMs ? 1 : 0;
    m_scheduler.RecordStarted(grant.m_request_id, grant.m_endpoint, At(m_events.Now()));
    m_scheduler.RecordEnded(
      grant.m_request_id, grant.m_endpoint, SlotOutcome::Complete, At(m_events.Now()));
  }

  void Crash(std::size_t aEndpoint)
  {
    if (!m_down.insert(aEndpoint).second) {
      return;
    }
    for (const SlotGrant& grant : std::exchange(m_running[aEndpoint], {})) {
      m_scheduler.RecordEnded(
        grant.m_request_id, grant.m_endpoint, SlotOutcome::Broken, At(m_events.Now()));
      const std::uint64_t number = grant.m_request_id.m_number;
      const Request& request = m_requests.at(number);
      if (!request.m_is_idempotent) {
        continue;
      }
      if (request.m_attempts < kAttempts) {
        m_events.Schedule(m_events.Now() + 2, [this, number] { RequestSlot(number); });
      } else {
        ComeBack(number, 0);
      }
    }
    if (m_load.m_down_ms == 0) {
      m_down.erase(aEndpoint);
      return;
    }
    m_events.Schedule(m_events.Now() + m_load.m_down_ms, [this, aEndpoint] {
      m_down.erase(aEndpoint);
      m_ids[aEndpoint] = NewId();
      Register();
    });
  }

  std::mt19937 m_random;
  /// Of their own, so that both policies meet the same requests and crashes.
  std::mt19937 m_arrival_random;
  std::mt19937 m_crash_random;
  bool m_weighs_requests;
  Load m_load;
  SlotScheduler m_scheduler;
  int m_last_number = 0;
  std::uint64_t m_last_request = 0;
  int m_last_id = 0;
  std::vector<EndpointId> m_ids;
  std::set<std::size_t> m_down;
  std::map<std::size_t, std::vector<SlotGrant>> m_running;
  std::map<std::uint64_t, Request> m_requests;
  std::map<int, std::vector<double>> m_crash_times;
  std::map<int, int> m_late_arrivals;
  std::set<int> m_refused;
  EventQueue m_events;
  Result m_result;
};

constexpr int kSeeds = 5;
// A harmless request that runs at two crashes in a row may be refused.
constexpr double kMaxFalseAlarmShare = 1e-3;

Result
Simulate(bool aWeighsRequests, Load aLoad)
{
  Result sum;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const Result result = RepeatedCrashSimulation(seed, aWeighsRequests, aLoad).Run();
    sum.m_harmful_crashes += result.m_harmful_crashes;
    sum.m_most_late_arrivals = std::max(sum.m_most_late_arrivals, result.m_most_late_arrivals);
    sum.m_harmless += result.m_harmless;
    sum.m_in_time += result.m_in_time;
    sum.m_served += result.m_served;
    sum.m_false_alarms += result.m_false_alarms;
    sum.m_popular_refused += result.m_popular_refused;
    sum.m_refused_after_ms += result.m_refused_after_ms;
  }
  const std::string policy = aWeighsRequests ? "weighed" : "not weighed";
  MESSAGE(policy,
          ", endpoints ",
          aLoad.m_endpoints,
          ", harmful ",
          aLoad.m_harmful_requests,
          ", other crashes a second ",
          aLoad.m_crashes_per_second,
          ", at once ",
          aLoad.m_crashes_at_once,
          ", down for ms ",
          aLoad.m_down_ms,
          ": crashes under harmful ",
          sum.m_harmful_crashes,
          ", most late arrivals ",
          sum.m_most_late_arrivals,
          ", in time ",
          sum.InTimeShare(),
          ", served ",
          sum.ServedShare(),
          ", false alarms ",
          sum.m_false_alarms,
          ", refused after ms ",
          sum.m_refused_after_ms / kSeeds / std::max(1, aLoad.m_harmful_requests));
  return sum;
}

}

TEST_CASE("Repeated crash load: a request that crashes endpoints costs few of them")
{
  for (const std::size_t endpoints : { 3, 9 }) {
    for (const int harmful : { 1, 2 }) {
      for (const double crashes_per_second : { 0.0, 0.1, 0.5 }) {
        const Load load{ endpoints, harmful, crashes_per_second };
        const Result before = Simulate(false, load);
        const Result now = Simulate(true, load);
        CHECK(before.m_most_late_arrivals > 3);
        CHECK(now.m_most_late_arrivals <= 3);
        CHECK(now.m_harmful_crashes < before.m_harmful_crashes);
        CHECK(now.m_popular_refused == 0);
        CHECK(now.FalseAlarmShare() <= kMaxFalseAlarmShare);
        CHECK(now.InTimeShare() > before.InTimeShare());
      }
    }
  }
}

TEST_CASE("Repeated crash load: no harmless request is refused for crashes with other reasons")
{
  for (const Load load : { Load{ 3, 0, 0.1 },
                           Load{ 3, 0, 0.5 },
                           Load{ 9, 0, 0.5 },
                           Load{ 9, 0, 1.0 },
                           Load{ 9, 0, 0.5, 3 },
                           Load{ 9, 0, 0.9, 9 },
                           Load{ 3, 0, 1.5, 3, 0 },
                           Load{ 9, 0, 4.5, 9, 0 } }) {
    const Result before = Simulate(false, load);
    const Result now = Simulate(true, load);
    CHECK(now.m_popular_refused == 0);
    CHECK(now.FalseAlarmShare() <= kMaxFalseAlarmShare);
    CHECK(now.InTimeShare() >= before.InTimeShare() - 0.02);
    CHECK(now.ServedShare() >= before.ServedShare() - 0.02);
  }
}
