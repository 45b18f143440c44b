#include <LibDispatch/StreamRelay.h>

#include <LibCore/Log.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace auburnhitch {

namespace {

constexpr Milliseconds kConnectTimeout{ 500 };
constexpr Milliseconds kSilenceTimeout{ 5'000 };
constexpr Milliseconds kInitialResumeDelay{ 20 };
constexpr Milliseconds kMaxResumeDelay{ 1'000 };
/// A caller with more unsent bytes than this is disconnected; it can resume the stream.
constexpr std::size_t kMaxUnsentBytes = 256 << 10;
constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;

}

std::shared_ptr<StreamRelay>
StreamRelay::Create(EventLoop& aLoop,
                    HttpClient& aClient,
                    RequestKey aKey,
                    TimePoint aDeadline,
                    Source aSource,
                    Target aTarget,
                    EndHandler aOnEnd)
{
  return std::shared_ptr<StreamRelay>(new StreamRelay(aLoop,
                                                      aClient,
                                                      std::move(aKey),
                                                      aDeadline,
                                                      std::move(aSource),
                                                      std::move(aTarget),
                                                      std::move(aOnEnd)));
}

StreamRelay::StreamRelay(EventLoop& aLoop,
                         HttpClient& aClient,
                         RequestKey aKey,
                         TimePoint aDeadline,
                         Source aSource,
                         Target aTarget,
                         EndHandler aOnEnd)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_key(std::move(aKey))
  , m_deadline(aDeadline)
  , m_source(std::move(aSource))
  , m_target(std::move(aTarget))
  , m_on_end(std::move(aOnEnd))
  , m_last_event(m_target.m_after_event)
{
}

void
StreamRelay::Start()
{
  m_started = m_loop.Now();
  SendRequest(m_source.m_address, m_source.m_request);
}

void
StreamRelay::Abandon()
{
  m_is_finished = true;
  m_call = nullptr;
  m_on_end = nullptr;
}

void
StreamRelay::SendRequest(const SocketAddress& aAddress, const HttpRequest& aRequest)
{
  HttpCallLimits limits;
  limits.m_connect_timeout = kConnectTimeout;
  limits.m_silence_timeout = kSilenceTimeout;
  limits.m_total_timeout = TimeLeft(m_deadline, m_loop.Now());
  limits.m_reuse_connection = m_source.m_checks_request_id;
  m_is_event_stream = false;
  m_is_broken = false;
  m_non_stream_body.clear();
  m_parser.Reset();

  const auto self = shared_from_this();
  HttpCallHandlers handlers;
  handlers.m_on_headers = [self](int aStatus, const HttpHeaders& aHeaders) {
    self->OnHeaders(aStatus, aHeaders);
  };
  handlers.m_on_bytes = [self](absl::string_view aBytes) { self->OnBytes(aBytes); };
  handlers.m_on_end = [self](const HttpOutcome& aOutcome) { self->OnCallEnd(aOutcome); };
  m_call = m_client.Send(aAddress, aRequest, limits, std::move(handlers));
}

void
StreamRelay::OnHeaders(int aStatus, const HttpHeaders& aHeaders)
{
  if (m_is_finished) {
    return;
  }
  m_is_mismatched =
    m_source.m_checks_request_id && FindHeader(aHeaders, headers::kRequestId) != m_key.ToString();
  m_is_event_stream = aStatus == kHttpOk &&
                      absl::StartsWith(FindHeader(aHeaders, "Content-Type"), "text/event-stream");
  const absl::string_view token = FindHeader(aHeaders, headers::kResumeToken);
  if (m_source.m_resolve_token && !token.empty()) {
    m_source.m_resume_address = m_source.m_resolve_token(token);
  }
  if (m_is_event_stream && !m_is_mismatched && !m_target.m_exchange->IsStreaming()) {
    HttpHeaders fields = m_target.m_headers;
    if (!token.empty() && FindHeader(fields, headers::kResumeToken).empty()) {
      fields.emplace_back(headers::kResumeToken, std::string(token));
    }
    m_target.m_exchange->StartStream(kHttpOk, fields);
  }
}

void
StreamRelay::OnBytes(absl::string_view aBytes)
{
  if (m_is_finished || m_is_mismatched || m_is_broken) {
    return;
  }
  if (!m_is_event_stream) {
    absl::StrAppend(&m_non_stream_body, aBytes);
    return;
  }
  const auto self = shared_from_this();
  if (!m_parser.Feed(aBytes, [&](const StreamEvent& aEvent) { OnEvent(aEvent); })) {
    m_is_broken = true;
  }
}

void
StreamRelay::OnEvent(const StreamEvent& aEvent)
{
  if (m_is_finished || m_is_broken) {
    return;
  }
  if (!aEvent.m_id) {
    // Without an id, an event can't be told apart from a duplicate.
    m_is_broken = true;
    return;
  }
  // The end event is forwarded even if its id was seen before: a caller that resumes after having
  // received every event still needs it.
  if (*aEvent.m_id <= m_last_event && !aEvent.m_is_end) {
    return;
  }
  if (*aEvent.m_id > m_last_event + 1) {
    m_is_broken = true;
    return;
  }
  m_last_event = *aEvent.m_id;
  if (!m_time_to_first_event) {
    m_time_to_first_event = m_loop.Now() - m_started;
  }
  m_target.m_exchange->SendChunk(aEvent.m_text);
  if (aEvent.m_is_end) {
    m_target.m_exchange->EndStream();
    Finish(End(AttemptEnd::Done, ErrorCode::EndpointBroken));
    return;
  }
  if (m_target.m_exchange->UnsentBytes() > kMaxUnsentBytes) {
    m_target.m_exchange->Abort();
  }
}

void
StreamRelay::OnCallEnd(const HttpOutcome& aOutcome)
{
  const auto call = std::move(m_call);
  if (m_is_finished) {
    return;
  }
  m_any_byte_sent |= aOutcome.m_any_byte_sent;
  if (!m_any_byte_sent) {
    Finish(End(AttemptEnd::NothingSent, ErrorCode::EndpointBroken));
    return;
  }
  if (m_is_mismatched) {
    ResumeOrFail(ErrorCode::ResponseMismatched);
    return;
  }
  if (aOutcome.m_end == HttpEnd::Complete && !m_is_event_stream) {
    OnNonStreamResponse(aOutcome);
    return;
  }
  // "[DONE]" did not arrive, so the stream is incomplete even if its transfer coding ended
  // properly.
  ResumeOrFail(ErrorCode::EndpointBroken);
}

void
StreamRelay::OnNonStreamResponse(const HttpOutcome& aOutcome)
{
  if (m_resume_attempts > 0) {
    // 404: the engine no longer has the stream. Any other status: it can't send it at present.
    const bool is_final = aOutcome.m_status == kHttpNotFound;
    if (is_final) {
      Finish(End(AttemptEnd::Unknown, ErrorCode::EndpointBroken));
    } else {
      ResumeOrFail(ErrorCode::EndpointBroken);
    }
    return;
  }
  HttpOutcome outcome = aOutcome;
  outcome.m_body = m_non_stream_body;
  RelayEnd end;
  end.m_response = std::make_shared<const CachedResponse>(endpoint_protocol::ToResponse(outcome));
  end.m_response_headers = aOutcome.m_headers;
  const bool is_refusal =
    endpoint_protocol::IsRefusedBeforeStart(aOutcome.m_status, aOutcome.m_headers);
  end.m_rest = endpoint_protocol::RestAfterRefusal(aOutcome.m_status, aOutcome.m_headers);
  end.m_end = is_refusal ? AttemptEnd::RefusedBeforeStart : AttemptEnd::Done;
  end.m_code = ErrorCodeFromName(FindHeader(aOutcome.m_headers, headers::kErrorCode));
  Finish(end);
}

void
StreamRelay::ResumeOrFail(ErrorCode aCode)
{
  const Milliseconds delay =
    std::min(kMaxResumeDelay, kInitialResumeDelay * (1 << std::min(m_resume_attempts, 6)));
  if (m_loop.Now() + delay >= m_deadline) {
    Finish(End(AttemptEnd::Unknown, ErrorCode::DeadlinePassed));
    return;
  }
  if (!m_source.m_resume_address) {
    Finish(End(AttemptEnd::Unknown, aCode));
    return;
  }
  ++m_resume_attempts;
  LogOf("dispatch")
    .info("Resuming the stream of {} after event {}, attempt {}.",
          m_key.ToString(),
          m_last_event,
          m_resume_attempts);
  const auto self = shared_from_this();
  m_retry = std::make_unique<Timer>(m_loop, delay, Timer::Repeat::Once, [self] {
    if (!self->m_is_finished) {
      self->m_is_mismatched = false;
      self->SendRequest(*self->m_source.m_resume_address,
                        endpoint_protocol::ResumeRequest(self->m_key, self->m_last_event));
    }
  });
}

RelayEnd
StreamRelay::End(AttemptEnd aEnd, ErrorCode aCode) const
{
  RelayEnd end;
  end.m_end = aEnd;
  end.m_code = aCode;
  end.m_time_to_first_event = m_time_to_first_event;
  return end;
}

void
StreamRelay::Finish(const RelayEnd& aEnd)
{
  if (m_is_finished) {
    return;
  }
  m_is_finished = true;
  // This may run inside a handler of m_call, so the call is destroyed in a later loop iteration.
  const auto self = shared_from_this();
  m_loop.Defer([self, call = std::make_shared<std::unique_ptr<HttpCall>>(std::move(m_call))] {
    self->m_retry = nullptr;
  });
  if (m_on_end) {
    const auto on_end = std::move(m_on_end);
    m_on_end = nullptr;
    on_end(aEnd);
  }
}

}
