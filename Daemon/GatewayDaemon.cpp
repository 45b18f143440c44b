#include "GatewayDaemon.h"

#include <LibCore/Log.h>
#include <LibCore/Try.h>
#include <algorithm>
#include <utility>

namespace auburnhitch {

namespace {

// Resolution of deadlines; well below the half second after a deadline within which the caller must
// get a response.
constexpr Milliseconds kTickInterval{ 20 };
constexpr Milliseconds kLogFlushInterval{ 100 };
// Batches records that are read one by one before they are announced to the other daemons.
constexpr Milliseconds kMinPositionsInterval{ 100 };
// Maximum number of addresses in a response of the directory.
constexpr std::size_t kMaxAddresses = 64;
// Callers use a response of the directory for its lifetime, and some for three times as long.
constexpr int kDirectoryLifetimesInUse = 3;
// Readiness, the directory, the metrics and connections of other daemons that have sent nothing yet
// may each use one socket of this many, so that no crowd at one of them takes those of the others
// or of the endpoints.
constexpr std::size_t kInternalSocketDivisor = 15;
constexpr std::size_t kMaxInternalConnections = 256;
constexpr Milliseconds kMinMemoryLogInterval{ 1'000 };

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;

RelayServerLimits
InternalServerLimits(const GatewaySettings& aSettings)
{
  RelayServerLimits limits;
  limits.m_max_connections =
    std::min(kMaxInternalConnections, aSettings.m_max_sockets / kInternalSocketDivisor);
  limits.m_max_body_bytes = 1 << 10;
  return limits;
}

RelayServerLimits
CallerServerLimits(const GatewaySettings& aSettings)
{
  RelayServerLimits limits;
  limits.m_max_connections = aSettings.MaxCallerConnections();
  return limits;
}

}

GatewayDaemon::GatewayDaemon(EventLoop& aLoop, const GatewaySettings& aSettings)
  : m_loop(aLoop)
  , m_settings(aSettings)
  , m_rollout_client(aLoop,
                     aSettings.m_store_address,
                     { [this](const char* aCall, const char* aOutcome) {
                        m_gateway.Metrics().OnStoreCall(aCall, aOutcome);
                      },
                       [this](StoreEra /*aEra*/) { m_rollouts.OnStoreWentBack(); } })
  , m_rollouts(RolloutRecordStore::CallsOf(aLoop, m_rollout_client))
  , m_gateway(aLoop, aSettings, m_dialect)
  , m_adapter(aLoop,
              m_gateway,
              aSettings.m_store_address,
              m_rollouts,
              aSettings.m_forward_records
                ? [this](const RecordsMessage& aMessage) { SendRecords(aMessage); }
                : PlatformAdapter::RecordsSender())
  , m_memory(aSettings.MaxCallerMemoryBytes())
  , m_heartbeats_sent_at(aLoop.Now())
  , m_logs_flushed_at(aLoop.Now())
  , m_tick(aLoop, kTickInterval, Timer::Repeat::Always, [this] { OnTick(); })
{
  m_gateway.SetRolloutStore(&m_rollouts);
}

GatewayDaemon::~GatewayDaemon() = default;

absl::StatusOr<std::unique_ptr<GatewayDaemon>>
GatewayDaemon::Create(EventLoop& aLoop, const GatewaySettings& aSettings)
{
  std::unique_ptr<GatewayDaemon> daemon(new GatewayDaemon(aLoop, aSettings));
  TRY_STATUS(daemon->Listen());
  LogOf("daemon").info("event=started host={} data_center={} incarnation={} callers={} peers={} "
                       "store={}",
                       aSettings.m_host.Value(),
                       aSettings.m_data_center.Value(),
                       daemon->m_gateway.Self().m_incarnation.Value(),
                       aSettings.m_caller_address.Value(),
                       aSettings.m_peer_address.Value(),
                       aSettings.m_store_address.Value());
  daemon->SendHeartbeats();
  return daemon;
}

absl::Status
GatewayDaemon::Listen()
{
  TRY_ASSIGN(m_callers,
             RelayServer::Create(m_loop,
                                 m_settings.m_caller_address,
                                 CallerServerLimits(m_settings),
                                 m_memory,
                                 [this](const RelayExchangePtr& aExchange) {
                                   m_gateway.OnCallerRequest(aExchange);
                                 }));
  m_callers->SetHeadCheck([this](const MessageHead& aHead) { return m_gateway.CheckHead(aHead); });
  TRY_ASSIGN(m_readiness,
             RelayServer::Create(
               m_loop,
               m_settings.m_readiness_address,
               InternalServerLimits(m_settings),
               m_memory,
               [this](const RelayExchangePtr& aExchange) { OnReadinessRequest(*aExchange); }));
  TRY_ASSIGN(m_directory,
             RelayServer::Create(
               m_loop,
               m_settings.m_directory_address,
               InternalServerLimits(m_settings),
               m_memory,
               [this](const RelayExchangePtr& aExchange) { OnDirectoryRequest(*aExchange); }));
  TRY_ASSIGN(m_metrics,
             RelayServer::Create(
               m_loop,
               m_settings.m_metrics_address,
               InternalServerLimits(m_settings),
               m_memory,
               [this](const RelayExchangePtr& aExchange) { OnMetricsRequest(*aExchange); }));
  TRY_ASSIGN(m_heartbeat_socket,
             HeartbeatSocket::Create(
               m_loop,
               m_settings.m_peer_address,
               [this](const Heartbeat& aHeartbeat) { OnHeartbeat(aHeartbeat); },
               [this](const RecordsMessage& aMessage) { OnForwardedRecords(aMessage); }));
  TRY_ASSIGN(m_link_listener,
             PeerLinkListener::Create(
               m_loop,
               m_settings.m_peer_address,
               [this](std::unique_ptr<PeerLink> aLink) { m_gateway.OnLink(std::move(aLink)); },
               PendingLinks::Limits{ InternalServerLimits(m_settings).m_max_connections }));
  return absl::OkStatus();
}

void
GatewayDaemon::OnReadinessRequest(RelayExchange& aExchange) const
{
  // Not ready before the limits of the configuration have been applied by OnTick.
  const bool is_ready = m_was_ready && m_gateway.IsReady() && !m_gateway.IsLeaving();
  aExchange.Reply(is_ready ? kOk : kServiceUnavailable, {}, "");
}

void
GatewayDaemon::OnDirectoryRequest(RelayExchange& aExchange) const
{
  std::vector<SocketAddress> addresses = m_gateway.CallerAddresses();
  if (addresses.empty()) {
    aExchange.Reply(kServiceUnavailable, {}, "");
    return;
  }
  // The daemon's own address comes first, the rest in no particular order: callers pick at random.
  addresses.resize(std::min(addresses.size(), kMaxAddresses));
  aExchange.Reply(kOk,
                  { { "Content-Type", "application/json" } },
                  m_dialect.DirectoryResponseBody(addresses, m_settings.m_directory_lifetime));
}

void
GatewayDaemon::OnMetricsRequest(RelayExchange& aExchange)
{
  if (aExchange.Path() != "/metrics") {
    aExchange.Reply(kNotFound, {}, "");
    return;
  }
  GatewayGauges levels = m_gateway.Gauges();
  levels.m_caller_connections = m_callers->ConnectionCount();
  levels.m_log_lines_dropped = DroppedLogLines();
  levels.m_refused_for_memory = m_callers->RefusedForMemory();
  levels.m_closed_for_room = m_callers->ClosedForRoom();
  levels.m_closed_for_memory = m_callers->ClosedForMemory();
  levels.m_closed_unread = m_callers->ClosedUnread();
  levels.m_memory_limit = m_memory.Limit();
  for (std::size_t account = 0; account < kMemoryAccounts; ++account) {
    const auto named = static_cast<MemoryAccount>(account);
    levels.m_memory_bytes.emplace(NameOf(named), m_memory.BytesOf(named));
  }
  aExchange.Reply(kOk,
                  { { "Content-Type", "text/plain; version=0.0.4" } },
                  m_gateway.Metrics().Serialize(levels));
}

void
GatewayDaemon::OnHeartbeat(const Heartbeat& aHeartbeat)
{
  const bool is_unknown = !m_gateway.Members().Find(aHeartbeat.m_member.m_host).has_value() &&
                          aHeartbeat.m_member.m_host != m_settings.m_host;
  m_gateway.OnHeartbeat(aHeartbeat);
  m_adapter.OnPeerPositions(aHeartbeat.m_member, aHeartbeat.m_topic_positions);
  if (is_unknown) {
    // Lets a daemon that has just started learn of this one at once.
    m_heartbeat_socket->SendTo(aHeartbeat.m_member.m_peer_address, EncodeHeartbeat(OwnHeartbeat()));
  }
}

void
GatewayDaemon::OnForwardedRecords(const RecordsMessage& aMessage)
{
  const auto sender = m_gateway.Members().Find(aMessage.m_sender);
  const bool is_known = sender && sender->m_incarnation == aMessage.m_incarnation &&
                        m_gateway.Members().IsAlive(aMessage.m_sender, m_loop.Now());
  if (!m_settings.m_forward_records || !is_known) {
    m_gateway.Metrics().OnForwardedRecords(
      "unknown", is_known ? "disabled" : "unknown-sender", aMessage.m_records.size());
    return;
  }
  m_adapter.OnForwardedRecords(aMessage);
}

void
GatewayDaemon::SendRecords(const RecordsMessage& aMessage)
{
  const std::vector<std::string> datagrams = EncodeRecords(aMessage);
  std::size_t receivers = 0;
  for (const Member& member : m_gateway.Members().AliveMembers(m_loop.Now())) {
    if (member.m_accepts_records && !member.m_is_reader &&
        member.m_data_center == m_settings.m_data_center) {
      ++receivers;
      for (const std::string& datagram : datagrams) {
        m_heartbeat_socket->SendTo(member.m_peer_address, datagram);
      }
    }
  }
  m_gateway.Metrics().OnForwardedRecords(
    aMessage.m_topic, "sent", receivers * aMessage.m_records.size());
}

bool
GatewayDaemon::ExpectsForwarding() const
{
  if (!m_settings.m_forward_records) {
    return false;
  }
  const std::vector<Member> alive = m_gateway.Members().AliveMembers(m_loop.Now());
  return std::any_of(alive.begin(), alive.end(), [&](const Member& aMember) {
    return aMember.m_is_reader && aMember.m_can_read_store && aMember.m_accepts_records &&
           aMember.m_data_center == m_settings.m_data_center;
  });
}

Heartbeat
GatewayDaemon::OwnHeartbeat() const
{
  Heartbeat heartbeat = m_gateway.MakeHeartbeat();
  heartbeat.m_member.m_accepts_records = m_settings.m_forward_records;
  heartbeat.m_topic_positions = m_adapter.Positions();
  return heartbeat;
}

void
GatewayDaemon::SendNewPositions()
{
  if (m_gateway.IsReader() && m_adapter.Positions() != m_sent_positions &&
      m_loop.Now() - m_heartbeats_sent_at >= kMinPositionsInterval) {
    SendHeartbeats();
  }
}

void
GatewayDaemon::SendHeartbeats()
{
  m_heartbeats_sent_at = m_loop.Now();
  m_sent_positions = m_adapter.Positions();
  const std::string datagram = EncodeHeartbeat(OwnHeartbeat());
  m_gateway.OnHeartbeatSent();
  const std::vector<Member> known = m_gateway.Members().KnownMembers();
  for (const Member& member : known) {
    m_heartbeat_socket->SendTo(member.m_peer_address, datagram);
  }
  if (known.empty() || !m_gateway.Members().IsComplete()) {
    for (const SocketAddress& seed : m_settings.m_seed_addresses) {
      m_heartbeat_socket->SendTo(seed, datagram);
    }
  }
}

void
GatewayDaemon::OnTick()
{
  const TimePoint now = m_loop.Now();
  m_gateway.Tick();
  m_adapter.SetExpectsForwarding(ExpectsForwarding());
  m_adapter.SetStoreReader(m_gateway.IsReader());
  SendNewPositions();
  if (m_gateway.Table() != m_applied_table) {
    m_applied_table = m_gateway.Table();
    const CallerLimits& configured = m_applied_table->Limits();
    RelayServerLimits limits = CallerServerLimits(m_settings);
    limits.m_max_head_bytes = configured.m_max_head_bytes;
    limits.m_max_body_bytes = configured.m_max_body_bytes;
    limits.m_head_timeout = configured.m_head_timeout;
    limits.m_idle_timeout = configured.m_idle_timeout;
    m_callers->SetLimits(limits);
  }
  const bool is_ready = m_gateway.IsReady();
  if (is_ready != m_was_ready) {
    m_was_ready = is_ready;
    LogOf("daemon").info("event=ready ready={}", is_ready);
    SendHeartbeats();
  }
  if (now - m_heartbeats_sent_at >= m_gateway.HeartbeatInterval()) {
    SendHeartbeats();
  }
  LogMemoryShortage();
  if (now - m_logs_flushed_at >= kLogFlushInterval) {
    m_logs_flushed_at = now;
    FlushLogs();
    LogDroppedLines();
  }
  if (m_gateway.IsLeaving()) {
    StopWhenIdle();
  }
}

void
GatewayDaemon::LogDroppedLines()
{
  const std::uint64_t dropped = DroppedLogLines();
  if (dropped > m_logged_dropped_lines) {
    LogOf("daemon").warn("event=log-lines-dropped count={} in_all={}",
                         dropped - std::exchange(m_logged_dropped_lines, dropped),
                         dropped);
  }
}

void
GatewayDaemon::LogMemoryShortage()
{
  const TimePoint now = m_loop.Now();
  const std::uint64_t reclaimed = m_memory.ReclaimedCount();
  if (reclaimed == m_logged_reclaimed || now - m_memory_logged_at < kMinMemoryLogInterval) {
    return;
  }
  m_memory_logged_at = now;
  LogOf("memory").warn("event=short limit={} held={} reclaimed={} since_last_line={}",
                       m_memory.Limit(),
                       m_memory.Total(),
                       reclaimed,
                       reclaimed - std::exchange(m_logged_reclaimed, reclaimed));
}

void
GatewayDaemon::BeginStop()
{
  if (m_gateway.IsLeaving()) {
    return;
  }
  LogOf("daemon").info("event=stopping attempts={} grace_ms={}",
                       m_gateway.ActiveRequestCount(),
                       m_settings.m_stop_grace.count());
  m_gateway.BeginLeaving();
  m_callers->CloseAfterResponses();
  m_adapter.Withdraw();
  SendHeartbeats();
}

void
GatewayDaemon::StopWhenIdle()
{
  const StopSchedule& stop = *m_gateway.Stop();
  const TimePoint now = m_loop.Now();
  if (now >= stop.WaitsUntil()) {
    m_callers->EndReceiving(
      [this](const RelayExchangePtr& aExchange) { m_gateway.RefuseIncomplete(aExchange); });
  }
  const TimePoint addresses_unused_at =
    stop.BegunAt() + m_settings.m_directory_lifetime * kDirectoryLifetimesInUse;
  const bool is_idle = m_gateway.ActiveRequestCount() == 0 && m_callers->BusyCount() == 0;
  if ((is_idle && now >= addresses_unused_at) || now >= stop.EndsAt()) {
    LogOf("daemon").info("event=stopped attempts={} after_ms={}",
                         m_gateway.ActiveRequestCount(),
                         ToMilliseconds(now - stop.BegunAt()));
    m_loop.Stop();
  }
}

void
GatewayDaemon::Reload(const GatewaySettings& aSettings)
{
  InitializeLogs(aSettings.m_log_level);
  GatewaySettings with_applied = m_settings;
  with_applied.m_log_level = aSettings.m_log_level;
  LogOf("daemon").info("event=reloaded log_level={} other_changes_wait_for_restart={}",
                       aSettings.m_log_level,
                       !(with_applied == aSettings));
  m_settings.m_log_level = aSettings.m_log_level;
}

}
