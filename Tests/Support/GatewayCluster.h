#pragma once

#include "ChildProcess.h"
#include "RawServer.h"
#include "StoreStandIn.h"

#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

namespace auburnhitch::tests {

/// An answer as a caller sees it.
struct CallerResponse
{
  int m_status = 0;
  std::string m_head;
  /// Without its chunks, if it came in chunks.
  std::string m_body;
  /// Whether its framing says that it is whole.
  bool m_is_complete = false;

  std::string Header(const std::string& aName) const;
};

/// An endpoint whose conduct a test sets, and which counts what it ran. Thread-safe.
class EndpointStandIn
{
public:
  /// Answers one request. Returns whether the connection may carry another one.
  using Behaviour = std::function<bool(RawConnection& aConnection, const RawRequest& aRequest)>;

  EndpointStandIn();

  SocketAddress Address() const { return m_server.Address(); }
  void SetBehaviour(Behaviour aBehaviour);
  /// How often a request was run, by its id. A request is counted before the conduct answers it.
  int RunsOf(const std::string& aRequestId) const;
  std::vector<RawRequest> Requests() const;
  void WaitForRun(const std::string& aRequestId) const;

private:
  void Serve(RawConnection& aConnection);

  mutable std::mutex m_mutex;
  Behaviour m_behaviour;
  std::vector<RawRequest> m_requests;
  RawServer m_server;
};

/// Answers 200 with a length, a seal and the request's own id.
bool
RespondWithSuccess(RawConnection& aConnection, const RawRequest& aRequest);

struct GatewayClusterOptions
{
  std::size_t m_daemons = 1;
  std::size_t m_endpoints = 2;
  int m_data_centers = 1;
  /// Puts a proxy before the store of each daemon and before each endpoint.
  bool m_has_proxies = false;
};

/// Gateway daemons as processes, the store and endpoints in this one. Routes are "/safe/",
/// "/unsafe/",
/// "/stream/" and "/resumable/", to one service.
class GatewayCluster
{
public:
  explicit GatewayCluster(std::size_t aDaemons = 1, std::size_t aEndpoints = 2)
    : GatewayCluster(GatewayClusterOptions{ aDaemons, aEndpoints, 1, false })
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

  void StartDaemon(std::size_t aIndex);
  /// Tells the proxy before an endpoint, or before the store of a daemon, what to do; precondition:
  /// there are proxies. The command is that of the stand-in.
  void CommandEndpointProxy(std::size_t aEndpoint, const nlohmann::json& aCommand);
  void CommandStoreProxy(std::size_t aDaemon, const nlohmann::json& aCommand);
  void WaitUntilReady(std::size_t aIndex);
  /// Puts a configuration in the store, changed by a function.
  void Configure(const std::function<void(nlohmann::json&)>& aChange = {});
  void Register(std::size_t aEndpoint,
                const char* aState = "ready",
                const nlohmann::json& aChange = nlohmann::json::object());
  static std::string IdOf(std::size_t aEndpoint);
  std::string LogOfDaemon(std::size_t aIndex) const;

  /// Sends a request over a connection of its own.
  CallerResponse Call(const std::string& aPath,
                      const std::string& aRequestId,
                      const std::string& aExtraHeaders = "",
                      std::size_t aDaemon = 0);
  /// As many runs as all endpoints together count for a request.
  int RunsOf(const std::string& aRequestId) const;

private:
  struct GatewayProcess
  {
    std::vector<SocketAddress> m_addresses;
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
  std::string DataCenterOf(std::size_t aIndex) const;

  SocketAddress AddressOf(std::size_t aIndex, std::size_t aPort) const
  {
    return m_daemons.at(aIndex).m_addresses.at(aPort);
  }

  GatewayClusterOptions m_options;
  std::filesystem::path m_directory;
  StoreStandIn m_store;
  std::vector<std::unique_ptr<EndpointStandIn>> m_endpoints;
  std::vector<ProxyProcess> m_store_proxies;
  std::vector<ProxyProcess> m_endpoint_proxies;
  std::vector<GatewayProcess> m_daemons;
  int m_version = 0;
};

CallerResponse
ParseResponse(const std::string& aBytes);

/// Waits until a condition holds, for at most twenty seconds. Returns whether it did.
bool
WaitFor(const std::function<bool()>& aCondition);

}
