#pragma once

#include "ChildProcess.h"
#include "PeerNetwork.h"
#include "RawServer.h"
#include "StoreStandIn.h"

#include <atomic>
#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

namespace auburnhitch::tests {

/// A response as a caller receives it.
struct CallerResponse
{
  int m_status = 0;
  std::string m_head;
  /// The body, with a chunked transfer coding removed.
  std::string m_body;
  /// Whether the whole body arrived, by Content-Length or by the last chunk.
  bool m_is_complete = false;

  /// The value of a header field, or empty. Case does not matter in the name.
  std::string Header(const std::string& aName) const;
};

/// An endpoint whose behaviour is set by a test. It records the requests that it received.
/// Thread-safe.
class EndpointStandIn
{
public:
  /// Responds to one request. Returns whether the connection may carry another one.
  using Behaviour = std::function<bool(RawConnection& aConnection, const RawRequest& aRequest)>;

  /// aDaemons: how many daemons have an address of their own to which they send.
  explicit EndpointStandIn(std::size_t aDaemons = 0);

  SocketAddress Address() const { return m_server.Address(); }
  /// Where a daemon sends its requests, so that they tell who has sent them.
  SocketAddress AddressFor(std::size_t aDaemon) const
  {
    return m_daemon_servers.at(aDaemon)->Address();
  }
  void SetBehaviour(Behaviour aBehaviour);
  /// Whether it responds to questions about its state, at once and whatever it does. They are no
  /// requests.
  void SetStatesItsState(bool aStates) { m_states_its_state = aStates; }
  /// How often a request with this id was received. It is counted before the behaviour responds.
  int RunsOf(const std::string& aRequestId) const;
  std::vector<RawRequest> Requests() const;
  /// Waits until a request has been received; throws if WaitFor() fails.
  void WaitForRun(const std::string& aRequestId) const;

private:
  void Serve(RawConnection& aConnection, std::optional<std::size_t> aDaemon);

  mutable std::mutex m_mutex;
  Behaviour m_behaviour;
  std::vector<RawRequest> m_requests;
  std::atomic<bool> m_states_its_state = true;
  RawServer m_server;
  std::vector<std::unique_ptr<RawServer>> m_daemon_servers;
};

/// The bytes of a response, with the id of the request in its head. Precondition: the status line
/// is complete.
std::string
WithIdOf(const RawRequest& aRequest, const std::string& aResponse);

/// Responds with status 200, Content-Length, X-Response-Seal and the id of the request.
bool
RespondWithSuccess(RawConnection& aConnection, const RawRequest& aRequest);

struct GatewayClusterOptions
{
  std::size_t m_daemons = 1;
  std::size_t m_endpoints = 2;
  int m_data_centers = 1;
  /// Whether there is a fault proxy between each daemon and the store, and in front of each
  /// endpoint.
  bool m_has_proxies = false;
  /// The software version of each endpoint; "v1" for those beyond the end of the list.
  std::vector<std::string> m_versions;
  /// Whether daemons reach each other through a network whose paths can be cut.
  bool m_has_peer_network = false;
  /// Whether each daemon reaches each endpoint through a fault proxy of its own, at an address of
  /// its own.
  bool m_has_endpoint_paths = false;
  /// Time from SIGTERM to SIGKILL that the daemons are told; their default if it is not set.
  std::optional<double> m_stop_grace_s = std::nullopt;
  /// Whether store readers forward records to the other daemons.
  bool m_forward_records = false;
  /// JSON merge patch for the settings of every daemon.
  nlohmann::json m_settings = nlohmann::json::object();
};

/// What happens to the connections of a daemon that is cut off from all endpoints.
enum class EndpointCut
{
  /// Connections are reset, new ones refused.
  Reset,
  /// Open connections live on, new ones are refused.
  RefuseNew,
  /// Open connections carry no bytes any more, new ones are not established.
  Hang,
  /// Connections are reset, new ones as soon as they are established.
  ResetAccepted,
  /// Connections carry no bytes any more; new ones are established all the same.
  SilenceAccepted,
};

/// Gateway daemons as child processes, with the store and the endpoints in the process of the test.
/// The routes "/safe/", "/unsafe/", "/stream/" and "/resumable/" lead to one service.
class GatewayCluster
{
public:
  explicit GatewayCluster(std::size_t aDaemons = 1, std::size_t aEndpoints = 2)
    : GatewayCluster(GatewayClusterOptions{ aDaemons, aEndpoints, 1, false, {} })
  {
  }
  explicit GatewayCluster(GatewayClusterOptions aOptions);
  ~GatewayCluster();

  StoreStandIn& Store() { return m_store; }
  EndpointStandIn& Endpoint(std::size_t aIndex) { return *m_endpoints.at(aIndex); }
  ChildProcess& Daemon(std::size_t aIndex) { return *m_daemons.at(aIndex).m_process; }
  SocketAddress CallerAddress(std::size_t aIndex) const { return AddressOf(aIndex, 0); }
  SocketAddress ReadinessAddress(std::size_t aIndex) const { return AddressOf(aIndex, 1); }
  SocketAddress DirectoryAddress(std::size_t aIndex) const { return AddressOf(aIndex, 2); }
  SocketAddress MetricsAddress(std::size_t aIndex) const { return AddressOf(aIndex, 3); }
  SocketAddress PeerAddress(std::size_t aIndex) const { return AddressOf(aIndex, 4); }

