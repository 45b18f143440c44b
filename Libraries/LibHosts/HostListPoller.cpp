#include <LibHosts/HostListPoller.h>

#include <LibCore/Log.h>

namespace auburnhitch {

HostListPoller::HostListPoller(EventLoop& aLoop,
                               HttpClient& aClient,
                               SocketAddress aAddress,
                               Milliseconds aInterval,
                               Handler aHandler)
  : m_client(aClient)
  , m_address(std::move(aAddress))
  , m_interval(aInterval)
  , m_handler(std::move(aHandler))
  , m_timer(aLoop, aInterval, Timer::Repeat::Always, [this] { RequestHostList(); })
{
  RequestHostList();
}

void
HostListPoller::RequestHostList()
{
  constexpr int kIntervalsPerTimeout = 4;
  if (m_call != nullptr) {
    return;
  }
  HttpRequest request;
  request.m_path = "/v1/hosts";
  HttpCallLimits limits;
  limits.m_total_timeout = m_interval * kIntervalsPerTimeout;
  HttpCallHandlers handlers;
  handlers.m_on_end = [this](const HttpOutcome& aOutcome) { OnResponse(aOutcome); };
  m_call = m_client.Send(m_address, request, limits, std::move(handlers));
}

void
HostListPoller::OnResponse(const HttpOutcome& aOutcome)
{
  constexpr int kHttpOk = 200;
  const auto call = std::move(m_call);
  const bool was_connected = m_is_connected;
  m_is_connected = aOutcome.m_end == HttpEnd::Complete && aOutcome.m_status == kHttpOk;
  if (!m_is_connected) {
    if (was_connected) {
      LogOf("hosts").warn("Lost the host list.");
    }
    return;
  }
  Findings findings;
  const auto json = ParseJson(aOutcome.m_body, findings);
  const auto hosts = json ? ReadHostList(*json, findings) : std::nullopt;
  if (!hosts) {
    m_is_connected = false;
    LogOf("hosts").warn("Ignores a host list: {}", findings.Describe("hosts"));
    return;
  }
  m_handler(*hosts);
}

}
