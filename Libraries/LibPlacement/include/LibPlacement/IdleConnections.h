#pragma once

#include <LibCore/Time.h>
#include <LibRegistry/EndpointRegistry.h>
#include <absl/container/flat_hash_map.h>
#include <vector>

namespace auburnhitch {

/// How long a daemon keeps an idle connection to an endpoint that states no time. Endpoints
/// announce in whole seconds how long they keep an idle connection, so one that announces nothing
/// may close it in less than a second.
constexpr Milliseconds kIdleConnectionLifetime{ 700 };

/// The connections to one endpoint that daemons probably keep idle, as a coordinator knows them
/// from the requests that it granted and that ended. Responds to a load in which many daemons
/// spread requests over many endpoints, so that a connection is often closed before its daemon
/// sends the next request there. Uses no clock of its own. Not thread-safe.
class IdleConnections
{
public:
  /// Records that a request of a daemon has ended and left its connection open.
  void RecordIdle(const Incarnation& aDaemon, TimePoint aNow);
  /// Records that a daemon is granted a request, which uses the connection that became idle last.
  void RecordUsed(const Incarnation& aDaemon, TimePoint aNow);
  /// Whether a request that is granted now probably finds an idle connection.
  bool Has(const Incarnation& aDaemon, TimePoint aNow) const;
  void ForgetDaemon(const Incarnation& aDaemon) { m_idle_since.erase(aDaemon); }

private:
  /// When the connections of each daemon became idle, in ascending order.
  absl::flat_hash_map<Incarnation, std::vector<TimePoint>> m_idle_since;
};

}
