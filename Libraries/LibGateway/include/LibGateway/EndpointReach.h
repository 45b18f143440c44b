#pragma once

#include <LibCore/Time.h>
#include <LibRegistry/EndpointRegistry.h>
#include <cstddef>
#include <set>

namespace auburnhitch {

/// Decides from a daemon's own connections whether the daemon can reach the endpoints. Uses no
/// clock of its own. Not thread-safe.
class EndpointReach
{
public:
  struct Limits
  {
    /// Endpoints to which connecting must have failed since a connection to any of them was
    /// established; one alone may have crashed.
    std::size_t m_min_endpoints = 2;
    /// How long failures to connect count. Without requests, nothing shows that a path is healed.
    Milliseconds m_failure_lifetime{ 3'000 };
    /// Time without a byte of any endpoint after which they count as silent.
    Milliseconds m_min_silence{ 500 };
    /// How often one request of a daemon that cannot connect tries to reach an endpoint itself.
    Milliseconds m_trial_interval{ 500 };
  };

  explicit EndpointReach(Limits aLimits)
    : m_limits(aLimits)
  {
  }

  /// A connection to an endpoint was established.
  void RecordConnected(TimePoint aNow);
  /// Bytes of an endpoint have arrived.
  void RecordHeard(TimePoint aNow);
  /// No connection to an endpoint could be established.
  void RecordConnectFailure(const EndpointId& aEndpoint, TimePoint aNow);
  /// aEndpoints: those that have owed bytes of a response for at least the minimum silence.
  void RecordAwaited(const std::set<EndpointId>& aEndpoints, TimePoint aNow);

  /// Whether no connection can be established to any endpoint, as far as recent requests show.
  /// Those that are open may live on.
  bool CannotConnect(TimePoint aNow) const;
  /// Whether in addition nothing is heard on the connections that are open.
  bool IsCutOff(TimePoint aNow) const;
  /// Whether connections that are open may carry further requests. If several endpoints are silent
  /// at once, only a new connection shows whether they can be reached.
  bool MayReuseConnections(TimePoint aNow) const { return !m_is_silent && !IsCutOff(aNow); }
  /// Whether the next request should not try to reach an endpoint from here. False at intervals
  /// while no connection can be established: the request that asked is the trial.
  bool ShouldAvoid(TimePoint aNow);

private:
  Limits m_limits;
  TimePoint m_heard_at;
  bool m_is_silent = false;
  std::set<EndpointId> m_unreached;
  TimePoint m_failed_at;
  TimePoint m_trial_at;
};

}
