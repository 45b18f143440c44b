#include <LibGateway/ActiveRequest.h>

#include "LogText.h"

#include <LibCore/Log.h>
#include <LibGateway/ForwardedHeaders.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace auburnhitch {

namespace {

// Responses up to this size are buffered until they are complete, so that a truncated one can be
// requested from another endpoint.
constexpr std::size_t kMaxBufferedBytes = 256 << 10;
// Only the close of its connection shows that a response without a length is complete, so it is
// buffered as a whole, up to this size. A longer one counts as broken.
constexpr std::size_t kMaxUnframedBytes = 1 << 20;
// Reading from the endpoint pauses while more than this is waiting to be sent to a slower caller.
constexpr std::size_t kMaxUnsentBytes = 256 << 10;
// Slots that are requested for one request, including those after an endpoint was unreachable or
// refused.
constexpr int kMaxSlotRequests = 6;
// Connecting takes a few milliseconds within a region. The short timeout keeps the time lost to an
// unreachable endpoint negligible compared with an objective.
constexpr Milliseconds kConnectTimeout{ 250 };
// Retry-After for a stream whose version is unknown here. A daemon that knows it may be back by
// then.
constexpr Milliseconds kRetryAfterUnknownVersion{ 1'000 };

constexpr int kNoContent = 204;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerErrorStatus = 500;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstErrorStatus = 400;

/// How long the caller of a stream waits for the next event before it disconnects.
Milliseconds
MaxEventWait(const Route& aRoute)
{
  constexpr Milliseconds kMinWait{ 2'000 };
  constexpr int kObjectiveMultiple = 4;
  constexpr int kTargetGapMultiple = 8;
  return std::max({ kMinWait,
                    aRoute.m_objective * kObjectiveMultiple,
                    aRoute.m_target_gap * kTargetGapMultiple });
}

}

ActiveRequest::ActiveRequest(const ActiveRequestDependencies& aDependencies,
                             RelayExchangePtr aExchange,
                             AdmittedRequest aRequest,
                             DoneHandler aOnDone)
  : m_dependencies(aDependencies)
  , m_exchange(std::move(aExchange))
  , m_request(std::move(aRequest))
  , m_on_done(std::move(aOnDone))
{
}

ActiveRequest::~ActiveRequest()
{
  m_exchange->SetOnClosed(nullptr);
  m_exchange->SetOnDrained(nullptr);
  if (m_stream_lookup) {
    m_dependencies.m_broker->Streams().Cancel(*m_stream_lookup);
  }
}

TimePoint
ActiveRequest::Now() const
{
  return m_dependencies.m_loop->Now();
}

void
ActiveRequest::Begin()
{
  m_exchange->SetOnClosed([this] { OnCallerDisconnected(); });
  m_exchange->SetOnDrained([this] {
    if (m_call != nullptr) {
      m_call->ResumeReading();
    }
  });
  Proceed();
}

bool
ActiveRequest::ResumesStream() const
{
  const CallerRequestHead& head = m_request.m_head;
  return IsResumableStream() && !(head.m_resumed_stream.empty() && head.m_last_event_id.empty());
}

void
ActiveRequest::FindStreamVersion()
{
  if (m_stream.empty()) {
    m_stream = m_request.m_head.m_resumed_stream;
  }
  m_stream_lookup = m_dependencies.m_broker->Streams().Find(
    m_request.m_service, m_stream, [this](const std::optional<SoftwareVersion>& aVersion) {
      OnStreamVersion(aVersion);
    });
}

void
ActiveRequest::OnStreamVersion(const std::optional<SoftwareVersion>& aVersion)
{
  m_stream_lookup = std::nullopt;
  if (m_phase == Phase::Done) {
    return;
  }
  if (!aVersion && m_exchange->HasStarted()) {
    AbortResponse("the software version of the stream is unknown");
    return;
  }
  if (!aVersion) {
    RespondNotRun(kServiceUnavailable,
                  "the software version of the stream is unknown",
                  kRetryAfterUnknownVersion);
    return;
  }
  m_required_version = aVersion;
  RequestSlot();
}

void
ActiveRequest::BindToVersion()
{
  if (!IsResumableStream() || m_required_version ||
      m_attempt->m_response_head.m_status >= kFirstErrorStatus) {
    return;
  }
  if (m_attempt->m_forwarded_to) {
    // The daemon that runs it knows the version.
    m_stream = ResumesStream() ? m_request.m_head.m_resumed_stream : m_request.m_head.m_request_id;
    return;
  }
  m_stream = m_request.m_head.m_request_id;
  m_required_version = m_attempt->m_endpoint.m_software_version;
  // The registered version may be that of an earlier incarnation; the stream then ends with this
  // response.
  const bool is_ambiguous = m_attempt->m_may_have_restarted;
  m_dependencies.m_broker->Streams().RecordOrigin(
    m_request.m_service,
    StreamOrigin{ m_stream,
                  m_attempt->m_endpoint.m_id,
                  is_ambiguous ? SoftwareVersion() : *m_required_version });
}

SlotRequest
ActiveRequest::MakeSlotRequest() const
{
  const Route& route = *m_request.m_route;
  const TimePoint now = Now();
  SlotRequest request;
  request.m_priority = m_request.m_priority;
  request.m_work = m_request.m_head.m_work;
  request.m_data_center = m_dependencies.m_data_center;
  request.m_avoided = m_tried_endpoints;
  request.m_required_version = m_required_version;
  request.m_route = KindName(route.m_name);
  for (const PromptPart& part : m_request.m_head.m_prompt_parts) {
    request.m_crash_traits.push_back(TraitOfPart(part));
  }
  request.m_crash_traits.push_back(TraitOfRequest(m_request.m_digest));
  const bool is_charged_already = m_slot_request_count > 1;
  if (m_request.m_workspace && !is_charged_already) {
    request.m_workspace = *m_request.m_workspace;
    request.m_quota_tokens = m_request.m_quota_tokens;
  }
  request.m_arrived_at = m_request.m_arrived_at;
  request.m_objective_at = m_request.m_arrived_at + route.m_objective;
  request.m_abandoned_at = m_request.m_deadline;
  if (IsStream()) {
    // In the middle of a stream the caller has waited only since its last event.
    const bool is_resumed = m_exchange->HasStarted();
    const TimePoint since = is_resumed ? now : m_request.m_arrived_at;
    request.m_abandoned_at = std::min(request.m_abandoned_at, since + MaxEventWait(route));
    if (is_resumed) {
      request.m_objective_at = now + route.m_target_gap;
    }
  }
  return request;
}

void
ActiveRequest::RequestSlot()
{
  m_phase = Phase::Waiting;
  ++m_slot_request_count;
  m_slot_request_id = m_dependencies.m_broker->RequestSlot(
    m_request.m_service,
    MakeSlotRequest(),
    SlotHandlers{ [this](const SlotGrant& aGrant, const HostName& aCoordinator) {
                   OnGranted(aGrant, aCoordinator);
                 },
                  [this](const SlotRefusal& aRefusal, const HostName& aCoordinator) {
                    OnRefused(aRefusal, aCoordinator);
                  } });
}

void
ActiveRequest::OnGranted(const SlotGrant& aGrant, const HostName& aCoordinator)
{
  const TimePoint now = Now();
  const auto endpoint = m_dependencies.m_registry->FindUsable(aGrant.m_endpoint);
  LogOf("place").info("event=granted request={} service={} endpoint={} home={} waited_ms={} "
                      "expected_ms={} config={} registered={} may_have_restarted={}",
                      m_request.m_head.m_request_id,
                      m_request.m_service.Value(),
                      aGrant.m_endpoint.Value(),
                      aCoordinator.Value(),
                      ToMilliseconds(now - m_request.m_arrived_at),
                      aGrant.m_expected.count(),
                      m_request.m_table->Version(),
                      endpoint.has_value(),
                      aGrant.m_may_have_restarted);
  if (now >= m_request.m_deadline) {
    OnDeadline();
    return;
  }
  if (StopsBefore(now + aGrant.m_expected)) {
    EndForStop();
    return;
  }
  if (!endpoint || endpoint->m_service != m_request.m_service) {
    m_tried_endpoints.push_back(aGrant.m_endpoint);
    OnAttemptFailed(SlotOutcome::Unreachable, "the endpoint is no longer registered");
    return;
  }
  if (const char* why = WhyUnavailable(endpoint->Run())) {
    m_tried_endpoints.push_back(aGrant.m_endpoint);
    OnAttemptFailed(SlotOutcome::Cancelled, why);
    return;
  }
  if (m_required_version && endpoint->m_software_version != *m_required_version) {
    // The coordinator has read another registration, or is of a version that ignores the
    // constraint.
    m_tried_endpoints.push_back(aGrant.m_endpoint);
    OnAttemptFailed(SlotOutcome::Cancelled, "the endpoint has another software version");
    return;
  }
  StartAttempt(*endpoint, aGrant.m_may_have_restarted);
}

void
ActiveRequest::OnRefused(const SlotRefusal& aRefusal, const HostName& aCoordinator)
{
  m_slot_request_id = std::nullopt;
  m_dependencies.m_metrics->OnSlotRefused(m_request.m_service, NameOf(aRefusal.m_reason));
  LogOf("place").info("event=refused request={} service={} home={} waited_ms={} reason={}",
                      m_request.m_head.m_request_id,
                      m_request.m_service.Value(),
                      aCoordinator.Value(),
                      ToMilliseconds(Now() - m_request.m_arrived_at),
                      NameOf(aRefusal.m_reason));
  if (m_exchange->HasStarted()) {
    AbortResponse(NameOf(aRefusal.m_reason));
  } else if (m_possible_runs > 0) {
    RespondOutcomeUnknown(kBadGateway, NameOf(aRefusal.m_reason));
  } else {
    const bool is_over_quota = aRefusal.m_reason == SlotRefusalReason::OverQuota;
    RespondNotRun(is_over_quota ? kTooManyRequests : kServiceUnavailable,
                  NameOf(aRefusal.m_reason),
                  aRefusal.m_retry_after);
  }
}

void
ActiveRequest::StartAttempt(const EndpointEntry& aEndpoint, bool aMayHaveRestarted)
{
  m_phase = Phase::Sending;
  m_attempt = SendAttempt{ aEndpoint, Now(), aMayHaveRestarted };
  m_tried_endpoints.push_back(aEndpoint.m_id);
  EndpointInstructions instructions;
  instructions.m_endpoint = aEndpoint.m_id;
  instructions.m_workspace = m_request.m_workspace;
  instructions.m_time_left = TimeLeft(m_request.m_deadline, Now());
  if (!m_event_splitter.LastEventId().empty()) {
    instructions.m_last_event_id = m_event_splitter.LastEventId();
  }
  RelayRequest request;
  request.m_method = m_exchange->Head().m_method;
  request.m_target = m_exchange->Head().m_target;
  request.m_headers = m_dependencies.m_dialect->EndpointHeaders(m_exchange->Head(), instructions);
  request.m_body = m_exchange->Body();
  RelayCallLimits limits;
  limits.m_connect_timeout = kConnectTimeout;
  // The active request ends at its deadline, before this timeout, which is only a safeguard.
  limits.m_total_timeout = instructions.m_time_left + Milliseconds(1'000);
  limits.m_may_reuse =
    m_may_reuse_connection && m_dependencies.m_reach->MayReuseConnections(Now()) &&
    !m_dependencies.m_refused->Contains(m_request.m_head.m_request_id, aEndpoint.m_address);
  m_call = m_dependencies.m_client->Send(
    aEndpoint.m_address,
    aEndpoint.m_id.Value() + "/" + std::to_string(aEndpoint.m_started_at_ms),
    std::move(request),
    limits,
    RelayCallHandlers{ [this] { OnRequestWritten(); },
                       [this](const MessageHead& aHead) { OnResponseHead(aHead); },
                       [this](std::string aBytes) { OnResponseBytes(std::move(aBytes)); },
                       [this](const RelayResult& aResult) { OnResponseEnd(aResult); } });
}

void
ActiveRequest::OnRequestWritten()
{
  m_attempt->m_is_written = true;
  m_attempt->m_heard_at = Now();
  ++m_possible_runs;
  if (!m_attempt->m_forwarded_to) {
    if (!m_call->IsReused()) {
      m_dependencies.m_reach->RecordConnected();
    }
    m_dependencies.m_metrics->OnAttemptSent(m_request.m_service, m_written_attempts > 0);
  }
  ++m_written_attempts;
}

void
ActiveRequest::RecordStarted()
{
  if (m_slot_request_id) {
    m_dependencies.m_broker->RecordStarted(*m_slot_request_id);
  }
}

void
ActiveRequest::RecordHeard()
{
  DropSecondWay("the first one responds");
  m_attempt->m_heard_at = Now();
  if (!m_attempt->m_forwarded_to) {
    m_dependencies.m_reach->RecordHeard(!m_call->IsReused(), Now());
  }
}

void
ActiveRequest::OnResponseBytes(std::string aBytes)
{
  RecordHeard();
  m_attempt->m_response_bytes += aBytes.size();
  if (const absl::Status followed = m_attempt->m_completeness->Follow(aBytes); !followed.ok()) {
    m_call = nullptr;
    OnAttemptFailed(SlotOutcome::Broken, std::string(followed.message()));
    return;
  }
  const bool is_streamed = IsStream() && m_attempt->m_response_head.m_status < kFirstErrorStatus;
  if (!is_streamed) {
    BufferResponse(aBytes);
    return;
  }
  if (!std::exchange(m_attempt->m_has_first_byte, true)) {
    RecordStarted();
  }
  absl::StatusOr<std::string> bytes = std::move(aBytes);
  if (IsResumableStream()) {
    bytes = m_event_splitter.Feed(*bytes);
  }
  if (!bytes.ok()) {
    m_call = nullptr;
    OnAttemptFailed(SlotOutcome::Broken, std::string(bytes.status().message()));
    return;
  }
  if (bytes->empty()) {
    return;
  }
  if (!m_exchange->HasStarted()) {
    // Chunked whatever framing the endpoint uses, since another endpoint may resume the response.
    StartResponse(BodyFraming::Chunked);
  }
  Forward(*bytes);
}

void
ActiveRequest::BufferResponse(absl::string_view aBytes)
{
  m_buffered_body.append(aBytes.data(), aBytes.size());
  m_exchange->CountPending(m_buffered_body.size());
  if (m_exchange->HasStarted()) {
    Forward(std::exchange(m_buffered_body, std::string()));
    return;
  }
  const BodyFraming framing = m_attempt->m_response_head.m_framing;
  if (framing == BodyFraming::UntilClose) {
    if (m_buffered_body.size() > kMaxUnframedBytes) {
      m_call = nullptr;
      OnAttemptFailed(
        SlotOutcome::Broken,
        absl::StrCat("a response without a length exceeds ", kMaxUnframedBytes, " bytes"));
    }
    return;
  }
  if (m_buffered_body.size() > kMaxBufferedBytes) {
    StartResponse(framing == BodyFraming::Length ? BodyFraming::Length : BodyFraming::Chunked);
    Forward(std::exchange(m_buffered_body, std::string()));
  }
}

HttpHeaders
ActiveRequest::EndpointResponseHeaders() const
{
  HttpHeaders headers = ForwardedHeaders(m_attempt->m_response_head.m_headers, {});
  if (m_request.m_forwarded) {
    AppendForwardedEndpoint(m_attempt->m_endpoint.Run(), headers);
  }
  return headers;
}

void
ActiveRequest::StartResponse(BodyFraming aFraming)
{
  m_phase = Phase::Relaying;
  BindToVersion();
  m_first_byte_after = Milliseconds(ToMilliseconds(Now() - m_request.m_arrived_at));
  m_dependencies.m_metrics->OnFirstByte(m_request.m_service, Now() - m_request.m_arrived_at);
  HttpHeaders headers = EndpointResponseHeaders();
  const absl::string_view length =
    FindHeader(m_attempt->m_response_head.m_headers, "Content-Length");
  const bool forwards_length =
    aFraming == BodyFraming::Length ||
    (aFraming == BodyFraming::None && m_attempt->m_response_head.m_status != kNoContent);
  if (forwards_length && !length.empty()) {
    headers.emplace_back("Content-Length", std::string(length));
  }
  m_exchange->Start(m_attempt->m_response_head.m_status, headers, aFraming);
}

void
ActiveRequest::Forward(absl::string_view aBytes)
{
  m_exchange->Write(aBytes);
  if (m_exchange->UnsentBytes() > kMaxUnsentBytes && m_call != nullptr) {
    m_call->PauseReading();
  }
}

void
ActiveRequest::OnResponseEnd(const RelayResult& aResult)
{
  // This runs inside a callback of the call, so the call must stay alive until this returns.
  const std::unique_ptr<RelayCall> ended = std::move(m_call);
  m_attempt->m_end = NameOf(aResult.m_end);
  if (m_attempt->m_completeness) {
    m_dependencies.m_metrics->OnResponseEnded(
      m_request.m_service, NameOf(m_attempt->m_response_head.m_framing), m_attempt->m_end);
  }
  switch (aResult.m_end) {
    case RelayCallEnd::Complete:
    case RelayCallEnd::Closed:
      OnResponseReceived(aResult.m_end);
      return;
    case RelayCallEnd::NotSent:
      if (!m_attempt->m_forwarded_to) {
        ++m_unreached_count;
        if (!aResult.m_was_reused) {
          RecordNotReached(aResult.m_was_established);
        }
      }
      OnAttemptFailed(SlotOutcome::Unreachable, aResult.m_reason);
      return;
    case RelayCallEnd::Broken:
    case RelayCallEnd::Malformed:
      if (!m_attempt->m_forwarded_to && !aResult.m_was_reused && !m_attempt->m_completeness) {
        RecordNotReached(true);
      }
      OnAttemptFailed(SlotOutcome::Broken,
                      aResult.m_reason + (aResult.m_was_reused ? " (reused connection)" : ""));
      return;
  }
}

void
ActiveRequest::RecordNotReached(bool aWasEstablished)
{
  const EndpointId& endpoint = m_attempt->m_endpoint.m_id;
  if (aWasEstablished) {
    m_dependencies.m_reach->RecordUnanswered(endpoint, Now());
  } else {
    m_dependencies.m_reach->RecordConnectFailure(endpoint, Now());
  }
}

void
ActiveRequest::OnResponseReceived(RelayCallEnd aEnd)
{
  const int status = m_attempt->m_response_head.m_status;
  const absl::Status complete = m_attempt->m_completeness->Check(aEnd);
  if (!complete.ok()) {
    OnAttemptFailed(SlotOutcome::Broken, std::string(complete.message()));
    return;
  }
  if (IsResumableStream() && status < kFirstErrorStatus) {
    ForwardRemainder();
  }
  if (aEnd == RelayCallEnd::Closed && m_slot_request_id) {
    m_dependencies.m_broker->MarkEndUnproven(*m_slot_request_id);
  }
  ReleaseSlot(status >= kFirstServerErrorStatus ? SlotOutcome::Failed : SlotOutcome::Complete);
  const bool has_body = m_attempt->m_response_head.m_framing != BodyFraming::None;
  if (!has_body && !m_exchange->HasStarted()) {
    StartResponse(BodyFraming::None);
  }
  if (!m_exchange->HasStarted()) {
    m_first_byte_after = Milliseconds(ToMilliseconds(Now() - m_request.m_arrived_at));
    m_dependencies.m_metrics->OnFirstByte(m_request.m_service, Now() - m_request.m_arrived_at);
    m_exchange->Reply(status, EndpointResponseHeaders(), m_buffered_body);
  } else {
    m_exchange->Finish();
  }
  Finish(status < kFirstErrorStatus ? "done" : "failed", status, "the endpoint responded");
}

void
ActiveRequest::ForwardRemainder()
{
  const std::string bytes = m_event_splitter.TakeIncompleteEvent();
  if (bytes.empty()) {
    return;
  }
  if (!m_exchange->HasStarted()) {
    StartResponse(BodyFraming::Chunked);
  }
  Forward(bytes);
}

int
ActiveRequest::MaxRuns() const
{
  // The daemon that forwards a request decides on further runs.
  return m_request.m_forwarded ? 1 : m_request.m_route->m_max_endpoints;
}

std::string
ActiveRequest::NameOfEndpoint() const
{
  const bool is_forwarded = m_attempt && m_attempt->m_forwarded_to;
  return is_forwarded || m_tried_endpoints.empty() ? "none" : m_tried_endpoints.back().Value();
}

bool
ActiveRequest::MayRunAgain() const
{
  return m_request.m_route->IsIdempotent() && m_possible_runs < MaxRuns() &&
         m_slot_request_count < kMaxSlotRequests && Now() < m_request.m_deadline;
}

bool
ActiveRequest::TryReserveRetry()
{
  if (m_possible_runs > 0 && !MayRunAgain()) {
    return false;
  }
  if (m_slot_request_count >= kMaxSlotRequests || Now() >= m_request.m_deadline) {
    return false;
  }
  // No attempt was written to an endpoint, so the next one is not a retry.
  return m_written_attempts == 0 ||
         m_dependencies.m_retry_budget->TryRetry(m_request.m_service, Now());
}

void
ActiveRequest::Retry(SlotOutcome aSlotOutcome)
{
  ReleaseSlot(aSlotOutcome);
  m_event_splitter.DiscardIncompleteEvent();
  m_buffered_body.clear();
  Proceed();
}

void
ActiveRequest::OnAttemptFailed(SlotOutcome aSlotOutcome, const std::string& aReason)
{
  const bool has_started = m_exchange->HasStarted();
  const bool is_forwarded = m_attempt && m_attempt->m_forwarded_to;
  const std::string endpoint = NameOfEndpoint();
  const bool is_retried = m_second_way || (MayResume() && TryReserveRetry());
  LogOf("send").warn(
    "event=send-failed request={} service={} endpoint={} end={} why=\"{}\" runs={} "
    "arrivals={} passed_on={} again={} via={} digest={} prompt_parts={}",
    m_request.m_head.m_request_id,
    m_request.m_service.Value(),
    endpoint,
    NameOf(aSlotOutcome),
    aReason,
    m_possible_runs,
    m_written_attempts,
    has_started,
    is_retried,
    is_forwarded ? m_attempt->m_forwarded_to->Value() : "none",
    m_request.m_digest,
    DescribeParts(m_request.m_head.m_prompt_parts));
  if (m_second_way) {
    AdoptSecondWay(aSlotOutcome);
    return;
  }
  if (is_retried) {
    Retry(aSlotOutcome);
    return;
  }
  ReleaseSlot(aSlotOutcome);
  if (has_started) {
    AbortResponse("the endpoint's response was truncated");
  } else if (m_possible_runs > 0) {
    RespondOutcomeUnknown(kBadGateway, "no complete response from the endpoint");
  } else {
    RespondNotRun(kServiceUnavailable, "no endpoint accepted the request", kShortRetryAfter);
  }
}

void
ActiveRequest::ReleaseSlot(SlotOutcome aSlotOutcome)
{
  if (m_slot_request_id) {
    m_dependencies.m_broker->RecordEnded(*m_slot_request_id, aSlotOutcome);
    m_slot_request_id = std::nullopt;
  }
}

HttpHeaders
ActiveRequest::OwnResponseHeaders(const ForwardedReply& aReply) const
{
  HttpHeaders headers = m_dependencies.m_dialect->GatewayResponseHeaders(
    m_request.m_head.m_request_id, aReply.m_retry_after);
  if (m_request.m_forwarded) {
    AppendForwardedReply(aReply, headers);
  }
  return headers;
}

void
ActiveRequest::RespondNotRun(int aStatus,
                             const char* aReason,
                             Milliseconds aRetryAfter,
                             ForwardedOutcome aOutcome)
{
  m_exchange->Reply(aStatus, OwnResponseHeaders({ aOutcome, aRetryAfter }), "");
  Finish("not-run", aStatus, aReason);
}

void
ActiveRequest::RespondOutcomeUnknown(int aStatus, const char* aReason)
{
  m_exchange->Reply(aStatus, OwnResponseHeaders({ ForwardedOutcome::Unknown, std::nullopt }), "");
  Finish("unknown", aStatus, aReason);
}

void
ActiveRequest::AbortResponse(const char* aReason)
{
  m_exchange->Abort();
  Finish("cut", 0, aReason);
}

void
ActiveRequest::Finish(const char* aOutcome, int aStatus, const std::string& aReason)
{
  m_phase = Phase::Done;
  const Duration took = Now() - m_request.m_arrived_at;
  m_dependencies.m_metrics->OnRequestEnded(m_request.m_service, aOutcome, took);
  LogOf("request").info(
    "event=ended request={} service={} route={} workspace={} priority={} "
    "outcome={} status={} took_ms={} first_ms={} endpoint={} forwarded={} via={} runs={} "
    "arrivals={} framing={} response_bytes={} response_end={} "
    "stated_limit={} stated_leaving={} stated_rest_ms={} version={} resumes={} last_event={} "
    "config={} digest={} prompt_parts={} "
    "reason=\"{}\"",
    m_request.m_head.m_request_id,
    m_request.m_service.Value(),
    m_request.m_route->m_name,
    m_request.m_workspace ? m_request.m_workspace->Value() : "none",
    m_request.m_priority,
    aOutcome,
    aStatus,
    ToMilliseconds(took),
    m_first_byte_after ? m_first_byte_after->count() : -1,
    m_tried_endpoints.empty() ? "none" : m_tried_endpoints.back().Value(),
    m_request.m_forwarded.has_value(),
    m_forwarded_to.empty() ? "none" : m_forwarded_to.back().Value(),
    m_possible_runs,
    m_written_attempts,
    m_attempt && m_attempt->m_completeness ? NameOf(m_attempt->m_response_head.m_framing)
                                           : "no-response",
    m_attempt ? m_attempt->m_response_bytes : 0,
    m_attempt ? m_attempt->m_end : "not-sent",
    m_attempt ? DescribeLimit(m_attempt->m_notice) : "none",
    m_attempt ? DescribeLeaving(m_attempt->m_notice) : "no",
    m_attempt ? DescribeRest(m_attempt->m_notice) : "none",
    m_attempt ? m_attempt->m_endpoint.m_software_version.Value() : "none",
    OrNone(m_request.m_head.m_resumed_stream),
    OrNone(m_request.m_head.m_last_event_id),
    m_request.m_table->Version(),
    m_request.m_digest,
    DescribeParts(m_request.m_head.m_prompt_parts),
    aReason);
  // Destruction is deferred, since this may run inside a callback of its own call.
  m_dependencies.m_loop->Defer([this] { m_on_done(this); });
}

}
