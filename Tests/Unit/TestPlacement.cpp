#include <LibPlacement/SlotScheduler.h>

#include <algorithm>
#include <doctest.h>
#include <set>
#include <utility>

using namespace auburnhitch;

namespace {

constexpr TimePoint kStart{};

TimePoint
At(double aMs)
{
  return kStart +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(aMs));
}

SlotEndpointInfo
EndpointOf(const char* aId, int aSlots = 1, const char* aDataCenter = "dc")
{
  return SlotEndpointInfo{ EndpointId(aId), DataCenterName(aDataCenter), aSlots, 1 };
}

SlotRequest
RequestOf(std::uint64_t aNumber, int aPriority = 0, double aNowMs = 0, double aMaxWaitMs = 3'000)
{
  SlotRequest request;
  request.m_request_id = SlotRequestId{ Incarnation("d"), aNumber };
  request.m_priority = aPriority;
  request.m_work = RequestWork{ 480, 50 };
  request.m_arrived_at = At(aNowMs);
  request.m_objective_at = At(aNowMs + 800);
  request.m_abandoned_at = At(aNowMs + aMaxWaitMs);
  request.m_data_center = DataCenterName("dc");
  return request;
}

SlotScheduler
SchedulerOf(const std::vector<SlotEndpointInfo>& aEndpoints)
{
  SlotScheduler scheduler{ SlotSchedulerLimits() };
  scheduler.SetEndpoints(aEndpoints, kStart);
  return scheduler;
}

std::vector<std::uint64_t>
NumbersOf(const SlotDecisions& aDecisions)
{
  std::vector<std::uint64_t> numbers;
  for (const SlotGrant& grant : aDecisions.m_grants) {
    numbers.push_back(grant.m_request_id.m_number);
  }
  return numbers;
}

}

TEST_CASE(
  "An endpoint gets no more requests than its concurrency limit, and a freed slot is granted again")
{
  SlotScheduler scheduler = SchedulerOf({ EndpointOf("a", 2), EndpointOf("b", 1) });
  for (std::uint64_t i = 1; i <= 5; ++i) {
    scheduler.RequestSlot(RequestOf(i), kStart);
  }
  const SlotDecisions first = scheduler.Decide(kStart);
  CHECK(first.m_grants.size() == 3);
  CHECK(first.m_refusals.empty());
  CHECK(scheduler.WaitingCount() == 2);
  const SlotGrant& ended = first.m_grants.front();
  scheduler.RecordStarted(ended.m_request_id, ended.m_endpoint, At(20));
  scheduler.RecordEnded(ended.m_request_id, ended.m_endpoint, SlotOutcome::Complete, At(50));
  const SlotDecisions second = scheduler.Decide(At(50));
  REQUIRE(second.m_grants.size() == 1);
  CHECK(second.m_grants.front().m_endpoint == ended.m_endpoint);
}

TEST_CASE("Slots are granted by priority, and within a priority by the earliest objective")
{
  SlotScheduler scheduler = SchedulerOf({ EndpointOf("a", 3) });
  scheduler.RequestSlot(RequestOf(1, 2), kStart);
  scheduler.RequestSlot(RequestOf(2, 0, 10), kStart);
  scheduler.RequestSlot(RequestOf(3, 0, 5), kStart);
  scheduler.RequestSlot(RequestOf(4, 1), kStart);
  CHECK(NumbersOf(scheduler.Decide(kStart)) == std::vector<std::uint64_t>{ 3, 2, 4 });
}

TEST_CASE("Only the order of priorities matters, not their absolute numbers")
{
  for (const int base : { 0, 16, 160 }) {
    SlotScheduler scheduler = SchedulerOf({ EndpointOf("a", 12) });
    // Requests of the lowest priority wait and none has been served.
    for (std::uint64_t i = 1; i <= 10; ++i) {
      scheduler.RequestSlot(RequestOf(i, base + 2), kStart);
    }
    scheduler.RequestSlot(RequestOf(11, base), kStart);
    scheduler.RequestSlot(RequestOf(12, base + 1), kStart);
    const auto numbers = NumbersOf(scheduler.Decide(kStart));
    REQUIRE(numbers.size() == 12);
    CHECK(numbers.front() == 11);
  }
}

