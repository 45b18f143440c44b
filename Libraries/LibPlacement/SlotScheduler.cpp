#include <LibPlacement/SlotScheduler.h>

#include <absl/hash/hash.h>
#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace auburnhitch {

namespace {

// Milliseconds of expected time that an endpoint in another data centre must be better by. Bytes
// between data centres cost the users more than a few milliseconds within the objective.
constexpr double kOtherDataCenterMs = 15;
// No endpoint counts as faster than this.
constexpr double kLeastFirstMs = 0.1;
// Part of the time for which a place is held that counts beside the time to the first part: a
// place at a slow endpoint is taken from later requests for longer.
constexpr double kPartOfHoldingTime = 0.2;
// What a failure rate of 1 above the usual costs, in milliseconds: more than any queueing.
constexpr double kFailureMs = 3'000;
// Refused callers are spread over this part of what they are told, so as not to return together.
constexpr double kRetrySpread = 0.5;
// Waiting may be expected to take up to this part of the time that the caller stays.
constexpr double kPartOfPatience = 0.9;
// Weight of a new deviation from an expected time: about thirty answers count.
constexpr double kDeviationWeight = 0.03;
// Deviations that a time is given beyond what is expected, so that some nine in ten are within it.
constexpr double kDeviationsOfMargin = 1.25;
// One answer from an endpoint that has just turned slow must not count for all.
constexpr double kMostDeviation = 1;
// While more work arrives than can be done, the queue is kept to this part of the time that a
// request can wait and still be in time: a longer one serves no more callers, it only makes each of
// them wait, and those that return after a refusal come too late.
constexpr double kPartOfSlackWhenCrowded = 0.25;
// Work of higher priorities is expected to leave at least this part of the places.
constexpr double kLeastPartLeft = 0.1;

}

const char*
NameOf(SlotOutcome aEnd)
{
  switch (aEnd) {
    case SlotOutcome::Complete:
      return "complete";
    case SlotOutcome::Failed:
      return "failed";
    case SlotOutcome::Refused:
      return "refused";
    case SlotOutcome::Unreachable:
      return "unreachable";
    case SlotOutcome::Broken:
      return "broken";
    case SlotOutcome::Cancelled:
      return "cancelled";
  }
  return "unknown";
}

const char*
NameOf(SlotRefusalReason aReason)
{
  switch (aReason) {
    case SlotRefusalReason::Overloaded:
      return "overloaded";
    case SlotRefusalReason::WaitedTooLong:
      return "waited-too-long";
    case SlotRefusalReason::NoEndpoint:
      return "no-endpoint";
    case SlotRefusalReason::OverQuota:
      return "over-quota";
  }
  return "unknown";
}

void
SlotScheduler::SetEndpoints(const std::vector<SlotEndpointInfo>& aEndpoints, TimePoint aNow)
{
  std::vector<double> firsts;
  std::vector<double> rests;
  for (const auto& [id, endpoint] : m_endpoints) {
    if (endpoint.Times().HasLearned()) {
      firsts.push_back(endpoint.Times().FirstByteSlowness());
      rests.push_back(endpoint.Times().RestSlowness());
    }
  }
  const auto median = [](std::vector<double>& aValues) {
    if (aValues.empty()) {
      return 1.0;
    }
    const auto middle = aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
    std::nth_element(aValues.begin(), middle, aValues.end());
    return *middle;
  };
  const double usual_first = median(firsts);
  const double usual_rest = median(rests);
  std::map<EndpointId, SlotEndpoint> endpoints;
  for (const SlotEndpointInfo& info : aEndpoints) {
    auto found = m_endpoints.find(info.m_id);
    if (found != m_endpoints.end() &&
        found->second.Info().m_started_at_ms == info.m_started_at_ms) {
      found->second.SetInfo(info);
      endpoints.insert(m_endpoints.extract(found));
      continue;
    }
    SlotEndpoint fresh(info, aNow);
    fresh.Times().SetPrior(usual_first, usual_rest);
    endpoints.emplace(info.m_id, std::move(fresh));
  }
  m_endpoints = std::move(endpoints);
}

void
SlotScheduler::RequestSlot(const SlotRequest& aRequest, TimePoint aNow)
{
  WaitingSlotRequest waiting{ aRequest, 0, 0, 0 };
  double least = -1;
  double total = 0;
  double rate = 0;
  for (const auto& [id, endpoint] : m_endpoints) {
    const double first = endpoint.Times().FirstByteSlowness() *
                         ServiceTimeModel::ReferenceFirstByteMs(aRequest.m_work, 0);
    least = least < 0 ? first : std::min(least, first);
    total += endpoint.ExpectedTotalMs(aRequest.m_work);
    rate += 1 / std::max(first, kLeastFirstMs);
  }
  waiting.m_min_first_byte_ms = std::max(0.0, least);
  // Fast endpoints have a free place more often, so they count for more.
  const double usual = rate > 0 ? static_cast<double>(m_endpoints.size()) / rate : 0;
  waiting.m_first_byte_bound_ms = usual * (1 + kDeviationsOfMargin * m_deviation);
  waiting.m_slot_time_ms =
    m_endpoints.empty() ? 0 : total / static_cast<double>(m_endpoints.size());
  m_queue.Push(std::move(waiting), aNow);
  m_undecided.push_back(aRequest.m_request_id);
}

