#pragma once

#include <LibCore/JsonObjectReader.h>
#include <absl/status/statusor.h>
#include <functional>
#include <memory>
#include <string>

namespace auburnhitch {

/// What a daemon answers to its peers.
struct PeerMethods
{
  /// Takes a peer's news and returns the daemon's own.
  std::function<Json(const Json& aUpdate)> m_exchange;
  /// Returns a snapshot of the documents held.
  std::function<Json()> m_documents;
};

/// Answers JSON-RPC 2.0 requests of peers, through libjsonrpccpp's protocol handling; the bytes
/// come and go over the daemon's own HTTP server. Not thread-safe.
class PeerRpcServer
{
public:
  explicit PeerRpcServer(PeerMethods aMethods);
  ~PeerRpcServer();
  PeerRpcServer(const PeerRpcServer&) = delete;
  PeerRpcServer& operator=(const PeerRpcServer&) = delete;

  /// Returns the response for one request's body; malformed requests get a JSON-RPC error.
  std::string Handle(const std::string& aRequest);

private:
  class Server;
  class Connector;

  std::unique_ptr<Connector> m_connector;
  std::unique_ptr<Server> m_server;
};

namespace peer_rpc {

constexpr const char* kPath = "/rpc";

/// Builds a JSON-RPC 2.0 request.
std::string
BuildRequest(const std::string& aMethod, const Json& aParameters);

/// Takes the result out of a JSON-RPC 2.0 response; fails with the error that it reports.
absl::StatusOr<Json>
ReadResponse(const std::string& aResponse);

}

}
