#include "CallerLoad.h"

#include <doctest.h>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

constexpr unsigned kSeeds = 5;
// The drawn service times move the mean of about 180 requests by 7 % (one standard deviation), so
// that the number served is no sharper measure of the used capacity.
constexpr double kMinServedShare = 0.75;

}

// Guards against a service that refuses every request while its slots are free: its few responses
// were slow, so that each new request was judged late and was removed before it could be granted a
// slot, and no response renewed the estimate.
TEST_CASE("Overloaded by callers that repeat at once, a service keeps its slots in use")
{
  for (const double learned_factor : { 1.0, 20.0, 0.05 }) {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(learned_factor);
      CAPTURE(seed);
      CallerLoad load;
      load.m_learned_factor = learned_factor;
      CallerLoadSimulation simulation(load, seed);
      simulation.Run();
      const double capacity = load.CapacityIn(30'000);
      CHECK(simulation.ServedBetween(5'000, 35'000) >= kMinServedShare * capacity);
      CHECK(simulation.RefusedBesideFreeSlot() == 0);
    }
  }
}
