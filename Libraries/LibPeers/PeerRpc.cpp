#include <LibPeers/PeerRpc.h>

#include <json/json.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

namespace auburnhitch {

namespace {

// libjsonrpccpp uses jsoncpp; the rest of this project uses nlohmann::json.
Json
FromJsonCpp(const ::Json::Value& aValue)
{
  ::Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::parse(::Json::writeString(writer, aValue), nullptr, false);
}

::Json::Value
ToJsonCpp(const Json& aValue)
{
  ::Json::Value value;
  ::Json::CharReaderBuilder builder;
  const std::string text = aValue.dump();
  const std::unique_ptr<::Json::CharReader> reader(builder.newCharReader());
  reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
  return value;
}

}

/// Passes requests to libjsonrpccpp and stores the response in the caller's string.
class PeerRpcServer::Connector : public jsonrpc::AbstractServerConnector
{
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& aResponse, void* aContext) override
  {
    *static_cast<std::string*>(aContext) = aResponse;
    return true;
  }
};

class PeerRpcServer::Server : public jsonrpc::AbstractServer<PeerRpcServer::Server>
{
public:
  Server(Connector& aConnector, PeerMethods aMethods)
    : AbstractServer(aConnector)
    , m_methods(std::move(aMethods))
  {
    bindAndAddMethod(jsonrpc::Procedure("exchange",
                                        jsonrpc::PARAMS_BY_NAME,
                                        jsonrpc::JSON_OBJECT,
                                        "news",
                                        jsonrpc::JSON_OBJECT,
                                        NULL),
                     &Server::Exchange);
    bindAndAddMethod(
      jsonrpc::Procedure("documents", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL),
      &Server::Documents);
  }

  void Exchange(const ::Json::Value& aParameters, ::Json::Value& aResult)
  {
    aResult = ToJsonCpp(m_methods.m_exchange(FromJsonCpp(aParameters["news"])));
  }

  void Documents(const ::Json::Value&, ::Json::Value& aResult)
  {
    aResult = ToJsonCpp(m_methods.m_documents());
  }

private:
  PeerMethods m_methods;
};

PeerRpcServer::PeerRpcServer(PeerMethods aMethods)
  : m_connector(std::make_unique<Connector>())
  , m_server(std::make_unique<Server>(*m_connector, std::move(aMethods)))
{
}

PeerRpcServer::~PeerRpcServer() = default;

std::string
PeerRpcServer::Handle(const std::string& aRequest)
{
  std::string response;
  m_connector->OnRequest(aRequest, &response);
  return response;
}

namespace peer_rpc {

// Requests are built here because libjsonrpccpp's client blocks until the response arrives and its
// headers need C++14. Only the server side uses the library.
std::string
BuildRequest(const std::string& aMethod, const Json& aParameters)
{
  Json request{ { "jsonrpc", "2.0" }, { "id", 1 }, { "method", aMethod } };
  if (!aParameters.is_null()) {
    request["params"] = aParameters;
  }
  return request.dump();
}

absl::StatusOr<Json>
ReadResponse(const std::string& aResponse)
{
  Findings findings;
  auto json = ParseJson(aResponse, findings);
  if (!json || !json->is_object()) {
    return absl::InvalidArgumentError("the response is not a JSON object");
  }
  if (json->contains("error")) {
    return absl::InternalError("the peer reports an error: " + (*json)["error"].dump());
  }
  if (!json->contains("result")) {
    return absl::InvalidArgumentError("the response has no result");
  }
  return (*json)["result"];
}

}

}
