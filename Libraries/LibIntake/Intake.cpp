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
/// The issuer's own verdict at the deadline has to arrive before this daemon gives up on it.
constexpr Milliseconds kForwardGrace{ 300 };
constexpr Milliseconds kLogRetryAfter{ 1'000 };

}

Intake::Intake(Parts aParts)
  : m_parts(std::move(aParts))
{
}

Intake::~Intake()
{
  for (auto& [id, relay] : m_relays) {
    relay->Abandon();
  }
}

void
Intake::Refuse(const ArrivalPtr& aArrival, ErrorCode aCode, Outcome aOutcome)
{
  CallerError error;
  error.m_code = aCode;
  error.m_outcome = aOutcome;
  if (aArrival->m_checked.m_identity) {
    error.m_identity = aArrival->m_checked.m_identity->ToString();
  }
  if (aCode == ErrorCode::LogUnavailable) {
    error.m_retry_after = kLogRetryAfter;
  }
  m_parts.m_decisions.Add("intake",
                          error.m_identity.empty() ? "-" : error.m_identity,
                          absl::StrCat("Answers ", NameOf(aCode), ", ", NameOf(aOutcome), "."));
  ReplyWithError(*aArrival->m_exchange, error);
}

void
Intake::Handle(const HttpExchangePtr& aExchange, From aFrom)
{
  auto arrival = std::make_shared<Arrival>();
  arrival->m_exchange = aExchange;
  arrival->m_from = aFrom;
  arrival->m_raw = RawCallerRequest::From(*aExchange);
  auto checked = CheckCallerRequest(arrival->m_raw, m_parts.m_documents, m_parts.m_loop.Now());
  if (auto* error = std::get_if<CallerError>(&checked)) {
    if (error->m_code == ErrorCode::UnknownService && !m_parts.m_has_documents()) {
      error->m_code = ErrorCode::NoDocument;
      error->m_retry_after = kLogRetryAfter;
    }
    error->m_identity = arrival->m_raw.m_identity;
    m_parts.m_decisions.Add(
      "intake", "-", absl::StrCat("Refuses a request: ", NameOf(error->m_code), "."));
    ReplyWithError(*aExchange, *error);
    return;
  }
  arrival->m_checked = std::get<CheckedCallerRequest>(std::move(checked));
  if (arrival->m_checked.m_key) {
    BindKey(arrival);
    return;
  }
  if (!arrival->m_checked.m_identity) {
    arrival->m_checked.m_identity =
      RequestIdentity{ m_parts.m_ledger.CurrentPermit(m_parts.m_loop.Now()), RandomName() };
  }
  Route(arrival);
}

void
Intake::BindKey(const ArrivalPtr& aArrival)
{
  Claim claim;
  claim.m_workspace = aArrival->m_checked.m_call.m_key.m_workspace;
  claim.m_key = *aArrival->m_checked.m_key;
  claim.m_identity =
    RequestIdentity{ m_parts.m_ledger.CurrentPermit(m_parts.m_loop.Now()), RandomName() };
  ++m_claims;
  m_parts.m_claimer.Bind(claim, [this, aArrival](const ClaimResult& aResult) {
    --m_claims;
    OnBound(aArrival, aResult);
  });
}

void
Intake::OnBound(const ArrivalPtr& aArrival, const ClaimResult& aResult)
{
  // Another daemon may hold a claim for the key that this one can't see: only a bound key can be
  // answered with anything better than "unknown".
  switch (aResult.m_verdict) {
    case ClaimVerdict::Bound:
      aArrival->m_checked.m_identity = aResult.m_identity;
      Route(aArrival);
      return;
    case ClaimVerdict::KeyExpired:
      Refuse(aArrival, ErrorCode::IdempotencyKeyExpired, Outcome::Unknown);
      return;
    case ClaimVerdict::KeyFromFuture:
      Refuse(aArrival, ErrorCode::BadIdempotencyKey, Outcome::Unknown);
      return;
    case ClaimVerdict::LogUnavailable:
      Refuse(aArrival, ErrorCode::LogUnavailable, Outcome::Unknown);
      return;
  }
}

