#pragma once

#include <LibCluster/Heartbeat.h>
#include <LibCluster/PeerLink.h>

#include <atomic>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace auburnhitch::tests {

/// Carries the heartbeats and links between daemons and cuts the paths between them. What a daemon
/// sends on a path that is cut does not arrive, and neither side notices: heartbeats are lost,
/// messages on links arrive once the path is healed. Daemons advertise addresses of the network
/// instead of their own. Runs on a thread of its own. Thread-safe.
class PeerNetwork
{
public:
  struct Node
  {
    HostName m_host;
    /// Where the daemon listens.
    SocketAddress m_address;
    /// Where the network listens in its place.
    SocketAddress m_advertised_address;
  };

  explicit PeerNetwork(std::vector<Node> aNodes);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  /// Cuts or heals the path from one daemon to another, in this direction only.
  void SetCut(std::size_t aFrom, std::size_t aTo, bool aIsCut);
  /// Cuts or heals the paths between a daemon and all others, in both directions.
  void SetIsolated(std::size_t aNode, bool aIsIsolated);
  /// Sets whether forwarded records are lost on all paths.
  void SetLosesRecords(bool aLoses) { m_loses_records = aLoses; }
  /// Number of heartbeats and messages that were lost or held back.
  std::size_t HeldBackCount() const { return m_held_back; }

private:
  /// The two connections of a link between two daemons.
  struct Relay
  {
    std::size_t m_target = 0;
    /// Who opened the link; nothing before its first message.
    std::optional<std::size_t> m_initiator;
    std::unique_ptr<PeerLink> m_near;
    std::unique_ptr<PeerLink> m_far;
    /// Messages that wait until their path is healed.
    std::vector<nlohmann::json> m_to_target;
    std::vector<nlohmann::json> m_to_initiator;
    bool m_is_near_closed = false;
    bool m_is_far_closed = false;
  };

  void Run();
  void OnHeartbeat(std::size_t aTarget, const Heartbeat& aHeartbeat);
  void OnRecords(std::size_t aTarget, const RecordsMessage& aMessage);
  void OnLink(std::size_t aTarget, std::unique_ptr<PeerLink> aLink);
  void OnMessageFromInitiator(Relay& aRelay, const nlohmann::json& aMessage);
  void Forward(Relay& aRelay);
  /// Whether both connections of a relay can be closed: one is, the other side may know, and all
  /// messages have been sent.
  bool IsOver(const Relay& aRelay) const;
  void ForwardAll();
  bool IsCut(std::size_t aFrom, std::size_t aTo) const;
  std::optional<std::size_t> IndexOf(const HostName& aHost) const;

  std::vector<Node> m_nodes;
  EventLoop m_loop;
  std::vector<std::unique_ptr<PeerLinkListener>> m_listeners;
  std::vector<std::unique_ptr<HeartbeatSocket>> m_sockets;
  std::vector<std::unique_ptr<Relay>> m_relays;
  std::atomic<std::size_t> m_held_back = 0;
  std::atomic<bool> m_is_stopping = false;
  std::atomic<bool> m_loses_records = false;
  mutable std::mutex m_mutex;
  std::set<std::pair<std::size_t, std::size_t>> m_cut;
  std::thread m_thread;
};

}
