#pragma once

#include <LibDispatch/CallerError.h>
#include <LibDocument/ServiceDocument.h>
#include <LibHttp/HttpClient.h>
#include <LibLedger/RequestIdentity.h>
#include <cstdint>
#include <string>

namespace auburnhitch {

/// How an attempt at an endpoint ended.
enum class AttemptEnd
{
  /// The complete response arrived.
  Done,
  /// No byte of the request was written to the endpoint.
  NothingSent,
  /// The endpoint reported that it did not start the request.
  RefusedBeforeStart,
  /// The request may have run.
  Unknown,
};

/// Builds requests to endpoints and classifies their responses.
namespace endpoint_protocol {

/// Adds the headers that identify the request to the endpoint: its id and its workspace.
HttpRequest
WithRequestId(const HttpRequest& aRequest, const RequestKey& aKey);

/// Requests the stream of an earlier request from after an event. Never starts the request.
HttpRequest
ResumeRequest(const RequestKey& aKey, std::int64_t aAfterEvent);

/// Requests the complete response to an earlier request. Never starts the request.
HttpRequest
FetchRequest(const RequestKey& aKey);

/// Cancels an earlier request.
HttpRequest
CancelRequest(const RequestKey& aKey);

/// Whether a response belongs to the request, and is not a late or duplicate response to another
/// one. Always true for an endpoint that does not echo request ids.
bool
IsResponseTo(const RequestKey& aKey, const Endpoint& aEndpoint, const HttpHeaders& aHeaders);

/// Whether a response states that the endpoint did not start the request.
bool
IsRefusedBeforeStart(int aStatus, const HttpHeaders& aHeaders);

/// For how long the endpoint wants no further requests of this daemon, as it states in such a
/// response with status 503; zero if it does not say so.
Milliseconds
RestAfterRefusal(int aStatus, const HttpHeaders& aHeaders);

/// The response as it is forwarded to callers.
CachedResponse
ToResponse(const HttpOutcome& aOutcome);

}

}
