#pragma once

#include <LibCore/StrongString.h>
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpExchange.h>
#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>
#include <functional>
#include <memory>
#include <netinet/in.h>
#include <string>

struct evhtp;
struct evhtp_connection;

namespace auburnhitch {

/// What one listening port grants to those who connect.
struct HttpServerLimits
{
  std::size_t m_max_body_bytes = 1 << 20;
  std::size_t m_max_header_bytes = 16 << 10;
  std::size_t m_max_connections = 20'000;
  std::size_t m_max_connections_per_address = 12'000;
  /// Longest time from a request's first byte to its last.
  Milliseconds m_read_timeout{ 10'000 };
  /// Longest time for which a connection may stay open without a request.
  Milliseconds m_idle_timeout{ 60'000 };

  bool operator==(const HttpServerLimits&) const = default;
};

/// Accepts HTTP/1.1 on one address, on the given loop. Not thread-safe.
class HttpServer
{
public:
  using Handler = std::function<void(const HttpExchangePtr&)>;

  /// Binds and listens. Fails with Unavailable when the address cannot be had.
  /// Precondition: the loop outlives the server.
  static absl::StatusOr<std::unique_ptr<HttpServer>> Create(EventLoop& aLoop,
                                                            const SocketAddress& aAddress,
                                                            const HttpServerLimits& aLimits,
                                                            Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::size_t ConnectionCount() const { return m_connections.size(); }
  /// Whether any connection has an unanswered request or unsent bytes.
  bool IsBusy() const;

private:
  enum class Phase
  {
    Idle,
    Reading,
    Serving,
  };

  struct Connection
  {
    Phase m_phase = Phase::Idle;
    TimePoint m_phase_since;
    std::string m_remote_address;
    std::size_t m_header_bytes = 0;
  };

  HttpServer(EventLoop& aLoop, const HttpServerLimits& aLimits, Handler aHandler);

  struct Hooks;
  friend struct Hooks;

  bool Accept(evhtp_connection* aConnection);
  void RemoveConnection(evhtp_connection* aConnection);
  void EnterPhase(evhtp_connection* aConnection, Phase aPhase);
  void CloseOverdueConnections();

  EventLoop& m_loop;
  HttpServerLimits m_limits;
  Handler m_handler;
  evhtp* m_server = nullptr;
  absl::flat_hash_map<evhtp_connection*, Connection> m_connections;
  absl::flat_hash_map<std::string, std::size_t> m_connection_count_by_address;
  std::unique_ptr<Timer> m_sweep_timer;
};

/// Splits "IP:PORT". Fails with InvalidArgument on anything else.
absl::StatusOr<std::pair<std::string, std::uint16_t>>
SplitSocketAddress(const SocketAddress& aAddress);

/// The address as the socket calls take it. Fails like SplitSocketAddress().
absl::StatusOr<sockaddr_in>
ToSockaddr(const SocketAddress& aAddress);

}
