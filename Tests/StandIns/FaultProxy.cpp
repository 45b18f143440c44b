#include "FaultProxy.h"

#include "ControlBody.h"

#include <LibCore/JsonObjectReader.h>
#include <array>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdexcept>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace auburnhitch::standins {

namespace {

constexpr std::array kFaultNames{
  std::pair{ "none", Fault::None },
  std::pair{ "refuse", Fault::Refuse },
  std::pair{ "unreachable", Fault::Unreachable },
  std::pair{ "cut-before-request", Fault::CutBeforeRequest },
  std::pair{ "cut-after-request", Fault::CutAfterRequest },
  std::pair{ "cut-mid-answer", Fault::CutMidAnswer },
  std::pair{ "silence", Fault::Silence },
  std::pair{ "silence-after-request", Fault::SilenceAfterRequest },
  std::pair{ "slow-bytes", Fault::SlowBytes },
  std::pair{ "doubled-answer", Fault::DoubledAnswer },
  std::pair{ "late-answer", Fault::LateAnswer },
};

Fault
FaultNamed(const std::string& aName)
{
  for (const auto& [name, fault] : kFaultNames) {
    if (aName == name) {
      return fault;
    }
  }
  return Fault::None;
}

void
ResetSocketOnClose(int aSocket)
{
  const linger discard_unsent{ 1, 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &discard_unsent, sizeof(discard_unsent));
}

}

/// A connection from a caller and the one to the target that belongs to it.
struct FaultProxy::Link
{
  FaultProxy* m_proxy;
  std::uint64_t m_number;
  Fault m_fault;
  bufferevent* m_caller;
  bufferevent* m_target;
  std::size_t m_response_bytes = 0;
  bool m_target_has_closed = false;
  /// Whether a side has closed while the link held back all bytes.
  bool m_is_closed_meanwhile = false;
  std::unique_ptr<Timer> m_timer;

  ~Link()
  {
    bufferevent_free(m_caller);
    bufferevent_free(m_target);
  }

  /// Makes the destructor close both connections with a TCP reset.
  void ResetOnClose()
  {
    for (bufferevent* side : { m_caller, m_target }) {
      ResetSocketOnClose(bufferevent_getfd(side));
    }
  }

  /// Closes in order once all bytes have been written to one side. May be called from a timer of
  /// this link.
  void CloseWhenSent(bufferevent* aTo)
  {
    if (evbuffer_get_length(bufferevent_get_output(aTo)) == 0) {
      m_proxy->m_loop.Defer([proxy = m_proxy, number = m_number] { proxy->Drop(number); });
      return;
    }
    bufferevent_setcb(aTo, OnRead, OnSent, OnEvent, this);
  }

  void MoveAll(bufferevent* aFrom, bufferevent* aTo)
  {
    bufferevent_read_buffer(aFrom, bufferevent_get_output(aTo));
  }

  void OnRequestBytes()
  {
    if (m_fault == Fault::Silence || m_fault == Fault::Unreachable) {
      return;
    }
    if (m_fault == Fault::SlowBytes) {
      Trickle(m_caller, m_target);
      return;
    }
    MoveAll(m_caller, m_target);
  }

  void OnResponseBytes()
  {
    evbuffer* response = bufferevent_get_input(m_target);
    switch (m_fault) {
      case Fault::Unreachable:
        return;
      case Fault::Silence:
      case Fault::SilenceAfterRequest:
        evbuffer_drain(response, evbuffer_get_length(response));
        return;
      case Fault::CutAfterRequest:
        m_proxy->Cut(m_number);
        return;
      case Fault::CutMidAnswer:
        ForwardUntilCut(response);
        return;
      case Fault::DoubledAnswer:
        evbuffer_add_buffer_reference(bufferevent_get_output(m_caller), response);
        MoveAll(m_target, m_caller);
        return;
      case Fault::LateAnswer:
        if (m_timer == nullptr) {
          m_timer = std::make_unique<Timer>(
            m_proxy->m_loop, m_proxy->m_delay, Timer::Repeat::Always, [this] {
              MoveAll(m_target, m_caller);
              if (std::exchange(m_target_has_closed, false)) {
                CloseWhenSent(m_caller);
              }
            });
        }
        return;
      case Fault::SlowBytes:
        Trickle(m_target, m_caller);
        return;
      default:
        MoveAll(m_target, m_caller);
    }
  }

