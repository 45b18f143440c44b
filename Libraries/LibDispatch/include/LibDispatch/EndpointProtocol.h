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
  /// The whole answer arrived.
  Done,
  /// Not one byte was written to the endpoint.
  NothingSent,
  /// The endpoint itself said that it did not start the request.
  RefusedBeforeStart,
  /// It may have run.
  Unknown,
};

/// Builds what is sent to endpoints and judges what comes back.
namespace endpoint_protocol {

/// The request under the name by which the endpoint knows it.
HttpRequest
WithRequestId(const HttpRequest& aRequest, const RequestKey& aKey);

/// Takes up the stream of a request after an event. Never starts the request.
HttpRequest
ResumeRequest(const RequestKey& aKey, std::int64_t aAfterEvent);

/// Asks for the whole answer of a request that was sent before. Never starts the request.
HttpRequest
FetchRequest(const RequestKey& aKey);

/// Gives up a request that was sent before.
HttpRequest
CancelRequest(const RequestKey& aKey);

/// Whether an answer belongs to the request: late and doubled answers of others do not.
bool
IsResponseTo(const RequestKey& aKey, const Endpoint& aEndpoint, const HttpHeaders& aHeaders);

/// Whether an answer says that the endpoint did not start the request.
bool
IsRefusedBeforeStart(int aStatus, const HttpHeaders& aHeaders);

/// The answer as it is passed on to callers.
CachedResponse
ToResponse(const HttpOutcome& aOutcome);

}

}
