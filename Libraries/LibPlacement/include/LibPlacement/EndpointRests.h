#pragma once

#include <LibCore/Time.h>
#include <LibRegistry/EndpointRegistry.h>
#include <map>
#include <optional>
#include <vector>

namespace auburnhitch {

/// A rest that an endpoint has asked a daemon for.
struct EndpointRest
{
  EndpointIncarnation m_endpoint;
  Milliseconds m_left{ 0 };

  auto operator<=>(const EndpointRest&) const = default;
};

/// The rests that endpoints have asked daemons for: until its end, the daemon sends the endpoint no
/// requests. A rest binds one daemon, and ends early only with the incarnation of the endpoint,
/// unless the next one may have asked for it. Owns no clock. Not thread-safe.
class EndpointRests
{
public:
  /// Beyond aMaxEntries pairs of a daemon and an endpoint, those that end first are dropped.
  explicit EndpointRests(std::size_t aMaxEntries)
    : m_max_entries(aMaxEntries)
  {
  }

  /// Records a rest. Of several, the one that ends last counts. Returns whether this one does.
  bool Record(const ServiceName& aService,
              const EndpointIncarnation& aEndpoint,
              const Incarnation& aDaemon,
              Milliseconds aRest,
              TimePoint aNow);
  /// When a rest ends; nothing if the endpoint accepts requests of the daemon.
  std::optional<TimePoint> EndOf(const EndpointIncarnation& aEndpoint,
                                 const Incarnation& aDaemon,
                                 TimePoint aNow) const;
  /// The rests that endpoints of a service have asked a daemon for.
  std::vector<EndpointRest> Of(const ServiceName& aService,
                               const Incarnation& aDaemon,
                               TimePoint aNow) const;
  /// Handles the registration of an incarnation. A rest that the one before has asked for lately
  /// may have been asked for by this one, before its registration was read: it then holds for both.
  /// aReadableSince: since when the store could be reached.
  void RecordRegistered(const EndpointIncarnation& aEndpoint,
                        TimePoint aReadableSince,
                        TimePoint aNow);
  bool IsEmpty() const { return m_entries.empty(); }
  std::size_t Size() const { return m_entries.size(); }
  /// Call at intervals.
  void DropExpired(TimePoint aNow);

private:
  using Key = std::pair<EndpointIncarnation, Incarnation>;

  struct Entry
  {
    ServiceName m_service;
    TimePoint m_until;
    TimePoint m_stated_at;
  };

  void DropFirstToEnd();

  std::size_t m_max_entries;
  std::map<Key, Entry> m_entries;
};

}
