#pragma once

#include "Workload.h"

#include <list>
#include <vector>

namespace auburnhitch::policy {

/// The speed and the capacity of one engine.
struct EngineRates
{
  double m_prefill_tokens_per_ms = 8;
  /// Length of a decode step of an almost empty batch.
  double m_decode_ms = 12;
  /// Batch size at which a decode step takes twice as long.
  double m_batch_slowdown = 24;
  /// Prompt and output tokens of the running requests that fit into memory.
  int m_memory_tokens = 60'000;
  /// Number of prefixes that stay cached.
  int m_cached_prefixes = 6;
};

/// What an engine reports when a request ends.
struct EngineEvent
{
  std::int64_t m_request = 0;
  SimTime m_at = 0;
  SimTime m_first_token_at = 0;
};

/// Simulates an engine with continuous batching: it admits requests as they arrive, up to its
/// memory limit, and caches the most recently used prefixes. It advances in steps and is
/// deterministic.
class EngineModel
{
public:
  explicit EngineModel(const EngineRates& aRates)
    : m_rates(aRates)
  {
  }

  void Add(const SimRequest& aRequest, SimTime aNow);
  /// Drops a request. The tokens that were prefilled for it count as wasted.
  void Cancel(std::int64_t aRequest);
  /// Fails the engine: all its requests are lost.
  void Fail();
  void SetSlowdown(double aFactor) { m_slowdown = aFactor; }

  /// Runs one step that begins at aNow and appends the requests that end with it. Returns the
  /// step's length in milliseconds, or 0 if the engine is idle.
  double Step(SimTime aNow, std::vector<EngineEvent>& aEnded);

  std::size_t Load() const { return m_waiting.size() + m_running.size(); }
  bool IsFailed() const { return m_is_failed; }
  /// Total number of prompt tokens processed.
  double PrefilledTokens() const { return m_prefilled; }
  /// Prompt tokens processed for requests that were cancelled or lost, and of prefixes that were
  /// processed again.
  double WastedTokens() const { return m_wasted; }

private:
  struct Running
  {
    SimRequest m_request;
    int m_prefill_left = 0;
    int m_prefilled = 0;
    int m_produced = 0;
    SimTime m_first_token_at = -1;
  };

  void AdmitWaiting();
  bool TouchPrefix(int aPrefix);

  EngineRates m_rates;
  double m_slowdown = 1;
  bool m_is_failed = false;
  std::list<SimRequest> m_waiting;
  std::vector<Running> m_running;
  /// Cached prefixes, the most recently used first.
  std::list<int> m_cache;
  /// Prefixes that were processed at least once.
  std::vector<int> m_ever_computed;
  int m_memory_used = 0;
  double m_prefilled = 0;
  double m_wasted = 0;
};

}
