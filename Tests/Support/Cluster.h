#pragma once

#include "ChildProcess.h"
#include "TestCaller.h"

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnhitch::tests {

/// What a test may set for the daemons and the documents of a cluster.
struct ClusterOptions
{
  std::size_t m_daemons = 3;
  /// JSON merge patch for the settings of every daemon.
  Json m_settings = Json::object();
  /// JSON merge patches for the settings of single daemons, by index; applied last.
  std::map<std::size_t, Json> m_settings_of;
  /// Deadline of the tier "live" of both services; that of the tier "trial" is ten times as long.
  std::int64_t m_deadline_ms = 1'500;
  /// Concurrency limit of each endpoint, shared by all daemons.
  std::int64_t m_concurrency_limit = 3;
  /// Whether the constructor publishes the documents of both services and waits until they are in
  /// force on all daemons.
  bool m_publishes = true;
  /// Whether the constructor then also waits until every daemon lists all others as its peers.
  bool m_waits_for_peers = true;
};

/// Processes on the loopback interface: stand-ins of the log service, the host list, a plain
/// service "desk" and an engine "model", and the daemons. All stand-ins but the host list are
/// behind a fault proxy. The destructor kills all processes and removes their files.
class Cluster
{
public:
  explicit Cluster(const ClusterOptions& aOptions);
  ~Cluster();

  TestCaller& Caller() { return m_caller; }
  std::size_t Size() const { return m_daemons.size(); }
  SocketAddress CallerAddress(std::size_t aDaemon) const { return m_daemons[aDaemon].m_caller; }
  SocketAddress OperatorAddress(std::size_t aDaemon) const { return m_daemons[aDaemon].m_operator; }
  SocketAddress PeerAddress(std::size_t aDaemon) const { return m_daemons[aDaemon].m_peer; }
  ChildProcess& Process(std::size_t aDaemon) { return *m_daemons[aDaemon].m_process; }

  /// A loopback address on which nothing listens. No other caller in this process gets it until all
  /// ports of the process's range have been used.
  static SocketAddress UnusedAddress();
  /// Starts a daemon on its addresses, with a new incarnation, and waits until it serves.
  void StartDaemon(std::size_t aDaemon);
  /// Sends SIGKILL and waits until the process has ended.
  void KillDaemon(std::size_t aDaemon);
  /// The permit that the daemon issues at present: its incarnation and its current period.
  std::string PermitOf(std::size_t aDaemon);

  /// The address of a stand-in itself, not of its proxy. The stand-ins are "log", "hosts", "desk"
  /// and "model".
  SocketAddress StandInAddress(const std::string& aStandIn)
  {
    return m_stand_ins[aStandIn].m_address;
  }
  /// Sends a command to a stand-in.
  void Control(const std::string& aStandIn, const Json& aBody);
  /// Sets the fault of the proxy in front of "desk", "model" or "log".
  void SetFault(const std::string& aProxied, const Json& aBody);
  /// How often an endpoint has run a request, by the endpoint's own count.
  int ExecutionsOf(const std::string& aEndpoint, const std::string& aRequestId);
  /// Replaces the host list. Hosts that the map does not name are "live"; those with the state
  /// "absent" are left out.
  void SetHosts(const std::map<std::string, std::string>& aStates);

  /// A document for one of the two services. The marker is the share of the workspace "mill", by
  /// which a test tells documents apart.
  Json DocumentOf(const std::string& aService, int aMarker) const;
  /// Publishes through the operators' port of a daemon. Returns the id of the publication.
  std::string Publish(std::size_t aDaemon, const Json& aDocument, std::int64_t aBase);
  /// The verdict on a publication as one daemon reports it; empty while it reports none.
  std::string VerdictAt(std::size_t aDaemon, const std::string& aPublication);
  /// The revision in force on one daemon; 0 if there is none.
  std::int64_t RevisionAt(std::size_t aDaemon, const std::string& aService);
  /// Whether this revision or a later one is in force on every daemon.
  bool IsInForceEverywhere(const std::string& aService, std::int64_t aRevision);

  /// The log of a daemon, over all its incarnations.
  std::string LogOf(std::size_t aDaemon) const;
  const std::filesystem::path& Directory() const { return m_directory; }

private:
  struct Daemon
  {
    std::string m_host;
    SocketAddress m_caller;
    SocketAddress m_peer;
    SocketAddress m_operator;
    std::unique_ptr<ChildProcess> m_process;
  };

  struct StandIn
  {
    SocketAddress m_address;
    std::unique_ptr<ChildProcess> m_process;
  };

  struct Proxy
  {
    SocketAddress m_address;
    SocketAddress m_control;
    std::unique_ptr<ChildProcess> m_process;
  };

  void StartStandIn(const std::string& aName, const std::vector<std::string>& aArguments);
  void StartProxy(const std::string& aName);
  void WaitUntilServing(const SocketAddress& aAddress, const std::string& aPath);
  void WriteSettings(std::size_t aDaemon);
  std::string OutputPath(const std::string& aName) const;

  ClusterOptions m_options;
  std::filesystem::path m_directory;
  TestCaller m_caller;
  std::map<std::string, StandIn> m_stand_ins;
  std::map<std::string, Proxy> m_proxies;
  std::vector<Daemon> m_daemons;
};

}
