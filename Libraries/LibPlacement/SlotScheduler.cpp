#include <LibPlacement/SlotScheduler.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace auburnhitch {

namespace {

// An endpoint of a missing software version may come back after a restart, which takes seconds.
constexpr double kRestartTimeMs = 1'000;
// EWMA weight of a new request in the mean time for which a slot is held.
constexpr double kSlotTimeWeight = 0.05;
// Lower bound of the number of slots while rate limits apply.
constexpr double kMinLimitedSlots = 1e-3;
// Maximum number of requests that wait for a better slot in one decision. With 16, fewer requests
// were in time near full load than without the rule.
constexpr std::size_t kMaxAwaitedSlots = 4;

double
MsBetween(TimePoint aFrom, TimePoint aTo)
{
  return std::chrono::duration<double, std::milli>(aTo - aFrom).count();
}

}

void
SlotScheduler::RecordVersions(const std::vector<SlotEndpointInfo>& aEndpoints, TimePoint aNow)
{
  const bool is_first = m_versions.empty();
  bool is_new = false;
  for (const SlotEndpointInfo& info : aEndpoints) {
    is_new = m_versions.insert(info.m_software_version).second || is_new;
  }
  if (is_new && !is_first) {
    m_crash_suspects->OnNewVersion(aNow);
  }
}

void
SlotScheduler::SetEndpoints(const std::vector<SlotEndpointInfo>& aEndpoints, TimePoint aNow)
{
  RecordVersions(aEndpoints, aNow);
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
  const double median_first = median(firsts);
  const double median_rest = median(rests);
  std::map<EndpointId, SlotEndpoint> endpoints;
  for (const SlotEndpointInfo& info : aEndpoints) {
    auto found = m_endpoints.find(info.m_id);
    if (found != m_endpoints.end() &&
        found->second.Info().m_started_at_ms == info.m_started_at_ms) {
      found->second.SetInfo(info);
      endpoints.insert(m_endpoints.extract(found));
      continue;
    }
    m_crash_suspects->RecordRestarted(info.m_id);
    SlotEndpoint fresh(info, aNow, m_admission.Limits().m_learn_concurrency);
    fresh.SetRateShare(m_rate_share, aNow);
    fresh.SetGrantsAhead(m_admission.Limits().m_is_contended);
    fresh.Times().SetPrior(median_first, median_rest);
    endpoints.emplace(info.m_id, std::move(fresh));
  }
  m_endpoints = std::move(endpoints);
}

void
SlotScheduler::SetRateShare(double aShare, TimePoint aNow)
{
  m_rate_share = aShare;
  for (auto& [id, endpoint] : m_endpoints) {
    endpoint.SetRateShare(aShare, aNow);
  }
}

bool
SlotScheduler::RecordStatedLimit(const EndpointIncarnation& aEndpoint,
                                 const std::optional<RequestRate>& aStated,
                                 const std::optional<SlotRequestId>& aRequestId,
                                 TimePoint aNow)
{
  const auto found = m_endpoints.find(aEndpoint.m_id);
  return found != m_endpoints.end() &&
         found->second.Info().m_started_at_ms <= aEndpoint.m_started_at_ms &&
         found->second.RecordStatedLimit(aStated, aRequestId, aNow);
}

std::vector<StatedLimit>
SlotScheduler::StatedLimits() const
{
  std::vector<StatedLimit> limits;
  for (const auto& [id, endpoint] : m_endpoints) {
    if (endpoint.StatedLimit()) {
      limits.push_back({ { id, endpoint.Info().m_started_at_ms }, *endpoint.StatedLimit() });
    }
  }
  return limits;
}

void
SlotScheduler::RecordRest(const EndpointIncarnation& aEndpoint, TimePoint aNow)
{
  const auto found = m_endpoints.find(aEndpoint.m_id);
  if (found != m_endpoints.end() &&
      found->second.Info().m_started_at_ms == aEndpoint.m_started_at_ms) {
    found->second.RecordRest(aNow);
  }
}

void
SlotScheduler::RecordRenewed(const EndpointIncarnation& aEndpoint,
                             TimePoint aReadableSince,
                             TimePoint aNow)
{
  const auto found = m_endpoints.find(aEndpoint.m_id);
  if (found != m_endpoints.end() &&
      found->second.Info().m_started_at_ms == aEndpoint.m_started_at_ms) {
    found->second.RecordRenewed(aReadableSince, aNow);
    m_crash_suspects->RecordRenewed(aEndpoint.m_id, aReadableSince, aNow);
  }
}

