#include "EventQueue.h"

#include <LibPlacement/SlotScheduler.h>

#include <doctest.h>
#include <functional>
#include <map>
#include <random>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

using Ms = std::chrono::duration<double, std::milli>;

TimePoint
At(double aMs)
{
  return TimePoint() + std::chrono::duration_cast<Duration>(Ms(aMs));
}

constexpr std::size_t kEndpoints = 9;
constexpr int kSlots = 4;
constexpr double kDurationMs = 60'000;
constexpr double kHarmfulFromMs = 10'000;
constexpr double kHarmfulPerSecond = 3;
constexpr double kDownMs = 3'000;
// An endpoint that crashes under a prompt does so this long after it began to respond.
constexpr double kTimeToCrashMs = 60;
constexpr int kSessions = 40;

/// What refuses requests because of their prompt.
enum class Policy
{
  None,
  /// Three crashes in a row without a complete response between them.
  Count,
  /// CrashSuspects.
  Likelihood,
};

struct Load
{
  int m_harmful_parts = 0;
  /// Crashes for other reasons, over all endpoints.
  double m_crashes_per_second = 0;
  /// How many endpoints crash at once for other reasons.
  std::size_t m_crashes_at_once = 1;
};

struct Result
{
  int m_crashes = 0;
  int m_harmful_crashes = 0;
  int m_harmless = 0;
  int m_in_time = 0;
  /// Harmless requests that were refused for their prompt.
  int m_false_alarms = 0;

  double InTimeShare() const { return static_cast<double>(m_in_time) / m_harmless; }
  double FalseAlarmShare() const { return static_cast<double>(m_false_alarms) / m_harmless; }
};

