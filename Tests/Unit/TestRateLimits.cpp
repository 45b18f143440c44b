#include <LibBroker/KnownLimits.h>
#include <LibPlacement/EndpointRateLimit.h>
#include <LibPlacement/SlotScheduler.h>

#include <doctest.h>
#include <map>

using namespace auburnhitch;

namespace {

constexpr TimePoint kStart{};
constexpr Milliseconds kStep{ 20 };
const ServiceName kService("s");

TimePoint
At(int aMilliseconds)
{
  return kStart + Milliseconds(aMilliseconds);
}

SlotEndpointInfo
InfoOf(const char* aId, std::optional<RequestRate> aLimit = std::nullopt)
{
  constexpr int kSlots = 4;
  return SlotEndpointInfo{ EndpointId(aId), DataCenterName("dc"), kSlots, 1, SoftwareVersion("v1"),
                           aLimit };
}

SlotRequest
RequestOf(std::uint64_t aNumber, int aPriority, TimePoint aNow)
{
  SlotRequest request;
  request.m_request_id = { Incarnation("d"), aNumber };
  request.m_priority = aPriority;
  request.m_arrived_at = aNow;
  request.m_objective_at = aNow + Milliseconds(800);
  request.m_abandoned_at = aNow + Milliseconds(3'000);
  return request;
}

/// Requests that arrive at a scheduler at a steady rate and hold their slot for 40 ms.
struct SteadyLoad
{
  explicit SteadyLoad(SlotScheduler& aScheduler)
    : m_scheduler(aScheduler)
  {
  }

  void Run(TimePoint aFrom, TimePoint aUntil, int aPerStep, int aPriorities = 1)
  {
    for (TimePoint now = aFrom; now < aUntil; now += kStep) {
      for (const auto& [id, endpoint] : m_previous) {
        m_scheduler.RecordEnded(id, endpoint, SlotOutcome::Complete, now);
      }
      m_previous = std::exchange(m_last, {});
      for (int i = 0; i < aPerStep; ++i) {
        const int priority = static_cast<int>(m_next % static_cast<unsigned>(aPriorities));
        m_priorities[m_next] = priority;
        m_scheduler.RequestSlot(RequestOf(m_next++, priority, now), now);
      }
      const SlotDecisions decisions = m_scheduler.Decide(now);
      for (const SlotGrant& grant : decisions.m_grants) {
        m_last.emplace_back(grant.m_request_id, grant.m_endpoint);
        m_scheduler.RecordStarted(grant.m_request_id, grant.m_endpoint, now);
        m_grants[grant.m_endpoint].push_back(now);
        ++m_granted[m_priorities.at(grant.m_request_id.m_number)];
      }
      for (const SlotRefusal& refusal : decisions.m_refusals) {
        ++m_refused[m_priorities.at(refusal.m_request_id.m_number)];
        m_min_retry_after = std::min(m_min_retry_after, refusal.m_retry_after);
      }
    }
  }

  /// The most grants of an endpoint in any span of four seconds.
  std::size_t MostInWindow(const char* aEndpoint) const
  {
    const auto found = m_grants.find(EndpointId(aEndpoint));
    std::size_t most = 0;
    if (found != m_grants.end()) {
      for (auto first = found->second.begin(); first != found->second.end(); ++first) {
        const auto end = std::lower_bound(first, found->second.end(), *first + Milliseconds(4'000));
        most = std::max(most, static_cast<std::size_t>(end - first));
      }
    }
    return most;
  }

  SlotScheduler& m_scheduler;
  std::uint64_t m_next = 1;
  std::vector<std::pair<SlotRequestId, EndpointId>> m_last;
  std::vector<std::pair<SlotRequestId, EndpointId>> m_previous;
  std::map<EndpointId, std::vector<TimePoint>> m_grants;
  std::map<std::uint64_t, int> m_priorities;
  std::map<int, int> m_granted;
  std::map<int, int> m_refused;
  Milliseconds m_min_retry_after{ 1'000'000 };
};

}

TEST_CASE("A limit ends or rises only by the response to a request sent after it was stated last")
{
  StatedRateLimit limit;
  CHECK_FALSE(limit.Apply(std::nullopt, At(0), At(0)));
  CHECK(limit.Apply(RequestRate{ 2 }, std::nullopt, At(100)));
  CHECK_FALSE(limit.Apply(std::nullopt, At(90), At(110)));
  CHECK_FALSE(limit.Apply(std::nullopt, std::nullopt, At(110)));
  CHECK_FALSE(limit.Apply(RequestRate{ 3 }, At(100), At(110)));
  CHECK(limit.Limit() == RequestRate{ 2 });
  // Stated again.
  CHECK_FALSE(limit.Apply(RequestRate{ 2 }, At(105), At(200)));
  CHECK_FALSE(limit.Apply(std::nullopt, At(150), At(210)));
  CHECK(limit.Apply(RequestRate{ 1 }, std::nullopt, At(220)));
  CHECK(limit.Apply(RequestRate{ 3 }, At(230), At(240)));
  CHECK(limit.Limit() == RequestRate{ 3 });
  CHECK(limit.Apply(std::nullopt, At(250), At(260)));
  CHECK_FALSE(limit.Limit());
}

TEST_CASE("A rate limit permits its rate from the start, without a burst")
{
  for (const double rate : { 0.5, 1.3, 2.0, 40.0 }) {
    CAPTURE(rate);
    EndpointRateLimit limit;
    CHECK(limit.Permits(kStart));
    limit.Apply(RequestRate{ rate }, std::nullopt, kStart);
    CHECK_FALSE(limit.Permits(kStart));
    int sent = 0;
    constexpr int kSeconds = 20;
    for (TimePoint now = kStart; now < At(kSeconds * 1'000); now += kStep) {
      while (limit.Permits(now)) {
        limit.RecordSent(now);
        ++sent;
      }
    }
    CHECK(sent <= rate * kSeconds + 1);
    CHECK(sent >= rate * kSeconds * 0.9 - 1);
  }
}

TEST_CASE(
  "An endpoint that accepts nothing still gets a request that can show the end of its limit")
{
  EndpointRateLimit limit;
  limit.Apply(RequestRate{ 0 }, std::nullopt, kStart);
  CHECK_FALSE(limit.Permits(At(3'000)));
  CHECK(limit.Permits(At(5'000)));
  limit.RecordSent(At(5'000));
  CHECK_FALSE(limit.Permits(At(8'000)));
}

TEST_CASE("A scheduler grants a limited endpoint its rate and the others the rest")
{
  SlotScheduler scheduler{ SlotSchedulerLimits() };
  scheduler.SetEndpoints({ InfoOf("a"), InfoOf("b") }, kStart);
  SteadyLoad load(scheduler);
  load.Run(kStart, At(1'000), 4);
  CHECK(scheduler.RecordStatedLimit({ EndpointId("a"), 1 }, RequestRate{ 2 }, std::nullopt, At(0)));
  load.m_grants.clear();
  load.Run(At(1'000), At(21'000), 4);
  CHECK(load.MostInWindow("a") <= 9);
  CHECK(load.m_grants[EndpointId("a")].size() >= 36);
  CHECK(load.m_grants[EndpointId("b")].size() > 1'000);
}

TEST_CASE("The statement of an earlier incarnation of an endpoint changes nothing")
{
  SlotScheduler scheduler{ SlotSchedulerLimits() };
  scheduler.SetEndpoints({ InfoOf("a") }, kStart);
  CHECK_FALSE(
    scheduler.RecordStatedLimit({ EndpointId("a"), 0 }, RequestRate{ 2 }, std::nullopt, kStart));
  CHECK(scheduler.StatedLimits().empty());
  scheduler.RecordStatedLimit({ EndpointId("a"), 1 }, RequestRate{ 2 }, std::nullopt, kStart);
  SlotEndpointInfo restarted = InfoOf("a");
  restarted.m_started_at_ms = 2;
  scheduler.SetEndpoints({ restarted }, kStart);
  CHECK(scheduler.StatedLimits().empty());
}

TEST_CASE("A limit applies before the registration of the restarted endpoint has been read")
{
  SlotScheduler scheduler{ SlotSchedulerLimits() };
  scheduler.SetEndpoints({ InfoOf("a") }, kStart);
  CHECK(
    scheduler.RecordStatedLimit({ EndpointId("a"), 2 }, RequestRate{ 2 }, std::nullopt, kStart));
  scheduler.RequestSlot(RequestOf(1, 0, kStart), kStart);
  CHECK(scheduler.Decide(kStart).m_grants.empty());
}

TEST_CASE("A slot that another scheduler granted does not prove the end of a limit")
{
  SlotScheduler scheduler{ SlotSchedulerLimits() };
  scheduler.SetEndpoints({ InfoOf("a", RequestRate{ 2 }) }, kStart);
  const SlotRequestId adopted{ Incarnation("d"), 1 };
  scheduler.RecordHeld(adopted, EndpointId("a"), RequestWork(), {}, At(100));
  CHECK_FALSE(scheduler.RecordStatedLimit({ EndpointId("a"), 1 }, std::nullopt, adopted, At(200)));
  scheduler.RequestSlot(RequestOf(2, 0, At(1'000)), At(1'000));
  const SlotDecisions decisions = scheduler.Decide(At(1'000));
  REQUIRE(decisions.m_grants.size() == 1);
  CHECK(scheduler.RecordStatedLimit(
    { EndpointId("a"), 1 }, std::nullopt, decisions.m_grants.front().m_request_id, At(1'100)));
  CHECK(scheduler.StatedLimits().empty());
}

TEST_CASE("A new coordinator starts with the limit that its daemon knows, and without a burst")
{
  SlotScheduler scheduler{ SlotSchedulerLimits() };
  scheduler.SetEndpoints({ InfoOf("a", RequestRate{ 2 }), InfoOf("b") }, kStart);
  SteadyLoad load(scheduler);
  load.Run(kStart, At(400), 4);
  CHECK(load.m_grants[EndpointId("a")].empty());
  load.Run(At(400), At(10'000), 4);
  CHECK(load.MostInWindow("a") <= 9);
}

TEST_CASE("With all endpoints limited, what cannot be in time is refused at once, lowest first")
{
  SlotScheduler scheduler{ SlotSchedulerLimits() };
  scheduler.SetEndpoints({ InfoOf("a", RequestRate{ 5 }), InfoOf("b", RequestRate{ 5 }) }, kStart);
  SteadyLoad load(scheduler);
  // Two priorities, 25 requests a second each, for 10 a second that the endpoints accept.
  load.Run(kStart, At(20'000), 1, 2);
  CHECK(load.MostInWindow("a") <= 21);
  CHECK(load.m_granted[0] > 130);
  CHECK(load.m_granted[0] > 2 * load.m_granted[1]);
  CHECK(load.m_refused[0] + load.m_refused[1] > 700);
  CHECK(scheduler.WaitingCount() < 60);
  CHECK(load.m_min_retry_after > Milliseconds(100));
}

TEST_CASE("A daemon keeps the limits that it knows for the next coordinator")
{
  KnownLimits known;
  const EndpointIncarnation first{ EndpointId("a"), 1 };
  const EndpointIncarnation second{ EndpointId("a"), 2 };
  CHECK_FALSE(known.RecordResponse(kService, first, std::nullopt, At(0), At(10)));
  CHECK(known.RecordResponse(kService, first, RequestRate{ 2 }, At(0), At(20)));
  // The coordinator orders the statements itself, so it needs each of them.
  CHECK(known.RecordResponse(kService, first, RequestRate{ 2 }, At(0), At(30)));
  CHECK(known.LimitsOf(kService) == std::vector{ StatedLimit{ first, RequestRate{ 2 } } });
  // A report may be older than the response.
  known.RecordReport(kService, first, std::nullopt, At(40));
  CHECK(known.LimitOf(first) == RequestRate{ 2 });
  known.RecordReport(kService, first, RequestRate{ 1 }, At(50));
  CHECK(known.LimitOf(first) == RequestRate{ 1 });
  known.RecordReport(kService, first, std::nullopt, At(2'000));
  CHECK_FALSE(known.LimitOf(first));
  known.RecordReport(kService, second, RequestRate{ 3 }, At(2'000));
  known.RecordReport(kService, first, RequestRate{ 1 }, At(2'000));
  CHECK(known.LimitOf(second) == RequestRate{ 3 });
  CHECK_FALSE(known.LimitOf(first));
  known.Retain({});
  CHECK(known.LimitsOf(kService).empty());
}
