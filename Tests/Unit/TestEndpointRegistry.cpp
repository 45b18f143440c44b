#include <LibRegistry/EndpointRegistry.h>

#include <algorithm>
#include <doctest.h>
#include <random>

using namespace auburnhitch;

namespace {

constexpr TimePoint kStart{};

TimePoint
At(int aMs)
{
  return kStart + Milliseconds(aMs);
}

EndpointEntry
EntryOf(const char* aId, std::int64_t aStartedAt = 1, bool aIsDraining = false)
{
  return EndpointEntry{ EndpointId(aId),
                        ServiceName("s"),
                        SocketAddress("127.0.0.1:1"),
                        DataCenterName("dc"),
                        4,
                        aIsDraining,
                        SoftwareVersion("v1"),
                        aStartedAt };
}

EndpointRegistry
RegistryOf(std::initializer_list<const char*> aIds)
{
  EndpointRegistry registry{ EndpointRegistry::Limits() };
  for (const char* id : aIds) {
    registry.AddOrRenew(EntryOf(id));
  }
  return registry;
}

}

TEST_CASE("A draining or removed endpoint receives no new work")
{
  EndpointRegistry registry = RegistryOf({ "a", "b", "c" });
  registry.AddOrRenew(EntryOf("a", 1, true));
  registry.Remove(EndpointId("b"), At(0), At(0));
  CHECK_FALSE(registry.FindUsable(EndpointId("a")));
  CHECK_FALSE(registry.FindUsable(EndpointId("b")));
  CHECK(registry.UsableEndpoints(ServiceName("s")).size() == 1);
}

TEST_CASE("A late record of an earlier incarnation changes nothing")
{
  EndpointRegistry registry = RegistryOf({});
  registry.AddOrRenew(EntryOf("a", 20));
  CHECK(registry.AddOrRenew(EntryOf("a", 10, true)).empty());
  CHECK(registry.FindUsable(EndpointId("a")));
  const auto changes = registry.AddOrRenew(EntryOf("a", 30));
  REQUIRE(changes.size() == 1);
  CHECK(changes.front().m_type == RegistryChange::Type::Restarted);
}

