#include <LibGateway/Gateway.h>

#include <LibCore/Digest.h>
#include <LibCore/Log.h>
#include <LibGateway/RequestDigest.h>
#include <LibPlacement/IdleConnections.h>
#include <algorithm>

namespace auburnhitch {

namespace {

constexpr std::size_t kMaxIdlePerEndpoint = 64;
// Time reserved from the drain bound for reading the store's notice about an endpoint and for an
// attempt that is already under way.
constexpr Milliseconds kDrainMargin{ 500 };
// Once the store has been unreachable for this long, it may hold records that this daemon lacks,
// and the daemon no longer counts as current.
constexpr Milliseconds kMaxCurrentStoreSilence{ 1'500 };
// The heartbeat interval among a few daemons. It grows with the number of daemons, so that what a
// daemon sends grows no faster than that number.
constexpr Milliseconds kMinHeartbeatInterval{ 200 };
constexpr Milliseconds kHeartbeatIntervalPerDaemon{ 12 };
// Store readers send heartbeats at least this often, since the other daemons depend on their read
// positions.
constexpr Milliseconds kMaxReaderHeartbeatInterval{ 400 };
// Heartbeat intervals without a heartbeat after which a daemon counts as not alive: three
// heartbeats lost in a row.
constexpr double kHeartbeatIntervalsUntilNotAlive = 3.5;
// As long as the list of daemons is not known, there may be as many daemons as endpoints, and no
// fewer than this.
constexpr std::size_t kMinAssumedDaemons = 16;

// Callers resume no stream that is older than this.
constexpr Milliseconds kMaxStreamAge = StreamVersions::Limits().m_retention;

constexpr int kBadRequest = 400;

EndpointRegistry::Limits
RegistryLimits(const GatewaySettings& aSettings)
{
  EndpointRegistry::Limits limits;
  limits.m_removal_grace = std::max(Milliseconds(0), aSettings.m_drain_bound - kDrainMargin);
  return limits;
}

SlotBroker::Limits
BrokerLimits(const GatewaySettings& aSettings)
{
  SlotBroker::Limits limits;
  limits.m_scheduler.m_max_retry_after = aSettings.m_max_retry_after;
  limits.m_scheduler.m_learn_concurrency = aSettings.m_learn_concurrency;
  limits.m_scheduler.m_is_contended = aSettings.m_is_contended;
  return limits;
}

}

Gateway::Gateway(EventLoop& aLoop, const GatewaySettings& aSettings, const Dialect& aDialect)
  : m_loop(aLoop)
  , m_settings(aSettings)
  , m_dialect(aDialect)
  , m_incarnation(RandomName())
  , m_created_at(aLoop.Now())
  , m_registry(RegistryLimits(aSettings))
  , m_versions(kMaxStreamAge)
  , m_membership(Membership::Limits(), aSettings.m_host)
  , m_quotas(aSettings.m_quota_tolerance)
  , m_readers(StoreReaderSelector::Limits())
  , m_retry_budget(aSettings.m_retry_budget)
  , m_targets(m_membership, aSettings.m_data_center)
  , m_client(aLoop, kIdleConnectionLifetime, kMaxIdlePerEndpoint)
  , m_probe({ &aLoop, &m_client, &m_reach, &m_registry, &aDialect, &m_metrics })
  , m_rollouts(MakeRollouts())
  , m_broker(BrokerLimits(aSettings),
             SlotBroker::Dependencies{
               &aLoop,
               &m_membership,
               &m_quotas,
               [this] { return Self(); },
               [this](const ServiceName& aService) { return EndpointsOf(aService); },
               [this](const ServiceName& aService) { return OnlyVersionOf(aService); },
               [this](const EndpointIncarnation& aEndpoint) { OnEndpointUnavailable(aEndpoint); },
               m_rollouts.get() })
  , m_dependencies{
    &aLoop,   &m_client,  &m_broker, &m_registry, &m_retry_budget,         &m_refused,
    &m_reach, &m_targets, &aDialect, &m_metrics,  aSettings.m_data_center, &m_stop
  }
{
}

Gateway::~Gateway() = default;

Member
Gateway::Self() const
{
  const bool is_current =
    m_is_store_reachable || (m_store_lost_at && Now() - *m_store_lost_at < kMaxCurrentStoreSilence);
  Member self{ m_settings.m_host,
               m_incarnation,
               m_settings.m_data_center,
               m_settings.m_advertised_peer_address,
               m_settings.m_caller_address,
               IsLeaving(),
               IsReady(),
               is_current,
               m_is_reader,
               m_settings.m_processor_millicores,
               !m_reach.CannotConnect(Now()) };
  self.m_knows_members = m_membership.IsComplete();
  return self;
}

Heartbeat
Gateway::MakeHeartbeat() const
{
  return Heartbeat{ Self(), m_table ? m_table->Version() : 0, {}, m_quotas.OwnSpending() };
}

bool
Gateway::IsReady() const
{
  return m_table != nullptr && m_registry.IsLoaded();
}

void
Gateway::SetRoutingTable(RoutingTablePtr aTable)
{
  if (m_table != nullptr && aTable->Version() <= m_table->Version()) {
    return;
  }
  LogOf("config").info("event=in-force version={} before={} routes={} workspaces={}",
                       aTable->Version(),
                       m_table ? m_table->Version() : 0,
                       aTable->Routes().size(),
                       aTable->Workspaces().size());
  m_table = std::move(aTable);
  m_quotas.SetWorkspaces(m_table->Workspaces(), Now());
}

void
Gateway::RenewEndpoint(const EndpointEntry& aEntry)
{
  OnRegistryChanges(m_registry.AddOrRenew(aEntry));
  m_broker.OnEndpointRenewed(aEntry.m_service, aEntry.Run(), StoreReadableSince());
}

void
Gateway::RemoveEndpoint(const EndpointId& aId, TimePoint aKnownAt)
{
  OnRegistryChanges(m_registry.Remove(aId, aKnownAt, Now()));
}

void
Gateway::ReplaceEndpoints(const std::vector<EndpointEntry>& aEntries)
{
  OnRegistryChanges(m_registry.Replace(aEntries, Now()));
}

void
Gateway::OnRegistryRead()
{
  m_registry.MarkLoaded();
  m_versions.MarkLoaded(Now());
}

void
Gateway::OnRegistryChanges(const EndpointRegistry::Changes& aChanges)
{
  if (aChanges.empty()) {
    return;
  }
  for (const RegistryChange& change : aChanges) {
    LogOf("registry")
      .info("event={} endpoint={} service={} address={} version={} places={} registry={}",
            NameOf(change.m_type),
            change.m_entry.m_id.Value(),
            change.m_entry.m_service.Value(),
            change.m_entry.m_address.Value(),
            change.m_entry.m_software_version.Value(),
            change.m_entry.m_slots,
            m_registry.Version());
    if (m_versions.Record(change, Now())) {
      m_broker.Streams().OnVersionChanged(change.m_entry.m_id);
    }
    if (change.m_type == RegistryChange::Type::Added ||
        change.m_type == RegistryChange::Type::Restarted) {
      m_broker.OnEndpointRegistered(
        change.m_entry.m_service, change.m_entry.Run(), StoreReadableSince());
    }
  }
  if (m_rollouts != nullptr) {
    m_rollouts->OnEndpointsChanged();
  }
  m_broker.OnEndpointsChanged();
}

void
Gateway::OnEndpointUnavailable(const EndpointIncarnation& aEndpoint)
{
  // Deferred, since this may run inside a callback of one of the requests.
  m_loop.Defer([this, aEndpoint] {
    for (const auto& [raw, active_request] : m_active_requests) {
      raw->OnEndpointUnavailable(aEndpoint);
    }
  });
}

TimePoint
Gateway::StoreReadableSince() const
{
  // Without the store, a registration may be as old as the outage.
  return m_is_store_reachable ? m_store_reachable_since : Now();
}

std::optional<SoftwareVersion>
Gateway::OnlyVersionOf(const ServiceName& aService) const
{
  // Without the store, endpoints of a new version may serve unnoticed.
  return m_is_store_reachable ? m_versions.OnlyVersionSince(aService, Now() - kMaxStreamAge)
                              : std::nullopt;
}

std::vector<SlotEndpointInfo>
Gateway::EndpointsOf(const ServiceName& aService) const
{
  std::vector<SlotEndpointInfo> infos;
  for (const EndpointEntry& entry : m_registry.UsableEndpoints(aService)) {
    infos.push_back(SlotEndpointInfo{ entry.m_id,
                                      entry.m_data_center,
                                      entry.m_slots,
                                      entry.m_started_at_ms,
                                      entry.m_software_version,
                                      m_broker.KnownLimitOf(entry.Run()) });
  }
  return infos;
}

void
Gateway::SetStoreReachable(bool aIsReachable, const std::string& aReason)
{
  if (aIsReachable == m_is_store_reachable) {
    return;
  }
  m_is_store_reachable = aIsReachable;
  m_registry.SetStoreReachable(aIsReachable, Now());
  if (aIsReachable) {
    m_store_reachable_since = Now();
    LogOf("store").info("event=regained why=\"{}\"", aReason);
  } else {
    m_store_lost_at = Now();
    LogOf("store").warn("event=lost why=\"{}\" config={} registry={}",
                        aReason,
                        m_table ? m_table->Version() : 0,
                        m_registry.Version());
  }
}

void
Gateway::OnStoreWentBack()
{
  m_store_reachable_since = Now();
  m_registry.OnStoreWentBack(Now());
  if (m_rollouts != nullptr) {
    m_rollouts->OnStoreWentBack();
  }
}

void
Gateway::OnHeartbeat(const Heartbeat& aHeartbeat)
{
  const HostName& host = aHeartbeat.m_member.m_host;
  if (host == m_settings.m_host) {
    return;
  }
  const bool was_alive = m_membership.IsAlive(host, Now());
  Member member = aHeartbeat.m_member;
  member.m_configuration_version = aHeartbeat.m_configuration_version;
  const bool is_new = m_membership.RecordHeartbeat(member, Now());
  if (!was_alive || is_new) {
    LogOf("cluster").info("event=peer-heard peer={} incarnation={} new={}",
                          host.Value(),
                          aHeartbeat.m_member.m_incarnation.Value(),
                          is_new);
  }
  m_quotas.RecordPeerSpending(aHeartbeat.m_member.m_incarnation, aHeartbeat.m_spending, Now());
}

void
Gateway::RecordListed(const Member& aMember)
{
  if (aMember.m_host != m_settings.m_host) {
    m_membership.RecordListed(aMember);
    return;
  }
  // A record of an earlier incarnation may be older than those of other daemons.
  if (aMember.m_incarnation == m_incarnation && !m_membership.IsComplete()) {
    m_membership.MarkComplete();
    LogOf("cluster").info("event=listed after_ms={} known={}",
                          ToMilliseconds(Now() - m_created_at),
                          m_membership.KnownMembers().size());
  }
}

void
Gateway::UpdateDaemonCounts()
{
  const std::size_t alive = m_membership.AliveMembers(Now()).size();
  const std::size_t known = m_membership.KnownMembers().size();
  if (alive != m_alive_count) {
    LogOf("cluster").info(
      "event=peers-heard count={} before={} known={}", alive, m_alive_count, known);
    m_alive_count = alive;
  }
  m_membership.SetHeartbeatTimeout(Milliseconds(static_cast<std::int64_t>(
    kHeartbeatIntervalsUntilNotAlive * static_cast<double>(BaseHeartbeatInterval().count()))));
  m_membership.SetMaxCount(std::max(kMinAssumedDaemons, m_registry.Size()));
  m_quotas.SetDaemonCount(alive + 1, m_membership.CountForShares());
  m_retry_budget.SetDaemonCount(m_membership.CountForShares());
}

void
Gateway::UpdateReader()
{
  const bool is_reader = m_readers.IsReader(Self(), m_membership, Now());
  if (is_reader != m_is_reader) {
    LogOf("store").info("event={} heard={} reachable={}",
                        is_reader ? "reader" : "follower",
                        m_alive_count,
                        m_is_store_reachable);
    m_is_reader = is_reader;
  }
}

Milliseconds
Gateway::HeartbeatInterval() const
{
  if (m_quotas.Changes() != m_announced_spending_changes) {
    return kMinHeartbeatInterval;
  }
  return m_is_reader ? std::min(kMaxReaderHeartbeatInterval, BaseHeartbeatInterval())
                     : BaseHeartbeatInterval();
}

Milliseconds
Gateway::BaseHeartbeatInterval() const
{
  return std::max(kMinHeartbeatInterval,
                  kHeartbeatIntervalPerDaemon *
                    static_cast<int>(m_membership.KnownMembers().size()));
}

void
Gateway::Tick()
{
  const TimePoint now = Now();
  std::vector<ActiveRequest*> expired;
  for (const auto& [raw, active_request] : m_active_requests) {
    if (raw->Deadline() <= now) {
      expired.push_back(raw);
    }
  }
  for (ActiveRequest* active_request : expired) {
    active_request->OnDeadline();
  }
  if (m_stop) {
    for (const auto& [raw, active_request] : m_active_requests) {
      raw->OnStopping();
    }
  }
  ServeEarlyRequests();
  UpdateDaemonCounts();
  UpdateReach();
  UpdateReader();
  m_membership.RemoveStale(now);
  OnRegistryChanges(m_registry.Expire(now));
  TickRollouts();
  m_broker.Tick();
}

void
Gateway::UpdateReach()
{
  constexpr Milliseconds kSilence = EndpointReach::Limits().m_min_silence;
  if (Now() - std::exchange(m_ticked_at, Now()) >= kSilence) {
    m_reach.RecordPaused(Now());
    m_probe.Cancel();
  }
  std::vector<ActiveRequest*> active;
  std::vector<ActiveRequest*> silent;
  for (const auto& [raw, active_request] : m_active_requests) {
    active.push_back(raw);
    if (raw->RecordAwaited(kSilence)) {
      silent.push_back(raw);
    }
  }
  m_probe.Tick();
  const bool is_cut_off = m_reach.IsCutOff(Now());
  const bool cannot_connect = m_reach.CannotConnect(Now());
  if (cannot_connect != m_cannot_connect) {
    m_cannot_connect = cannot_connect;
    LogOf("reach").warn("event={} silent_requests={} active_requests={} {}",
                        cannot_connect ? "cannot-connect" : "connects",
                        silent.size(),
                        active.size(),
                        m_reach.Describe(Now()));
  }
  for (ActiveRequest* request : active) {
    request->OnDaemonsChanged();
  }
  if (is_cut_off) {
    for (ActiveRequest* request : silent) {
      request->OnCutOff();
    }
  }
}

void
Gateway::BeginLeaving()
{
  if (!m_stop) {
    m_stop.emplace(Now(), m_settings.m_stop_grace);
  }
}

std::vector<SocketAddress>
Gateway::CallerAddresses() const
{
  std::vector<SocketAddress> addresses;
  if (IsReady() && !IsLeaving() && !m_reach.CannotConnect(Now())) {
    addresses.push_back(m_settings.m_caller_address);
  }
  for (const Member& member : m_membership.AliveMembers(Now())) {
    if (member.m_is_ready && member.m_reaches_endpoints && !member.m_is_leaving) {
      addresses.push_back(member.m_caller_address);
    }
  }
  if (addresses.empty() && m_reach.CannotConnect(Now()) && IsReady() && !IsLeaving()) {
    addresses.push_back(m_settings.m_caller_address);
  }
  return addresses;
}

GatewayGauges
Gateway::Gauges() const
{
  const RelayClientCounts connections = m_client.Counts();
  GatewayGauges gauges;
  gauges.m_active_requests = m_active_requests.size();
  gauges.m_waiting_at_coordinator = m_broker.WaitingCount();
  gauges.m_slots_held_at_coordinator = m_broker.HeldCount();
  gauges.m_endpoint_connections_idle = connections.m_idle;
  gauges.m_endpoint_connections_active = connections.m_active;
  gauges.m_peers_alive = m_alive_count;
  gauges.m_daemons_for_shares = m_membership.CountForShares();
  gauges.m_endpoints = m_registry.Size();
  gauges.m_cannot_connect = m_cannot_connect;
  gauges.m_refused_by_head = m_refused_by_head;
  gauges.m_configuration_version = m_table ? m_table->Version() : 0;
  return gauges;
}

void
Gateway::OnCallerRequest(const RelayExchangePtr& aExchange)
{
  auto head = m_dialect.Decode(aExchange->Head());
  if (!head.ok()) {
    LogOf("request").info("event=malformed why=\"{}\"", std::string(head.status().message()));
    Refuse(*aExchange, "", { kBadRequest, "malformed", std::nullopt });
    return;
  }
  if (m_stop && Now() > m_stop->AcceptsUntil()) {
    Refuse(*aExchange, head->m_request_id, RequestRefusal::Leaving());
    return;
  }
  if (!IsReady() && Now() - aExchange->ReceivedAt() < kMaxWaitForReadiness) {
    m_early_requests.push_back(aExchange);
    return;
  }
  if (m_table == nullptr) {
    Refuse(*aExchange, head->m_request_id, RequestRefusal::WithoutConfiguration());
    return;
  }
  Admit(aExchange, *std::move(head));
}

void
Gateway::ServeEarlyRequests()
{
  for (const RelayExchangePtr& exchange : std::exchange(m_early_requests, {})) {
    if (exchange->IsOpen()) {
      OnCallerRequest(exchange);
    }
  }
}

void
Gateway::Admit(const RelayExchangePtr& aExchange, CallerRequestHead aHead)
{
  const TimePoint now = Now();
  AdmittedRequest request;
  request.m_table = m_table;
  request.m_forwarded = ParseForwardedRequest(aExchange->Head().m_headers);
  if (request.m_forwarded && aHead.m_resumed_stream.empty()) {
    aHead.m_resumed_stream = request.m_forwarded->m_stream;
  }
  if (request.m_forwarded && request.m_forwarded->m_configuration_version > m_table->Version()) {
    Refuse(*aExchange, aHead.m_request_id, RequestRefusal::OlderConfiguration());
    return;
  }
  if (const auto refusal = FindAccessRefusal(*m_table, aHead)) {
    Refuse(*aExchange, aHead.m_request_id, *refusal);
    return;
  }
  request.m_route = m_table->Match(aHead.m_host, aHead.m_path);
  const Route& route = *request.m_route;
  request.m_priority = route.m_priority;
  const RoutedWorkspace* workspace = m_table->FindByKey(aHead.m_key);
  if (m_table->HasWorkspaces() && !route.m_is_public) {
    request.m_workspace = workspace->m_name;
    request.m_priority = CombinedPriority(workspace->m_priority.value_or(0), route.m_priority);
    request.m_quota_tokens =
      workspace->m_counts_tokens ? aHead.m_quota_tokens.value_or(workspace->m_default_tokens) : 1;
  }
  // A resumed stream continues in the service in which it began.
  const bool resumes_stream = route.m_is_resumable && !aHead.m_resumed_stream.empty();
  request.m_service =
    RoutingTable::ServiceFor(route, resumes_stream ? aHead.m_resumed_stream : aHead.m_request_id);
  request.m_digest = RequestDigest(aExchange->Head(),
                                   request.m_workspace ? request.m_workspace->Value() : aHead.m_key,
                                   aExchange->Body());
  request.m_arrived_at = now;
  request.m_deadline = now + std::min(route.m_timeout, aHead.m_max_wait.value_or(kDefaultMaxWait));
  request.m_head = std::move(aHead);
  if (request.m_forwarded) {
    aExchange->MayStayUnread();
  } else {
    m_retry_budget.RecordRequest(request.m_service, now);
  }
  auto active_request = std::make_unique<ActiveRequest>(
    m_dependencies, aExchange, std::move(request), [this](ActiveRequest* aDone) {
      m_active_requests.erase(aDone);
    });
  ActiveRequest* raw = active_request.get();
  m_active_requests.emplace(raw, std::move(active_request));
  raw->Begin();
}

}