  void ForwardUntilCut(evbuffer* aResponse)
  {
    const std::size_t left = m_proxy->m_after_bytes - m_response_bytes;
    const std::size_t forwarded = std::min(left, evbuffer_get_length(aResponse));
    evbuffer_remove_buffer(aResponse, bufferevent_get_output(m_caller), forwarded);
    m_response_bytes += forwarded;
    if (m_response_bytes < m_proxy->m_after_bytes) {
      return;
    }
    // Closing at once would discard what is still in the output buffer, so the forwarded bytes get
    // time to reach the caller.
    bufferevent_disable(m_target, EV_READ);
    m_timer =
      std::make_unique<Timer>(m_proxy->m_loop, Milliseconds(20), Timer::Repeat::Once, [this] {
        m_proxy->m_loop.Defer([proxy = m_proxy, number = m_number] { proxy->Cut(number); });
      });
  }

  void Trickle(bufferevent* aFrom, bufferevent* aTo)
  {
    if (m_timer != nullptr) {
      return;
    }
    m_timer = std::make_unique<Timer>(
      m_proxy->m_loop, m_proxy->m_delay, Timer::Repeat::Always, [aFrom, aTo] {
        evbuffer* from = bufferevent_get_input(aFrom);
        evbuffer* back = bufferevent_get_input(aTo);
        evbuffer_remove_buffer(from, bufferevent_get_output(aTo), 1);
        evbuffer_remove_buffer(back, bufferevent_get_output(aFrom), 1);
      });
  }
};

FaultProxy::FaultProxy(EventLoop& aLoop,
                       const SocketAddress& aAddress,
                       const SocketAddress& aTarget,
                       const SocketAddress& aControl)
  : m_loop(aLoop)
  , m_address(aAddress)
  , m_target(aTarget)
  , m_control(HttpServer::Create(aLoop, aControl, {}, [this](const auto& aExchange) {
                OnControl(*aExchange);
              }).value())
{
  Listen();
}

void
FaultProxy::Listen()
{
  if (m_listener != nullptr) {
    return;
  }
  const sockaddr_in address = ToSockaddr(m_address).value();
  m_listener = evconnlistener_new_bind(
    m_loop.Base(),
    [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aProxy) {
      static_cast<FaultProxy*>(aProxy)->Accept(aSocket);
    },
    this,
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
    -1,
    reinterpret_cast<const sockaddr*>(&address),
    sizeof(address));
}

FaultProxy::~FaultProxy()
{
  StopListening();
  StopListeningInVain();
}

void
FaultProxy::ListenInVain()
{
  if (!m_vain_sockets.empty()) {
    return;
  }
  const sockaddr_in address = ToSockaddr(m_address).value();
  const auto* name = reinterpret_cast<const sockaddr*>(&address);
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  m_vain_sockets.push_back(listener);
  evutil_make_listen_socket_reuseable(listener);
  if (bind(listener, name, sizeof(address)) != 0 || listen(listener, 0) != 0) {
    throw std::runtime_error("cannot listen on " + m_address.Value());
  }
  // The system accepts one connection more than the length of the queue.
  constexpr int kConnections = 4;
  for (int i = 0; i < kConnections; ++i) {
    m_vain_sockets.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (connect(m_vain_sockets.back(), name, sizeof(address)) != 0 && errno != EINPROGRESS) {
      throw std::runtime_error("cannot connect to " + m_address.Value());
    }
  }
}

void
FaultProxy::StopListeningInVain()
{
  for (const int vain : std::exchange(m_vain_sockets, {})) {
    evutil_closesocket(vain);
  }
}

void
FaultProxy::StopListening()
{
  if (m_listener != nullptr) {
    evconnlistener_free(m_listener);
    m_listener = nullptr;
  }
}

