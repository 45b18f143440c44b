#include <LibCluster/StoreReaderSelector.h>

#include <algorithm>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace auburnhitch {

namespace {

std::uint64_t
RankOf(const HostName& aHost)
{
  return XXH3_64bits(aHost.Value().data(), aHost.Value().size());
}

bool
CanRead(const Member& aMember)
{
  return aMember.m_is_ready && aMember.m_can_read_store && !aMember.m_is_leaving;
}

}

bool
StoreReaderSelector::IsReader(const Member& aSelf,
                              const Membership& aMembership,
                              TimePoint aNow) const
{
  if (!CanRead(aSelf)) {
    return true;
  }
  const std::vector<Member> heard =
    aMembership.MembersAliveWithin(m_limits.m_heartbeat_timeout, aNow);
  const bool has_reader = std::any_of(heard.begin(), heard.end(), [](const Member& aMember) {
    return CanRead(aMember) && aMember.m_is_reader;
  });
  if (!has_reader) {
    return true;
  }
  // Those that are no readers are heard more seldom and count as well, so that the order is the
  // same for all; a reader that has fallen silent does not.
  const std::vector<Member> candidates = aMembership.AliveMembers(aNow);
  const std::uint64_t own = RankOf(aSelf.m_host);
  const auto before =
    std::count_if(candidates.begin(), candidates.end(), [&](const Member& aMember) {
      const bool is_silent_reader =
        aMember.m_is_reader &&
        !aMembership.IsAliveWithin(aMember.m_host, m_limits.m_heartbeat_timeout, aNow);
      return CanRead(aMember) && !is_silent_reader &&
             aMember.m_data_center == aSelf.m_data_center && RankOf(aMember.m_host) > own;
    });
  return static_cast<std::size_t>(before) < m_limits.m_readers_per_data_center;
}

}
