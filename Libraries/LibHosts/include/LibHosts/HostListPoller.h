#pragma once

#include <LibHosts/HostTable.h>
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpClient.h>
#include <functional>
#include <memory>

namespace auburnhitch {

/// Polls the platform's host list. The handler receives each valid list; a failed request or a
/// malformed response is ignored. Not thread-safe.
class HostListPoller
{
public:
  using Handler = std::function<void(const std::vector<HostEntry>&)>;

  HostListPoller(EventLoop& aLoop,
                 HttpClient& aClient,
                 SocketAddress aAddress,
                 Milliseconds aInterval,
                 Handler aHandler);

  /// Whether the latest request returned a valid list.
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
