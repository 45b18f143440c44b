#include <LibRelay/RelayServer.h>

#include "RelayConnection.h"

#include <LibCore/Try.h>
#include <LibHttp/HttpServer.h>
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
// Maximum time to wait for the peer to close the connection after its last response has been sent.
// A round trip takes a few milliseconds.
constexpr Milliseconds kLingerTime{ 1'000 };
// Maximum number of bytes that are read from one connection ahead of the request in progress; as
// many as libevent reads at once.
constexpr std::size_t kReadAheadBytes = 16 << 10;
// Maximum number of bytes that are read and discarded after the last response of a connection. A
// caller that writes its whole request before it reads gets the response if the rest of the request
// is not larger than this and the socket buffers.
constexpr std::size_t kMaxDiscardedBytes = 256 << 10;

// Size of the kernel's receive buffer of a connection; the kernel reserves twice as much. At a
// round trip of 4.4 ms it lets a connection carry 116 Mbit/s. The send buffer is not limited: with
// 64 KiB slow callers held the slots of their endpoint until callers behind them timed out.
constexpr int kReceiveBufferBytes = 64 << 10;

constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kServiceUnavailable = 503;
// In seconds; bodies are received and answered within a few.
constexpr const char* kRetryAfterFull = "1";

}

RelayConnection::RelayConnection(RelayServer& aServer, bufferevent* aEvents)
  : m_server(aServer)
  , m_events(aEvents)
  , m_parser(MessageParser::Kind::Request, aServer.m_limits.m_max_head_bytes)
  , m_phase_since(aServer.m_loop.Now())
{
  bufferevent_setcb(m_events, OnReadable, OnWritable, OnEvent, this);
  bufferevent_setwatermark(m_events, EV_READ, 0, kReadAheadBytes);
  bufferevent_enable(m_events, EV_READ | EV_WRITE);
}

RelayConnection::~RelayConnection()
{
  CountBody(0);
  m_server.RemoveConnection(this);
  bufferevent_free(m_events);
}

void
RelayConnection::OnReadable(bufferevent*, void* aConnection)
{
  static_cast<RelayConnection*>(aConnection)->Read();
}

void
RelayConnection::OnWritable(bufferevent*, void* aConnection)
{
  auto* self = static_cast<RelayConnection*>(aConnection);
  if (self->m_phase == Phase::Lingering) {
    shutdown(bufferevent_getfd(self->m_events), SHUT_WR);
  } else if (self->m_exchange != nullptr && self->m_exchange->m_on_drained) {
    const RelayExchangePtr exchange = self->m_exchange;
    exchange->m_on_drained();
  }
}

void
RelayConnection::OnEvent(bufferevent*, short aWhat, void* aConnection)
{
  if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    static_cast<RelayConnection*>(aConnection)->Close();
  }
}

void
RelayConnection::EnterPhase(Phase aPhase)
{
  m_phase = aPhase;
  m_phase_since = m_server.m_loop.Now();
}

void
RelayConnection::Read()
{
  evbuffer* input = bufferevent_get_input(m_events);
  if (m_phase == Phase::Lingering) {
    DiscardInput();
    return;
  }
  // Bytes of a pipelined request stay in the buffer until the current one has its response.
  while (m_phase == Phase::Idle || m_phase == Phase::Reading) {
    const auto size = static_cast<std::ptrdiff_t>(evbuffer_get_contiguous_space(input));
    if (size == 0) {
      return;
    }
    if (m_phase == Phase::Idle) {
      EnterPhase(Phase::Reading);
    }
    m_last_read_at = m_server.m_loop.Now();
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, size));
    const std::size_t used = m_parser.Feed({ bytes, static_cast<std::size_t>(size) });
    evbuffer_drain(input, used);
    CollectBody();
    if (IsBodyTooLarge()) {
      RejectRequest(kPayloadTooLarge, "the body is larger than the limit");
      return;
    }
    // A request that has arrived completely is not refused for memory.
    if (m_parser.State() == MessageParser::Progress::NeedMore) {
      m_server.FreeBodyMemory();
      if (m_phase != Phase::Reading) {
        return;
      }
    }
    switch (m_parser.State()) {
      case MessageParser::Progress::NeedMore:
        break;
      case MessageParser::Progress::Malformed:
        RejectRequest(kBadRequest, "the request is malformed");
        return;
      case MessageParser::Progress::HeadTooLarge:
        RejectRequest(kHeadTooLarge, "the header fields are larger than the limit");
        return;
      case MessageParser::Progress::Complete:
        DispatchRequest();
        return;
    }
  }
}

