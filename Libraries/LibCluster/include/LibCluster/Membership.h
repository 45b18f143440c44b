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
  bool m_is_current = false;
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
    Milliseconds m_heard_for{ 700 };
    /// Time for which a daemon whose link failed is passed over.
    Milliseconds m_distrusted_for{ 1'000 };
    /// Silence after which a daemon that the store no longer lists is forgotten.
    Milliseconds m_forgotten_after{ 30'000 };
  };

  Membership(Limits aLimits, HostName aOwn)
    : m_limits(aLimits)
    , m_own(std::move(aOwn))
  {
  }

  /// Sets the silence after which a daemon counts as not heard.
  void SetHeardFor(Milliseconds aHeardFor) { m_limits.m_heard_for = aHeardFor; }
  /// Takes a daemon from the store's list. What it said itself goes before that.
  void NoteListed(const Member& aMember);
  void NoteUnlisted(const HostName& aHost);
  /// Takes a daemon's own word. Returns whether it is a new incarnation.
  bool NoteHeard(const Member& aMember, TimePoint aNow);
  /// Passes a daemon over for a while: its link failed or it did not answer.
  void Distrust(const HostName& aHost, TimePoint aNow);
  void Forget(TimePoint aNow);

  /// Daemons that are heard, without this one.
  std::vector<Member> Heard(TimePoint aNow) const
  {
    return HeardWithin(m_limits.m_heard_for, aNow);
  }
  /// Daemons that were heard within a time.
  std::vector<Member> HeardWithin(Duration aTime, TimePoint aNow) const;
  /// All others, heard or not.
  std::vector<Member> Known() const;
  std::optional<Member> Find(const HostName& aHost) const;
  bool IsHeard(const HostName& aHost, TimePoint aNow) const
  {
    return IsHeardWithin(aHost, m_limits.m_heard_for, aNow);
  }
  bool IsHeardWithin(const HostName& aHost, Duration aTime, TimePoint aNow) const;

  /// The daemon that grants the places of a service, from the point of view of this one: the first
  /// in an order that depends on the service and on the hosts alone, among those that are heard;
  /// hosts with more processor go first, since a home decides for all daemons.
  /// aSelf is this daemon.
  Member HomeOf(const ServiceName& aService, const Member& aSelf, TimePoint aNow) const;

private:
  struct Entry
  {
    Member m_member;
    bool m_is_listed = false;
    std::optional<TimePoint> m_heard_at;
    std::optional<TimePoint> m_distrusted_at;
  };

  static bool IsHeardWithin(const Entry& aKnown, Duration aTime, TimePoint aNow);

  Limits m_limits;
  HostName m_own;
  std::map<HostName, Entry> m_members;
};

}
