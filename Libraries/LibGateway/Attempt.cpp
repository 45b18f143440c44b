#include <LibGateway/Attempt.h>

#include <LibCore/Log.h>
#include <LibGateway/ForwardedHeaders.h>
#include <algorithm>

namespace auburnhitch {

namespace {

// Answers up to this size are passed on when they are whole, so that one that breaks off can be
// had from another endpoint.
constexpr std::size_t kMaxHeldBytes = 256 << 10;
// A caller that reads slower than its endpoint sends is waited for from here on.
constexpr std::size_t kMaxUnsentBytes = 256 << 10;
// Places that are asked for again after an endpoint could not be reached or refused.
constexpr int kMostPlacesAsked = 6;
// A new connection takes a few milliseconds within a region; an endpoint that has vanished takes
// no part of an objective worth speaking of.
constexpr Milliseconds kConnectTimeout{ 250 };
// A caller whose request was turned away at the last moment finds another daemon at once.
constexpr Milliseconds kShortRetryAfter{ 100 };

constexpr int kTooManyRequests = 429;
constexpr int kServerErrors = 500;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kFirstFailure = 400;

/// How long a caller of a stream waits for its next event; it is gone after that.
Milliseconds
StreamPatience(const Route& aRoute)
{
  constexpr Milliseconds kLeast{ 2'000 };
  constexpr int kObjectives = 4;
  constexpr int kGaps = 8;
  return std::max({ kLeast, aRoute.m_objective * kObjectives, aRoute.m_target_gap * kGaps });
}

}

Attempt::Attempt(const AttemptSurroundings& aSurroundings,
                 RelayExchangePtr aExchange,
                 AdmittedRequest aRequest,
                 DoneHandler aOnDone)
  : m_surroundings(aSurroundings)
  , m_exchange(std::move(aExchange))
  , m_request(std::move(aRequest))
  , m_on_done(std::move(aOnDone))
{
}

Attempt::~Attempt()
{
  m_exchange->SetOnClosed(nullptr);
  m_exchange->SetOnDrained(nullptr);
}

TimePoint
Attempt::Now() const
{
  return m_surroundings.m_loop->Now();
}

void
Attempt::Begin()
{
  m_exchange->SetOnClosed([this] { OnCallerGone(); });
  m_exchange->SetOnDrained([this] {
    if (m_call != nullptr) {
      m_call->ResumeReading();
    }
  });
  AskForPlace();
}

SlotRequest
Attempt::MakePlaceRequest() const
{
  const Route& route = *m_request.m_route;
  const TimePoint now = Now();
  SlotRequest request;
  request.m_priority = m_request.m_priority;
  request.m_work = m_request.m_head.m_work;
  request.m_data_center = m_surroundings.m_data_center;
  request.m_avoided = m_tried;
  const bool is_charged_already = m_places_asked > 1;
  if (m_request.m_workspace && !is_charged_already) {
    request.m_workspace = *m_request.m_workspace;
    request.m_quota_tokens = m_request.m_quota_tokens;
  }
  request.m_arrived_at = m_request.m_arrived_at;
  request.m_objective_at = m_request.m_arrived_at + route.m_objective;
  request.m_abandoned_at = m_request.m_end_at;
  if (IsStream()) {
    // A caller in the middle of a stream has waited since its last event only.
    const bool is_going_on = m_exchange->HasStarted();
    const TimePoint since = is_going_on ? now : m_request.m_arrived_at;
    request.m_abandoned_at = std::min(request.m_abandoned_at, since + StreamPatience(route));
    if (is_going_on) {
      request.m_objective_at = now + route.m_target_gap;
    }
  }
  return request;
}

void
Attempt::AskForPlace()
{
  m_phase = Phase::Waiting;
  ++m_places_asked;
  m_ticket = m_surroundings.m_broker->RequestSlot(
    m_request.m_service,
    MakePlaceRequest(),
    SlotHandlers{
      [this](const SlotGrant& aGrant, const HostName& aHome) { OnGranted(aGrant, aHome); },
      [this](const SlotRefusal& aRefusal, const HostName& aHome) { OnRefused(aRefusal, aHome); } });
}

void
Attempt::OnGranted(const SlotGrant& aGrant, const HostName& aHome)
{
  const TimePoint now = Now();
  const auto endpoint = m_surroundings.m_registry->FindUsable(aGrant.m_endpoint);
  LogOf("place").info("event=granted request={} service={} endpoint={} home={} waited_ms={} "
                      "expected_ms={} config={} registered={}",
                      m_request.m_head.m_request_id,
                      m_request.m_service.Value(),
                      aGrant.m_endpoint.Value(),
                      aHome.Value(),
                      ToMilliseconds(now - m_request.m_arrived_at),
                      aGrant.m_expected.count(),
                      m_request.m_table->Version(),
                      endpoint.has_value());
  if (now >= m_request.m_end_at) {
    OnTimeUp();
    return;
  }
  if (!endpoint || endpoint->m_service != m_request.m_service) {
    m_tried.push_back(aGrant.m_endpoint);
    OnFailedSend(SlotOutcome::Unreachable, "the endpoint is no longer registered");
    return;
  }
  SendTo(*endpoint);
}

void
Attempt::OnRefused(const SlotRefusal& aRefusal, const HostName& aHome)
{
  m_ticket = std::nullopt;
  m_surroundings.m_metrics->OnPlaceRefused(m_request.m_service, NameOf(aRefusal.m_reason));
  LogOf("place").info("event=refused request={} service={} home={} waited_ms={} reason={}",
                      m_request.m_head.m_request_id,
                      m_request.m_service.Value(),
                      aHome.Value(),
                      ToMilliseconds(Now() - m_request.m_arrived_at),
                      NameOf(aRefusal.m_reason));
  if (m_exchange->HasStarted()) {
    CutAnswer(NameOf(aRefusal.m_reason));
  } else if (m_runs > 0) {
    AnswerUnknown(kBadGateway, NameOf(aRefusal.m_reason));
  } else {
    const bool is_over_quota = aRefusal.m_reason == SlotRefusalReason::OverQuota;
    AnswerNotRun(is_over_quota ? kTooManyRequests : kServiceUnavailable,
                 NameOf(aRefusal.m_reason),
                 aRefusal.m_retry_after);
  }
}

void
Attempt::SendTo(const EndpointEntry& aEndpoint)
{
  m_phase = Phase::Sending;
  m_send = Send{ aEndpoint, Now(), false, false, {} };
  m_tried.push_back(aEndpoint.m_id);
  EndpointInstructions instructions;
  instructions.m_endpoint = aEndpoint.m_id;
  instructions.m_workspace = m_request.m_workspace;
  instructions.m_time_left = TimeLeft(m_request.m_end_at, Now());
  if (!m_events.LastEventId().empty()) {
    instructions.m_last_event_id = m_events.LastEventId();
  }
  RelayRequest request;
  request.m_method = m_exchange->Head().m_method;
  request.m_target = m_exchange->Head().m_target;
  request.m_headers = m_surroundings.m_dialect->ToEndpoint(m_exchange->Head(), instructions);
  request.m_body = m_exchange->Body();
  RelayCallLimits limits;
  limits.m_connect_timeout = kConnectTimeout;
  // The attempt ends by itself before; this only bounds the call.
  limits.m_total_timeout = instructions.m_time_left + Milliseconds(1'000);
  m_call = m_surroundings.m_client->Send(
    aEndpoint.m_address,
    aEndpoint.m_id.Value() + "/" + std::to_string(aEndpoint.m_started_at_ms),
    std::move(request),
    limits,
    RelayCallHandlers{ [this] { OnWritten(); },
                       [this](const MessageHead& aHead) { OnAnswerHead(aHead); },
                       [this](std::string aBytes) { OnAnswerBytes(std::move(aBytes)); },
                       [this](const RelayResult& aResult) { OnAnswerEnd(aResult); } });
}

void
Attempt::OnWritten()
{
  m_send->m_is_written = true;
  ++m_runs;
  m_surroundings.m_metrics->OnSent(m_request.m_service, m_arrivals > 0);
  ++m_arrivals;
}

void
Attempt::OnAnswerHead(const MessageHead& aHead)
{
  m_send->m_answer = aHead;
  const AnswerMeaning meaning =
    m_surroundings.m_dialect->MeaningOf(aHead, m_request.m_head.m_request_id);
  switch (meaning) {
    case AnswerMeaning::Foreign:
      m_call = nullptr;
      OnFailedSend(SlotOutcome::Broken, "the answer belongs to another request");
      return;
    case AnswerMeaning::NotRun:
      m_call = nullptr;
      --m_runs;
      OnFailedSend(SlotOutcome::Refused,
                   "the endpoint refused, status " + std::to_string(aHead.m_status));
      return;
    case AnswerMeaning::Failure:
      if (m_exchange->HasStarted()) {
        m_call = nullptr;
        OnFailedSend(SlotOutcome::Failed, "status " + std::to_string(aHead.m_status));
        return;
      }
      // Without another send the endpoint's failure is passed on.
      if (aHead.m_status >= kServerErrors && MayRunAgain() && MaySendAgain()) {
        m_call = nullptr;
        LogOf("send").info("event=send-again request={} endpoint={} why=\"status {}\" runs={}",
                           m_request.m_head.m_request_id,
                           m_tried.back().Value(),
                           aHead.m_status,
                           m_runs);
        SendAgain(SlotOutcome::Failed);
      }
      return;
    case AnswerMeaning::Success:
      if (!IsStream()) {
        m_surroundings.m_broker->RecordStarted(*m_ticket);
      }
      return;
  }
}

void
Attempt::OnAnswerBytes(std::string aBytes)
{
  const bool is_streamed = IsStream() && m_send->m_answer.m_status < kFirstFailure;
  if (!is_streamed) {
    m_held_body += aBytes;
    if (m_exchange->HasStarted()) {
      PassOn(std::exchange(m_held_body, std::string()));
    } else if (m_held_body.size() > kMaxHeldBytes) {
      StartAnswer(m_send->m_answer.m_framing == BodyFraming::Length ? BodyFraming::Length
                                                                    : BodyFraming::Chunked);
      PassOn(std::exchange(m_held_body, std::string()));
    }
    return;
  }
  if (!std::exchange(m_send->m_has_begun, true)) {
    m_surroundings.m_broker->RecordStarted(*m_ticket);
  }
  const std::string bytes = IsResumableStream() ? m_events.Feed(aBytes) : std::move(aBytes);
  if (bytes.empty()) {
    return;
  }
  if (!m_exchange->HasStarted()) {
    // Chunked whatever the endpoint does: another endpoint may go on with the answer.
    StartAnswer(BodyFraming::Chunked);
  }
  PassOn(bytes);
}

void
Attempt::StartAnswer(BodyFraming aFraming)
{
  m_phase = Phase::Relaying;
  m_first_part_after = Milliseconds(ToMilliseconds(Now() - m_request.m_arrived_at));
  m_surroundings.m_metrics->OnFirstPart(m_request.m_service, Now() - m_request.m_arrived_at);
  HttpHeaders headers = ForwardedHeaders(m_send->m_answer.m_headers, {});
  if (aFraming == BodyFraming::Length) {
    headers.emplace_back("Content-Length",
                         std::string(FindHeader(m_send->m_answer.m_headers, "Content-Length")));
  }
  m_exchange->Start(m_send->m_answer.m_status, headers, aFraming);
}

void
Attempt::PassOn(absl::string_view aBytes)
{
  m_exchange->Write(aBytes);
  if (m_exchange->UnsentBytes() > kMaxUnsentBytes && m_call != nullptr) {
    m_call->PauseReading();
  }
}

void
Attempt::OnAnswerEnd(const RelayResult& aResult)
{
  // Ends inside this call are from the call itself, which must not be freed by the answer to it.
  const std::unique_ptr<RelayCall> ended = std::move(m_call);
  switch (aResult.m_end) {
    case RelayCallEnd::Complete:
      OnWholeAnswer();
      return;
    case RelayCallEnd::NotSent:
      OnFailedSend(SlotOutcome::Unreachable, aResult.m_reason);
      return;
    case RelayCallEnd::Broken:
    case RelayCallEnd::Malformed:
      OnFailedSend(SlotOutcome::Broken, aResult.m_reason + (aResult.m_was_reused ? " (kept)" : ""));
      return;
  }
}

void
Attempt::OnWholeAnswer()
{
  const int status = m_send->m_answer.m_status;
  if (IsResumableStream() && status < kFirstFailure && !TakeRestOfEvents()) {
    OnFailedSend(SlotOutcome::Broken, "the answer ended within an event");
    return;
  }
  EndPlace(status >= kServerErrors ? SlotOutcome::Failed : SlotOutcome::Complete);
  if (!m_exchange->HasStarted()) {
    m_first_part_after = Milliseconds(ToMilliseconds(Now() - m_request.m_arrived_at));
    m_surroundings.m_metrics->OnFirstPart(m_request.m_service, Now() - m_request.m_arrived_at);
    m_exchange->Reply(status, ForwardedHeaders(m_send->m_answer.m_headers, {}), m_held_body);
  } else {
    m_exchange->Finish();
  }
  Finish(status < kFirstFailure ? "done" : "failed", status, "answered by the endpoint");
}

bool
Attempt::TakeRestOfEvents()
{
  const std::string rest = m_events.TakeRest();
  if (rest.empty()) {
    return true;
  }
  // Without a length the end of a connection proves nothing about the last event.
  if (m_send->m_answer.m_framing == BodyFraming::UntilClose) {
    return false;
  }
  if (!m_exchange->HasStarted()) {
    StartAnswer(BodyFraming::Chunked);
  }
  PassOn(rest);
  return true;
}

bool
Attempt::MayRunAgain() const
{
  const Route& route = *m_request.m_route;
  return route.IsIdempotent() && m_runs < route.m_max_endpoints &&
         m_places_asked < kMostPlacesAsked && Now() < m_request.m_end_at;
}

bool
Attempt::MaySendAgain()
{
  if (m_runs > 0 && !MayRunAgain()) {
    return false;
  }
  if (m_places_asked >= kMostPlacesAsked || Now() >= m_request.m_end_at) {
    return false;
  }
  // Nothing has arrived anywhere: the next send is the first.
  return m_arrivals == 0 || m_surroundings.m_retry_budget->TryRetry(m_request.m_service, Now());
}

void
Attempt::SendAgain(SlotOutcome aEnd)
{
  EndPlace(aEnd);
  m_events.DropRest();
  m_held_body.clear();
  AskForPlace();
}

void
Attempt::OnFailedSend(SlotOutcome aEnd, const std::string& aWhy)
{
  const bool has_begun = m_exchange->HasStarted();
  const bool may_go_on = !has_begun || (IsResumableStream() && !m_events.LastEventId().empty());
  const std::string endpoint = m_tried.empty() ? "none" : m_tried.back().Value();
  const bool sends_again = may_go_on && MaySendAgain();
  LogOf("send").warn(
    "event=send-failed request={} service={} endpoint={} end={} why=\"{}\" runs={} "
    "arrivals={} passed_on={} again={}",
    m_request.m_head.m_request_id,
    m_request.m_service.Value(),
    endpoint,
    NameOf(aEnd),
    aWhy,
    m_runs,
    m_arrivals,
    has_begun,
    sends_again);
  if (sends_again) {
    SendAgain(aEnd);
    return;
  }
  EndPlace(aEnd);
  if (has_begun) {
    CutAnswer("the endpoint's answer broke off");
  } else if (m_runs > 0) {
    AnswerUnknown(kBadGateway, "the endpoint's answer was lost");
  } else {
    AnswerNotRun(kServiceUnavailable, "no endpoint took the request", kShortRetryAfter);
  }
}

void
Attempt::EndPlace(SlotOutcome aEnd)
{
  if (m_ticket) {
    m_surroundings.m_broker->RecordEnded(*m_ticket, aEnd);
    m_ticket = std::nullopt;
  }
}

void
Attempt::OnCallerGone()
{
  if (m_phase == Phase::Done) {
    return;
  }
  if (m_phase == Phase::Waiting && m_ticket) {
    m_surroundings.m_broker->Withdraw(*std::exchange(m_ticket, std::nullopt));
  }
  // Closing the connection tells the endpoint to stop.
  m_call = nullptr;
  EndPlace(SlotOutcome::Cancelled);
  Finish("caller-gone", 0, "the caller closed its connection");
}

void
Attempt::OnTimeUp()
{
  if (m_phase == Phase::Done) {
    return;
  }
  if (m_phase == Phase::Waiting && m_ticket) {
    m_surroundings.m_broker->Withdraw(*std::exchange(m_ticket, std::nullopt));
  }
  const bool is_connecting = m_send && !m_send->m_is_written;
  m_call = nullptr;
  EndPlace(is_connecting ? SlotOutcome::Unreachable : SlotOutcome::Cancelled);
  if (m_exchange->HasStarted()) {
    CutAnswer("the time is up");
  } else if (m_runs > 0) {
    AnswerUnknown(kGatewayTimeout, "the time is up");
  } else {
    AnswerNotRun(kServiceUnavailable, "the time is up", kShortRetryAfter);
  }
}

void
Attempt::AnswerNotRun(int aStatus, const char* aReason, Milliseconds aRetryAfter)
{
  m_exchange->Reply(
    aStatus, m_surroundings.m_dialect->OwnAnswer(m_request.m_head.m_request_id, aRetryAfter), "");
  Finish("not-run", aStatus, aReason);
}

void
Attempt::AnswerUnknown(int aStatus, const char* aReason)
{
  m_exchange->Reply(
    aStatus, m_surroundings.m_dialect->OwnAnswer(m_request.m_head.m_request_id, std::nullopt), "");
  Finish("unknown", aStatus, aReason);
}

void
Attempt::CutAnswer(const char* aReason)
{
  m_exchange->Cut();
  Finish("cut", 0, aReason);
}

void
Attempt::Finish(const char* aOutcome, int aStatus, const std::string& aReason)
{
  m_phase = Phase::Done;
  const Duration took = Now() - m_request.m_arrived_at;
  m_surroundings.m_metrics->OnAttemptEnded(m_request.m_service, aOutcome, took);
  LogOf("request").info("event=ended request={} service={} route={} workspace={} priority={} "
                        "outcome={} status={} took_ms={} first_ms={} endpoint={} runs={} "
                        "arrivals={} config={} reason=\"{}\"",
                        m_request.m_head.m_request_id,
                        m_request.m_service.Value(),
                        m_request.m_route->m_name,
                        m_request.m_workspace ? m_request.m_workspace->Value() : "none",
                        m_request.m_priority,
                        aOutcome,
                        aStatus,
                        ToMilliseconds(took),
                        m_first_part_after ? m_first_part_after->count() : -1,
                        m_tried.empty() ? "none" : m_tried.back().Value(),
                        m_runs,
                        m_arrivals,
                        m_request.m_table->Version(),
                        aReason);
  // The attempt is freed later: it may be inside a callback of its own call.
  m_surroundings.m_loop->Defer([this] { m_on_done(this); });
}

}
