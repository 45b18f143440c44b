#include "Simulation.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <string>

using namespace auburnhitch::policy;

namespace {

constexpr std::size_t kDaemons = 6;
constexpr std::size_t kWindowPerDaemon = 2;

/// Collects one figure over all seeds and prints its median, minimum and maximum.
class Spread
{
public:
  void Add(double aValue) { m_values.push_back(aValue); }
  std::string ToString() const
  {
    std::vector<double> sorted = m_values;
    std::sort(sorted.begin(), sorted.end());
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << sorted[sorted.size() / 2] << " ["
         << sorted.front() << " " << sorted.back() << "]";
    return text.str();
  }

private:
  std::vector<double> m_values;
};

std::vector<Scenario>
Scenarios(const Traffic& aTraffic)
{
  std::vector<Scenario> scenarios;
  const auto add = [&](const std::string& aName, double aLoad, auto aChange) {
    Scenario scenario;
    scenario.m_name = aName;
    scenario.m_traffic = aTraffic;
    scenario.m_load = aLoad;
    aChange(scenario);
    scenarios.push_back(scenario);
  };
  const auto no_change = [](Scenario&) {};
  add("load 0.5", 0.5, no_change);
  add("load 0.8", 0.8, no_change);
  add("load 1.0", 1.0, no_change);
  add("load 1.3", 1.3, no_change);
  add("load 2.0", 2.0, no_change);
  add("burst at 0.8", 0.8, [](Scenario& aOne) { aOne.m_burst = 150; });
  add("one engine 3x slower, 0.8", 0.8, [](Scenario& aOne) {
    aOne.m_slowed_engines = 1;
    aOne.m_slowdown = 3;
  });
  add("one engine 10x slower, 0.8", 0.8, [](Scenario& aOne) {
    aOne.m_slowed_engines = 1;
    aOne.m_slowdown = 10;
  });
  add("one engine stalls, 0.8", 0.8, [](Scenario& aOne) {
    aOne.m_slowed_engines = 1;
    aOne.m_slowdown = 1e5;
  });
  add("half of the engines lost, 0.8", 0.8, [&](Scenario& aOne) {
    aOne.m_failed_engines = aTraffic.m_engines / 2;
  });
  add("daemons can't hear each other, 1.3", 1.3, [](Scenario& aOne) {
    aOne.m_peers_connected = false;
  });
  add("retries as told, 1.3", 1.3, [](Scenario& aOne) { aOne.m_max_retries = 5; });
  add("retries at once, 1.3", 1.3, [](Scenario& aOne) {
    aOne.m_max_retries = 5;
    aOne.m_retries_immediately = true;
  });
  add("one workspace sends ten times as much, 1.3", 1.3, [](Scenario& aOne) {
    aOne.m_largest_workspace = 40;
  });
  return scenarios;
}

void
Report(const Scenario& aScenario, const NamedPolicy& aPolicy, int aSeeds)
{
  Spread tiers[kMaxTiers];
  Spread total;
  Spread wasted;
  Spread late;
  Spread small;
  Spread violations;
  for (int seed = 1; seed <= aSeeds; ++seed) {
    Scenario scenario = aScenario;
    scenario.m_seed = static_cast<std::uint64_t>(seed);
    const Measures measures = Run(scenario, aPolicy.m_create, kWindowPerDaemon);
    for (std::size_t tier = 0; tier < kMaxTiers; ++tier) {
      tiers[tier].Add(measures.Goodput(tier));
    }
    total.Add(measures.TotalGood());
    wasted.Add(measures.WastedShare());
    late.Add(measures.m_late_phase_good / std::max(1.0, measures.m_late_phase_offered));
    double good = 0;
    double offered = 0;
    for (std::size_t workspace = 1; workspace < 5; ++workspace) {
      good += measures.m_good_by_workspace[workspace];
      offered += measures.m_offered_by_workspace[workspace];
    }
    small.Add(good / std::max(1.0, offered));
    violations.Add(measures.m_refused_above_waiting + measures.m_unfinished);
  }
  std::cout << "| " << aPolicy.m_name << " | " << tiers[0].ToString() << " | "
            << tiers[1].ToString() << " | " << tiers[2].ToString() << " | " << total.ToString()
            << " | " << wasted.ToString() << " | " << late.ToString() << " | " << small.ToString()
            << " | " << violations.ToString() << " |" << std::endl;
}

}

int
main(int aCount, char** aArguments)
{
  const int seeds = aCount > 1 ? std::stoi(aArguments[1]) : 3;
  const std::string only = aCount > 2 ? aArguments[2] : "";
  const std::string only_policy = aCount > 3 ? aArguments[3] : "";
  for (const Traffic& traffic : { AssociationTraffic(), KalahariTraffic() }) {
    for (const Scenario& scenario : Scenarios(traffic)) {
      if (scenario.m_name.find(only) == std::string::npos) {
        continue;
      }
      std::cout
        << "\n"
        << traffic.m_deployment << ", " << scenario.m_name << "\n"
        << "| policy | top | middle | lowest | good in all | wasted prefill | top, after the "
           "fault | small workspaces | promises broken |\n"
        << "|---|---|---|---|---|---|---|---|---|" << std::endl;
      for (const NamedPolicy& policy : AllPolicies(traffic.m_engines, kDaemons, kWindowPerDaemon)) {
        if (policy.m_name.find(only_policy) != std::string::npos) {
          Report(scenario, policy, seeds);
        }
      }
    }
  }
  return 0;
}
