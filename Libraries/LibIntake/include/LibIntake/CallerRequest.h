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

/// The parts of an HTTP request that matter, as the caller sent them.
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

  /// Copies what is needed out of an exchange.
  static RawCallerRequest From(const HttpExchange& aExchange);
};

/// A request whose sender, rules and form were checked.
struct CheckedCallerRequest
{
  /// Complete but for the identity.
  DispatchRequest m_dispatch_request;
  std::optional<RequestIdentity> m_identity;
  std::optional<IdempotencyKey> m_key;
  std::int64_t m_after_event = 0;
  /// The endpoint that the caller's resume token names.
  HostName m_resume_host;
};

using DocumentLookup = std::function<const HeldDocument*(const ServiceName&)>;

/// Checks a request against the document of its service. Pure: opens nothing, sends nothing.
/// An error's outcome is NotRun only if the request named no earlier one.
std::variant<CheckedCallerRequest, CallerError>
CheckCallerRequest(const RawCallerRequest& aRaw, const DocumentLookup& aDocuments, TimePoint aNow);

}
