#pragma once

#include "ConcurrencyCandidates.h"
#include "EventQueue.h"

#include <LibPlacement/EndpointChooser.h>
#include <map>
#include <optional>
#include <random>

namespace auburnhitch::tests {

/// A load of three kinds of requests on endpoints that serve in batches.
struct BatchLoad
{
  double m_per_second = 0;
  /// Of each endpoint, as a multiple of the reference time.
  std::vector<double> m_slowness;
  int m_slots = 4;
  /// Every third endpoint has its knee at half its slots; after half the time, every next one.
  bool m_has_knees = true;
  /// Beyond its knee an endpoint takes (requests / knee) to the power of this as long.
  double m_knee_steepness = 1.5;
  double m_duration_ms = 40'000;
  /// Whether endpoints learn their limits themselves, as with `learn_concurrency`.
  bool m_is_wired = false;
  /// Whether a request waits while only slots beyond the limit are free. For comparison only.
  bool m_is_strict = false;
  /// Whether each limit is that of the endpoint's present knee, instead of a candidate's.
  bool m_is_oracle = false;
};

struct BatchOutcome
{
  int m_arrived = 0;
  int m_in_time = 0;
  /// Changes of the direction in which a limit moves, by endpoint and second.
  double m_reversals = 0;
  /// Mean distance of the limits from the knees over the last 5 s, in slots.
  double m_distance = 0;
  /// Time after the move of the knees until half of the additional distance is gone. Says nothing
  /// of limits that do not move.
  double m_follow_ms = 0;

  double InTimeShare() const { return static_cast<double>(m_in_time) / m_arrived; }
};

/// Simulates arrivals, the choice of endpoints by EndpointChooser, and engines with batches that
/// read prompts in chunks between the tokens of the other requests. An endpoint beyond its limit is
/// the last choice. No network.
class BatchEngineLoad
{
public:
  BatchEngineLoad(const BatchLoad& aLoad, const MakeCandidate& aMake, unsigned aSeed);

  BatchOutcome Run();

private:
  struct Request
  {
    SlotRequest m_slot;
    double m_gap_limit_ms = 0;
    double m_prompt_left = 0;
    int m_output_left = 0;
    double m_granted_at = 0;
    double m_reference_ms = 0;
    /// Integral of the number of requests at the endpoint over time, at the grant.
    double m_busy_at_grant = 0;
    double m_last_token_at = 0;
    bool m_is_late = false;
  };
  struct Engine
  {
    EndpointId m_id;
    double m_slowness = 1;
    int m_knee = 0;
    bool m_is_slow_now = false;
    bool m_is_stepping = false;
    std::vector<Request> m_running;
    std::unique_ptr<LimitCandidate> m_limit;
    double m_busy = 0;
    double m_busy_until = 0;
    int m_last_limit = 0;
    int m_last_direction = 0;
  };

  void Arrive();
  void GrantSlots();
  void Step(Engine& aEngine);
  void FinishStep(Engine& aEngine, std::size_t aReading, double aRead);
  void SetKnees(std::size_t aOffset);
  void ScheduleSlowPeriods(Engine& aEngine);
  void ObserveLimits();
  int LimitOf(const Engine& aEngine) const;
  double LogNormal(double aMean, double aSigma);

  BatchLoad m_load;
  std::mt19937 m_random;
  EventQueue m_events;
  EndpointChooser::Endpoints m_endpoints;
  std::map<EndpointId, Engine> m_engines;
  std::multimap<TimePoint, Request> m_waiting;
  std::vector<std::pair<double, double>> m_distances;
  BatchOutcome m_outcome;
};

}