CrashSuspects::Admission
SlotScheduler::AdmissionOf(const SlotRequest& aRequest, TimePoint aNow) const
{
  const CrashSuspects::Admission admission =
    m_crash_suspects->AdmissionOf(aRequest.m_crash_traits, aNow);
  if (admission != CrashSuspects::Admission::Trial) {
    return admission;
  }
  const auto serving =
    std::count_if(m_endpoints.begin(), m_endpoints.end(), [&](const auto& aEntry) {
      return !aEntry.second.IsSuspect(m_doubted, aNow);
    });
  return serving > 1 ? CrashSuspects::Admission::Admit : CrashSuspects::Admission::Refuse;
}

void
SlotScheduler::RequestSlot(const SlotRequest& aRequest, TimePoint aNow)
{
  if (aRequest.m_required_version && !HasEligibleEndpoint(aRequest)) {
    m_ineligible.emplace_back(aRequest, SlotRefusalReason::NoEndpointOfVersion);
    return;
  }
  if (AdmissionOf(aRequest, aNow) == CrashSuspects::Admission::Refuse) {
    m_ineligible.emplace_back(aRequest, SlotRefusalReason::Harmful);
    return;
  }
  WaitingSlotRequest waiting = m_admission.Estimate(aRequest, m_endpoints);
  const bool is_first = m_mean_slot_time_ms == 0;
  m_mean_slot_time_ms +=
    (is_first ? 1 : kSlotTimeWeight) * (waiting.m_slot_time_ms - m_mean_slot_time_ms);
  m_queue.Push(std::move(waiting), aNow);
  m_undecided.push_back(aRequest.m_request_id);
}

void
SlotScheduler::RecordHeld(const SlotRequestId& aRequestId,
                          const EndpointId& aEndpoint,
                          const RequestWork& aWork,
                          const std::vector<CrashTrait>& aCrashTraits,
                          TimePoint aNow)
{
  const auto found = m_endpoints.find(aEndpoint);
  if (found != m_endpoints.end()) {
    found->second.Adopt(aRequestId, aWork, aNow);
    m_crash_suspects->Begin(aRequestId, aEndpoint, aCrashTraits, aNow);
    if (m_exposure != nullptr) {
      m_exposure->OnHeld(aRequestId, found->second.Info(), aNow);
    }
  }
}

void
SlotScheduler::RecordStarted(const SlotRequestId& aRequestId,
                             const EndpointId& aEndpoint,
                             TimePoint aNow)
{
  m_crash_suspects->RecordStarted(aRequestId, aNow);
  if (m_exposure != nullptr) {
    m_exposure->OnStarted(aRequestId, aNow);
  }
  const auto found = m_endpoints.find(aEndpoint);
  if (found == m_endpoints.end()) {
    return;
  }
  if (const auto ratio = found->second.RecordStarted(aRequestId, aNow)) {
    m_admission.RecordFirstByteRatio(*ratio, aNow);
  }
}

void
SlotScheduler::RecordEnded(const SlotRequestId& aRequestId,
                           const EndpointId& aEndpoint,
                           SlotOutcome aOutcome,
                           TimePoint aNow)
{
  const auto found = m_endpoints.find(aEndpoint);
  const bool is_usable = found != m_endpoints.end();
  m_crash_suspects->RecordEnded(aRequestId, aOutcome, !is_usable, aNow);
  RecordEndedExposure(aRequestId, aOutcome, aNow);
  if (is_usable) {
    UpdateDoubted(aNow);
    found->second.RecordEnded(aRequestId, aOutcome, m_doubted, aNow);
  }
}

void
SlotScheduler::ReleaseSlot(const SlotRequestId& aRequestId, TimePoint aNow)
{
  m_crash_suspects->RecordEnded(aRequestId, SlotOutcome::Cancelled, true, aNow);
  RecordEndedExposure(aRequestId, SlotOutcome::Cancelled, aNow);
  for (auto& [id, endpoint] : m_endpoints) {
    if (endpoint.RecordEnded(aRequestId, SlotOutcome::Cancelled, m_doubted, aNow)) {
      return;
    }
  }
}

