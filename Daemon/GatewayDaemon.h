#pragma once

#include <LibCluster/Heartbeat.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/GatewaySettings.h>
#include <LibRelay/RelayServer.h>
#include <absl/status/statusor.h>
#include <memory>
#include <platform/PlatformAdapter.h>
#include <platform/PlatformDialect.h>

namespace auburnhitch {

/// One gateway process: connects the request path to the event loop, the listening ports, the other
/// daemons and the store. Not thread-safe.
class GatewayDaemon
{
public:
  /// Listens, and starts to read the store. Fails when it cannot listen on one of the ports.
  static absl::StatusOr<std::unique_ptr<GatewayDaemon>> Create(EventLoop& aLoop,
                                                               const GatewaySettings& aSettings);
  ~GatewayDaemon();
  GatewayDaemon(const GatewayDaemon&) = delete;
  GatewayDaemon& operator=(const GatewayDaemon&) = delete;

  /// Stops accepting callers, lets running requests finish, then stops the event loop.
  void BeginStop();
  /// Applies the settings that may change while the process runs, and logs whether others have
  /// changed, which take effect only at the next start.
  void Reload(const GatewaySettings& aSettings);

private:
  GatewayDaemon(EventLoop& aLoop, const GatewaySettings& aSettings);

  absl::Status Listen();
  void OnReadinessRequest(RelayExchange& aExchange) const;
  void OnDirectoryRequest(RelayExchange& aExchange) const;
  void OnMetricsRequest(RelayExchange& aExchange);
  void OnHeartbeat(const Heartbeat& aHeartbeat);
  void OnForwardedRecords(const RecordsMessage& aMessage);
  /// Sends records that this daemon has read as a store reader to the daemons of its data centre
  /// that are not store readers.
  void SendRecords(const RecordsMessage& aMessage);
  /// Whether a store reader of this data centre forwards its records to this daemon.
  bool ExpectsForwarding() const;
  Heartbeat OwnHeartbeat() const;
  void SendHeartbeats();
  /// Announces new records in the store to the other daemons, if this one is a store reader.
  void SendNewPositions();
  void OnTick();
  void StopWhenIdle();
  /// Logs, at most once in an interval, that callers were refused or closed for memory.
  void LogMemoryShortage();
  /// Logs how many lines have been dropped since the last call, if any.
  void LogDroppedLines();

  EventLoop& m_loop;
  GatewaySettings m_settings;
  PlatformDialect m_dialect;
  /// Makes the calls about rollouts: while there is no order, it has no connection.
  StoreClient m_rollout_client;
  RolloutRecordStore m_rollouts;
  Gateway m_gateway;
  PlatformAdapter m_adapter;
  /// What all ports hold for their callers.
  MemoryBudget m_memory;
  std::unique_ptr<RelayServer> m_callers;
  std::unique_ptr<RelayServer> m_readiness;
  std::unique_ptr<RelayServer> m_directory;
  std::unique_ptr<RelayServer> m_metrics;
  std::unique_ptr<HeartbeatSocket> m_heartbeat_socket;
  std::unique_ptr<PeerLinkListener> m_link_listener;
  RoutingTablePtr m_applied_table;
  TimePoint m_heartbeats_sent_at;
  TopicPositions m_sent_positions;
  TimePoint m_logs_flushed_at;
  TimePoint m_memory_logged_at;
  std::uint64_t m_logged_reclaimed = 0;
  std::uint64_t m_logged_dropped_lines = 0;
  bool m_was_ready = false;
  Timer m_tick;
};

}
