#pragma once

#include <LibCore/StrongString.h>
#include <LibHttp/EventLoop.h>
#include <LibRelay/MessageParser.h>
#include <absl/container/flat_hash_map.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburnhitch {

/// How a call ended.
enum class RelayCallEnd
{
  /// The whole answer arrived, proved by its framing.
  Complete,
  /// No byte of the request left this process.
  NotSent,
  /// The connection ended or went silent; the request may have arrived.
  Broken,
  /// What arrived is no answer in the protocol.
  Malformed,
};

/// The name of an end, for logs.
const char*
NameOf(RelayCallEnd aEnd);

/// The end of a call and what is known of its connection.
struct RelayResult
{
  RelayCallEnd m_end = RelayCallEnd::Broken;
  bool m_was_reused = false;
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
  /// Longest time from the call to the end of its answer.
  Milliseconds m_total_timeout{ 30'000 };
  std::size_t m_max_head_bytes = 16 << 10;
  /// Whether a kept connection may carry the call. The peer may close a kept connection at the
  /// moment of the write, after which nothing proves that the request was not run.
  bool m_may_reuse = true;
};

/// What a call reports, always from the loop and never from inside Send(). The end is reported
/// exactly once, unless the call is abandoned before.
struct RelayCallHandlers
{
  std::function<void()> m_on_sent;
  std::function<void(const MessageHead& aHead)> m_on_head;
  std::function<void(std::string aBytes)> m_on_body;
  std::function<void(const RelayResult& aResult)> m_on_end;
};

class RelayClient;

/// A running call. Destroying it abandons the call: its connection is closed and nothing more is
/// reported. Not thread-safe.
class RelayCall
{
public:
  ~RelayCall();
  RelayCall(const RelayCall&) = delete;
  RelayCall& operator=(const RelayCall&) = delete;

  /// Stops and restarts reading the answer, for a receiver that is slower than the sender.
  void PauseReading();
  void ResumeReading();

private:
  friend class RelayClient;
  struct State;
  explicit RelayCall(std::shared_ptr<State> aState);

  std::shared_ptr<State> m_state;
};

/// Counts of a client's connections.
struct RelayClientCounts
{
  std::uint64_t m_opened = 0;
  std::uint64_t m_reused = 0;
  std::size_t m_idle = 0;
  std::size_t m_active = 0;
};

/// Sends HTTP/1.1 requests to IP numbers, one at a time on each connection, and keeps connections
/// whose answers were whole and well framed. A request is written at most once. Not thread-safe;
/// the loop must outlive the client.
class RelayClient
{
public:
  /// aIdleLifetime: how long a connection is kept when the peer does not say for how long it does.
  RelayClient(EventLoop& aLoop, Milliseconds aIdleLifetime, std::size_t aMaxIdlePerPeer);
  ~RelayClient();
  RelayClient(const RelayClient&) = delete;
  RelayClient& operator=(const RelayClient&) = delete;

  /// Starts a call. aPeer names who is expected at the address: a connection is only reused for
  /// the peer for which it was opened.
  std::unique_ptr<RelayCall> Send(const SocketAddress& aAddress,
                                  const std::string& aPeer,
                                  RelayRequest aRequest,
                                  const RelayCallLimits& aLimits,
                                  RelayCallHandlers aHandlers);

  /// Closes the kept connections of a peer.
  void CloseIdleConnections(const std::string& aPeer);

  RelayClientCounts Counts() const;

private:
  friend class RelayCall;
  struct Pool;

  std::shared_ptr<Pool> m_pool;
};

}
