#include <LibCluster/PeerLink.h>

#include <LibCore/JsonObjectReader.h>
#include <LibCore/Try.h>
#include <LibHttp/HttpServer.h>
#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/tcp.h>

namespace auburnhitch {

namespace {

constexpr unsigned kBitsPerByte = 8;
constexpr int kListenBacklog = 256;
// Daemons of one region respond within a few milliseconds.
constexpr Milliseconds kConnectTimeout{ 300 };
// A link whose data stays unacknowledged for this long has failed, even without a reset.
constexpr int kUnacknowledgedTimeoutMs = 1'000;
// Bounds the send buffer of a peer that has stopped reading.
constexpr std::size_t kMaxUnsentBytes = 1 << 20;

void
SetSocketOptions(int aSocket)
{
  const int enabled = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  setsockopt(aSocket,
             IPPROTO_TCP,
             TCP_USER_TIMEOUT,
             &kUnacknowledgedTimeoutMs,
             sizeof(kUnacknowledgedTimeoutMs));
}

}

std::unique_ptr<PeerLink>
PeerLink::Connect(EventLoop& aLoop, const SocketAddress& aPeer, Handlers aHandlers)
{
  bufferevent* events = bufferevent_socket_new(aLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  auto link = std::make_unique<PeerLink>(aLoop, events);
  link->SetHandlers(std::move(aHandlers));
  const auto fail_later =
    [&aLoop, raw = link.get(), alive = link->m_is_alive](const char* aReason) {
      aLoop.Defer([raw, alive, aReason] {
        if (*alive) {
          raw->Fail(aReason);
        }
      });
    };
  const auto name = ToSockaddr(aPeer);
  if (!name.ok()) {
    fail_later("the peer address is not IP:PORT");
    return link;
  }
  if (bufferevent_socket_connect(
        events, reinterpret_cast<const sockaddr*>(&*name), sizeof(*name)) != 0) {
    fail_later("can't connect");
    return link;
  }
  link->m_connect_timer =
    std::make_unique<Timer>(aLoop, kConnectTimeout, Timer::Repeat::Once, [raw = link.get()] {
      raw->Fail("connecting to the peer timed out");
    });
  return link;
}

PeerLink::PeerLink(EventLoop& aLoop, bufferevent* aEvents)
  : m_loop(aLoop)
  , m_events(aEvents)
{
  bufferevent_setcb(m_events, OnReadable, nullptr, OnEvent, this);
  bufferevent_enable(m_events, EV_READ | EV_WRITE);
}

PeerLink::~PeerLink()
{
  *m_is_alive = false;
  bufferevent_free(m_events);
}

void
PeerLink::Send(const nlohmann::json& aMessage)
{
  if (m_is_over) {
    return;
  }
  std::string bytes;
  nlohmann::json::to_msgpack(aMessage, bytes);
  std::array<char, kLengthBytes> length{};
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length[i] = static_cast<char>(bytes.size() >> (kBitsPerByte * (kLengthBytes - 1 - i)));
  }
  bufferevent_write(m_events, length.data(), length.size());
  bufferevent_write(m_events, bytes.data(), bytes.size());
  if (UnsentBytes() > kMaxUnsentBytes) {
    m_loop.Defer([this, alive = m_is_alive] {
      if (*alive) {
        Fail("the send buffer is full: the peer does not read");
      }
    });
  }
}

std::size_t
PeerLink::UnsentBytes() const
{
  return evbuffer_get_length(bufferevent_get_output(m_events));
}

void
PeerLink::OnReadable(bufferevent*, void* aLink)
{
  static_cast<PeerLink*>(aLink)->Read();
}

void
PeerLink::OnEvent(bufferevent* aEvents, short aWhat, void* aLink)
{
  auto* self = static_cast<PeerLink*>(aLink);
  if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
    self->m_connect_timer = nullptr;
    SetSocketOptions(bufferevent_getfd(aEvents));
    return;
  }
  self->Fail((aWhat & BEV_EVENT_ERROR) != 0 ? "connection reset" : "connection closed");
}

std::optional<std::size_t>
PeerLink::LengthOfFirstMessage(evbuffer* aInput)
{
  std::array<unsigned char, kLengthBytes> length_bytes{};
  if (evbuffer_copyout(aInput, length_bytes.data(), length_bytes.size()) !=
      static_cast<ev_ssize_t>(kLengthBytes)) {
    return std::nullopt;
  }
  std::size_t length = 0;
  for (const unsigned char byte : length_bytes) {
    length = (length << kBitsPerByte) | byte;
  }
  return length;
}

void
PeerLink::Read()
{
  const auto alive = m_is_alive;
  evbuffer* input = bufferevent_get_input(m_events);
  while (*alive && !m_is_over && evbuffer_get_length(input) >= kLengthBytes) {
    const std::size_t length = *LengthOfFirstMessage(input);
    if (length > kMaxMessageBytes) {
      Fail("the peer sent an oversized message");
      return;
    }
    if (evbuffer_get_length(input) < kLengthBytes + length) {
      return;
    }
    evbuffer_drain(input, kLengthBytes);
    std::string bytes(length, '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    const auto message = ParseMessagePack(bytes);
    if (!message || !message->is_array() || message->empty()) {
      Fail("the peer sent a malformed message");
      return;
    }
    m_handlers.m_on_message(*message);
  }
}

void
PeerLink::Fail(const char* aReason)
{
  if (m_is_over) {
    return;
  }
  m_is_over = true;
  bufferevent_disable(m_events, EV_READ | EV_WRITE);
  // The handler may destroy the link.
  const auto on_closed = m_handlers.m_on_closed;
  if (on_closed) {
    on_closed(aReason);
  }
}

PeerLinkListener::PeerLinkListener(EventLoop& aLoop,
                                   Handler aHandler,
                                   const PendingLinks::Limits& aLimits)
  : m_pending(aLoop, aLimits, [&aLoop, handler = std::move(aHandler)](bufferevent* aEvents) {
    handler(std::make_unique<PeerLink>(aLoop, aEvents));
  })
{
}

absl::StatusOr<std::unique_ptr<PeerLinkListener>>
PeerLinkListener::Create(EventLoop& aLoop,
                         const SocketAddress& aAddress,
                         Handler aHandler,
                         const PendingLinks::Limits& aLimits)
{
  TRY_ASSIGN(const sockaddr_in name, ToSockaddr(aAddress));
  std::unique_ptr<PeerLinkListener> listener(
    new PeerLinkListener(aLoop, std::move(aHandler), aLimits));
  listener->m_listener =
    evconnlistener_new_bind(aLoop.Base(),
                            OnAccept,
                            listener.get(),
                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                            kListenBacklog,
                            reinterpret_cast<const sockaddr*>(&name),
                            sizeof(name));
  if (listener->m_listener == nullptr) {
    return absl::UnavailableError("can't listen on " + aAddress.Value());
  }
  return listener;
}

PeerLinkListener::~PeerLinkListener()
{
  if (m_listener != nullptr) {
    evconnlistener_free(m_listener);
  }
}

void
PeerLinkListener::OnAccept(evconnlistener*, int aSocket, sockaddr*, int, void* aSelf)
{
  auto* self = static_cast<PeerLinkListener*>(aSelf);
  SetSocketOptions(aSocket);
  self->m_pending.Add(aSocket);
}

}
