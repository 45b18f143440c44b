#include "Cluster.h"

#include <LibCore/Digest.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <csignal>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace auburnhitch::tests {

namespace {

// Below the range from which the kernel assigns the local ports of outgoing connections, so that
// none of those takes a port before a process of the test binds it.
constexpr int kFirstPort = 12'000;
constexpr int kLastPort = 32'000;
/// Test programs that run at the same time take their ports from separate ranges: a process that
/// starts again must find its ports free.
constexpr int kRanges = 16;
constexpr int kPortsPerRange = (kLastPort - kFirstPort) / kRanges;
/// A test program reserves the range with number N by listening on this port + N.
constexpr int kFirstReservation = kLastPort;

/// Listens on a port until the process ends. Returns false if the port is in use.
bool
Reserve(int aPort)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
      listen(descriptor, 1) == 0) {
    return true;
  }
  close(descriptor);
  return false;
}

/// Reserves a range for this process. Falls back to one by process id if all are reserved.
int
ReserveRange()
{
  const int preferred = getpid() % kRanges;
  for (int i = 0; i < kRanges; ++i) {
    const int range = (preferred + i) % kRanges;
    if (Reserve(kFirstReservation + range)) {
      return range;
    }
  }
  return preferred;
}

bool
IsFree(int aPort)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int result = bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  close(descriptor);
  return result == 0;
}

SocketAddress
NewAddress()
{
  static const int s_first = kFirstPort + ReserveRange() * kPortsPerRange;
  static int s_next = 0;
  while (true) {
    const int port = s_first + s_next;
    s_next = (s_next + 1) % kPortsPerRange;
    if (IsFree(port)) {
      return SocketAddress(absl::StrCat("127.0.0.1:", port));
    }
  }
}

}

SocketAddress
Cluster::UnusedAddress()
{
  return NewAddress();
}

Cluster::Cluster(const ClusterOptions& aOptions)
  : m_options(aOptions)
  , m_directory(std::filesystem::temp_directory_path() /
                absl::StrCat("auburnhitch-", getpid(), "-", RandomName()))
{
  std::filesystem::create_directories(m_directory);
  StartStandIn("log", {});
  StartStandIn("hosts", {});
  StartStandIn("desk", { "plain" });
  StartStandIn("model", { "engine" });
  for (const char* name : { "log", "desk", "model" }) {
    StartProxy(name);
  }
  for (std::size_t index = 0; index < m_options.m_daemons; ++index) {
    m_daemons.push_back(
      Daemon{ absl::StrCat("entry-", index), NewAddress(), NewAddress(), NewAddress(), nullptr });
  }
  SetHosts({});
  for (std::size_t index = 0; index < m_daemons.size(); ++index) {
    StartDaemon(index);
  }
  if (!m_options.m_publishes) {
    return;
  }
  Publish(0, DocumentOf("desk", 1), 0);
  Publish(0, DocumentOf("model", 1), 0);
  const bool is_ready = m_caller.RunUntil([this] {
    if (!IsInForceEverywhere("desk", 1) || !IsInForceEverywhere("model", 1)) {
      return false;
    }
    if (!m_options.m_waits_for_peers) {
      return true;
    }
    for (const Daemon& daemon : m_daemons) {
      const Json status = m_caller.CallJson(daemon.m_operator, "GET", "/status");
      if (status["peers"].size() + 1 < m_daemons.size()) {
        return false;
      }
    }
    return true;
  });
  if (!is_ready) {
    throw std::runtime_error(
      "daemons not ready: documents not in force on all, or peers missing; log of daemon 0: " +
      LogOf(0));
  }
}

Cluster::~Cluster()
{
  m_daemons.clear();
  m_proxies.clear();
  m_stand_ins.clear();
  std::error_code ignored;
  std::filesystem::remove_all(m_directory, ignored);
}

std::string
Cluster::OutputPath(const std::string& aName) const
{
  return (m_directory / (aName + ".log")).string();
}

