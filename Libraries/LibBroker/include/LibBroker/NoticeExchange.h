#pragma once

#include <LibBroker/KnownLimits.h>
#include <LibBroker/LeavingEndpoints.h>
#include <LibBroker/SlotCoordinator.h>
#include <LibBroker/SlotMessages.h>

namespace auburnhitch {

/// Exchanges between daemons what endpoints state about themselves: a daemon reports the statements
/// in the responses that it receives to the coordinator, and the coordinator informs all daemons of
/// changes, so that each of them can succeed it. A rest concerns only the daemon that was asked for
/// it, which reports it to each new coordinator. Owns neither a socket nor a clock. Not
/// thread-safe.
class NoticeExchange
{
public:
  using Sender = std::function<void(const EndpointNoticeMessage& aNotice)>;
  using UnavailableHandler = std::function<void(const EndpointIncarnation& aEndpoint)>;

  /// aOwn: this daemon. aInformAll: sends a notice to all daemons that have a link to this one.
  /// aOnUnavailable: called when this daemon learns that an endpoint wants no further requests of
  /// it: it leaves or rests. Precondition: the coordinator outlives the exchange.
  NoticeExchange(Incarnation aOwn,
                 SlotCoordinator& aCoordinator,
                 Sender aInformAll,
                 UnavailableHandler aOnUnavailable);

  /// Records the statements in a response to a request of this daemon. aSentAt: a time not later
  /// than that at which the request was sent. Returns the notices that the coordinator needs.
  std::vector<EndpointNoticeMessage> RecordResponse(const ServiceName& aService,
                                                    std::uint64_t aNumber,
                                                    const EndpointIncarnation& aEndpoint,
                                                    const EndpointNotice& aStated,
                                                    TimePoint aSentAt,
                                                    TimePoint aNow);
  /// Handles a notice of a daemon, or of this one, as coordinator. Returns the notice with which to
  /// correct what the sender knows, if that differs.
  std::optional<EndpointNoticeMessage> OnReport(const Incarnation& aDaemon,
                                                const EndpointNoticeMessage& aNotice,
                                                TimePoint aNow);
  /// Records the statements in a response that another daemon has passed on. That one reports them;
  /// here only a statement to leave binds, since limits come from the coordinator and a rest is
  /// asked of the daemon that sent the request.
  void RecordForwarded(const ServiceName& aService,
                       const EndpointIncarnation& aEndpoint,
                       const EndpointNotice& aStated,
                       TimePoint aNow);
  /// Handles a notice of the coordinator.
  void OnInformed(const EndpointNoticeMessage& aNotice, TimePoint aNow);

  /// What a new coordinator of a service needs to know.
  std::vector<EndpointNoticeMessage> NoticesForCoordinator(const ServiceName& aService,
                                                           TimePoint aNow) const;
  /// What a daemon that opens a link needs to know.
  std::vector<EndpointNoticeMessage> NoticesForDaemon() const;
  /// The rate limit that an endpoint states, as far as this daemon knows.
  std::optional<RequestRate> KnownLimitOf(const EndpointIncarnation& aEndpoint) const
  {
    return m_known.LimitOf(aEndpoint);
  }
  /// Whether an endpoint has said that it leaves, as far as this daemon knows.
  bool IsLeaving(const EndpointIncarnation& aEndpoint) const
  {
    return m_leaving.Contains(aEndpoint);
  }
  /// Whether an endpoint has asked this daemon for a rest that has not ended.
  bool IsResting(const EndpointIncarnation& aEndpoint, TimePoint aNow) const
  {
    return m_own_rests.EndOf(aEndpoint, m_own, aNow).has_value();
  }
  /// Handles the registration of an incarnation; see RecordRegistered() of LeavingEndpoints and
  /// EndpointRests. Call before the coordinator reads the endpoints again.
  void OnRegistered(const ServiceName& aService,
                    const EndpointIncarnation& aEndpoint,
                    TimePoint aReadableSince,
                    TimePoint aNow);
  /// Drops what is known of endpoints that are not registered any more; see LeavingEndpoints for
  /// those that leave. Call when registrations have changed, and at intervals of some seconds.
  void RetainEndpoints(const SlotCoordinator::EndpointSource& aRegistered, TimePoint aNow);

private:
  /// Records that an endpoint leaves, and withdraws its slots. Returns whether that is new.
  bool RecordLeaving(const ServiceName& aService,
                     const EndpointIncarnation& aEndpoint,
                     const char* aSource,
                     TimePoint aNow);
  /// Records that an endpoint wants no requests of this daemon for a while. Returns whether a known
  /// rest does not last as long.
  bool RecordRest(const ServiceName& aService,
                  const EndpointIncarnation& aEndpoint,
                  Milliseconds aRest,
                  TimePoint aNow);
  /// Records the rate limit that a response stated. Returns whether the coordinator needs to know.
  bool RecordLimit(const ServiceName& aService,
                   const EndpointIncarnation& aEndpoint,
                   const EndpointNotice& aStated,
                   TimePoint aSentAt,
                   TimePoint aNow);

  Incarnation m_own;
  SlotCoordinator& m_coordinator;
  Sender m_inform_all;
  UnavailableHandler m_on_unavailable;
  KnownLimits m_known;
  LeavingEndpoints m_leaving;
  /// What endpoints have asked this daemon for. It binds at once, whoever coordinates.
  EndpointRests m_own_rests;
};

}
