#include <LibPlacement/PlaceScheduler.h>

#include <algorithm>
#include <doctest.h>

using namespace auburnhitch;

namespace {

constexpr TimePoint kStart{};

TimePoint
At(double aMs)
{
  return kStart +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(aMs));
}

PlaceEndpointInfo
EndpointOf(const char* aId, int aPlaces = 1, const char* aDataCenter = "dc")
{
  return PlaceEndpointInfo{ EndpointId(aId), DataCenterName(aDataCenter), aPlaces, 1 };
}

PlaceRequest
RequestOf(std::uint64_t aNumber, int aPriority = 0, double aNowMs = 0, double aPatienceMs = 3'000)
{
  PlaceRequest request;
  request.m_ticket = PlaceTicket{ Incarnation("d"), aNumber };
  request.m_priority = aPriority;
  request.m_work = PlaceWork{ 480, 50 };
  request.m_arrived_at = At(aNowMs);
  request.m_objective_at = At(aNowMs + 800);
  request.m_abandoned_at = At(aNowMs + aPatienceMs);
  request.m_data_center = DataCenterName("dc");
  return request;
}

PlaceScheduler
SchedulerOf(const std::vector<PlaceEndpointInfo>& aEndpoints)
{
  PlaceScheduler scheduler{ PlaceSchedulerLimits() };
  scheduler.SetEndpoints(aEndpoints, kStart);
  return scheduler;
}

std::vector<std::uint64_t>
NumbersOf(const PlaceDecisions& aDecisions)
{
  std::vector<std::uint64_t> numbers;
  for (const PlaceGrant& grant : aDecisions.m_grants) {
    numbers.push_back(grant.m_ticket.m_number);
  }
  return numbers;
}

}

TEST_CASE("No endpoint gets more than its places, and a freed one goes to the next")
{
  PlaceScheduler scheduler = SchedulerOf({ EndpointOf("a", 2), EndpointOf("b", 1) });
  for (std::uint64_t i = 1; i <= 5; ++i) {
    scheduler.Ask(RequestOf(i), kStart);
  }
  const PlaceDecisions first = scheduler.Decide(kStart);
  CHECK(first.m_grants.size() == 3);
  CHECK(first.m_refusals.empty());
  CHECK(scheduler.WaitingCount() == 2);
  const PlaceGrant& ended = first.m_grants.front();
  scheduler.NoteStarted(ended.m_ticket, ended.m_endpoint, At(20));
  scheduler.NoteEnded(ended.m_ticket, ended.m_endpoint, PlaceEnd::Complete, At(50));
  const PlaceDecisions second = scheduler.Decide(At(50));
  REQUIRE(second.m_grants.size() == 1);
  CHECK(second.m_grants.front().m_endpoint == ended.m_endpoint);
}

TEST_CASE("Higher priorities go first, and within one the earliest objective")
{
  PlaceScheduler scheduler = SchedulerOf({ EndpointOf("a", 3) });
  scheduler.Ask(RequestOf(1, 2), kStart);
  scheduler.Ask(RequestOf(2, 0, 10), kStart);
  scheduler.Ask(RequestOf(3, 0, 5), kStart);
  scheduler.Ask(RequestOf(4, 1), kStart);
  CHECK(NumbersOf(scheduler.Decide(kStart)) == std::vector<std::uint64_t>{ 3, 2, 4 });
}

TEST_CASE("Priorities count against each other, whatever their numbers")
{
  for (const int base : { 0, 16, 160 }) {
    PlaceScheduler scheduler = SchedulerOf({ EndpointOf("a", 12) });
    // Some of the lowest have waited for long and none was served.
    for (std::uint64_t i = 1; i <= 10; ++i) {
      scheduler.Ask(RequestOf(i, base + 2), kStart);
    }
    scheduler.Ask(RequestOf(11, base), kStart);
    scheduler.Ask(RequestOf(12, base + 1), kStart);
    const auto numbers = NumbersOf(scheduler.Decide(kStart));
    REQUIRE(numbers.size() == 12);
    CHECK(numbers.front() == 11);
  }
}

TEST_CASE("What can no longer be in time goes behind what can, within its priority")
{
  PlaceScheduler scheduler = SchedulerOf({ EndpointOf("a", 1) });
  scheduler.Ask(RequestOf(1, 0, -790), kStart);
  scheduler.Ask(RequestOf(2, 0, 0), kStart);
  CHECK(NumbersOf(scheduler.Decide(kStart)) == std::vector<std::uint64_t>{ 2 });
}

