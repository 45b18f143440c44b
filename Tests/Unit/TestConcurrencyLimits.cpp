#include "BatchEngineLoad.h"

#include <LibPlacement/ConcurrencyLimit.h>
#include <LibPlacement/SlotScheduler.h>
#include <doctest.h>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

TimePoint
At(double aMs)
{
  return TimePoint{} +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(aMs));
}

BatchLoad
UnevenLoad(double aPerSecond)
{
  BatchLoad load;
  load.m_slowness = { 0.4, 0.4, 0.6, 0.8, 1, 1, 1.2, 1.5, 2, 2.5, 3, 3 };
  load.m_per_second = aPerSecond;
  load.m_knee_steepness = 2.5;
  return load;
}

/// Mean share of requests in time over all seeds.
double
InTimeShare(const BatchLoad& aLoad, const MakeCandidate& aMake)
{
  constexpr unsigned kFirstSeed = 301;
  constexpr unsigned kSeeds = 16;
  int arrived = 0;
  int in_time = 0;
  for (unsigned seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
    const BatchOutcome one = BatchEngineLoad(aLoad, aMake, seed).Run();
    arrived += one.m_arrived;
    in_time += one.m_in_time;
  }
  return static_cast<double>(in_time) / arrived;
}

double
WiredShare(BatchLoad aLoad)
{
  aLoad.m_is_wired = true;
  return InTimeShare(aLoad, FixedLimit(aLoad.m_slots));
}

}

TEST_CASE("Learned limits bring more responses in time where endpoints have steep knees")
{
  // Guards against limits that are learned and change nothing, and against a simulation whose knees
  // cost nothing.
  BatchLoad load = UnevenLoad(47);
  const double without = InTimeShare(load, FixedLimit(load.m_slots));
  const double wired = WiredShare(load);
  const double aimd = InTimeShare(load, AimdLimit());
  const double gradient = InTimeShare(load, GradientLimit());
  load.m_is_oracle = true;
  const double oracle = InTimeShare(load, FixedLimit(load.m_slots));
  MESSAGE("in time ",
          without,
          ", AIMD ",
          aimd,
          ", gradient ",
          gradient,
          ", learned ",
          wired,
          ", oracle ",
          oracle);
  CHECK(wired > without);
  CHECK(oracle > wired);
}

TEST_CASE("Learned limits cost nothing where endpoints have no knees")
{
  // Guards against limits that fall because of noise and slow periods.
  constexpr double kMaxLoss = 0.005;
  BatchLoad load = UnevenLoad(60);
  load.m_has_knees = false;
  const double without = InTimeShare(load, FixedLimit(load.m_slots));
  const double wired = WiredShare(load);
  MESSAGE("in time ", without, " -> ", wired);
  CHECK(wired > without - kMaxLoss);
}

TEST_CASE("A concurrency limit follows a knee that moves")
{
  // Guards against a limit that stays after its cause has gone, and one that rises beside a knee.
  ConcurrencyLimit limit(4);
  CHECK(limit.Limit() == 4);
  double now_ms = 0;
  const auto serve = [&](double aKnee) {
    constexpr int kSamples = 400;
    for (int i = 0; i < kSamples; ++i) {
      now_ms += 50;
      const double concurrency = 1 + i % 4;
      const double over = std::max(1.0, concurrency / aKnee);
      limit.Record({ over * over, concurrency }, At(now_ms));
    }
    return limit.Limit();
  };
  CHECK(serve(2) == 2);
  CHECK(serve(3) == 3);
  CHECK(serve(4) == 4);
  CHECK(serve(1) == 1);
}

TEST_CASE("An endpoint beyond its learned limit is the last choice, and never left free")
{
  // Guards against a request that waits beside a free slot because of a learned limit.
  const auto grants = [](bool aLearns) {
    SlotSchedulerLimits limits;
    limits.m_learn_concurrency = aLearns;
    SlotScheduler scheduler(limits);
    const EndpointId knee("a");
    const EndpointId slow("b");
    const DataCenterName zone("dc");
    std::uint64_t number = 0;
    double now_ms = 0;
    const auto request = [&] {
      SlotRequest made;
      made.m_request_id = { Incarnation("d"), ++number };
      made.m_work = { 0, 100 };
      made.m_objective_at = At(now_ms + 5'000);
      made.m_abandoned_at = At(now_ms + 5'000);
      made.m_data_center = zone;
      scheduler.RequestSlot(made, At(now_ms));
      const SlotDecisions decisions = scheduler.Decide(At(now_ms));
      REQUIRE(decisions.m_grants.size() == 1);
      return decisions.m_grants.front();
    };
    // Alone, its requests take the reference time; two at a time take eight times as long.
    scheduler.SetEndpoints({ { knee, zone, 2, 1 } }, At(0));
    for (int round = 0; round < 20; ++round) {
      for (const bool is_pair : { true, false }) {
        std::vector<SlotGrant> running{ request() };
        if (is_pair) {
          running.push_back(request());
        }
        const double factor = is_pair ? 8 : 1;
        const double start_ms = now_ms;
        for (const double share : { 20.0, 320.0 }) {
          now_ms = start_ms + factor * share;
          for (const SlotGrant& grant : running) {
            if (share < 100) {
              scheduler.RecordStarted(grant.m_request_id, knee, At(now_ms));
            } else {
              scheduler.RecordEnded(grant.m_request_id, knee, SlotOutcome::Complete, At(now_ms));
            }
          }
        }
      }
    }
    CHECK(scheduler.View(At(now_ms)).front().m_learned_limit == (aLearns ? 1U : 2U));
    // The other endpoint is new and in another data centre, which costs 15 ms, and idle.
    scheduler.SetEndpoints({ { knee, zone, 2, 1 }, { slow, DataCenterName("dc2"), 1, 1 } },
                           At(now_ms));
    std::vector<EndpointId> chosen;
    chosen.reserve(3);
    for (int i = 0; i < 3; ++i) {
      chosen.push_back(request().m_endpoint);
    }
    return chosen;
  };
  const EndpointId knee("a");
  const EndpointId slow("b");
  CHECK(grants(true) == std::vector{ knee, slow, knee });
  CHECK(grants(false) == std::vector{ knee, knee, slow });
}
