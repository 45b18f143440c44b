#include <LibBroker/NoticeExchange.h>

#include <LibCore/Log.h>
#include <algorithm>

namespace auburnhitch {

namespace {

/// The value in log lines when an endpoint states no limit.
constexpr double kNoLimit = -1;

EndpointNoticeMessage
NoticeOf(const ServiceName& aService,
         const EndpointIncarnation& aEndpoint,
         const std::optional<RequestRate>& aLimit,
         std::uint64_t aNumber = 0)
{
  return {
    aService, aNumber, aEndpoint.m_id, static_cast<std::uint64_t>(aEndpoint.m_started_at_ms), aLimit
  };
}

EndpointNoticeMessage
LeavingNoticeOf(const ServiceName& aService,
                const EndpointIncarnation& aEndpoint,
                std::uint64_t aNumber = 0)
{
  EndpointNoticeMessage notice = NoticeOf(aService, aEndpoint, std::nullopt, aNumber);
  notice.m_is_leaving = true;
  return notice;
}

EndpointIncarnation
EndpointOf(const EndpointNoticeMessage& aNotice)
{
  return { aNotice.m_endpoint, static_cast<std::int64_t>(aNotice.m_started_at_ms) };
}

double
PerSecond(const std::optional<RequestRate>& aLimit)
{
  return aLimit ? aLimit->m_per_second : kNoLimit;
}

}

NoticeExchange::NoticeExchange(SlotCoordinator& aCoordinator,
                               Sender aInformAll,
                               LeavingHandler aOnLeaving)
  : m_coordinator(aCoordinator)
  , m_inform_all(std::move(aInformAll))
  , m_on_leaving(std::move(aOnLeaving))
  , m_leaving(LeavingEndpoints::Limits())
{
}

bool
NoticeExchange::RecordLeaving(const ServiceName& aService,
                              const EndpointIncarnation& aEndpoint,
                              const char* aSource,
                              TimePoint aNow)
{
  if (!m_leaving.Record(aService, aEndpoint, aNow)) {
    return false;
  }
  LogOf("broker").info("event=leaving-learned endpoint={} started_at_ms={} service={} from={}",
                       aEndpoint.m_id.Value(),
                       aEndpoint.m_started_at_ms,
                       aService.Value(),
                       aSource);
  m_coordinator.UpdateEndpointsOf(aService, aNow);
  m_on_leaving(aEndpoint);
  return true;
}

void
NoticeExchange::OnRegistered(const ServiceName& aService,
                             const EndpointIncarnation& aEndpoint,
                             TimePoint aReadableSince,
                             TimePoint aNow)
{
  if (m_leaving.RecordRegistered(aService, aEndpoint, aReadableSince, aNow)) {
    LogOf("broker").info("event=leaving-presumed endpoint={} started_at_ms={} service={}",
                         aEndpoint.m_id.Value(),
                         aEndpoint.m_started_at_ms,
                         aService.Value());
  }
}

std::optional<EndpointNoticeMessage>
NoticeExchange::RecordResponse(const ServiceName& aService,
                               std::uint64_t aNumber,
                               const EndpointIncarnation& aEndpoint,
                               const EndpointNotice& aStated,
                               TimePoint aSentAt,
                               TimePoint aNow)
{
  if (aStated.m_is_leaving) {
    // Its limit no longer matters.
    return RecordLeaving(aService, aEndpoint, "response", aNow)
             ? std::optional(LeavingNoticeOf(aService, aEndpoint, aNumber))
             : std::nullopt;
  }
  if (aStated.m_is_limit_malformed) {
    return std::nullopt;
  }
  const auto before = m_known.LimitOf(aEndpoint);
  if (!m_known.RecordResponse(aService, aEndpoint, aStated.m_limit, aSentAt, aNow)) {
    return std::nullopt;
  }
  if (before != m_known.LimitOf(aEndpoint)) {
    LogOf("broker").info("event=limit-learned endpoint={} service={} limit_per_s={} before={}",
                         aEndpoint.m_id.Value(),
                         aService.Value(),
                         PerSecond(aStated.m_limit),
                         PerSecond(before));
  }
  return NoticeOf(aService, aEndpoint, aStated.m_limit, aNumber);
}

std::optional<EndpointNoticeMessage>
NoticeExchange::OnReport(const Incarnation& aDaemon,
                         const EndpointNoticeMessage& aNotice,
                         TimePoint aNow)
{
  const ServiceName& service = aNotice.m_service;
  const EndpointIncarnation endpoint = EndpointOf(aNotice);
  if (aNotice.m_is_leaving) {
    const bool is_new = RecordLeaving(service, endpoint, "daemon", aNow);
    // What this daemon heard itself is recorded already. All daemons relay what they know to a new
    // coordinator, so known relays are not sent on.
    if (is_new || aNotice.m_number != 0) {
      m_inform_all(LeavingNoticeOf(service, endpoint));
    }
    return std::nullopt;
  }
  const bool is_response = aNotice.m_number != 0;
  const bool is_changed = m_coordinator.RecordStatedLimit(
    service,
    endpoint,
    aNotice.m_limit,
    is_response ? std::optional(SlotRequestId{ aDaemon, aNotice.m_number }) : std::nullopt,
    aNow);
  if (is_changed) {
    m_known.RecordReport(service, endpoint, aNotice.m_limit, aNow);
    m_inform_all(NoticeOf(service, endpoint, aNotice.m_limit));
    return std::nullopt;
  }
  const auto known = m_known.LimitOf(endpoint);
  if (aNotice.m_limit && (!known || *aNotice.m_limit < *known)) {
    // The scheduler applies it when the registration of the endpoint has been read.
    m_known.RecordReport(service, endpoint, aNotice.m_limit, aNow);
  }
  // A daemon reports responses without a limit only while it knows of one.
  const auto stated = m_coordinator.StatedLimitOf(service, endpoint);
  return stated && stated != aNotice.m_limit ? std::optional(NoticeOf(service, endpoint, stated))
                                             : std::nullopt;
}

void
NoticeExchange::OnInformed(const EndpointNoticeMessage& aNotice, TimePoint aNow)
{
  const EndpointIncarnation endpoint = EndpointOf(aNotice);
  if (aNotice.m_is_leaving) {
    RecordLeaving(aNotice.m_service, endpoint, "coordinator", aNow);
    return;
  }
  m_known.RecordReport(aNotice.m_service, endpoint, aNotice.m_limit, aNow);
  // This daemon may grant slots of the service as well while daemons disagree on the coordinator.
  if (m_coordinator.HasCoordinated(aNotice.m_service)) {
    m_coordinator.RecordStatedLimit(
      aNotice.m_service, endpoint, aNotice.m_limit, std::nullopt, aNow);
  }
}

std::vector<EndpointNoticeMessage>
NoticeExchange::NoticesForCoordinator(const ServiceName& aService) const
{
  std::vector<EndpointNoticeMessage> notices;
  for (const StatedLimit& limit : m_known.LimitsOf(aService)) {
    notices.push_back(NoticeOf(aService, limit.m_endpoint, limit.m_limit));
  }
  for (const EndpointIncarnation& endpoint : m_leaving.OfService(aService)) {
    notices.push_back(LeavingNoticeOf(aService, endpoint));
  }
  return notices;
}

std::vector<EndpointNoticeMessage>
NoticeExchange::NoticesForDaemon() const
{
  std::vector<EndpointNoticeMessage> notices;
  for (const auto& [service, limit] : m_coordinator.StatedLimits()) {
    notices.push_back(NoticeOf(service, limit.m_endpoint, limit.m_limit));
  }
  for (const auto& [service, endpoint] : m_leaving.All()) {
    notices.push_back(LeavingNoticeOf(service, endpoint));
  }
  return notices;
}

void
NoticeExchange::RetainEndpoints(const SlotCoordinator::EndpointSource& aRegistered, TimePoint aNow)
{
  std::set<EndpointIncarnation> registered;
  for (const ServiceName& service : m_known.Services()) {
    for (const SlotEndpointInfo& info : aRegistered(service)) {
      registered.insert({ info.m_id, info.m_started_at_ms });
    }
  }
  m_known.Retain(registered);
  const auto is_registered = [&](const ServiceName& aService,
                                 const EndpointIncarnation& aEndpoint) {
    const std::vector<SlotEndpointInfo> infos = aRegistered(aService);
    return std::any_of(infos.begin(), infos.end(), [&](const SlotEndpointInfo& aInfo) {
      return EndpointIncarnation{ aInfo.m_id, aInfo.m_started_at_ms } == aEndpoint;
    });
  };
  if (m_leaving.DropExpired(is_registered, aNow)) {
    m_coordinator.UpdateEndpoints(aNow);
  }
}

}
