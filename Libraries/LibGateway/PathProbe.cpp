#include <LibGateway/PathProbe.h>

#include <LibCore/Log.h>
#include <algorithm>

namespace auburnhitch {

namespace {

// Endpoints in question that are asked at a time.
constexpr std::size_t kMaxInQuestion = 2;
constexpr Milliseconds kConnectTimeout{ 250 };
// An endpoint states its state at once, whatever it is at work on.
constexpr Milliseconds kAnswerTimeout{ 500 };
// A round that ends later than this after its time-out shows that this process was late itself.
constexpr Milliseconds kMaxLateness{ 200 };

}

void
PathProbe::Tick()
{
  const TimePoint now = m_dependencies.m_loop->Now();
  if (!m_round.empty() || !m_dependencies.m_reach->ShouldProbe(now)) {
    return;
  }
  m_began_at = now;
  for (const EndpointEntry& endpoint : ChooseEndpoints()) {
    Ask(endpoint);
  }
}

void
PathProbe::Cancel()
{
  m_round.clear();
}

std::vector<EndpointEntry>
PathProbe::ChooseEndpoints()
{
  const EndpointRegistry& registry = *m_dependencies.m_registry;
  const std::set<EndpointId> in_question = m_dependencies.m_reach->InQuestion();
  std::vector<EndpointEntry> candidates;
  for (const EndpointId& id : in_question) {
    if (const auto entry = registry.FindUsable(id)) {
      candidates.push_back(*entry);
    }
  }
  if (candidates.empty()) {
    return {};
  }
  ++m_turn;
  std::vector<EndpointEntry> others = registry.UsableEndpoints(candidates.front().m_service);
  std::erase_if(others,
                [&](const EndpointEntry& aEntry) { return in_question.contains(aEntry.m_id); });
  std::rotate(candidates.begin(),
              candidates.begin() + static_cast<std::ptrdiff_t>(m_turn % candidates.size()),
              candidates.end());
  candidates.resize(std::min(candidates.size(), kMaxInQuestion));
  if (!others.empty()) {
    candidates.push_back(others[m_turn % others.size()]);
  }
  return candidates;
}

void
PathProbe::Ask(const EndpointEntry& aEndpoint)
{
  RelayRequest request;
  request.m_target = m_dependencies.m_dialect->EndpointStateTarget();
  request.m_headers = { { "Host", aEndpoint.m_address.Value() } };
  RelayCallLimits limits;
  limits.m_connect_timeout = kConnectTimeout;
  limits.m_total_timeout = kAnswerTimeout;
  limits.m_may_reuse = false;
  const EndpointId id = aEndpoint.m_id;
  m_round[id].m_call = m_dependencies.m_client->Send(
    aEndpoint.m_address,
    "state/" + id.Value(),
    std::move(request),
    limits,
    RelayCallHandlers{ nullptr,
                       [this, id](const MessageHead&) { OnAnswered(id); },
                       nullptr,
                       [this, id](const RelayResult& aResult) { OnEnded(id, aResult); } });
}

void
PathProbe::OnAnswered(const EndpointId& aEndpoint)
{
  m_dependencies.m_metrics->OnPathProbed("answered");
  LogOf("reach").info("event=probe-answered endpoint={} after_ms={}",
                      aEndpoint.Value(),
                      ToMilliseconds(m_dependencies.m_loop->Now() - m_began_at));
  m_dependencies.m_reach->RecordProbeAnswered();
  m_round.clear();
}

void
PathProbe::OnEnded(const EndpointId& aEndpoint, const RelayResult& aResult)
{
  // This runs inside a callback of the call, so the call must stay alive until this returns.
  const std::unique_ptr<RelayCall> ended = std::move(m_round[aEndpoint].m_call);
  if (aResult.m_end == RelayCallEnd::Malformed) {
    // Bytes have come back all the same.
    OnAnswered(aEndpoint);
    return;
  }
  m_round[aEndpoint].m_result =
    aResult.m_was_established ? Result::Unanswered : Result::NotEstablished;
  EndRound();
}

void
PathProbe::EndRound()
{
  const bool is_pending = std::any_of(m_round.begin(), m_round.end(), [](const auto& aEntry) {
    return aEntry.second.m_result == Result::Pending;
  });
  if (is_pending) {
    return;
  }
  const TimePoint now = m_dependencies.m_loop->Now();
  const bool is_late = now - m_began_at > kAnswerTimeout + kMaxLateness;
  m_dependencies.m_metrics->OnPathProbed(is_late ? "late" : "unanswered");
  LogOf("reach").info("event=probe-unanswered endpoints={} after_ms={} late={}",
                      m_round.size(),
                      ToMilliseconds(now - m_began_at),
                      is_late);
  for (const auto& [endpoint, question] : m_round) {
    if (is_late) {
      continue;
    }
    if (question.m_result == Result::NotEstablished) {
      m_dependencies.m_reach->RecordConnectFailure(endpoint, now);
    } else {
      m_dependencies.m_reach->RecordUnanswered(endpoint, now);
    }
  }
  m_round.clear();
}

}