void
Cluster::StartStandIn(const std::string& aName, const std::vector<std::string>& aArguments)
{
  StandIn& stand_in = m_stand_ins[aName];
  stand_in.m_address = NewAddress();
  std::vector<std::string> command{ STANDIN_PROGRAM };
  command.push_back(aArguments.empty() ? aName : aArguments[0]);
  command.insert(command.end(), { "--address", stand_in.m_address.Value() });
  stand_in.m_process = std::make_unique<ChildProcess>(command, OutputPath(aName));
  WaitUntilServing(stand_in.m_address, "/control/executions");
}

void
Cluster::StartProxy(const std::string& aName)
{
  Proxy& proxy = m_proxies[aName];
  proxy.m_address = NewAddress();
  proxy.m_control = NewAddress();
  proxy.m_process =
    std::make_unique<ChildProcess>(std::vector<std::string>{ STANDIN_PROGRAM,
                                                             "proxy",
                                                             "--address",
                                                             proxy.m_address.Value(),
                                                             "--target",
                                                             m_stand_ins[aName].m_address.Value(),
                                                             "--control",
                                                             proxy.m_control.Value() },
                                   OutputPath(aName + "-proxy"));
  WaitUntilServing(proxy.m_control, "/");
}

void
Cluster::WaitUntilServing(const SocketAddress& aAddress, const std::string& aPath)
{
  const bool serves = m_caller.RunUntil([&] {
    HttpRequest request;
    request.m_path = aPath;
    return m_caller.Call(aAddress, request)->IsComplete();
  });
  if (!serves) {
    throw std::runtime_error("no complete HTTP response from " + aAddress.Value() + aPath);
  }
}

void
Cluster::WriteSettings(std::size_t aDaemon)
{
  const Daemon& daemon = m_daemons[aDaemon];
  Json settings{ { "host", daemon.m_host },
                 { "data_center", absl::StrCat("zone-", aDaemon % 3) },
                 { "caller_address", daemon.m_caller.Value() },
                 { "peer_address", daemon.m_peer.Value() },
                 { "operator_address", daemon.m_operator.Value() },
                 { "log_service", m_proxies["log"].m_address.Value() },
                 { "host_list", m_stand_ins["hosts"].m_address.Value() },
                 { "host_list_interval_ms", 50 },
                 { "host_settle_ms", 200 },
                 { "peer_interval_ms", 50 } };
  settings.merge_patch(m_options.m_settings);
  if (const auto own = m_options.m_settings_of.find(aDaemon);
      own != m_options.m_settings_of.end()) {
    settings.merge_patch(own->second);
  }
  std::ofstream(m_directory / (daemon.m_host + ".json")) << settings.dump(2);
}

void
Cluster::StartDaemon(std::size_t aDaemon)
{
  Daemon& daemon = m_daemons[aDaemon];
  WriteSettings(aDaemon);
  daemon.m_process = std::make_unique<ChildProcess>(
    std::vector<std::string>{
      DAEMON_PROGRAM, "--settings", (m_directory / (daemon.m_host + ".json")).string() },
    OutputPath(daemon.m_host));
  WaitUntilServing(daemon.m_operator, "/status");
}

void
Cluster::KillDaemon(std::size_t aDaemon)
{
  m_daemons[aDaemon].m_process->Signal(SIGKILL);
  m_caller.RunUntil([&] { return m_daemons[aDaemon].m_process->ExitStatus().has_value(); });
}

std::string
Cluster::PermitOf(std::size_t aDaemon)
{
  const Json status = m_caller.CallJson(OperatorAddress(aDaemon), "GET", "/status");
  return absl::StrCat(status["self"].value("incarnation", ""),
                      "-",
                      status["self"].value("period", std::int64_t{ 0 }));
}

void
Cluster::Control(const std::string& aStandIn, const Json& aBody)
{
  m_caller.CallJson(m_stand_ins[aStandIn].m_address, "POST", "/control", aBody);
}

