#pragma once

#include <LibBroker/SlotMessages.h>
#include <LibCluster/Heartbeat.h>
#include <LibCluster/PeerLink.h>
#include <atomic>
#include <thread>

namespace auburnhitch::tests {

/// A coordinator that knows nothing of what endpoints state, as a daemon of an earlier version. It
/// grants each request the first endpoint of its list that the request does not avoid. It runs in a
/// thread of its own; thread-safe.
class EarlierCoordinator
{
public:
  /// aDaemon: the peer address of a daemon, which then requests all slots from this coordinator.
  EarlierCoordinator(SocketAddress aDaemon, std::vector<EndpointId> aEndpoints);
  ~EarlierCoordinator();
  EarlierCoordinator(const EarlierCoordinator&) = delete;
  EarlierCoordinator& operator=(const EarlierCoordinator&) = delete;

  /// How often it has granted an endpoint.
  int GrantsOf(const EndpointId& aEndpoint) const;

private:
  void Run(const SocketAddress& aDaemon);
  void OnMessage(PeerLink& aLink, const nlohmann::json& aMessage);

  std::vector<EndpointId> m_endpoints;
  std::vector<std::atomic<int>> m_grants;
  std::atomic<bool> m_is_stopping = false;
  std::thread m_thread;
};

}
