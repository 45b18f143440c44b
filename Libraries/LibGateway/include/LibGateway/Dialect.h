#pragma once

#include <LibGateway/ResponseMeaning.h>
#include <LibPlacement/EndpointNotice.h>
#include <LibPlacement/PromptPart.h>
#include <LibPlacement/SlotRequest.h>
#include <LibRelay/MessageParser.h>
#include <LibRouting/RoutingTable.h>
#include <absl/status/statusor.h>
#include <optional>
#include <string>

namespace auburnhitch {

/// The content of a caller's request head, independent of the header names of its protocol.
struct CallerRequestHead
{
  std::string m_request_id;
  std::string m_host;
  std::string m_path;
  /// Empty if the request has no key.
  std::string m_key;
  /// How long the caller waits for the response, if the request states it.
  std::optional<Milliseconds> m_max_wait;
  RequestWork m_work;
  /// The request in whose response the stream began that this request resumes; empty if it names
  /// none.
  std::string m_resumed_stream;
  /// The last event that the caller has of the stream; empty if it has none.
  std::string m_last_event_id;
  /// The parts of the prompt that other requests may share, in order. Without the last part, which
  /// belongs to this request alone.
  std::vector<PromptPart> m_prompt_parts;
  /// Tokens that count against a quota, if the request states them.
  std::optional<std::int64_t> m_quota_tokens;

  auto operator<=>(const CallerRequestHead&) const = default;
};

/// What the gateway sends to an endpoint in addition to the caller's header fields.
struct EndpointInstructions
{
  EndpointId m_endpoint;
  std::optional<WorkspaceName> m_workspace;
  Milliseconds m_time_left{ 0 };
  /// Id of the last event that the caller received, when a stream is resumed.
  std::optional<std::string> m_last_event_id;

  auto operator<=>(const EndpointInstructions&) const = default;
};

/// Translates between the HTTP headers and bodies of a platform's protocol and this project's
/// types. Implementations have no side effects and are thread-safe.
class Dialect
{
public:
  virtual ~Dialect() = default;

  /// Fails with InvalidArgument when the head cannot be understood.
  virtual absl::StatusOr<CallerRequestHead> Decode(const MessageHead& aHead) const = 0;
  /// The header fields of a request to an endpoint: the caller's, without those that only the
  /// system may set, and the instructions.
  virtual HttpHeaders EndpointHeaders(const MessageHead& aHead,
                                      const EndpointInstructions& aInstructions) const = 0;
  /// The header fields of a request that another daemon is to handle: the caller's, with the time
  /// that is left and, if given, the id of the last event that the caller received.
  virtual HttpHeaders PeerHeaders(const MessageHead& aHead,
                                  Milliseconds aTimeLeft,
                                  const std::optional<std::string>& aLastEventId) const = 0;
  /// The target of a GET request with which an endpoint states its state, at once and without a
  /// slot.
  virtual std::string EndpointStateTarget() const = 0;
  /// What the head of a response proves. Its status alone proves nothing: a faulty endpoint may
  /// write bytes that are no response to the request.
  virtual ResponseMeaning ClassifyResponse(const MessageHead& aResponse,
                                           const std::string& aRequestId) const = 0;
  /// What the endpoint states about itself in the head of a response.
  virtual EndpointNotice DecodeNotice(const MessageHead& aResponse) const = 0;
  /// The header fields of a response that the gateway itself generates.
  virtual HttpHeaders GatewayResponseHeaders(const std::string& aRequestId,
                                             std::optional<Milliseconds> aRetryAfter) const = 0;
  /// The JSON body that lists the addresses at which a caller can be served, with the time for
  /// which it may use them.
  virtual std::string DirectoryResponseBody(const std::vector<SocketAddress>& aAddresses,
                                            Milliseconds aLifetime) const = 0;
};

}
