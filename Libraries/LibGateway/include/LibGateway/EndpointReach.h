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
/// it: only bytes of an endpoint show that it is reached. Silence shows nothing by itself, since
/// endpoints at work are silent too; it raises the question that a PathProbe answers. Uses no clock
/// of its own. Not thread-safe.
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
    /// The time between the beginnings of two rounds of probes.
    Milliseconds m_probe_interval{ 1'000 };
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
  /// A new connection was established, and broke without a byte of a response; or a probe on it got
  /// none in time.
  void RecordUnanswered(const EndpointId& aEndpoint, TimePoint aNow);
  /// An endpoint owes bytes of a response. aSilence: since when.
  void RecordAwaited(const EndpointId& aEndpoint, Duration aSilence, TimePoint aNow);
  /// An endpoint has answered a probe, which goes over a new connection.
  void RecordProbeAnswered();
  /// This process did not run until now. Bytes that have arrived meanwhile have not been read.
  void RecordPaused(TimePoint aNow);
  /// Whether endpoints should be probed now: several are silent at once, or no new connection leads
  /// to one. Counts as the beginning of a round of probes if it returns true.
  bool ShouldProbe(TimePoint aNow);
  /// The endpoints that are silent or whose last new connection has failed.
  std::set<EndpointId> InQuestion() const;

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
  /// at once, only a new connection shows whether they can be reached; that a probe on one was
  /// answered says nothing of those that are open.
  bool MayReuseConnections(TimePoint aNow) const
  {
    return !m_must_connect && !IsSilent(aNow) && !IsCutOff(aNow);
  }
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
  /// Whether no byte of a response has arrived since a probe was answered amid silence.
  bool m_must_connect = false;
  /// How the last new connection to each endpoint has failed, since any responded on a new one.
  /// Those that were not established count only until one is.
  std::map<EndpointId, Failure> m_failures;
  TimePoint m_failed_at;
  TimePoint m_trial_at;
  TimePoint m_probed_at;
};

}
