#pragma once

#include <LibQueueing/TieredQueue.h>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace auburnhitch::policy {

/// Milliseconds since the start of a run.
using SimTime = double;

/// A request as its caller knows it, and as only the engine will know it.
struct SimRequest
{
  std::int64_t m_id = 0;
  SimTime m_arrival = 0;
  std::size_t m_tier = 0;
  std::string m_workspace;
  /// Requests with one prefix share the first m_prefix_tokens of their prompt.
  int m_prefix = 0;
  int m_prefix_tokens = 0;
  int m_own_tokens = 0;
  /// The output limit that the caller states.
  int m_max_output = 0;
  /// What the engine will produce.
  int m_output = 0;
  double m_deadline_ms = 0;
  bool m_is_sheddable = false;
  int m_retries_left = 0;

  int PromptTokens() const { return m_prefix_tokens + m_own_tokens; }
};

/// One tier's share of a user's traffic.
struct TrafficClass
{
  const char* m_name;
  double m_share;
  int m_min_own_tokens;
  int m_max_own_tokens;
  int m_min_output_tokens;
  int m_max_output_tokens;
  int m_prefixes;
  int m_prefix_tokens;
  double m_deadline_ms;
  bool m_is_sheddable;
};

/// The traffic of one of the users.
struct Traffic
{
  const char* m_deployment;
  std::vector<TrafficClass> m_classes;
  std::size_t m_engines;
};

Traffic
AssociationTraffic();
Traffic
KalahariTraffic();

/// Draws requests with exponential gaps. aRate is in requests per second. A workspace sends
/// aLargest times as much as each of the four others.
std::vector<SimRequest>
DrawRequests(const Traffic& aTraffic,
             double aRate,
             SimTime aUntil,
             double aLargest,
             std::mt19937_64& aRandom);

}
