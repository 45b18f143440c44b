#include <LibBroker/NoticeExchange.h>
#include <LibBroker/RateShare.h>

#include <doctest.h>

using namespace auburnhitch;

namespace {

const ServiceName kService("s");
const Incarnation kDaemon("d");
const EndpointIncarnation kEndpoint{ EndpointId("e"), 1 };

TimePoint
At(int aMilliseconds)
{
  return TimePoint() + Milliseconds(aMilliseconds);
}

EndpointNotice
Stating(std::optional<double> aPerSecond)
{
  EndpointNotice notice;
  if (aPerSecond) {
    notice.m_limit = RequestRate{ *aPerSecond };
  }
  return notice;
}

std::optional<EndpointNoticeMessage>
Only(const std::vector<EndpointNoticeMessage>& aNotices)
{
  REQUIRE(aNotices.size() <= 1);
  return aNotices.empty() ? std::nullopt : std::optional(aNotices.front());
}

/// The exchange of one daemon, with the notices that it sends to all others.
struct ExchangingDaemon
{
  ExchangingDaemon()
    : m_quotas(QuotaTolerance())
    , m_coordinator(
        SlotSchedulerLimits(),
        m_quotas,
        [this](const ServiceName&) {
          std::vector<SlotEndpointInfo> usable = Registered();
          std::erase_if(usable, [this](const SlotEndpointInfo& aInfo) {
            return m_exchange.IsLeaving({ aInfo.m_id, aInfo.m_started_at_ms });
          });
          return usable;
        },
        [this](const ServiceName&, const SlotDecisions& aDecisions) {
          m_grants.insert(m_grants.end(), aDecisions.m_grants.begin(), aDecisions.m_grants.end());
          m_refusals += aDecisions.m_refusals.size();
        })
    , m_exchange(
        kDaemon,
        m_coordinator,
        [this](const EndpointNoticeMessage& aNotice) { m_informed.push_back(aNotice); },
        [this](const EndpointIncarnation& aEndpoint) { m_left.push_back(aEndpoint); })
  {
  }

  std::vector<SlotEndpointInfo> Registered() const
  {
    return { SlotEndpointInfo{ kEndpoint.m_id,
                               DataCenterName("dc"),
                               4,
                               m_registered_start,
                               SoftwareVersion("v1"),
                               m_exchange.KnownLimitOf(kEndpoint) } };
  }

