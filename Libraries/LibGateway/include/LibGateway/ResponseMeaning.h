#pragma once

#include <LibRegistry/EndpointRegistry.h>
#include <string>

namespace auburnhitch {

/// The request that a response has to answer, and the connection on which it arrived.
struct ExpectedResponse
{
  std::string m_request_id;
  /// The endpoint that the request names; empty if another daemon sends it to one.
  EndpointId m_endpoint;
  /// Whether the connection has carried other requests before. A refusal that names no request
  /// belongs to the only one that a new connection has carried; on a reused one it may belong to
  /// any of them.
  bool m_is_reused = false;

  auto operator<=>(const ExpectedResponse&) const = default;
};

/// What the head of an endpoint's response proves.
enum class ResponseMeaning
{
  Success,
  /// The endpoint ran the request and failed, or rejected it as invalid.
  Failure,
  /// The endpoint did not run the request and never will.
  NotRun,
  /// The response belongs to another request, or is a refusal of which nothing shows that it
  /// belongs to this one.
  Mismatched,
  /// The response names no request. No sound endpoint writes it.
  Unnamed,
  /// A success without the endpoint's seal. No sound endpoint writes it.
  Unsealed,
  /// The status says that the request has not run and the endpoint does not, or the other way
  /// round. No sound endpoint writes it.
  Contradictory,
  /// The body has a content coding, so that it is not the endpoint's. No sound endpoint writes it.
  Encoded,
};

/// The name of a meaning, for logs and metrics.
const char*
NameOf(ResponseMeaning aMeaning);

/// Whether what the response states about the endpoint itself counts: a sound endpoint has written
/// it, if perhaps for another request.
bool
ConcernsEndpoint(ResponseMeaning aMeaning);

}
