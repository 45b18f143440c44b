#include <LibGateway/ActiveRequest.h>

#include <LibCore/Log.h>

namespace auburnhitch {

bool
ActiveRequest::MayResume() const
{
  return !m_exchange->HasStarted() ||
         (IsResumableStream() && !m_event_splitter.LastEventId().empty() &&
          (!m_required_version || m_dependencies.m_broker->Streams().MayBeOfVersion(
                                    m_request.m_service, m_stream, *m_required_version)));
}

void
ActiveRequest::StartSecondWay(const char* aWhy)
{
  if (m_second_way || !MayResume() || !MayRunAgain() || m_forwarded_to.size() >= kMaxForwards) {
    return;
  }
  const auto target =
    m_dependencies.m_targets->Choose(m_forwarded_to, m_request.m_table->Version(), Now());
  if (!target || !TryReserveRetry()) {
    return;
  }
  LogOf("send").warn("event=second-way request={} endpoint={} via={} to={} why={} silent_ms={} {}",
                     m_request.m_head.m_request_id,
                     NameOfEndpoint(),
                     m_attempt->m_forwarded_to ? m_attempt->m_forwarded_to->Value() : "none",
                     target->m_host.Value(),
                     aWhy,
                     ToMilliseconds(Now() - m_attempt->m_heard_at),
                     m_dependencies.m_reach->Describe(Now()));
  m_second_way = SecondWay{ aWhy, BeginForwardedAttempt(*target), nullptr, std::nullopt };
  m_second_way->m_call = SendThrough(
    *target,
    RelayCallHandlers{ [this] { OnSecondWayWritten(); },
                       [this](const MessageHead& aHead) { OnSecondWayHead(aHead); },
                       [this](std::string aBytes) { OnSecondWayBytes(std::move(aBytes)); },
                       [this](const RelayResult& aResult) { OnSecondWayEnd(aResult); } });
}

void
ActiveRequest::OnSecondWayWritten()
{
  if (!m_second_way) {
    OnRequestWritten();
    return;
  }
  m_second_way->m_attempt.m_is_written = true;
  m_second_way->m_attempt.m_heard_at = Now();
  ++m_possible_runs;
  ++m_written_attempts;
}

void
ActiveRequest::OnSecondWayHead(const MessageHead& aHead)
{
  if (!m_second_way) {
    OnForwardedResponseHead(aHead);
    return;
  }
  if (const auto reply = ParseForwardedReply(aHead.m_headers)) {
    if (reply->m_outcome != ForwardedOutcome::Unknown) {
      --m_possible_runs;
    }
    if (reply->m_outcome == ForwardedOutcome::TryAnother) {
      m_dependencies.m_targets->RecordUnable(*m_second_way->m_attempt.m_forwarded_to, Now());
    }
    DropSecondWay(NameOf(reply->m_outcome));
    return;
  }
  const ResponseMeaning meaning =
    m_dependencies.m_dialect->ClassifyResponse(aHead, m_request.m_head.m_request_id);
  if (meaning != ResponseMeaning::Success ||
      (m_exchange->HasStarted() && !ContinuesEventStream(aHead))) {
    DropSecondWay(NameOf(meaning));
    return;
  }
  m_second_way->m_head = aHead;
}

void
ActiveRequest::OnSecondWayBytes(std::string aBytes)
{
  if (m_second_way) {
    RecordGivenUp(m_second_way->m_why);
    AdoptSecondWay(SlotOutcome::Cancelled);
  }
  OnResponseBytes(std::move(aBytes));
}

void
ActiveRequest::OnSecondWayEnd(const RelayResult& aResult)
{
  const bool is_whole =
    aResult.m_end == RelayCallEnd::Complete && m_second_way && m_second_way->m_head.has_value();
  if (m_second_way && !is_whole) {
    DropSecondWay(aResult.m_reason.c_str());
    return;
  }
  if (m_second_way) {
    RecordGivenUp(m_second_way->m_why);
    AdoptSecondWay(SlotOutcome::Cancelled);
  }
  OnResponseEnd(aResult);
}

void
ActiveRequest::AdoptSecondWay(SlotOutcome aSlotOutcome)
{
  CancelCall();
  ReleaseSlot(aSlotOutcome);
  m_event_splitter.DiscardIncompleteEvent();
  m_buffered_body.clear();
  SecondWay adopted = *std::exchange(m_second_way, std::nullopt);
  m_attempt = std::move(adopted.m_attempt);
  m_call = std::move(adopted.m_call);
  m_phase = Phase::Sending;
  if (adopted.m_head) {
    OnForwardedResponseHead(*adopted.m_head);
  }
}

void
ActiveRequest::DropSecondWay(const char* aWhy)
{
  if (!m_second_way) {
    return;
  }
  LogOf("send").info("event=second-way-ended request={} to={} why=\"{}\"",
                     m_request.m_head.m_request_id,
                     m_second_way->m_attempt.m_forwarded_to->Value(),
                     aWhy);
  m_second_way = std::nullopt;
}

}
