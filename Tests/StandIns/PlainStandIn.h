#pragma once

#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpServer.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnhitch::standins {

/// A stand-in of a plain service. It counts how often each request ran, independently of the counts
/// of the daemons.
class PlainStandIn
{
public:
  PlainStandIn(EventLoop& aLoop, const SocketAddress& aAddress, Milliseconds aDelay);

private:
  void OnRequest(const HttpExchangePtr& aExchange);
  void SendResponse(HttpExchange& aExchange, const std::string& aId);

  EventLoop& m_loop;
  /// Time between the arrival of a request and its response.
  Milliseconds m_delay;
  /// Whether requests get status 503 and are not run.
  bool m_refuses = false;
  /// The Retry-After field of a refusal; none if empty.
  std::string m_retry_after;
  /// Whether responses are held until a command releases them.
  bool m_holds_responses = false;
  std::vector<std::pair<HttpExchangePtr, std::string>> m_held;
  /// Whether responses carry the id of another request in X-Request-Id.
  bool m_returns_wrong_request_id = false;
  std::map<std::string, int> m_executions;
  std::vector<std::unique_ptr<Timer>> m_delayed;
  std::unique_ptr<HttpServer> m_server;
};

}