std::vector<SlotRequest>
SlotScheduler::ForgetDaemon(const Incarnation& aDaemon)
{
  m_crash_suspects->ForgetDaemon(aDaemon);
  if (m_exposure != nullptr) {
    m_exposure->OnDaemonForgotten(aDaemon);
  }
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

double
SlotScheduler::SlotCount(TimePoint aNow) const
{
  double slots = 0;
  bool is_limited = false;
  for (const auto& [id, endpoint] : m_endpoints) {
    const bool is_in_service = m_exposure == nullptr || m_exposure->IsInService(endpoint.Info());
    if (is_in_service && !endpoint.IsSuspect(m_doubted, aNow)) {
      slots += endpoint.UsableSlots(m_slot_share, m_mean_slot_time_ms, aNow);
      is_limited = is_limited || endpoint.StatedLimit().has_value();
    }
  }
  // Without rate limits, an endpoint that has no slot now has one soon.
  return std::max(slots, is_limited ? kMinLimitedSlots : 1.0);
}

std::vector<SlotEndpointView>
SlotScheduler::View(TimePoint aNow) const
{
  std::vector<SlotEndpointView> views;
  for (const auto& [id, endpoint] : m_endpoints) {
    views.push_back({ id,
                      endpoint.IsSuspect(m_doubted, aNow),
                      endpoint.HeldCount(),
                      endpoint.LearnedLimit(),
                      endpoint.Times().FirstByteSlowness(),
                      endpoint.Times().RestSlowness(),
                      endpoint.FailureRate(),
                      endpoint.Info().m_software_version });
  }
  return views;
}

void
SlotScheduler::Refuse(const SlotRequest& aRequest,
                      SlotRefusalReason aReason,
                      TimePoint aNow,
                      SlotDecisions& aDecisions) const
{
  const auto retry_after = [&] {
    if (aReason == SlotRefusalReason::Harmful) {
      return m_admission.Limits().m_max_retry_after;
    }
    if (aReason == SlotRefusalReason::NoEndpointOfVersion) {
      return m_admission.RetryAfter(aRequest, kRestartTimeMs);
    }
    const double wait_ms = m_admission.ReturnDelayMs(m_queue, aRequest, SlotCount(aNow), aNow);
    const auto rest_end = RestEndOfAll(aRequest, aNow);
    return m_admission.RetryAfter(
      aRequest, rest_end ? std::max(wait_ms, MsBetween(aNow, *rest_end)) : wait_ms);
  };
  aDecisions.m_refusals.push_back({ aRequest.m_request_id, aReason, retry_after() });
  aDecisions.m_refused.push_back(aRequest);
}

bool
SlotScheduler::IsEligible(const SlotEndpoint& aEndpoint, const SlotRequest& aRequest)
{
  if (!aRequest.m_required_version) {
    return true;
  }
  const SlotEndpointInfo& info = aEndpoint.Info();
  return info.m_software_version == *aRequest.m_required_version &&
         std::find(aRequest.m_avoided.begin(), aRequest.m_avoided.end(), info.m_id) ==
           aRequest.m_avoided.end();
}

bool
SlotScheduler::IsEligibleNow(const SlotEndpoint& aEndpoint,
                             const SlotRequest& aRequest,
                             TimePoint aNow)
{
  return IsEligible(aEndpoint, aRequest) &&
         !(aRequest.m_required_version && aEndpoint.MayHaveRestarted(aNow));
}

bool
SlotScheduler::HasEligibleEndpoint(const SlotRequest& aRequest) const
{
  return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& aEntry) {
    return IsEligible(aEntry.second, aRequest) &&
           (m_exposure == nullptr || !m_exposure->IsRejected(aEntry.second.Info()));
  });
}

std::optional<TimePoint>
SlotScheduler::RestEnd(const SlotEndpoint& aEndpoint,
                       const SlotRequest& aRequest,
                       TimePoint aNow) const
{
  const SlotEndpointInfo& info = aEndpoint.Info();
  return m_rests->EndOf({ info.m_id, info.m_started_at_ms }, aRequest.m_request_id.m_daemon, aNow);
}

std::optional<TimePoint>
SlotScheduler::RestEndOfAll(const SlotRequest& aRequest, TimePoint aNow) const
{
  std::optional<TimePoint> first;
  if (m_rests->IsEmpty()) {
    return first;
  }
  for (const auto& [id, endpoint] : m_endpoints) {
    if (!IsEligible(endpoint, aRequest)) {
      continue;
    }
    const auto end = RestEnd(endpoint, aRequest, aNow);
    if (!end) {
      return std::nullopt;
    }
    first = std::min(*end, first.value_or(*end));
  }
  return first;
}

