#include <LibGateway/Gateway.h>

#include <LibCore/Log.h>

namespace auburnhitch {

namespace {

constexpr Milliseconds kRetryAfterWhenLeaving{ 50 };
// A daemon without a configuration receives one within a few hundred milliseconds.
constexpr Milliseconds kRetryAfterWithoutConfiguration{ 300 };

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;

}

RequestRefusal
RequestRefusal::Leaving()
{
  return { kServiceUnavailable, "leaving", kRetryAfterWhenLeaving };
}

RequestRefusal
RequestRefusal::WithoutConfiguration()
{
  return { kServiceUnavailable, "no-configuration", kRetryAfterWithoutConfiguration };
}

RequestRefusal
RequestRefusal::OlderConfiguration()
{
  return { kServiceUnavailable, "older-configuration", kRetryAfterWithoutConfiguration };
}

std::optional<RequestRefusal>
FindAccessRefusal(const RoutingTable& aTable, const CallerRequestHead& aHead)
{
  const Route* route = aTable.Match(aHead.m_host, aHead.m_path);
  if (route == nullptr) {
    return RequestRefusal{ kNotFound, "no-route", std::nullopt };
  }
  if (aTable.HasWorkspaces() && !route->m_is_public && aTable.FindByKey(aHead.m_key) == nullptr) {
    return RequestRefusal{ kUnauthorized, "unknown-key", std::nullopt };
  }
  return std::nullopt;
}

void
Gateway::Refuse(RelayExchange& aExchange,
                const std::string& aRequestId,
                const RequestRefusal& aRefusal)
{
  LogOf("request").info("event=refused request={} status={} reason={} retry_after_ms={} config={}",
                        aRequestId.empty() ? "none" : aRequestId,
                        aRefusal.m_status,
                        aRefusal.m_reason,
                        aRefusal.m_retry_after ? aRefusal.m_retry_after->count() : -1,
                        m_table ? m_table->Version() : 0);
  m_metrics.OnRefusedBeforeAdmission(aRefusal.m_reason);
  HttpHeaders headers = m_dialect.GatewayResponseHeaders(aRequestId, aRefusal.m_retry_after);
  if (ParseForwardedRequest(aExchange.Head().m_headers)) {
    const bool may_another = aRefusal.m_status == kServiceUnavailable;
    AppendForwardedReply({ may_another ? ForwardedOutcome::TryAnother : ForwardedOutcome::NotRun,
                           aRefusal.m_retry_after },
                         headers);
  }
  aExchange.Reply(aRefusal.m_status, std::move(headers), "");
}

std::optional<RequestRefusal>
Gateway::FindStateRefusal() const
{
  if (m_stop && Now() > m_stop->AcceptsUntil()) {
    return RequestRefusal::Leaving();
  }
  if (m_table == nullptr && Now() - m_created_at >= kMaxWaitForReadiness) {
    return RequestRefusal::WithoutConfiguration();
  }
  return std::nullopt;
}

std::function<void(const RelayExchangePtr&)>
Gateway::CheckHead(const MessageHead& aHead)
{
  // Another daemon writes its whole request before it counts a response as complete, and decides
  // itself what it sends here.
  const auto head = m_dialect.Decode(aHead);
  if (!head.ok() || ParseForwardedRequest(aHead.m_headers)) {
    return nullptr;
  }
  std::optional<RequestRefusal> refusal = FindStateRefusal();
  if (!refusal && m_table != nullptr) {
    refusal = FindAccessRefusal(*m_table, *head);
  }
  if (!refusal) {
    return nullptr;
  }
  return [this, refusal = *refusal, id = head->m_request_id](const RelayExchangePtr& aExchange) {
    ++m_refused_by_head;
    Refuse(*aExchange, id, refusal);
  };
}

void
Gateway::RefuseIncomplete(const RelayExchangePtr& aExchange)
{
  const auto head = m_dialect.Decode(aExchange->Head());
  Refuse(*aExchange, head.ok() ? head->m_request_id : "", RequestRefusal::Leaving());
}

}
