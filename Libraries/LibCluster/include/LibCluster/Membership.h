#pragma once

#include <LibCore/StrongString.h>
#include <LibCore/Time.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnhitch {

/// One daemon, as it describes itself.
struct Member
{
  HostName m_host;
  Incarnation m_incarnation;
  DataCenterName m_data_center;
  /// Where it takes beacons and links of other daemons.
  SocketAddress m_peer_address;
  SocketAddress m_caller_address;
  /// Takes no further callers.
  bool m_is_leaving = false;
  /// Has a configuration and endpoints, so that it can serve callers.
  bool m_is_ready = false;
  /// Reads the store at present, so that its endpoints are those of now.
  bool m_can_read_store = false;
  /// Waits at the store for new records and tells the others.
  bool m_is_reader = false;
  /// Processor that it may use, in thousandths of a core.
  int m_processor_millicores = 0;

  auto operator<=>(const Member&) const = default;
};

/// Which daemons there are and which of them are heard. Daemons are known from the store's list and
/// from their own beacons, so that either is enough. Pure: owns no clock. Not thread-safe.
class Membership
{
public:
  struct Limits
  {
    /// Silence after which a daemon counts as not heard: three beacons lost in a row.
    Milliseconds m_heartbeat_timeout{ 700 };
    /// Time for which a daemon whose link failed is passed over.
    Milliseconds m_suspected_for{ 1'000 };
    /// Silence after which a daemon that the store no longer lists is forgotten.
    Milliseconds m_removed_after{ 30'000 };
  };

  Membership(Limits aLimits, HostName aOwnHost)
    : m_limits(aLimits)
    , m_own_host(std::move(aOwnHost))
  {
  }

  /// Sets the silence after which a daemon counts as not heard.
  void SetHeartbeatTimeout(Milliseconds aTimeout) { m_limits.m_heartbeat_timeout = aTimeout; }
  /// Takes a daemon from the store's list. What it said itself goes before that.
  void RecordListed(const Member& aMember);
  void RecordUnlisted(const HostName& aHost);
  /// Takes a daemon's own word. Returns whether it is a new incarnation.
  bool RecordHeartbeat(const Member& aMember, TimePoint aNow);
  /// Passes a daemon over for a while: its link failed or it did not answer.
  void Suspect(const HostName& aHost, TimePoint aNow);
  void RemoveStale(TimePoint aNow);

  /// Daemons that are heard, without this one.
  std::vector<Member> AliveMembers(TimePoint aNow) const
  {
    return MembersAliveWithin(m_limits.m_heartbeat_timeout, aNow);
  }
  /// Daemons that were heard within a time.
  std::vector<Member> MembersAliveWithin(Duration aMaxSilence, TimePoint aNow) const;
  /// All others, heard or not.
  std::vector<Member> KnownMembers() const;
  std::optional<Member> Find(const HostName& aHost) const;
  bool IsAlive(const HostName& aHost, TimePoint aNow) const
  {
    return IsAliveWithin(aHost, m_limits.m_heartbeat_timeout, aNow);
  }
  bool IsAliveWithin(const HostName& aHost, Duration aMaxSilence, TimePoint aNow) const;

  /// The daemon that grants the places of a service, from the point of view of this one: the first
  /// in an order that depends on the service and on the hosts alone, among those that are heard;
  /// hosts with more processor go first, since a home decides for all daemons.
  /// aSelf is this daemon.
  Member CoordinatorOf(const ServiceName& aService, const Member& aSelf, TimePoint aNow) const;

private:
  struct Entry
  {
    Member m_member;
    bool m_is_listed = false;
    std::optional<TimePoint> m_last_heartbeat_at;
    std::optional<TimePoint> m_suspected_at;
  };

  static bool IsAliveWithin(const Entry& aKnown, Duration aMaxSilence, TimePoint aNow);

  Limits m_limits;
  HostName m_own_host;
  std::map<HostName, Entry> m_members;
};

}
