#include "CallerLoad.h"

#include <doctest.h>
#include <functional>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

constexpr unsigned kSeeds = 5;
// The service has to serve this share of its capacity while arrivals exceed it.
constexpr double kMinServedShare = 0.9;
// Below this, a service has stopped serving for part of the time.
constexpr double kMinKeptShare = 0.75;

/// Runs the load with estimates that are right, too high and too low.
void
ForEachLoad(const std::function<void(const CallerLoad&, CallerLoadSimulation&)>& aCheck)
{
  for (const double learned_factor : { 1.0, 20.0, 0.05 }) {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(learned_factor);
      CAPTURE(seed);
      CallerLoad load;
      load.m_learned_factor = learned_factor;
      CallerLoadSimulation simulation(load, seed);
      simulation.Run();
      aCheck(load, simulation);
    }
  }
}

}

// Guards against a service that refuses every request while its slots are free.
TEST_CASE("Overloaded by callers that repeat at once, a service keeps its slots in use")
{
  ForEachLoad([](const CallerLoad& aLoad, CallerLoadSimulation& aSimulation) {
    CHECK(aSimulation.ServedBetween(5'000, 35'000) >= kMinKeptShare * aLoad.CapacityIn(30'000));
    CHECK(aSimulation.RefusedBesideFreeSlot() == 0);
  });
}

// Guards against slots that stand idle between a response and the next arrival.
TEST_CASE("Overloaded by callers that repeat at once, a service serves nine tenths of its capacity")
{
  ForEachLoad([](const CallerLoad& aLoad, CallerLoadSimulation& aSimulation) {
    CHECK(aSimulation.ServedBetween(5'000, 35'000) >= kMinServedShare * aLoad.CapacityIn(30'000));
  });
}
