#include <LibCluster/Heartbeat.h>
#include <LibCluster/Membership.h>

#include <doctest.h>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

using namespace auburnhitch;

namespace {

constexpr TimePoint kStart{};

Member
MemberOf(int aNumber)
{
  const std::string name = "host-" + std::to_string(aNumber);
  Member member;
  member.m_host = HostName(name);
  member.m_incarnation = Incarnation("i-" + name);
  member.m_peer_address = SocketAddress("10.0.0." + std::to_string(aNumber) + ":7600");
  member.m_caller_address = SocketAddress("10.0.0." + std::to_string(aNumber) + ":8221");
  member.m_is_ready = true;
  member.m_can_read_store = true;
  return member;
}

}

TEST_CASE(
  "Daemons with the same view choose the same coordinator, and services spread over all daemons")
{
  constexpr int kDaemons = 6;
  std::map<HostName, int> chosen;
  for (int service = 0; service < 200; ++service) {
    const ServiceName name("s-" + std::to_string(service));
    std::optional<HostName> agreed;
    for (int self = 0; self < kDaemons; ++self) {
      Membership membership(Membership::Limits(), MemberOf(self).m_host);
      for (int other = 0; other < kDaemons; ++other) {
        membership.RecordHeartbeat(MemberOf(other), kStart);
      }
      const HostName coordinator = membership.CoordinatorOf(name, MemberOf(self), kStart).m_host;
      CHECK(coordinator == agreed.value_or(coordinator));
      agreed = coordinator;
    }
    ++chosen[*agreed];
  }
  CHECK(chosen.size() == kDaemons);
}