/// Simulates a scheduler before engines of which some crash. Harmless requests share a part, that
/// of their session, and callers with the harmful ones.
class CrashSimulation
{
public:
  CrashSimulation(unsigned aSeed, Policy aPolicy, Load aLoad)
    : m_random(aSeed)
    , m_crash_random(aSeed)
    , m_policy(aPolicy)
    , m_load(aLoad)
    , m_scheduler(SlotSchedulerLimits())
  {
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      m_ids.push_back(NewId());
    }
    Register();
  }

  Result Run()
  {
    constexpr double kHarmlessPerSecond = 38;
    m_events.ScheduleEach(m_random, 0, kDurationMs, kHarmlessPerSecond, [this] { Arrive(-1); });
    for (int part = 0; part < m_load.m_harmful_parts; ++part) {
      m_events.ScheduleEach(
        m_random, kHarmfulFromMs, kDurationMs, kHarmfulPerSecond, [this, part] { Arrive(part); });
    }
    if (m_load.m_crashes_per_second > 0) {
      m_events.ScheduleEach(m_crash_random,
                            0,
                            kDurationMs,
                            m_load.m_crashes_per_second /
                              static_cast<double>(m_load.m_crashes_at_once),
                            [this] {
                              const std::size_t first = m_crash_random() % kEndpoints;
                              for (std::size_t i = 0; i < m_load.m_crashes_at_once; ++i) {
                                Crash((first + i) % kEndpoints);
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
    return m_result;
  }

private:
  struct Request
  {
    int m_harmful_part = -1;
    double m_arrived = 0;
    std::vector<CrashTrait> m_traits;
    bool m_has_begun = false;
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

  void Arrive(int aHarmfulPart)
  {
    const std::uint64_t number = ++m_last_number;
    Request& request = m_requests[number];
    request.m_harmful_part = aHarmfulPart;
    request.m_arrived = m_events.Now();
    // Some sessions are asked for often, most rarely.
    const double drawn = std::uniform_real_distribution<double>(0, 1)(m_random);
    const int session = static_cast<int>(kSessions * drawn * drawn);
    request.m_traits = { CrashTrait("c0"), CrashTrait("5e" + std::to_string(session)) };
    if (aHarmfulPart >= 0) {
      request.m_traits.insert(request.m_traits.begin() + 1,
                              CrashTrait("bad" + std::to_string(aHarmfulPart)));
    }
    const bool is_harmless = aHarmfulPart < 0;
    m_result.m_harmless += is_harmless ? 1 : 0;
    if (m_policy == Policy::Count && CountRefuses(request.m_traits)) {
      m_result.m_false_alarms += is_harmless ? 1 : 0;
      return;
    }
    SlotRequest slot;
    slot.m_request_id = { Incarnation("d"), number };
    slot.m_work = { 2'500, 110 };
    slot.m_arrived_at = At(m_events.Now());
    slot.m_objective_at = At(m_events.Now() + 800);
    slot.m_abandoned_at = At(m_events.Now() + 3'200);
    slot.m_data_center = DataCenterName("dc");
    if (m_policy == Policy::Likelihood) {
      slot.m_crash_traits = request.m_traits;
      slot.m_crash_traits.push_back(TraitOfRequest(std::to_string(number)));
    }
    m_scheduler.RequestSlot(slot, At(m_events.Now()));
    m_events.Schedule(m_events.Now() + 3'200, [] {});
  }

  bool CountRefuses(const std::vector<CrashTrait>& aTraits) const
  {
    constexpr int kMaxCrashesInARow = 3;
    return std::any_of(aTraits.begin(), aTraits.end(), [&](const CrashTrait& aTrait) {
      const auto found = m_crashes_in_a_row.find(aTrait);
      return found != m_crashes_in_a_row.end() && found->second >= kMaxCrashesInARow;
    });
  }

  void Apply(const SlotDecisions& aDecisions)
  {
    for (const SlotRefusal& refusal : aDecisions.m_refusals) {
      const Request& request = m_requests.at(refusal.m_request_id.m_number);
      const bool is_alarm = refusal.m_reason == SlotRefusalReason::Harmful;
      m_result.m_false_alarms += is_alarm && request.m_harmful_part < 0 ? 1 : 0;
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
    if (found == m_ids.end() || m_down.contains(endpoint)) {
      m_scheduler.RecordEnded(
        aGrant.m_request_id, aGrant.m_endpoint, SlotOutcome::Unreachable, At(m_events.Now()));
      return;
    }
    m_running[endpoint].push_back(aGrant);
    const double first = std::lognormal_distribution<double>(4.2, 0.5)(m_random);
    const double rest = std::lognormal_distribution<double>(6.2, 0.7)(m_random);
    const bool is_harmful = m_requests.at(number).m_harmful_part >= 0;
    m_events.Schedule(m_events.Now() + first, [this, aGrant, endpoint, number, is_harmful] {
      if (!IsRunning(endpoint, number)) {
        return;
      }
      if (is_harmful) {
        m_events.Schedule(m_events.Now() + kTimeToCrashMs, [this, endpoint, number] {
          if (IsRunning(endpoint, number)) {
            ++m_result.m_harmful_crashes;
            Crash(endpoint);
          }
        });
        return;
      }
      m_requests.at(number).m_has_begun = m_events.Now() - m_requests.at(number).m_arrived <= 800;
      m_scheduler.RecordStarted(aGrant.m_request_id, aGrant.m_endpoint, At(m_events.Now()));
    });
    if (!is_harmful) {
      m_events.Schedule(m_events.Now() + first + rest,
                        [this, endpoint, number] { Complete(endpoint, number); });
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
    const Request& request = m_requests.at(aNumber);
    m_result.m_in_time += request.m_has_begun ? 1 : 0;
    for (const CrashTrait& part : request.m_traits) {
      m_crashes_in_a_row.erase(part);
    }
    m_scheduler.RecordEnded(
      grant.m_request_id, grant.m_endpoint, SlotOutcome::Complete, At(m_events.Now()));
  }

  void Crash(std::size_t aEndpoint)
  {
    if (!m_down.insert(aEndpoint).second) {
      return;
    }
    ++m_result.m_crashes;
    std::set<CrashTrait> running;
    for (const SlotGrant& grant : std::exchange(m_running[aEndpoint], {})) {
      const Request& request = m_requests.at(grant.m_request_id.m_number);
      running.insert(request.m_traits.begin(), request.m_traits.end());
      m_scheduler.RecordEnded(
        grant.m_request_id, grant.m_endpoint, SlotOutcome::Broken, At(m_events.Now()));
    }
    for (const CrashTrait& part : running) {
      ++m_crashes_in_a_row[part];
    }
    m_events.Schedule(m_events.Now() + kDownMs, [this, aEndpoint] {
      m_down.erase(aEndpoint);
      m_ids[aEndpoint] = NewId();
      Register();
    });
  }

  std::mt19937 m_random;
  /// Of its own, so that all policies meet the same crashes.
  std::mt19937 m_crash_random;
  Policy m_policy;
  Load m_load;
  SlotScheduler m_scheduler;
  std::uint64_t m_last_number = 0;
  int m_last_id = 0;
  std::vector<EndpointId> m_ids;
  std::set<std::size_t> m_down;
  std::map<std::size_t, std::vector<SlotGrant>> m_running;
  std::map<std::uint64_t, Request> m_requests;
  std::map<CrashTrait, int> m_crashes_in_a_row;
  EventQueue m_events;
  Result m_result;
};

Result
Simulate(Policy aPolicy, Load aLoad)
{
  constexpr unsigned kSeeds = 5;
  Result sum;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const Result result = CrashSimulation(seed, aPolicy, aLoad).Run();
    sum.m_crashes += result.m_crashes;
    sum.m_harmful_crashes += result.m_harmful_crashes;
    sum.m_harmless += result.m_harmless;
    sum.m_in_time += result.m_in_time;
    sum.m_false_alarms += result.m_false_alarms;
  }
  MESSAGE("policy ",
          static_cast<int>(aPolicy),
          ", harmful parts ",
          aLoad.m_harmful_parts,
          ", other crashes a second ",
          aLoad.m_crashes_per_second,
          ", at once ",
          aLoad.m_crashes_at_once,
          ": crashes ",
          sum.m_crashes,
          ", under a harmful part ",
          sum.m_harmful_crashes,
          ", in time ",
          sum.InTimeShare(),
          ", false alarms ",
          sum.FalseAlarmShare());
  return sum;
}

}

TEST_CASE("Crash load: harmful parts cost few endpoints, and harmless requests are served in time")
{
  for (const int harmful_parts : { 1, 2 }) {
    for (const double crashes_per_second : { 0.0, 0.1, 0.5 }) {
      const Load load{ harmful_parts, crashes_per_second };
      const Result none = Simulate(Policy::None, load);
      Simulate(Policy::Count, load);
      const Result likelihood = Simulate(Policy::Likelihood, load);
      // In each of five runs, five crashes and three more requests for each harmful part.
      constexpr int kMaxCrashes = 5 * 8;
      CHECK(none.m_harmful_crashes > harmful_parts * kMaxCrashes);
      CHECK(likelihood.m_harmful_crashes <= harmful_parts * kMaxCrashes);
      CHECK(likelihood.FalseAlarmShare() <= 0.02);
      CHECK(likelihood.InTimeShare() > none.InTimeShare());
    }
  }
}

TEST_CASE("Crash load: no harmless request is refused for crashes that have other reasons")
{
  for (const Load load :
       { Load{ 0, 0.1 }, Load{ 0, 0.5 }, Load{ 0, 1.0 }, Load{ 0, 0.5, 3 }, Load{ 0, 0.9, 9 } }) {
    const Result none = Simulate(Policy::None, load);
    Simulate(Policy::Count, load);
    const Result likelihood = Simulate(Policy::Likelihood, load);
    CHECK(likelihood.FalseAlarmShare() <= 0.02);
    CHECK(likelihood.InTimeShare() >= none.InTimeShare() - 0.02);
  }
}
