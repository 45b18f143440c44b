#include <LibCluster/Membership.h>

#include <algorithm>
#include <tuple>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace auburnhitch {

namespace {

std::uint64_t
RankOf(const ServiceName& aService, const HostName& aHost)
{
  const std::string mixed = aService.Value() + '\0' + aHost.Value();
  return XXH3_64bits(mixed.data(), mixed.size());
}

}

void
Membership::RecordListed(const Member& aMember)
{
  if (aMember.m_host == m_own_host) {
    return;
  }
  Entry& known = m_members[aMember.m_host];
  known.m_is_listed = true;
  if (!known.m_last_heartbeat_at) {
    known.m_member = aMember;
  }
}

void
Membership::RecordUnlisted(const HostName& aHost)
{
  const auto found = m_members.find(aHost);
  if (found == m_members.end()) {
    return;
  }
  found->second.m_is_listed = false;
  if (!found->second.m_last_heartbeat_at) {
    m_members.erase(found);
  }
}

bool
Membership::RecordHeartbeat(const Member& aMember, TimePoint aNow)
{
  if (aMember.m_host == m_own_host) {
    return false;
  }
  Entry& known = m_members[aMember.m_host];
  const bool is_new = known.m_member.m_incarnation != aMember.m_incarnation;
  if (is_new) {
    known.m_suspected_at = std::nullopt;
  }
  known.m_member = aMember;
  known.m_last_heartbeat_at = aNow;
  return is_new;
}

void
Membership::Suspect(const HostName& aHost, TimePoint aNow)
{
  const auto found = m_members.find(aHost);
  if (found != m_members.end()) {
    found->second.m_suspected_at = aNow;
  }
}

void
Membership::RemoveStale(TimePoint aNow)
{
  std::erase_if(m_members, [&](const auto& aEntry) {
    const Entry& known = aEntry.second;
    return !known.m_is_listed && known.m_last_heartbeat_at &&
           aNow - *known.m_last_heartbeat_at > m_limits.m_removed_after;
  });
}

bool
Membership::IsAliveWithin(const Entry& aKnown, Duration aMaxSilence, TimePoint aNow)
{
  return aKnown.m_last_heartbeat_at && aNow - *aKnown.m_last_heartbeat_at <= aMaxSilence;
}

bool
Membership::IsAliveWithin(const HostName& aHost, Duration aMaxSilence, TimePoint aNow) const
{
  const auto found = m_members.find(aHost);
  return found != m_members.end() && IsAliveWithin(found->second, aMaxSilence, aNow);
}

std::vector<Member>
Membership::MembersAliveWithin(Duration aMaxSilence, TimePoint aNow) const
{
  std::vector<Member> alive;
  for (const auto& [host, known] : m_members) {
    if (IsAliveWithin(known, aMaxSilence, aNow)) {
      alive.push_back(known.m_member);
    }
  }
  return alive;
}

bool
Membership::HearsHalf(TimePoint aNow) const
{
  return 2 * (AliveMembers(aNow).size() + 1) >= CountForShares();
}

std::size_t
Membership::CountForShares() const
{
  const std::size_t known = m_members.size() + 1;
  return m_is_complete ? known : std::max(known, m_max_count);
}

std::vector<Member>
Membership::KnownMembers() const
{
  std::vector<Member> known;
  known.reserve(m_members.size());
  for (const auto& [host, entry] : m_members) {
    known.push_back(entry.m_member);
  }
  return known;
}

std::optional<Member>
Membership::Find(const HostName& aHost) const
{
  const auto found = m_members.find(aHost);
  return found == m_members.end() ? std::nullopt : std::optional(found->second.m_member);
}

const Member*
Membership::BestCoordinator(const ServiceName& aService, const Member* aBest, TimePoint aNow) const
{
  // A daemon that is leaving or not ready comes last, before it one that does not know the others;
  // one that can read the store comes before one that cannot.
  const auto order = [&](const Member& aMember) {
    return std::tuple(!aMember.m_is_leaving && aMember.m_is_ready,
                      aMember.m_knows_members,
                      aMember.m_can_read_store,
                      aMember.m_processor_millicores,
                      RankOf(aService, aMember.m_host));
  };
  const Member* best = aBest;
  for (const auto& [host, known] : m_members) {
    const bool is_suspected =
      known.m_suspected_at && aNow - *known.m_suspected_at <= m_limits.m_suspected_for;
    if (IsAliveWithin(known, m_limits.m_heartbeat_timeout, aNow) && !is_suspected &&
        (best == nullptr || order(known.m_member) > order(*best))) {
      best = &known.m_member;
    }
  }
  return best;
}

Member
Membership::CoordinatorOf(const ServiceName& aService, const Member& aSelf, TimePoint aNow) const
{
  return *BestCoordinator(aService, &aSelf, aNow);
}

std::optional<Member>
Membership::SuccessorOf(const ServiceName& aService, TimePoint aNow) const
{
  const Member* best = BestCoordinator(aService, nullptr, aNow);
  return best == nullptr ? std::nullopt : std::optional(*best);
}

}
