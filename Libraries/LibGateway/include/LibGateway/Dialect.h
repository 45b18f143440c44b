#pragma once

#include <LibPlacement/SlotRequest.h>
#include <LibRelay/MessageParser.h>
#include <LibRouting/RoutingTable.h>
#include <absl/status/statusor.h>
#include <optional>
#include <string>

namespace auburnhitch {

/// What a caller's request says, whatever names its protocol gives to it.
struct CallerRequestHead
{
  std::string m_request_id;
  std::string m_host;
  std::string m_path;
  /// Empty when there is none.
  std::string m_key;
  /// How long the caller waits, if it says so.
  std::optional<Milliseconds> m_max_wait;
  RequestWork m_work;
  /// Tokens that count against a quota, if it says so.
  std::optional<std::int64_t> m_quota_tokens;

  auto operator<=>(const CallerRequestHead&) const = default;
};

/// What is told to an endpoint beside the caller's own words.
struct EndpointInstructions
{
  EndpointId m_endpoint;
  std::optional<WorkspaceName> m_workspace;
  Milliseconds m_time_left{ 0 };
  /// The last event that the caller has, for an answer that goes on.
  std::optional<std::string> m_last_event_id;

  auto operator<=>(const EndpointInstructions&) const = default;
};

/// What the head of an endpoint's answer proves.
enum class ResponseMeaning
{
  Success,
  /// The endpoint ran the request and failed, or says that the request is wrong.
  Failure,
  /// The endpoint did not run the request and never will.
  NotRun,
  /// It answers another request.
  Mismatched,
};

/// Translates between the protocol of callers and endpoints and the words of this project.
/// Implementations are pure and thread-safe.
class Dialect
{
public:
  virtual ~Dialect() = default;

  /// Fails with InvalidArgument when the head cannot be understood.
  virtual absl::StatusOr<CallerRequestHead> Decode(const MessageHead& aHead) const = 0;
  /// The header fields with which a request goes to an endpoint: the caller's, without those that
  /// are the system's to set, and the instructions.
  virtual HttpHeaders EndpointHeaders(const MessageHead& aHead,
                                      const EndpointInstructions& aInstructions) const = 0;
  virtual ResponseMeaning ClassifyResponse(const MessageHead& aAnswer,
                                           const std::string& aRequestId) const = 0;
  /// The header fields with which an answer of this system's own goes to the caller.
  virtual HttpHeaders GatewayResponseHeaders(const std::string& aRequestId,
                                             std::optional<Milliseconds> aRetryAfter) const = 0;
  /// The JSON body that tells a caller at which addresses it can be served, and for how long it may
  /// use them.
  virtual std::string DirectoryResponseBody(const std::vector<SocketAddress>& aAddresses,
                                            Milliseconds aLifetime) const = 0;
};

}
