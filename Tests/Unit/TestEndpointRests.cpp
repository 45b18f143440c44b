#include <LibPlacement/EndpointRests.h>
#include <LibPlacement/SlotScheduler.h>

#include <doctest.h>

using namespace auburnhitch;

namespace {

TimePoint
At(int aMs)
{
  return TimePoint() + Milliseconds(aMs);
}

const ServiceName kService("s");
const EndpointIncarnation kFirst{ EndpointId("e1"), 1 };
const EndpointIncarnation kSecond{ EndpointId("e2"), 1 };
const Incarnation kOne("d1");
const Incarnation kOther("d2");
constexpr int kSlots = 4;

/// A scheduler with two endpoints, or one.
struct RestingScheduler
{
  explicit RestingScheduler(bool aHasSecond = true)
    : m_rests(std::make_shared<EndpointRests>(kMaxRestsOfDaemons))
    , m_scheduler(SlotSchedulerLimits(), std::make_shared<CrashSuspects>(), m_rests)
  {
    std::vector<SlotEndpointInfo> infos;
    for (const EndpointIncarnation& endpoint : { kFirst, kSecond }) {
      if (endpoint == kFirst || aHasSecond) {
        infos.push_back({ endpoint.m_id, DataCenterName("dc"), kSlots, 1, {}, {} });
      }
    }
    m_scheduler.SetEndpoints(infos, At(0));
  }

  void Rest(const EndpointIncarnation& aEndpoint,
            const Incarnation& aDaemon,
            int aRestMs,
            TimePoint aNow)
  {
    m_rests->Record(kService, aEndpoint, aDaemon, Milliseconds(aRestMs), aNow);
    m_scheduler.RecordRest(aEndpoint, aNow);
  }

