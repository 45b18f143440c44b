#include "BatchEngineLoad.h"

#include <doctest.h>

using namespace auburnhitch::tests;

namespace {

// Differences between two runs have a standard error of up to 0.005 over the seeds.
constexpr double kMaxGain = 0.03;

/// Mean outcome over seeds on which the candidates were not tuned.
BatchOutcome
RunSeeds(const BatchLoad& aLoad, const MakeCandidate& aMake)
{
  constexpr unsigned kFirstSeed = 101;
  constexpr unsigned kSeeds = 10;
  BatchOutcome mean;
  for (unsigned seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
    const BatchOutcome one = BatchEngineLoad(aLoad, aMake, seed).Run();
    mean.m_arrived += one.m_arrived;
    mean.m_in_time += one.m_in_time;
    mean.m_reversals += one.m_reversals / kSeeds;
    mean.m_distance += one.m_distance / kSeeds;
    mean.m_follow_ms += one.m_follow_ms / kSeeds;
  }
  return mean;
}

BatchLoad
FullLoad()
{
  std::vector<double> slowness(12, 0.68);
  std::fill(slowness.begin() + 8, slowness.end(), 3.0);
  BatchLoad load;
  load.m_slowness = slowness;
  load.m_per_second = 70;
  return load;
}

}

TEST_CASE(
  "Learned concurrency limits bring no more responses in time while every free slot is used")
{
  // Guards the decision in docs/design/learned-limits.md not to wire a learned limit: if the oracle
  // gains, the candidates have to be compared again.
  const BatchLoad load = FullLoad();
  const double without = RunSeeds(load, FixedLimit(load.m_slots)).InTimeShare();
  const auto check = [&](const std::string& aName, const MakeCandidate& aMake) {
    const BatchOutcome outcome = RunSeeds(load, aMake);
    MESSAGE(aName,
            ": in time ",
            without,
            " -> ",
            outcome.InTimeShare(),
            ", reversals a second ",
            outcome.m_reversals,
            ", distance from the knees ",
            outcome.m_distance,
            ", followed after ",
            outcome.m_follow_ms,
            " ms");
    CHECK(outcome.InTimeShare() < without + kMaxGain);
  };
  check("fixed limit of 3", FixedLimit(3));
  check("fixed limit of 2", FixedLimit(2));
  check("AIMD", AimdLimit());
  check("gradient", GradientLimit());
  check("fitted", FittedLimit());
  BatchLoad oracle = load;
  oracle.m_is_oracle = true;
  const double with_oracle = RunSeeds(oracle, FixedLimit(load.m_slots)).InTimeShare();
  MESSAGE("oracle: in time ", without, " -> ", with_oracle);
  CHECK(with_oracle < without + kMaxGain);
}

TEST_CASE("Requests that wait for slots within the knees are in time more often")
{
  // Guards against a simulation whose knees cost nothing, in which any limit would look useless.
  BatchLoad load = FullLoad();
  const double without = RunSeeds(load, FixedLimit(load.m_slots)).InTimeShare();
  load.m_is_oracle = true;
  load.m_is_strict = true;
  const double strict = RunSeeds(load, FixedLimit(load.m_slots)).InTimeShare();
  MESSAGE("strict oracle: in time ", without, " -> ", strict);
  CHECK(strict > without + 2 * kMaxGain);
}