void
RelayConnection::RefuseForMemory()
{
  RejectRequest(kServiceUnavailable,
                "the bodies of all requests are larger than the limit",
                { { "Retry-After", kRetryAfterFull } });
}

void
RelayConnection::DiscardInput()
{
  evbuffer* input = bufferevent_get_input(m_events);
  const std::size_t size = evbuffer_get_length(input);
  evbuffer_drain(input, size);
  m_discarded_bytes += size;
  if (m_discarded_bytes > kMaxDiscardedBytes) {
    // The socket buffers fill up and hold the peer back until the linger time is over.
    bufferevent_disable(m_events, EV_READ);
  }
}

void
RelayConnection::CollectBody()
{
  const std::string bytes = m_parser.TakeBody();
  const std::size_t needed = m_body.size() + bytes.size();
  const auto declared = m_parser.DeclaredBodyBytes();
  if (declared && needed > m_body.capacity() && needed <= *declared) {
    // Doubles the capacity as a string does, but not beyond the declared length.
    m_body.reserve(std::max<std::size_t>(
      needed, std::min<std::uint64_t>(*declared, std::uint64_t(m_body.capacity()) * 2)));
  }
  m_body += bytes;
  CountBody(m_body.empty() ? 0 : m_body.capacity());
}

bool
RelayConnection::IsBodyTooLarge() const
{
  const std::size_t limit = m_server.m_limits.m_max_body_bytes;
  return m_body.size() > limit || m_parser.DeclaredBodyBytes().value_or(0) > limit;
}

void
RelayConnection::DispatchRequest()
{
  EnterPhase(Phase::Responding);
  // HTTP/1.0 callers expect a persistent connection only if the response announces one.
  m_must_close = !m_parser.Head().m_keeps_alive || m_parser.Head().m_minor_version == 0;
  m_exchange = std::make_shared<RelayExchange>(
    this, m_parser.Head(), std::move(m_body), m_server.m_loop.Now());
  m_body.clear();
  m_parser.Restart();
  // The handler may respond at once, which may close and delete this connection; the exchange is
  // kept alive until it returns.
  const RelayExchangePtr exchange = m_exchange;
  m_server.m_handler(exchange);
}

void
RelayConnection::RejectRequest(int aStatus, const char* aReason, HttpHeaders aHeaders)
{
  // clear() and the assignment of an empty string would keep the memory for as long as the
  // connection lingers.
  std::string().swap(m_body);
  m_parser.Abandon();
  CountBody(0);
  const RelayExchangePtr exchange = BeginLastExchange(MessageHead());
  aHeaders.emplace_back("Content-Type", "text/plain");
  exchange->Reply(aStatus, std::move(aHeaders), aReason);
}

void
RelayConnection::CountBody(std::size_t aBytes)
{
  m_server.m_total_body_bytes += aBytes;
  m_server.m_total_body_bytes -= std::exchange(m_counted_body_bytes, aBytes);
}

RelayExchangePtr
RelayConnection::BeginLastExchange(MessageHead aHead)
{
  EnterPhase(Phase::Responding);
  m_must_close = true;
  m_exchange =
    std::make_shared<RelayExchange>(this, std::move(aHead), std::string(), m_server.m_loop.Now());
  return m_exchange;
}

void
RelayConnection::EndReceiving(const std::function<void(const RelayExchangePtr&)>& aRespond)
{
  if (m_phase != Phase::Reading || !m_parser.HasBegun()) {
    return;
  }
  const RelayExchangePtr exchange =
    BeginLastExchange(m_parser.HasHead() ? m_parser.Head() : MessageHead());
  aRespond(exchange);
}

void
RelayConnection::Send(absl::string_view aBytes)
{
  bufferevent_write(m_events, aBytes.data(), aBytes.size());
}

std::size_t
RelayConnection::UnsentBytes() const
{
  return evbuffer_get_length(bufferevent_get_output(m_events));
}

bool
RelayConnection::MustCloseAfterResponse() const
{
  return m_must_close || m_server.m_close_after_responses;
}

bool
RelayConnection::IsBusy() const
{
  return m_phase == Phase::Responding || m_phase == Phase::Lingering ||
         (m_phase == Phase::Reading && m_parser.HasBegun()) || UnsentBytes() > 0;
}

