#pragma once

#include <LibCore/StrongString.h>
#include <LibHttp/EventLoop.h>
#include <LibRelay/MemoryBudget.h>
#include <LibRelay/RelayExchange.h>
#include <absl/container/flat_hash_set.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <memory>

struct evconnlistener;
struct sockaddr;

namespace auburnhitch {

/// Limits of one listening port and of its connections.
struct RelayServerLimits
{
  std::size_t m_max_head_bytes = 16 << 10;
  std::size_t m_max_body_bytes = 4 << 20;
  /// Beyond it, a connection that is idle or sending its request is closed, see
  /// ConnectionToClose(); a new one is refused if there is none.
  std::size_t m_max_connections = 2'000;
  /// Maximum time from the first byte of a request to the end of its head.
  Milliseconds m_head_timeout{ 3'000 };
  /// Maximum time for which a connection may stay open without a request.
  Milliseconds m_idle_timeout{ 15'000 };
  /// Maximum time for which a caller may take no byte of a response in progress while there are
  /// some for it. Then its connection is closed, so that the response does not hold a slot of its
  /// endpoint. Endpoints cut a response that stays unread for some seconds.
  Milliseconds m_max_unread_time{ 4'000 };

  bool operator==(const RelayServerLimits&) const = default;
};

/// An HTTP/1.1 server on one address. The handler is called when a request has been received
/// completely; the response may be streamed. Not thread-safe.
class RelayServer
{
public:
  using Handler = std::function<void(const RelayExchangePtr&)>;
  /// Decides by the head of a request whether it is refused. Returns what responds to the request,
  /// or nothing if its body is to be received.
  using HeadCheck = std::function<Handler(const MessageHead&)>;

  /// Binds and listens. Fails with Unavailable when the socket cannot be bound to the address. The
  /// budget may be shared with other servers; while it is exceeded, requests that are being
  /// received, and complete ones that hold more than their share of it, are refused with 503, and
  /// connections whose peers read nothing closed. Precondition: the loop and the budget outlive the
  /// server.
  static absl::StatusOr<std::unique_ptr<RelayServer>> Create(EventLoop& aLoop,
                                                             const SocketAddress& aAddress,
                                                             const RelayServerLimits& aLimits,
                                                             MemoryBudget& aMemory,
                                                             Handler aHandler);
  ~RelayServer();
  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

  /// Sets the check for requests whose head has arrived and whose body has not. It must respond at
  /// once if it refuses. The rest of the body is discarded, up to the limit of a body and for the
  /// idle timeout at most, then not read; the connection closes.
  void SetHeadCheck(HeadCheck aCheck) { m_head_check = std::move(aCheck); }
  void SetLimits(const RelayServerLimits& aLimits) { m_limits = aLimits; }
  /// Closes each connection after its response in progress or its next one. Responses that start
  /// from now on carry "Connection: close".
  void CloseAfterResponses() { m_close_after_responses = true; }
  /// Receives no further bytes of the requests that are incomplete. Calls the function with what
  /// has arrived of each; it must respond. The head is empty if it is incomplete itself. The
  /// connections close after these responses.
  void EndReceiving(const Handler& aRespond);
  /// Number of requests that were refused before they were handled because the memory budget was
  /// exceeded.
  std::uint64_t RefusedForMemory() const { return m_refused_for_memory; }
  /// Number of connections that were closed for the memory budget because their peers read nothing.
  std::uint64_t ClosedForMemory() const { return m_closed_for_memory; }
  /// Number of connections that were closed so that new ones could be accepted.
  std::uint64_t ClosedForRoom() const { return m_closed_for_room; }
  /// Number of connections that were closed because their peers read nothing of a response in
  /// progress.
  std::uint64_t ClosedUnread() const { return m_closed_unread; }
  std::size_t ConnectionCount() const { return m_connections.size(); }
  /// Number of connections that are receiving a request, have a request without a complete
  /// response, or wait for the peer to read the last one and close.
  std::size_t BusyCount() const;

private:
  friend class RelayConnection;

  RelayServer(EventLoop& aLoop,
              const RelayServerLimits& aLimits,
              MemoryBudget& aMemory,
              Handler aHandler);

  static void OnAccept(evconnlistener*, int aSocket, sockaddr* aPeer, int, void* aServer);
  void RemoveConnection(RelayConnection* aConnection);
  void Sweep();
  /// Closes a connection that is idle or sending its request. Returns whether there was one.
  bool CloseOneWithoutRequest();

  EventLoop& m_loop;
  RelayServerLimits m_limits;
  MemoryBudget& m_memory;
  Handler m_handler;
  HeadCheck m_head_check;
  evconnlistener* m_listener = nullptr;
  absl::flat_hash_set<RelayConnection*> m_connections;
  bool m_close_after_responses = false;
  std::uint64_t m_refused_for_memory = 0;
  std::uint64_t m_closed_for_memory = 0;
  std::uint64_t m_closed_for_room = 0;
  std::uint64_t m_closed_unread = 0;
  std::unique_ptr<Timer> m_sweep;
};

}
