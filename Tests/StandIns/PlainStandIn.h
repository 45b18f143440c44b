#pragma once

#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpServer.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnhitch::standins {

/// A plain service that counts, independently of any daemon, how often each request ran.
class PlainStandIn
{
public:
  PlainStandIn(EventLoop& aLoop, const SocketAddress& aAddress, Milliseconds aDelay);

private:
  void OnRequest(const HttpExchangePtr& aExchange);
  void SendResponse(HttpExchange& aExchange, const std::string& aId);

  EventLoop& m_loop;
  Milliseconds m_delay;
  bool m_refuses = false;
  /// Whether answers are kept back until told otherwise.
  bool m_holds_responses = false;
  std::vector<std::pair<HttpExchangePtr, std::string>> m_held;
  bool m_returns_wrong_request_id = false;
  std::map<std::string, int> m_executions;
  std::vector<std::unique_ptr<Timer>> m_delayed;
  std::unique_ptr<HttpServer> m_server;
};

}
