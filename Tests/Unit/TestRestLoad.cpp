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

constexpr std::size_t kEndpoints = 9;
constexpr std::size_t kDaemons = 6;
constexpr int kSlots = 4;
constexpr double kDurationMs = 60'000;
constexpr double kRequestsPerSecond = 38;
constexpr double kObjectiveMs = 800;
constexpr double kMaxWaitMs = 3'200;
constexpr double kRestMs = 2'000;
constexpr double kRoundTripMs = 2;
constexpr int kMaxSlotRequests = 6;

/// Who keeps to the rests that endpoints ask for.
enum class Policy
{
  Nobody,
  /// The daemon that was asked hands grants back; the coordinator does not know.
  DaemonAlone,
  /// The coordinator grants the daemon no slots there, and the daemon checks besides.
  Coordinator,
};

/// Which endpoints rest, and when.
enum class Load
{
  /// A third of them in turns.
  ThirdInTurns,
  /// All for two seconds in every ten.
  AllAtOnce,
};

struct Result
{
  int m_requests = 0;
  int m_in_time = 0;
  int m_late = 0;
  int m_refused = 0;
  /// Requests that endpoints turned away.
  int m_turned_away = 0;
  int m_rests = 0;
  int m_broken_rests = 0;
  double m_wait_ms = 0;

  double InTimeShare() const { return static_cast<double>(m_in_time) / m_requests; }
  double ServedShare() const { return static_cast<double>(m_in_time + m_late) / m_requests; }
};

/// Simulates daemons, the scheduler of their coordinator, and engines that turn requests away for a
/// while and ask for rest. Callers that are refused come back once, as they are told.
class RestSimulation
{
public:
  RestSimulation(unsigned aSeed, Policy aPolicy, Load aLoad)
    : m_random(aSeed)
    , m_arrival_random(aSeed)
    , m_policy(aPolicy)
    , m_load(aLoad)
    , m_rests(std::make_shared<EndpointRests>(kMaxRestsOfDaemons))
    , m_scheduler(SlotSchedulerLimits(), std::make_shared<CrashSuspects>(), m_rests)
  {
    std::vector<SlotEndpointInfo> infos;
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      infos.push_back({ EndpointId(std::to_string(i)),
                        DataCenterName("dc"),
                        kSlots,
                        1,
                        SoftwareVersion("v1"),
                        {} });
    }
    m_scheduler.SetEndpoints(infos, At(0));
  }

  Result Run()
  {
    m_events.ScheduleEach(m_arrival_random, 0, kDurationMs, kRequestsPerSecond, [this] {
      ++m_result.m_requests;
      const std::uint64_t number = ++m_last_number;
      m_requests[number] = { m_events.Now(), m_arrival_random() % kDaemons, 0, false, {} };
      RequestSlot(number);
    });
    while (m_events.RunNext()) {
      for (SlotDecisions decisions = m_scheduler.Decide(At(m_events.Now()));
           !decisions.m_grants.empty() || !decisions.m_refusals.empty();
           decisions = m_scheduler.Decide(At(m_events.Now()))) {
        Apply(decisions);
      }
    }
    for (const Rest& rest : m_asked) {
      m_result.m_broken_rests += rest.m_arrivals > 2 ? 1 : 0;
    }
    m_result.m_rests = static_cast<int>(m_asked.size());
    return m_result;
  }

