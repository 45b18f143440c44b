#include "EventQueue.h"

#include <LibPlacement/SlotScheduler.h>

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

// A plain service that has lost two of its five servers. The other three have six slots each.
// Service times are log-normal with a mean of 60 ms and a sigma of 0.5. The objective is 300 ms. A
// caller abandons a request after 800 ms, and retries once after a refusal.
constexpr int kServerCount = 3;
constexpr int kSlotsPerServer = 6;
constexpr double kMeanServiceMs = 60;
constexpr double kServiceTimeSigma = 0.5;
constexpr double kObjectiveMs = 300;
constexpr double kMaxWaitMs = 800;
constexpr double kDurationS = 20;
constexpr double kCapacityPerSecond = kServerCount * kSlotsPerServer * 1'000 / kMeanServiceMs;

struct Results
{
  int m_requests = 0;
  int m_completed_in_time = 0;
  int m_completed_late = 0;
  int m_refused = 0;
  /// Refused after more than an eighth of the objective, in which the caller could have used
  /// another service.
  int m_refused_late = 0;
};

/// Simulates callers and servers of one kind of request around a scheduler.
class PlainServiceSimulation
{
public:
  explicit PlainServiceSimulation(unsigned aSeed)
    : m_random(aSeed)
    , m_scheduler(SlotSchedulerLimits())
  {
    std::vector<SlotEndpointInfo> infos;
    infos.reserve(kServerCount);
    for (int i = 0; i < kServerCount; ++i) {
      infos.push_back(SlotEndpointInfo{
        EndpointId("e" + std::to_string(i)), DataCenterName("dc"), kSlotsPerServer, 1 });
    }
    m_scheduler.SetEndpoints(infos, kStart);
  }

  /// aLoad is the arriving work as a share of the servers' capacity.
  Results Run(double aLoad)
  {
    ScheduleArrival(0, aLoad * kCapacityPerSecond / 1'000);
    while (m_events.RunNext()) {
      Decide();
    }
    return m_results;
  }

private:
  /// A caller, which may send its request twice.
  struct Caller
  {
    double m_first_sent_at_ms = 0;
    double m_sent_at_ms = 0;
    int m_tries = 0;
  };

  void ScheduleArrival(double aFrom, double aPerMs)
  {
    const double at = aFrom + std::exponential_distribution<double>(aPerMs)(m_random);
    if (at > kDurationS * 1'000) {
      return;
    }
    m_events.Schedule(at, [this, at, aPerMs] {
      ++m_results.m_requests;
      SendRequest(Caller{ at, at, 0 });
      ScheduleArrival(at, aPerMs);
    });
  }

  void SendRequest(Caller aCaller)
  {
    aCaller.m_sent_at_ms = m_events.Now();
    ++aCaller.m_tries;
    const std::uint64_t number = ++m_last_number;
    m_callers[number] = aCaller;
    SlotRequest request;
    request.m_request_id = SlotRequestId{ Incarnation("d"), number };
    request.m_arrived_at = At(m_events.Now());
    request.m_objective_at = At(m_events.Now() + kObjectiveMs);
    request.m_abandoned_at = At(m_events.Now() + kMaxWaitMs);
    request.m_data_center = DataCenterName("dc");
    m_scheduler.RequestSlot(request, At(m_events.Now()));
    // The daemon calls Decide() for waiting requests every 20 ms.
    for (double tick = m_events.Now() + 20; tick < m_events.Now() + kMaxWaitMs; tick += 20) {
      m_events.Schedule(tick, [] {});
    }
  }

  void OnRefused(const SlotRefusal& aRefusal)
  {
    constexpr int kMaxTries = 2;
    const Caller caller = m_callers.at(aRefusal.m_request_id.m_number);
    if (m_events.Now() - caller.m_sent_at_ms > kObjectiveMs / 8) {
      ++m_results.m_refused_late;
    }
    if (caller.m_tries == kMaxTries) {
      ++m_results.m_refused;
      return;
    }
    const auto pause = static_cast<double>(aRefusal.m_retry_after.count());
    m_events.Schedule(m_events.Now() + std::min(pause, kMaxWaitMs / 3),
                      [this, caller] { SendRequest(caller); });
  }

  void Decide()
  {
    const SlotDecisions decisions = m_scheduler.Decide(At(m_events.Now()));
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
    const double mean = kMeanServiceMs;
    const double took =
      mean * std::lognormal_distribution<double>(-kServiceTimeSigma * kServiceTimeSigma / 2,
                                                 kServiceTimeSigma)(m_random);
    m_events.Schedule(m_events.Now() + took, [this, aGrant, caller] {
      const bool is_in_time = m_events.Now() - caller.m_first_sent_at_ms <= kObjectiveMs;
      ++(is_in_time ? m_results.m_completed_in_time : m_results.m_completed_late);
      m_scheduler.RecordStarted(aGrant.m_request_id, aGrant.m_endpoint, At(m_events.Now()));
      m_scheduler.RecordEnded(
        aGrant.m_request_id, aGrant.m_endpoint, SlotOutcome::Complete, At(m_events.Now()));
    });
  }

  std::mt19937 m_random;
  SlotScheduler m_scheduler;
  std::uint64_t m_last_number = 0;
  EventQueue m_events;
  std::map<std::uint64_t, Caller> m_callers;
  Results m_results;
};

constexpr unsigned kSeeds = 5;

}

// Guards against a queue that grows until slots go to requests that miss their objective anyway:
// the servers are then busy, but hardly any request completes in time. Also guards against refusals
// that come too late for the caller to use another service.
TEST_CASE("At 1.5 to 2.5 times the capacity, nine tenths of it serve requests within the objective")
{
  for (const double load : { 1.5, 2.0, 2.5 }) {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      const Results results = PlainServiceSimulation(seed).Run(load);
      const double in_time = static_cast<double>(results.m_completed_in_time) / results.m_requests;
      // At least nine tenths of the requests that the capacity suffices for complete in time.
      CHECK_MESSAGE(in_time >= 0.9 / load, "load ", load, " seed ", seed);
      // Callers that can't be served are refused while they have time to use another service.
      CHECK_MESSAGE(
        results.m_refused_late <= results.m_requests / 20, "load ", load, " seed ", seed);
    }
  }
}

// Guards against load shedding that sets in below the capacity, for example on short bursts.
TEST_CASE("At 0.8 times the capacity, no request is refused")
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const Results results = PlainServiceSimulation(seed).Run(0.8);
    CHECK_MESSAGE(results.m_refused == 0, "seed ", seed);
    CHECK_MESSAGE(results.m_completed_in_time >= 0.97 * results.m_requests, "seed ", seed);
  }
}
