#pragma once

#include <LibCore/StrongString.h>
#include <LibHttp/EventLoop.h>
#include <LibRelay/MessageParser.h>
#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburnhitch {

/// How a call ended.
enum class RelayCallEnd
{
  /// The complete response arrived, as its framing proves.
  Complete,
  /// The connection was closed in order after a response without a length, and the peer's host had
  /// acknowledged the whole request. The response may be truncated; only its content can show that.
  Closed,
  /// No byte of the request left this process.
  NotSent,
  /// The connection closed, failed or timed out after the request was written. The peer may have
  /// received the request.
  Broken,
  /// The received bytes are not a valid HTTP/1.1 response.
  Malformed,
};

/// The name of a call's end, for logs.
const char*
NameOf(RelayCallEnd aEnd);

/// How a call ended, whether its connection was reused, and the reason for logs.
struct RelayResult
{
  RelayCallEnd m_end = RelayCallEnd::Broken;
  bool m_was_reused = false;
  /// Whether something has accepted the connection, which it may have closed before the request was
  /// written.
  bool m_was_established = false;
  std::string m_reason;
};

struct RelayRequest
{
  std::string m_method = "GET";
  std::string m_target;
  HttpHeaders m_headers;
  std::string m_body;
};

struct RelayCallLimits
{
  Milliseconds m_connect_timeout{ 1'000 };
  /// Maximum time from the call of Send() to the end of the response.
  Milliseconds m_total_timeout{ 30'000 };
  std::size_t m_max_head_bytes = 16 << 10;
  /// Maximum time from the first byte of a response to the end of its head.
  Milliseconds m_head_timeout{ 1'000 };
  /// A response with a longer body is malformed.
  std::size_t m_max_body_bytes = SIZE_MAX;
  /// Whether the call may use an idle keep-alive connection. The peer may close such a connection
  /// while the request is being written; it is then not known whether the request was executed.
  bool m_may_reuse = true;
};

/// Callbacks of a call. They run from the event loop, never from inside Send(). m_on_end runs
/// exactly once, unless the call is abandoned before.
struct RelayCallHandlers
{
  std::function<void()> m_on_sent;
  std::function<void(const MessageHead& aHead)> m_on_head;
  std::function<void(std::string aBytes)> m_on_body;
  std::function<void(const RelayResult& aResult)> m_on_end;
};

class RelayClient;

/// A running call. Destroying it abandons the call: its connection is closed and no further
/// callback runs. Not thread-safe.
class RelayCall
{
public:
  ~RelayCall();
  RelayCall(const RelayCall&) = delete;
  RelayCall& operator=(const RelayCall&) = delete;

  /// Pauses reading the response, so that a receiver that is slower than the peer applies
  /// back-pressure.
  void PauseReading();
  void ResumeReading();

  /// Whether the connection of the call has carried others before.
  bool IsReused() const;
  /// Lets no other call use the connection after this one.
  void CloseAfterResponse();

  using HeadHandler = std::function<void(const MessageHead& aHead)>;
  /// Abandons the call, but still reads the head of a response that is on its way. The sending
  /// direction of the connection is closed at once, so that the peer stops, and the connection as
  /// a whole a moment later. aOnLateHead runs at most once, from the event loop, while the client
  /// exists. If the request has not left or its response has begun, the call is just abandoned.
  void Cancel(HeadHandler aOnLateHead);

private:
  friend class RelayClient;
  struct State;
  explicit RelayCall(std::shared_ptr<State> aState);

  std::shared_ptr<State> m_state;
};

/// Connection counters of a client.
struct RelayClientCounts
{
  std::uint64_t m_opened = 0;
  std::uint64_t m_reused = 0;
  std::size_t m_idle = 0;
  std::size_t m_active = 0;
};

/// Sends HTTP/1.1 requests to IP addresses, one at a time on each connection. A connection is kept
/// for reuse if its response was complete and properly framed. A request is written at most once.
/// Not thread-safe; the loop must outlive the client.
class RelayClient
{
public:
  /// aIdleLifetime: how long an idle connection is kept when the peer announces no Keep-Alive
  /// timeout.
  RelayClient(EventLoop& aLoop, Milliseconds aIdleLifetime, std::size_t aMaxIdlePerPeer);
  ~RelayClient();
  RelayClient(const RelayClient&) = delete;
  RelayClient& operator=(const RelayClient&) = delete;

  /// Starts a call. aPeer identifies the process that is expected at the address: a connection is
  /// reused only for the peer for which it was opened.
  std::unique_ptr<RelayCall> Send(const SocketAddress& aAddress,
                                  const std::string& aPeer,
                                  RelayRequest aRequest,
                                  const RelayCallLimits& aLimits,
                                  RelayCallHandlers aHandlers);

  /// Closes the idle connections to a peer.
  void CloseIdleConnections(const std::string& aPeer);

  RelayClientCounts Counts() const;

private:
  friend class RelayCall;
  struct Pool;

  std::shared_ptr<Pool> m_pool;
};

}