private:
  struct Request
  {
    double m_arrived = 0;
    std::size_t m_daemon = 0;
    int m_slot_requests = 0;
    bool m_has_come_back = false;
    std::vector<EndpointId> m_avoided;
  };

  struct Rest
  {
    std::size_t m_endpoint = 0;
    std::size_t m_daemon = 0;
    double m_at = 0;
    int m_arrivals = 0;
  };

  bool IsResting(std::size_t aEndpoint) const
  {
    const auto phase = static_cast<std::size_t>(m_events.Now() / kRestMs);
    return m_load == Load::ThirdInTurns ? aEndpoint % 3 == phase % 3 : phase % 5 == 4;
  }

  void RequestSlot(std::uint64_t aNumber)
  {
    Request& request = m_requests.at(aNumber);
    ++request.m_slot_requests;
    SlotRequest slot;
    slot.m_request_id = { DaemonName(request.m_daemon), aNumber };
    slot.m_work = { 2'500, 110 };
    slot.m_arrived_at = At(request.m_arrived);
    slot.m_objective_at = At(request.m_arrived + kObjectiveMs);
    slot.m_abandoned_at = At(request.m_arrived + kMaxWaitMs);
    slot.m_data_center = DataCenterName("dc");
    slot.m_avoided = request.m_avoided;
    m_scheduler.RequestSlot(slot, At(m_events.Now()));
    // The coordinator decides at intervals as well.
    for (double at = 50; at < kMaxWaitMs; at += 50) {
      m_events.Schedule(m_events.Now() + at, [] {});
    }
  }

  static Incarnation DaemonName(std::size_t aDaemon)
  {
    return Incarnation("d" + std::to_string(aDaemon));
  }

  void Apply(const SlotDecisions& aDecisions)
  {
    for (const SlotRefusal& refusal : aDecisions.m_refusals) {
      Refuse(refusal.m_request_id.m_number, static_cast<double>(refusal.m_retry_after.count()));
    }
    for (const SlotGrant& grant : aDecisions.m_grants) {
      Send(grant);
    }
  }

  /// A caller that is refused comes back once, to any daemon, if it is told to within a third of
  /// the time that it has left.
  void Refuse(std::uint64_t aNumber, double aRetryAfterMs)
  {
    Request& request = m_requests.at(aNumber);
    const double left = request.m_arrived + kMaxWaitMs - m_events.Now();
    if (request.m_has_come_back || aRetryAfterMs > left / 3) {
      ++m_result.m_refused;
      return;
    }
    request.m_has_come_back = true;
    request.m_slot_requests = 0;
    request.m_avoided.clear();
    request.m_daemon = m_random() % kDaemons;
    m_events.Schedule(m_events.Now() + aRetryAfterMs, [this, aNumber] { RequestSlot(aNumber); });
  }

  void RequestAgain(const SlotGrant& aGrant, SlotOutcome aOutcome)
  {
    m_scheduler.RecordEnded(aGrant.m_request_id, aGrant.m_endpoint, aOutcome, At(m_events.Now()));
    const std::uint64_t number = aGrant.m_request_id.m_number;
    Request& request = m_requests.at(number);
    request.m_avoided.push_back(aGrant.m_endpoint);
    if (request.m_slot_requests >= kMaxSlotRequests) {
      constexpr double kShortRetryAfterMs = 100;
      Refuse(number, kShortRetryAfterMs);
      return;
    }
    m_events.Schedule(m_events.Now() + kRoundTripMs, [this, number] { RequestSlot(number); });
  }

  void Send(const SlotGrant& aGrant)
  {
    const std::uint64_t number = aGrant.m_request_id.m_number;
    const std::size_t daemon = m_requests.at(number).m_daemon;
    const auto endpoint = static_cast<std::size_t>(std::stoi(aGrant.m_endpoint.Value()));
    if (m_policy != Policy::Nobody && m_rest_until[{ endpoint, daemon }] > m_events.Now()) {
      RequestAgain(aGrant, SlotOutcome::Cancelled);
      return;
    }
    for (Rest& rest : m_asked) {
      constexpr double kSlackMs = 500;
      rest.m_arrivals += rest.m_endpoint == endpoint && rest.m_daemon == daemon &&
                             m_events.Now() > rest.m_at + kSlackMs &&
                             m_events.Now() < rest.m_at + kRestMs
                           ? 1
                           : 0;
    }
    if (IsResting(endpoint)) {
      ++m_result.m_turned_away;
      m_asked.push_back({ endpoint, daemon, m_events.Now() });
      m_rest_until[{ endpoint, daemon }] = m_events.Now() + kRestMs;
      if (m_policy == Policy::Coordinator) {
        const EndpointIncarnation run{ aGrant.m_endpoint, 1 };
        m_rests->Record(ServiceName("s"),
                        run,
                        aGrant.m_request_id.m_daemon,
                        Milliseconds(static_cast<std::int64_t>(kRestMs)),
                        At(m_events.Now()));
        m_scheduler.RecordRest(run, At(m_events.Now()));
      }
      m_events.Schedule(m_events.Now() + kRoundTripMs,
                        [this, aGrant] { RequestAgain(aGrant, SlotOutcome::Refused); });
      return;
    }
    Serve(aGrant);
  }

  void Serve(const SlotGrant& aGrant)
  {
    const double first = std::lognormal_distribution<double>(4.2, 0.5)(m_random);
    const double rest = std::lognormal_distribution<double>(6.2, 0.7)(m_random);
    m_events.Schedule(m_events.Now() + first, [this, aGrant] {
      const double took = m_events.Now() - m_requests.at(aGrant.m_request_id.m_number).m_arrived;
      m_result.m_wait_ms += took;
      (took <= kObjectiveMs ? m_result.m_in_time : m_result.m_late) += 1;
      m_scheduler.RecordStarted(aGrant.m_request_id, aGrant.m_endpoint, At(m_events.Now()));
    });
    m_events.Schedule(m_events.Now() + first + rest, [this, aGrant] {
      m_scheduler.RecordEnded(
        aGrant.m_request_id, aGrant.m_endpoint, SlotOutcome::Complete, At(m_events.Now()));
    });
  }

  std::mt19937 m_random;
  /// Of its own, so that all policies meet the same requests.
  std::mt19937 m_arrival_random;
  Policy m_policy;
  Load m_load;
  std::shared_ptr<EndpointRests> m_rests;
  SlotScheduler m_scheduler;
  std::uint64_t m_last_number = 0;
  std::map<std::uint64_t, Request> m_requests;
  /// When the rests end that daemons know, by endpoint and daemon.
  std::map<std::pair<std::size_t, std::size_t>, double> m_rest_until;
  std::vector<Rest> m_asked;
  EventQueue m_events;
  Result m_result;
};

