#pragma once

#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpServer.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;

namespace auburnhitch::standins {

/// What a proxy does to the connections that it forwards.
enum class Fault
{
  None,
  /// Does not listen, so that connections are refused.
  Refuse,
  /// Does not establish connections: connecting takes until the caller gives up. Connections that
  /// have this fault hold back all bytes until the fault is taken from them.
  Unreachable,
  /// Closes each connection when it is accepted, with a TCP reset if the command asks for it.
  CutBeforeRequest,
  /// Forwards the request and closes both connections at the first byte of the response.
  CutAfterRequest,
  /// Closes both connections once the given number of response bytes has been forwarded.
  CutMidAnswer,
  /// Accepts connections and forwards nothing in either direction.
  Silence,
  /// Forwards the request and discards the response, without closing.
  SilenceAfterRequest,
  /// Forwards one byte at a time, at intervals of the given delay.
  SlowBytes,
  /// Forwards each piece of the response twice.
  DoubledAnswer,
  /// Holds the response back and forwards what has arrived at intervals of the given delay.
  LateAnswer,
};

/// Forwards TCP connections to a target, with the way in which either side closes, and injects the
/// fault that was set by command.
class FaultProxy
{
public:
  FaultProxy(EventLoop& aLoop,
             const SocketAddress& aAddress,
             const SocketAddress& aTarget,
             const SocketAddress& aControl);
  ~FaultProxy();

private:
  struct Link;

  void OnControl(HttpExchange& aExchange);
  void Listen();
  void StopListening();
  /// Listens without accepting, with a full queue of connections.
  void ListenInVain();
  void StopListeningInVain();
  /// Gives the present fault to the connections that are open.
  void ChangeOpenLinks();
  void Accept(int aSocket);
  /// Closes both connections of a link, if it is still open.
  void Drop(std::uint64_t aLink);
  /// As Drop(), with a TCP reset if the command asked for it.
  void Cut(std::uint64_t aLink);
  static void OnSent(bufferevent*, void* aLink);
  static void OnRead(bufferevent* aSide, void* aLink);
  static void OnEvent(bufferevent* aSide, short aWhat, void* aLink);

  EventLoop& m_loop;
  SocketAddress m_address;
  SocketAddress m_target;
  Fault m_fault = Fault::None;
  /// Response bytes that Fault::CutMidAnswer forwards.
  std::size_t m_after_bytes = 0;
  Milliseconds m_delay{ 0 };
  /// Number of further connections to which the fault applies; negative for all.
  int m_times = -1;
  /// Whether a fault that cuts connections resets them instead of closing them in order.
  bool m_cuts_with_reset = false;
  /// By their numbers, which are not reused.
  std::map<std::uint64_t, std::unique_ptr<Link>> m_links;
  std::uint64_t m_last_link = 0;
  evconnlistener* m_listener = nullptr;
  /// The sockets of ListenInVain(); the first one listens.
  std::vector<int> m_vain_sockets;
  std::unique_ptr<HttpServer> m_control;
};

}
