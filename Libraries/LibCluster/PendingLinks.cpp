#include <LibCluster/PendingLinks.h>

#include <LibCluster/PeerLink.h>
#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <optional>
#include <unistd.h>
#include <utility>

namespace auburnhitch {

namespace {

// Much shorter than the time for which a connection may wait.
constexpr Milliseconds kSweepInterval{ 250 };

}

PendingLinks::PendingLinks(EventLoop& aLoop, const Limits& aLimits, Handler aOnFirstMessage)
  : m_loop(aLoop)
  , m_limits(aLimits)
  , m_on_first_message(std::move(aOnFirstMessage))
  , m_sweep(aLoop, kSweepInterval, Timer::Repeat::Always, [this] { Sweep(); })
{
}

PendingLinks::~PendingLinks()
{
  for (const Connection& connection : m_connections) {
    bufferevent_free(connection.m_events);
  }
}

void
PendingLinks::Add(int aSocket)
{
  bufferevent* events = bufferevent_socket_new(m_loop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
  if (events == nullptr) {
    close(aSocket);
    return;
  }
  if (m_connections.size() >= m_limits.m_max_count) {
    Close(&m_connections.front());
  }
  m_connections.push_back({ this, events, m_loop.Now() });
  bufferevent_setcb(events, OnReadable, nullptr, OnEvent, &m_connections.back());
  bufferevent_enable(events, EV_READ);
}

void
PendingLinks::OnReadable(bufferevent*, void* aConnection)
{
  auto* connection = static_cast<Connection*>(aConnection);
  connection->m_owner->Read(connection);
}

void
PendingLinks::OnEvent(bufferevent*, short, void* aConnection)
{
  auto* connection = static_cast<Connection*>(aConnection);
  connection->m_owner->Close(connection);
}

void
PendingLinks::Read(Connection* aConnection)
{
  evbuffer* input = bufferevent_get_input(aConnection->m_events);
  const std::optional<std::size_t> length = PeerLink::LengthOfFirstMessage(input);
  if (length && *length > PeerLink::kMaxMessageBytes) {
    Close(aConnection);
    return;
  }
  if (!length || evbuffer_get_length(input) < PeerLink::kLengthBytes + *length) {
    return;
  }
  bufferevent* events = Remove(aConnection);
  // The link finds the message in the input. Deferred, so that its handlers are set by then.
  bufferevent_trigger(events, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
  m_on_first_message(events);
}

void
PendingLinks::Close(Connection* aConnection)
{
  bufferevent_free(Remove(aConnection));
}

bufferevent*
PendingLinks::Remove(Connection* aConnection)
{
  bufferevent* events = aConnection->m_events;
  m_connections.erase(
    std::find_if(m_connections.begin(), m_connections.end(), [&](const Connection& aEntry) {
      return &aEntry == aConnection;
    }));
  return events;
}

void
PendingLinks::Sweep()
{
  while (!m_connections.empty() &&
         m_loop.Now() - m_connections.front().m_accepted_at > m_limits.m_max_wait) {
    Close(&m_connections.front());
  }
}

}
