#include "EngineModel.h"

#include <algorithm>

namespace auburnhitch::policy {

namespace {

/// Prompt tokens that one step processes at most, over all requests together.
constexpr int kPrefillChunkTokens = 512;

int
MemoryOf(const SimRequest& aRequest)
{
  return aRequest.PromptTokens() + aRequest.m_output;
}

}

void
EngineModel::Add(const SimRequest& aRequest, SimTime)
{
  m_waiting.push_back(aRequest);
}

void
EngineModel::Cancel(std::int64_t aRequest)
{
  m_waiting.remove_if([&](const SimRequest& aOne) { return aOne.m_id == aRequest; });
  const auto found = std::find_if(m_running.begin(), m_running.end(), [&](const Running& aOne) {
    return aOne.m_request.m_id == aRequest;
  });
  if (found != m_running.end()) {
    m_wasted += found->m_prefilled;
    m_memory_used -= MemoryOf(found->m_request);
    m_running.erase(found);
  }
}

void
EngineModel::Fail()
{
  for (const Running& running : m_running) {
    m_wasted += running.m_prefilled;
  }
  m_is_failed = true;
  m_waiting.clear();
  m_running.clear();
}

bool
EngineModel::TouchPrefix(int aPrefix)
{
  const auto found = std::find(m_cache.begin(), m_cache.end(), aPrefix);
  const bool is_hit = found != m_cache.end();
  if (is_hit) {
    m_cache.erase(found);
  }
  m_cache.push_front(aPrefix);
  if (m_cache.size() > static_cast<std::size_t>(m_rates.m_cached_prefixes)) {
    m_cache.pop_back();
  }
  return is_hit;
}

void
EngineModel::AdmitWaiting()
{
  while (!m_waiting.empty() && (m_running.empty() || m_memory_used + MemoryOf(m_waiting.front()) <=
                                                       m_rates.m_memory_tokens)) {
    Running running;
    running.m_request = m_waiting.front();
    m_waiting.pop_front();
    running.m_prefill_left = running.m_request.PromptTokens();
    const int prefix = running.m_request.m_prefix;
    if (TouchPrefix(prefix)) {
      running.m_prefill_left -= running.m_request.m_prefix_tokens;
    } else if (std::find(m_ever_computed.begin(), m_ever_computed.end(), prefix) !=
               m_ever_computed.end()) {
      m_wasted += running.m_request.m_prefix_tokens;
    } else {
      m_ever_computed.push_back(prefix);
    }
    m_memory_used += MemoryOf(running.m_request);
    m_running.push_back(std::move(running));
  }
}

double
EngineModel::Step(SimTime aNow, std::vector<EngineEvent>& aEnded)
{
  AdmitWaiting();
  if (m_running.empty()) {
    return 0;
  }
  int chunk = 0;
  for (Running& running : m_running) {
    const int tokens = std::min(running.m_prefill_left, kPrefillChunkTokens - chunk);
    running.m_prefill_left -= tokens;
    running.m_prefilled += tokens;
    chunk += tokens;
  }
  m_prefilled += chunk;
  const auto decoding = std::count_if(m_running.begin(), m_running.end(), [](const Running& aOne) {
    return aOne.m_prefill_left == 0;
  });
  const double decode =
    decoding == 0
      ? 0
      : m_rates.m_decode_ms * (1 + static_cast<double>(decoding) / m_rates.m_batch_slowdown);
  const double length = (chunk / m_rates.m_prefill_tokens_per_ms + decode) * m_slowdown;
  for (Running& running : m_running) {
    if (running.m_prefill_left > 0) {
      continue;
    }
    ++running.m_produced;
    if (running.m_first_token_at < 0) {
      running.m_first_token_at = aNow + length;
    }
    if (running.m_produced >= running.m_request.m_output) {
      aEnded.push_back(
        EngineEvent{ running.m_request.m_id, aNow + length, running.m_first_token_at });
    }
  }
  std::erase_if(m_running, [&](const Running& aOne) {
    const bool is_done = aOne.m_produced >= aOne.m_request.m_output;
    m_memory_used -= is_done ? MemoryOf(aOne.m_request) : 0;
    return is_done;
  });
  return length;
}

}
