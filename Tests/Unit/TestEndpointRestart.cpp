#include <LibPlacement/SlotScheduler.h>

#include <doctest.h>

using namespace auburnhitch;

namespace {

constexpr TimePoint kStart{};
const SoftwareVersion kVersion("v1");
const EndpointIncarnation kEndpoint{ EndpointId("a"), 1 };

TimePoint
At(int aMs)
{
  return kStart + Milliseconds(aMs);
}

SlotEndpointInfo
InfoOf(std::int64_t aStartedAt, const SoftwareVersion& aVersion)
{
  return { kEndpoint.m_id, DataCenterName("dc"), 2, aStartedAt, aVersion, std::nullopt };
}

/// Requests for one endpoint with two slots. The first request could not be sent there.
class UnreachableEndpoint
{
public:
  UnreachableEndpoint()
  {
    m_scheduler.SetEndpoints({ InfoOf(1, kVersion) }, kStart);
    m_first = Request(std::nullopt, 0);
  }

  void End(const SlotRequestId& aRequestId, SlotOutcome aOutcome, int aAtMs)
  {
    m_scheduler.RecordEnded(aRequestId, kEndpoint.m_id, aOutcome, At(aAtMs));
  }

  SlotRequestId Request(std::optional<SoftwareVersion> aVersion, int aAtMs)
  {
    SlotRequest request;
    request.m_request_id = SlotRequestId{ Incarnation("d"), ++m_last_number };
    request.m_work = RequestWork{ 480, 50 };
    request.m_arrived_at = At(aAtMs);
    request.m_objective_at = At(aAtMs + 800);
    request.m_abandoned_at = At(aAtMs + 9'000);
    request.m_required_version = std::move(aVersion);
    m_scheduler.RequestSlot(request, At(aAtMs));
    m_decisions = m_scheduler.Decide(At(aAtMs));
    return request.m_request_id;
  }

  /// The number of requests that are granted a slot now.
  std::size_t GrantsAt(int aMs)
  {
    m_decisions = m_scheduler.Decide(At(aMs));
    return m_decisions.m_grants.size();
  }

  SlotScheduler m_scheduler{ SlotSchedulerLimits() };
  SlotDecisions m_decisions;
  SlotRequestId m_first;
  std::uint64_t m_last_number = 0;
};

}

TEST_CASE("Restart: a request for one software version waits until the registration is renewed")
{
  UnreachableEndpoint endpoint;
  endpoint.End(endpoint.m_first, SlotOutcome::Unreachable, 10);
  endpoint.Request(kVersion, 600);
  CHECK(endpoint.m_decisions.m_grants.empty());
  CHECK(endpoint.m_decisions.m_refusals.empty());
  // What is read this early may have been written before.
  endpoint.m_scheduler.RecordRenewed(kEndpoint, kStart, At(900));
  CHECK(endpoint.GrantsAt(900) == 0);
  endpoint.m_scheduler.RecordRenewed({ kEndpoint.m_id, 2 }, kStart, At(1'500));
  CHECK(endpoint.GrantsAt(1'500) == 0);
  // The store became readable a moment ago.
  endpoint.m_scheduler.RecordRenewed(kEndpoint, At(1'400), At(1'500));
  CHECK(endpoint.GrantsAt(1'500) == 0);
  endpoint.m_scheduler.RecordRenewed(kEndpoint, kStart, At(1'500));
  REQUIRE(endpoint.GrantsAt(1'500) == 1);
  CHECK_FALSE(endpoint.m_decisions.m_grants.front().m_may_have_restarted);
}

TEST_CASE("Restart: other requests are granted, and the grant says that the endpoint is in doubt")
{
  UnreachableEndpoint endpoint;
  endpoint.End(endpoint.m_first, SlotOutcome::Unreachable, 10);
  endpoint.Request(std::nullopt, 600);
  REQUIRE(endpoint.m_decisions.m_grants.size() == 1);
  CHECK(endpoint.m_decisions.m_grants.front().m_may_have_restarted);
}

TEST_CASE("Restart: an endpoint that goes on with a request has not restarted")
{
  UnreachableEndpoint endpoint;
  const SlotRequestId running = endpoint.Request(std::nullopt, 0);
  endpoint.End(endpoint.m_first, SlotOutcome::Unreachable, 10);
  endpoint.Request(kVersion, 600);
  CHECK(endpoint.m_decisions.m_grants.size() == 1);
  endpoint.End(running, SlotOutcome::Complete, 700);
  endpoint.Request(kVersion, 800);
  CHECK(endpoint.m_decisions.m_grants.size() == 1);
}

TEST_CASE("Restart: a broken connection alone puts no endpoint in doubt")
{
  UnreachableEndpoint endpoint;
  endpoint.End(endpoint.m_first, SlotOutcome::Broken, 10);
  endpoint.Request(kVersion, 600);
  CHECK(endpoint.m_decisions.m_grants.size() == 1);
}

TEST_CASE("Restart: the next incarnation is judged by its own registration")
{
  UnreachableEndpoint endpoint;
  endpoint.End(endpoint.m_first, SlotOutcome::Unreachable, 10);
  endpoint.m_scheduler.SetEndpoints({ InfoOf(2, SoftwareVersion("v2")) }, At(500));
  endpoint.Request(SoftwareVersion("v2"), 600);
  CHECK(endpoint.m_decisions.m_grants.size() == 1);
  endpoint.Request(kVersion, 700);
  REQUIRE(endpoint.m_decisions.m_refusals.size() == 1);
  CHECK(endpoint.m_decisions.m_refusals.front().m_reason == SlotRefusalReason::NoEndpointOfVersion);
}
