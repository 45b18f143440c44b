#include <LibScheduling/ServiceScheduler.h>

#include <algorithm>
#include <doctest.h>

using namespace auburnhitch;

namespace {

constexpr TimePoint kStart{};

SchedulerContext
AllUsable()
{
  SchedulerContext context;
  context.m_may_use = [](const Endpoint&) { return true; };
  return context;
}

Endpoint
EndpointOf(const char* aHost, std::int64_t aWindow)
{
  Endpoint endpoint;
  endpoint.m_host = HostName(aHost);
  endpoint.m_concurrency_limit = aWindow;
  return endpoint;
}

WaitingRequest
RequestOf(const std::string& aSuffix, std::size_t aTier, WorkUnits aWork, int aDeadlineMs)
{
  WaitingRequest request;
  request.m_key =
    RequestKey{ WorkspaceName("m"), RequestIdentity{ Permit{ Incarnation("i"), 0 }, aSuffix } };
  request.m_tier = aTier;
  request.m_is_sheddable = aTier > 0;
  request.m_work = aWork;
  request.m_deadline = kStart + Milliseconds(aDeadlineMs);
  return request;
}

ServiceScheduler
SchedulerWith(std::int64_t aWindow)
{
  ServiceScheduler scheduler{ SchedulerLimits{} };
  scheduler.UpdateEndpoints({ EndpointOf("e-1", aWindow) });
  return scheduler;
}

}

TEST_CASE("Without a usable endpoint a request is rejected at once")
{
  ServiceScheduler scheduler = SchedulerWith(1);
  SchedulerContext none;
  none.m_may_use = [](const Endpoint&) { return false; };
  const auto rejected = scheduler.Admit(RequestOf("a", 0, 1, 100), none, kStart);
  REQUIRE(rejected.size() == 1);
  CHECK(rejected[0].m_reason == RejectionReason::NoEndpoint);
  CHECK(rejected[0].m_retry_after > Milliseconds(0));
}