TEST_CASE(
  "Registrations that lapse during or just after a store outage may be renewed, others are removed")
{
  EndpointRegistry registry = RegistryOf({ "a", "b", "c" });
  registry.SetStoreReachable(false, At(1'000));
  registry.Remove(EndpointId("a"), At(4'000), At(4'000));
  CHECK(registry.FindUsable(EndpointId("a")));
  // Known endpoints stay in use however long the store is unreachable.
  CHECK(registry.Expire(At(60'000)).empty());
  registry.SetStoreReachable(true, At(60'000));
  registry.Remove(EndpointId("b"), At(60'500), At(60'500));
  CHECK(registry.FindUsable(EndpointId("b")));
  registry.AddOrRenew(EntryOf("a"));
  registry.Expire(At(62'900));
  CHECK(registry.FindUsable(EndpointId("a")));
  CHECK_FALSE(registry.FindUsable(EndpointId("b")));
  registry.Remove(EndpointId("a"), At(64'000), At(64'000));
  CHECK_FALSE(registry.FindUsable(EndpointId("a")));
}

TEST_CASE("A registration removed after a store outage is no longer used after the removal grace")
{
  EndpointRegistry registry = RegistryOf({ "a", "b" });
  registry.SetStoreReachable(false, At(0));
  registry.SetStoreReachable(true, At(10'000));
  registry.Remove(EndpointId("a"), At(11'000), At(11'000));
  registry.Expire(At(12'550));
  CHECK_FALSE(registry.FindUsable(EndpointId("a")));
  CHECK(registry.FindUsable(EndpointId("b")));
}

// Guards against requests to an endpoint whose removal was announced long before it was read.
TEST_CASE("The grace of a removal after a store outage runs from when it was known to exist")
{
  EndpointRegistry registry = RegistryOf({ "a", "b" });
  registry.SetStoreReachable(false, At(0));
  registry.SetStoreReachable(true, At(10'000));
  registry.Remove(EndpointId("a"), At(11'000), At(11'700));
  registry.Expire(At(12'400));
  CHECK(registry.FindUsable(EndpointId("a")));
  registry.Expire(At(12'550));
  CHECK_FALSE(registry.FindUsable(EndpointId("a")));
  // One that was announced during the outage may have lapsed in it.
  registry.Remove(EndpointId("b"), At(9'000), At(12'100));
  registry.Expire(At(12'150));
  CHECK(registry.FindUsable(EndpointId("b")));
  registry.Expire(At(12'250));
  CHECK_FALSE(registry.FindUsable(EndpointId("b")));
}

// Guards against requests to an endpoint that has left, through all of the next outage.
TEST_CASE("The next store outage does not prolong the grace of a removal that was read before it")
{
  EndpointRegistry registry = RegistryOf({ "a", "b" });
  registry.SetStoreReachable(false, At(0));
  registry.SetStoreReachable(true, At(5'000));
  registry.Remove(EndpointId("a"), At(6'000), At(6'000));
  registry.SetStoreReachable(false, At(6'500));
  // Read from another daemon: the registration may have lapsed in this outage.
  registry.Remove(EndpointId("b"), At(7'000), At(7'000));
  registry.Expire(At(7'550));
  CHECK_FALSE(registry.FindUsable(EndpointId("a")));
  registry.Expire(At(20'000));
  CHECK(registry.FindUsable(EndpointId("b")));
  registry.SetStoreReachable(true, At(20'000));
  registry.Expire(At(22'150));
  CHECK(registry.FindUsable(EndpointId("b")));
  registry.Expire(At(22'250));
  CHECK_FALSE(registry.FindUsable(EndpointId("b")));
}

TEST_CASE("A draining endpoint is removed at once even during a store outage")
{
  EndpointRegistry registry = RegistryOf({ "a" });
  registry.AddOrRenew(EntryOf("a", 1, true));
  registry.SetStoreReachable(false, At(0));
  CHECK(registry.Remove(EndpointId("a"), At(100), At(100)).size() == 1);
  CHECK(registry.Size() == 0);
}

TEST_CASE("Replacing all registrations removes the endpoints that are not listed")
{
  EndpointRegistry registry = RegistryOf({ "a", "b" });
  registry.Replace({ EntryOf("b"), EntryOf("c") }, At(0));
  CHECK_FALSE(registry.FindUsable(EndpointId("a")));
  CHECK(registry.FindUsable(EndpointId("b")));
  CHECK(registry.FindUsable(EndpointId("c")));
}

TEST_CASE("No draining or long removed endpoint is used in any order of records and store outages")
{
  constexpr int kSchedules = 3'000;
  constexpr int kSteps = 60;
  constexpr int kGraceMs = 2'200;
  for (int seed = 1; seed <= kSchedules; ++seed) {
    std::mt19937 random(static_cast<unsigned>(seed));
    EndpointRegistry registry{ EndpointRegistry::Limits() };
    const std::vector<const char*> ids{ "a", "b", "c" };
    std::map<std::string, bool> is_draining;
    std::map<std::string, std::optional<int>> removed_at;
    bool is_reachable = true;
    int reachable_since = -kGraceMs * 10;
    int now = 0;
    for (int step = 0; step < kSteps; ++step) {
      now += static_cast<int>(random() % 900);
      const char* id = ids[random() % ids.size()];
      switch (random() % 5) {
        case 0:
          registry.AddOrRenew(EntryOf(id));
          is_draining[id] = false;
          removed_at[id] = std::nullopt;
          break;
        case 1:
          registry.AddOrRenew(EntryOf(id, 1, true));
          is_draining[id] = true;
          removed_at[id] = std::nullopt;
          break;
        case 2:
          registry.Remove(EndpointId(id), At(now), At(now));
          removed_at[id] = removed_at[id].value_or(now);
          break;
        case 3:
          is_reachable = !is_reachable;
          reachable_since = is_reachable ? now : reachable_since;
          registry.SetStoreReachable(is_reachable, At(now));
          break;
        default:
          break;
      }
      registry.Expire(At(now));
      for (const char* each : ids) {
        const bool is_usable = registry.FindUsable(EndpointId(each)).has_value();
        const auto removed = removed_at[each];
        const bool is_long_removed =
          removed && is_reachable && now - std::max(*removed, reachable_since) > kGraceMs;
        CHECK_MESSAGE(!(is_usable && (is_draining[each] || is_long_removed)), "seed ", seed);
      }
    }
  }
}

TEST_CASE("Store gone back: registrations that it has lost are kept until they may be renewed")
{
  EndpointRegistry registry = RegistryOf({ "a", "b", "c" });
  registry.OnStoreWentBack(At(1'000));
  registry.Replace({ EntryOf("a") }, At(1'300));
  CHECK(registry.FindUsable(EndpointId("b")));
  CHECK(registry.FindUsable(EndpointId("c")));
  registry.Expire(At(3'100));
  CHECK(registry.FindUsable(EndpointId("b")));
  registry.AddOrRenew(EntryOf("b"));
  registry.Expire(At(3'300));
  CHECK(registry.FindUsable(EndpointId("a")));
  CHECK(registry.FindUsable(EndpointId("b")));
  CHECK_FALSE(registry.FindUsable(EndpointId("c")));
}

TEST_CASE("Store gone back: an endpoint that has said that it leaves returns only as a new one")
{
  for (const bool is_removed : { false, true }) {
    CAPTURE(is_removed);
    EndpointRegistry registry = RegistryOf({ "a", "b" });
    registry.AddOrRenew(EntryOf("b", 1, true));
    if (is_removed) {
      registry.Remove(EndpointId("b"), At(500), At(500));
    }
    registry.OnStoreWentBack(At(1'000));
    registry.Replace({ EntryOf("a"), EntryOf("b") }, At(1'010));
    CHECK_FALSE(registry.FindUsable(EndpointId("b")));
    registry.AddOrRenew(EntryOf("b"));
    CHECK_FALSE(registry.FindUsable(EndpointId("b")));
    registry.AddOrRenew(EntryOf("b", 2));
    CHECK(registry.FindUsable(EndpointId("b")));
  }
}

TEST_CASE(
  "Store gone back: an endpoint whose registration was removed returns when it writes again")
{
  EndpointRegistry registry = RegistryOf({ "a", "b" });
  registry.Remove(EndpointId("b"), At(500), At(500));
  registry.OnStoreWentBack(At(1'000));
  registry.Replace({ EntryOf("a"), EntryOf("b") }, At(1'010));
  CHECK_FALSE(registry.FindUsable(EndpointId("b")));
  registry.AddOrRenew(EntryOf("b"));
  CHECK(registry.FindUsable(EndpointId("b")));
}

TEST_CASE("An endpoint that a store lists again without having gone back is used")
{
  EndpointRegistry registry = RegistryOf({ "a", "b" });
  registry.Remove(EndpointId("b"), At(500), At(500));
  registry.Replace({ EntryOf("a"), EntryOf("b") }, At(1'010));
  CHECK(registry.FindUsable(EndpointId("b")));
}
