#include <LibGateway/ActiveRequest.h>

#include <LibCore/Log.h>

namespace auburnhitch {

namespace {

// Endpoints to which a request could not connect before another daemon tries it.
constexpr int kMaxUnreached = 2;
constexpr Milliseconds kConnectTimeout{ 250 };
// Retry-After while this daemon is cut off and no other one can serve: the trials of the daemons
// find a healed path within this time.
constexpr Milliseconds kRetryAfterCutOff{ 1'000 };
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;

}

void
ActiveRequest::Proceed()
{
  EndpointReach& reach = *m_dependencies.m_reach;
  const TimePoint now = Now();
  const bool has_failed_to_connect = m_unreached_count >= kMaxUnreached;
  if (m_request.m_forwarded) {
    if (has_failed_to_connect || reach.IsCutOff(now)) {
      RespondCutOff();
      return;
    }
    m_may_reuse_connection = m_unreached_count == 0;
  } else {
    const bool cannot_connect = reach.CannotConnect(now);
    const bool may_run_again = m_request.m_route->IsIdempotent() && m_possible_runs + 1 < MaxRuns();
    const bool is_avoiding = has_failed_to_connect || reach.ShouldAvoid(may_run_again, now);
    const auto target =
      is_avoiding && m_forwarded_to.size() < kMaxForwards
        ? m_dependencies.m_targets->Choose(m_forwarded_to, m_request.m_table->Version(), now)
        : std::nullopt;
    if (target) {
      StartForwarding(*target);
      return;
    }
    if (is_avoiding && reach.IsRefusedByAll(now)) {
      RespondCutOff();
      return;
    }
    // A trial needs a new connection. Without another daemon, those that live on are all there is.
    m_may_reuse_connection = is_avoiding || (m_unreached_count == 0 && !cannot_connect);
  }
  const bool needs_version =
    IsResumableStream() && !m_required_version && (ResumesStream() || m_exchange->HasStarted());
  if (needs_version) {
    FindStreamVersion();
  } else {
    RequestSlot();
  }
}

void
ActiveRequest::RespondCutOff()
{
  constexpr const char* kReason = "this daemon reaches no endpoint";
  if (m_exchange->HasStarted()) {
    AbortResponse(kReason);
  } else if (m_possible_runs > 0) {
    RespondOutcomeUnknown(kBadGateway, kReason);
  } else {
    RespondNotRun(kServiceUnavailable, kReason, kRetryAfterCutOff, ForwardedOutcome::TryAnother);
  }
}

void
ActiveRequest::StartForwarding(const Member& aTarget)
{
  m_phase = Phase::Sending;
  m_attempt = BeginForwardedAttempt(aTarget);
  m_call = SendThrough(
    aTarget,
    RelayCallHandlers{ [this] { OnRequestWritten(); },
                       [this](const MessageHead& aHead) { OnForwardedResponseHead(aHead); },
                       [this](std::string aBytes) { OnResponseBytes(std::move(aBytes)); },
                       [this](const RelayResult& aResult) { OnResponseEnd(aResult); } });
}

ActiveRequest::SendAttempt
ActiveRequest::BeginForwardedAttempt(const Member& aTarget)
{
  ++m_slot_request_count;
  m_forwarded_to.push_back(aTarget.m_host);
  SendAttempt attempt;
  attempt.m_granted_at = Now();
  attempt.m_forwarded_to = aTarget.m_host;
  return attempt;
}

std::unique_ptr<RelayCall>
ActiveRequest::SendThrough(const Member& aTarget, RelayCallHandlers aHandlers)
{
  const bool continues_own_stream =
    m_exchange->HasStarted() && m_request.m_head.m_resumed_stream.empty();
  RelayRequest request;
  request.m_method = m_exchange->Head().m_method;
  request.m_target = m_exchange->Head().m_target;
  request.m_headers = m_dependencies.m_dialect->PeerHeaders(
    m_exchange->Head(),
    TimeLeft(m_request.m_deadline, Now()),
    m_event_splitter.LastEventId().empty() ? std::nullopt
                                           : std::optional(m_event_splitter.LastEventId()));
  AppendForwardedRequest(
    { continues_own_stream ? m_stream : std::string(), m_request.m_table->Version() },
    request.m_headers);
  request.m_body = m_exchange->Body();
  LogOf("send").info("event=forwarded request={} service={} to={} unreached={} runs={} "
                     "last_event={}",
                     m_request.m_head.m_request_id,
                     m_request.m_service.Value(),
                     aTarget.m_host.Value(),
                     m_unreached_count,
                     m_possible_runs,
                     m_event_splitter.LastEventId().empty() ? "none"
                                                            : m_event_splitter.LastEventId());
  m_dependencies.m_metrics->OnForwarded(m_request.m_service);
  RelayCallLimits limits;
  limits.m_connect_timeout = kConnectTimeout;
  limits.m_total_timeout = TimeLeft(m_request.m_deadline, Now()) + Milliseconds(1'000);
  // A connection that the other daemon closes while the request is written would leave open whether
  // the request ran.
  limits.m_may_reuse = false;
  return m_dependencies.m_client->Send(aTarget.m_caller_address,
                                       "daemon/" + aTarget.m_incarnation.Value(),
                                       std::move(request),
                                       limits,
                                       std::move(aHandlers));
}

void
ActiveRequest::OnForwardedResponseHead(const MessageHead& aHead)
{
  const auto reply = ParseForwardedReply(aHead.m_headers);
  if (!reply) {
    m_call->CloseAfterResponse();
    RecordForwardedNotice(aHead);
    OnResponseHead(aHead);
    return;
  }
  const HostName daemon = *m_attempt->m_forwarded_to;
  m_call = nullptr;
  LogOf("send").info("event=forwarded-refused request={} by={} status={} outcome={}",
                     m_request.m_head.m_request_id,
                     daemon.Value(),
                     aHead.m_status,
                     NameOf(reply->m_outcome));
  switch (reply->m_outcome) {
    case ForwardedOutcome::Unknown:
      OnAttemptFailed(SlotOutcome::Broken, "the other daemon does not know the outcome");
      return;
    case ForwardedOutcome::TryAnother:
      --m_possible_runs;
      m_dependencies.m_targets->RecordUnable(daemon, Now());
      OnAttemptFailed(SlotOutcome::Unreachable, "the other daemon cannot serve the request");
      return;
    case ForwardedOutcome::NotRun:
      --m_possible_runs;
      break;
  }
  if (m_exchange->HasStarted()) {
    AbortResponse("refused by the other daemon");
  } else if (m_possible_runs > 0) {
    RespondOutcomeUnknown(kBadGateway, "refused by the other daemon");
  } else {
    RespondNotRun(aHead.m_status,
                  "refused by the other daemon",
                  reply->m_retry_after.value_or(kRetryAfterCutOff));
  }
}

void
ActiveRequest::OnCutOff()
{
  if (m_call == nullptr || m_attempt->m_forwarded_to) {
    return;
  }
  if (m_attempt->m_is_written) {
    StartSecondWay("cut-off");
    return;
  }
  RecordGivenUp("cut-off");
  m_call = nullptr;
  OnAttemptFailed(SlotOutcome::Unreachable, "this daemon reaches no endpoint");
}

void
ActiveRequest::OnDaemonsChanged()
{
  if (m_call == nullptr || !m_attempt->m_forwarded_to ||
      m_dependencies.m_targets->IsAlive(*m_attempt->m_forwarded_to, Now())) {
    return;
  }
  if (m_attempt->m_is_written) {
    if (Now() - m_attempt->m_heard_at >= EndpointReach::Limits().m_min_silence) {
      StartSecondWay("daemon-silent");
    }
    return;
  }
  RecordGivenUp("daemon-silent");
  m_call = nullptr;
  OnAttemptFailed(SlotOutcome::Unreachable,
                  "the daemon to which the request was forwarded is silent");
}

void
ActiveRequest::RecordGivenUp(const char* aWhy)
{
  m_dependencies.m_metrics->OnCallGivenUp(m_request.m_service, aWhy);
  const TimePoint since = m_attempt->m_is_written ? m_attempt->m_heard_at : m_attempt->m_granted_at;
  LogOf("send").warn("event=given-up request={} service={} endpoint={} via={} why={} written={} "
                     "passed_on={} response_bytes={} silent_ms={} {}",
                     m_request.m_head.m_request_id,
                     m_request.m_service.Value(),
                     NameOfEndpoint(),
                     m_attempt->m_forwarded_to ? m_attempt->m_forwarded_to->Value() : "none",
                     aWhy,
                     m_attempt->m_is_written,
                     m_exchange->HasStarted(),
                     m_attempt->m_response_bytes,
                     ToMilliseconds(Now() - since),
                     m_dependencies.m_reach->Describe(Now()));
}

bool
ActiveRequest::RecordAwaited(Milliseconds aMinSilence) const
{
  if (m_call == nullptr || !m_attempt->m_is_written || m_attempt->m_forwarded_to) {
    return false;
  }
  const Duration silence = Now() - m_attempt->m_heard_at;
  m_dependencies.m_reach->RecordAwaited(m_attempt->m_endpoint.m_id, silence, Now());
  return silence >= aMinSilence;
}

}
