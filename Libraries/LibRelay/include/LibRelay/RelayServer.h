#pragma once

#include <LibCore/StrongString.h>
#include <LibHttp/EventLoop.h>
#include <LibRelay/RelayExchange.h>
#include <absl/container/flat_hash_set.h>
#include <absl/status/statusor.h>
#include <functional>
#include <memory>

struct evconnlistener;
struct sockaddr;

namespace auburnhitch {

/// What one listening port grants to those who connect.
struct RelayServerLimits
{
  std::size_t m_max_head_bytes = 16 << 10;
  std::size_t m_max_body_bytes = 4 << 20;
  std::size_t m_max_connections = 2'000;
  /// Longest time from a request's first byte to the end of its head.
  Milliseconds m_head_timeout{ 3'000 };
  /// Longest time for which a connection may stay open without a request.
  Milliseconds m_idle_timeout{ 15'000 };

  bool operator==(const RelayServerLimits&) const = default;
};

/// Accepts HTTP/1.1 on one address. A request is handed over when all of it has arrived; its answer
/// may be passed on piece by piece. Not thread-safe.
class RelayServer
{
public:
  using Handler = std::function<void(const RelayExchangePtr&)>;

  /// Binds and listens. Fails with Unavailable when the address cannot be had.
  /// Precondition: the loop outlives the server.
  static absl::StatusOr<std::unique_ptr<RelayServer>> Create(EventLoop& aLoop,
                                                             const SocketAddress& aAddress,
                                                             const RelayServerLimits& aLimits,
                                                             Handler aHandler);
  ~RelayServer();
  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

  void SetLimits(const RelayServerLimits& aLimits) { m_limits = aLimits; }
  /// From now on each answer says that its connection closes.
  void CloseAfterResponses() { m_close_after_responses = true; }
  std::size_t ConnectionCount() const { return m_connections.size(); }
  /// Connections with a request that has arrived and is not answered, or whose answer is not sent.
  std::size_t BusyCount() const;

private:
  friend class RelayConnection;

  RelayServer(EventLoop& aLoop, const RelayServerLimits& aLimits, Handler aHandler);

  static void OnAccept(evconnlistener*, int aSocket, sockaddr*, int, void* aServer);
  void RemoveConnection(RelayConnection* aConnection);
  void Sweep();

  EventLoop& m_loop;
  RelayServerLimits m_limits;
  Handler m_handler;
  evconnlistener* m_listener = nullptr;
  absl::flat_hash_set<RelayConnection*> m_connections;
  bool m_close_after_responses = false;
  std::unique_ptr<Timer> m_sweep;
};

}