void
SlotScheduler::RecordHeld(const SlotRequestId& aRequestId,
                          const EndpointId& aEndpoint,
                          const RequestWork& aWork,
                          TimePoint aNow)
{
  const auto found = m_endpoints.find(aEndpoint);
  if (found != m_endpoints.end()) {
    found->second.Hold(aRequestId, aWork, aNow);
  }
}

void
SlotScheduler::RecordStarted(const SlotRequestId& aRequestId,
                             const EndpointId& aEndpoint,
                             TimePoint aNow)
{
  const auto found = m_endpoints.find(aEndpoint);
  if (found == m_endpoints.end()) {
    return;
  }
  if (const auto ratio = found->second.RecordStarted(aRequestId, aNow)) {
    const double deviation = std::min(std::abs(*ratio - 1), kMostDeviation);
    m_deviation += kDeviationWeight * (deviation - m_deviation);
  }
}

void
SlotScheduler::RecordEnded(const SlotRequestId& aRequestId,
                           const EndpointId& aEndpoint,
                           SlotOutcome aEnd,
                           TimePoint aNow)
{
  const auto found = m_endpoints.find(aEndpoint);
  if (found != m_endpoints.end()) {
    found->second.RecordEnded(aRequestId, aEnd, aNow);
  }
}

void
SlotScheduler::ReleaseSlot(const SlotRequestId& aRequestId, TimePoint aNow)
{
  for (auto& [id, endpoint] : m_endpoints) {
    if (endpoint.RecordEnded(aRequestId, SlotOutcome::Cancelled, aNow)) {
      return;
    }
  }
}

std::vector<SlotRequest>
SlotScheduler::ForgetDaemon(const Incarnation& aDaemon)
{
  for (auto& [id, endpoint] : m_endpoints) {
    endpoint.ReleaseDaemon(aDaemon);
  }
  return m_queue.RemoveDaemon(aDaemon);
}

std::optional<SlotRequest>
SlotScheduler::Withdraw(const SlotRequestId& aRequestId)
{
  auto waiting = m_queue.Remove(aRequestId);
  return waiting ? std::optional(std::move(waiting->m_request)) : std::nullopt;
}

std::size_t
SlotScheduler::HeldCount() const
{
  return std::accumulate(
    m_endpoints.begin(),
    m_endpoints.end(),
    std::size_t{ 0 },
    [](std::size_t aSum, const auto& aEntry) { return aSum + aEntry.second.HeldCount(); });
}

std::size_t
SlotScheduler::SlotCount(TimePoint aNow) const
{
  std::size_t places = 0;
  for (const auto& [id, endpoint] : m_endpoints) {
    places += endpoint.IsSuspect(aNow) ? 0 : endpoint.ConcurrencyLimit(m_slot_share, aNow);
  }
  return places;
}

std::vector<SlotEndpointView>
SlotScheduler::View(TimePoint aNow) const
{
  std::vector<SlotEndpointView> views;
  views.reserve(m_endpoints.size());
  for (const auto& [id, endpoint] : m_endpoints) {
    views.push_back({ id,
                      endpoint.IsSuspect(aNow),
                      endpoint.HeldCount(),
                      endpoint.Times().FirstByteSlowness(),
                      endpoint.Times().RestSlowness(),
                      endpoint.FailureRate() });
  }
  return views;
}

double
SlotScheduler::ExpectedWaitMs(int aPriority, TimePoint aNow) const
{
  const std::size_t places = SlotCount(aNow);
  const double left = std::max(kLeastPartLeft, 1.0 - m_queue.LoadAbove(aPriority, places, aNow));
  return m_queue.SlotTimeAheadMs(aPriority) /
         (static_cast<double>(std::max<std::size_t>(places, 1)) * left);
}

Milliseconds
SlotScheduler::RetryAfter(const SlotRequest& aRequest, double aWaitMs) const
{
  constexpr std::uint64_t kSteps = 1'000;
  const double point =
    static_cast<double>(absl::HashOf(aRequest.m_request_id) % kSteps) / static_cast<double>(kSteps);
  const auto spread = static_cast<std::int64_t>(aWaitMs * (1 + kRetrySpread * point));
  return std::clamp(Milliseconds(spread), m_limits.m_min_retry_after, m_limits.m_max_retry_after);
}