Result
Simulate(Policy aPolicy, Load aLoad)
{
  constexpr unsigned kSeeds = 5;
  Result sum;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const Result result = RestSimulation(seed, aPolicy, aLoad).Run();
    sum.m_requests += result.m_requests;
    sum.m_in_time += result.m_in_time;
    sum.m_late += result.m_late;
    sum.m_refused += result.m_refused;
    sum.m_turned_away += result.m_turned_away;
    sum.m_rests += result.m_rests;
    sum.m_broken_rests += result.m_broken_rests;
    sum.m_wait_ms += result.m_wait_ms;
  }
  MESSAGE("policy ",
          static_cast<int>(aPolicy),
          ", load ",
          static_cast<int>(aLoad),
          ": requests ",
          sum.m_requests,
          ", in time ",
          sum.InTimeShare(),
          ", served ",
          sum.ServedShare(),
          ", refused ",
          sum.m_refused,
          ", turned away ",
          sum.m_turned_away,
          ", rests broken ",
          sum.m_broken_rests,
          " of ",
          sum.m_rests,
          ", mean wait in ms ",
          sum.m_wait_ms / (sum.m_in_time + sum.m_late));
  return sum;
}

}

TEST_CASE("Rest load: rests are kept, and callers are served better than without the coordinator")
{
  for (const Load load : { Load::ThirdInTurns, Load::AllAtOnce }) {
    const Result nobody = Simulate(Policy::Nobody, load);
    const Result alone = Simulate(Policy::DaemonAlone, load);
    const Result coordinator = Simulate(Policy::Coordinator, load);
    CHECK(nobody.m_broken_rests > 0);
    CHECK(alone.m_broken_rests == 0);
    CHECK(coordinator.m_broken_rests == 0);
    CHECK(coordinator.m_turned_away < nobody.m_turned_away);
    CHECK(coordinator.InTimeShare() > alone.InTimeShare());
    CHECK(coordinator.ServedShare() > alone.ServedShare());
  }
}