  /// Writes the settings file of a daemon and starts the daemon.
  void StartDaemon(std::size_t aIndex);
  /// The paths between the daemons. Precondition: GatewayClusterOptions::m_has_peer_network.
  PeerNetwork& Network() { return *m_network; }
  /// Starts a daemon with the settings file that is there.
  void StartDaemonAsItIs(std::size_t aIndex);
  std::filesystem::path SettingsPath(std::size_t aIndex) const;
  /// Sends a command to the proxy in front of an endpoint, or to the one between a daemon and the
  /// store. Precondition: GatewayClusterOptions::m_has_proxies. The commands are those of
  /// FaultProxy.
  void CommandEndpointProxy(std::size_t aEndpoint, const nlohmann::json& aCommand);
  void CommandStoreProxy(std::size_t aDaemon, const nlohmann::json& aCommand);
  /// Cuts a daemon off from all endpoints, or heals its paths to them. Precondition:
  /// GatewayClusterOptions::m_has_endpoint_paths.
  void CutFromEndpoints(std::size_t aDaemon, EndpointCut aCut);
  void HealEndpointPaths(std::size_t aDaemon);
  /// Waits until the readiness port of a daemon responds with status 200; throws if WaitFor()
  /// fails.
  void WaitUntilReady(std::size_t aIndex);
  /// Writes the next version of the configuration to the store. The function changes it first.
  void Configure(const std::function<void(nlohmann::json&)>& aChange = {});
  /// Writes the registry entry of an endpoint to the store, with the members of aChange replaced.
  void Register(std::size_t aEndpoint,
                const char* aState = "ready",
                const nlohmann::json& aChange = nlohmann::json::object());
  /// Writes the registry entry of an endpoint again as it is, as an endpoint does that lives.
  /// Without an entry it does nothing.
  void Renew(std::size_t aEndpoint);
  /// Removes the registry entry of an endpoint.
  void Deregister(std::size_t aEndpoint);
  /// The key of an endpoint in the registry.
  std::string IdOf(std::size_t aEndpoint) const;
  /// Changes what the next registration of an endpoint states.
  void SetId(std::size_t aEndpoint, std::string aId);
  void SetVersion(std::size_t aEndpoint, std::string aVersion);
  std::string LogOfDaemon(std::size_t aIndex) const;

  /// Sends a request over a new connection and reads the response.
  CallerResponse Call(const std::string& aPath,
                      const std::string& aRequestId,
                      const std::string& aExtraHeaders = "",
                      std::size_t aDaemon = 0);
  /// How often a request was received, summed over all endpoints.
  int RunsOf(const std::string& aRequestId) const;

private:
  struct GatewayProcess
  {
    std::vector<SocketAddress> m_addresses;
    SocketAddress m_advertised_peer_address;
    std::unique_ptr<ChildProcess> m_process;
  };

  struct ProxyProcess
  {
    SocketAddress m_address;
    SocketAddress m_control;
    std::unique_ptr<ChildProcess> m_process;
  };

  ProxyProcess StartProxy(const std::string& aName, const SocketAddress& aTarget);
  static void Command(const ProxyProcess& aProxy, const nlohmann::json& aCommand);
  void StartNetwork();
  void StartEndpointPaths();
  void CommandEndpointPaths(std::size_t aDaemon, const nlohmann::json& aCommand);
  /// Where a daemon's view of the store is served, without a proxy.
  SocketAddress StoreViewOf(std::size_t aIndex) const;
  /// Where a daemon reads the store.
  SocketAddress StoreAddressOf(std::size_t aIndex) const;
  SocketAddress RegisteredAddressOf(std::size_t aEndpoint) const;
  void StartEndpoint();
  /// Where the path of a daemon to an endpoint ends.
  SocketAddress EndOfPath(std::size_t aDaemon, std::size_t aEndpoint) const;
  static HostName HostOf(std::size_t aIndex);
  std::string DataCenterOf(std::size_t aIndex) const;

  SocketAddress AddressOf(std::size_t aIndex, std::size_t aPort) const
  {
    return m_daemons.at(aIndex).m_addresses.at(aPort);
  }

  GatewayClusterOptions m_options;
  std::filesystem::path m_directory;
  std::map<std::size_t, std::string> m_ids;
  /// When the current incarnation of each endpoint was born, as registered last.
  std::map<std::size_t, std::int64_t> m_born;
  StoreStandIn m_store;
  std::vector<std::unique_ptr<EndpointStandIn>> m_endpoints;
  std::vector<ProxyProcess> m_store_proxies;
  /// The proxies in front of each endpoint: one, or one for each daemon that has its own path.
  std::vector<std::vector<ProxyProcess>> m_endpoint_proxies;
  /// The paths of each daemon to all endpoints.
  std::vector<std::vector<ProxyProcess>> m_endpoint_paths;
  /// Where each daemon reads the store if it has paths of its own to the endpoints.
  std::vector<SocketAddress> m_store_views;
  std::vector<GatewayProcess> m_daemons;
  std::unique_ptr<PeerNetwork> m_network;
  int m_version = 0;
};

/// Parses what a connection delivered until it was closed. The status is 0 if the head is
/// incomplete.
CallerResponse
ParseResponse(const std::string& aBytes);

/// Polls until a condition holds, for 20 s and the time that the condition itself takes. Returns
/// whether it did.
bool
WaitFor(const std::function<bool()>& aCondition);

}
