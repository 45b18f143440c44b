#include "OperatorClient.h"

#include <optional>

namespace auburnhitch {

namespace {

constexpr Milliseconds kCallTimeout{ 5'000 };

}

OperatorClient::OperatorClient()
  : m_client(m_loop)
{
}

absl::StatusOr<OperatorResponse>
OperatorClient::Call(const SocketAddress& aDaemon,
                     const std::string& aMethod,
                     const std::string& aPath,
                     const std::string& aBody)
{
  HttpOutcome outcome;
  HttpCallLimits limits;
  limits.m_total_timeout = kCallTimeout;
  limits.m_max_body_bytes = 64 << 20;
  HttpCallHandlers handlers;
  handlers.m_on_end = [&](HttpOutcome aOutcome) {
    outcome = std::move(aOutcome);
    m_loop.Stop();
  };
  const auto call =
    m_client.Send(aDaemon, HttpRequest{ aMethod, aPath, {}, aBody }, limits, std::move(handlers));
  m_loop.Run();
  if (outcome.m_end != HttpEnd::Complete) {
    return absl::UnavailableError("no answer from " + aDaemon.Value());
  }
  Json body = Json::parse(outcome.m_body, nullptr, false);
  if (body.is_discarded()) {
    return absl::UnavailableError(aDaemon.Value() + " did not answer with JSON");
  }
  return OperatorResponse{ outcome.m_status, std::move(body) };
}

void
OperatorClient::Sleep(Milliseconds aTime)
{
  const Timer timer(m_loop, aTime, Timer::Repeat::Once, [this] { m_loop.Stop(); });
  m_loop.Run();
}

}
