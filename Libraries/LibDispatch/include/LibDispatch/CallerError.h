#pragma once

#include <LibCore/Time.h>
#include <LibHttp/HttpExchange.h>
#include <LibLedger/Ledger.h>
#include <absl/strings/string_view.h>
#include <optional>
#include <string>

namespace auburnhitch {

/// The errors that a caller can receive instead of a response. docs/PROTOCOLS.md states how a
/// caller should react to each.
enum class ErrorCode
{
  BadRequest,
  UnknownPath,
  UnknownService,
  WrongKey,
  UnknownKind,
  TierNotAllowed,
  BadIdentity,
  IdentityExpired,
  IdentityReused,
  BadIdempotencyKey,
  IdempotencyKeyExpired,
  IssuerUnavailable,
  NoDocument,
  NoEndpoint,
  Overloaded,
  Shed,
  DeadlineUnreachable,
  DeadlinePassed,
  Leaving,
  LogUnavailable,
  EndpointRefused,
  EndpointBroken,
  ResponseMismatched,
  ResponseNotCached,
  Cancelled,
  CallerTooSlow,
};

/// The stable name of a code, as written in responses, such as "wrong_key".
const char*
NameOf(ErrorCode aCode);
/// The code with this name, or EndpointBroken if the name is unknown.
ErrorCode
ErrorCodeFromName(absl::string_view aName);
int
HttpStatusOf(ErrorCode aCode);

/// An error response to a caller.
struct CallerError
{
  ErrorCode m_code = ErrorCode::BadRequest;
  Outcome m_outcome = Outcome::Unknown;
  /// What is wrong with this particular request, appended to the code's general message. May be
  /// empty.
  std::string m_detail;
  /// Empty if the request has no identity yet.
  std::string m_identity;
  std::optional<Milliseconds> m_retry_after;
  /// Another entry host to use, if this one is draining.
  std::string m_use_instead;

  std::string ToJson() const;
};

namespace headers {
constexpr const char* kIdentity = "X-Request-Identity";
constexpr const char* kOutcome = "X-Request-Outcome";
constexpr const char* kErrorCode = "X-Error-Code";
constexpr const char* kKind = "X-Request-Kind";
constexpr const char* kTier = "X-Request-Tier";
constexpr const char* kDeadline = "X-Request-Deadline-Ms";
constexpr const char* kResumeToken = "X-Resume-Token";
constexpr const char* kReplayed = "X-Request-Replayed";
constexpr const char* kRequestId = "X-Request-Id";
constexpr const char* kLastEventId = "Last-Event-ID";
constexpr const char* kIdempotencyKey = "Idempotency-Key";
constexpr const char* kWorkspace = "X-Workspace";
constexpr const char* kUseInstead = "X-Use-Instead";
}

/// Sends an error as the complete response, or as the last event of a stream that has begun. Such a
/// stream ends without "[DONE]" and without the last chunk of its transfer coding.
void
ReplyWithError(HttpExchange& aExchange, const CallerError& aError);

/// Sends a complete, non-streaming response.
void
ReplyWithResponse(HttpExchange& aExchange,
                  const std::string& aIdentity,
                  const CachedResponse& aResponse,
                  bool aIsReplayed);

}