void
FaultProxy::OnControl(HttpExchange& aExchange)
{
  const Json body = ControlBody(aExchange);
  m_fault = FaultNamed(body.value("fault", "none"));
  m_after_bytes = body.value("after_bytes", std::size_t{ 1 });
  m_delay = Milliseconds(body.value("delay_ms", 10));
  m_times = body.value("times", -1);
  m_cuts_with_reset = body.value("reset", false);
  if (body.value("cut_open", false)) {
    while (!m_links.empty()) {
      Cut(m_links.begin()->first);
    }
  }
  if (body.value("change_open", false)) {
    ChangeOpenLinks();
  }
  if (m_fault != Fault::Unreachable) {
    StopListeningInVain();
  }
  if (m_fault == Fault::Refuse) {
    StopListening();
  } else if (m_fault == Fault::Unreachable) {
    StopListening();
    ListenInVain();
  } else {
    Listen();
  }
  aExchange.Reply(200, {}, "{}");
}

void
FaultProxy::ChangeOpenLinks()
{
  std::vector<std::uint64_t> closed;
  for (const auto& [number, link] : m_links) {
    const bool was_held_back = std::exchange(link->m_fault, m_fault) == Fault::Unreachable;
    if (!was_held_back || m_fault == Fault::Unreachable) {
      continue;
    }
    if (link->m_is_closed_meanwhile) {
      closed.push_back(number);
      continue;
    }
    link->OnRequestBytes();
    link->OnResponseBytes();
  }
  for (const std::uint64_t number : closed) {
    Drop(number);
  }
}

void
FaultProxy::Accept(int aSocket)
{
  Fault fault = m_times == 0 ? Fault::None : m_fault;
  if (m_times > 0) {
    --m_times;
  }
  if (fault == Fault::CutBeforeRequest) {
    if (m_cuts_with_reset) {
      ResetSocketOnClose(aSocket);
    }
    evutil_closesocket(aSocket);
    return;
  }
  auto link = std::make_unique<Link>();
  link->m_proxy = this;
  link->m_number = ++m_last_link;
  link->m_fault = fault;
  link->m_caller = bufferevent_socket_new(m_loop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
  link->m_target = bufferevent_socket_new(m_loop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  Link* raw = link.get();
  m_links[raw->m_number] = std::move(link);
  bufferevent_setcb(raw->m_caller, OnRead, nullptr, OnEvent, raw);
  bufferevent_setcb(raw->m_target, OnRead, nullptr, OnEvent, raw);
  const sockaddr_in target = ToSockaddr(m_target).value();
  bufferevent_socket_connect(
    raw->m_target, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
  bufferevent_enable(raw->m_caller, EV_READ | EV_WRITE);
  bufferevent_enable(raw->m_target, EV_READ | EV_WRITE);
}

void
FaultProxy::Drop(std::uint64_t aLink)
{
  m_links.erase(aLink);
}

void
FaultProxy::Cut(std::uint64_t aLink)
{
  const auto found = m_links.find(aLink);
  if (found != m_links.end() && m_cuts_with_reset) {
    found->second->ResetOnClose();
  }
  Drop(aLink);
}

void
FaultProxy::OnSent(bufferevent*, void* aLink)
{
  auto* link = static_cast<Link*>(aLink);
  link->m_proxy->Drop(link->m_number);
}

void
FaultProxy::OnRead(bufferevent* aSide, void* aLink)
{
  auto* link = static_cast<Link*>(aLink);
  if (aSide == link->m_caller) {
    link->OnRequestBytes();
  } else {
    link->OnResponseBytes();
  }
}

void
FaultProxy::OnEvent(bufferevent* aSide, short aWhat, void* aLink)
{
  auto* link = static_cast<Link*>(aLink);
  if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
    return;
  }
  if (link->m_fault == Fault::Unreachable) {
    bufferevent_disable(aSide, EV_READ | EV_WRITE);
    link->m_is_closed_meanwhile = true;
    return;
  }
  const bool is_silent =
    link->m_fault == Fault::Silence || link->m_fault == Fault::SilenceAfterRequest;
  if (is_silent && aSide == link->m_target) {
    // The caller must not see the close, as it did not see the bytes before it.
    return;
  }
  // A delayed or slowed response still has to be forwarded after the target has closed.
  if (aSide == link->m_target && link->m_timer != nullptr) {
    link->m_target_has_closed = true;
    return;
  }
  if ((aWhat & BEV_EVENT_ERROR) != 0) {
    link->ResetOnClose();
    link->m_proxy->Drop(link->m_number);
    return;
  }
  bufferevent_disable(aSide, EV_READ);
  link->CloseWhenSent(aSide == link->m_target ? link->m_caller : link->m_target);
}

}
