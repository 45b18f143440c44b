#include "../Policy/Simulation.h"

#include <algorithm>
#include <doctest.h>

using namespace auburnhitch;
using namespace auburnhitch::policy;

namespace {

constexpr std::size_t kDaemons = 6;
constexpr std::size_t kWindowPerDaemon = 2;
constexpr std::uint64_t kSeeds = 5;

NamedPolicy
CurrentPolicy(const Traffic& aTraffic)
{
  return AllPolicies(aTraffic.m_engines, kDaemons, kWindowPerDaemon).back();
}

std::vector<Measures>
RunSeeds(Scenario aScenario)
{
  std::vector<Measures> all;
  const NamedPolicy policy = CurrentPolicy(aScenario.m_traffic);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    aScenario.m_seed = seed;
    all.push_back(Run(aScenario, policy.m_create, kWindowPerDaemon));
  }
  return all;
}

template<typename Figure>
double
MedianOf(const std::vector<Measures>& aRuns, Figure aFigure)
{
  std::vector<double> values;
  values.reserve(aRuns.size());
  for (const Measures& measures : aRuns) {
    values.push_back(aFigure(measures));
  }
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

double
TopGoodput(const std::vector<Measures>& aRuns)
{
  return MedianOf(aRuns, [](const Measures& aOne) { return aOne.Goodput(0); });
}

double
TotalGood(const std::vector<Measures>& aRuns)
{
  return MedianOf(aRuns, [](const Measures& aOne) { return aOne.TotalGood(); });
}

std::vector<Measures>
RunAt(const Traffic& aTraffic, double aLoad)
{
  Scenario scenario;
  scenario.m_traffic = aTraffic;
  scenario.m_load = aLoad;
  return RunSeeds(scenario);
}

double
SmallWorkspacesGood(const Measures& aMeasures)
{
  double good = 0;
  double offered = 0;
  for (std::size_t workspace = 1; workspace < aMeasures.m_good_by_workspace.size(); ++workspace) {
    good += aMeasures.m_good_by_workspace[workspace];
    offered += aMeasures.m_offered_by_workspace[workspace];
  }
  return good / std::max(1.0, offered);
}

}

// Guards against lower tiers that take the top tier's share of the engines under overload.
TEST_CASE("Under overload, the top tier's goodput stays within 0.02 of its goodput at half load")
{
  for (const Traffic& traffic : { AssociationTraffic(), KalahariTraffic() }) {
    CAPTURE(std::string(traffic.m_deployment));
    const double half_load = TopGoodput(RunAt(traffic, 0.5));
    CHECK(TopGoodput(RunAt(traffic, 1.3)) >= half_load - 0.02);
    CHECK(TopGoodput(RunAt(traffic, 2.0)) >= half_load - 0.02);
  }
}

// Guards against congestion collapse: engines spend their time on requests that miss their
// deadline.
TEST_CASE("At twice the capacity, no fewer requests meet their deadline than at full load")
{
  for (const Traffic& traffic : { AssociationTraffic(), KalahariTraffic() }) {
    CAPTURE(std::string(traffic.m_deployment));
    CHECK(TotalGood(RunAt(traffic, 2.0)) >= TotalGood(RunAt(traffic, 1.0)));
  }
}

// Guards against a daemon that refuses top-tier requests during a burst although it could shed
// lower work, and against requests that are dropped without a response.
TEST_CASE("No top-tier request is refused while sheddable requests wait, and each gets a response")
{
  for (const Traffic& traffic : { AssociationTraffic(), KalahariTraffic() }) {
    for (const double load : { 0.8, 1.3, 2.0 }) {
      for (const bool connected : { true, false }) {
        Scenario scenario;
        scenario.m_traffic = traffic;
        scenario.m_load = load;
        scenario.m_burst = 150;
        scenario.m_peers_connected = connected;
        for (const Measures& measures : RunSeeds(scenario)) {
          CHECK(measures.m_refused_above_waiting == 0);
          CHECK(measures.m_unfinished == 0);
        }
      }
    }
  }
}

// Guards against daemons that rely on each other's heartbeats to keep an engine's concurrency
// limit.
TEST_CASE("Daemons without each other's heartbeats keep the engines' concurrency limits")
{
  for (const Traffic& traffic : { AssociationTraffic(), KalahariTraffic() }) {
    Scenario scenario;
    scenario.m_traffic = traffic;
    scenario.m_load = 2.0;
    scenario.m_peers_connected = false;
    for (const Measures& measures : RunSeeds(scenario)) {
      CHECK(measures.m_max_engine_load <= kDaemons * kWindowPerDaemon);
    }
  }
}

// Guards against retry storms: refused callers that ignore the retry time add load, which causes
// further refusals.
TEST_CASE(
  "Immediate retries lower the number of requests that meet their deadline by at most a tenth")
{
  for (const Traffic& traffic : { AssociationTraffic(), KalahariTraffic() }) {
    CAPTURE(std::string(traffic.m_deployment));
    Scenario scenario;
    scenario.m_traffic = traffic;
    scenario.m_load = 1.3;
    const double without = TotalGood(RunSeeds(scenario));
    scenario.m_max_retries = 5;
    scenario.m_retries_immediately = true;
    CHECK(TotalGood(RunSeeds(scenario)) >= 0.9 * without);
  }
}

// Guards against a workspace that crowds out the others: under overload, one sends 40 times as much
// as each of the four others, which is ten times as much as all of them together.
TEST_CASE("Small workspaces keep their goodput beside one that sends ten times as much")
{
  for (const Traffic& traffic : { AssociationTraffic(), KalahariTraffic() }) {
    CAPTURE(std::string(traffic.m_deployment));
    Scenario scenario;
    scenario.m_traffic = traffic;
    scenario.m_load = 1.3;
    const double beside_equals = MedianOf(RunSeeds(scenario), SmallWorkspacesGood);
    scenario.m_largest_workspace = 40;
    CHECK(MedianOf(RunSeeds(scenario), SmallWorkspacesGood) >= beside_equals - 0.02);
  }
}