void
SlotScheduler::Refuse(const SlotRequest& aRequest,
                      SlotRefusalReason aReason,
                      TimePoint aNow,
                      SlotDecisions& aDecisions) const
{
  const double wait_ms = ExpectedWaitMs(aRequest.m_priority, aNow);
  aDecisions.m_refusals.push_back(
    { aRequest.m_request_id, aReason, RetryAfter(aRequest, wait_ms) });
  aDecisions.m_refused.push_back(aRequest);
}

double
SlotScheduler::CostOf(const SlotEndpoint& aEndpoint, const SlotRequest& aRequest) const
{
  const bool is_elsewhere = aEndpoint.Info().m_data_center != aRequest.m_data_center;
  return aEndpoint.ExpectedFirstByteMs(aRequest.m_work) +
         kPartOfHoldingTime * aEndpoint.ExpectedTotalMs(aRequest.m_work) +
         (is_elsewhere ? kOtherDataCenterMs : 0) + kFailureMs * aEndpoint.FailureRate();
}

SlotEndpoint*
SlotScheduler::Choose(const WaitingSlotRequest& aWaiting, TimePoint aNow)
{
  const SlotRequest& request = aWaiting.m_request;
  const bool has_trusted =
    std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& aEntry) {
      return !aEntry.second.IsSuspect(aNow);
    });
  SlotEndpoint* best = nullptr;
  double best_cost = 0;
  bool is_best_avoided = false;
  for (auto& [id, endpoint] : m_endpoints) {
    if (endpoint.HeldCount() >= endpoint.ConcurrencyLimit(m_slot_share, aNow) ||
        (has_trusted && endpoint.IsSuspect(aNow))) {
      continue;
    }
    const bool is_avoided =
      std::find(request.m_avoided.begin(), request.m_avoided.end(), id) != request.m_avoided.end();
    const double cost = CostOf(endpoint, request);
    if (best == nullptr || std::pair(is_avoided, cost) < std::pair(is_best_avoided, best_cost)) {
      best = &endpoint;
      best_cost = cost;
      is_best_avoided = is_avoided;
    }
  }
  return best;
}

bool
SlotScheduler::ShouldRefuse(const WaitingSlotRequest& aWaiting, TimePoint aNow) const
{
  if (m_queue.Size() >= m_limits.m_max_waiting) {
    return true;
  }
  const auto until = [&](TimePoint aAt) {
    return std::chrono::duration<double, std::milli>(aAt - aNow).count();
  };
  const SlotRequest& request = aWaiting.m_request;
  const double wait_ms = ExpectedWaitMs(request.m_priority, aNow);
  if (wait_ms > kPartOfPatience * (until(request.m_abandoned_at) - aWaiting.m_min_first_byte_ms)) {
    return true;
  }
  const double slack_ms = until(request.m_objective_at) - aWaiting.m_first_byte_bound_ms;
  return wait_ms > kPartOfSlackWhenCrowded * slack_ms &&
         m_queue.IsOverloaded(request.m_priority, SlotCount(aNow), aNow);
}

SlotDecisions
SlotScheduler::Decide(TimePoint aNow)
{
  SlotDecisions decisions;
  if (m_endpoints.empty()) {
    for (const WaitingSlotRequest& waiting : m_queue.TakeAll()) {
      Refuse(waiting.m_request, SlotRefusalReason::NoEndpoint, aNow, decisions);
    }
    m_undecided.clear();
    return decisions;
  }
  for (const WaitingSlotRequest& waiting : m_queue.TakeUnservable(SlotCount(aNow), aNow)) {
    Refuse(waiting.m_request, SlotRefusalReason::WaitedTooLong, aNow, decisions);
  }
  while (const WaitingSlotRequest* front = m_queue.Front(aNow)) {
    SlotEndpoint* endpoint = Choose(*front, aNow);
    if (endpoint == nullptr) {
      break;
    }
    const WaitingSlotRequest granted = m_queue.PopFront(aNow);
    const double expected_ms = endpoint->ExpectedFirstByteMs(granted.m_request.m_work);
    endpoint->Hold(granted.m_request.m_request_id, granted.m_request.m_work, aNow);
    decisions.m_grants.push_back({ granted.m_request.m_request_id,
                                   endpoint->Info().m_id,
                                   Milliseconds(static_cast<std::int64_t>(expected_ms)) });
  }
  // What cannot be served before its caller goes is refused while it has not waited yet.
  for (const SlotRequestId& ticket : std::exchange(m_undecided, {})) {
    auto waiting = m_queue.Remove(ticket);
    if (!waiting) {
      continue;
    }
    if (ShouldRefuse(*waiting, aNow)) {
      Refuse(waiting->m_request, SlotRefusalReason::Overloaded, aNow, decisions);
    } else {
      m_queue.PutBack(std::move(*waiting));
    }
  }
  return decisions;
}

}