  void Request(TimePoint aNow)
  {
    SlotRequest request;
    request.m_request_id = { kDaemon, ++m_last_number };
    request.m_objective_at = aNow + Milliseconds(800);
    request.m_abandoned_at = aNow + Milliseconds(3'000);
    m_coordinator.RequestSlot(kService, request, aNow);
    m_coordinator.Decide(kService, aNow);
  }

  /// Grants a slot to a request and returns its number.
  std::uint64_t Grant(TimePoint aNow)
  {
    Request(aNow);
    REQUIRE(m_grants.back().m_request_id.m_number == m_last_number);
    return m_last_number;
  }

  QuotaLedger m_quotas;
  SlotCoordinator m_coordinator;
  NoticeExchange m_exchange;
  std::vector<SlotGrant> m_grants;
  std::size_t m_refusals = 0;
  std::vector<EndpointNoticeMessage> m_informed;
  std::vector<EndpointIncarnation> m_left;
  std::int64_t m_registered_start = kEndpoint.m_started_at_ms;
  std::uint64_t m_last_number = 0;
};

EndpointNotice
Leaving()
{
  EndpointNotice notice;
  notice.m_is_leaving = true;
  return notice;
}

}

TEST_CASE("Limits: the coordinator informs all daemons of each change, and of nothing else")
{
  ExchangingDaemon daemon;
  ExchangingDaemon coordinator;
  auto report = Only(daemon.m_exchange.RecordResponse(
    kService, coordinator.Grant(At(0)), kEndpoint, Stating(2), At(0), At(10)));
  REQUIRE(report);
  CHECK_FALSE(coordinator.m_exchange.OnReport(kDaemon, *report, At(20)));
  REQUIRE(coordinator.m_informed.size() == 1);
  CHECK(coordinator.m_informed[0].m_limit == RequestRate{ 2 });
  CHECK(coordinator.m_informed[0].m_number == 0);
  CHECK_FALSE(coordinator.m_exchange.OnReport(kDaemon, *report, At(30)));
  CHECK(coordinator.m_informed.size() == 1);
  // The response to a request that was granted after the last statement.
  report = Only(daemon.m_exchange.RecordResponse(kService,
                                                 coordinator.Grant(At(2'000)),
                                                 kEndpoint,
                                                 Stating(std::nullopt),
                                                 At(2'000),
                                                 At(2'010)));
  REQUIRE(report);
  CHECK_FALSE(coordinator.m_exchange.OnReport(kDaemon, *report, At(2'020)));
  REQUIRE(coordinator.m_informed.size() == 2);
  CHECK_FALSE(coordinator.m_informed[1].m_limit);
  CHECK_FALSE(coordinator.m_exchange.KnownLimitOf(kEndpoint));
}

TEST_CASE("Limits: a daemon that is informed reports them to the next coordinator")
{
  ExchangingDaemon coordinator;
  ExchangingDaemon other;
  ExchangingDaemon next;
  const EndpointNoticeMessage report{ kService, 0, kEndpoint.m_id, 1, RequestRate{ 2 } };
  coordinator.m_exchange.OnReport(kDaemon, report, At(0));
  CHECK(coordinator.m_exchange.NoticesForDaemon() == coordinator.m_informed);
  other.m_exchange.OnInformed(coordinator.m_informed.at(0), At(10));
  CHECK(other.m_informed.empty());
  const auto notices = other.m_exchange.NoticesForCoordinator(kService, At(50));
  REQUIRE(notices.size() == 1);
  next.m_exchange.OnReport(kDaemon, notices[0], At(20));
  CHECK(next.m_coordinator.StatedLimitOf(kService, kEndpoint) == RequestRate{ 2 });
}

TEST_CASE("Limits: a daemon that does not know of one is corrected when it reports none")
{
  ExchangingDaemon coordinator;
  const std::uint64_t early = coordinator.Grant(At(0));
  coordinator.m_exchange.OnReport(
    kDaemon, { kService, 0, kEndpoint.m_id, 1, RequestRate{ 2 } }, At(10));
  const auto correction = coordinator.m_exchange.OnReport(
    kDaemon, { kService, early, kEndpoint.m_id, 1, std::nullopt }, At(20));
  REQUIRE(correction);
  CHECK(correction->m_limit == RequestRate{ 2 });
  CHECK(coordinator.m_coordinator.StatedLimitOf(kService, kEndpoint) == RequestRate{ 2 });
}

TEST_CASE("Limits: a malformed statement changes nothing, and unusable endpoints are dropped")
{
  ExchangingDaemon daemon;
  CHECK_FALSE(Only(daemon.m_exchange.RecordResponse(
    kService, 1, kEndpoint, EndpointNotice{ std::nullopt, true }, At(0), At(10))));
  Only(daemon.m_exchange.RecordResponse(kService, 1, kEndpoint, Stating(2), At(0), At(10)));
  CHECK(daemon.m_exchange.KnownLimitOf(kEndpoint));
  daemon.m_exchange.RetainEndpoints(
    [](const ServiceName&) { return std::vector<SlotEndpointInfo>(); }, At(20));
  CHECK_FALSE(daemon.m_exchange.KnownLimitOf(kEndpoint));
}

TEST_CASE("Leaving: a daemon's report withdraws the endpoint's slots and informs all daemons once")
{
  ExchangingDaemon daemon;
  ExchangingDaemon coordinator;
  coordinator.Grant(At(0));
  const auto report =
    Only(daemon.m_exchange.RecordResponse(kService, 7, kEndpoint, Leaving(), At(0), At(10)));
  REQUIRE(report);
  CHECK(daemon.m_exchange.IsLeaving(kEndpoint));
  CHECK(daemon.m_left == std::vector{ kEndpoint });
  CHECK_FALSE(
    Only(daemon.m_exchange.RecordResponse(kService, 8, kEndpoint, Leaving(), At(0), At(11)))
      .has_value());
  coordinator.m_exchange.OnReport(kDaemon, *report, At(20));
  REQUIRE(coordinator.m_informed.size() == 1);
  CHECK(coordinator.m_informed[0].m_is_leaving);
  const std::size_t granted = coordinator.m_grants.size();
  coordinator.Request(At(30));
  CHECK(coordinator.m_grants.size() == granted);
  CHECK(coordinator.m_refusals == 1);
  // Relays of other daemons, as a new coordinator gets them.
  for (const EndpointNoticeMessage& notice :
       daemon.m_exchange.NoticesForCoordinator(kService, At(50))) {
    coordinator.m_exchange.OnReport(kDaemon, notice, At(40));
  }
  CHECK(coordinator.m_informed.size() == 1);
}

TEST_CASE("Leaving: a coordinator that hears it itself informs all daemons")
{
  ExchangingDaemon coordinator;
  const auto report =
    Only(coordinator.m_exchange.RecordResponse(kService, 7, kEndpoint, Leaving(), At(0), At(10)));
  REQUIRE(report);
  coordinator.m_exchange.OnReport(kDaemon, *report, At(10));
  CHECK(coordinator.m_informed.size() == 1);
  CHECK(coordinator.m_exchange.NoticesForDaemon() == coordinator.m_informed);
}

TEST_CASE("Leaving: a coordinator that starts later learns it from the daemons that it informed")
{
  ExchangingDaemon coordinator;
  ExchangingDaemon other;
  ExchangingDaemon next;
  const auto report =
    Only(coordinator.m_exchange.RecordResponse(kService, 7, kEndpoint, Leaving(), At(0), At(10)));
  coordinator.m_exchange.OnReport(kDaemon, *report, At(10));
  other.m_exchange.OnInformed(coordinator.m_informed.at(0), At(20));
  const auto notices = other.m_exchange.NoticesForCoordinator(kService, At(50));
  REQUIRE(notices.size() == 1);
  next.m_exchange.OnReport(kDaemon, notices[0], At(30));
  CHECK(next.m_exchange.IsLeaving(kEndpoint));
  CHECK(next.m_informed.size() == 1);
}

TEST_CASE("Leaving: it outlasts a registration that is removed and returns, not its incarnation")
{
  ExchangingDaemon daemon;
  Only(daemon.m_exchange.RecordResponse(kService, 7, kEndpoint, Leaving(), At(0), At(10)));
  const auto none = [](const ServiceName&) { return std::vector<SlotEndpointInfo>(); };
  const auto registered = [&](const ServiceName&) { return daemon.Registered(); };
  daemon.m_exchange.RetainEndpoints(none, At(20));
  daemon.m_exchange.RetainEndpoints(none, At(50'000));
  CHECK(daemon.m_exchange.IsLeaving(kEndpoint));
  // As long as it is registered, however long that is.
  for (int at = 50'000; at <= 400'000; at += 10'000) {
    daemon.m_exchange.RetainEndpoints(registered, At(at));
  }
  CHECK(daemon.m_exchange.IsLeaving(kEndpoint));
  CHECK_FALSE(daemon.m_exchange.IsLeaving({ kEndpoint.m_id, kEndpoint.m_started_at_ms + 1 }));
  daemon.m_registered_start = kEndpoint.m_started_at_ms + 1;
  daemon.m_coordinator.UpdateEndpoints(At(400'000));
  daemon.Grant(At(400'000));
  daemon.m_exchange.RetainEndpoints(registered, At(470'000));
  CHECK_FALSE(daemon.m_exchange.IsLeaving(kEndpoint));
}

TEST_CASE("Leaving: an incarnation that is registered late is presumed to have made the statement")
{
  const EndpointIncarnation next{ kEndpoint.m_id, kEndpoint.m_started_at_ms + 1 };
  const LeavingEndpoints::RegistrationCheck registered =
    [](const ServiceName&, const EndpointIncarnation&) { return true; };
  const auto presumes = [&](TimePoint aReadableSince, TimePoint aNow) {
    LeavingEndpoints leaving{ LeavingEndpoints::Limits() };
    leaving.Record(kService, kEndpoint, At(10'000));
    leaving.RecordRegistered(kService, { EndpointId("f"), 2 }, aReadableSince, aNow);
    CHECK_FALSE(leaving.Contains({ EndpointId("f"), 2 }));
    leaving.RecordRegistered(kService, next, aReadableSince, aNow);
    const bool is_presumed = leaving.Contains(next);
    CHECK(leaving.DropExpired(registered, aNow + Milliseconds(31'000)) == is_presumed);
    CHECK_FALSE(leaving.Contains(next));
    return is_presumed;
  };
  CHECK(presumes(At(0), At(12'000)));
  CHECK_FALSE(presumes(At(0), At(15'000)));
  // The store was away meanwhile.
  CHECK(presumes(At(11'000), At(15'000)));
  LeavingEndpoints leaving{ LeavingEndpoints::Limits() };
  leaving.Record(kService, kEndpoint, At(0));
  leaving.RecordRegistered(kService, next, At(0), At(100));
  CHECK(leaving.Record(kService, next, At(200)));
  CHECK_FALSE(leaving.Record(kService, next, At(300)));
  leaving.DropExpired(registered, At(40'000));
  CHECK(leaving.Contains(next));
}

TEST_CASE("Leaving: a malformed limit does not hide it, and the table is bounded")
{
  ExchangingDaemon daemon;
  CHECK(Only(daemon.m_exchange.RecordResponse(
    kService, 7, kEndpoint, EndpointNotice{ std::nullopt, true, true, false }, At(0), At(10))));
  CHECK(daemon.m_exchange.IsLeaving(kEndpoint));
  LeavingEndpoints::Limits limits;
  limits.m_max_entries = 2;
  LeavingEndpoints leaving(limits);
  for (int i = 0; i < 3; ++i) {
    CHECK(leaving.Record(kService, { EndpointId("e"), i }, At(i)));
  }
  CHECK_FALSE(leaving.Contains({ EndpointId("e"), 0 }));
  CHECK(leaving.Contains({ EndpointId("e"), 1 }));
  CHECK(leaving.Contains({ EndpointId("e"), 2 }));
}

TEST_CASE(
  "Limits: the shares of daemons that follow several coordinators stay within one and a half")
{
  for (std::size_t known = 1; known <= 9; ++known) {
    CHECK(RateShare(known, known) == 1);
    for (std::size_t first = 0; first <= known; ++first) {
      for (std::size_t second = 0; first + second <= known; ++second) {
        const std::size_t rest = known - first - second;
        double sum = 0;
        for (const std::size_t followers : { first, second, rest }) {
          sum += followers == 0 ? 0 : RateShare(followers, known);
        }
        CHECK(sum <= 1.5);
        CHECK(sum >= 1 - 1e-9);
      }
    }
  }
}

TEST_CASE("Rest: a rest binds the daemon that was asked, at its coordinator and at the next one")
{
  const Incarnation other("other");
  ExchangingDaemon daemon;
  ExchangingDaemon coordinator;
  ExchangingDaemon next;
  EndpointNotice notice = Stating(2);
  notice.m_rest = Milliseconds(2'000);
  const auto reports =
    daemon.m_exchange.RecordResponse(kService, 7, kEndpoint, notice, At(0), At(10));
  REQUIRE(reports.size() == 2);
  CHECK(reports[0].m_limit == RequestRate{ 2 });
  CHECK_FALSE(reports[0].m_rest);
  CHECK(reports[1].m_rest == Milliseconds(2'000));
  CHECK(daemon.m_exchange.IsResting(kEndpoint, At(2'009)));
  CHECK_FALSE(daemon.m_exchange.IsResting(kEndpoint, At(2'010)));
  CHECK_FALSE(daemon.m_exchange.IsResting({ kEndpoint.m_id, 2 }, At(11)));
  CHECK(daemon.m_left == std::vector{ kEndpoint });
  coordinator.m_exchange.OnReport(kDaemon, reports[1], At(20));
  CHECK(coordinator.m_informed.empty());
  CHECK_FALSE(coordinator.m_exchange.IsResting(kEndpoint, At(20)));
  coordinator.Request(At(30));
  CHECK(coordinator.m_grants.empty());
  CHECK(coordinator.m_refusals == 1);
  coordinator.Request(At(2'020));
  CHECK(coordinator.m_grants.size() == 1);
  // Only what is left of it is reported to the next coordinator.
  const auto relayed = daemon.m_exchange.NoticesForCoordinator(kService, At(1'510));
  REQUIRE(relayed.size() == 2);
  CHECK(relayed[1].m_rest == Milliseconds(500));
  next.m_exchange.OnReport(kDaemon, relayed[1], At(1'520));
  next.Request(At(1'530));
  CHECK(next.m_grants.empty());
  next.m_exchange.OnReport(other, relayed[0], At(1'530));
  next.Request(At(2'030));
  CHECK(next.m_grants.size() == 1);
}

TEST_CASE(
  "Rest: neither a shorter one nor a success ends a rest, nor a response to another request")
{
  ExchangingDaemon daemon;
  EndpointNotice notice;
  notice.m_rest = Milliseconds(2'000);
  CHECK(Only(daemon.m_exchange.RecordResponse(kService, 1, kEndpoint, notice, At(0), At(10))));
  notice.m_rest = Milliseconds(500);
  CHECK_FALSE(
    Only(daemon.m_exchange.RecordResponse(kService, 2, kEndpoint, notice, At(0), At(20))));
  daemon.m_exchange.RecordResponse(kService, 3, kEndpoint, EndpointNotice(), At(0), At(30));
  CHECK(daemon.m_exchange.IsResting(kEndpoint, At(2'000)));
  // One that extends it counts, also when it may be old; the limit in it does not.
  notice = Stating(2);
  notice.m_rest = Milliseconds(3'000);
  notice.m_may_be_old = true;
  const auto report =
    Only(daemon.m_exchange.RecordResponse(kService, 4, kEndpoint, notice, At(0), At(40)));
  REQUIRE(report);
  CHECK(report->m_rest == Milliseconds(3'000));
  CHECK(daemon.m_exchange.IsResting(kEndpoint, At(3'039)));
  CHECK_FALSE(daemon.m_exchange.KnownLimitOf(kEndpoint));
}
