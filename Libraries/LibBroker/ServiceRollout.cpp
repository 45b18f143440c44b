#include <LibBroker/ServiceRollout.h>

#include <LibCore/Log.h>
#include <LibPlacement/ServiceTimeModel.h>
#include <algorithm>

namespace auburnhitch {

namespace {

// Longest time for which a request runs; the deadlines of callers are shorter.
constexpr Milliseconds kMaxRequestTime{ 12'000 };
// Time within which the daemons report the slots that they hold to a new coordinator.
constexpr Milliseconds kSettleTime{ 2'000 };
// The old endpoints stop when a version is completed, and their registrations are removed within
// seconds. Versions that appear later belong to releases without an order.
constexpr Milliseconds kRetirementTime{ 10'000 };

}

ServiceRollout::ServiceRollout(ServiceName aService, Limits aLimits, Dependencies aDependencies)
  : m_service(std::move(aService))
  , m_limits(aLimits)
  , m_dependencies(std::move(aDependencies))
{
}

void
ServiceRollout::SetOrder(const RolloutOrder& aOrder)
{
  if (m_order && m_order->m_id == aOrder.m_id && !m_is_withdrawn) {
    return;
  }
  if (m_order) {
    LetGo("another order");
    Withhold(m_order->m_target);
    Forget();
  }
  LogOf("rollout").info("event=ordered service={} order={} target={} duration_ms={}",
                        m_service.Value(),
                        aOrder.m_id,
                        aOrder.m_target.Value(),
                        aOrder.m_duration.count());
  m_order = aOrder;
  m_ordered_at = m_dependencies.m_now();
  m_known_orders.insert(aOrder.m_id);
  m_withheld.erase(aOrder.m_target);
  UpdateEndpoints();
}

void
ServiceRollout::RemoveOrder()
{
  if (!m_order || m_is_withdrawn) {
    return;
  }
  LogOf("rollout").info("event=withdrawn service={} order={}", m_service.Value(), m_order->m_id);
  Withhold(m_order->m_target);
  if ((m_verdict && m_is_published) || m_store == nullptr) {
    Forget();
    UpdateEndpoints();
    return;
  }
  m_is_withdrawn = true;
  if (m_rollout && !m_verdict) {
    m_rollout->Abandon();
  }
  UpdateEndpoints();
}

void
ServiceRollout::Withhold(const SoftwareVersion& aVersion)
{
  if (m_verdict != RolloutStage::Completed) {
    m_withheld.insert(aVersion);
  }
}

void
ServiceRollout::Forget()
{
  m_order = std::nullopt;
  m_is_withdrawn = false;
  m_verdict = std::nullopt;
  m_retired.clear();
  m_is_published = false;
  m_must_check_verdict = false;
  m_reserved = 0;
  m_past_target_endpoints.clear();
  m_running.clear();
  m_rollout = std::nullopt;
  m_is_decider = false;
  m_last_own = std::nullopt;
  m_unsure = std::nullopt;
  m_was_replaced = false;
  m_last_loaded = std::nullopt;
  ++m_tenure;
}

ServiceRollout::Kind
ServiceRollout::KindOf(const SoftwareVersion& aVersion) const
{
  if (m_order && !m_is_withdrawn && aVersion == m_order->m_target) {
    return Kind::Target;
  }
  return m_withheld.contains(aVersion) ? Kind::Withheld : Kind::Other;
}

void
ServiceRollout::UpdateEndpoints()
{
  m_target_endpoints.clear();
  m_other_endpoints.clear();
  if (!m_order && m_withheld.empty()) {
    return;
  }
  for (const SlotEndpointInfo& info : m_dependencies.m_endpoints()) {
    const Kind kind = KindOf(info.m_software_version);
    if (kind == Kind::Target) {
      m_target_endpoints.insert(info.m_id);
      m_past_target_endpoints.insert(info.m_id);
    } else if (kind == Kind::Other) {
      m_other_endpoints.insert(info.m_id);
    }
  }
}

bool
ServiceRollout::NeedsRoutes() const
{
  return m_order && !m_verdict && m_dependencies.m_now() - m_ordered_at < m_order->m_duration;
}

std::optional<RolloutView>
ServiceRollout::View() const
{
  if (m_is_decider && m_rollout) {
    return RolloutView{ m_service,
                        m_rollout->Stage(),
                        true,
                        m_rollout->Budget().Arrived(),
                        m_rollout->Budget().Sent(),
                        m_rollout->BadCount() };
  }
  return m_order && m_verdict ? std::optional(RolloutView{ m_service, *m_verdict }) : std::nullopt;
}

bool
ServiceRollout::IsFresh(TimePoint aNow) const
{
  return aNow - m_saved_at <= m_limits.m_max_state_age;
}

bool
ServiceRollout::Permits(const SlotRequest& aRequest,
                        const SlotEndpointInfo& aEndpoint,
                        TimePoint aNow) const
{
  if (!m_order && m_withheld.empty()) {
    return true;
  }
  switch (KindOf(aEndpoint.m_software_version)) {
    case Kind::Target:
      return PermitsTarget(aRequest, aEndpoint.m_id, aNow);
    case Kind::Withheld:
      return m_other_endpoints.empty() && m_target_endpoints.empty();
    case Kind::Other:
      return PermitsOther(aRequest, aEndpoint.m_software_version, aNow);
  }
  return false;
}

bool
ServiceRollout::PermitsTarget(const SlotRequest& aRequest,
                              const EndpointId& aEndpoint,
                              TimePoint aNow) const
{
  if (m_verdict == RolloutStage::Completed || m_other_endpoints.empty()) {
    return true;
  }
  if (m_verdict || !m_is_decider || !m_rollout) {
    return false;
  }
  if (m_rollout->Stage() == RolloutStage::Completed) {
    return true;
  }
  if (!IsFresh(aNow)) {
    return false;
  }
  if (IsDraining()) {
    return true;
  }
  if (m_rollout->Budget().Sent() >= m_reserved) {
    return false;
  }
  const bool has_failed_there =
    std::any_of(aRequest.m_avoided.begin(),
                aRequest.m_avoided.end(),
                [this](const EndpointId& aId) { return m_past_target_endpoints.contains(aId); });
  if (aRequest.m_required_version) {
    // A stream that began at the target continues there.
    return m_rollout->CountPermitted(1) > 0;
  }
  return !has_failed_there && m_rollout->PermitsTarget(aEndpoint);
}

bool
ServiceRollout::PermitsOther(const SlotRequest& aRequest,
                             const SoftwareVersion& aVersion,
                             TimePoint aNow) const
{
  if (m_target_endpoints.empty()) {
    return true;
  }
  if (m_verdict) {
    return !m_retired.contains(aVersion) || aNow - m_verdict_known_at > kRetirementTime;
  }
  if (!m_is_decider || !m_rollout) {
    return true;
  }
  if (m_rollout->Stage() == RolloutStage::Completed) {
    // It may be saved already, and the old endpoints then stop at once.
    return false;
  }
  if (!IsFresh(aNow)) {
    return true;
  }
  if (m_rollout->Stage() == RolloutStage::Drain && !IsDraining()) {
    return true;
  }
  return aRequest.m_required_version ? m_rollout->PermitsStreamsAtOthers(aNow)
                                     : m_rollout->PermitsOthers();
}

bool
ServiceRollout::Prefers(const SlotEndpointInfo& aEndpoint) const
{
  return (IsInStage(RolloutStage::Probe) || IsInStage(RolloutStage::Share) ||
          IsInStage(RolloutStage::Load)) &&
         KindOf(aEndpoint.m_software_version) == Kind::Target;
}

bool
ServiceRollout::IsInService(const SlotEndpointInfo& aEndpoint) const
{
  const bool is_moved =
    m_verdict == RolloutStage::Completed || IsDraining() || IsInStage(RolloutStage::Completed);
  switch (KindOf(aEndpoint.m_software_version)) {
    case Kind::Target:
      return is_moved || m_other_endpoints.empty();
    case Kind::Withheld:
      return m_other_endpoints.empty() && m_target_endpoints.empty();
    case Kind::Other:
      return !is_moved || m_target_endpoints.empty() ||
             (m_verdict && !m_retired.contains(aEndpoint.m_software_version));
  }
  return true;
}

bool
ServiceRollout::IsRejected(const SlotEndpointInfo& aEndpoint) const
{
  const Kind kind = KindOf(aEndpoint.m_software_version);
  const bool is_rolled_back =
    m_verdict == RolloutStage::RolledBack || IsInStage(RolloutStage::RolledBack);
  return !m_other_endpoints.empty() &&
         (kind == Kind::Withheld || (kind == Kind::Target && is_rolled_back));
}

void
ServiceRollout::OnGranted(const SlotRequest& aRequest,
                          const SlotEndpointInfo& aEndpoint,
                          TimePoint aNow)
{
  if (!m_order || m_verdict) {
    return;
  }
  m_running.insert_or_assign(aRequest.m_request_id,
                             Running{ aEndpoint.m_id,
                                      aEndpoint.m_software_version,
                                      aRequest.m_route,
                                      aRequest.m_work,
                                      aNow,
                                      std::nullopt,
                                      std::min(aRequest.m_abandoned_at, aNow + kMaxRequestTime),
                                      m_is_decider,
                                      false });
  if (!m_is_decider || !m_rollout) {
    return;
  }
  // Only requests that are sent count, and each once: a refused one may not have reached the
  // service in the sense of the bound.
  if (aRequest.m_avoided.empty()) {
    m_rollout->RecordArrival();
  }
  if (KindOf(aEndpoint.m_software_version) == Kind::Target) {
    m_rollout->RecordSent();
  }
}

void
ServiceRollout::OnHeld(const SlotRequestId& aRequestId,
                       const SlotEndpointInfo& aEndpoint,
                       TimePoint aNow)
{
  if (!m_order || m_verdict) {
    return;
  }
  const auto [found, is_new] = m_running.try_emplace(aRequestId);
  if (is_new) {
    found->second.m_endpoint = aEndpoint.m_id;
    found->second.m_version = aEndpoint.m_software_version;
    found->second.m_granted_at = aNow;
    found->second.m_ends_by = aNow + kMaxRequestTime;
  }
  found->second.m_is_forgotten = false;
}

void
ServiceRollout::OnStarted(const SlotRequestId& aRequestId, TimePoint aNow)
{
  const auto found = m_running.find(aRequestId);
  if (found != m_running.end() && !found->second.m_started_at) {
    found->second.m_started_at = aNow;
  }
}

void
ServiceRollout::OnEnded(const SlotRequestId& aRequestId, SlotOutcome aOutcome, TimePoint aNow)
{
  const auto found = m_running.find(aRequestId);
  if (found == m_running.end()) {
    return;
  }
  const Running running = found->second;
  m_running.erase(found);
  switch (aOutcome) {
    case SlotOutcome::Complete:
      Record(running, false, false, aNow);
      return;
    case SlotOutcome::Failed:
      Record(running, true, false, aNow);
      return;
    case SlotOutcome::Broken:
      Record(running, false, true, aNow);
      return;
    case SlotOutcome::Refused:
    case SlotOutcome::Unreachable:
    case SlotOutcome::Cancelled:
      // It has not run, or its caller ended it.
      return;
  }
}

void
ServiceRollout::OnDaemonForgotten(const Incarnation& aDaemon)
{
  for (auto& [id, running] : m_running) {
    if (id.m_daemon == aDaemon) {
      running.m_is_forgotten = true;
      running.m_is_awaited = false;
    }
  }
}

void
ServiceRollout::Record(const Running& aRunning, bool aIsFailure, bool aIsBroken, TimePoint aNow)
{
  if (!aRunning.m_is_awaited || !m_is_decider || !m_rollout) {
    return;
  }
  // The time to the first byte, against the reference endpoint: what has been learned of the
  // endpoint itself would hide its slowness.
  const double took_ms = std::chrono::duration<double, std::milli>(
                           aRunning.m_started_at.value_or(aNow) - aRunning.m_granted_at)
                           .count();
  m_rollout->RecordResponse(
    RolloutResponse{ aRunning.m_endpoint,
                     KindOf(aRunning.m_version) == Kind::Target,
                     aRunning.m_route,
                     aIsFailure,
                     aIsBroken,
                     took_ms / ServiceTimeModel::ReferenceFirstByteMs(aRunning.m_work, 0) },
    aNow);
}

void
ServiceRollout::RecordOverdue(TimePoint aNow)
{
  for (auto& [id, running] : m_running) {
    if (!running.m_is_awaited || running.m_started_at) {
      continue;
    }
    const double so_far_ms =
      std::chrono::duration<double, std::milli>(aNow - running.m_granted_at).count();
    const double slowness = so_far_ms / ServiceTimeModel::ReferenceFirstByteMs(running.m_work, 0);
    if (m_rollout->IsOverdue(running.m_route, slowness)) {
      Record(running, false, false, aNow);
      running.m_is_awaited = false;
    }
  }
}

RolloutEndpoints
ServiceRollout::EndpointsNow(TimePoint aNow)
{
  RolloutEndpoints endpoints{ m_target_endpoints, m_other_endpoints };
  absl::erase_if(m_running, [aNow](const auto& aEntry) {
    return aEntry.second.m_is_forgotten && aEntry.second.m_ends_by <= aNow;
  });
  for (const auto& [id, running] : m_running) {
    if (KindOf(running.m_version) != Kind::Target) {
      ++(running.m_is_forgotten ? endpoints.m_possibly_running_at_others
                                : endpoints.m_running_at_others);
    }
  }
  endpoints.m_running_at_others =
    std::max(endpoints.m_running_at_others, m_dependencies.m_held_at_others(m_order->m_target));
  if (!m_other_endpoints.empty() && aNow - m_decider_since < kSettleTime) {
    ++endpoints.m_running_at_others;
  }
  return endpoints;
}

void
ServiceRollout::Tick()
{
  if (!m_order || m_store == nullptr) {
    return;
  }
  if (!m_dependencies.m_may_decide()) {
    LetGo("another daemon coordinates the service");
    m_was_replaced = false;
    return;
  }
  const TimePoint now = m_dependencies.m_now();
  if (m_is_decider && m_rollout && !m_verdict) {
    // Endpoints that say that they leave are not reported as changes.
    UpdateEndpoints();
    RecordOverdue(now);
    const bool waits_for_save = m_rollout->Stage() == RolloutStage::Drain && !IsDraining();
    if (!waits_for_save && m_rollout->Advance(EndpointsNow(now), now)) {
      LogStage("stage");
    }
  }
  CallStore(now);
}

void
ServiceRollout::LogStage(const char* aEvent) const
{
  LogOf("rollout").info(
    "event={} service={} order={} target={} stage={} elapsed_ms={} duration_ms={} arrived={} "
    "sent={} reserved={} responses={} bad={} evidence={:.1f} bad_from={:.1f} worst_route={} "
    "target_endpoints={} other_endpoints={} running={}",
    aEvent,
    m_service.Value(),
    m_order->m_id,
    m_order->m_target.Value(),
    NameOf(m_rollout->Stage()),
    ToMilliseconds(m_dependencies.m_now() - m_ordered_at),
    m_order->m_duration.count(),
    m_rollout->Budget().Arrived(),
    m_rollout->Budget().Sent(),
    m_reserved,
    m_rollout->ResponseCount(),
    m_rollout->BadCount(),
    m_rollout->HighestSum(),
    SequentialTest::kBadFrom,
    m_rollout->WorstRoute().IsEmpty() ? "all" : m_rollout->WorstRoute().Value(),
    m_target_endpoints.size(),
    m_other_endpoints.size(),
    m_running.size());
}

}
