#include <LibBroker/StreamVersions.h>
#include <LibPlacement/SlotScheduler.h>
#include <LibRegistry/VersionHistory.h>

#include <absl/strings/str_cat.h>
#include <doctest.h>

using namespace auburnhitch;

namespace {

constexpr TimePoint kStart{};
const ServiceName kService("s");
const SoftwareVersion kOld("v1");
const SoftwareVersion kNew("v1.1");

TimePoint
At(int aMilliseconds)
{
  return kStart + Milliseconds(aMilliseconds);
}

EndpointEntry
EntryOf(const char* aId, const SoftwareVersion& aVersion)
{
  EndpointEntry entry;
  entry.m_id = EndpointId(aId);
  entry.m_service = kService;
  entry.m_software_version = aVersion;
  return entry;
}

AgedStreamOrigin
OriginOf(const std::string& aStream, const SoftwareVersion& aVersion, int aAgeMs = 0)
{
  return { { aStream, EndpointId("a"), aVersion }, Milliseconds(aAgeMs) };
}

SlotEndpointInfo
InfoOf(const char* aId, const SoftwareVersion& aVersion)
{
  return SlotEndpointInfo{ EndpointId(aId), DataCenterName("dc"), 1, 1, aVersion, std::nullopt };
}

SlotRequest
RequestOf(std::uint64_t aNumber, std::optional<SoftwareVersion> aVersion = std::nullopt)
{
  SlotRequest request;
  request.m_request_id = { Incarnation("d"), aNumber };
  request.m_objective_at = At(800);
  request.m_abandoned_at = At(3'000);
  request.m_required_version = std::move(aVersion);
  return request;
}

constexpr auto kAdded = RegistryChange::Type::Added;
constexpr auto kRestarted = RegistryChange::Type::Restarted;
constexpr auto kRemoved = RegistryChange::Type::Removed;

}

TEST_CASE("The version of an unknown stream follows only if one version has served all the time")
{
  VersionHistory history{ Milliseconds(20'000) };
  CHECK_FALSE(history.Record({ kAdded, EntryOf("a", kOld) }, At(0)));
  CHECK_FALSE(history.OnlyVersionSince(kService, At(0)));
  history.MarkLoaded(At(100));
  // What served before the registrations were read is unknown.
  CHECK_FALSE(history.OnlyVersionSince(kService, At(50)));
  CHECK(history.OnlyVersionSince(kService, At(100)) == kOld);
  CHECK_FALSE(history.OnlyVersionSince(ServiceName("other"), At(100)));
  history.Record({ kAdded, EntryOf("b", kNew) }, At(1'000));
  CHECK_FALSE(history.OnlyVersionSince(kService, At(500)));
  history.Record({ kRemoved, EntryOf("b", kNew) }, At(2'000));
  CHECK_FALSE(history.OnlyVersionSince(kService, At(1'500)));
  CHECK(history.OnlyVersionSince(kService, At(2'500)) == kOld);
}

TEST_CASE("An endpoint that comes back under its id with another software version is noticed")
{
  VersionHistory history{ Milliseconds(20'000) };
  history.Record({ kAdded, EntryOf("a", kOld) }, At(0));
  CHECK_FALSE(history.Record({ kRestarted, EntryOf("a", kOld) }, At(100)));
  CHECK(history.Record({ kRestarted, EntryOf("a", kNew) }, At(200)));
  history.Record({ kRemoved, EntryOf("a", kNew) }, At(300));
  CHECK(history.Record({ kAdded, EntryOf("a", kOld) }, At(400)));
  history.Record({ kRemoved, EntryOf("a", kOld) }, At(500));
  // Callers resume no stream that is older than the retention time.
  CHECK_FALSE(history.Record({ kAdded, EntryOf("a", kNew) }, At(30'000)));
  history.MarkLoaded(At(0));
  CHECK(history.OnlyVersionSince(kService, At(25'000)) == kNew);
}

TEST_CASE("A stream with origins of two versions is ambiguous")
{
  StreamVersions streams{ StreamVersions::Limits() };
  CHECK(streams.Record(kService, OriginOf("x", kOld), At(0)));
  CHECK_FALSE(streams.Record(kService, OriginOf("x", kOld), At(10)));
  CHECK(streams.Find(kService, "x", At(20)) == StreamVersions::Knowledge{ true, kOld });
  CHECK_FALSE(streams.Record(kService, OriginOf("x", kNew), At(30)));
  CHECK(streams.Find(kService, "x", At(40)) == StreamVersions::Knowledge{ true, std::nullopt });
  CHECK(streams.Find(kService, "y", At(40)) == StreamVersions::Knowledge{ false, std::nullopt });
  // A replica must not take the stream for one that nobody knows.
  const std::vector<AgedStreamOrigin> origins = streams.OriginsOf(kService, At(40));
  REQUIRE(origins.size() == 1);
  CHECK(origins.front().m_origin.m_version.IsEmpty());
  StreamVersions replica{ StreamVersions::Limits() };
  replica.Record(kService, origins.front(), At(45));
  CHECK(replica.Find(kService, "x", At(45)) == StreamVersions::Knowledge{ true, std::nullopt });
  // Versions of different services are unrelated.
  streams.Record(kService, OriginOf("z", kOld), At(50));
  CHECK(streams.Find(ServiceName("other"), "z", At(50)) ==
        StreamVersions::Knowledge{ true, std::nullopt });
}

TEST_CASE("A stream that began just before its endpoint registered another version is ambiguous")
{
  StreamVersions streams{ StreamVersions::Limits() };
  streams.Record(kService, OriginOf("early", kOld), At(0));
  streams.Record(kService, OriginOf("late", kOld), At(4'000));
  // Reported late, with its age.
  streams.Record(kService, OriginOf("relayed", kOld, 4'000), At(4'000));
  streams.OnVersionChanged(EndpointId("other"), At(5'000));
  CHECK(streams.Find(kService, "late", At(5'000)).m_version == kOld);
  streams.OnVersionChanged(EndpointId("a"), At(5'000));
  CHECK(streams.Find(kService, "early", At(5'000)).m_version == kOld);
  CHECK(streams.Find(kService, "relayed", At(5'000)).m_version == kOld);
  CHECK_FALSE(streams.Find(kService, "late", At(5'000)).m_version);
}

TEST_CASE("The table of streams is bounded in time, number and the length of names")
{
  StreamVersions::Limits limits;
  limits.m_max_streams = 100;
  StreamVersions streams{ limits };
  for (int i = 0; i < 1'000; ++i) {
    streams.Record(kService, OriginOf(absl::StrCat("x", i), kOld), At(i));
  }
  CHECK(streams.Size() == 100);
  CHECK(streams.Find(kService, "x999", At(1'000)).m_is_known);
  CHECK_FALSE(streams.Find(kService, "x1", At(1'000)).m_is_known);
  CHECK_FALSE(streams.Find(kService, "x999", At(22'000)).m_is_known);
  CHECK_FALSE(streams.Record(kService, OriginOf(std::string(1'000, 'x'), kOld), At(22'000)));
  CHECK_FALSE(streams.Record(kService, OriginOf("", kOld), At(22'000)));
  CHECK_FALSE(streams.Record(kService, OriginOf("z", kOld, 30'000), At(22'000)));
  CHECK(streams.Record(kService, OriginOf("y", kOld), At(22'000)));
  CHECK(streams.Size() == 1);
}

TEST_CASE("A request for one software version waits for its endpoints without holding up others")
{
  SlotScheduler scheduler{ SlotSchedulerLimits() };
  scheduler.SetEndpoints({ InfoOf("a", kOld), InfoOf("b", kNew) }, kStart);
  scheduler.RequestSlot(RequestOf(1, kOld), kStart);
  scheduler.RequestSlot(RequestOf(2, kOld), kStart);
  scheduler.RequestSlot(RequestOf(3), kStart);
  const SlotDecisions first = scheduler.Decide(kStart);
  REQUIRE(first.m_grants.size() == 2);
  CHECK(first.m_refusals.empty());
  CHECK(first.m_grants[0].m_endpoint == EndpointId("a"));
  CHECK(first.m_grants[1].m_request_id.m_number == 3);
  CHECK(first.m_grants[1].m_endpoint == EndpointId("b"));
  CHECK(scheduler.WaitingCount() == 1);
  scheduler.RecordEnded(
    first.m_grants[0].m_request_id, EndpointId("a"), SlotOutcome::Complete, At(20));
  const SlotDecisions second = scheduler.Decide(At(20));
  REQUIRE(second.m_grants.size() == 1);
  CHECK(second.m_grants[0].m_request_id.m_number == 2);
}

TEST_CASE("A request for a software version that no endpoint has is refused at once")
{
  SlotScheduler scheduler{ SlotSchedulerLimits() };
  scheduler.SetEndpoints({ InfoOf("a", kOld), InfoOf("b", kNew) }, kStart);
  SlotRequest excluded = RequestOf(1, kOld);
  excluded.m_avoided = { EndpointId("a") };
  scheduler.RequestSlot(excluded, kStart);
  scheduler.RequestSlot(RequestOf(2, SoftwareVersion("v9")), kStart);
  const SlotDecisions decisions = scheduler.Decide(kStart);
  CHECK(decisions.m_grants.empty());
  REQUIRE(decisions.m_refusals.size() == 2);
  for (const SlotRefusal& refusal : decisions.m_refusals) {
    CHECK(refusal.m_reason == SlotRefusalReason::NoEndpointOfVersion);
    CHECK(refusal.m_retry_after >= Milliseconds(1'000));
  }
  // The last endpoint of a version leaves while a request waits for it.
  scheduler.RequestSlot(RequestOf(3, kOld), kStart);
  scheduler.RequestSlot(RequestOf(4, kOld), kStart);
  CHECK(scheduler.Decide(kStart).m_grants.size() == 1);
  scheduler.SetEndpoints({ InfoOf("b", kNew) }, At(100));
  const SlotDecisions after = scheduler.Decide(At(100));
  REQUIRE(after.m_refusals.size() == 1);
  CHECK(after.m_refusals.front().m_reason == SlotRefusalReason::NoEndpointOfVersion);
}
