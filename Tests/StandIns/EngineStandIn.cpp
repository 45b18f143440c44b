#include "EngineStandIn.h"

#include "ControlBody.h"

#include <LibCore/JsonObjectReader.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <algorithm>

namespace auburnhitch::standins {

namespace {

constexpr absl::string_view kRequestsPrefix = "/v1/requests/";

HttpHeaders
StreamHeaders(const std::string& aId)
{
  return { { "Content-Type", "text/event-stream" }, { "X-Request-Id", aId } };
}

}

EngineStandIn::EngineStandIn(EventLoop& aLoop,
                             const SocketAddress& aAddress,
                             const EngineSpeed& aSpeed)
  : m_loop(aLoop)
  , m_speed(aSpeed)
  , m_server(HttpServer::Create(aLoop, aAddress, {}, [this](const auto& aExchange) {
               OnRequest(aExchange);
             }).value())
{
  ScheduleStep();
}

void
EngineStandIn::OnRequest(const HttpExchangePtr& aExchange)
{
  absl::string_view path = aExchange->Path();
  if (path == "/control/executions") {
    aExchange->Reply(200, {}, Json(m_executions).dump());
    return;
  }
  if (path == "/control") {
    OnControl(*aExchange);
    return;
  }
  if (absl::ConsumePrefix(&path, kRequestsPrefix)) {
    OnExistingRequest(aExchange, std::string(path));
    return;
  }
  OnCompletion(aExchange);
}

void
EngineStandIn::OnControl(HttpExchange& aExchange)
{
  const Json body = ControlBody(aExchange);
  m_slowdown = body.value("slowdown", m_slowdown);
  m_refuses = body.value("refuse", m_refuses);
  m_is_paused = body.value("hold", m_is_paused);
  if (body.value("forget", false)) {
    m_work.clear();
    m_active.clear();
  }
  aExchange.Reply(200, {}, "{}");
}

void
EngineStandIn::OnCompletion(const HttpExchangePtr& aExchange)
{
  const std::string id = aExchange->Header("X-Request-Id");
  if (m_refuses) {
    aExchange->Reply(503, { { "X-Request-Id", id }, { "X-Request-Outcome", "not-run" } }, "{}");
    return;
  }
  const Json body = Json::parse(aExchange->Body(), nullptr, false);
  if (!body.is_object()) {
    aExchange->Reply(400, { { "X-Request-Id", id } }, "{}");
    return;
  }
  ++m_executions[id];
  auto work = std::make_shared<Work>();
  work->m_id = id;
  work->m_model = body.value("model", "");
  work->m_tokens = body.value("max_tokens", std::size_t{ 16 });
  const double prefill =
    static_cast<double>(aExchange->Body().size()) / m_speed.m_prefill_bytes_per_ms * m_slowdown;
  work->m_prefilled_at = m_loop.Now() + Milliseconds(static_cast<std::int64_t>(prefill));
  m_work[id] = work;
  m_active.push_back(work);
  if (body.value("stream", false)) {
    Subscribe(work, aExchange, 0);
  } else {
    work->m_waiting_exchanges.push_back(aExchange);
  }
}

void
EngineStandIn::OnExistingRequest(const HttpExchangePtr& aExchange, const std::string& aId)
{
  auto found = m_work.find(aId);
  if (found == m_work.end() || found->second->m_is_cancelled) {
    aExchange->Reply(404, { { "X-Request-Id", aId } }, "{}");
    return;
  }
  const WorkPtr work = found->second;
  if (aExchange->Method() == "DELETE") {
    work->m_is_cancelled = true;
    std::erase(m_active, work);
    aExchange->Reply(200, {}, "{}");
    return;
  }
  if (absl::StrContains(aExchange->Header("Accept"), "text/event-stream")) {
    Subscribe(
      work, aExchange, std::strtoull(aExchange->Header("Last-Event-ID").c_str(), nullptr, 10));
    return;
  }
  work->m_waiting_exchanges.push_back(aExchange);
  ReplyIfDone(*work);
}

void
EngineStandIn::Subscribe(const WorkPtr& aWork, const HttpExchangePtr& aExchange, std::size_t aFrom)
{
  aExchange->StartStream(200, StreamHeaders(aWork->m_id));
  aWork->m_streams.push_back(Subscriber{ aExchange, aFrom });
  SendNewEvents(*aWork);
}

void
EngineStandIn::ScheduleStep()
{
  const double load = 1 + static_cast<double>(m_active.size()) / m_speed.m_batch_slowdown;
  const auto micros = static_cast<std::int64_t>(static_cast<double>(m_speed.m_decode.count()) *
                                                1'000 * load * m_slowdown);
  m_step =
    std::make_unique<Timer>(m_loop, std::chrono::microseconds(micros), Timer::Repeat::Once, [this] {
      m_loop.Defer([this] {
        Step();
        ScheduleStep();
      });
    });
}

void
EngineStandIn::Step()
{
  if (m_is_paused) {
    return;
  }
  const TimePoint now = m_loop.Now();
  for (const WorkPtr& work : std::vector<WorkPtr>(m_active)) {
    if (now < work->m_prefilled_at) {
      continue;
    }
    AddToken(*work);
    SendNewEvents(*work);
    if (work->m_is_done) {
      ReplyIfDone(*work);
      std::erase(m_active, work);
    }
  }
}

void
EngineStandIn::AddToken(Work& aWork)
{
  const std::size_t number = aWork.m_events.size() + 1;
  if (number > aWork.m_tokens) {
    aWork.m_events.push_back(absl::StrCat("id: ", number, "\ndata: [DONE]\n\n"));
    aWork.m_is_done = true;
    return;
  }
  const std::string token = absl::StrCat("t", number, " ");
  aWork.m_text += token;
  const Json chunk{ { "id", aWork.m_id },
                    { "object", "chat.completion.chunk" },
                    { "model", aWork.m_model },
                    { "choices", { { { "index", 0 }, { "delta", { { "content", token } } } } } } };
  aWork.m_events.push_back(absl::StrCat("id: ", number, "\ndata: ", chunk.dump(), "\n\n"));
}

void
EngineStandIn::SendNewEvents(Work& aWork)
{
  for (Subscriber& subscriber : aWork.m_streams) {
    while (subscriber.m_next_event < aWork.m_events.size()) {
      subscriber.m_exchange->SendChunk(aWork.m_events[subscriber.m_next_event++]);
    }
    if (aWork.m_is_done) {
      subscriber.m_exchange->EndStream();
    }
  }
  std::erase_if(aWork.m_streams, [](const Subscriber& aOne) { return !aOne.m_exchange->IsOpen(); });
}

void
EngineStandIn::ReplyIfDone(Work& aWork)
{
  if (!aWork.m_is_done) {
    return;
  }
  const Json body{
    { "id", aWork.m_id },
    { "object", "chat.completion" },
    { "model", aWork.m_model },
    { "choices",
      { { { "index", 0 },
          { "finish_reason", "stop" },
          { "message", { { "role", "assistant" }, { "content", aWork.m_text } } } } } },
    { "usage", { { "completion_tokens", aWork.m_tokens } } }
  };
  for (const HttpExchangePtr& exchange : std::exchange(aWork.m_waiting_exchanges, {})) {
    exchange->Reply(
      200, { { "Content-Type", "application/json" }, { "X-Request-Id", aWork.m_id } }, body.dump());
  }
}

}
