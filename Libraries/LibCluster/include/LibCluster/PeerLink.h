#pragma once

#include <LibCluster/PendingLinks.h>
#include <LibCore/StrongString.h>
#include <LibHttp/EventLoop.h>
#include <absl/container/flat_hash_set.h>
#include <absl/status/statusor.h>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

struct bufferevent;
struct evbuffer;
struct evconnlistener;
struct sockaddr;

namespace auburnhitch {

/// A TCP connection between two daemons that carries messages in order. A link that has ended is
/// not reopened; its owner connects a new one. Not thread-safe.
class PeerLink
{
public:
  struct Handlers
  {
    std::function<void(const nlohmann::json& aMessage)> m_on_message;
    /// The link has ended: it failed, the peer closed it or sent a malformed message.
    std::function<void(const char* aReason)> m_on_closed;
  };

  /// Connects to a peer. Messages may be sent at once; they are buffered until the link is up.
  static std::unique_ptr<PeerLink> Connect(EventLoop& aLoop,
                                           const SocketAddress& aPeer,
                                           Handlers aHandlers);
  /// Wraps an accepted connection and takes ownership of it.
  PeerLink(EventLoop& aLoop, bufferevent* aEvents);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /// m_on_closed may destroy the link; m_on_message may not.
  void SetHandlers(Handlers aHandlers) { m_handlers = std::move(aHandlers); }
  /// Precondition: the message is smaller than kMaxMessageBytes when encoded.
  void Send(const nlohmann::json& aMessage);
  /// Bytes buffered here that the kernel has not accepted yet.
  std::size_t UnsentBytes() const;

  static constexpr std::size_t kMaxMessageBytes = 64 << 10;
  /// Each message is preceded by its length in this many bytes, most significant byte first.
  static constexpr std::size_t kLengthBytes = 4;
  /// The stated length of the first message in a buffer; nothing while it is incomplete.
  static std::optional<std::size_t> LengthOfFirstMessage(evbuffer* aInput);

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

/// Accepts peer links from other daemons. The handler is called when the first message of a link
/// has arrived, which the link then delivers. Not thread-safe.
class PeerLinkListener
{
public:
  using Handler = std::function<void(std::unique_ptr<PeerLink>)>;

  /// Fails with Unavailable when it cannot listen on the address.
  static absl::StatusOr<std::unique_ptr<PeerLinkListener>> Create(
    EventLoop& aLoop,
    const SocketAddress& aAddress,
    Handler aHandler,
    const PendingLinks::Limits& aLimits = {});
  ~PeerLinkListener();
  PeerLinkListener(const PeerLinkListener&) = delete;
  PeerLinkListener& operator=(const PeerLinkListener&) = delete;

private:
  PeerLinkListener(EventLoop& aLoop, Handler aHandler, const PendingLinks::Limits& aLimits);
  static void OnAccept(evconnlistener*, int aSocket, sockaddr*, int, void* aSelf);

  PendingLinks m_pending;
  evconnlistener* m_listener = nullptr;
};

}
