#pragma once

#include <LibDispatch/EndpointProtocol.h>
#include <LibDispatch/EventStreamParser.h>
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpExchange.h>
#include <absl/strings/string_view.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace auburnhitch {

/// How a relayed stream ended.
struct RelayEnd
{
  AttemptEnd m_end = AttemptEnd::Unknown;
  ErrorCode m_code = ErrorCode::EndpointBroken;
  /// A response that was not an event stream, such as the endpoint's own error.
  CachedResponsePtr m_response;
  /// All header fields of that response.
  HttpHeaders m_response_headers;
  /// For how long the endpoint wants no further requests.
  Milliseconds m_rest{ 0 };
  /// Time from the start of the relay to the first event, if there was one.
  std::optional<Duration> m_time_to_first_event;
};

/// Relays one event stream from its source to one caller, each event once and in order. A stream
/// that breaks is resumed at the engine that runs it; the request is never started again.
/// If the caller disconnects, the stream is still read to its end. Not thread-safe.
class StreamRelay : public std::enable_shared_from_this<StreamRelay>
{
public:
  struct Source
  {
    /// Where the stream is first requested: an engine, or the daemon that issued the identity.
    SocketAddress m_address;
    HttpRequest m_request;
    /// Where a broken stream is resumed, or nothing if it can't be resumed.
    std::optional<SocketAddress> m_resume_address;
    /// Optional. Maps the resume token in the source's response headers to the address at which the
    /// stream can be resumed.
    std::function<std::optional<SocketAddress>(absl::string_view)> m_resolve_token;
    /// Whether responses carry a request id, which must match that of the request.
    bool m_checks_request_id = true;
  };

  struct Target
  {
    HttpExchangePtr m_exchange;
    /// The last event that the caller has received already; later ones are relayed.
    std::int64_t m_after_event = 0;
    HttpHeaders m_headers;
  };

  using EndHandler = std::function<void(const RelayEnd&)>;

  /// Precondition: the loop and the client outlive the relay.
  static std::shared_ptr<StreamRelay> Create(EventLoop& aLoop,
                                             HttpClient& aClient,
                                             RequestKey aKey,
                                             TimePoint aDeadline,
                                             Source aSource,
                                             Target aTarget,
                                             EndHandler aOnEnd);

  /// Requests the stream from the source. The end handler runs later, exactly once.
  void Start();
  /// Stops without calling the end handler.
  void Abandon();
  bool AnyByteSent() const { return m_any_byte_sent || (m_call && m_call->AnyByteSent()); }

private:
  StreamRelay(EventLoop& aLoop,
              HttpClient& aClient,
              RequestKey aKey,
              TimePoint aDeadline,
              Source aSource,
              Target aTarget,
              EndHandler aOnEnd);

  void SendRequest(const SocketAddress& aAddress, const HttpRequest& aRequest);
  void OnHeaders(int aStatus, const HttpHeaders& aHeaders);
  void OnBytes(absl::string_view aBytes);
  void OnEvent(const StreamEvent& aEvent);
  void OnCallEnd(const HttpOutcome& aOutcome);
  void OnNonStreamResponse(const HttpOutcome& aOutcome);
  void ResumeOrFail(ErrorCode aCode);
  RelayEnd End(AttemptEnd aEnd, ErrorCode aCode) const;
  void Finish(const RelayEnd& aEnd);

  EventLoop& m_loop;
  HttpClient& m_client;
  RequestKey m_key;
  TimePoint m_deadline;
  Source m_source;
  Target m_target;
  EndHandler m_on_end;
  EventStreamParser m_parser;
  std::unique_ptr<HttpCall> m_call;
  std::unique_ptr<Timer> m_retry;
  TimePoint m_started;
  std::int64_t m_last_event = 0;
  std::string m_non_stream_body;
  int m_resume_attempts = 0;
  bool m_is_event_stream = false;
  bool m_is_mismatched = false;
  bool m_is_broken = false;
  bool m_any_byte_sent = false;
  bool m_is_finished = false;
  std::optional<Duration> m_time_to_first_event;
};

}
