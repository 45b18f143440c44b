#include <LibGateway/ForwardedRequest.h>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <array>
#include <utility>

namespace auburnhitch {

namespace {

constexpr absl::string_view kFieldPrefix = "auburnhitch-";
constexpr absl::string_view kForwarded = "Auburnhitch-Forwarded";
constexpr absl::string_view kStream = "Auburnhitch-Stream";
constexpr absl::string_view kConfigurationVersion = "Auburnhitch-Configuration-Version";
constexpr absl::string_view kOutcome = "Auburnhitch-Outcome";
constexpr absl::string_view kRetryAfterMs = "Auburnhitch-Retry-After-Ms";
constexpr absl::string_view kEndpoint = "Auburnhitch-Endpoint";
constexpr absl::string_view kEndpointStartedAtMs = "Auburnhitch-Endpoint-Started-At-Ms";

constexpr std::array kOutcomeNames{
  std::pair{ ForwardedOutcome::NotRun, "not-run" },
  std::pair{ ForwardedOutcome::TryAnother, "try-another" },
  std::pair{ ForwardedOutcome::Unknown, "unknown" },
};

}

const char*
NameOf(ForwardedOutcome aOutcome)
{
  for (const auto& [outcome, name] : kOutcomeNames) {
    if (outcome == aOutcome) {
      return name;
    }
  }
  return "unknown";
}

void
AppendForwardedRequest(const ForwardedRequest& aRequest, HttpHeaders& aHeaders)
{
  aHeaders.emplace_back(std::string(kForwarded), "1");
  aHeaders.emplace_back(std::string(kConfigurationVersion),
                        std::to_string(aRequest.m_configuration_version));
  if (!aRequest.m_stream.empty()) {
    aHeaders.emplace_back(std::string(kStream), aRequest.m_stream);
  }
}

std::optional<ForwardedRequest>
ParseForwardedRequest(const HttpHeaders& aHeaders)
{
  if (FindHeader(aHeaders, kForwarded).empty()) {
    return std::nullopt;
  }
  ForwardedRequest request{ std::string(FindHeader(aHeaders, kStream)) };
  if (!absl::SimpleAtoi(FindHeader(aHeaders, kConfigurationVersion),
                        &request.m_configuration_version)) {
    request.m_configuration_version = 0;
  }
  return request;
}

void
AppendForwardedReply(const ForwardedReply& aReply, HttpHeaders& aHeaders)
{
  aHeaders.emplace_back(std::string(kOutcome), NameOf(aReply.m_outcome));
  if (aReply.m_retry_after) {
    aHeaders.emplace_back(std::string(kRetryAfterMs),
                          std::to_string(aReply.m_retry_after->count()));
  }
}

std::optional<ForwardedReply>
ParseForwardedReply(const HttpHeaders& aHeaders)
{
  const absl::string_view stated = FindHeader(aHeaders, kOutcome);
  if (stated.empty()) {
    return std::nullopt;
  }
  // An outcome that this version does not know proves nothing.
  ForwardedReply reply;
  for (const auto& [outcome, name] : kOutcomeNames) {
    if (stated == name) {
      reply.m_outcome = outcome;
    }
  }
  std::int64_t retry_after_ms = 0;
  if (absl::SimpleAtoi(FindHeader(aHeaders, kRetryAfterMs), &retry_after_ms) &&
      retry_after_ms >= 0) {
    reply.m_retry_after = Milliseconds(retry_after_ms);
  }
  return reply;
}

void
AppendForwardedEndpoint(const EndpointIncarnation& aEndpoint, HttpHeaders& aHeaders)
{
  aHeaders.emplace_back(std::string(kEndpoint), aEndpoint.m_id.Value());
  aHeaders.emplace_back(std::string(kEndpointStartedAtMs),
                        std::to_string(aEndpoint.m_started_at_ms));
}

std::optional<EndpointIncarnation>
ParseForwardedEndpoint(const HttpHeaders& aHeaders)
{
  const absl::string_view id = FindHeader(aHeaders, kEndpoint);
  std::int64_t started_at_ms = 0;
  if (id.empty() || !absl::SimpleAtoi(FindHeader(aHeaders, kEndpointStartedAtMs), &started_at_ms) ||
      started_at_ms < 0) {
    return std::nullopt;
  }
  return EndpointIncarnation{ EndpointId(std::string(id)), started_at_ms };
}

bool
IsForwardingField(const std::string& aLowerName)
{
  return absl::StartsWith(aLowerName, kFieldPrefix);
}

}
