#pragma once

#include <LibClaims/ClaimTable.h>
#include <LibDispatch/CallerError.h>
#include <LibDispatch/Dispatcher.h>
#include <LibDocument/ServiceDocument.h>
#include <LibHttp/HttpExchange.h>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace auburnhitch {

/// The relevant parts of an HTTP request, as the caller sent them.
struct RawCallerRequest
{
  std::string m_method;
  std::string m_path;
  std::string m_authorization;
  std::string m_identity;
  std::string m_idempotency_key;
  std::string m_kind;
  std::string m_tier;
  std::string m_deadline_ms;
  std::string m_last_event_id;
  std::string m_resume_token;
  std::string m_content_type;
  std::string m_body;

  auto operator<=>(const RawCallerRequest&) const = default;

  /// Copies the relevant parts of an exchange's request.
  static RawCallerRequest From(const HttpExchange& aExchange);
};

/// A request that has been authenticated and validated against its service's document.
struct CheckedCallerRequest
{
  /// Complete except for the identity.
  DispatchRequest m_dispatch_request;
  std::optional<RequestIdentity> m_identity;
  std::optional<IdempotencyKey> m_key;
  std::int64_t m_after_event = 0;
  /// The endpoint that the caller's resume token names.
  HostName m_resume_host;
};

using DocumentLookup = std::function<const HeldDocument*(const ServiceName&)>;

/// Checks a request against the document of its service. Pure: opens and sends nothing.
/// An error's outcome is NotRun only if the request names no earlier one, by an identity or an
/// idempotency key; otherwise that one may have run, and the outcome is Unknown.
std::variant<CheckedCallerRequest, CallerError>
CheckCallerRequest(const RawCallerRequest& aRaw, const DocumentLookup& aDocuments, TimePoint aNow);

}
