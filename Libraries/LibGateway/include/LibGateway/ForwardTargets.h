#pragma once

#include <LibCluster/Membership.h>
#include <map>
#include <optional>
#include <vector>

namespace auburnhitch {

/// Chooses the daemon through which a daemon that cannot reach the endpoints sends a request. Takes
/// them in turn, those of its own data centre first. Not thread-safe.
class ForwardTargets
{
public:
  /// aMembership outlives this object.
  ForwardTargets(const Membership& aMembership, DataCenterName aOwnDataCenter)
    : m_membership(aMembership)
    , m_own_data_center(std::move(aOwnDataCenter))
  {
  }

  /// Returns a daemon that is alive, takes callers, is not in aTried and has a configuration of at
  /// least this version in force; nothing if there is none.
  std::optional<Member> Choose(const std::vector<HostName>& aTried,
                               std::int64_t aMinConfigurationVersion,
                               TimePoint aNow);
  /// Records that a daemon could not serve what was forwarded to it. It is left out for a while.
  void RecordUnable(const HostName& aHost, TimePoint aNow) { m_unable_at[aHost] = aNow; }
  bool IsAlive(const HostName& aHost, TimePoint aNow) const
  {
    return m_membership.IsAlive(aHost, aNow);
  }

private:
  const Membership& m_membership;
  DataCenterName m_own_data_center;
  std::map<HostName, TimePoint> m_unable_at;
  std::size_t m_turn = 0;
};

}
