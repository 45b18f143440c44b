#pragma once

#include "ChildProcess.h"
#include "TestCaller.h"

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnhitch::tests {

/// What a test may choose about its processes.
struct ClusterOptions
{
  std::size_t m_daemons = 3;
  /// Merged into each daemon's settings.
  Json m_settings = Json::object();
  /// Merged into the settings of single daemons.
  std::map<std::size_t, Json> m_settings_of;
  /// Deadline of the services' only tier but one.
  std::int64_t m_deadline_ms = 1'500;
  /// Places at each endpoint, for all daemons together.
  std::int64_t m_concurrency_limit = 3;
  bool m_publishes = true;
  /// Whether to wait until each daemon has heard of all others.
  bool m_waits_for_peers = true;
};

/// Real processes on loopback: a log service, a host list, a plain service "desk" and an engine
/// "model", each behind a fault proxy, and daemons. All end with the object.
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

  /// An address where nothing listens.
  static SocketAddress UnusedAddress();
  /// Starts a daemon on its addresses, in a new life.
  void StartDaemon(std::size_t aDaemon);
  void KillDaemon(std::size_t aDaemon);
  /// A permit of that daemon for requests that begin now.
  std::string PermitOf(std::size_t aDaemon);

  /// Sends a command to a stand-in: "log", "hosts", "desk", "model".
  SocketAddress StandInAddress(const std::string& aStandIn)
  {
    return m_stand_ins[aStandIn].m_address;
  }
  void Control(const std::string& aStandIn, const Json& aBody);
  /// Sets the fault of the proxy before "desk", "model" or "log".
  void SetFault(const std::string& aProxied, const Json& aBody);
  /// How often the endpoint, by its own count, ran a request.
  int ExecutionsOf(const std::string& aEndpoint, const std::string& aRequestId);
  /// Publishes a host list with these states for entry hosts and endpoints.
  void SetHosts(const std::map<std::string, std::string>& aStates);

  /// A document for one of the two services.
  Json DocumentOf(const std::string& aService, int aMarker) const;
  /// Publishes through a daemon's operators' port; returns the publication's id.
  std::string Publish(std::size_t aDaemon, const Json& aDocument, std::int64_t aBase);
  std::string VerdictAt(std::size_t aDaemon, const std::string& aPublication);
  std::int64_t RevisionAt(std::size_t aDaemon, const std::string& aService);
  bool IsInForceEverywhere(const std::string& aService, std::int64_t aRevision);

  /// The log of a daemon, over all its lives.
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