bool
SlotScheduler::IsKeptByRest(const SlotRequest& aRequest, TimePoint aNow) const
{
  return !m_rests->IsEmpty() &&
         std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& aEntry) {
           const SlotEndpoint& endpoint = aEntry.second;
           return IsEligibleNow(endpoint, aRequest, aNow) &&
                  endpoint.HasFreeSlot(m_slot_share, aNow) && RestEnd(endpoint, aRequest, aNow);
         });
}

bool
SlotScheduler::RestsTooLong(const WaitingSlotRequest& aWaiting, TimePoint aNow) const
{
  const SlotRequest& request = aWaiting.m_request;
  const auto end = RestEndOfAll(request, aNow);
  if (!end) {
    return false;
  }
  // A stream that has begun is lost if it is refused, so it waits for as long as its caller does.
  return request.m_required_version
           ? MsBetween(*end, request.m_abandoned_at) < aWaiting.m_min_first_byte_ms
           : MsBetween(*end, request.m_objective_at) < aWaiting.m_first_byte_bound_ms;
}

EndpointChooser
SlotScheduler::Chooser() const
{
  return EndpointChooser(
    { *m_crash_suspects, m_doubted, m_slot_share, m_admission.Limits().m_learn_concurrency });
}

SlotEndpoint*
SlotScheduler::ChooseOrAwait(const SlotRequest& aRequest, AwaitedSlots& aAwaited, TimePoint aNow)
{
  SlotEndpoint* chosen = Choose(aRequest, aNow);
  const bool is_preferred =
    chosen != nullptr && m_exposure != nullptr && m_exposure->Prefers(chosen->Info());
  if (chosen == nullptr || is_preferred || !m_admission.Limits().m_learn_concurrency ||
      aAwaited.m_count >= kMaxAwaitedSlots || aRequest.m_required_version) {
    return chosen;
  }
  const SlotEndpoint* better = Chooser().BetterSoon(
    m_endpoints, aRequest, *chosen, aAwaited.m_slots, MayServe(aRequest, aNow), aNow);
  if (better == nullptr) {
    return chosen;
  }
  ++aAwaited.m_slots[better->Info().m_id];
  ++aAwaited.m_count;
  return nullptr;
}

void
SlotScheduler::UpdateDoubted(TimePoint aNow)
{
  m_doubted.clear();
  for (const auto& [id, endpoint] : m_endpoints) {
    endpoint.FindContradicted(aNow, m_doubted);
  }
}

SlotDecisions
SlotScheduler::Decide(TimePoint aNow)
{
  UpdateDoubted(aNow);
  SlotDecisions decisions;
  for (const auto& [request, reason] : std::exchange(m_ineligible, {})) {
    Refuse(request, reason, aNow, decisions);
  }
  if (m_endpoints.empty()) {
    for (const WaitingSlotRequest& waiting : m_queue.TakeAll()) {
      Refuse(waiting.m_request, SlotRefusalReason::NoEndpoint, aNow, decisions);
    }
    m_undecided.clear();
    return decisions;
  }
  for (const WaitingSlotRequest& waiting : m_queue.TakeAbandoned(aNow)) {
    Refuse(waiting.m_request, SlotRefusalReason::WaitedTooLong, aNow, decisions);
  }
  PutBack(GrantSlots(aNow, decisions), aNow, decisions);
  for (const WaitingSlotRequest& waiting : m_queue.TakeUnservable(SlotCount(aNow), aNow)) {
    GrantOrRefuse(waiting, SlotRefusalReason::WaitedTooLong, aNow, decisions);
  }
  DecideNew(aNow, decisions);
  return decisions;
}

