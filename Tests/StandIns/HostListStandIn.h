#pragma once

#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpServer.h>
#include <memory>
#include <string>

namespace auburnhitch::standins {

/// A stand-in of the platform's host list. Its content is set by a command to /control/hosts, an
/// outage by one to /control.
class HostListStandIn
{
public:
  HostListStandIn(EventLoop& aLoop, const SocketAddress& aAddress);

private:
  void OnRequest(const HttpExchangePtr& aExchange);

  /// Response body of the list.
  std::string m_hosts = R"({"hosts":[]})";
  /// Whether connections are closed without a response.
  bool m_is_down = false;
  std::unique_ptr<HttpServer> m_server;
};

}
