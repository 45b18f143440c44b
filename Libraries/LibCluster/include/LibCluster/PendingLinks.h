#pragma once

#include <LibHttp/EventLoop.h>
#include <functional>
#include <list>
#include <memory>

struct bufferevent;

namespace auburnhitch {

/// Accepted connections that may become links between daemons. A connection becomes one when its
/// first message has arrived. Responds to callers and port scans at the address of the links: at
/// most a fixed number of connections wait, each for a limited time. Not thread-safe.
class PendingLinks
{
public:
  struct Limits
  {
    /// Beyond it, the connection that has waited for longest is closed. Daemons send their first
    /// message as soon as they are connected.
    std::size_t m_max_count = 256;
    Milliseconds m_max_wait{ 1'000 };
  };
  /// Takes the ownership of a connection whose first message has arrived.
  using Handler = std::function<void(bufferevent*)>;

  /// Precondition: the loop outlives this.
  PendingLinks(EventLoop& aLoop, const Limits& aLimits, Handler aOnFirstMessage);
  ~PendingLinks();
  PendingLinks(const PendingLinks&) = delete;
  PendingLinks& operator=(const PendingLinks&) = delete;

  /// Takes the ownership of an accepted socket.
  void Add(int aSocket);
  std::size_t Count() const { return m_connections.size(); }

private:
  struct Connection
  {
    PendingLinks* m_owner = nullptr;
    bufferevent* m_events = nullptr;
    TimePoint m_accepted_at;
  };

  static void OnReadable(bufferevent*, void* aConnection);
  static void OnEvent(bufferevent*, short, void* aConnection);
  void Read(Connection* aConnection);
  void Close(Connection* aConnection);
  /// Forgets a connection and returns its bufferevent.
  bufferevent* Remove(Connection* aConnection);
  void Sweep();

  EventLoop& m_loop;
  Limits m_limits;
  Handler m_on_first_message;
  /// In the order in which they were accepted.
  std::list<Connection> m_connections;
  Timer m_sweep;
};

}
