#include <LibBroker/SlotCoordinator.h>

#include <LibCore/Log.h>
#include <numeric>

namespace auburnhitch {

SlotCoordinator::SlotCoordinator(SlotSchedulerLimits aLimits,
                                 QuotaLedger& aQuotas,
                                 EndpointSource aEndpoints,
                                 DecisionHandler aHandler)
  : m_limits(aLimits)
  , m_quotas(aQuotas)
  , m_endpoints(std::move(aEndpoints))
  , m_handler(std::move(aHandler))
{
}

SlotScheduler&
SlotCoordinator::SchedulerOf(const ServiceName& aService, TimePoint aNow)
{
  const auto [found, is_new] =
    m_schedulers.try_emplace(aService, m_limits, m_crash_suspects.Of(aService), m_rests);
  if (is_new) {
    found->second.SetEndpoints(m_endpoints(aService), aNow);
    found->second.SetSlotShare(m_slot_share);
    found->second.SetExposurePolicy(m_rollouts != nullptr ? &m_rollouts->PolicyOf(aService)
                                                          : nullptr);
  }
  return found->second;
}

std::size_t
SlotCoordinator::HeldAtOthers(const ServiceName& aService,
                              const SoftwareVersion& aVersion,
                              TimePoint aNow) const
{
  const auto found = m_schedulers.find(aService);
  if (found == m_schedulers.end()) {
    return 0;
  }
  std::size_t held = 0;
  for (const SlotEndpointView& view : found->second.View(aNow)) {
    held += view.m_software_version == aVersion ? 0 : view.m_held;
  }
  return held;
}

void
SlotCoordinator::RequestSlot(const ServiceName& aService,
                             const SlotRequest& aRequest,
                             TimePoint aNow)
{
  SlotScheduler& scheduler = SchedulerOf(aService, aNow);
  if (const auto replaced = scheduler.Withdraw(aRequest.m_request_id)) {
    Refund({ *replaced });
  }
  const bool is_charged = aRequest.m_quota_tokens > 0;
  if (is_charged && !m_quotas.TrySpend(aRequest.m_workspace, aRequest.m_quota_tokens, aNow)) {
    m_quota_refusals[aService].push_back(
      { aRequest.m_request_id,
        SlotRefusalReason::OverQuota,
        m_quotas.TimeUntilAvailable(aRequest.m_workspace, aRequest.m_quota_tokens, aNow) });
    return;
  }
  scheduler.RequestSlot(aRequest, aNow);
}

void
SlotCoordinator::Withdraw(const ServiceName& aService,
                          const SlotRequestId& aRequestId,
                          TimePoint aNow)
{
  SlotScheduler& scheduler = SchedulerOf(aService, aNow);
  if (const auto waiting = scheduler.Withdraw(aRequestId)) {
    Refund({ *waiting });
    return;
  }
  // The grant was already on its way to the daemon, which will not use the slot.
  scheduler.ReleaseSlot(aRequestId, aNow);
}

void
SlotCoordinator::Refund(const std::vector<SlotRequest>& aRequests)
{
  for (const SlotRequest& request : aRequests) {
    if (request.m_quota_tokens > 0) {
      m_quotas.Refund(request.m_workspace, request.m_quota_tokens);
    }
  }
}

void
SlotCoordinator::Decide(const ServiceName& aService, TimePoint aNow)
{
  const auto found = m_schedulers.find(aService);
  if (found == m_schedulers.end()) {
    return;
  }
  SlotDecisions decisions = found->second.Decide(aNow);
  m_load_refusals[aService].Record(aService, decisions, aNow);
  Refund(decisions.m_refused);
  if (const auto refused = m_quota_refusals.find(aService); refused != m_quota_refusals.end()) {
    decisions.m_refusals.insert(
      decisions.m_refusals.end(), refused->second.begin(), refused->second.end());
    m_quota_refusals.erase(refused);
  }
  if (!decisions.m_grants.empty() || !decisions.m_refusals.empty()) {
    m_handler(aService, decisions);
  }
}

void
SlotCoordinator::DecideAll(TimePoint aNow)
{
  for (auto& [service, scheduler] : m_schedulers) {
    Decide(service, aNow);
  }
}

void
SlotCoordinator::UpdateEndpoints(TimePoint aNow)
{
  for (auto& [service, scheduler] : m_schedulers) {
    scheduler.SetEndpoints(m_endpoints(service), aNow);
  }
}

void
SlotCoordinator::UpdateEndpointsOf(const ServiceName& aService, TimePoint aNow)
{
  if (const auto found = m_schedulers.find(aService); found != m_schedulers.end()) {
    found->second.SetEndpoints(m_endpoints(aService), aNow);
  }
}

void
SlotCoordinator::SetSlotShare(double aSlotShare)
{
  m_slot_share = aSlotShare;
  for (auto& [service, scheduler] : m_schedulers) {
    scheduler.SetSlotShare(aSlotShare);
  }
}

void
SlotCoordinator::SetRateShare(const ServiceName& aService, double aShare, TimePoint aNow)
{
  if (const auto found = m_schedulers.find(aService); found != m_schedulers.end()) {
    found->second.SetRateShare(aShare, aNow);
  }
}

void
SlotCoordinator::RecordRenewed(const ServiceName& aService,
                               const EndpointIncarnation& aEndpoint,
                               TimePoint aReadableSince,
                               TimePoint aNow)
{
  if (const auto found = m_schedulers.find(aService); found != m_schedulers.end()) {
    found->second.RecordRenewed(aEndpoint, aReadableSince, aNow);
  }
}

bool
SlotCoordinator::RecordStatedLimit(const ServiceName& aService,
                                   const EndpointIncarnation& aEndpoint,
                                   const std::optional<RequestRate>& aStated,
                                   const std::optional<SlotRequestId>& aRequestId,
                                   TimePoint aNow)
{
  SlotScheduler& scheduler = SchedulerOf(aService, aNow);
  if (!scheduler.RecordStatedLimit(aEndpoint, aStated, aRequestId, aNow)) {
    return false;
  }
  LogOf("home").info("event=limit-changed endpoint={} service={} limit_per_s={} waiting={}",
                     aEndpoint.m_id.Value(),
                     aService.Value(),
                     aStated ? aStated->m_per_second : -1,
                     scheduler.WaitingCount());
  return true;
}

void
SlotCoordinator::RecordRest(const ServiceName& aService,
                            const EndpointIncarnation& aEndpoint,
                            const Incarnation& aDaemon,
                            Milliseconds aRest,
                            TimePoint aNow)
{
  if (m_rests->Record(aService, aEndpoint, aDaemon, aRest, aNow)) {
    SchedulerOf(aService, aNow).RecordRest(aEndpoint, aNow);
  }
}

std::optional<RequestRate>
SlotCoordinator::StatedLimitOf(const ServiceName& aService,
                               const EndpointIncarnation& aEndpoint) const
{
  const auto found = m_schedulers.find(aService);
  if (found == m_schedulers.end()) {
    return std::nullopt;
  }
  for (const StatedLimit& limit : found->second.StatedLimits()) {
    if (limit.m_endpoint == aEndpoint) {
      return limit.m_limit;
    }
  }
  return std::nullopt;
}

std::vector<std::pair<ServiceName, StatedLimit>>
SlotCoordinator::StatedLimits() const
{
  std::vector<std::pair<ServiceName, StatedLimit>> limits;
  for (const auto& [service, scheduler] : m_schedulers) {
    for (const StatedLimit& limit : scheduler.StatedLimits()) {
      limits.emplace_back(service, limit);
    }
  }
  return limits;
}

std::vector<ServiceName>
SlotCoordinator::Services() const
{
  std::vector<ServiceName> services;
  services.reserve(m_schedulers.size());
  for (const auto& [service, scheduler] : m_schedulers) {
    services.push_back(service);
  }
  return services;
}

void
SlotCoordinator::ForgetDaemon(const Incarnation& aDaemon)
{
  for (auto& [service, scheduler] : m_schedulers) {
    Refund(scheduler.ForgetDaemon(aDaemon));
  }
}

void
SlotCoordinator::ForgetDaemon(const ServiceName& aService,
                              const Incarnation& aDaemon,
                              TimePoint aNow)
{
  Refund(SchedulerOf(aService, aNow).ForgetDaemon(aDaemon));
}

void
SlotCoordinator::LogSuspicionChanges(TimePoint aNow)
{
  for (const auto& [service, scheduler] : m_schedulers) {
    for (const SlotEndpointView& view : scheduler.View(aNow)) {
      const bool was_suspect = m_suspects.contains(view.m_id);
      if (was_suspect == view.m_is_suspect) {
        continue;
      }
      if (view.m_is_suspect) {
        m_suspects.insert(view.m_id);
      } else {
        m_suspects.erase(view.m_id);
      }
      LogOf("home").info(
        "event={} endpoint={} service={} held={} first_slowness={:.2f} "
        "rest_slowness={:.2f} failure_rate={:.2f} waiting={} places={:.1f} learned_limit={}",
        view.m_is_suspect ? "suspected" : "trusted",
        view.m_id.Value(),
        service.Value(),
        view.m_held,
        view.m_first_byte_slowness,
        view.m_rest_slowness,
        view.m_failure_rate,
        scheduler.WaitingCount(),
        scheduler.SlotCount(aNow),
        view.m_learned_limit);
    }
  }
}

std::size_t
SlotCoordinator::WaitingCount() const
{
  return std::accumulate(
    m_schedulers.begin(),
    m_schedulers.end(),
    std::size_t{ 0 },
    [](std::size_t aSum, const auto& aEntry) { return aSum + aEntry.second.WaitingCount(); });
}

std::size_t
SlotCoordinator::HeldCount() const
{
  return std::accumulate(
    m_schedulers.begin(),
    m_schedulers.end(),
    std::size_t{ 0 },
    [](std::size_t aSum, const auto& aEntry) { return aSum + aEntry.second.HeldCount(); });
}

}
