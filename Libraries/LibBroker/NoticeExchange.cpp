#include <LibBroker/NoticeExchange.h>

#include <LibCore/Log.h>
#include <algorithm>

namespace auburnhitch {

namespace {

/// The value in log lines when an endpoint states no limit.
constexpr double kNoLimit = -1;
// One for each endpoint of the largest deployment.
constexpr std::size_t kMaxOwnRests = 10'000;

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

EndpointNoticeMessage
RestNoticeOf(const ServiceName& aService, const EndpointIncarnation& aEndpoint, Milliseconds aRest)
{
  EndpointNoticeMessage notice = NoticeOf(aService, aEndpoint, std::nullopt);
  notice.m_rest = aRest;
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

NoticeExchange::NoticeExchange(Incarnation aOwn,
                               SlotCoordinator& aCoordinator,
                               Sender aInformAll,
                               UnavailableHandler aOnUnavailable)
  : m_own(std::move(aOwn))
  , m_coordinator(aCoordinator)
  , m_inform_all(std::move(aInformAll))
  , m_on_unavailable(std::move(aOnUnavailable))
  , m_leaving(LeavingEndpoints::Limits())
  , m_own_rests(kMaxOwnRests)
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
  m_on_unavailable(aEndpoint);
  return true;
}

void
NoticeExchange::OnRegistered(const ServiceName& aService,
                             const EndpointIncarnation& aEndpoint,
                             TimePoint aReadableSince,
                             TimePoint aNow)
{
  m_own_rests.RecordRegistered(aEndpoint, aReadableSince, aNow);
  m_coordinator.RecordRegistered(aEndpoint, aReadableSince, aNow);
  if (m_leaving.RecordRegistered(aService, aEndpoint, aReadableSince, aNow)) {
    LogOf("broker").info("event=leaving-presumed endpoint={} started_at_ms={} service={}",
                         aEndpoint.m_id.Value(),
                         aEndpoint.m_started_at_ms,
                         aService.Value());
  }
}

bool
NoticeExchange::RecordRest(const ServiceName& aService,
                           const EndpointIncarnation& aEndpoint,
                           Milliseconds aRest,
                           TimePoint aNow)
{
  if (!m_own_rests.Record(aService, aEndpoint, m_own, aRest, aNow)) {
    return false;
  }
  LogOf("broker").info("event=rest-learned endpoint={} started_at_ms={} service={} rest_ms={}",
                       aEndpoint.m_id.Value(),
                       aEndpoint.m_started_at_ms,
                       aService.Value(),
                       aRest.count());
  m_on_unavailable(aEndpoint);
  return true;
}

bool
NoticeExchange::RecordLimit(const ServiceName& aService,
                            const EndpointIncarnation& aEndpoint,
                            const EndpointNotice& aStated,
                            TimePoint aSentAt,
                            TimePoint aNow)
{
  if (aStated.m_is_limit_malformed || aStated.m_may_be_old) {
    return false;
  }
  const auto before = m_known.LimitOf(aEndpoint);
  if (!m_known.RecordResponse(aService, aEndpoint, aStated.m_limit, aSentAt, aNow)) {
    return false;
  }
  if (before != m_known.LimitOf(aEndpoint)) {
    LogOf("broker").info("event=limit-learned endpoint={} service={} limit_per_s={} before={}",
                         aEndpoint.m_id.Value(),
                         aService.Value(),
                         PerSecond(aStated.m_limit),
                         PerSecond(before));
  }
  return true;
}

std::vector<EndpointNoticeMessage>
NoticeExchange::RecordResponse(const ServiceName& aService,
                               std::uint64_t aNumber,
                               const EndpointIncarnation& aEndpoint,
                               const EndpointNotice& aStated,
                               TimePoint aSentAt,
                               TimePoint aNow)
{
  std::vector<EndpointNoticeMessage> notices;
  if (aStated.m_is_leaving) {
    // Neither its limit nor a rest matters any more.
    if (RecordLeaving(aService, aEndpoint, "response", aNow)) {
      notices.push_back(LeavingNoticeOf(aService, aEndpoint, aNumber));
    }
    return notices;
  }
  if (RecordLimit(aService, aEndpoint, aStated, aSentAt, aNow)) {
    notices.push_back(NoticeOf(aService, aEndpoint, aStated.m_limit, aNumber));
  }
  if (aStated.m_rest && RecordRest(aService, aEndpoint, *aStated.m_rest, aNow)) {
    notices.push_back(RestNoticeOf(aService, aEndpoint, *aStated.m_rest));
  }
  return notices;
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
  if (aNotice.m_rest) {
    m_coordinator.RecordRest(service, endpoint, aDaemon, *aNotice.m_rest, aNow);
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
NoticeExchange::RecordForwarded(const ServiceName& aService,
                                const EndpointIncarnation& aEndpoint,
                                const EndpointNotice& aStated,
                                TimePoint aNow)
{
  if (aStated.m_is_leaving) {
    RecordLeaving(aService, aEndpoint, "forwarded", aNow);
  }
}

void
NoticeExchange::OnInformed(const EndpointNoticeMessage& aNotice, TimePoint aNow)
{
  const EndpointIncarnation endpoint = EndpointOf(aNotice);
  if (aNotice.m_is_leaving) {
    RecordLeaving(aNotice.m_service, endpoint, "coordinator", aNow);
    return;
  }
  if (aNotice.m_rest) {
    // Only the daemon that was asked for a rest reports it.
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
NoticeExchange::NoticesForCoordinator(const ServiceName& aService, TimePoint aNow) const
{
  std::vector<EndpointNoticeMessage> notices;
  for (const StatedLimit& limit : m_known.LimitsOf(aService)) {
    notices.push_back(NoticeOf(aService, limit.m_endpoint, limit.m_limit));
  }
  for (const EndpointIncarnation& endpoint : m_leaving.OfService(aService)) {
    notices.push_back(LeavingNoticeOf(aService, endpoint));
  }
  for (const EndpointRest& rest : m_own_rests.Of(aService, m_own, aNow)) {
    notices.push_back(RestNoticeOf(aService, rest.m_endpoint, rest.m_left));
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
  m_own_rests.DropExpired(aNow);
  m_coordinator.DropEndedRests(aNow);
  if (m_leaving.DropExpired(is_registered, aNow)) {
    m_coordinator.UpdateEndpoints(aNow);
  }
}

}
