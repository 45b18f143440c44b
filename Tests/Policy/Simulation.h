#pragma once

#include "EngineModel.h"
#include "Policies.h"
#include "Workload.h"

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace auburnhitch::policy {

constexpr std::size_t kMaxTiers = 3;

/// The load and the faults of a run.
struct Scenario
{
  std::string m_name;
  Traffic m_traffic;
  /// Offered requests as a share of the engines' capacity (see CapacityOf()).
  double m_load = 1.0;
  SimTime m_length_ms = 60'000;
  std::size_t m_daemons = 6;
  /// How many times as much as each other workspace the largest one sends.
  double m_largest_workspace = 3;
  /// Refused callers retry immediately instead of after the time that the daemon gave them.
  bool m_retries_immediately = false;
  /// How often a caller retries a refused request.
  int m_max_retries = 0;
  /// Daemons receive each other's heartbeats.
  bool m_peers_connected = true;
  /// Age at which an engine's reported load reaches the daemons.
  double m_report_lag_ms = 1'000;
  /// Fault at a third of the run: the first m_slowed_engines slow down by this factor, the first
  /// m_failed_engines fail.
  double m_slowdown = 1;
  std::size_t m_slowed_engines = 0;
  std::size_t m_failed_engines = 0;
  /// Extra requests of the top tier, all within one second at a third of the run.
  std::size_t m_burst = 0;
  std::uint64_t m_seed = 1;
};

/// The results of a run.
struct Measures
{
  /// Requests that arrived, without retries.
  std::array<double, kMaxTiers> m_offered{};
  /// Requests completed within their deadline.
  std::array<double, kMaxTiers> m_good{};
  /// Top-tier requests completed within their deadline, of those that arrived more than 5 s after a
  /// third of the run, which is when faults occur.
  double m_late_phase_good = 0;
  double m_late_phase_offered = 0;
  /// Prompt tokens that the engines processed, and how many of them were wasted.
  double m_prefilled = 0;
  double m_wasted = 0;
  /// Top-tier requests that a daemon refused while requests that may be shed waited there.
  double m_refused_above_waiting = 0;
  /// Requests that got neither a response nor a refusal.
  double m_unfinished = 0;
  std::array<double, 5> m_good_by_workspace{};
  std::array<double, 5> m_offered_by_workspace{};
  /// Maximum number of requests that any engine held at the same time.
  std::size_t m_max_engine_load = 0;

  double Goodput(std::size_t aTier) const
  {
    return m_offered[aTier] > 0 ? m_good[aTier] / m_offered[aTier] : 1;
  }
  double TotalGood() const { return m_good[0] + m_good[1] + m_good[2]; }
  double WastedShare() const { return m_prefilled > 0 ? m_wasted / m_prefilled : 0; }
};

/// Runs one policy through one scenario. The result depends only on the scenario and its seed.
Measures
Run(const Scenario& aScenario, const PolicyFactory& aPolicy, std::size_t aWindow);

/// Returns the maximum number of requests per second that the scenario's engines can complete.
double
CapacityOf(const Scenario& aScenario);

}
