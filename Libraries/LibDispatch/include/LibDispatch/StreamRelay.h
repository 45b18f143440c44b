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

/// The end of a relayed stream.
struct RelayEnd
{
  AttemptEnd m_end = AttemptEnd::Unknown;
  ErrorCode m_code = ErrorCode::EndpointBroken;
  /// An answer that was not a stream, such as the endpoint's own error.
  CachedResponsePtr m_response;
  /// Header fields of that answer.
  HttpHeaders m_response_headers;
  /// Time from the start to the first event, if there was one.
  std::optional<Duration> m_time_to_first_event;
};

/// Relays one event stream from its source to one caller, each event once and in order. A stream
/// that breaks is taken up again at the engine that runs it; it is never started again.
/// The caller may vanish: the stream is then read to its end for nobody. Not thread-safe.
class StreamRelay : public std::enable_shared_from_this<StreamRelay>
{
public:
  struct Source
  {
    /// Where the stream is first asked for: an engine, or the daemon that issued the identity.
    SocketAddress m_address;
    HttpRequest m_request;
    /// Where a broken stream is taken up again; nothing if it can't be.
    std::optional<SocketAddress> m_resume_address;
    /// Optional. Finds where to take the stream up again from the token in its source's headers.
    std::function<std::optional<SocketAddress>(absl::string_view)> m_resolve_token;
    /// Whether answers carry the request's id and must match it.
    bool m_checks_request_id = true;
  };

  struct Target
  {
    HttpExchangePtr m_exchange;
    /// The last event that the caller has already; it gets those after it.
    std::int64_t m_after_event = 0;
    HttpHeaders m_headers;
  };

  using EndHandler = std::function<void(const RelayEnd&)>;

  /// Precondition: loop and client outlive the relay.
  static std::shared_ptr<StreamRelay> Create(EventLoop& aLoop,
                                             HttpClient& aClient,
                                             RequestKey aKey,
                                             TimePoint aDeadline,
                                             Source aSource,
                                             Target aTarget,
                                             EndHandler aOnEnd);

  /// Asks the source for the stream. The end handler runs later, exactly once.
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
