#pragma once

namespace auburnhitch {

/// What the head of an endpoint's response proves.
enum class ResponseMeaning
{
  Success,
  /// The endpoint ran the request and failed, or rejected it as invalid.
  Failure,
  /// The endpoint did not run the request and never will.
  NotRun,
  /// The response belongs to another request.
  Mismatched,
  /// The response names no request. Endpoints that keep to the protocol never write this, nor any
  /// of the following.
  Unnamed,
  /// A success without the endpoint's signature.
  Unsigned,
  /// Status and header fields disagree on whether the request has run.
  Contradictory,
  /// The body has a content coding, so that it is not the endpoint's.
  Encoded,
};

/// The name of a meaning, for logs and metrics. Thread-safe.
const char*
NameOf(ResponseMeaning aMeaning);

/// Whether an endpoint has written the response, possibly to another request, so that what it
/// states about itself counts. Thread-safe.
bool
IsFromEndpoint(ResponseMeaning aMeaning);

}
