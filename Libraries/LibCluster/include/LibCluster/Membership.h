#pragma once

#include <LibCore/StrongString.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnhitch {

/// One daemon, as its heartbeats describe it.
struct Member
{
  HostName m_host;
  Incarnation m_incarnation;
  DataCenterName m_data_center;
  /// Where it receives heartbeats and accepts peer links.
  SocketAddress m_peer_address;
  SocketAddress m_caller_address;
  /// Shutting down: accepts no further callers.
  bool m_is_leaving = false;
  /// Has loaded the configuration and the endpoint registrations, so it can serve callers.
  bool m_is_ready = false;
  /// Can read the store at present, so its endpoint registrations are up to date.
  bool m_can_read_store = false;
  /// Long-polls the store for new records and announces them to the other daemons.
  bool m_is_reader = false;
  /// CPU that it may use, in thousandths of a core.
  int m_processor_millicores = 0;
  /// Its new connections lead to endpoints. One that reaches none may still coordinate: granting
  /// slots needs no connection to an endpoint.
  bool m_reaches_endpoints = true;
  /// Applies records that store readers forward to it.
  bool m_accepts_records = false;
  /// Knows the other daemons: it has read its own record in the store's member list. Daemons of an
  /// earlier version do not say otherwise.
  bool m_knows_members = true;
  /// Version of the configuration that it has in force, by its latest heartbeat; 0 if unknown.
  std::int64_t m_configuration_version = 0;

  auto operator<=>(const Member&) const = default;
};

/// The known daemons and a heartbeat-based failure detector over them. A daemon becomes known
/// through the store's member list or through its own heartbeats; either is enough. The list is
/// complete once this daemon has read its own record in it: a daemon that was listed before is
/// known, and one that is listed later learns of this one. Until then there may be others. Pure:
/// owns no clock. Not thread-safe.
class Membership
{
public:
  struct Limits
  {
    /// Time without a heartbeat after which a daemon counts as not alive: three heartbeats lost in
    /// a row.
    Milliseconds m_heartbeat_timeout{ 700 };
    /// How long a daemon whose link failed is not chosen as coordinator.
    Milliseconds m_suspected_for{ 1'000 };
    /// Time without a heartbeat after which a daemon that the store no longer lists is removed.
    Milliseconds m_removed_after{ 30'000 };
  };

  Membership(Limits aLimits, HostName aOwnHost)
    : m_limits(aLimits)
    , m_own_host(std::move(aOwnHost))
  {
  }

  /// Sets the time without a heartbeat after which a daemon counts as not alive.
  void SetHeartbeatTimeout(Milliseconds aTimeout) { m_limits.m_heartbeat_timeout = aTimeout; }
  /// Records that this daemon's own record was read in the store's member list. It is not forgotten
  /// when the store can no longer be read.
  void MarkComplete() { m_is_complete = true; }
  bool IsComplete() const { return m_is_complete; }
  /// Sets how many daemons there may be, this one included, as long as the list is not complete.
  void SetMaxCount(std::size_t aMaxCount) { m_max_count = aMaxCount; }
  /// How many daemons, this one included, may use what all share: those that are known, and at
  /// least the maximum as long as the list is not complete.
  std::size_t CountForShares() const;
  /// Records a daemon of the store's member list. Its own heartbeats take precedence over the list.
  void RecordListed(const Member& aMember);
  void RecordUnlisted(const HostName& aHost);
  /// Records a daemon's heartbeat. Returns whether its incarnation is new.
  bool RecordHeartbeat(const Member& aMember, TimePoint aNow);
  /// Excludes a daemon from CoordinatorOf() for m_suspected_for: its link failed or it did not
  /// respond.
  void Suspect(const HostName& aHost, TimePoint aNow);
  /// Removes unlisted daemons whose last heartbeat is older than m_removed_after.
  void RemoveStale(TimePoint aNow);

  /// The other daemons that are alive.
  std::vector<Member> AliveMembers(TimePoint aNow) const
  {
    return MembersAliveWithin(m_limits.m_heartbeat_timeout, aNow);
  }
  /// The other daemons whose last heartbeat is at most aMaxSilence old.
  std::vector<Member> MembersAliveWithin(Duration aMaxSilence, TimePoint aNow) const;
  /// Whether at least half of CountForShares() daemons, this one included, are alive. Fewer are
  /// heard by a daemon that is cut off with a minority, or does not know the others.
  bool HearsHalf(TimePoint aNow) const;
  /// All other daemons, alive or not.
  std::vector<Member> KnownMembers() const;
  std::optional<Member> Find(const HostName& aHost) const;
  bool IsAlive(const HostName& aHost, TimePoint aNow) const
  {
    return IsAliveWithin(aHost, m_limits.m_heartbeat_timeout, aNow);
  }
  bool IsAliveWithin(const HostName& aHost, Duration aMaxSilence, TimePoint aNow) const;

  /// The coordinator of a service, which grants its slots, as this daemon sees it. Considers this
  /// daemon (aSelf) and the others that are alive and not suspected. Daemons that are ready and not
  /// leaving come first, among them those that know the others, then those that can read the store,
  /// then hosts with more CPU, since a coordinator decides for all daemons. Among equals a hash of
  /// service and host decides
  /// (rendezvous hashing), so that daemons with the same view choose the same coordinator and
  /// services spread over the hosts.
  Member CoordinatorOf(const ServiceName& aService, const Member& aSelf, TimePoint aNow) const;
  /// The daemon that becomes the coordinator of a service when this daemon, the coordinator, fails;
  /// nothing if no other daemon is alive.
  std::optional<Member> SuccessorOf(const ServiceName& aService, TimePoint aNow) const;

private:
  struct Entry
  {
    Member m_member;
    bool m_is_listed = false;
    std::optional<TimePoint> m_last_heartbeat_at;
    std::optional<TimePoint> m_suspected_at;
  };

  /// The better of aBest, which may be null, and the other daemons; see CoordinatorOf().
  const Member* BestCoordinator(const ServiceName& aService,
                                const Member* aBest,
                                TimePoint aNow) const;
  static bool IsAliveWithin(const Entry& aKnown, Duration aMaxSilence, TimePoint aNow);

  Limits m_limits;
  HostName m_own_host;
  std::map<HostName, Entry> m_members;
  bool m_is_complete = false;
  std::size_t m_max_count = 1;
};

}