void
RelayConnection::OnResponseComplete()
{
  const bool closes = MustCloseAfterResponse();
  m_exchange = nullptr;
  CountBody(0);
  if (closes) {
    BeginLinger();
    return;
  }
  EnterPhase(Phase::Idle);
  if (evbuffer_get_length(bufferevent_get_input(m_events)) > 0) {
    // Deferred, so that the next request is not parsed from inside the handler of this one.
    bufferevent_trigger(m_events, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
  }
}

void
RelayConnection::OnResponseAborted()
{
  m_must_close = true;
  OnResponseComplete();
}

void
RelayConnection::BeginLinger()
{
  EnterPhase(Phase::Lingering);
  if (UnsentBytes() == 0) {
    shutdown(bufferevent_getfd(m_events), SHUT_WR);
  }
  DiscardInput();
}

void
RelayConnection::Close()
{
  const RelayExchangePtr exchange = std::move(m_exchange);
  if (exchange != nullptr) {
    exchange->m_connection = nullptr;
  }
  delete this;
  if (exchange != nullptr && exchange->m_on_closed) {
    const auto callback = std::move(exchange->m_on_closed);
    callback();
  }
}

void
RelayConnection::Reset()
{
  const linger discard_unsent{ 1, 0 };
  setsockopt(
    bufferevent_getfd(m_events), SOL_SOCKET, SO_LINGER, &discard_unsent, sizeof(discard_unsent));
  m_exchange = nullptr;
  Close();
}

void
RelayConnection::CloseIfExpired(TimePoint aNow)
{
  const std::size_t unsent = UnsentBytes();
  const bool is_peer_reading = unsent < std::exchange(m_last_unsent_bytes, unsent);
  if (m_phase == Phase::Lingering && is_peer_reading) {
    m_phase_since = aNow;
  }
  const Duration age = aNow - m_phase_since;
  const RelayServerLimits& limits = m_server.m_limits;
  const bool is_slow =
    m_phase == Phase::Reading && !m_parser.HasHead() && age > limits.m_head_timeout;
  const bool is_unused = m_phase == Phase::Idle && age > limits.m_idle_timeout;
  // A slow peer gets its whole response; one that reads nothing does not hold the connection.
  const Duration linger_time =
    unsent > 0 ? std::max(kLingerTime, limits.m_idle_timeout) : kLingerTime;
  const bool is_over = m_phase == Phase::Lingering && age > linger_time;
  if (is_slow || is_unused || is_over) {
    Close();
  }
}

RelayServer::RelayServer(EventLoop& aLoop, const RelayServerLimits& aLimits, Handler aHandler)
  : m_loop(aLoop)
  , m_limits(aLimits)
  , m_handler(std::move(aHandler))
{
}

absl::StatusOr<std::unique_ptr<RelayServer>>
RelayServer::Create(EventLoop& aLoop,
                    const SocketAddress& aAddress,
                    const RelayServerLimits& aLimits,
                    Handler aHandler)
{
  TRY_ASSIGN(const sockaddr_in name, ToSockaddr(aAddress));
  std::unique_ptr<RelayServer> server(new RelayServer(aLoop, aLimits, std::move(aHandler)));
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
    connection->Close();
  }
}

void
RelayServer::OnAccept(evconnlistener*, int aSocket, sockaddr*, int, void* aServer)
{
  auto* server = static_cast<RelayServer*>(aServer);
  if (server->m_connections.size() >= server->m_limits.m_max_connections &&
      !server->CloseOldestWithoutRequest()) {
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
  server->m_connections.insert(new RelayConnection(*server, events));
}

bool
RelayServer::CloseOldestWithoutRequest()
{
  RelayConnection* oldest = nullptr;
  for (RelayConnection* connection : m_connections) {
    if (connection->HasNoRequest() &&
        (oldest == nullptr || connection->PhaseSince() < oldest->PhaseSince())) {
      oldest = connection;
    }
  }
  if (oldest == nullptr) {
    return false;
  }
  ++m_closed_for_room;
  oldest->Close();
  return true;
}

void
RelayServer::FreeBodyMemory()
{
  while (m_total_body_bytes > m_limits.m_max_total_body_bytes) {
    RelayConnection* slowest = nullptr;
    for (RelayConnection* connection : m_connections) {
      if (connection->IsReceivingBody() &&
          (slowest == nullptr || connection->LastReadAt() < slowest->LastReadAt())) {
        slowest = connection;
      }
    }
    if (slowest == nullptr) {
      return;
    }
    ++m_refused_for_memory;
    slowest->RefuseForMemory();
  }
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
}

}
