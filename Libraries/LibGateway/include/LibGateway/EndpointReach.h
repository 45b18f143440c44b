#pragma once

#include <LibCore/Time.h>
#include <LibRegistry/EndpointRegistry.h>
#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace auburnhitch {

/// Decides from a daemon's own connections whether the daemon can reach the endpoints. A connection
/// that was established shows that not all are refused, but something on the path may have accepted
/// it: only bytes of an endpoint show that it is reached. Uses no clock of its own. Not
/// thread-safe.
class EndpointReach
{
public:
  struct Limits
  {
    /// Endpoints that must have failed in one of the ways below; one alone may have crashed.
    std::size_t m_min_endpoints = 2;
    /// How long failures count. Without requests, nothing shows that a path is healed.
    Milliseconds m_failure_lifetime{ 3'000 };
    /// Time without a byte of any endpoint after which they count as silent.
    Milliseconds m_min_silence{ 500 };
    /// Time without a byte after which the request on a new connection counts as unanswered while
    /// all endpoints are silent; longer than a prompt is read on a loaded engine.
    Milliseconds m_unanswered_after{ 1'000 };
    /// How often one request of a daemon that cannot connect tries to reach an endpoint itself.
    Milliseconds m_trial_interval{ 500 };
  };

  explicit EndpointReach(Limits aLimits)
    : m_limits(aLimits)
  {
  }

  /// A new connection was established.
  void RecordConnected();
  /// Bytes of an endpoint have arrived. aIsNewConnection: whether the connection was opened for the
  /// request to which they respond.
  void RecordHeard(bool aIsNewConnection, TimePoint aNow);
  /// No connection to an endpoint could be established.
  void RecordConnectFailure(const EndpointId& aEndpoint, TimePoint aNow);
  /// A new connection was established, and broke without a byte of a response.
  void RecordUnanswered(const EndpointId& aEndpoint, TimePoint aNow);
  /// An endpoint owes bytes of a response. aSilence: since when. aIsUnanswered: whether it has sent
  /// none since the request was written to a new connection.
  void RecordAwaited(const EndpointId& aEndpoint,
                     Duration aSilence,
                     bool aIsUnanswered,
                     TimePoint aNow);
  /// A request is given up that was written to a new connection and got no byte of a response.
  void RecordGivenUp(const EndpointId& aEndpoint, Duration aSilence, TimePoint aNow);

  /// Whether no new connection leads to any endpoint, as far as recent requests show. Those that
  /// are open may live on.
  bool CannotConnect(TimePoint aNow) const;
  /// Whether in addition nothing is heard on the connections that are open.
  bool IsCutOff(TimePoint aNow) const;
  /// Whether in addition connections are not even established. Endpoints that reset connections
  /// look like a path that does; only this shows that a request would not be sent.
  bool IsRefusedByAll(TimePoint aNow) const;
  /// For how long nothing has been heard of any endpoint.
  Duration Silence(TimePoint aNow) const { return aNow - m_heard_at; }
  /// Whether connections that are open may carry further requests. If several endpoints are silent
  /// at once, only a new connection shows whether they can be reached.
  bool MayReuseConnections(TimePoint aNow) const { return !IsSilent(aNow) && !IsCutOff(aNow); }
  /// Whether the next request should not try to reach an endpoint from here. False at intervals
  /// while no new connection leads to an endpoint: the request that asked is the trial. If
  /// connections are established all the same, it may be lost, so only one that may run again is.
  /// aMayRunAgain: whether that request may.
  bool ShouldAvoid(bool aMayRunAgain, TimePoint aNow);
  /// The evidence for logs: each endpoint that failed and how, how long ago the last one did, for
  /// how long nothing has been heard, and which endpoints owe bytes meanwhile.
  std::string Describe(TimePoint aNow) const;

private:
  /// How a new connection to an endpoint has failed.
  enum class Failure
  {
    NotEstablished,
    Unanswered,
  };

  bool IsSilent(TimePoint aNow) const;
  std::size_t Count(Failure aFailure) const;
  void RecordFailure(const EndpointId& aEndpoint, Failure aFailure, TimePoint aNow);

  Limits m_limits;
  TimePoint m_heard_at;
  /// The endpoints that have been silent since a byte of any endpoint arrived.
  std::set<EndpointId> m_silent;
  /// How the last new connection to each endpoint has failed, since any responded on a new one.
  /// Those that were not established count only until one is.
  std::map<EndpointId, Failure> m_failures;
  TimePoint m_failed_at;
  TimePoint m_trial_at;
};

}
