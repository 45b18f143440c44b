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

/// What a run offers and breaks.
struct Scenario
{
  std::string m_name;
  Traffic m_traffic;
  /// Offered work relative to what the engines can do.
  double m_load = 1.0;
  SimTime m_length_ms = 60'000;
  std::size_t m_daemons = 6;
  double m_largest_workspace = 3;
  /// Callers come back at once instead of when they were told.
  bool m_retries_immediately = false;
  int m_max_retries = 0;
  /// Daemons hear of each other.
  bool m_peers_connected = true;
  double m_report_lag_ms = 1'000;
  /// At a third of the run: the first engines slow down by this factor, or fail.
  double m_slowdown = 1;
  std::size_t m_slowed_engines = 0;
  std::size_t m_failed_engines = 0;
  /// Extra requests of the top tier, all within one second at a third of the run.
  std::size_t m_burst = 0;
  std::uint64_t m_seed = 1;
};

/// What came of a run.
struct Measures
{
  std::array<double, kMaxTiers> m_offered{};
  /// Requests completed within their deadline.
  std::array<double, kMaxTiers> m_good{};
  /// Top-tier requests completed in time, of those that arrived in the last third.
  double m_late_phase_good = 0;
  double m_late_phase_offered = 0;
  double m_prefilled = 0;
  double m_wasted = 0;
  /// Top-tier requests that a daemon refused while it kept work waiting that may be shed.
  double m_refused_above_waiting = 0;
  /// Requests that were never told anything.
  double m_unanswered = 0;
  std::array<double, 5> m_good_by_workspace{};
  std::array<double, 5> m_offered_by_workspace{};
  /// Most requests that any engine held at once.
  std::size_t m_max_engine_load = 0;

  double Goodput(std::size_t aTier) const
  {
    return m_offered[aTier] > 0 ? m_good[aTier] / m_offered[aTier] : 1;
  }
  double TotalGood() const { return m_good[0] + m_good[1] + m_good[2]; }
  double WastedShare() const { return m_prefilled > 0 ? m_wasted / m_prefilled : 0; }
};

/// Runs one policy through one scenario. Deterministic in the scenario's seed.
Measures
Run(const Scenario& aScenario, const PolicyFactory& aPolicy, std::size_t aWindow);

/// Requests per second that the scenario's engines can complete at most.
double
CapacityOf(const Scenario& aScenario);

}