TEST_CASE("Within a priority, requests that can be in time precede those that cannot")
{
  SlotScheduler scheduler = SchedulerOf({ EndpointOf("a", 1) });
  scheduler.RequestSlot(RequestOf(1, 0, -790), kStart);
  scheduler.RequestSlot(RequestOf(2, 0, 0), kStart);
  CHECK(NumbersOf(scheduler.Decide(kStart)) == std::vector<std::uint64_t>{ 2 });
}

TEST_CASE("A request is refused at once if its caller would stop waiting before it is served")
{
  SlotScheduler scheduler = SchedulerOf({ EndpointOf("a", 1) });
  std::size_t refused = 0;
  constexpr std::uint64_t kRequests = 60;
  for (std::uint64_t i = 1; i <= kRequests; ++i) {
    scheduler.RequestSlot(RequestOf(i), kStart);
    const SlotDecisions decisions = scheduler.Decide(kStart);
    refused += decisions.m_refusals.size();
    for (const SlotRefusal& refusal : decisions.m_refusals) {
      CHECK(refusal.m_request_id.m_number == i);
      CHECK(refusal.m_reason == SlotRefusalReason::Overloaded);
      CHECK(refusal.m_retry_after > Milliseconds(1'000));
    }
  }
  // Each request takes about 180 ms, so about 16 fit into the 3 s for which a caller waits.
  CHECK(refused > kRequests / 2);
  CHECK(scheduler.WaitingCount() >= 5);
}

TEST_CASE("A request whose caller is about to leave is refused and not granted afterwards")
{
  SlotScheduler scheduler = SchedulerOf({ EndpointOf("a", 1) });
  scheduler.RequestSlot(RequestOf(1), kStart);
  scheduler.Decide(kStart);
  scheduler.RequestSlot(RequestOf(2), kStart);
  CHECK(scheduler.Decide(kStart).m_refusals.empty());
  const SlotDecisions late = scheduler.Decide(At(2'990));
  REQUIRE(late.m_refusals.size() == 1);
  CHECK(late.m_refusals.front().m_reason == SlotRefusalReason::WaitedTooLong);
  scheduler.RecordEnded(
    SlotRequestId{ Incarnation("d"), 1 }, EndpointId("a"), SlotOutcome::Complete, At(2'991));
  CHECK(scheduler.Decide(At(2'991)).m_grants.empty());
}

TEST_CASE("Without endpoints every request is refused at once")
{
  SlotScheduler scheduler = SchedulerOf({});
  scheduler.RequestSlot(RequestOf(1), kStart);
  const SlotDecisions decisions = scheduler.Decide(kStart);
  REQUIRE(decisions.m_refusals.size() == 1);
  CHECK(decisions.m_refusals.front().m_reason == SlotRefusalReason::NoEndpoint);
}

TEST_CASE("An unreachable endpoint gets no work during its back-off and is tried again afterwards")
{
  SlotScheduler scheduler = SchedulerOf({ EndpointOf("a", 4), EndpointOf("b", 4, "far") });
  scheduler.RequestSlot(RequestOf(1), kStart);
  const SlotGrant first = scheduler.Decide(kStart).m_grants.front();
  CHECK(first.m_endpoint == EndpointId("a"));
  scheduler.RecordEnded(first.m_request_id, first.m_endpoint, SlotOutcome::Unreachable, At(250));
  scheduler.RequestSlot(RequestOf(2, 0, 250), At(250));
  CHECK(scheduler.Decide(At(250)).m_grants.front().m_endpoint == EndpointId("b"));
  for (std::uint64_t i = 3; i <= 8; ++i) {
    scheduler.RequestSlot(RequestOf(i, 0, 1'300), At(1'300));
  }
  const SlotDecisions later = scheduler.Decide(At(1'300));
  CHECK(std::any_of(later.m_grants.begin(), later.m_grants.end(), [](const SlotGrant& aGrant) {
    return aGrant.m_endpoint == EndpointId("a");
  }));
}

TEST_CASE("A daemon that reaches no endpoint makes none of them suspect for other daemons")
{
  constexpr int kEndpoints = 4;
  constexpr int kStepMs = 20;
  constexpr int kSteps = 200;
  std::vector<SlotEndpointInfo> infos;
  for (const char* id : { "a", "b", "c", "e" }) {
    infos.push_back(EndpointOf(id, 2));
  }
  const auto request_of = [](const char* aDaemon, std::uint64_t aNumber, double aNowMs) {
    SlotRequest request = RequestOf(aNumber, 0, aNowMs);
    request.m_request_id.m_daemon = Incarnation(aDaemon);
    return request;
  };
  for (const SlotOutcome outcome : { SlotOutcome::Unreachable, SlotOutcome::Broken }) {
    CAPTURE(NameOf(outcome));
    SlotScheduler scheduler = SchedulerOf(infos);
    std::uint64_t number = 0;
    std::size_t suspect_steps = 0;
    std::vector<SlotGrant> running;
    for (int step = 0; step < kSteps; ++step) {
      const TimePoint now = At(step * kStepMs);
      for (const SlotGrant& grant : std::exchange(running, {})) {
        scheduler.RecordStarted(grant.m_request_id, grant.m_endpoint, now);
        scheduler.RecordEnded(grant.m_request_id, grant.m_endpoint, SlotOutcome::Complete, now);
      }
      scheduler.RequestSlot(request_of("healthy", ++number, step * kStepMs), now);
      scheduler.RequestSlot(request_of("cut-off", ++number, step * kStepMs), now);
      for (const SlotGrant& grant : scheduler.Decide(now).m_grants) {
        if (grant.m_request_id.m_daemon == Incarnation("healthy")) {
          running.push_back(grant);
        } else {
          scheduler.RecordEnded(grant.m_request_id, grant.m_endpoint, outcome, now);
        }
      }
      const auto views = scheduler.View(now);
      suspect_steps += static_cast<std::size_t>(std::count_if(
        views.begin(), views.end(), [](const auto& aView) { return aView.m_is_suspect; }));
    }
    // The first failures of the daemon may be those of the endpoints.
    constexpr std::size_t kFirstBackOffSteps = 500 / kStepMs;
    CHECK(suspect_steps <= kEndpoints * kFirstBackOffSteps);
  }
}

TEST_CASE("A daemon without answers for its requests makes no endpoint suspect for other daemons")
{
  SlotScheduler scheduler = SchedulerOf({ EndpointOf("a", 4), EndpointOf("b", 4) });
  const auto request_of = [](const char* aDaemon, std::uint64_t aNumber, double aNowMs) {
    SlotRequest request = RequestOf(aNumber, 0, aNowMs, 20'000);
    request.m_request_id.m_daemon = Incarnation(aDaemon);
    return request;
  };
  for (std::uint64_t number = 1; number <= 4; ++number) {
    scheduler.RequestSlot(request_of("cut-off", number, 0), At(0));
  }
  REQUIRE(scheduler.Decide(At(0)).m_grants.size() == 4);
  std::uint64_t number = 100;
  std::set<EndpointId> suspects;
  for (int now_ms = 100; now_ms < 4'000; now_ms += 100) {
    scheduler.RequestSlot(request_of("healthy", ++number, now_ms), At(now_ms));
    scheduler.RequestSlot(request_of("healthy", ++number, now_ms), At(now_ms));
    for (const SlotGrant& grant : scheduler.Decide(At(now_ms)).m_grants) {
      scheduler.RecordStarted(grant.m_request_id, grant.m_endpoint, At(now_ms + 50));
      scheduler.RecordEnded(
        grant.m_request_id, grant.m_endpoint, SlotOutcome::Complete, At(now_ms + 60));
    }
    for (const SlotEndpointView& view : scheduler.View(At(now_ms + 90))) {
      if (view.m_is_suspect) {
        suspects.insert(view.m_id);
      }
    }
  }
  CHECK(suspects.empty());
}

TEST_CASE("An endpoint whose first byte is overdue gets no more work while others are available")
{
  SlotScheduler scheduler = SchedulerOf({ EndpointOf("a", 4), EndpointOf("b", 4, "far") });
  scheduler.RequestSlot(RequestOf(1), kStart);
  REQUIRE(scheduler.Decide(kStart).m_grants.front().m_endpoint == EndpointId("a"));
  scheduler.RequestSlot(RequestOf(2, 0, 900), At(900));
  CHECK(scheduler.Decide(At(900)).m_grants.front().m_endpoint == EndpointId("b"));
  scheduler.RecordStarted(SlotRequestId{ Incarnation("d"), 1 }, EndpointId("a"), At(950));
  CHECK_FALSE(scheduler.View(At(950)).front().m_is_suspect);
}

TEST_CASE("A slow endpoint is detected and is used only when the fast ones have no free slot")
{
  SlotScheduler scheduler = SchedulerOf({ EndpointOf("fast", 1), EndpointOf("slow", 1) });
  double now = 0;
  std::uint64_t number = 0;
  for (int round = 0; round < 20; ++round) {
    scheduler.RequestSlot(RequestOf(++number, 0, now), At(now));
    scheduler.RequestSlot(RequestOf(++number, 0, now), At(now));
    const SlotDecisions decisions = scheduler.Decide(At(now));
    for (const SlotGrant& grant : decisions.m_grants) {
      const double factor = grant.m_endpoint == EndpointId("slow") ? 4 : 1;
      scheduler.RecordStarted(grant.m_request_id, grant.m_endpoint, At(now + 30 * factor));
      scheduler.RecordEnded(
        grant.m_request_id, grant.m_endpoint, SlotOutcome::Complete, At(now + 180 * factor));
    }
    now += 1'000;
  }
  scheduler.RequestSlot(RequestOf(++number, 0, now), At(now));
  CHECK(scheduler.Decide(At(now)).m_grants.front().m_endpoint == EndpointId("fast"));
}

TEST_CASE("A stopped daemon holds no slots and has no waiting requests")
{
  SlotScheduler scheduler = SchedulerOf({ EndpointOf("a", 1) });
  scheduler.RequestSlot(RequestOf(1), kStart);
  scheduler.Decide(kStart);
  scheduler.RequestSlot(RequestOf(2), kStart);
  SlotRequest other = RequestOf(3);
  other.m_request_id.m_daemon = Incarnation("other");
  scheduler.RequestSlot(other, kStart);
  scheduler.Decide(kStart);
  scheduler.ForgetDaemon(Incarnation("d"));
  CHECK(NumbersOf(scheduler.Decide(kStart)) == std::vector<std::uint64_t>{ 3 });
}

TEST_CASE("A request that is enqueued again under its id replaces the one that waits")
{
  // A daemon asks again after its link to the coordinator was lost, with the times of then.
  SlotScheduler scheduler = SchedulerOf({ EndpointOf("a") });
  scheduler.RequestSlot(RequestOf(1), At(0));
  REQUIRE(NumbersOf(scheduler.Decide(At(0))) == std::vector<std::uint64_t>{ 1 });
  scheduler.RequestSlot(RequestOf(2), At(0));
  scheduler.Decide(At(0));
  scheduler.RequestSlot(RequestOf(2, 1, 10), At(10));
  CHECK(scheduler.Decide(At(10)).m_refusals.empty());
  CHECK(scheduler.WaitingCount() == 1);
  CHECK(scheduler.Withdraw(SlotRequestId{ Incarnation("d"), 2 }).has_value());
  scheduler.RecordEnded(
    SlotRequestId{ Incarnation("d"), 1 }, EndpointId("a"), SlotOutcome::Complete, At(20));
  CHECK(scheduler.Decide(At(20)).m_grants.empty());
  scheduler.RequestSlot(RequestOf(3, 0, 30), At(30));
  CHECK(NumbersOf(scheduler.Decide(At(30))) == std::vector<std::uint64_t>{ 3 });
}

TEST_CASE("A restarted endpoint has all of its slots free")
{
  SlotScheduler scheduler = SchedulerOf({ EndpointOf("a", 1) });
  scheduler.RequestSlot(RequestOf(1), kStart);
  scheduler.Decide(kStart);
  SlotEndpointInfo restarted = EndpointOf("a", 1);
  restarted.m_started_at_ms = 2;
  scheduler.SetEndpoints({ restarted }, At(10));
  scheduler.RequestSlot(RequestOf(2), At(10));
  CHECK(NumbersOf(scheduler.Decide(At(10))) == std::vector<std::uint64_t>{ 2 });
}
