#include <LibScheduling/ServiceScheduler.h>

#include <algorithm>
#include <utility>

namespace auburnhitch {

namespace {

/// Back-off during which an unreachable endpoint gets no work.
constexpr Milliseconds kUnreachableBackOff{ 500 };
/// Sheddable work starts only if the time to its deadline is at least this multiple of its expected
/// duration.
constexpr int kMinDeadlineMargin = 2;

}

bool
ServiceScheduler::MayUse(const Endpoint& aEndpoint,
                         const SchedulerContext& aContext,
                         TimePoint aNow) const
{
  const auto avoided = m_avoided_until.find(aEndpoint.m_host);
  const bool is_avoided = avoided != m_avoided_until.end() && aNow < avoided->second;
  return !is_avoided && aContext.m_may_use(aEndpoint);
}

TimePoint
ServiceScheduler::EarliestUse(const SchedulerContext& aContext, TimePoint aNow) const
{
  const auto has_usable = [&](TimePoint aAt) {
    return m_endpoints.HasUsableEndpoint(
      [&](const Endpoint& aEndpoint) { return MayUse(aEndpoint, aContext, aAt); });
  };
  if (m_avoided_until.empty() || has_usable(aNow)) {
    return aNow;
  }
  TimePoint earliest = TimePoint::max();
  for (const auto& [host, until] : m_avoided_until) {
    if (until > aNow && until < earliest && has_usable(until)) {
      earliest = until;
    }
  }
  return earliest == TimePoint::max() ? aNow : earliest;
}

RejectedRequest
ServiceScheduler::RejectUntil(TimePoint aEarliestUse, WaitingRequest aRequest, TimePoint aNow) const
{
  return { std::move(aRequest),
           RejectionReason::NoEndpoint,
           std::clamp(std::chrono::ceil<Milliseconds>(aEarliestUse - aNow),
                      m_limits.m_min_retry_after,
                      m_limits.m_max_retry_after) };
}

Milliseconds
ServiceScheduler::RetryAfter(std::size_t aTier,
                             const SchedulerContext& aContext,
                             TimePoint aNow) const
{
  const auto drain =
    m_endpoints.ExpectedDrain(m_queue.WorkThrough(aTier), aTier, [&](const Endpoint& aEndpoint) {
      return MayUse(aEndpoint, aContext, aNow);
    });
  return std::clamp(drain, m_limits.m_min_retry_after, m_limits.m_max_retry_after);
}

void
ServiceScheduler::ShedAllBelow(std::size_t aTier,
                               Milliseconds aRetryAfter,
                               std::vector<RejectedRequest>& aRejected)
{
  while (auto lower = m_queue.ShedBelow(aTier)) {
    aRejected.push_back(RejectedRequest{ std::move(*lower), RejectionReason::Shed, aRetryAfter });
  }
}

std::vector<RejectedRequest>
ServiceScheduler::Admit(const WaitingRequest& aRequest,
                        const SchedulerContext& aContext,
                        TimePoint aNow)
{
  std::vector<RejectedRequest> rejected;
  const auto may_use = [&](const Endpoint& aEndpoint) { return MayUse(aEndpoint, aContext, aNow); };
  const Milliseconds retry_after = RetryAfter(aRequest.m_tier, aContext, aNow);
  // Requests may wait for endpoints that are only in back-off.
  if (!m_endpoints.HasUsableEndpoint(aContext.m_may_use)) {
    rejected.push_back(
      RejectedRequest{ aRequest, RejectionReason::NoEndpoint, m_limits.m_min_retry_after });
    return rejected;
  }
  const TimePoint earliest_use = EarliestUse(aContext, aNow);
  if (earliest_use >= aRequest.m_deadline) {
    rejected.push_back(RejectUntil(earliest_use, aRequest, aNow));
    return rejected;
  }
  const WorkUnits ahead = m_queue.WorkThrough(aRequest.m_tier) + aRequest.m_work;
  const bool can_wait =
    !m_endpoints.HasUsableEndpoint(may_use) ||
    m_endpoints.HasFreeSlotFor(aRequest.m_tier, may_use) ||
    aNow + m_endpoints.ExpectedDrain(ahead, aRequest.m_tier, may_use) <= aRequest.m_deadline;
  if (!can_wait) {
    ShedAllBelow(aRequest.m_tier, retry_after, rejected);
    rejected.push_back(
      RejectedRequest{ aRequest, RejectionReason::DeadlineUnreachable, retry_after });
    return rejected;
  }
  if (m_queue.Size() >= m_limits.m_max_waiting) {
    auto lower = m_queue.ShedBelow(aRequest.m_tier);
    if (!lower) {
      rejected.push_back(RejectedRequest{ aRequest, RejectionReason::Overloaded, retry_after });
      return rejected;
    }
    rejected.push_back(RejectedRequest{ std::move(*lower), RejectionReason::Shed, retry_after });
  }
  m_queue.Push(aRequest);
  return rejected;
}

std::optional<StartDecision>
ServiceScheduler::Next(const SchedulerContext& aContext, TimePoint aNow)
{
  const auto may_use = [&](const Endpoint& aEndpoint) { return MayUse(aEndpoint, aContext, aNow); };
  if (m_queue.Size() == 0 || !m_endpoints.HasFreeSlotFor(*m_queue.HighestTier(), may_use)) {
    return std::nullopt;
  }
  const WaitingRequest request = m_queue.Pop();
  const bool yields_to_peer =
    aContext.m_tier_waiting_at_peers && *aContext.m_tier_waiting_at_peers < request.m_tier;
  auto choice = m_endpoints.Choose(request, may_use, aNow);
  if (yields_to_peer || !choice) {
    m_queue.PushBack(request);
    return std::nullopt;
  }
  const bool cannot_meet_deadline =
    m_limits.m_balance >= BalancePolicy::DeadlineFeasibility && request.m_is_sheddable &&
    aNow + kMinDeadlineMargin * choice->m_expected_alone > request.m_deadline;
  if (cannot_meet_deadline) {
    m_unmeetable.push_back(request);
    return Next(aContext, aNow);
  }
  m_endpoints.RecordStarted(choice->m_endpoint.m_host, request, aNow);
  return StartDecision{ request, std::move(*choice) };
}

void
ServiceScheduler::ReturnUnsent(const StartDecision& aStarted, TimePoint aNow)
{
  const HostName& host = aStarted.m_choice.m_endpoint.m_host;
  m_endpoints.RecordEnded(host, aStarted.m_request.m_key, std::nullopt);
  RecordRest(host, aNow + kUnreachableBackOff);
  m_queue.PushBack(aStarted.m_request);
}

void
ServiceScheduler::RecordRest(const HostName& aHost, TimePoint aUntil)
{
  const auto [found, is_new] = m_avoided_until.try_emplace(aHost, aUntil);
  if (!is_new) {
    found->second = std::max(found->second, aUntil);
  }
}

void
ServiceScheduler::RecordEnded(const HostName& aHost,
                              const RequestKey& aKey,
                              std::optional<Duration> aTook)
{
  m_endpoints.RecordEnded(aHost, aKey, aTook);
}

std::vector<RejectedRequest>
ServiceScheduler::TakeOverdue(const SchedulerContext& aContext, TimePoint aNow)
{
  std::vector<RejectedRequest> rejected;
  for (WaitingRequest& request : std::exchange(m_unmeetable, {})) {
    const Milliseconds retry_after = RetryAfter(request.m_tier, aContext, aNow);
    rejected.push_back(
      RejectedRequest{ std::move(request), RejectionReason::DeadlineUnreachable, retry_after });
  }
  for (WaitingRequest& request : m_queue.TakeOverdue(aNow)) {
    const std::size_t tier = request.m_tier;
    const Milliseconds retry_after = RetryAfter(tier, aContext, aNow);
    ShedAllBelow(tier, retry_after, rejected);
    rejected.push_back(
      RejectedRequest{ std::move(request), RejectionReason::DeadlinePassed, retry_after });
  }
  // No endpoint is left, so no waiting request can be served.
  if (m_queue.Size() > 0 && !m_endpoints.HasUsableEndpoint(aContext.m_may_use)) {
    for (WaitingRequest& request : m_queue.TakeOverdue(TimePoint::max())) {
      rejected.push_back(RejectedRequest{
        std::move(request), RejectionReason::NoEndpoint, m_limits.m_min_retry_after });
    }
  }
  if (m_queue.Size() > 0) {
    const TimePoint earliest_use = EarliestUse(aContext, aNow);
    for (WaitingRequest& request : m_queue.TakeOverdue(earliest_use)) {
      rejected.push_back(RejectUntil(earliest_use, std::move(request), aNow));
    }
  }
  return rejected;
}

}
