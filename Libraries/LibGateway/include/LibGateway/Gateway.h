#pragma once

#include <LibCluster/Heartbeat.h>
#include <LibGateway/ActiveRequest.h>
#include <LibGateway/GatewaySettings.h>
#include <map>
#include <memory>

namespace auburnhitch {

/// The request path of one daemon: which requests are admitted, and what this process believes of
/// the configuration, the endpoints and the other daemons. Not thread-safe.
class Gateway
{
public:
  /// Precondition: the loop and the dialect outlive the gateway.
  Gateway(EventLoop& aLoop, const GatewaySettings& aSettings, const Dialect& aDialect);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // What a source of configuration and endpoints tells.

  /// Takes over a configuration if it is newer than the present one.
  void SetRoutingTable(RoutingTablePtr aTable);
  void RenewEndpoint(const EndpointEntry& aEntry);
  void RemoveEndpoint(const EndpointId& aId);
  void ReplaceEndpoints(const std::vector<EndpointEntry>& aEntries);
  /// Registrations have been read up to now.
  void OnRegistryRead();
  void SetStoreReachable(bool aIsReachable, const std::string& aWhy);

  // What other daemons tell.

  void OnHeartbeat(const Heartbeat& aNews);
  void RecordListed(const Member& aMember) { m_membership.RecordListed(aMember); }
  void RecordUnlisted(const HostName& aHost) { m_membership.RecordUnlisted(aHost); }
  void OnLink(std::unique_ptr<PeerLink> aLink) { m_broker.OnLink(std::move(aLink)); }

  // Callers.

  void OnCallerRequest(const RelayExchangePtr& aExchange);

  /// Call every few ten milliseconds.
  void Tick();
  /// Takes no further callers; those that come all the same are served for a while, and then told
  /// to go elsewhere.
  void BeginLeaving();

  bool IsReady() const;
  bool IsLeaving() const { return m_leaving_since.has_value(); }
  Member Self() const;
  Heartbeat MakeHeartbeat() const;
  /// The news have gone to the other daemons.
  void OnHeartbeatSent() { m_announced_spending_changes = m_quotas.Changes(); }
  /// Whether this daemon waits at the store for new records and tells the others of them.
  bool IsReader() const { return m_is_reader; }
  /// Addresses at which callers can be served, this daemon's own among them if it can.
  std::vector<SocketAddress> CallerAddresses() const;
  const Membership& Members() const { return m_membership; }
  std::size_t ActiveRequestCount() const { return m_active_requests.size(); }
  GatewayMetrics& Metrics() { return m_metrics; }
  GatewayGauges Gauges() const;
  const RoutingTablePtr& Table() const { return m_table; }
  /// How often the news are to be sent, by the number of daemons that get them and by how much the
  /// others depend on them.
  Milliseconds HeartbeatInterval() const;

private:
  Milliseconds BaseHeartbeatInterval() const;
  void UpdateReader();
  void Refuse(RelayExchange& aExchange,
              int aStatus,
              const std::string& aRequestId,
              const char* aReason,
              std::optional<Milliseconds> aRetryAfter);
  /// Serves or refuses the requests that came before this daemon was ready.
  void ServeEarlyRequests();
  void Admit(const RelayExchangePtr& aExchange, CallerRequestHead aHead);
  std::vector<SlotEndpointInfo> EndpointsOf(const ServiceName& aService) const;
  void OnRegistryChanges(const EndpointRegistry::Changes& aChanges);
  void UpdateDaemonCounts();
  TimePoint Now() const { return m_loop.Now(); }

  EventLoop& m_loop;
  GatewaySettings m_settings;
  const Dialect& m_dialect;
  Incarnation m_incarnation;
  std::optional<TimePoint> m_leaving_since;
  bool m_is_store_reachable = false;
  std::optional<TimePoint> m_store_lost_at;
  GatewayMetrics m_metrics;
  RoutingTablePtr m_table;
  EndpointRegistry m_registry;
  Membership m_membership;
  QuotaLedger m_quotas;
  std::uint64_t m_announced_spending_changes = 0;
  StoreReaderSelector m_readers;
  bool m_is_reader = true;
  RetryBudget m_retry_budget;
  RelayClient m_client;
  SlotBroker m_broker;
  ActiveRequestDependencies m_dependencies;
  std::map<ActiveRequest*, std::unique_ptr<ActiveRequest>> m_active_requests;
  std::vector<RelayExchangePtr> m_early_requests;
  std::size_t m_alive_count = 0;
};

}
