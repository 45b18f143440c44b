#include <LibIntake/Intake.h>
#include <absl/strings/string_view.h>

#include <LibCore/Digest.h>
#include <LibDirectory/IncarnationAddress.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>

namespace auburnhitch {

namespace {

constexpr Milliseconds kConnectTimeout{ 500 };
/// Added to the deadline of a forwarded request, so that the issuer's own deadline error arrives
/// before this daemon's timeout.
constexpr Milliseconds kForwardGracePeriod{ 300 };
constexpr Milliseconds kLogRetryAfter{ 1'000 };

}

Intake::Intake(Dependencies aDependencies)
  : m_dependencies(std::move(aDependencies))
{
}

Intake::~Intake()
{
  for (auto& [id, relay] : m_relays) {
    relay->Abandon();
  }
}

void
Intake::RespondWithError(const IncomingRequestPtr& aRequest, ErrorCode aCode, Outcome aOutcome)
{
  CallerError error;
  error.m_code = aCode;
  error.m_outcome = aOutcome;
  if (aRequest->m_checked.m_identity) {
    error.m_identity = aRequest->m_checked.m_identity->ToString();
  }
  if (aCode == ErrorCode::LogUnavailable) {
    error.m_retry_after = kLogRetryAfter;
  }
  m_dependencies.m_decisions.Add(
    "intake",
    error.m_identity.empty() ? "-" : error.m_identity,
    absl::StrCat("Answers ", NameOf(aCode), ", ", NameOf(aOutcome), "."));
  ReplyWithError(*aRequest->m_exchange, error);
}

void
Intake::Handle(const HttpExchangePtr& aExchange, Sender aSender)
{
  auto request = std::make_shared<IncomingRequest>();
  request->m_exchange = aExchange;
  request->m_sender = aSender;
  request->m_raw = RawCallerRequest::From(*aExchange);
  auto checked =
    CheckCallerRequest(request->m_raw, m_dependencies.m_documents, m_dependencies.m_loop.Now());
  if (auto* error = std::get_if<CallerError>(&checked)) {
    if (error->m_code == ErrorCode::UnknownService && !m_dependencies.m_has_documents()) {
      error->m_code = ErrorCode::NoDocument;
      error->m_retry_after = kLogRetryAfter;
    }
    error->m_identity = request->m_raw.m_identity;
    m_dependencies.m_decisions.Add(
      "intake", "-", absl::StrCat("Refuses a request: ", NameOf(error->m_code), "."));
    ReplyWithError(*aExchange, *error);
    return;
  }
  request->m_checked = std::get<CheckedCallerRequest>(std::move(checked));
  if (request->m_checked.m_key) {
    BindKey(request);
    return;
  }
  if (!request->m_checked.m_identity) {
    request->m_checked.m_identity =
      RequestIdentity{ m_dependencies.m_ledger.CurrentPermit(m_dependencies.m_loop.Now()),
                       RandomName() };
  }
  Route(request);
}

void
Intake::BindKey(const IncomingRequestPtr& aRequest)
{
  Claim claim;
  claim.m_workspace = aRequest->m_checked.m_dispatch_request.m_key.m_workspace;
  claim.m_key = *aRequest->m_checked.m_key;
  claim.m_identity =
    RequestIdentity{ m_dependencies.m_ledger.CurrentPermit(m_dependencies.m_loop.Now()),
                     RandomName() };
  ++m_claims;
  m_dependencies.m_claimer.Bind(claim, [this, aRequest](const ClaimResult& aResult) {
    --m_claims;
    OnKeyBound(aRequest, aResult);
  });
}

void
Intake::OnKeyBound(const IncomingRequestPtr& aRequest, const ClaimResult& aResult)
{
  // Another daemon may have made a claim for the key that this one hasn't read. So the outcome is
  // Unknown unless the key was bound.
  switch (aResult.m_verdict) {
    case ClaimVerdict::Bound:
      aRequest->m_checked.m_identity = aResult.m_identity;
      Route(aRequest);
      return;
    case ClaimVerdict::KeyExpired:
      RespondWithError(aRequest, ErrorCode::IdempotencyKeyExpired, Outcome::Unknown);
      return;
    case ClaimVerdict::KeyFromFuture:
      RespondWithError(aRequest, ErrorCode::BadIdempotencyKey, Outcome::Unknown);
      return;
    case ClaimVerdict::LogUnavailable:
      RespondWithError(aRequest, ErrorCode::LogUnavailable, Outcome::Unknown);
      return;
  }
}

void
Intake::Route(const IncomingRequestPtr& aRequest)
{
  CheckedCallerRequest& checked = aRequest->m_checked;
  checked.m_dispatch_request.m_key.m_identity = *checked.m_identity;
  switch (m_dependencies.m_ledger.Check(*checked.m_identity, m_dependencies.m_loop.Now())) {
    case IdentityStatus::Valid:
      m_dependencies.m_dispatcher.Submit(checked.m_dispatch_request,
                                         Waiter{ aRequest->m_exchange,
                                                 checked.m_dispatch_request.m_wants_stream,
                                                 checked.m_after_event });
      return;
    case IdentityStatus::Expired:
      RespondWithError(aRequest, ErrorCode::IdentityExpired, Outcome::Unknown);
      return;
    case IdentityStatus::NeverIssued:
      // Only this daemon could dispatch the request, and it neither has nor will.
      RespondWithError(aRequest, ErrorCode::BadIdentity, Outcome::Unknown);
      return;
    case IdentityStatus::IssuedElsewhere:
      Forward(aRequest);
      return;
  }
}

void
Intake::Forward(const IncomingRequestPtr& aRequest)
{
  const auto issuer = PeerAddressOf(aRequest->m_checked.m_identity->m_permit.m_incarnation);
  // The identity of a request that a peer forwarded was issued at this address. If this incarnation
  // did not issue it, an earlier one did, and there is no daemon to forward it to.
  if (aRequest->m_sender == Sender::Peer || !issuer.ok() ||
      !m_dependencies.m_is_entry_host(*issuer)) {
    ResumeAtEngine(aRequest);
    return;
  }
  // A stream with a resume token needs no issuer, which may be frozen: it is resumed at the engine
  // directly, which never starts the request.
  const HostName& resume_host = aRequest->m_checked.m_resume_host;
  const bool has_token = FindResumableEndpoint(*aRequest, resume_host) != nullptr;
  if (has_token && aRequest->m_checked.m_dispatch_request.m_wants_stream &&
      !aRequest->m_has_tried_engine) {
    ResumeAtEngine(aRequest);
    return;
  }
  m_dependencies.m_decisions.Add(
    "route",
    aRequest->m_checked.m_identity->ToString(),
    absl::StrCat("Passes it on to its issuer at ", issuer->Value(), "."));
  if (aRequest->m_checked.m_dispatch_request.m_wants_stream) {
    ForwardStream(aRequest, *issuer);
  } else {
    ForwardBuffered(aRequest, *issuer);
  }
}

HttpRequest
Intake::ForwardRequest(const IncomingRequest& aRequest) const
{
  const RawCallerRequest& raw = aRequest.m_raw;
  const Milliseconds time_left =
    TimeLeft(aRequest.m_checked.m_dispatch_request.m_deadline, m_dependencies.m_loop.Now());
  HttpRequest request{ raw.m_method, raw.m_path, {}, raw.m_body };
  const std::array<std::pair<const char*, std::string>, 8> fields{ {
    { "Authorization", raw.m_authorization },
    { headers::kIdentity, aRequest.m_checked.m_identity->ToString() },
    { headers::kKind, raw.m_kind },
    { headers::kTier, raw.m_tier },
    { headers::kDeadline, absl::StrCat(time_left.count()) },
    { headers::kLastEventId, raw.m_last_event_id },
    { headers::kResumeToken, raw.m_resume_token },
    { "Content-Type", raw.m_content_type },
  } };
  for (const auto& [name, value] : fields) {
    if (!value.empty()) {
      request.m_headers.emplace_back(name, value);
    }
  }
  return request;
}

void
Intake::ForwardBuffered(const IncomingRequestPtr& aRequest, const SocketAddress& aIssuer)
{
  const Milliseconds time_left =
    TimeLeft(aRequest->m_checked.m_dispatch_request.m_deadline, m_dependencies.m_loop.Now());
  HttpCallLimits limits;
  limits.m_connect_timeout = kConnectTimeout;
  limits.m_total_timeout = time_left + kForwardGracePeriod;
  limits.m_silence_timeout = limits.m_total_timeout;
  const std::int64_t id = m_next_id++;
  HttpCallHandlers handlers;
  handlers.m_on_end = [this, id, aRequest](const HttpOutcome& aOutcome) {
    const auto ended = m_forwards.extract(id);
    if (aOutcome.m_end != HttpEnd::Complete) {
      ResumeAtEngine(aRequest);
      return;
    }
    ForwardResponse(aRequest, aOutcome);
  };
  m_forwards[id] =
    m_dependencies.m_client.Send(aIssuer, ForwardRequest(*aRequest), limits, std::move(handlers));
}

void
Intake::ForwardResponse(const IncomingRequestPtr& aRequest, const HttpOutcome& aOutcome)
{
  const std::string error_code(FindHeader(aOutcome.m_headers, headers::kErrorCode));
  // A newer incarnation at the issuer's address does not know the identity.
  if (error_code == NameOf(ErrorCode::IssuerUnavailable)) {
    ResumeAtEngine(aRequest);
    return;
  }
  constexpr std::array kForwardedHeaders{ "Content-Type",       headers::kIdentity,
                                          headers::kOutcome,    headers::kErrorCode,
                                          headers::kReplayed,   "Retry-After",
                                          headers::kUseInstead, headers::kResumeToken };
  HttpHeaders fields;
  for (const char* name : kForwardedHeaders) {
    const absl::string_view value = FindHeader(aOutcome.m_headers, name);
    if (!value.empty()) {
      fields.emplace_back(name, std::string(value));
    }
  }
  aRequest->m_exchange->Reply(aOutcome.m_status, fields, aOutcome.m_body);
}

void
Intake::ForwardStream(const IncomingRequestPtr& aRequest, const SocketAddress& aIssuer)
{
  StreamRelay::Source source;
  source.m_address = aIssuer;
  source.m_request = ForwardRequest(*aRequest);
  source.m_checks_request_id = false;
  source.m_resolve_token = [this, aRequest](absl::string_view aToken) {
    const Endpoint* endpoint = FindResumableEndpoint(*aRequest, HostName(std::string(aToken)));
    return endpoint == nullptr ? std::nullopt : std::optional(endpoint->m_address);
  };
  const HttpHeaders fields{ { "Content-Type", "text/event-stream" },
                            { headers::kIdentity, aRequest->m_checked.m_identity->ToString() } };
  Relay(aRequest, std::move(source), fields, [this, aRequest](const RelayEnd& aEnd) {
    if (aEnd.m_response != nullptr && aEnd.m_code != ErrorCode::IssuerUnavailable) {
      HttpOutcome outcome;
      outcome.m_status = aEnd.m_response->m_status;
      outcome.m_headers = aEnd.m_response_headers;
      outcome.m_body = aEnd.m_response->m_body;
      ForwardResponse(aRequest, outcome);
      return;
    }
    if (aEnd.m_end == AttemptEnd::Done && aEnd.m_response == nullptr) {
      return;
    }
    if (aRequest->m_exchange->IsStreaming()) {
      RespondWithError(aRequest, ErrorCode::IssuerUnavailable, Outcome::Unknown);
      return;
    }
    ResumeAtEngine(aRequest);
  });
}

void
Intake::Relay(const IncomingRequestPtr& aRequest,
              StreamRelay::Source aSource,
              HttpHeaders aHeaders,
              StreamRelay::EndHandler aOnEnd)
{
  const std::int64_t id = m_next_id++;
  StreamRelay::Target target;
  target.m_exchange = aRequest->m_exchange;
  target.m_after_event = aRequest->m_checked.m_after_event;
  target.m_headers = std::move(aHeaders);
  auto relay =
    StreamRelay::Create(m_dependencies.m_loop,
                        m_dependencies.m_client,
                        aRequest->m_checked.m_dispatch_request.m_key,
                        aRequest->m_checked.m_dispatch_request.m_deadline + kForwardGracePeriod,
                        std::move(aSource),
                        std::move(target),
                        [this, id, on_end = std::move(aOnEnd)](const RelayEnd& aEnd) {
                          const auto ended = m_relays.extract(id);
                          on_end(aEnd);
                        });
  m_relays[id] = relay;
  aRequest->m_exchange->SetOnClosed([this, id] {
    const auto ended = m_relays.extract(id);
    if (!ended.empty()) {
      ended.mapped()->Abandon();
    }
  });
  relay->Start();
}

const Endpoint*
Intake::FindResumableEndpoint(const IncomingRequest& aRequest, const HostName& aHost) const
{
  if (aHost.IsEmpty()) {
    return nullptr;
  }
  const HeldDocument* held =
    m_dependencies.m_documents(aRequest.m_checked.m_dispatch_request.m_service);
  const Endpoint* endpoint = held == nullptr ? nullptr : held->m_document->FindEndpoint(aHost);
  return endpoint != nullptr && endpoint->m_resumes ? endpoint : nullptr;
}

// Requests the response from the engine that the caller's resume token names. Never starts the
// request.
void
Intake::ResumeAtEngine(const IncomingRequestPtr& aRequest)
{
  const Endpoint* endpoint = FindResumableEndpoint(*aRequest, aRequest->m_checked.m_resume_host);
  if (endpoint == nullptr || aRequest->m_has_tried_engine) {
    RespondWithError(aRequest, ErrorCode::IssuerUnavailable, Outcome::Unknown);
    return;
  }
  m_dependencies.m_decisions.Add(
    "route",
    aRequest->m_checked.m_identity->ToString(),
    absl::StrCat("Asks ", endpoint->m_host.Value(), " for the answer of a request sent before."));
  aRequest->m_has_tried_engine = true;
  if (aRequest->m_checked.m_dispatch_request.m_wants_stream) {
    StreamFromEngine(aRequest, *endpoint);
  } else {
    FetchFromEngine(aRequest, *endpoint);
  }
}

void
Intake::StreamFromEngine(const IncomingRequestPtr& aRequest, const Endpoint& aEndpoint)
{
  StreamRelay::Source source;
  source.m_address = aEndpoint.m_address;
  source.m_request = endpoint_protocol::ResumeRequest(aRequest->m_checked.m_dispatch_request.m_key,
                                                      aRequest->m_checked.m_after_event);
  source.m_resume_address = aEndpoint.m_address;
  source.m_checks_request_id = aEndpoint.m_echoes_identity;
  const HttpHeaders fields{ { "Content-Type", "text/event-stream" },
                            { headers::kIdentity, aRequest->m_checked.m_identity->ToString() },
                            { headers::kReplayed, "true" },
                            { headers::kResumeToken, aEndpoint.m_host.Value() } };
  Relay(aRequest, std::move(source), fields, [this, aRequest](const RelayEnd& aEnd) {
    if (aEnd.m_end == AttemptEnd::Done && aEnd.m_response == nullptr) {
      return;
    }
    if (aRequest->m_exchange->IsStreaming()) {
      RespondWithError(aRequest, ErrorCode::IssuerUnavailable, Outcome::Unknown);
      return;
    }
    // The engine does not have the stream, but the issuer may know the request's outcome.
    Forward(aRequest);
  });
}

void
Intake::FetchFromEngine(const IncomingRequestPtr& aRequest, const Endpoint& aEndpoint)
{
  const Milliseconds time_left =
    TimeLeft(aRequest->m_checked.m_dispatch_request.m_deadline, m_dependencies.m_loop.Now());
  HttpCallLimits limits;
  limits.m_connect_timeout = kConnectTimeout;
  limits.m_total_timeout = time_left;
  const std::int64_t id = m_next_id++;
  HttpCallHandlers handlers;
  handlers.m_on_end = [this, id, aRequest, endpoint = aEndpoint](const HttpOutcome& aOutcome) {
    constexpr int kHttpOk = 200;
    const auto ended = m_forwards.extract(id);
    const RequestKey& key = aRequest->m_checked.m_dispatch_request.m_key;
    if (aOutcome.m_end != HttpEnd::Complete || aOutcome.m_status != kHttpOk ||
        !endpoint_protocol::IsResponseTo(key, endpoint, aOutcome.m_headers)) {
      RespondWithError(aRequest, ErrorCode::IssuerUnavailable, Outcome::Unknown);
      return;
    }
    ReplyWithResponse(*aRequest->m_exchange,
                      key.m_identity.ToString(),
                      endpoint_protocol::ToResponse(aOutcome),
                      true);
  };
  m_forwards[id] = m_dependencies.m_client.Send(
    aEndpoint.m_address,
    endpoint_protocol::FetchRequest(aRequest->m_checked.m_dispatch_request.m_key),
    limits,
    std::move(handlers));
}

}
