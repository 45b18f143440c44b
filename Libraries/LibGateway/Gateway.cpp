#include <LibGateway/Gateway.h>

#include <LibCore/Digest.h>
#include <LibCore/Log.h>
#include <algorithm>

namespace auburnhitch {

namespace {

// Engines and services of the users say how long they keep a connection in whole seconds, so one
// that says nothing may keep it for less than a second.
constexpr Milliseconds kIdleLifetime{ 700 };
constexpr std::size_t kMaxIdlePerEndpoint = 64;
// A daemon that has no configuration yet gets one within a few hundred milliseconds.
constexpr Milliseconds kRetryWithoutConfiguration{ 300 };
// Route priorities that are told apart within one priority of workspaces.
constexpr int kRoutePriorities = 16;
// Of the time within which an endpoint's leaving must be obeyed, for reading the word and for a
// send that is on its way.
constexpr Milliseconds kDrainMargin{ 500 };
// A request that comes while a daemon starts waits this long for the daemon to be ready, which
// takes some 20 ms when the store answers.
constexpr Milliseconds kPatienceBeforeReady{ 80 };
// Part of the grace during which a leaving daemon takes requests; the rest is for ending them.
constexpr double kTakingPartOfGrace = 0.35;
constexpr Milliseconds kRetryElsewhere{ 50 };
// For how long a caller waits that does not say so.
constexpr Milliseconds kDefaultPatience{ 30'000 };
// A store that has not answered for this long may have news that this daemon lacks.
constexpr Milliseconds kCurrentFor{ 1'500 };
// News to each of a few daemons; with more of them each hears of the others more seldom, so that
// what a daemon sends grows no faster than their number.
constexpr Milliseconds kBeaconInterval{ 200 };
constexpr Milliseconds kBeaconIntervalPerDaemon{ 12 };
// News of daemons on which the others depend: how far the store has been read.
constexpr Milliseconds kReaderBeaconInterval{ 400 };
// Beacons that may be lost in a row before a daemon counts as not heard.
constexpr double kBeaconsUntilUnheard = 3.5;

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;

EndpointRegistry::Limits
RegistryLimits(const GatewaySettings& aSettings)
{
  EndpointRegistry::Limits limits;
  limits.m_removal_grace = std::max(Milliseconds(0), aSettings.m_drain_bound - kDrainMargin);
  return limits;
}

/// A workspace's priority goes before a route's, which orders the requests of equal workspaces.
int
CombinedPriority(const RoutedWorkspace& aWorkspace, const Route& aRoute)
{
  return aWorkspace.m_priority.value_or(0) * kRoutePriorities +
         std::min(aRoute.m_priority, kRoutePriorities - 1);
}

SlotBroker::Limits
BrokerLimits(const GatewaySettings& aSettings)
{
  SlotBroker::Limits limits;
  limits.m_scheduler.m_max_retry_after = aSettings.m_max_retry_after;
  return limits;
}

}

Gateway::Gateway(EventLoop& aLoop, const GatewaySettings& aSettings, const Dialect& aDialect)
  : m_loop(aLoop)
  , m_settings(aSettings)
  , m_dialect(aDialect)
  , m_incarnation(RandomName())
  , m_registry(RegistryLimits(aSettings))
  , m_membership(Membership::Limits(), aSettings.m_host)
  , m_quotas(aSettings.m_quota_tolerance)
  , m_readers(StoreReaderSelector::Limits())
  , m_retry_budget(aSettings.m_retry_budget)
  , m_client(aLoop, kIdleLifetime, kMaxIdlePerEndpoint)
  , m_broker(BrokerLimits(aSettings),
             SlotBroker::Dependencies{
               &aLoop,
               &m_membership,
               &m_quotas,
               [this] { return Self(); },
               [this](const ServiceName& aService) { return EndpointsOf(aService); } })
  , m_dependencies{ &aLoop,          &m_client, &m_broker,  &m_registry,
                    &m_retry_budget, &aDialect, &m_metrics, aSettings.m_data_center }
{
}

Gateway::~Gateway() = default;

Member
Gateway::Self() const
{
  const bool is_current =
    m_is_store_reachable || (m_store_lost_at && Now() - *m_store_lost_at < kCurrentFor);
  return Member{ m_settings.m_host,
                 m_incarnation,
                 m_settings.m_data_center,
                 m_settings.m_peer_address,
                 m_settings.m_caller_address,
                 IsLeaving(),
                 IsReady(),
                 is_current,
                 m_is_reader,
                 m_settings.m_processor_millicores };
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
}

void
Gateway::RemoveEndpoint(const EndpointId& aId)
{
  OnRegistryChanges(m_registry.Remove(aId, Now()));
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
}

void
Gateway::OnRegistryChanges(const EndpointRegistry::Changes& aChanges)
{
  if (aChanges.empty()) {
    return;
  }
  for (const RegistryChange& change : aChanges) {
    LogOf("registry")
      .info("event={} endpoint={} service={} address={} places={} registry={}",
            NameOf(change.m_type),
            change.m_entry.m_id.Value(),
            change.m_entry.m_service.Value(),
            change.m_entry.m_address.Value(),
            change.m_entry.m_slots,
            m_registry.Version());
  }
  m_broker.OnEndpointsChanged();
}

std::vector<SlotEndpointInfo>
Gateway::EndpointsOf(const ServiceName& aService) const
{
  std::vector<SlotEndpointInfo> infos;
  for (const EndpointEntry& entry : m_registry.UsableEndpoints(aService)) {
    infos.push_back(
      SlotEndpointInfo{ entry.m_id, entry.m_data_center, entry.m_slots, entry.m_started_at_ms });
  }
  return infos;
}

void
Gateway::SetStoreReachable(bool aIsReachable, const std::string& aWhy)
{
  if (aIsReachable == m_is_store_reachable) {
    return;
  }
  m_is_store_reachable = aIsReachable;
  m_registry.SetStoreReachable(aIsReachable, Now());
  if (aIsReachable) {
    LogOf("store").info("event=regained why=\"{}\"", aWhy);
  } else {
    m_store_lost_at = Now();
    LogOf("store").warn("event=lost why=\"{}\" config={} registry={}",
                        aWhy,
                        m_table ? m_table->Version() : 0,
                        m_registry.Version());
  }
}

void
Gateway::OnHeartbeat(const Heartbeat& aNews)
{
  const HostName& host = aNews.m_member.m_host;
  if (host == m_settings.m_host) {
    return;
  }
  const bool was_heard = m_membership.IsAlive(host, Now());
  const bool is_new = m_membership.RecordHeartbeat(aNews.m_member, Now());
  if (!was_heard || is_new) {
    LogOf("cluster").info("event=peer-heard peer={} incarnation={} new={}",
                          host.Value(),
                          aNews.m_member.m_incarnation.Value(),
                          is_new);
  }
  m_quotas.RecordPeerSpending(aNews.m_member.m_incarnation, aNews.m_spending, Now());
}

void
Gateway::UpdateDaemonCounts()
{
  const std::size_t heard = m_membership.AliveMembers(Now()).size();
  const std::size_t known = m_membership.KnownMembers().size();
  if (heard != m_alive_count) {
    LogOf("cluster").info(
      "event=peers-heard count={} before={} known={}", heard, m_alive_count, known);
    m_alive_count = heard;
  }
  m_membership.SetHeartbeatTimeout(Milliseconds(static_cast<std::int64_t>(
    kBeaconsUntilUnheard * static_cast<double>(BaseHeartbeatInterval().count()))));
  m_quotas.SetDaemonCount(heard + 1, known + 1);
  m_retry_budget.SetDaemonCount(known + 1);
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
    return kBeaconInterval;
  }
  return m_is_reader ? std::min(kReaderBeaconInterval, BaseHeartbeatInterval())
                     : BaseHeartbeatInterval();
}

Milliseconds
Gateway::BaseHeartbeatInterval() const
{
  return std::max(kBeaconInterval,
                  kBeaconIntervalPerDaemon * static_cast<int>(m_membership.KnownMembers().size()));
}

void
Gateway::Tick()
{
  const TimePoint now = Now();
  std::vector<ActiveRequest*> over;
  for (const auto& [raw, attempt] : m_active_requests) {
    if (raw->Deadline() <= now) {
      over.push_back(raw);
    }
  }
  for (ActiveRequest* attempt : over) {
    attempt->OnDeadline();
  }
  ServeEarlyRequests();
  UpdateDaemonCounts();
  UpdateReader();
  m_membership.RemoveStale(now);
  OnRegistryChanges(m_registry.Expire(now));
  m_broker.Tick();
}

void
Gateway::BeginLeaving()
{
  m_leaving_since = m_leaving_since.value_or(Now());
}

std::vector<SocketAddress>
Gateway::CallerAddresses() const
{
  std::vector<SocketAddress> addresses;
  if (IsReady() && !IsLeaving()) {
    addresses.push_back(m_settings.m_caller_address);
  }
  for (const Member& member : m_membership.AliveMembers(Now())) {
    if (member.m_is_ready && !member.m_is_leaving) {
      addresses.push_back(member.m_caller_address);
    }
  }
  return addresses;
}

GatewayGauges
Gateway::Gauges() const
{
  const RelayClientCounts connections = m_client.Counts();
  GatewayGauges levels;
  levels.m_active_requests = m_active_requests.size();
  levels.m_waiting_at_coordinator = m_broker.WaitingCount();
  levels.m_slots_held_at_coordinator = m_broker.HeldCount();
  levels.m_endpoint_connections_idle = connections.m_idle;
  levels.m_endpoint_connections_active = connections.m_active;
  levels.m_peers_alive = m_alive_count;
  levels.m_endpoints = m_registry.Size();
  levels.m_configuration_version = m_table ? m_table->Version() : 0;
  return levels;
}

void
Gateway::Refuse(RelayExchange& aExchange,
                int aStatus,
                const std::string& aRequestId,
                const char* aReason,
                std::optional<Milliseconds> aRetryAfter)
{
  LogOf("request").info("event=refused request={} status={} reason={} retry_after_ms={} config={}",
                        aRequestId.empty() ? "none" : aRequestId,
                        aStatus,
                        aReason,
                        aRetryAfter ? aRetryAfter->count() : -1,
                        m_table ? m_table->Version() : 0);
  m_metrics.OnRefusedBeforeAdmission(aReason);
  aExchange.Reply(aStatus, m_dialect.GatewayResponseHeaders(aRequestId, aRetryAfter), "");
}

void
Gateway::OnCallerRequest(const RelayExchangePtr& aExchange)
{
  auto head = m_dialect.Decode(aExchange->Head());
  if (!head.ok()) {
    LogOf("request").info("event=malformed why=\"{}\"", std::string(head.status().message()));
    Refuse(*aExchange, kBadRequest, "", "malformed", std::nullopt);
    return;
  }
  if (IsLeaving() && Now() - *m_leaving_since > m_settings.m_stop_grace * kTakingPartOfGrace) {
    Refuse(*aExchange, kServiceUnavailable, head->m_request_id, "leaving", kRetryElsewhere);
    return;
  }
  if (!IsReady() && Now() - aExchange->ReceivedAt() < kPatienceBeforeReady) {
    m_early_requests.push_back(aExchange);
    return;
  }
  if (m_table == nullptr) {
    Refuse(*aExchange,
           kServiceUnavailable,
           head->m_request_id,
           "no-configuration",
           kRetryWithoutConfiguration);
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
  request.m_route = m_table->Match(aHead.m_host, aHead.m_path);
  if (request.m_route == nullptr) {
    Refuse(*aExchange, kNotFound, aHead.m_request_id, "no-route", std::nullopt);
    return;
  }
  const Route& route = *request.m_route;
  request.m_priority = route.m_priority;
  const RoutedWorkspace* workspace = m_table->FindByKey(aHead.m_key);
  if (m_table->HasWorkspaces() && !route.m_is_public) {
    if (workspace == nullptr) {
      Refuse(*aExchange, kUnauthorized, aHead.m_request_id, "unknown-key", std::nullopt);
      return;
    }
    request.m_workspace = workspace->m_name;
    request.m_priority = CombinedPriority(*workspace, route);
    request.m_quota_tokens =
      workspace->m_counts_tokens ? aHead.m_quota_tokens.value_or(workspace->m_default_tokens) : 1;
  }
  request.m_service = RoutingTable::ServiceFor(route, aHead.m_request_id);
  request.m_arrived_at = now;
  request.m_deadline = now + std::min(route.m_timeout, aHead.m_max_wait.value_or(kDefaultPatience));
  request.m_head = std::move(aHead);
  m_retry_budget.RecordRequest(request.m_service, now);
  auto attempt = std::make_unique<ActiveRequest>(
    m_dependencies, aExchange, std::move(request), [this](ActiveRequest* aDone) {
      m_active_requests.erase(aDone);
    });
  ActiveRequest* raw = attempt.get();
  m_active_requests.emplace(raw, std::move(attempt));
  raw->Begin();
}

}
