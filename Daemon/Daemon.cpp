#include "Daemon.h"

#include <LibCore/Digest.h>
#include <LibCore/Log.h>
#include <LibCore/Try.h>
#include <LibDirectory/IncarnationAddress.h>
#include <absl/strings/match.h>
#include <algorithm>
#include <array>
#include <set>

namespace auburnhitch {

namespace {

constexpr std::size_t kMaxDecisions = 20'000;
constexpr Milliseconds kTickInterval{ 20 };
constexpr Milliseconds kSlowTickInterval{ 200 };
constexpr int kFreshPeerIntervals = 3;
constexpr absl::string_view kDocumentsPrefix = "/documents/";
constexpr absl::string_view kPublicationsPrefix = "/publications/";
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

void
ReplyJson(HttpExchange& aExchange, int aStatus, const Json& aBody)
{
  aExchange.Reply(aStatus,
                  { { "Content-Type", "application/json" } },
                  aBody.dump(-1, ' ', false, Json::error_handler_t::replace));
}

void
ReplyFindings(HttpExchange& aExchange, int aStatus, const Findings& aFindings)
{
  Json findings = Json::array();
  for (const Finding& finding : aFindings.All()) {
    findings.push_back(
      Json{ { "place", finding.m_json_pointer }, { "message", finding.m_message } });
  }
  ReplyJson(aExchange, aStatus, Json{ { "findings", std::move(findings) } });
}

HttpServerLimits
InternalLimits()
{
  HttpServerLimits limits;
  limits.m_max_body_bytes = kMaxDocumentBytes;
  return limits;
}

}

absl::StatusOr<std::unique_ptr<Daemon>>
Daemon::Create(EventLoop& aLoop, const Settings& aSettings)
{
  TRY_ASSIGN(Incarnation incarnation, NewIncarnation(aSettings.m_peer_address));
  std::unique_ptr<Daemon> daemon(new Daemon(aLoop, aSettings, std::move(incarnation)));
  TRY_STATUS(daemon->Listen());
  return daemon;
}

Daemon::Daemon(EventLoop& aLoop, const Settings& aSettings, Incarnation aIncarnation)
  : m_loop(aLoop)
  , m_settings(aSettings)
  , m_client(aLoop)
  , m_control_client(aLoop)
  , m_log(aLoop, aSettings.m_log_service)
  , m_ledger(std::move(aIncarnation), aLoop.Now(), aSettings.m_ledger)
  , m_decisions(kMaxDecisions)
  , m_hosts(aSettings.m_host_settle_time)
  , m_peers(aSettings.m_peer_interval * kFreshPeerIntervals)
  , m_documents(aLoop,
                m_log,
                aSettings.m_snapshot_interval,
                [this](const HeldDocument& aHeld) {
                  m_dispatcher.UpdateService(*aHeld.m_document);
                  m_exchange.SendNow();
                })
  , m_claimer(aLoop, m_log)
  , m_dispatcher(Dispatcher::Dependencies{ aLoop, m_client, m_ledger, m_decisions, m_metrics },
                 aSettings.m_scheduler,
                 [this](const ServiceName& aService) { return DependenciesOf(aService); })
  , m_intake(Intake::Dependencies{
      aLoop,
      m_client,
      m_ledger,
      m_dispatcher,
      m_claimer,
      m_decisions,
      [this](const ServiceName& aService) { return m_documents.Fold().Find(aService); },
      [this] { return !m_documents.Fold().All().empty(); },
      [this](const SocketAddress& aAddress) { return m_hosts.IsEntryHost(aAddress); } })
  , m_directory(aSettings.m_address_lifetime)
  , m_exchange(aLoop,
               m_control_client,
               aSettings.m_peer_interval,
               aSettings.m_peer_fan_out,
               PeerExchange::Handlers{
                 [this] { return OwnPeerUpdate(); },
                 [this] { return PeerAddresses(); },
                 [this](const PeerUpdate& aUpdate) { m_peers.Update(aUpdate, m_loop.Now()); },
                 [this](const PeerUpdate& aUpdate) { return HasNewerDocuments(aUpdate); },
                 [this](const DocumentSnapshot& aSnapshot) { m_documents.Adopt(aSnapshot); } })
  , m_rpc(PeerMethods{ [this](const Json& aUpdate) { return m_exchange.OnExchange(aUpdate); },
                       [this] { return m_documents.Fold().TakeSnapshot().ToJson(); } })
  , m_host_list(aLoop,
                m_control_client,
                aSettings.m_host_list,
                aSettings.m_host_list_interval,
                [this](const std::vector<HostEntry>& aHosts) {
                  for (const HostName& host : m_hosts.Update(aHosts, m_loop.Now())) {
                    LogOf("hosts").info("Host {} receives no new requests.", host.Value());
                  }
                  UpdateSharingDaemons();
                })
  , m_tick(aLoop, kTickInterval, Timer::Repeat::Always, [this] { OnTick(); })
  , m_slow_tick(aLoop, kSlowTickInterval, Timer::Repeat::Always, [this] { OnSlowTick(); })
{
}

Daemon::~Daemon() = default;

absl::Status
Daemon::Listen()
{
  TRY_ASSIGN(m_caller_server,
             HttpServer::Create(m_loop,
                                m_settings.m_caller_address,
                                m_settings.m_callers,
                                [this](const auto& aExchange) { OnCallerRequest(aExchange); }));
  TRY_ASSIGN(m_peer_server,
             HttpServer::Create(
               m_loop, m_settings.m_peer_address, InternalLimits(), [this](const auto& aExchange) {
                 OnPeerRequest(aExchange);
               }));
  TRY_ASSIGN(m_operator_server,
             HttpServer::Create(m_loop,
                                m_settings.m_operator_address,
                                InternalLimits(),
                                [this](const auto& aExchange) { OnOperatorRequest(aExchange); }));
  LogOf("daemon").info("Incarnation {} of {} serves callers at {}.",
                       m_ledger.OwnIncarnation().Value(),
                       m_settings.m_host.Value(),
                       m_settings.m_caller_address.Value());
  return absl::OkStatus();
}

void
Daemon::OnCallerRequest(const HttpExchangePtr& aExchange)
{
  if (aExchange->Path() == "/v1/address") {
    HandleAddress(*aExchange);
    return;
  }
  m_intake.Handle(aExchange, Intake::Sender::Caller);
}

void
Daemon::OnPeerRequest(const HttpExchangePtr& aExchange)
{
  if (aExchange->Path() == peer_rpc::kPath) {
    aExchange->Reply(
      kOk, { { "Content-Type", "application/json" } }, m_rpc.Handle(aExchange->Body()));
    return;
  }
  m_intake.Handle(aExchange, Intake::Sender::Peer);
}

void
Daemon::OnOperatorRequest(const HttpExchangePtr& aExchange)
{
  struct Route
  {
    const char* m_method;
    absl::string_view m_path;
    bool m_is_prefix;
    void (Daemon::*m_handler)(HttpExchange&);
  };
  static constexpr std::array kRoutes{
    Route{ "GET", "/healthz", false, &Daemon::HandleHealth },
    Route{ "GET", "/metrics", false, &Daemon::HandleMetrics },
    Route{ "GET", "/status", false, &Daemon::HandleStatus },
    Route{ "GET", "/explain", false, &Daemon::HandleExplain },
    Route{ "POST", "/drain", false, &Daemon::HandleDrain },
    Route{ "POST", "/publications", false, &Daemon::HandlePublish },
    Route{ "GET", kPublicationsPrefix, true, &Daemon::HandlePublication },
    Route{ "GET", kDocumentsPrefix, true, &Daemon::HandleDocument },
  };
  const absl::string_view path = aExchange->Path();
  for (const Route& route : kRoutes) {
    const bool matches =
      route.m_is_prefix ? absl::StartsWith(path, route.m_path) : path == route.m_path;
    if (matches && aExchange->Method() == route.m_method) {
      (this->*route.m_handler)(*aExchange);
      return;
    }
  }
  ReplyJson(*aExchange, kNotFound, Json{ { "error", "unknown path or method" } });
}

std::vector<EntryHost>
Daemon::UsableEntryHosts() const
{
  const TimePoint now = m_loop.Now();
  std::vector<EntryHost> hosts;
  for (const PeerUpdate& peer : m_peers.Fresh(now)) {
    if (!peer.m_is_leaving && m_hosts.MayReceiveWork(peer.m_host, now)) {
      hosts.push_back(EntryHost{ peer.m_host, peer.m_caller_address, peer.m_permit });
    }
  }
  // This daemon is alive, since it is responding: it lists itself unless it is known to be leaving.
  const bool is_listed = !m_hosts.HasHostList() || m_hosts.MayReceiveWork(m_settings.m_host, now);
  if (!m_is_draining && (is_listed || hosts.empty())) {
    hosts.push_back(
      EntryHost{ m_settings.m_host, m_settings.m_caller_address, m_ledger.CurrentPermit(now) });
  }
  return hosts;
}

void
Daemon::HandleAddress(HttpExchange& aExchange)
{
  const auto hosts = UsableEntryHosts();
  if (hosts.empty()) {
    CallerError error;
    error.m_code = ErrorCode::Leaving;
    error.m_outcome = Outcome::NotRun;
    error.m_retry_after = m_settings.m_address_lifetime;
    ReplyWithError(aExchange, error);
    return;
  }
  const AddressResponse response = m_directory.Choose(hosts, m_claimer.Position(), m_generator);
  LogOf("directory")
    .debug("Directs a caller to entry host {}.", response.m_entry_host.m_host.Value());
  ReplyJson(aExchange, kOk, response.ToJson());
}

void
Daemon::HandleDocument(HttpExchange& aExchange)
{
  const std::string service = aExchange.Path().substr(kDocumentsPrefix.size());
  const HeldDocument* held = m_documents.Fold().Find(ServiceName(service));
  if (held == nullptr) {
    const bool is_certain = m_documents.Fold().IsSettled() && m_documents.IsLogConnected();
    ReplyJson(aExchange, kNotFound, Json{ { "revision", 0 }, { "certain", is_certain } });
    return;
  }
  ReplyJson(aExchange, kOk, held->ToJson());
}

void
Daemon::HandlePublish(HttpExchange& aExchange)
{
  Findings findings;
  const auto body = ParseJson(aExchange.Body(), findings);
  if (!body) {
    ReplyFindings(aExchange, kBadRequest, findings);
    return;
  }
  JsonObjectReader reader(*body, "", findings);
  Publication publication;
  publication.m_id = reader.RequiredString("id");
  publication.m_base = reader.RequiredInteger("base", 0, INT64_MAX);
  const Json* document = reader.Member("document");
  const ServiceDocumentPtr checked =
    document == nullptr ? nullptr : CheckServiceDocument(*document, findings);
  if (checked == nullptr || !findings.IsEmpty()) {
    ReplyFindings(aExchange, kBadRequest, findings);
    return;
  }
  publication.m_service = checked->m_service;
  publication.m_document = *document;
  m_documents.Publish(publication);
  ReplyJson(aExchange, kAccepted, Json{ { "id", publication.m_id } });
}

void
Daemon::HandlePublication(HttpExchange& aExchange)
{
  const std::string id = aExchange.Path().substr(kPublicationsPrefix.size());
  const auto result = m_documents.Fold().ResultOf(id);
  if (!result) {
    ReplyJson(aExchange,
              kOk,
              Json{ { "verdict", "unknown" }, { "log_connected", m_documents.IsLogConnected() } });
    return;
  }
  const bool is_accepted = result->m_verdict == PublicationVerdict::Accepted;
  ReplyJson(aExchange,
            kOk,
            Json{ { "verdict", is_accepted ? "accepted" : "refused" },
                  { "revision", result->m_revision },
                  { "offset", result->m_offset } });
}

void
Daemon::HandleStatus(HttpExchange& aExchange)
{
  Json peers = Json::array();
  for (const PeerUpdate& peer : m_peers.Fresh(m_loop.Now())) {
    peers.push_back(peer.ToJson());
  }
  ReplyJson(aExchange,
            kOk,
            Json{ { "self", OwnPeerUpdate().ToJson() },
                  { "data_center", m_settings.m_data_center.Value() },
                  { "draining", m_is_draining },
                  { "log_connected", m_documents.IsLogConnected() },
                  { "host_list_connected", m_host_list.IsConnected() },
                  { "running", m_dispatcher.RunningCount() },
                  { "ledger_entries", m_ledger.Size() },
                  { "peers", std::move(peers) } });
}

void
Daemon::HandleExplain(HttpExchange& aExchange)
{
  Json decisions = Json::array();
  for (const auto& decision : m_decisions.Find(aExchange.Query("identity"))) {
    decisions.push_back(
      Json{ { "request", decision.m_request }, { "decision", decision.m_description } });
  }
  ReplyJson(aExchange, kOk, Json{ { "decisions", std::move(decisions) } });
}

void
Daemon::HandleDrain(HttpExchange& aExchange)
{
  ReplyJson(aExchange, kAccepted, Json{ { "draining", true } });
  BeginDrain();
}

void
Daemon::HandleMetrics(HttpExchange& aExchange)
{
  Metrics::GaugeValues values;
  values.m_running = m_dispatcher.RunningCount();
  values.m_ledger_entries = m_ledger.Size();
  values.m_cached_response_bytes = m_ledger.CachedResponseBytes();
  values.m_caller_connections = m_caller_server->ConnectionCount();
  values.m_fresh_peers = m_peers.Fresh(m_loop.Now()).size();
  values.m_document_position = m_documents.Fold().Position();
  aExchange.Reply(
    kOk, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.Serialize(values));
}

void
Daemon::HandleHealth(HttpExchange& aExchange)
{
  const bool has_documents = !m_documents.Fold().All().empty();
  const bool is_ready = has_documents && !m_is_draining;
  ReplyJson(aExchange,
            is_ready ? kOk : kUnavailable,
            Json{ { "ready", is_ready }, { "documents", m_documents.Fold().All().size() } });
}

PeerUpdate
Daemon::OwnPeerUpdate() const
{
  PeerUpdate update;
  update.m_host = m_settings.m_host;
  update.m_data_center = m_settings.m_data_center;
  update.m_permit = m_ledger.CurrentPermit(m_loop.Now());
  update.m_caller_address = m_settings.m_caller_address;
  update.m_peer_address = m_settings.m_peer_address;
  update.m_is_leaving = m_is_draining;
  update.m_is_settled = m_documents.Fold().IsSettled();
  update.m_position = m_documents.Fold().Position();
  for (const auto& [service, held] : m_documents.Fold().All()) {
    update.m_documents[service] = HeldRevision{ held.m_revision, held.m_offset };
    if (m_dispatcher.WaitingCount(service) > 0) {
      update.m_waiting[service] =
        m_dispatcher.WaitingByTier(service, held.m_document->m_tiers.size());
    }
  }
  return update;
}

std::vector<SocketAddress>
Daemon::PeerAddresses() const
{
  std::vector<SocketAddress> addresses;
  for (const HostEntry& entry : m_hosts.EntryHosts()) {
    if (entry.m_peer_address != m_settings.m_peer_address) {
      addresses.push_back(entry.m_peer_address);
    }
  }
  return addresses;
}

bool
Daemon::HasNewerDocuments(const PeerUpdate& aUpdate) const
{
  const DocumentFold& fold = m_documents.Fold();
  if (aUpdate.m_is_settled && !fold.IsSettled()) {
    return true;
  }
  return std::any_of(
    aUpdate.m_documents.begin(), aUpdate.m_documents.end(), [&](const auto& aEntry) {
      const HeldDocument* held = fold.Find(aEntry.first);
      return held == nullptr || held->m_offset < aEntry.second.m_offset;
    });
}

SchedulerContext
Daemon::DependenciesOf(const ServiceName& aService) const
{
  const TimePoint now = m_loop.Now();
  SchedulerContext dependencies;
  dependencies.m_may_use = [this, now](const Endpoint& aEndpoint) {
    return m_hosts.MayReceiveWork(aEndpoint.m_host, now);
  };
  dependencies.m_tier_waiting_at_peers = m_peers.HighestTierWaiting(aService, now);
  return dependencies;
}

void
Daemon::OnTick()
{
  m_dispatcher.Tick();
  if (m_is_draining) {
    FinishDrainWhenIdle();
  }
}

void
Daemon::OnSlowTick()
{
  const TimePoint now = m_loop.Now();
  m_ledger.DropExpired(now);
  m_peers.RemoveSilent(now);
  UpdatePeerFreshness();
  UpdateSharingDaemons();
  ChooseLogReaders();
  FlushLogs();
}

// With more peers than receive an update at each interval, updates from each peer arrive less
// often.
void
Daemon::UpdatePeerFreshness()
{
  const std::size_t rounds =
    1 + (m_hosts.EntryHosts().size() + m_settings.m_peer_fan_out - 1) / m_settings.m_peer_fan_out;
  m_peers.SetMaxAge(m_settings.m_peer_interval * kFreshPeerIntervals * rounds);
}

// A daemon that is partitioned from its peers must not use their shares of the concurrency limits:
// every daemon on the host list counts, whether alive or not.
void
Daemon::UpdateSharingDaemons()
{
  std::set<HostName> daemons{ m_settings.m_host };
  for (const PeerUpdate& peer : m_peers.Fresh(m_loop.Now())) {
    daemons.insert(peer.m_host);
  }
  for (const HostEntry& entry : m_hosts.EntryHosts()) {
    daemons.insert(entry.m_host);
  }
  m_dispatcher.SetDaemons({ daemons.begin(), daemons.end() }, m_settings.m_host);
}

// The daemons of a data centre agree, up to the age of their peer updates, on the few that read the
// log: those whose incarnations sort first.
void
Daemon::ChooseLogReaders()
{
  std::size_t ahead = 0;
  for (const PeerUpdate& peer : m_peers.Fresh(m_loop.Now())) {
    const bool is_candidate = peer.m_data_center == m_settings.m_data_center && !peer.m_is_leaving;
    if (is_candidate && peer.m_permit.m_incarnation < m_ledger.OwnIncarnation()) {
      ++ahead;
    }
  }
  m_documents.SetReadsLog(ahead < m_settings.m_log_readers_per_data_center);
}

void
Daemon::BeginDrain()
{
  if (m_is_draining) {
    return;
  }
  m_is_draining = true;
  const auto others = UsableEntryHosts();
  const std::string other = others.empty() ? "" : others.front().m_address.Value();
  LogOf("daemon").info("Draining; new callers are directed to {}.",
                       other.empty() ? "no other host" : other);
  m_dispatcher.StopAccepting(other);
  m_exchange.SendNow();
}

void
Daemon::FinishDrainWhenIdle()
{
  if (!m_dispatcher.IsIdle() || !m_intake.IsIdle() || m_caller_server->IsBusy() ||
      m_peer_server->IsBusy()) {
    return;
  }
  LogOf("daemon").info("Drained; stopping.");
  m_loop.Stop();
}

}
