#include "PlainStandIn.h"

#include "ControlBody.h"

#include <LibCore/JsonObjectReader.h>
#include <utility>

namespace auburnhitch::standins {

PlainStandIn::PlainStandIn(EventLoop& aLoop, const SocketAddress& aAddress, Milliseconds aDelay)
  : m_loop(aLoop)
  , m_delay(aDelay)
  , m_server(HttpServer::Create(aLoop, aAddress, {}, [this](const auto& aExchange) {
               OnRequest(aExchange);
             }).value())
{
}

void
PlainStandIn::OnRequest(const HttpExchangePtr& aExchange)
{
  if (aExchange->Path() == "/control/executions") {
    aExchange->Reply(200, {}, Json(m_executions).dump());
    return;
  }
  if (aExchange->Path() == "/control") {
    const Json body = ControlBody(*aExchange);
    m_delay = Milliseconds(body.value("delay_ms", m_delay.count()));
    m_refuses = body.value("refuse", m_refuses);
    m_retry_after = body.value("retry_after", m_retry_after);
    m_returns_wrong_request_id = body.value("echo_wrong", m_returns_wrong_request_id);
    m_holds_responses = body.value("hold", m_holds_responses);
    if (!m_holds_responses) {
      for (const auto& [exchange, held_id] : std::exchange(m_held, {})) {
        SendResponse(*exchange, held_id);
      }
    }
    aExchange->Reply(200, {}, "{}");
    return;
  }
  const std::string id = aExchange->Header("X-Request-Id");
  if (m_refuses) {
    HttpHeaders headers{ { "X-Request-Id", id }, { "X-Request-Outcome", "not-run" } };
    if (!m_retry_after.empty()) {
      headers.emplace_back("Retry-After", m_retry_after);
    }
    aExchange->Reply(503, headers, "{}");
    return;
  }
  ++m_executions[id];
  if (m_holds_responses) {
    m_held.emplace_back(aExchange, id);
    return;
  }
  if (m_delay.count() == 0) {
    SendResponse(*aExchange, id);
    return;
  }
  m_delayed.push_back(std::make_unique<Timer>(
    m_loop, m_delay, Timer::Repeat::Once, [this, aExchange, id] { SendResponse(*aExchange, id); }));
}

void
PlainStandIn::SendResponse(HttpExchange& aExchange, const std::string& aId)
{
  const Json body{ { "path", aExchange.Path() },
                   { "echo", aExchange.Body() },
                   { "request", aId },
                   { "execution", m_executions[aId] } };
  aExchange.Reply(200,
                  { { "Content-Type", "application/json" },
                    { "X-Request-Id", m_returns_wrong_request_id ? "somebody.else" : aId } },
                  body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

}