TEST_CASE("Daemons share the concurrency limit of an endpoint and do not exceed it")
{
  ServiceScheduler scheduler = SchedulerWith(6);
  scheduler.SetDaemons({ HostName("d-1"), HostName("d-2"), HostName("d-3") }, HostName("d-2"));
  for (const char* suffix : { "a", "b", "c" }) {
    CHECK(scheduler.Admit(RequestOf(suffix, 0, 1, 1'000), AllUsable(), kStart).empty());
  }
  CHECK(scheduler.Next(AllUsable(), kStart));
  CHECK(scheduler.Next(AllUsable(), kStart));
  CHECK_FALSE(scheduler.Next(AllUsable(), kStart));
  scheduler.RecordEnded(HostName("e-1"), RequestOf("a", 0, 1, 1'000).m_key, Milliseconds(1));
  CHECK(scheduler.Next(AllUsable(), kStart));
}

TEST_CASE("The slots of all daemons add up to the concurrency limit, for every number of daemons")
{
  for (const std::size_t daemons : { 1, 2, 5, 6, 16 }) {
    CAPTURE(daemons);
    std::vector<HostName> names;
    for (std::size_t index = 0; index < daemons; ++index) {
      names.emplace_back("d-" + std::to_string(index));
    }
    std::size_t started = 0;
    for (const HostName& own : names) {
      ServiceScheduler scheduler{ SchedulerLimits{} };
      scheduler.UpdateEndpoints({ EndpointOf("e-1", 16) });
      scheduler.SetDaemons(names, own);
      for (int index = 0; index < 20; ++index) {
        scheduler.Admit(RequestOf(std::to_string(index), 0, 1, 1'000'000), AllUsable(), kStart);
      }
      while (scheduler.Next(AllUsable(), kStart)) {
        ++started;
      }
    }
    CHECK(started == 16);
  }
}

TEST_CASE("Lower tiers leave a share of the slots to higher ones")
{
  ServiceScheduler scheduler = SchedulerWith(10);
  for (int index = 0; index < 10; ++index) {
    scheduler.Admit(
      RequestOf("night" + std::to_string(index), 2, 1, 1'000'000), AllUsable(), kStart);
  }
  int started = 0;
  while (scheduler.Next(AllUsable(), kStart)) {
    ++started;
  }
  CHECK(started > 0);
  CHECK(started <= 6);
  CHECK(scheduler.Admit(RequestOf("top", 0, 1, 1'000'000), AllUsable(), kStart).empty());
  CHECK(scheduler.Next(AllUsable(), kStart)->m_request.m_tier == 0);
}

TEST_CASE("A request that cannot meet its deadline is rejected at once, after lower work is shed")
{
  ServiceScheduler scheduler = SchedulerWith(1);
  CHECK(scheduler.Admit(RequestOf("running", 0, 500, 10'000), AllUsable(), kStart).empty());
  CHECK(scheduler.Next(AllUsable(), kStart));
  CHECK(scheduler.Admit(RequestOf("night", 1, 500, 100'000), AllUsable(), kStart).empty());
  const auto rejected = scheduler.Admit(RequestOf("tight", 0, 10, 100), AllUsable(), kStart);
  REQUIRE(rejected.size() == 2);
  CHECK(rejected[0].m_reason == RejectionReason::Shed);
  CHECK(rejected[0].m_request.m_key.m_identity.m_suffix == "night");
  CHECK(rejected[1].m_reason == RejectionReason::DeadlineUnreachable);
  CHECK(rejected[1].m_retry_after >= Milliseconds(500));
}

TEST_CASE("A full queue sheds lower work to admit higher work")
{
  SchedulerLimits limits;
  limits.m_max_waiting = 1;
  ServiceScheduler scheduler(limits);
  scheduler.UpdateEndpoints({ EndpointOf("e-1", 1) });
  CHECK(scheduler.Admit(RequestOf("night", 1, 1, 100'000), AllUsable(), kStart).empty());
  auto rejected = scheduler.Admit(RequestOf("counter", 0, 1, 100'000), AllUsable(), kStart);
  REQUIRE(rejected.size() == 1);
  CHECK(rejected[0].m_reason == RejectionReason::Shed);
  rejected = scheduler.Admit(RequestOf("more", 0, 1, 100'000), AllUsable(), kStart);
  REQUIRE(rejected.size() == 1);
  CHECK(rejected[0].m_reason == RejectionReason::Overloaded);
}

TEST_CASE("Lower work does not start while a peer has higher work waiting")
{
  ServiceScheduler scheduler = SchedulerWith(4);
  CHECK(scheduler.Admit(RequestOf("night", 1, 1, 1'000), AllUsable(), kStart).empty());
  SchedulerContext with_waiting_peer = AllUsable();
  with_waiting_peer.m_tier_waiting_at_peers = 0;
  CHECK_FALSE(scheduler.Next(with_waiting_peer, kStart));
  with_waiting_peer.m_tier_waiting_at_peers = 1;
  CHECK(scheduler.Next(with_waiting_peer, kStart));
}

TEST_CASE("An unsent request goes to another endpoint, or waits for the end of the back-off")
{
  ServiceScheduler scheduler = SchedulerWith(4);
  CHECK(scheduler.Admit(RequestOf("a", 0, 1, 10'000), AllUsable(), kStart).empty());
  const auto started = scheduler.Next(AllUsable(), kStart);
  REQUIRE(started);
  scheduler.ReturnUnsent(*started, kStart);
  CHECK_FALSE(scheduler.Next(AllUsable(), kStart));
  scheduler.UpdateEndpoints({ EndpointOf("e-1", 4), EndpointOf("e-2", 4) });
  CHECK(scheduler.Next(AllUsable(), kStart)->m_choice.m_endpoint.m_host.Value() == "e-2");
}

TEST_CASE("Work whose deadline passes in the queue is rejected, and lower work is shed")
{
  ServiceScheduler scheduler = SchedulerWith(1);
  CHECK(scheduler.Admit(RequestOf("a", 0, 1, 100), AllUsable(), kStart).empty());
  CHECK(scheduler.Admit(RequestOf("night", 1, 1, 100'000), AllUsable(), kStart).empty());
  CHECK(scheduler.TakeOverdue(AllUsable(), kStart).empty());
  const auto rejected = scheduler.TakeOverdue(AllUsable(), kStart + Milliseconds(100));
  REQUIRE(rejected.size() == 2);
  CHECK(rejected[0].m_reason == RejectionReason::Shed);
  CHECK(rejected[1].m_reason == RejectionReason::DeadlinePassed);
}

TEST_CASE("Waiting requests are rejected when the last endpoint is removed")
{
  ServiceScheduler scheduler = SchedulerWith(1);
  CHECK(scheduler.Admit(RequestOf("a", 0, 1, 100'000), AllUsable(), kStart).empty());
  SchedulerContext none;
  none.m_may_use = [](const Endpoint&) { return false; };
  const auto rejected = scheduler.TakeOverdue(none, kStart);
  REQUIRE(rejected.size() == 1);
  CHECK(rejected[0].m_reason == RejectionReason::NoEndpoint);
  CHECK(scheduler.WaitingCount() == 0);
}

TEST_CASE("A slow endpoint is detected and gets less work")
{
  ServiceScheduler scheduler{ SchedulerLimits{} };
  scheduler.UpdateEndpoints({ EndpointOf("slow", 100), EndpointOf("swift", 100) });
  int to_slow = 0;
  for (int index = 0; index < 200; ++index) {
    scheduler.Admit(RequestOf(std::to_string(index), 0, 10, 1'000'000), AllUsable(), kStart);
    const auto started = scheduler.Next(AllUsable(), kStart);
    REQUIRE(started);
    const bool is_slow = started->m_choice.m_endpoint.m_host.Value() == "slow";
    to_slow += index >= 100 && is_slow ? 1 : 0;
    scheduler.RecordEnded(started->m_choice.m_endpoint.m_host,
                          started->m_request.m_key,
                          Milliseconds(is_slow ? 100 : 10));
  }
  CHECK(to_slow < 10);
}

TEST_CASE("Rest: an endpoint gets no work until its latest rest ends")
{
  ServiceScheduler scheduler = SchedulerWith(2);
  const HostName host("e-1");
  scheduler.RecordRest(host, kStart + Milliseconds(2'000));
  scheduler.RecordRest(host, kStart + Milliseconds(100));
  // A request that can wait for the end waits, another one is rejected until then.
  CHECK(scheduler.Admit(RequestOf("a", 0, 1, 5'000), AllUsable(), kStart).empty());
  CHECK_FALSE(scheduler.Next(AllUsable(), kStart + Milliseconds(1'999)));
  const auto rejected = scheduler.Admit(RequestOf("c", 0, 1, 1'900), AllUsable(), kStart);
  REQUIRE(rejected.size() == 1);
  CHECK(rejected[0].m_reason == RejectionReason::NoEndpoint);
  CHECK(rejected[0].m_retry_after == Milliseconds(2'000));
  const TimePoint end = kStart + Milliseconds(2'000);
  const auto started = scheduler.Next(AllUsable(), end);
  REQUIRE(started);
  scheduler.RecordRest(host, end + Milliseconds(2'000));
  scheduler.ReturnUnsent(*started, end);
  CHECK_FALSE(scheduler.Next(AllUsable(), end + Milliseconds(1'999)));
  CHECK(scheduler.Next(AllUsable(), end + Milliseconds(2'000)));
}

TEST_CASE("Rest: requests that wait are rejected at once if they cannot wait for its end")
{
  ServiceScheduler scheduler = SchedulerWith(1);
  CHECK(scheduler.Admit(RequestOf("a", 0, 1, 1'000), AllUsable(), kStart).empty());
  CHECK(scheduler.Admit(RequestOf("b", 0, 1, 5'000), AllUsable(), kStart).empty());
  scheduler.RecordRest(HostName("e-1"), kStart + Milliseconds(2'000));
  const auto rejected = scheduler.TakeOverdue(AllUsable(), kStart);
  REQUIRE(rejected.size() == 1);
  CHECK(rejected[0].m_reason == RejectionReason::NoEndpoint);
  CHECK(scheduler.WaitingCount() == 1);
}
