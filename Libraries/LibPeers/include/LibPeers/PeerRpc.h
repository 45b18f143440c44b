#pragma once

#include <LibCore/JsonObjectReader.h>
#include <absl/status/statusor.h>
#include <functional>
#include <memory>
#include <string>

namespace auburnhitch {

/// The methods that a daemon offers to its peers.
struct PeerMethods
{
  /// Handles a peer's update and returns the daemon's own.
  std::function<Json(const Json& aUpdate)> m_exchange;
  /// Returns a snapshot of the documents that the daemon holds.
  std::function<Json()> m_documents;
};

/// Handles JSON-RPC 2.0 requests from peers with libjsonrpccpp's protocol layer; the daemon's own
/// HTTP server transports them. Not thread-safe.
class PeerRpcServer
{
public:
  explicit PeerRpcServer(PeerMethods aMethods);
  ~PeerRpcServer();
  PeerRpcServer(const PeerRpcServer&) = delete;
  PeerRpcServer& operator=(const PeerRpcServer&) = delete;

  /// Returns the response body for a request body; a malformed request gets a JSON-RPC error.
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

/// Extracts the result of a JSON-RPC 2.0 response; fails with the error that it reports.
absl::StatusOr<Json>
ReadResponse(const std::string& aResponse);

}

}
