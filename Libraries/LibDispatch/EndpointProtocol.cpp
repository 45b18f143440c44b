#include <LibDispatch/EndpointProtocol.h>

#include <LibCore/RetryAfter.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>
#include <algorithm>

namespace auburnhitch::endpoint_protocol {

namespace {

constexpr int kServiceUnavailable = 503;

}

HttpRequest
WithRequestId(const HttpRequest& aRequest, const RequestKey& aKey)
{
  HttpRequest request = aRequest;
  request.m_headers.emplace_back(headers::kRequestId, aKey.ToString());
  request.m_headers.emplace_back(headers::kWorkspace, aKey.m_workspace.Value());
  return request;
}

HttpRequest
ResumeRequest(const RequestKey& aKey, std::int64_t aAfterEvent)
{
  // Requests the last received event again: if nothing follows it, it shows whether the stream
  // ended.
  const std::int64_t after = std::max<std::int64_t>(0, aAfterEvent - 1);
  HttpRequest request;
  request.m_path = "/v1/requests/" + aKey.ToString();
  request.m_headers = { { "Accept", "text/event-stream" },
                        { headers::kRequestId, aKey.ToString() },
                        { headers::kLastEventId, absl::StrCat(after) } };
  return request;
}

HttpRequest
FetchRequest(const RequestKey& aKey)
{
  HttpRequest request;
  request.m_path = "/v1/requests/" + aKey.ToString();
  request.m_headers = { { "Accept", "application/json" },
                        { headers::kRequestId, aKey.ToString() } };
  return request;
}

HttpRequest
CancelRequest(const RequestKey& aKey)
{
  HttpRequest request;
  request.m_method = "DELETE";
  request.m_path = "/v1/requests/" + aKey.ToString();
  return request;
}

bool
IsResponseTo(const RequestKey& aKey, const Endpoint& aEndpoint, const HttpHeaders& aHeaders)
{
  return !aEndpoint.m_echoes_identity ||
         FindHeader(aHeaders, headers::kRequestId) == aKey.ToString();
}

bool
IsRefusedBeforeStart(int aStatus, const HttpHeaders& aHeaders)
{
  constexpr int kTooManyRequests = 429;
  return (aStatus == kTooManyRequests || aStatus == kServiceUnavailable) &&
         FindHeader(aHeaders, headers::kOutcome) == NameOf(Outcome::NotRun);
}

Milliseconds
RestAfterRefusal(int aStatus, const HttpHeaders& aHeaders)
{
  return aStatus == kServiceUnavailable && IsRefusedBeforeStart(aStatus, aHeaders)
           ? ParseRetryAfter(FindHeader(aHeaders, "Retry-After")).value_or(Milliseconds(0))
           : Milliseconds(0);
}

CachedResponse
ToResponse(const HttpOutcome& aOutcome)
{
  CachedResponse response;
  response.m_status = aOutcome.m_status;
  response.m_body = aOutcome.m_body;
  const absl::string_view type = FindHeader(aOutcome.m_headers, "Content-Type");
  if (!type.empty()) {
    response.m_headers.emplace_back("Content-Type", std::string(type));
  }
  return response;
}

}
