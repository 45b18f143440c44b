#pragma once

#include <LibCore/StrongString.h>
#include <LibHttp/EventLoop.h>
#include <absl/container/flat_hash_set.h>
#include <absl/status/statusor.h>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace auburnhitch {

/// A connection between two daemons that carries messages in order. A link that ends is never
/// opened again; whoever needs one opens a new one. Not thread-safe.
class PeerLink
{
public:
  struct Handlers
  {
    std::function<void(const nlohmann::json& aMessage)> m_on_message;
    /// The link has ended: broken, closed by the peer or sending what is no message.
    std::function<void(const char* aReason)> m_on_closed;
  };

  /// Connects to a peer. Messages may be sent at once; they leave when the link is up.
  static std::unique_ptr<PeerLink> Connect(EventLoop& aLoop,
                                           const SocketAddress& aPeer,
                                           Handlers aHandlers);
  /// Takes over an accepted connection.
  PeerLink(EventLoop& aLoop, bufferevent* aEvents);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /// The handlers may destroy the link, but only from m_on_closed.
  void SetHandlers(Handlers aHandlers) { m_handlers = std::move(aHandlers); }
  /// Precondition: the message is smaller than kMaxMessageBytes when encoded.
  void Send(const nlohmann::json& aMessage);
  /// Bytes not yet taken by the network.
  std::size_t UnsentBytes() const;

  static constexpr std::size_t kMaxMessageBytes = 64 << 10;

private:
  static void OnReadable(bufferevent*, void* aLink);
  static void OnEvent(bufferevent*, short aWhat, void* aLink);
  void Read();
  void Fail(const char* aReason);

  EventLoop& m_loop;
  bufferevent* m_events;
  Handlers m_handlers;
  std::unique_ptr<Timer> m_connect_timer;
  std::shared_ptr<bool> m_is_alive = std::make_shared<bool>(true);
  bool m_is_over = false;
};

/// Accepts links of other daemons. Not thread-safe.
class PeerLinkListener
{
public:
  using Handler = std::function<void(std::unique_ptr<PeerLink>)>;

  /// Fails with Unavailable when the address cannot be had.
  static absl::StatusOr<std::unique_ptr<PeerLinkListener>> Create(EventLoop& aLoop,
                                                                  const SocketAddress& aAddress,
                                                                  Handler aHandler);
  ~PeerLinkListener();
  PeerLinkListener(const PeerLinkListener&) = delete;
  PeerLinkListener& operator=(const PeerLinkListener&) = delete;

private:
  PeerLinkListener(EventLoop& aLoop, Handler aHandler);
  static void OnAccept(evconnlistener*, int aSocket, sockaddr*, int, void* aSelf);

  EventLoop& m_loop;
  Handler m_handler;
  evconnlistener* m_listener = nullptr;
};

}
