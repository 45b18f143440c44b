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

/// The exchange of one daemon, with the notices that it sends to all others.
struct ExchangingDaemon
{
  ExchangingDaemon()
    : m_quotas(QuotaTolerance())
    , m_coordinator(
        SlotSchedulerLimits(),
        m_quotas,
        [this](const ServiceName&) {
          return std::vector{ SlotEndpointInfo{ kEndpoint.m_id,
                                                DataCenterName("dc"),
                                                4,
                                                kEndpoint.m_started_at_ms,
                                                SoftwareVersion("v1"),
                                                m_exchange.KnownLimitOf(kEndpoint) } };
        },
        [this](const ServiceName&, const SlotDecisions& aDecisions) {
          m_grants.insert(m_grants.end(), aDecisions.m_grants.begin(), aDecisions.m_grants.end());
        })
    , m_exchange(m_coordinator,
                 [this](const EndpointNoticeMessage& aNotice) { m_informed.push_back(aNotice); })
  {
  }

  /// Grants a slot to a request and returns its number.
  std::uint64_t Grant(TimePoint aNow)
  {
    SlotRequest request;
    request.m_request_id = { kDaemon, ++m_last_number };
    request.m_objective_at = aNow + Milliseconds(800);
    request.m_abandoned_at = aNow + Milliseconds(3'000);
    m_coordinator.RequestSlot(kService, request, aNow);
    m_coordinator.Decide(kService, aNow);
    REQUIRE(m_grants.back().m_request_id.m_number == m_last_number);
    return m_last_number;
  }

  QuotaLedger m_quotas;
  SlotCoordinator m_coordinator;
  NoticeExchange m_exchange;
  std::vector<SlotGrant> m_grants;
  std::vector<EndpointNoticeMessage> m_informed;
  std::uint64_t m_last_number = 0;
};

}

TEST_CASE("Limits: the coordinator informs all daemons of each change, and of nothing else")
{
  ExchangingDaemon daemon;
  ExchangingDaemon coordinator;
  auto report = daemon.m_exchange.RecordResponse(
    kService, coordinator.Grant(At(0)), kEndpoint, Stating(2), At(0), At(10));
  REQUIRE(report);
  CHECK_FALSE(coordinator.m_exchange.OnReport(kDaemon, *report, At(20)));
  REQUIRE(coordinator.m_informed.size() == 1);
  CHECK(coordinator.m_informed[0].m_limit == RequestRate{ 2 });
  CHECK(coordinator.m_informed[0].m_number == 0);
  CHECK_FALSE(coordinator.m_exchange.OnReport(kDaemon, *report, At(30)));
  CHECK(coordinator.m_informed.size() == 1);
  // The response to a request that was granted after the last statement.
  report = daemon.m_exchange.RecordResponse(
    kService, coordinator.Grant(At(2'000)), kEndpoint, Stating(std::nullopt), At(2'000), At(2'010));
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
  const auto notices = other.m_exchange.NoticesForCoordinator(kService);
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
  CHECK_FALSE(daemon.m_exchange.RecordResponse(
    kService, 1, kEndpoint, EndpointNotice{ std::nullopt, true }, At(0), At(10)));
  daemon.m_exchange.RecordResponse(kService, 1, kEndpoint, Stating(2), At(0), At(10));
  CHECK(daemon.m_exchange.KnownLimitOf(kEndpoint));
  daemon.m_exchange.RetainEndpoints(
    [](const ServiceName&) { return std::vector<SlotEndpointInfo>(); });
  CHECK_FALSE(daemon.m_exchange.KnownLimitOf(kEndpoint));
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
