#include <LibRelay/RelayServer.h>

#include "RelayConnection.h"

#include <LibCore/Try.h>
#include <LibHttp/HttpServer.h>
#include <LibRelay/ConnectionRoom.h>
#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <unistd.h>
#include <vector>

namespace auburnhitch {

namespace {

constexpr int kListenBacklog = 1024;
// Resolution of the head and idle timeouts; much shorter than either.
constexpr Milliseconds kSweepInterval{ 250 };
// Size of the kernel's receive buffer of a connection; the kernel reserves twice as much. At a
// round trip of 4.4 ms it lets a connection carry 116 Mbit/s. The send buffer is not limited: with
// 64 KiB slow callers held the slots of their endpoint until callers behind them timed out.
constexpr int kReceiveBufferBytes = 64 << 10;

std::uint32_t
AddressOf(const sockaddr* aPeer)
{
  return aPeer != nullptr && aPeer->sa_family == AF_INET
           ? reinterpret_cast<const sockaddr_in*>(aPeer)->sin_addr.s_addr
           : 0;
}

}

RelayServer::RelayServer(EventLoop& aLoop,
                         const RelayServerLimits& aLimits,
                         MemoryBudget& aMemory,
                         Handler aHandler)
  : m_loop(aLoop)
  , m_limits(aLimits)
  , m_memory(aMemory)
  , m_handler(std::move(aHandler))
{
}

absl::StatusOr<std::unique_ptr<RelayServer>>
RelayServer::Create(EventLoop& aLoop,
                    const SocketAddress& aAddress,
                    const RelayServerLimits& aLimits,
                    MemoryBudget& aMemory,
                    Handler aHandler)
{
  TRY_ASSIGN(const sockaddr_in name, ToSockaddr(aAddress));
  std::unique_ptr<RelayServer> server(
    new RelayServer(aLoop, aLimits, aMemory, std::move(aHandler)));
  server->m_listener =
    evconnlistener_new_bind(aLoop.Base(),
                            OnAccept,
                            server.get(),
                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                            kListenBacklog,
                            reinterpret_cast<const sockaddr*>(&name),
                            sizeof(name));
  if (server->m_listener == nullptr) {
    return absl::UnavailableError("can't listen on " + aAddress.Value());
  }
  // Accepted connections inherit it. The kernel would let it grow to several megabytes each.
  const int buffer_bytes = kReceiveBufferBytes;
  const int listener = evconnlistener_get_fd(server->m_listener);
  setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
  server->m_sweep = std::make_unique<Timer>(
    aLoop, kSweepInterval, Timer::Repeat::Always, [raw = server.get()] { raw->Sweep(); });
  return server;
}

RelayServer::~RelayServer()
{
  if (m_listener != nullptr) {
    evconnlistener_free(m_listener);
  }
  const std::vector<RelayConnection*> open(m_connections.begin(), m_connections.end());
  for (RelayConnection* connection : open) {
    connection->Close("the server ends");
  }
}

void
RelayServer::OnAccept(evconnlistener*, int aSocket, sockaddr* aPeer, int, void* aServer)
{
  auto* server = static_cast<RelayServer*>(aServer);
  if (server->m_connections.size() >= server->m_limits.m_max_connections &&
      !server->CloseOneWithoutRequest()) {
    close(aSocket);
    return;
  }
  const int enabled = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  bufferevent* events =
    bufferevent_socket_new(server->m_loop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
  if (events == nullptr) {
    close(aSocket);
    return;
  }
  server->m_connections.insert(new RelayConnection(*server, events, AddressOf(aPeer)));
}

bool
RelayServer::CloseOneWithoutRequest()
{
  std::vector<RelayConnection*> candidates;
  std::vector<ConnectionWithoutRequest> described;
  for (RelayConnection* connection : m_connections) {
    if (connection->HasNoRequest()) {
      candidates.push_back(connection);
      described.push_back({ connection->Peer(), connection->PhaseSince() });
    }
  }
  const auto index = ConnectionToClose(described);
  if (!index) {
    return false;
  }
  ++m_closed_for_room;
  candidates[*index]->Close();
  return true;
}

void
RelayServer::RemoveConnection(RelayConnection* aConnection)
{
  m_connections.erase(aConnection);
}

std::size_t
RelayServer::BusyCount() const
{
  return static_cast<std::size_t>(
    std::count_if(m_connections.begin(), m_connections.end(), [](const RelayConnection* aOpen) {
      return aOpen->IsBusy();
    }));
}

void
RelayServer::EndReceiving(const Handler& aRespond)
{
  const std::vector<RelayConnection*> open(m_connections.begin(), m_connections.end());
  for (RelayConnection* connection : open) {
    if (m_connections.contains(connection)) {
      connection->EndReceiving(aRespond);
    }
  }
}

void
RelayServer::Sweep()
{
  const std::vector<RelayConnection*> open(m_connections.begin(), m_connections.end());
  for (RelayConnection* connection : open) {
    if (m_connections.contains(connection)) {
      connection->CloseIfExpired(m_loop.Now());
    }
  }
  m_memory.Reclaim(m_loop.Now());
}

}
