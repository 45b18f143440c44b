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
  return EndpointEntry{
    EndpointId(aId), ServiceName("s"), SocketAddress("127.0.0.1:1"), DataCenterName("dc"), 4,
    aIsDraining,     aStartedAt
  };
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

TEST_CASE("An endpoint that drains or is gone gets no new work")
{
  EndpointRegistry registry = RegistryOf({ "a", "b", "c" });
  registry.AddOrRenew(EntryOf("a", 1, true));
  registry.Remove(EndpointId("b"), At(0));
  CHECK_FALSE(registry.FindUsable(EndpointId("a")));
  CHECK_FALSE(registry.FindUsable(EndpointId("b")));
  CHECK(registry.UsableEndpoints(ServiceName("s")).size() == 1);
}

TEST_CASE("A late record of an earlier life changes nothing")
{
  EndpointRegistry registry = RegistryOf({});
  registry.AddOrRenew(EntryOf("a", 20));
  CHECK(registry.AddOrRenew(EntryOf("a", 10, true)).empty());
  CHECK(registry.FindUsable(EndpointId("a")));
  const auto changes = registry.AddOrRenew(EntryOf("a", 30));
  REQUIRE(changes.size() == 1);
  CHECK(changes.front().m_type == RegistryChange::Type::Restarted);
}

TEST_CASE("Registrations that lapse around an outage may come back, and only then")
{
  EndpointRegistry registry = RegistryOf({ "a", "b", "c" });
  registry.SetStoreReachable(false, At(1'000));
  registry.Remove(EndpointId("a"), At(4'000));
  CHECK(registry.FindUsable(EndpointId("a")));
  // However long the store is away, what is known stays in use.
  CHECK(registry.Expire(At(60'000)).empty());
  registry.SetStoreReachable(true, At(60'000));
  registry.Remove(EndpointId("b"), At(60'500));
  CHECK(registry.FindUsable(EndpointId("b")));
  registry.AddOrRenew(EntryOf("a"));
  registry.Expire(At(62'900));
  CHECK(registry.FindUsable(EndpointId("a")));
  CHECK_FALSE(registry.FindUsable(EndpointId("b")));
  registry.Remove(EndpointId("a"), At(64'000));
  CHECK_FALSE(registry.FindUsable(EndpointId("a")));
}

TEST_CASE(
  "A registration that goes after the store's return is obeyed within the bound for leaving")
{
  EndpointRegistry registry = RegistryOf({ "a", "b" });
  registry.SetStoreReachable(false, At(0));
  registry.SetStoreReachable(true, At(10'000));
  registry.Remove(EndpointId("a"), At(11'000));
  registry.Expire(At(12'550));
  CHECK_FALSE(registry.FindUsable(EndpointId("a")));
  CHECK(registry.FindUsable(EndpointId("b")));
}

TEST_CASE("An endpoint that drained leaves also while the store is away")
{
  EndpointRegistry registry = RegistryOf({ "a" });
  registry.AddOrRenew(EntryOf("a", 1, true));
  registry.SetStoreReachable(false, At(0));
  CHECK(registry.Remove(EndpointId("a"), At(100)).size() == 1);
  CHECK(registry.Size() == 0);
}

TEST_CASE("A whole list drops what is not on it")
{
  EndpointRegistry registry = RegistryOf({ "a", "b" });
  registry.Replace({ EntryOf("b"), EntryOf("c") }, At(0));
  CHECK_FALSE(registry.FindUsable(EndpointId("a")));
  CHECK(registry.FindUsable(EndpointId("b")));
  CHECK(registry.FindUsable(EndpointId("c")));
}

TEST_CASE(
  "Under any order of records, outages and snapshots no draining or long gone endpoint is used")
{
  constexpr int kSchedules = 3'000;
  constexpr int kSteps = 60;
  constexpr int kGraceMs = 2'200;
  for (int seed = 1; seed <= kSchedules; ++seed) {
    std::mt19937 random(static_cast<unsigned>(seed));
    EndpointRegistry registry{ EndpointRegistry::Limits() };
    const std::vector<const char*> ids{ "a", "b", "c" };
    std::map<std::string, bool> is_draining;
    std::map<std::string, std::optional<int>> gone_at;
    bool is_reachable = true;
    int returned_at = -kGraceMs * 10;
    int now = 0;
    for (int step = 0; step < kSteps; ++step) {
      now += static_cast<int>(random() % 900);
      const char* id = ids[random() % ids.size()];
      switch (random() % 5) {
        case 0:
          registry.AddOrRenew(EntryOf(id));
          is_draining[id] = false;
          gone_at[id] = std::nullopt;
          break;
        case 1:
          registry.AddOrRenew(EntryOf(id, 1, true));
          is_draining[id] = true;
          gone_at[id] = std::nullopt;
          break;
        case 2:
          registry.Remove(EndpointId(id), At(now));
          gone_at[id] = gone_at[id].value_or(now);
          break;
        case 3:
          is_reachable = !is_reachable;
          returned_at = is_reachable ? now : returned_at;
          registry.SetStoreReachable(is_reachable, At(now));
          break;
        default:
          break;
      }
      registry.Expire(At(now));
      for (const char* each : ids) {
        const bool is_usable = registry.FindUsable(EndpointId(each)).has_value();
        const auto gone = gone_at[each];
        const bool is_long_gone =
          gone && is_reachable && now - std::max(*gone, returned_at) > kGraceMs;
        CHECK_MESSAGE(!(is_usable && (is_draining[each] || is_long_gone)), "seed ", seed);
      }
    }
  }
}