std::vector<WaitingSlotRequest>
SlotScheduler::GrantSlots(TimePoint aNow, SlotDecisions& aDecisions)
{
  std::vector<WaitingSlotRequest> set_aside;
  std::set<Incarnation> daemons_kept_by_rest;
  AwaitedSlots awaited;
  while (const WaitingSlotRequest* front = m_queue.Front(aNow)) {
    const SlotRequest& request = front->m_request;
    const auto take = [&] { return *m_queue.Remove(SlotRequestId(request.m_request_id)); };
    const CrashSuspects::Admission admission = AdmissionOf(request, aNow);
    if (admission == CrashSuspects::Admission::Refuse) {
      Refuse(take().m_request, SlotRefusalReason::Harmful, aNow, aDecisions);
      continue;
    }
    const bool is_for_one_version = request.m_required_version.has_value();
    const bool is_kept_by_rest =
      !is_for_one_version && daemons_kept_by_rest.contains(request.m_request_id.m_daemon);
    if (admission == CrashSuspects::Admission::Wait || is_kept_by_rest) {
      set_aside.push_back(take());
      continue;
    }
    const std::size_t awaited_before = awaited.m_count;
    if (SlotEndpoint* endpoint = ChooseOrAwait(request, awaited, aNow)) {
      Grant(*endpoint, m_queue.PopFront(aNow).m_request, aNow, aDecisions);
      continue;
    }
    if (awaited.m_count > awaited_before) {
      // A new request that waits for a better slot is not refused for load.
      std::erase(m_undecided, request.m_request_id);
      set_aside.push_back(take());
      continue;
    }
    if (!is_for_one_version && !IsKeptByRest(request, aNow)) {
      break;
    }
    if (!is_for_one_version) {
      daemons_kept_by_rest.insert(request.m_request_id.m_daemon);
    }
    set_aside.push_back(take());
  }
  return set_aside;
}

void
SlotScheduler::Grant(SlotEndpoint& aEndpoint,
                     const SlotRequest& aRequest,
                     TimePoint aNow,
                     SlotDecisions& aDecisions)
{
  const double expected_ms = aEndpoint.ExpectedFirstByteMs(aRequest.m_work);
  if (m_exposure != nullptr) {
    m_exposure->OnGranted(aRequest, aEndpoint.Info(), aNow);
  }
  aEndpoint.Hold(aRequest.m_request_id, aRequest.m_work, aNow);
  m_crash_suspects->Begin(
    aRequest.m_request_id, aEndpoint.Info().m_id, aRequest.m_crash_traits, aNow);
  aDecisions.m_grants.push_back({ aRequest.m_request_id,
                                  aEndpoint.Info().m_id,
                                  Milliseconds(static_cast<std::int64_t>(expected_ms)),
                                  aEndpoint.MayHaveRestarted(aNow) });
}

void
SlotScheduler::GrantOrRefuse(const WaitingSlotRequest& aWaiting,
                             SlotRefusalReason aReason,
                             TimePoint aNow,
                             SlotDecisions& aDecisions)
{
  const SlotRequest& request = aWaiting.m_request;
  SlotEndpoint* endpoint = Choose(request, aNow);
  const CrashSuspects::Admission admission = AdmissionOf(request, aNow);
  if (endpoint != nullptr && (admission == CrashSuspects::Admission::Admit ||
                              admission == CrashSuspects::Admission::Trial)) {
    m_queue.RecordServed(aWaiting, aNow);
    Grant(*endpoint, request, aNow, aDecisions);
    return;
  }
  aDecisions.m_refused_beside_free_slot += endpoint != nullptr ? 1 : 0;
  ++aDecisions.m_refused_for_load;
  if (!aDecisions.m_judgement) {
    aDecisions.m_judgement = m_admission.JudgementOf(aWaiting, m_endpoints, aNow);
  }
  Refuse(request, aReason, aNow, aDecisions);
}

void
SlotScheduler::PutBack(std::vector<WaitingSlotRequest> aSetAside,
                       TimePoint aNow,
                       SlotDecisions& aDecisions)
{
  for (WaitingSlotRequest& waiting : aSetAside) {
    if (!HasEligibleEndpoint(waiting.m_request)) {
      Refuse(waiting.m_request, SlotRefusalReason::NoEndpointOfVersion, aNow, aDecisions);
    } else if (RestsTooLong(waiting, aNow)) {
      Refuse(waiting.m_request, SlotRefusalReason::NoEndpoint, aNow, aDecisions);
    } else {
      m_queue.PutBack(std::move(waiting));
    }
  }
}

void
SlotScheduler::DecideNew(TimePoint aNow, SlotDecisions& aDecisions)
{
  for (const SlotRequestId& id : std::exchange(m_undecided, {})) {
    auto waiting = m_queue.Remove(id);
    if (!waiting) {
      continue;
    }
    if (RestsTooLong(*waiting, aNow)) {
      Refuse(waiting->m_request, SlotRefusalReason::NoEndpoint, aNow, aDecisions);
    } else if (m_admission.ShouldRefuse(m_queue, *waiting, SlotCount(aNow), aNow)) {
      GrantOrRefuse(*waiting, SlotRefusalReason::Overloaded, aNow, aDecisions);
    } else {
      m_queue.PutBack(std::move(*waiting));
    }
  }
}

}
