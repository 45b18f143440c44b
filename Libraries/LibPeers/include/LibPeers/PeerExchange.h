#pragma once

#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpClient.h>
#include <LibPeers/PeerTable.h>
#include <absl/random/random.h>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace auburnhitch {

/// Tells a few peers the news at each interval, and fetches the documents in which they are ahead.
/// The bytes sent at each interval are bounded by the fan-out. Not thread-safe.
class PeerExchange
{
public:
  struct Handlers
  {
    std::function<PeerUpdate()> m_own_update;
    /// Addresses of all peers that can be asked, without this daemon.
    std::function<std::vector<SocketAddress>()> m_peers;
    std::function<void(const PeerUpdate&)> m_on_update;
    /// Whether the peer holds documents that this daemon lacks.
    std::function<bool(const PeerUpdate&)> m_is_ahead;
    std::function<void(const DocumentSnapshot&)> m_on_documents;
  };

  PeerExchange(EventLoop& aLoop,
               HttpClient& aClient,
               Milliseconds aInterval,
               std::size_t aFanOut,
               Handlers aHandlers);

  /// Tells the news now, out of turn: a document has changed.
  void SendNow() { SendUpdates(); }

  /// Takes news that a peer sent, and answers with the own ones.
  Json OnExchange(const Json& aUpdate);

private:
  void SendUpdates();
  void ExchangeWith(const SocketAddress& aPeer);
  void OnUpdate(const PeerUpdate& aUpdate);
  void FetchDocuments(const PeerUpdate& aFrom);

  HttpClient& m_client;
  Milliseconds m_interval;
  std::size_t m_fan_out;
  Handlers m_handlers;
  absl::BitGen m_generator;
  std::map<SocketAddress, std::unique_ptr<HttpCall>> m_exchanges;
  std::map<SocketAddress, std::unique_ptr<HttpCall>> m_fetches;
  Timer m_timer;
};

}
