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
CanBeReader(const Member& aMember)
{
  return aMember.m_is_ready && aMember.m_can_read_store && !aMember.m_is_leaving;
}

}

bool
StoreReaderSelector::IsReader(const Member& aSelf,
                              const Membership& aMembership,
                              TimePoint aNow) const
{
  if (!CanBeReader(aSelf)) {
    return true;
  }
  const std::vector<Member> alive =
    aMembership.MembersAliveWithin(m_limits.m_heartbeat_timeout, aNow);
  const bool has_reader = std::any_of(alive.begin(), alive.end(), [](const Member& aMember) {
    return CanBeReader(aMember) && aMember.m_is_reader;
  });
  if (!has_reader) {
    return true;
  }
  // Daemons that are not readers send heartbeats less often, so the membership's longer timeout
  // decides whether they are candidates; all daemons then compute the same order. A reader whose
  // heartbeats have stopped for the reader timeout is no candidate.
  const std::vector<Member> candidates = aMembership.AliveMembers(aNow);
  const std::uint64_t own_rank = RankOf(aSelf.m_host);
  const auto higher_ranked =
    std::count_if(candidates.begin(), candidates.end(), [&](const Member& aMember) {
      const bool is_failed_reader =
        aMember.m_is_reader &&
        !aMembership.IsAliveWithin(aMember.m_host, m_limits.m_heartbeat_timeout, aNow);
      return CanBeReader(aMember) && !is_failed_reader &&
             aMember.m_data_center == aSelf.m_data_center && RankOf(aMember.m_host) > own_rank;
    });
  return static_cast<std::size_t>(higher_ranked) < m_limits.m_readers_per_data_center;
}

}
