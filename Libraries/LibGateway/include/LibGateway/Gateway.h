#pragma once

#include <LibCluster/Heartbeat.h>
#include <LibGateway/ActiveRequest.h>
#include <LibGateway/GatewaySettings.h>
#include <LibGateway/PathProbe.h>
#include <LibGateway/RequestRefusal.h>
#include <LibRegistry/VersionHistory.h>
#include <LibRollout/RolloutStore.h>
#include <functional>
#include <map>
#include <memory>

namespace auburnhitch {

/// The request path of one daemon: admits requests, and holds this process's view of the
/// configuration, the endpoints and the other daemons. Not thread-safe.
class Gateway
{
public:
  /// Precondition: the loop and the dialect outlive the gateway.
  Gateway(EventLoop& aLoop, const GatewaySettings& aSettings, const Dialect& aDialect);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Updates from the source of configuration and endpoints.

  /// Applies a configuration if it is newer than the current one.
  void SetRoutingTable(RoutingTablePtr aTable);
  void RenewEndpoint(const EndpointEntry& aEntry);
  /// aKnownAt: since when the record of the removal has been known to exist.
  void RemoveEndpoint(const EndpointId& aId, TimePoint aKnownAt);
  void ReplaceEndpoints(const std::vector<EndpointEntry>& aEntries);
  /// Called when all existing registrations have been read.
  void OnRegistryRead();
  void SetStoreReachable(bool aIsReachable, const std::string& aReason);
  /// Called when the store has lost records that it had acknowledged. What it lists next may be
  /// older than what is known here.
  void OnStoreWentBack();

  /// Sets the order in force for a service; another order replaces it. Without effect unless
  /// GatewaySettings::m_rollout_bounds is set, as the two below.
  void SetRolloutOrder(const RolloutOrder& aOrder);
  void RemoveRolloutOrder(const ServiceName& aService);
  /// Precondition: the store outlives the gateway, and calls each handler once.
  void SetRolloutStore(RolloutStore* aStore);

  // Updates about other daemons.

  void OnHeartbeat(const Heartbeat& aHeartbeat);
  /// Records a daemon of the store's member list, which may be this one.
  void RecordListed(const Member& aMember);
  void RecordUnlisted(const HostName& aHost) { m_membership.RecordUnlisted(aHost); }
  void OnLink(std::unique_ptr<PeerLink> aLink) { m_broker.OnLink(std::move(aLink)); }

  // Callers.

  void OnCallerRequest(const RelayExchangePtr& aExchange);
  /// Decides by the head of a request whose body has not arrived whether it is refused. Returns
  /// what responds to it, or nothing if the body is to be received. A request of another daemon is
  /// never refused so.
  std::function<void(const RelayExchangePtr&)> CheckHead(const MessageHead& aHead);
  /// Refuses a request that has not arrived completely, because this daemon stops.
  void RefuseIncomplete(const RelayExchangePtr& aExchange);

  /// Runs periodic work; must be called every few tens of milliseconds.
  void Tick();
  /// Stops advertising this daemon to callers. Requests that arrive nevertheless are served for
  /// part of the stop grace, then refused with a short Retry-After. All have ended when the
  /// schedule of the stop ends.
  void BeginLeaving();

  bool IsReady() const;
  bool IsLeaving() const { return m_stop.has_value(); }
  /// Set once BeginLeaving() has been called.
  const std::optional<StopSchedule>& Stop() const { return m_stop; }
  Member Self() const;
  Heartbeat MakeHeartbeat() const;
  /// Called when a heartbeat has been sent to the other daemons.
  void OnHeartbeatSent() { m_announced_spending_changes = m_quotas.Changes(); }
  /// Whether this daemon is a store reader: it long-polls the store for new records and announces
  /// them to the other daemons.
  bool IsReader() const { return m_is_reader; }
  /// Addresses at which callers can be served, including this daemon's own if it can serve them.
  std::vector<SocketAddress> CallerAddresses() const;
  const Membership& Members() const { return m_membership; }
  std::size_t ActiveRequestCount() const { return m_active_requests.size(); }
  GatewayMetrics& Metrics() { return m_metrics; }
  GatewayGauges Gauges() const;
  const RoutingTablePtr& Table() const { return m_table; }
  /// Interval at which heartbeats are to be sent. Grows with the number of receiving daemons; is
  /// shorter while this daemon's quota spending has changed or others depend on it as store reader.
  Milliseconds HeartbeatInterval() const;

private:
  /// A request that arrives while the daemon starts waits this long for the daemon to become ready,
  /// which takes about 20 ms when the store responds.
  static constexpr Milliseconds kMaxWaitForReadiness{ 80 };

  std::unique_ptr<RolloutDirector> MakeRollouts();
  void TickRollouts();
  Milliseconds BaseHeartbeatInterval() const;
  void UpdateReader();
  void Refuse(RelayExchange& aExchange,
              const std::string& aRequestId,
              const RequestRefusal& aRefusal);
  /// Why this daemon serves no request at present.
  std::optional<RequestRefusal> FindStateRefusal() const;
  /// Serves or refuses the requests that arrived before this daemon was ready.
  void ServeEarlyRequests();
  void Admit(const RelayExchangePtr& aExchange, CallerRequestHead aHead);
  /// Since when the store has been readable; now if it is not.
  TimePoint StoreReadableSince() const;
  /// The software version that sent the first event of all streams of a service that callers may
  /// resume; nothing if there may be several.
  std::optional<SoftwareVersion> OnlyVersionOf(const ServiceName& aService) const;
  std::vector<SlotEndpointInfo> EndpointsOf(const ServiceName& aService) const;
  void OnRegistryChanges(const EndpointRegistry::Changes& aChanges);
  /// Moves the requests that have not been written to an endpoint that wants no further ones to
  /// other endpoints.
  void OnEndpointUnavailable(const EndpointIncarnation& aEndpoint);
  void UpdateDaemonCounts();
  /// Notices whether this daemon reaches the endpoints, and lets requests that may wait in vain for
  /// some of them go another way.
  void UpdateReach();
  TimePoint Now() const { return m_loop.Now(); }

  EventLoop& m_loop;
  GatewaySettings m_settings;
  const Dialect& m_dialect;
  Incarnation m_incarnation;
  TimePoint m_created_at;
  std::uint64_t m_refused_by_head = 0;
  std::optional<StopSchedule> m_stop;
  bool m_is_store_reachable = false;
  std::optional<TimePoint> m_store_lost_at;
  /// When the store was reachable again last.
  TimePoint m_store_reachable_since;
  GatewayMetrics m_metrics;
  RoutingTablePtr m_table;
  EndpointRegistry m_registry;
  VersionHistory m_versions;
  Membership m_membership;
  QuotaLedger m_quotas;
  std::uint64_t m_announced_spending_changes = 0;
  StoreReaderSelector m_readers;
  bool m_is_reader = true;
  RetryBudget m_retry_budget;
  RefusedRequests m_refused{ RefusedRequests::Limits() };
  EndpointReach m_reach{ EndpointReach::Limits() };
  bool m_cannot_connect = false;
  ForwardTargets m_targets;
  RelayClient m_client;
  PathProbe m_probe;
  TimePoint m_ticked_at;
  /// Null unless rollouts are in force.
  std::unique_ptr<RolloutDirector> m_rollouts;
  SlotBroker m_broker;
  ActiveRequestDependencies m_dependencies;
  std::map<ActiveRequest*, std::unique_ptr<ActiveRequest>> m_active_requests;
  std::vector<RelayExchangePtr> m_early_requests;
  std::size_t m_alive_count = 0;
};

}