TEST_CASE("A silent, leaving or suspected daemon is not coordinator until it recovers")
{
  const Member self = MemberOf(0);
  Membership membership(Membership::Limits(), self.m_host);
  Member other = MemberOf(1);
  // A service whose coordinator is the other daemon.
  ServiceName service;
  membership.RecordHeartbeat(other, kStart);
  for (int i = 0; service.IsEmpty(); ++i) {
    const ServiceName candidate("s" + std::to_string(i));
    if (membership.CoordinatorOf(candidate, self, kStart).m_host == other.m_host) {
      service = candidate;
    }
  }
  const auto coordinator = [&](int aMs) {
    return membership.CoordinatorOf(service, self, kStart + Milliseconds(aMs)).m_host;
  };
  CHECK(coordinator(600) == other.m_host);
  CHECK(coordinator(800) == self.m_host);
  membership.RecordHeartbeat(other, kStart + Milliseconds(900));
  CHECK(coordinator(900) == other.m_host);
  membership.Suspect(other.m_host, kStart + Milliseconds(900));
  CHECK(coordinator(1'000) == self.m_host);
  membership.RecordHeartbeat(other, kStart + Milliseconds(2'000));
  CHECK(coordinator(2'000) == other.m_host);
  other.m_is_leaving = true;
  membership.RecordHeartbeat(other, kStart + Milliseconds(2'100));
  CHECK(coordinator(2'100) == self.m_host);
  other.m_is_leaving = false;
  other.m_can_read_store = false;
  membership.RecordHeartbeat(other, kStart + Milliseconds(2'200));
  CHECK(coordinator(2'200) == self.m_host);
}

// Guards against a daemon that is cut off with a minority and decides on a rollout.
TEST_CASE("A daemon hears half of the known daemons, itself included, or fewer")
{
  Membership membership(Membership::Limits(), MemberOf(0).m_host);
  CHECK(membership.HearsHalf(kStart));
  for (int other = 1; other < 4; ++other) {
    membership.RecordListed(MemberOf(other));
  }
  CHECK_FALSE(membership.HearsHalf(kStart));
  membership.RecordHeartbeat(MemberOf(1), kStart);
  CHECK(membership.HearsHalf(kStart));
  CHECK_FALSE(membership.HearsHalf(kStart + Milliseconds(10'000)));
}

// Guards against a daemon that has not read the list of daemons and takes itself for the only one.
TEST_CASE("Shares are for many daemons until the list is complete, then for those that are known")
{
  Membership membership(Membership::Limits(), MemberOf(0).m_host);
  membership.SetMaxCount(16);
  CHECK(membership.CountForShares() == 16);
  CHECK_FALSE(membership.HearsHalf(kStart));
  for (int other = 1; other < 4; ++other) {
    membership.RecordListed(MemberOf(other));
  }
  CHECK(membership.CountForShares() == 16);
  membership.MarkComplete();
  CHECK(membership.CountForShares() == 4);
  membership.SetMaxCount(2);
  CHECK(membership.CountForShares() == 4);
}

// Guards against requests of all daemons going to one that does not know the others.
TEST_CASE("A daemon that does not know the others coordinates only if none does")
{
  Member self = MemberOf(0);
  Member other = MemberOf(1);
  Membership membership(Membership::Limits(), self.m_host);
  const auto coordinator = [&](int aService) {
    return membership.CoordinatorOf(ServiceName("s" + std::to_string(aService)), self, kStart)
      .m_host;
  };
  self.m_knows_members = false;
  membership.RecordHeartbeat(other, kStart);
  for (int service = 0; service < 20; ++service) {
    CHECK(coordinator(service) == other.m_host);
  }
  other.m_knows_members = false;
  membership.RecordHeartbeat(other, kStart);
  std::set<HostName> chosen;
  for (int service = 0; service < 20; ++service) {
    chosen.insert(coordinator(service));
  }
  CHECK(chosen.size() == 2);
}

TEST_CASE("Daemons are known from the list or from heartbeats, and removed when neither is left")
{
  Membership membership(Membership::Limits(), HostName("host-0"));
  membership.RecordListed(MemberOf(1));
  CHECK(membership.KnownMembers().size() == 1);
  CHECK(membership.AliveMembers(kStart).empty());
  membership.RecordListed(MemberOf(0));
  CHECK(membership.KnownMembers().size() == 1);
  membership.RecordHeartbeat(MemberOf(2), kStart);
  CHECK(membership.AliveMembers(kStart).size() == 1);
  membership.RecordUnlisted(HostName("host-1"));
  membership.RemoveStale(kStart + Milliseconds(20'000));
  CHECK(membership.KnownMembers().size() == 1);
  membership.RemoveStale(kStart + Milliseconds(31'000));
  CHECK(membership.KnownMembers().empty());
}

TEST_CASE("Heartbeats survive encoding; truncated ones are rejected and damaged ones do no harm")
{
  Heartbeat heartbeat;
  heartbeat.m_member = MemberOf(3);
  heartbeat.m_configuration_version = 17;
  heartbeat.m_member.m_is_reader = true;
  heartbeat.m_member.m_processor_millicores = 250;
  heartbeat.m_member.m_reaches_endpoints = false;
  heartbeat.m_topic_positions = { 3, 5, 7 };
  heartbeat.m_spending = { { WorkspaceName("w"), 12'345 } };
  const std::string bytes = EncodeHeartbeat(heartbeat);
  CHECK(DecodeHeartbeat(bytes) == heartbeat);
  heartbeat.m_member.m_knows_members = false;
  CHECK(DecodeHeartbeat(EncodeHeartbeat(heartbeat)) == heartbeat);
  CHECK_FALSE(DecodeHeartbeat(""));
  CHECK_FALSE(DecodeHeartbeat("{}"));
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodeHeartbeat(absl::string_view(bytes).substr(0, size)));
  }
  std::mt19937 random(1);
  for (int i = 0; i < 20'000; ++i) {
    std::string damaged = bytes;
    damaged[random() % damaged.size()] = static_cast<char>(random());
    DecodeHeartbeat(damaged);
  }
}

TEST_CASE("Only heartbeats that daemons of an earlier version could not read use the later layout")
{
  const auto layout_of = [](bool aReachesEndpoints) {
    Heartbeat heartbeat;
    heartbeat.m_member = MemberOf(3);
    heartbeat.m_member.m_reaches_endpoints = aReachesEndpoints;
    const std::string bytes = EncodeHeartbeat(heartbeat);
    CHECK(DecodeHeartbeat(bytes) == heartbeat);
    nlohmann::json json = nlohmann::json::from_msgpack(bytes);
    const std::pair layout(json[0].get<int>(), json.size());
    json[0] = 5 - json[0].get<int>();
    const std::vector<std::uint8_t> mixed = nlohmann::json::to_msgpack(json);
    CHECK_FALSE(DecodeHeartbeat({ reinterpret_cast<const char*>(mixed.data()), mixed.size() }));
    return layout;
  };
  CHECK(layout_of(true) == std::pair<int, std::size_t>(2, 16));
  CHECK(layout_of(false) == std::pair<int, std::size_t>(3, 17));
}

TEST_CASE("A daemon that reaches no endpoint stays the coordinator, one that is not ready does not")
{
  Member strong = MemberOf(1);
  strong.m_processor_millicores = 500;
  Membership membership(Membership::Limits(), MemberOf(0).m_host);
  const auto coordinator = [&] {
    membership.RecordHeartbeat(strong, kStart);
    return membership.CoordinatorOf(ServiceName("s"), MemberOf(0), kStart).m_host;
  };
  strong.m_reaches_endpoints = false;
  CHECK(coordinator() == strong.m_host);
  strong.m_is_ready = false;
  CHECK(coordinator() == MemberOf(0).m_host);
}

TEST_CASE(
  "A host with more CPU is preferred as coordinator for any service while it can read the store")
{
  Member strong = MemberOf(1);
  strong.m_processor_millicores = 500;
  for (int i = 0; i < 50; ++i) {
    Membership membership(Membership::Limits(), MemberOf(0).m_host);
    membership.RecordHeartbeat(strong, kStart);
    membership.RecordHeartbeat(MemberOf(2), kStart);
    const ServiceName service("s" + std::to_string(i));
    CHECK(membership.CoordinatorOf(service, MemberOf(0), kStart).m_host == strong.m_host);
    strong.m_can_read_store = false;
    membership.RecordHeartbeat(strong, kStart);
    CHECK(membership.CoordinatorOf(service, MemberOf(0), kStart).m_host != strong.m_host);
    strong.m_can_read_store = true;
  }
}