TEST_CASE("A request that would wait for longer than its caller is refused at once")
{
  PlaceScheduler scheduler = SchedulerOf({ EndpointOf("a", 1) });
  std::size_t refused = 0;
  constexpr std::uint64_t kRequests = 60;
  for (std::uint64_t i = 1; i <= kRequests; ++i) {
    scheduler.Ask(RequestOf(i), kStart);
    const PlaceDecisions decisions = scheduler.Decide(kStart);
    refused += decisions.m_refusals.size();
    for (const PlaceRefusal& refusal : decisions.m_refusals) {
      CHECK(refusal.m_ticket.m_number == i);
      CHECK(refusal.m_reason == PlaceRefusalReason::Overloaded);
      CHECK(refusal.m_retry_after > Milliseconds(1'000));
    }
  }
  // Each takes about 180 ms, so that some 16 fit into the 3 s for which a caller waits.
  CHECK(refused > kRequests / 2);
  CHECK(scheduler.WaitingCount() >= 5);
}

TEST_CASE("A request whose caller is about to go is refused, and never granted after that")
{
  PlaceScheduler scheduler = SchedulerOf({ EndpointOf("a", 1) });
  scheduler.Ask(RequestOf(1), kStart);
  scheduler.Decide(kStart);
  scheduler.Ask(RequestOf(2), kStart);
  CHECK(scheduler.Decide(kStart).m_refusals.empty());
  const PlaceDecisions late = scheduler.Decide(At(2'990));
  REQUIRE(late.m_refusals.size() == 1);
  CHECK(late.m_refusals.front().m_reason == PlaceRefusalReason::WaitedTooLong);
  scheduler.NoteEnded(
    PlaceTicket{ Incarnation("d"), 1 }, EndpointId("a"), PlaceEnd::Complete, At(2'991));
  CHECK(scheduler.Decide(At(2'991)).m_grants.empty());
}

TEST_CASE("Without endpoints every request is refused at once")
{
  PlaceScheduler scheduler = SchedulerOf({});
  scheduler.Ask(RequestOf(1), kStart);
  const PlaceDecisions decisions = scheduler.Decide(kStart);
  REQUIRE(decisions.m_refusals.size() == 1);
  CHECK(decisions.m_refusals.front().m_reason == PlaceRefusalReason::NoEndpoint);
}

TEST_CASE("An endpoint that cannot be reached is passed over, then tried again")
{
  PlaceScheduler scheduler = SchedulerOf({ EndpointOf("a", 4), EndpointOf("b", 4, "far") });
  scheduler.Ask(RequestOf(1), kStart);
  const PlaceGrant first = scheduler.Decide(kStart).m_grants.front();
  CHECK(first.m_endpoint == EndpointId("a"));
  scheduler.NoteEnded(first.m_ticket, first.m_endpoint, PlaceEnd::Unreachable, At(250));
  scheduler.Ask(RequestOf(2, 0, 250), At(250));
  CHECK(scheduler.Decide(At(250)).m_grants.front().m_endpoint == EndpointId("b"));
  for (std::uint64_t i = 3; i <= 8; ++i) {
    scheduler.Ask(RequestOf(i, 0, 1'300), At(1'300));
  }
  const PlaceDecisions later = scheduler.Decide(At(1'300));
  CHECK(std::any_of(later.m_grants.begin(), later.m_grants.end(), [](const PlaceGrant& aGrant) {
    return aGrant.m_endpoint == EndpointId("a");
  }));
}

TEST_CASE("An endpoint that gives no sign of an answer gets no more work while others do")
{
  PlaceScheduler scheduler = SchedulerOf({ EndpointOf("a", 4), EndpointOf("b", 4, "far") });
  scheduler.Ask(RequestOf(1), kStart);
  REQUIRE(scheduler.Decide(kStart).m_grants.front().m_endpoint == EndpointId("a"));
  scheduler.Ask(RequestOf(2, 0, 900), At(900));
  CHECK(scheduler.Decide(At(900)).m_grants.front().m_endpoint == EndpointId("b"));
  scheduler.NoteStarted(PlaceTicket{ Incarnation("d"), 1 }, EndpointId("a"), At(950));
  CHECK_FALSE(scheduler.View(At(950)).front().m_is_suspect);
}

TEST_CASE("A slow endpoint is learned and gets what the fast ones have no place for")
{
  PlaceScheduler scheduler = SchedulerOf({ EndpointOf("fast", 1), EndpointOf("slow", 1) });
  double now = 0;
  std::uint64_t number = 0;
  for (int round = 0; round < 20; ++round) {
    scheduler.Ask(RequestOf(++number, 0, now), At(now));
    scheduler.Ask(RequestOf(++number, 0, now), At(now));
    const PlaceDecisions decisions = scheduler.Decide(At(now));
    for (const PlaceGrant& grant : decisions.m_grants) {
      const double factor = grant.m_endpoint == EndpointId("slow") ? 4 : 1;
      scheduler.NoteStarted(grant.m_ticket, grant.m_endpoint, At(now + 30 * factor));
      scheduler.NoteEnded(
        grant.m_ticket, grant.m_endpoint, PlaceEnd::Complete, At(now + 180 * factor));
    }
    now += 1'000;
  }
  scheduler.Ask(RequestOf(++number, 0, now), At(now));
  CHECK(scheduler.Decide(At(now)).m_grants.front().m_endpoint == EndpointId("fast"));
}

TEST_CASE("A daemon that is gone holds no place and waits for none")
{
  PlaceScheduler scheduler = SchedulerOf({ EndpointOf("a", 1) });
  scheduler.Ask(RequestOf(1), kStart);
  scheduler.Decide(kStart);
  scheduler.Ask(RequestOf(2), kStart);
  PlaceRequest other = RequestOf(3);
  other.m_ticket.m_daemon = Incarnation("other");
  scheduler.Ask(other, kStart);
  scheduler.Decide(kStart);
  scheduler.ForgetDaemon(Incarnation("d"));
  CHECK(NumbersOf(scheduler.Decide(kStart)) == std::vector<std::uint64_t>{ 3 });
}

TEST_CASE("An endpoint that starts anew is not taken for its earlier life")
{
  PlaceScheduler scheduler = SchedulerOf({ EndpointOf("a", 1) });
  scheduler.Ask(RequestOf(1), kStart);
  scheduler.Decide(kStart);
  PlaceEndpointInfo reborn = EndpointOf("a", 1);
  reborn.m_started_at_ms = 2;
  scheduler.SetEndpoints({ reborn }, At(10));
  scheduler.Ask(RequestOf(2), At(10));
  CHECK(NumbersOf(scheduler.Decide(At(10))) == std::vector<std::uint64_t>{ 2 });
}
