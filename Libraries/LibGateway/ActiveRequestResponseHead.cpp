#include <LibGateway/ActiveRequest.h>

#include "LogText.h"

#include <LibCore/Log.h>
#include <absl/strings/str_cat.h>

namespace auburnhitch {

namespace {

constexpr int kFirstServerErrorStatus = 500;

}

void
ActiveRequest::OnResponseHead(const MessageHead& aHead)
{
  RecordHeard();
  m_attempt->m_response_head = aHead;
  m_attempt->m_completeness.emplace(aHead, IsStream());
  const ResponseMeaning meaning =
    m_dependencies.m_dialect->ClassifyResponse(aHead, m_request.m_head.m_request_id);
  if (IsFromEndpoint(meaning) && !m_attempt->m_forwarded_to) {
    RecordNotice(meaning, aHead);
  }
  switch (meaning) {
    case ResponseMeaning::NotRun:
      OnNotRun();
      return;
    case ResponseMeaning::Failure:
      OnFailure();
      return;
    case ResponseMeaning::Success:
      OnSuccess();
      return;
    case ResponseMeaning::Mismatched:
    case ResponseMeaning::Unnamed:
    case ResponseMeaning::Unsigned:
    case ResponseMeaning::Contradictory:
    case ResponseMeaning::Encoded:
      DiscardResponse(meaning);
      return;
  }
}

void
ActiveRequest::OnNotRun()
{
  m_call = nullptr;
  --m_possible_runs;
  m_dependencies.m_refused->Record(
    m_request.m_head.m_request_id, m_attempt->m_endpoint.m_address, Now());
  OnAttemptFailed(SlotOutcome::Refused,
                  absl::StrCat("the endpoint refused the request with status ",
                               m_attempt->m_response_head.m_status,
                               ", rest asked for in ms: ",
                               DescribeRest(m_attempt->m_notice)));
}

void
ActiveRequest::OnFailure()
{
  const int status = m_attempt->m_response_head.m_status;
  if (m_exchange->HasStarted()) {
    m_call = nullptr;
    OnAttemptFailed(SlotOutcome::Failed, "status " + std::to_string(status));
    return;
  }
  // If no retry is possible, the endpoint's error response is forwarded.
  if (status >= kFirstServerErrorStatus && MayRunAgain() && TryReserveRetry()) {
    m_call = nullptr;
    LogOf("send").info("event=send-again request={} endpoint={} why=\"status {}\" runs={}",
                       m_request.m_head.m_request_id,
                       NameOfEndpoint(),
                       status,
                       m_possible_runs);
    Retry(SlotOutcome::Failed);
  }
}

void
ActiveRequest::OnSuccess()
{
  const MessageHead& head = m_attempt->m_response_head;
  if (m_exchange->HasStarted() && !ContinuesEventStream(head)) {
    m_call = nullptr;
    OnAttemptFailed(SlotOutcome::Failed,
                    "status " + std::to_string(head.m_status) + ", expected an event stream");
    return;
  }
  if (!IsStream()) {
    RecordStarted();
  }
}

void
ActiveRequest::DiscardResponse(ResponseMeaning aMeaning)
{
  LogOf("send").warn("event=response-discarded request={} service={} endpoint={} via={} status={} "
                     "why={} reused={}",
                     m_request.m_head.m_request_id,
                     m_request.m_service.Value(),
                     NameOfEndpoint(),
                     m_attempt->m_forwarded_to ? m_attempt->m_forwarded_to->Value() : "none",
                     m_attempt->m_response_head.m_status,
                     NameOf(aMeaning),
                     m_call->IsReused());
  m_dependencies.m_metrics->OnResponseDiscarded(m_request.m_service, NameOf(aMeaning));
  // The connection may carry further bytes that belong to no request.
  m_call = nullptr;
  // A spurious response still shows that the endpoint has not crashed.
  OnAttemptFailed(aMeaning == ResponseMeaning::Mismatched ? SlotOutcome::Broken
                                                          : SlotOutcome::Failed,
                  absl::StrCat("the response was discarded: ", NameOf(aMeaning)));
}

}
