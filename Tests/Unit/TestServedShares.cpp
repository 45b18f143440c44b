#include <LibPlacement/SlotEndpoint.h>
#include <LibPlacement/SlotQueue.h>

#include <doctest.h>

using namespace auburnhitch;

namespace {

constexpr TimePoint kStart{};
constexpr int kPaying = 0;
constexpr int kTrial = 1;
constexpr int kLastKind = 2;

WaitingSlotRequest
WaitingOf(std::uint64_t aNumber, int aPriority, bool aIsLate)
{
  SlotRequest request;
  request.m_request_id = SlotRequestId{ Incarnation("d"), aNumber };
  request.m_priority = aPriority;
  request.m_objective_at = kStart + Milliseconds(aIsLate ? -10 : 500);
  request.m_abandoned_at = kStart + Milliseconds(3'000);
  return WaitingSlotRequest{ request, 100, 10, 20 };
}

std::vector<std::uint64_t>
OrderOf(SlotQueue aQueue)
{
  std::vector<std::uint64_t> order;
  while (aQueue.Size() > 0) {
    order.push_back(aQueue.PopFront(kStart).m_request.m_request_id.m_number);
  }
  return order;
}

}

// Guards against a floor for each priority, which the kinds of low value of trial work take.
TEST_CASE("Served shares: a kind that other workspaces are served is not starved")
{
  ServedShares shares(ServedShares::Floors::KindsAndWorkspaces);
  ServedShares by_priority(ServedShares::Floors::Priorities);
  for (ServedShares* each : { &shares, &by_priority }) {
    for (int i = 0; i < 20; ++i) {
      for (const int workspace : { kPaying, kTrial }) {
        each->RecordArrived(CombinedPriority(workspace, 0), kStart);
        each->RecordServed(CombinedPriority(workspace, 0), kStart);
        each->RecordArrived(CombinedPriority(workspace, kLastKind), kStart);
      }
      each->RecordServed(CombinedPriority(kPaying, kLastKind), kStart);
    }
  }
  CHECK(by_priority.IsStarved(CombinedPriority(kTrial, kLastKind), kStart));
  CHECK_FALSE(shares.IsStarved(CombinedPriority(kTrial, kLastKind), kStart));
}

// Guards against a kind or a workspace priority that gets nothing while others are served.
TEST_CASE("Served shares: a kind, or all kinds of a workspace priority, without service is starved")
{
  ServedShares shares(ServedShares::Floors::KindsAndWorkspaces);
  for (int i = 0; i < 20; ++i) {
    shares.RecordArrived(CombinedPriority(kPaying, 0), kStart);
    shares.RecordServed(CombinedPriority(kPaying, 0), kStart);
    shares.RecordArrived(CombinedPriority(kPaying, kLastKind), kStart);
  }
  CHECK(shares.IsStarved(CombinedPriority(kPaying, kLastKind), kStart));
  CHECK_FALSE(shares.IsStarved(CombinedPriority(kPaying, 0), kStart));
  for (int i = 0; i < 20; ++i) {
    shares.RecordArrived(CombinedPriority(kTrial, 0), kStart);
  }
  CHECK(shares.IsStarved(CombinedPriority(kTrial, 0), kStart));
}

// Guards against late work of a kind of low value that takes the slots of work which can be in
// time.
TEST_CASE(
  "Late work follows the more urgent kinds of the next workspace priority, not its own kind")
{
  const std::vector<std::pair<int, bool>> waiting{
    { CombinedPriority(kPaying, 0), true },         { CombinedPriority(kPaying, kLastKind), true },
    { CombinedPriority(kTrial, 0), false },         { CombinedPriority(kTrial, 1), false },
    { CombinedPriority(kTrial, kLastKind), false }, { CombinedPriority(kPaying, kLastKind), false },
  };
  SlotQueue by_kind(ServedShares::Floors::KindsAndWorkspaces);
  SlotQueue by_priority(ServedShares::Floors::Priorities);
  for (SlotQueue* queue : { &by_kind, &by_priority }) {
    for (std::size_t i = 0; i < waiting.size(); ++i) {
      queue->PutBack(WaitingOf(i, waiting[i].first, waiting[i].second));
    }
  }
  // A priority has its work in time served first, so late work of the last kind waits for it.
  CHECK(OrderOf(by_kind) == std::vector<std::uint64_t>{ 0, 5, 2, 3, 1, 4 });
  CHECK(OrderOf(by_priority) == std::vector<std::uint64_t>{ 0, 5, 1, 2, 3, 4 });
}

// Guards against an expected wait that counts grants which requests of this priority cannot get.
TEST_CASE(
  "Grant rates: only this priority and lower ones count, with a minimum, once some are known")
{
  GrantRates rates;
  CHECK_FALSE(rates.RateFrom(0, kStart));
  for (int i = 0; i < 60; ++i) {
    rates.Record(0, kStart);
  }
  for (int i = 0; i < 40; ++i) {
    rates.Record(CombinedPriority(kTrial, 0), kStart);
  }
  CHECK(rates.RateFrom(0, kStart) == doctest::Approx(100));
  CHECK(rates.RateFrom(1, kStart) == doctest::Approx(40));
  CHECK(rates.RateFrom(CombinedPriority(kTrial, 1), kStart) == doctest::Approx(10));
  CHECK_FALSE(rates.RateFrom(0, kStart + Milliseconds(10'000)));
}

// Guards against a Retry-After after which the caller is refused again by the same burst.
TEST_CASE("A refused caller returns when the load would have fallen to the capacity")
{
  constexpr double kSlots = 1;
  // The load of arrivals counts over 5 s.
  constexpr std::uint64_t kArrivalsOfFullLoad = 50;
  SlotQueue queue;
  for (std::uint64_t i = 0; i < kArrivalsOfFullLoad; ++i) {
    queue.Push(WaitingOf(i, 0, false), kStart);
  }
  CHECK(queue.OverloadEndsInMs(0, kSlots, kStart) == doctest::Approx(0));
  for (std::uint64_t i = 0; i < kArrivalsOfFullLoad; ++i) {
    queue.Push(WaitingOf(kArrivalsOfFullLoad + i, 0, false), kStart);
  }
  const double ends_in_ms = queue.OverloadEndsInMs(0, kSlots, kStart);
  CHECK(ends_in_ms > 3'000);
  const TimePoint end = kStart + Milliseconds(static_cast<std::int64_t>(ends_in_ms) + 1);
  CHECK(queue.LoadAbove(1, kSlots, end) <= 1);
}

// Guards against slots that stand idle while grants and requests of short work are on their way.
TEST_CASE("An endpoint with short work is granted requests ahead, one with long work is not")
{
  constexpr int kSlots = 6;
  const auto limit_after = [](bool aGrantsAhead, Milliseconds aHeld) {
    SlotEndpoint endpoint(SlotEndpointInfo{ EndpointId("e"), DataCenterName("dc"), kSlots, 1 },
                          kStart);
    endpoint.SetGrantsAhead(aGrantsAhead);
    TimePoint now = kStart;
    for (std::uint64_t i = 0; i < 100; ++i) {
      const SlotRequestId id{ Incarnation("d"), i };
      endpoint.Hold(id, RequestWork(), now);
      now += aHeld;
      endpoint.RecordStarted(id, now);
      endpoint.RecordEnded(id, SlotOutcome::Complete, {}, now);
    }
    return endpoint.ConcurrencyLimit(1, now);
  };
  CHECK(limit_after(true, Milliseconds(25)) == kSlots + 2);
  CHECK(limit_after(false, Milliseconds(25)) == kSlots);
  CHECK(limit_after(true, Milliseconds(500)) == kSlots);
}