void
Cluster::SetFault(const std::string& aProxied, const Json& aBody)
{
  m_caller.CallJson(m_proxies[aProxied].m_control, "POST", "/", aBody);
}

int
Cluster::ExecutionsOf(const std::string& aEndpoint, const std::string& aRequestId)
{
  const Json counts =
    m_caller.CallJson(m_stand_ins[aEndpoint].m_address, "GET", "/control/executions");
  return counts.is_object() ? counts.value(aRequestId, 0) : 0;
}

void
Cluster::SetHosts(const std::map<std::string, std::string>& aStates)
{
  Json hosts = Json::array();
  const auto add = [&](const std::string& aHost, const std::string& aPeerAddress) {
    const auto state = aStates.find(aHost);
    Json entry{ { "host", aHost }, { "state", state == aStates.end() ? "live" : state->second } };
    if (!aPeerAddress.empty()) {
      entry["peer_address"] = aPeerAddress;
    }
    if (entry["state"] != "absent") {
      hosts.push_back(std::move(entry));
    }
  };
  for (const Daemon& daemon : m_daemons) {
    add(daemon.m_host, daemon.m_peer.Value());
  }
  add("desk-1", "");
  add("model-1", "");
  m_caller.CallJson(
    m_stand_ins["hosts"].m_address, "POST", "/control/hosts", Json{ { "hosts", hosts } });
}

Json
Cluster::DocumentOf(const std::string& aService, int aMarker) const
{
  Json endpoint{ { "host", aService + "-1" },
                 { "address", m_proxies.at(aService).m_address.Value() },
                 { "window", m_options.m_concurrency_limit } };
  if (aService == "model") {
    endpoint["resumes"] = true;
  }
  return Json{ { "service", aService },
               { "type", aService == "model" ? "engine" : "plain" },
               { "tiers",
                 { { { "name", "live" }, { "deadline_ms", m_options.m_deadline_ms } },
                   { { "name", "trial" },
                     { "deadline_ms", 10 * m_options.m_deadline_ms },
                     { "sheddable", true } } } },
               { "kinds",
                 { { { "name", "query" }, { "tier", "live" } },
                   { { "name", "bid" }, { "tier", "live" }, { "idempotent", false } },
                   { { "name", "look" }, { "tier", "trial" } } } },
               { "workspaces",
                 { { { "name", "mill" },
                     { "key_sha256", Sha256Hex("mill-key") },
                     { "tiers", { "live", "trial" } },
                     { "share", aMarker } },
                   { { "name", "guest" },
                     { "key_sha256", Sha256Hex("guest-key") },
                     { "tiers", { "trial" } } } } },
               { "endpoints", { endpoint } } };
}

std::string
Cluster::Publish(std::size_t aDaemon, const Json& aDocument, std::int64_t aBase)
{
  std::string id = RandomName();
  m_caller.CallJson(OperatorAddress(aDaemon),
                    "POST",
                    "/publications",
                    Json{ { "id", id }, { "base", aBase }, { "document", aDocument } });
  return id;
}

std::string
Cluster::VerdictAt(std::size_t aDaemon, const std::string& aPublication)
{
  const Json response =
    m_caller.CallJson(OperatorAddress(aDaemon), "GET", "/publications/" + aPublication);
  return response.is_object() ? response.value("verdict", "") : "";
}

std::int64_t
Cluster::RevisionAt(std::size_t aDaemon, const std::string& aService)
{
  const Json response =
    m_caller.CallJson(OperatorAddress(aDaemon), "GET", "/documents/" + aService);
  return response.is_object() ? response.value("revision", std::int64_t{ 0 }) : 0;
}

bool
Cluster::IsInForceEverywhere(const std::string& aService, std::int64_t aRevision)
{
  for (std::size_t index = 0; index < m_daemons.size(); ++index) {
    if (RevisionAt(index, aService) < aRevision) {
      return false;
    }
  }
  return true;
}

std::string
Cluster::LogOf(std::size_t aDaemon) const
{
  std::ifstream file(OutputPath(m_daemons[aDaemon].m_host));
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}