void
Intake::Route(const ArrivalPtr& aArrival)
{
  CheckedCallerRequest& checked = aArrival->m_checked;
  checked.m_call.m_key.m_identity = *checked.m_identity;
  switch (m_parts.m_ledger.Check(*checked.m_identity, m_parts.m_loop.Now())) {
    case IdentityStatus::Valid:
      m_parts.m_dispatcher.Submit(
        checked.m_call,
        Waiter{ aArrival->m_exchange, checked.m_call.m_wants_stream, checked.m_after_event });
      return;
    case IdentityStatus::Expired:
      Refuse(aArrival, ErrorCode::IdentityExpired, Outcome::Unknown);
      return;
    case IdentityStatus::NeverIssued:
      // No daemon has dispatched it or will: only this one could.
      Refuse(aArrival, ErrorCode::BadIdentity, Outcome::Unknown);
      return;
    case IdentityStatus::IssuedElsewhere:
      Forward(aArrival);
      return;
  }
}

void
Intake::Forward(const ArrivalPtr& aArrival)
{
  const auto issuer = PeerAddressOf(aArrival->m_checked.m_identity->m_permit.m_incarnation);
  // A forwarded request that is not this incarnation's names an earlier life of this address.
  if (aArrival->m_from == From::Peer || !issuer.ok() || !m_parts.m_is_entry_host(*issuer)) {
    ResumeAtEngine(aArrival);
    return;
  }
  // A caller that holds a resume token needs no issuer, which may be frozen: the engine is asked
  // at once, and starts nothing.
  const HostName& resume_host = aArrival->m_checked.m_resume_host;
  const bool has_token = ResumableEndpoint(*aArrival, resume_host) != nullptr;
  if (has_token && aArrival->m_checked.m_call.m_wants_stream && !aArrival->m_has_asked_engine) {
    ResumeAtEngine(aArrival);
    return;
  }
  m_parts.m_decisions.Add("route",
                          aArrival->m_checked.m_identity->ToString(),
                          absl::StrCat("Passes it on to its issuer at ", issuer->Value(), "."));
  if (aArrival->m_checked.m_call.m_wants_stream) {
    ForwardStream(aArrival, *issuer);
  } else {
    ForwardWhole(aArrival, *issuer);
  }
}