  /// Requests a slot and returns what is decided at once.
  SlotDecisions Request(const Incarnation& aDaemon,
                        TimePoint aNow,
                        std::optional<SoftwareVersion> aVersion = std::nullopt)
  {
    SlotRequest request;
    request.m_request_id = { aDaemon, ++m_last_number };
    request.m_work = { 100, 10 };
    request.m_arrived_at = aNow;
    request.m_objective_at = aNow + Milliseconds(800);
    request.m_abandoned_at = aNow + Milliseconds(4'000);
    request.m_data_center = DataCenterName("dc");
    request.m_required_version = std::move(aVersion);
    m_scheduler.RequestSlot(request, aNow);
    return m_scheduler.Decide(aNow);
  }

  std::shared_ptr<EndpointRests> m_rests;
  SlotScheduler m_scheduler;
  std::uint64_t m_last_number = 0;
};

}

TEST_CASE("Rest: a rest binds one pair of a daemon and an incarnation until its latest end")
{
  EndpointRests rests(10);
  CHECK(rests.Record(kService, kFirst, kOne, Milliseconds(2'000), At(0)));
  CHECK_FALSE(rests.Record(kService, kFirst, kOne, Milliseconds(500), At(100)));
  CHECK(rests.EndOf(kFirst, kOne, At(1'999)) == At(2'000));
  CHECK_FALSE(rests.EndOf(kFirst, kOne, At(2'000)));
  CHECK_FALSE(rests.EndOf(kFirst, kOther, At(1)));
  CHECK_FALSE(rests.EndOf(kSecond, kOne, At(1)));
  CHECK_FALSE(rests.EndOf({ kFirst.m_id, 2 }, kOne, At(1)));
  CHECK(rests.Record(kService, kFirst, kOne, Milliseconds(2'000), At(500)));
  CHECK(rests.Of(kService, kOne, At(1'500)) ==
        std::vector{ EndpointRest{ kFirst, Milliseconds(1'000) } });
  CHECK(rests.Of(ServiceName("t"), kOne, At(1'500)).empty());
  CHECK(rests.Of(kService, kOther, At(1'500)).empty());
  rests.DropExpired(At(2'500));
  CHECK(rests.IsEmpty());
}

TEST_CASE("Rest: a full table drops the rest that ends first")
{
  EndpointRests rests(3);
  for (int i = 0; i < 4; ++i) {
    const EndpointIncarnation endpoint{ EndpointId(std::to_string(i)), 1 };
    rests.Record(kService, endpoint, kOne, Milliseconds(1'000 * (4 - i)), At(0));
  }
  CHECK(rests.Size() == 3);
  CHECK_FALSE(rests.EndOf({ EndpointId("3"), 1 }, kOne, At(1)));
}

TEST_CASE("Rest: a coordinator grants the endpoint to other daemons, and others to the daemon")
{
  RestingScheduler resting;
  resting.Rest(kFirst, kOne, 2'000, At(0));
  for (int i = 0; i < kSlots; ++i) {
    CHECK(resting.Request(kOne, At(10)).m_grants.at(0).m_endpoint == kSecond.m_id);
  }
  // Its further requests wait, and do not hold up those of another daemon.
  CHECK(resting.Request(kOne, At(20)).m_grants.empty());
  CHECK(resting.Request(kOther, At(30)).m_grants.at(0).m_endpoint == kFirst.m_id);
}

TEST_CASE("Rest: requests that can wait for its end within their objective wait, others do not")
{
  RestingScheduler resting;
  resting.Rest(kFirst, kOne, 3'000, At(0));
  resting.Rest(kSecond, kOne, 2'000, At(0));
  const SlotDecisions refused = resting.Request(kOne, At(10));
  REQUIRE(refused.m_refusals.size() == 1);
  CHECK(refused.m_refusals[0].m_reason == SlotRefusalReason::NoEndpoint);
  // The caller is told to come back after the first end, not all at one moment.
  CHECK(refused.m_refusals[0].m_retry_after >= Milliseconds(1'990));
  CHECK(refused.m_refusals[0].m_retry_after <= Milliseconds(3'000));
  const SlotDecisions waits = resting.Request(kOne, At(1'500));
  CHECK(waits.m_refusals.empty());
  CHECK(waits.m_grants.empty());
  CHECK(resting.m_scheduler.Decide(At(1'999)).m_grants.empty());
  CHECK(resting.m_scheduler.Decide(At(2'000)).m_grants.at(0).m_endpoint == kSecond.m_id);
}

TEST_CASE("Rest: a stream that has begun waits for as long as its caller does")
{
  RestingScheduler resting;
  resting.Rest(kFirst, kOne, 3'000, At(0));
  resting.Rest(kSecond, kOne, 3'000, At(0));
  const SlotDecisions waits = resting.Request(kOne, At(10), SoftwareVersion());
  CHECK(waits.m_refusals.empty());
  CHECK(resting.m_scheduler.Decide(At(3'000)).m_grants.size() == 1);
}

TEST_CASE("Rest: at its end an endpoint gets one request at a time until one is answered")
{
  RestingScheduler resting(false);
  resting.Rest(kFirst, kOne, 500, At(0));
  for (int i = 0; i < kSlots; ++i) {
    CHECK(resting.Request(kOne, At(100)).m_refusals.empty());
  }
  const SlotDecisions first = resting.m_scheduler.Decide(At(500));
  REQUIRE(first.m_grants.size() == 1);
  CHECK(resting.m_scheduler.Decide(At(510)).m_grants.empty());
  resting.m_scheduler.RecordStarted(first.m_grants[0].m_request_id, kFirst.m_id, At(520));
  CHECK(resting.m_scheduler.Decide(At(520)).m_grants.size() == kSlots - 1);
}

TEST_CASE("Rest: a success of an earlier request does not let all that waits through")
{
  RestingScheduler resting(false);
  const SlotDecisions earlier = resting.Request(kOne, At(0));
  resting.Rest(kFirst, kOne, 500, At(10));
  CHECK(resting.Request(kOne, At(100)).m_grants.empty());
  CHECK(resting.Request(kOne, At(100)).m_grants.empty());
  resting.m_scheduler.RecordStarted(earlier.m_grants.at(0).m_request_id, kFirst.m_id, At(110));
  CHECK(resting.m_scheduler.Decide(At(120)).m_grants.empty());
  CHECK(resting.m_scheduler.Decide(At(510)).m_grants.size() == 1);
}

TEST_CASE("Rest: a rest that the next incarnation may have asked for holds for both")
{
  const EndpointIncarnation next{ kFirst.m_id, 2 };
  EndpointRests rests(10);
  rests.Record(kService, kFirst, kOne, Milliseconds(6'000), At(0));
  const TimePoint before = At(-1);
  rests.RecordRegistered(next, before, At(4'001));
  CHECK_FALSE(rests.EndOf(next, kOne, At(4'001)));
  const TimePoint outage_end = At(1);
  rests.RecordRegistered(next, outage_end, At(4'001));
  CHECK(rests.EndOf(next, kOne, At(4'001)) == At(6'000));
  CHECK_FALSE(rests.EndOf(next, kOther, At(4'001)));
  CHECK_FALSE(rests.EndOf({ kSecond.m_id, 2 }, kOne, At(4'001)));
  rests.Record(kService, kSecond, kOther, Milliseconds(2'000), At(5'000));
  rests.RecordRegistered({ kSecond.m_id, 2 }, before, At(6'500));
  CHECK(rests.EndOf({ kSecond.m_id, 2 }, kOther, At(6'999)) == At(7'000));
  rests.RecordRegistered({ kSecond.m_id, 3 }, before, At(7'500));
  CHECK_FALSE(rests.EndOf({ kSecond.m_id, 3 }, kOther, At(7'500)));
}
