#include <LibPlacement/EndpointChooser.h>

#include <algorithm>
#include <set>
#include <tuple>

namespace auburnhitch {

namespace {

// Cost of using another data centre: an endpoint there must save this much expected time. Traffic
// between data centres is more expensive than a few milliseconds within the objective.
constexpr double kOtherDataCenterCostMs = 15;
// Share of the slot-holding time that is added to the time to first byte as cost: a slot at a slow
// endpoint is unavailable to later requests for longer.
constexpr double kHoldingTimeCostShare = 0.2;
// Cost of a failure rate of 1, in milliseconds; exceeds any queueing delay.
constexpr double kFailureCostMs = 3'000;
// Cost of a new connection: a round trip within a data centre and 1 ms of a slot, or a round trip
// to another data centre, which takes up to 4.4 ms, and 1 ms of a slot.
constexpr double kNewConnectionCostMs = 2;
constexpr double kNewConnectionToOtherDataCenterCostMs = 5;
// A request counts as late for certain if it is late even when this share of the expected time to
// first byte passes; service times vary by about a tenth.
constexpr double kCertainShare = 0.9;

bool
IsInTime(const SlotRequest& aRequest, TimePoint aSentAt, double aFirstByteMs)
{
  return std::chrono::duration<double, std::milli>(aRequest.m_objective_at - aSentAt).count() >=
         aFirstByteMs;
}

}

EndpointChooser::Candidates
EndpointChooser::CandidatesFor(Endpoints& aEndpoints,
                               const SlotRequest& aRequest,
                               const Filter& aMayServe,
                               TimePoint aNow) const
{
  const std::set<EndpointId> isolated = m_state.m_crash_suspects.EndpointsOfSuspects(aNow);
  const Incarnation& daemon = aRequest.m_request_id.m_daemon;
  Candidates all;
  Candidates unsuspected;
  Candidates open;
  for (auto& [id, endpoint] : aEndpoints) {
    if (!aMayServe(endpoint)) {
      continue;
    }
    all.push_back(&endpoint);
    if (endpoint.IsSuspectFor(daemon, m_state.m_doubted, aNow)) {
      continue;
    }
    unsuspected.push_back(&endpoint);
    if (!isolated.contains(id)) {
      open.push_back(&endpoint);
    }
  }
  if (!open.empty()) {
    return open;
  }
  return unsuspected.empty() ? all : unsuspected;
}

SlotEndpoint*
EndpointChooser::Choose(Endpoints& aEndpoints,
                        const SlotRequest& aRequest,
                        const Filter& aMayServe,
                        TimePoint aNow) const
{
  const bool is_suspected = m_state.m_crash_suspects.HasSuspectedRequest(aRequest.m_crash_traits);
  SlotEndpoint* best = nullptr;
  std::tuple<std::size_t, bool, bool, bool, double> best_cost;
  for (SlotEndpoint* endpoint : CandidatesFor(aEndpoints, aRequest, aMayServe, aNow)) {
    if (!endpoint->HasFreeSlot(m_state.m_slot_share, aNow)) {
      continue;
    }
    const EndpointId& id = endpoint->Info().m_id;
    const bool is_avoided = std::find(aRequest.m_avoided.begin(), aRequest.m_avoided.end(), id) !=
                            aRequest.m_avoided.end();
    // If a suspected request crashes its endpoint, those that run there break off with it.
    const std::size_t at_risk = is_suspected ? m_state.m_crash_suspects.CountAtRisk(id, aNow) : 0;
    const bool is_beyond_limit = m_state.m_is_learning && endpoint->IsAtLearnedLimit();
    const bool is_late = m_state.m_is_learning &&
                         !IsInTime(aRequest, aNow, endpoint->ExpectedFirstByteMs(aRequest.m_work));
    const std::tuple cost(
      at_risk, is_avoided, is_beyond_limit, is_late, CostOf(*endpoint, aRequest, aNow));
    if (best == nullptr || cost < best_cost) {
      best = endpoint;
      best_cost = cost;
    }
  }
  return best;
}

const SlotEndpoint*
EndpointChooser::BetterSoon(Endpoints& aEndpoints,
                            const SlotRequest& aRequest,
                            const SlotEndpoint& aChosen,
                            const AwaitedSlots& aAwaited,
                            const Filter& aMayServe,
                            TimePoint aNow) const
{
  const double chosen_ms = aChosen.ExpectedFirstByteMs(aRequest.m_work);
  if (IsInTime(aRequest, aNow, kCertainShare * chosen_ms) || aChosen.IsEstimateStale(aNow)) {
    return nullptr;
  }
  const SlotEndpoint* best = nullptr;
  TimePoint best_at;
  for (const SlotEndpoint* endpoint : CandidatesFor(aEndpoints, aRequest, aMayServe, aNow)) {
    if (endpoint->HasFreeSlot(m_state.m_slot_share, aNow)) {
      continue;
    }
    const auto awaited = aAwaited.find(endpoint->Info().m_id);
    const auto release =
      endpoint->ExpectedRelease(awaited == aAwaited.end() ? 0 : awaited->second, aNow);
    if (release && (best == nullptr || *release < best_at) &&
        IsInTime(aRequest, *release, endpoint->ExpectedFirstByteAloneMs(aRequest.m_work))) {
      best = endpoint;
      best_at = *release;
    }
  }
  return best;
}

double
EndpointChooser::CostOf(const SlotEndpoint& aEndpoint,
                        const SlotRequest& aRequest,
                        TimePoint aNow) const
{
  const bool is_other_data_center = aEndpoint.Info().m_data_center != aRequest.m_data_center;
  const bool needs_connection =
    m_state.m_is_learning && !aEndpoint.HasIdleConnection(aRequest.m_request_id.m_daemon, aNow);
  const double connection_ms =
    is_other_data_center ? kNewConnectionToOtherDataCenterCostMs : kNewConnectionCostMs;
  return aEndpoint.ExpectedFirstByteMs(aRequest.m_work) +
         kHoldingTimeCostShare * aEndpoint.ExpectedTotalMs(aRequest.m_work) +
         (is_other_data_center ? kOtherDataCenterCostMs : 0) +
         (needs_connection ? connection_ms : 0) + kFailureCostMs * aEndpoint.FailureRate();
}

}
