#pragma once

#include <LibHosts/HostTable.h>
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpClient.h>
#include <functional>
#include <memory>

namespace auburnhitch {

/// Asks the platform's host list again and again. A missing or malformed answer changes nothing.
/// Not thread-safe.
class HostListPoller
{
public:
  using Handler = std::function<void(const std::vector<HostEntry>&)>;

  HostListPoller(EventLoop& aLoop,
                 HttpClient& aClient,
                 SocketAddress aAddress,
                 Milliseconds aInterval,
                 Handler aHandler);

  /// Whether the latest question was answered.
  bool IsConnected() const { return m_is_connected; }

private:
  void RequestHostList();
  void OnResponse(const HttpOutcome& aOutcome);

  HttpClient& m_client;
  SocketAddress m_address;
  Milliseconds m_interval;
  Handler m_handler;
  bool m_is_connected = false;
  std::unique_ptr<HttpCall> m_call;
  Timer m_timer;
};

}