HttpRequest
Intake::ForwardRequest(const Arrival& aArrival) const
{
  const RawCallerRequest& raw = aArrival.m_raw;
  const Milliseconds left = TimeLeft(aArrival.m_checked.m_call.m_deadline, m_parts.m_loop.Now());
  HttpRequest request{ raw.m_method, raw.m_path, {}, raw.m_body };
  const std::array<std::pair<const char*, std::string>, 8> fields{ {
    { "Authorization", raw.m_authorization },
    { headers::kIdentity, aArrival.m_checked.m_identity->ToString() },
    { headers::kKind, raw.m_kind },
    { headers::kTier, raw.m_tier },
    { headers::kDeadline, absl::StrCat(left.count()) },
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
Intake::ForwardWhole(const ArrivalPtr& aArrival, const SocketAddress& aIssuer)
{
  const Milliseconds left = TimeLeft(aArrival->m_checked.m_call.m_deadline, m_parts.m_loop.Now());
  HttpCallLimits limits;
  limits.m_connect_timeout = kConnectTimeout;
  limits.m_total_timeout = left + kForwardGrace;
  limits.m_silence_timeout = limits.m_total_timeout;
  const std::int64_t id = m_next_id++;
  HttpCallHandlers handlers;
  handlers.m_on_end = [this, id, aArrival](const HttpOutcome& aOutcome) {
    const auto ended = m_forwards.extract(id);
    if (aOutcome.m_end != HttpEnd::Complete) {
      ResumeAtEngine(aArrival);
      return;
    }
    PassOn(aArrival, aOutcome);
  };
  m_forwards[id] =
    m_parts.m_client.Send(aIssuer, ForwardRequest(*aArrival), limits, std::move(handlers));
}

void
Intake::PassOn(const ArrivalPtr& aArrival, const HttpOutcome& aOutcome)
{
  const std::string error_code(FindHeader(aOutcome.m_headers, headers::kErrorCode));
  // The issuer's successor at the same address knows nothing of the identity.
  if (error_code == NameOf(ErrorCode::IssuerGone)) {
    ResumeAtEngine(aArrival);
    return;
  }
  constexpr std::array kPassedOn{ "Content-Type",       headers::kIdentity,   headers::kOutcome,
                                  headers::kErrorCode,  headers::kReplayed,   "Retry-After",
                                  headers::kUseInstead, headers::kResumeToken };
  HttpHeaders fields;
  for (const char* name : kPassedOn) {
    const absl::string_view value = FindHeader(aOutcome.m_headers, name);
    if (!value.empty()) {
      fields.emplace_back(name, std::string(value));
    }
  }
  aArrival->m_exchange->Reply(aOutcome.m_status, fields, aOutcome.m_body);
}

void
Intake::ForwardStream(const ArrivalPtr& aArrival, const SocketAddress& aIssuer)
{
  StreamRelay::Source source;
  source.m_address = aIssuer;
  source.m_request = ForwardRequest(*aArrival);
  source.m_checks_echo = false;
  source.m_resolve_token = [this, aArrival](absl::string_view aToken) {
    const Endpoint* endpoint = ResumableEndpoint(*aArrival, HostName(std::string(aToken)));
    return endpoint == nullptr ? std::nullopt : std::optional(endpoint->m_address);
  };
  const HttpHeaders fields{ { "Content-Type", "text/event-stream" },
                            { headers::kIdentity, aArrival->m_checked.m_identity->ToString() } };
  Relay(aArrival, std::move(source), fields, [this, aArrival](const RelayEnd& aEnd) {
    if (aEnd.m_answer != nullptr && aEnd.m_code != ErrorCode::IssuerGone) {
      HttpOutcome outcome;
      outcome.m_status = aEnd.m_answer->m_status;
      outcome.m_headers = aEnd.m_all_headers;
      outcome.m_body = aEnd.m_answer->m_body;
      PassOn(aArrival, outcome);
      return;
    }
    if (aEnd.m_end == AttemptEnd::Done && aEnd.m_answer == nullptr) {
      return;
    }
    if (aArrival->m_exchange->IsStreaming()) {
      Refuse(aArrival, ErrorCode::IssuerGone, Outcome::Unknown);
      return;
    }
    ResumeAtEngine(aArrival);
  });
}

void
Intake::Relay(const ArrivalPtr& aArrival,
              StreamRelay::Source aSource,
              HttpHeaders aHeaders,
              StreamRelay::EndHandler aOnEnd)
{
  const std::int64_t id = m_next_id++;
  StreamRelay::Target target;
  target.m_exchange = aArrival->m_exchange;
  target.m_after_event = aArrival->m_checked.m_after_event;
  target.m_headers = std::move(aHeaders);
  auto relay = StreamRelay::Create(m_parts.m_loop,
                                   m_parts.m_client,
                                   aArrival->m_checked.m_call.m_key,
                                   aArrival->m_checked.m_call.m_deadline + kForwardGrace,
                                   std::move(aSource),
                                   std::move(target),
                                   [this, id, on_end = std::move(aOnEnd)](const RelayEnd& aEnd) {
                                     const auto ended = m_relays.extract(id);
                                     on_end(aEnd);
                                   });
  m_relays[id] = relay;
  aArrival->m_exchange->SetOnClosed([this, id] {
    const auto ended = m_relays.extract(id);
    if (!ended.empty()) {
      ended.mapped()->Abandon();
    }
  });
  relay->Start();
}

const Endpoint*
Intake::ResumableEndpoint(const Arrival& aArrival, const HostName& aHost) const
{
  if (aHost.IsEmpty()) {
    return nullptr;
  }
  const HeldDocument* held = m_parts.m_documents(aArrival.m_checked.m_call.m_service);
  const Endpoint* endpoint = held == nullptr ? nullptr : held->m_document->FindEndpoint(aHost);
  return endpoint != nullptr && endpoint->m_resumes ? endpoint : nullptr;
}

// Asks the engine that the caller's resume token names, which starts nothing.
void
Intake::ResumeAtEngine(const ArrivalPtr& aArrival)
{
  const Endpoint* endpoint = ResumableEndpoint(*aArrival, aArrival->m_checked.m_resume_host);
  if (endpoint == nullptr || aArrival->m_has_asked_engine) {
    Refuse(aArrival, ErrorCode::IssuerGone, Outcome::Unknown);
    return;
  }
  m_parts.m_decisions.Add(
    "route",
    aArrival->m_checked.m_identity->ToString(),
    absl::StrCat("Asks ", endpoint->m_host.Value(), " for the answer of a request sent before."));
  aArrival->m_has_asked_engine = true;
  if (aArrival->m_checked.m_call.m_wants_stream) {
    StreamFromEngine(aArrival, *endpoint);
  } else {
    FetchFromEngine(aArrival, *endpoint);
  }
}

void
Intake::StreamFromEngine(const ArrivalPtr& aArrival, const Endpoint& aEndpoint)
{
  StreamRelay::Source source;
  source.m_address = aEndpoint.m_address;
  source.m_request = endpoint_protocol::ResumeRequest(aArrival->m_checked.m_call.m_key,
                                                      aArrival->m_checked.m_after_event);
  source.m_resume_at = aEndpoint.m_address;
  source.m_checks_echo = aEndpoint.m_echoes_identity;
  const HttpHeaders fields{ { "Content-Type", "text/event-stream" },
                            { headers::kIdentity, aArrival->m_checked.m_identity->ToString() },
                            { headers::kReplayed, "true" },
                            { headers::kResumeToken, aEndpoint.m_host.Value() } };
  Relay(aArrival, std::move(source), fields, [this, aArrival](const RelayEnd& aEnd) {
    if (aEnd.m_end == AttemptEnd::Done && aEnd.m_answer == nullptr) {
      return;
    }
    if (aArrival->m_exchange->IsStreaming()) {
      Refuse(aArrival, ErrorCode::IssuerGone, Outcome::Unknown);
      return;
    }
    // The engine does not have it; its issuer may know more.
    Forward(aArrival);
  });
}

void
Intake::FetchFromEngine(const ArrivalPtr& aArrival, const Endpoint& aEndpoint)
{
  const Milliseconds left = TimeLeft(aArrival->m_checked.m_call.m_deadline, m_parts.m_loop.Now());
  HttpCallLimits limits;
  limits.m_connect_timeout = kConnectTimeout;
  limits.m_total_timeout = left;
  const std::int64_t id = m_next_id++;
  HttpCallHandlers handlers;
  handlers.m_on_end = [this, id, aArrival, endpoint = aEndpoint](const HttpOutcome& aOutcome) {
    constexpr int kHttpOk = 200;
    const auto ended = m_forwards.extract(id);
    const RequestKey& key = aArrival->m_checked.m_call.m_key;
    if (aOutcome.m_end != HttpEnd::Complete || aOutcome.m_status != kHttpOk ||
        !endpoint_protocol::IsAnswerTo(key, endpoint, aOutcome.m_headers)) {
      Refuse(aArrival, ErrorCode::IssuerGone, Outcome::Unknown);
      return;
    }
    ReplyWithAnswer(*aArrival->m_exchange,
                    key.m_identity.ToString(),
                    endpoint_protocol::ToAnswer(aOutcome),
                    true);
  };
  m_forwards[id] =
    m_parts.m_client.Send(aEndpoint.m_address,
                          endpoint_protocol::FetchRequest(aArrival->m_checked.m_call.m_key),
                          limits,
                          std::move(handlers));
}

}
