#include <LibDispatch/CallerError.h>

#include <LibCore/JsonObjectReader.h>
#include <absl/strings/str_cat.h>
#include <array>

namespace auburnhitch {

namespace {

struct ErrorDescription
{
  ErrorCode m_code;
  const char* m_name;
  int m_status;
  const char* m_message;
};

constexpr std::array kErrors{
  ErrorDescription{ ErrorCode::BadRequest, "bad_request", 400, "the request is malformed" },
  ErrorDescription{ ErrorCode::UnknownPath, "unknown_path", 404, "there is no such path" },
  ErrorDescription{ ErrorCode::UnknownService, "unknown_service", 404, "no such service" },
  ErrorDescription{ ErrorCode::WrongKey, "wrong_key", 401, "the workspace key is not known" },
  ErrorDescription{ ErrorCode::UnknownKind, "unknown_kind", 400, "the service has no such kind" },
  ErrorDescription{ ErrorCode::TierNotAllowed,
                    "tier_not_allowed",
                    403,
                    "the workspace may not use this tier" },
  ErrorDescription{ ErrorCode::BadIdentity, "bad_identity", 400, "the identity is malformed" },
  ErrorDescription{ ErrorCode::IdentityExpired,
                    "identity_expired",
                    410,
                    "the identity's grant period is past" },
  ErrorDescription{ ErrorCode::IdentityReused,
                    "identity_reused",
                    422,
                    "the identity names a request with other content" },
  ErrorDescription{ ErrorCode::BadIdempotencyKey,
                    "bad_idempotency_key",
                    400,
                    "the idempotency key is not OFFSET-TEXT" },
  ErrorDescription{ ErrorCode::IdempotencyKeyExpired,
                    "idempotency_key_expired",
                    410,
                    "the idempotency key is older than the records that decide it" },
  ErrorDescription{ ErrorCode::IssuerUnavailable,
                    "issuer_gone",
                    502,
                    "the daemon that holds this request did not answer" },
  ErrorDescription{ ErrorCode::NoDocument, "no_document", 503, "this daemon has no documents yet" },
  ErrorDescription{ ErrorCode::NoEndpoint, "no_endpoint", 503, "no endpoint may receive work" },
  ErrorDescription{ ErrorCode::Overloaded, "overloaded", 503, "too much work is waiting" },
  ErrorDescription{ ErrorCode::Shed, "shed", 503, "gave way to work of a higher tier" },
  ErrorDescription{ ErrorCode::DeadlineUnreachable,
                    "deadline_unreachable",
                    503,
                    "the work ahead leaves no time before the deadline" },
  ErrorDescription{ ErrorCode::DeadlinePassed, "deadline_passed", 504, "the deadline passed" },
  ErrorDescription{ ErrorCode::Leaving, "leaving", 503, "this entry host is leaving" },
  ErrorDescription{ ErrorCode::LogUnavailable,
                    "log_unavailable",
                    503,
                    "the log service does not answer" },
  ErrorDescription{ ErrorCode::EndpointRefused,
                    "endpoint_refused",
                    503,
                    "the endpoint refused the request unstarted" },
  ErrorDescription{ ErrorCode::EndpointBroken,
                    "endpoint_broken",
                    502,
                    "the connection to the endpoint broke" },
  ErrorDescription{ ErrorCode::ResponseMismatched,
                    "answer_mismatched",
                    502,
                    "the endpoint answered another request" },
  ErrorDescription{ ErrorCode::ResponseNotCached,
                    "answer_not_kept",
                    410,
                    "the request is done and its answer is no longer kept" },
  ErrorDescription{ ErrorCode::Cancelled,
                    "cancelled",
                    409,
                    "the request was cancelled after its caller left" },
  ErrorDescription{ ErrorCode::CallerTooSlow,
                    "caller_too_slow",
                    408,
                    "the caller does not read its answer" },
};

const ErrorDescription&
DescriptionOf(ErrorCode aCode)
{
  for (const ErrorDescription& description : kErrors) {
    if (description.m_code == aCode) {
      return description;
    }
  }
  return kErrors.front();
}

// The Retry-After header is in whole seconds; the response body has milliseconds.
std::string
ToWholeSeconds(Milliseconds aDelay)
{
  constexpr std::int64_t kMillisecondsPerSecond = 1'000;
  return absl::StrCat((aDelay.count() + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond);
}

}

const char*
NameOf(ErrorCode aCode)
{
  return DescriptionOf(aCode).m_name;
}

ErrorCode
ErrorCodeFromName(absl::string_view aName)
{
  for (const ErrorDescription& description : kErrors) {
    if (aName == description.m_name) {
      return description.m_code;
    }
  }
  return ErrorCode::EndpointBroken;
}

int
HttpStatusOf(ErrorCode aCode)
{
  return DescriptionOf(aCode).m_status;
}

std::string
CallerError::ToJson() const
{
  const ErrorDescription& description = DescriptionOf(m_code);
  std::string message = description.m_message;
  if (!m_detail.empty()) {
    message += ": " + m_detail;
  }
  Json error{ { "code", description.m_name },
              { "message", message },
              { "type", "request_error" },
              { "outcome", NameOf(m_outcome) } };
  if (!m_identity.empty()) {
    error["identity"] = m_identity;
  }
  if (m_retry_after) {
    error["retry_after_ms"] = m_retry_after->count();
  }
  if (!m_use_instead.empty()) {
    error["use_instead"] = m_use_instead;
  }
  // A detail may quote the caller's request, which need not be valid UTF-8.
  return Json{ { "error", std::move(error) } }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void
ReplyWithError(HttpExchange& aExchange, const CallerError& aError)
{
  if (!aExchange.IsOpen()) {
    return;
  }
  if (aExchange.IsStreaming()) {
    aExchange.SendChunk("event: error\ndata: " + aError.ToJson() + "\n\n");
    aExchange.TruncateStream();
    return;
  }
  HttpHeaders fields{ { "Content-Type", "application/json" },
                      { headers::kOutcome, NameOf(aError.m_outcome) },
                      { headers::kErrorCode, NameOf(aError.m_code) } };
  if (!aError.m_identity.empty()) {
    fields.emplace_back(headers::kIdentity, aError.m_identity);
  }
  if (aError.m_retry_after) {
    fields.emplace_back("Retry-After", ToWholeSeconds(*aError.m_retry_after));
  }
  if (!aError.m_use_instead.empty()) {
    fields.emplace_back(headers::kUseInstead, aError.m_use_instead);
  }
  aExchange.Reply(HttpStatusOf(aError.m_code), fields, aError.ToJson());
}

void
ReplyWithResponse(HttpExchange& aExchange,
                  const std::string& aIdentity,
                  const CachedResponse& aResponse,
                  bool aIsReplayed)
{
  HttpHeaders fields = aResponse.m_headers;
  fields.emplace_back(headers::kIdentity, aIdentity);
  fields.emplace_back(headers::kOutcome, NameOf(Outcome::Done));
  if (aIsReplayed) {
    fields.emplace_back(headers::kReplayed, "true");
  }
  aExchange.Reply(aResponse.m_status, fields, aResponse.m_body);
}

}
