#include <LibGateway/ActiveRequest.h>

#include "LogText.h"

#include <LibCore/Log.h>

namespace auburnhitch {

const char*
ActiveRequest::WhyUnavailable(const EndpointIncarnation& aEndpoint) const
{
  if (m_dependencies.m_broker->IsLeaving(aEndpoint)) {
    return "the endpoint has said that it leaves";
  }
  return m_dependencies.m_broker->IsResting(aEndpoint)
           ? "the endpoint has asked this daemon for rest"
           : nullptr;
}

void
ActiveRequest::RecordNotice(ResponseMeaning aMeaning, const MessageHead& aHead)
{
  EndpointNotice notice = m_dependencies.m_dialect->DecodeNotice(aHead);
  notice.m_may_be_old = aMeaning == ResponseMeaning::Mismatched;
  if (notice.IsMalformed()) {
    m_dependencies.m_metrics->OnMalformedNotice(m_request.m_service);
  }
  m_attempt->m_notice = notice;
  m_dependencies.m_broker->RecordNotice(*m_slot_request_id, m_attempt->m_endpoint.Run(), notice);
}

void
ActiveRequest::RecordForwardedNotice(const MessageHead& aHead)
{
  const auto endpoint = ParseForwardedEndpoint(aHead.m_headers);
  if (!endpoint) {
    return;
  }
  m_attempt->m_notice = m_dependencies.m_dialect->DecodeNotice(aHead);
  m_dependencies.m_broker->RecordForwardedNotice(
    m_request.m_service, *endpoint, m_attempt->m_notice);
}

void
ActiveRequest::CancelCall()
{
  if (m_call == nullptr || m_attempt->m_forwarded_to) {
    m_call = nullptr;
    return;
  }
  m_call->Cancel([dependencies = m_dependencies,
                  request_id = m_request.m_head.m_request_id,
                  service = m_request.m_service,
                  endpoint = m_attempt->m_endpoint.Run()](const MessageHead& aHead) {
    const ResponseMeaning meaning = dependencies.m_dialect->ClassifyResponse(aHead, request_id);
    const EndpointNotice notice = dependencies.m_dialect->DecodeNotice(aHead);
    LogOf("send").info("event=late-response request={} service={} endpoint={} status={} "
                       "meaning={} stated_leaving={} stated_rest_ms={}",
                       request_id,
                       service.Value(),
                       endpoint.m_id.Value(),
                       aHead.m_status,
                       NameOf(meaning),
                       DescribeLeaving(notice),
                       DescribeRest(notice));
    if (!IsFromEndpoint(meaning)) {
      dependencies.m_metrics->OnResponseDiscarded(service, NameOf(meaning));
      return;
    }
    if (notice.IsMalformed()) {
      dependencies.m_metrics->OnMalformedNotice(service);
    }
    dependencies.m_broker->RecordLateNotice(service, endpoint, notice);
  });
  m_call = nullptr;
}

void
ActiveRequest::OnEndpointUnavailable(const EndpointIncarnation& aEndpoint)
{
  if (m_call == nullptr || m_attempt->m_is_written || m_attempt->m_endpoint.Run() != aEndpoint) {
    return;
  }
  if (const char* why = WhyUnavailable(aEndpoint)) {
    m_call = nullptr;
    OnAttemptFailed(SlotOutcome::Cancelled, why);
  }
}

}
