#pragma once

#include <LibPlacement/ConcurrencyLimit.h>
#include <LibPlacement/EndpointRateLimit.h>
#include <LibPlacement/IdleConnections.h>
#include <LibPlacement/ServiceTimeModel.h>
#include <absl/container/flat_hash_map.h>
#include <optional>
#include <set>

namespace auburnhitch {

/// What a scheduler needs to know of an endpoint.
struct SlotEndpointInfo
{
  EndpointId m_id;
  DataCenterName m_data_center;
  int m_slots = 1;
  std::int64_t m_started_at_ms = 0;
  SoftwareVersion m_software_version;
  /// The rate limit that this daemon knows the endpoint to state. A scheduler uses it as the
  /// initial limit of an endpoint that is new to it.
  std::optional<RequestRate> m_limit;

  auto operator<=>(const SlotEndpointInfo&) const = default;
};

/// The slots of one endpoint: which requests hold them, how long responses take, and whether the
/// endpoint is suspected to have failed. What a daemon could not reach keeps its origin: it counts
/// against the endpoint for that daemon, and for the others unless the daemon is doubted. Uses no
/// clock of its own. Not thread-safe.
class SlotEndpoint
{
public:
  using Daemons = std::set<Incarnation>;

  /// aIsLearning: whether `learn_concurrency` is set.
  SlotEndpoint(SlotEndpointInfo aInfo, TimePoint aNow, bool aIsLearning = false);

  const SlotEndpointInfo& Info() const { return m_info; }
  void SetInfo(const SlotEndpointInfo& aInfo);
  ServiceTimeModel& Times() { return m_times; }
  const ServiceTimeModel& Times() const { return m_times; }

  /// Grants a slot.
  void Hold(const SlotRequestId& aRequestId, const RequestWork& aWork, TimePoint aNow);
  /// Records a slot that another scheduler granted.
  void Adopt(const SlotRequestId& aRequestId, const RequestWork& aWork, TimePoint aNow);
  bool Holds(const SlotRequestId& aRequestId) const { return m_held.contains(aRequestId); }
  /// Records the first byte of a response. Returns the ratio of the measured to the expected time
  /// to first byte, or nothing if the request holds no slot here or its first byte has been
  /// recorded.
  std::optional<double> RecordStarted(const SlotRequestId& aRequestId, TimePoint aNow);
  /// Frees the slot of a request. Returns whether the request held one here. aDoubted: see
  /// IsSuspect().
  bool RecordEnded(const SlotRequestId& aRequestId,
                   SlotOutcome aOutcome,
                   const Daemons& aDoubted,
                   TimePoint aNow);
  /// Applies the rate limit, or its absence, that a response to this request stated. Without a
  /// request, or if this scheduler did not grant its slot, the statement may be an old one. Returns
  /// whether the limit has changed.
  bool RecordStatedLimit(const std::optional<RequestRate>& aStated,
                         const std::optional<SlotRequestId>& aRequestId,
                         TimePoint aNow);
  const std::optional<RequestRate>& StatedLimit() const { return m_rate.Stated(); }
  void SetRateShare(double aShare, TimePoint aNow) { m_rate.SetShare(aShare, aNow); }

  /// Records that the registration of this incarnation was read again. aReadableSince: when the
  /// store became readable last.
  void RecordRenewed(TimePoint aReadableSince, TimePoint aNow);
  /// Whether the endpoint may have started again under its id since its registration was read: it
  /// could not be reached, and neither has a request that ran there before gone on, nor has the
  /// registration been renewed since. A connection that breaks is no sign of it: most of them break
  /// for other reasons.
  bool MayHaveRestarted(TimePoint aNow) const;

  /// Frees the slots of a daemon that has stopped.
  void ReleaseDaemon(const Incarnation& aDaemon);

  std::size_t HeldCount() const { return m_held.size(); }
  /// How many requests at a time the endpoint takes well, by its responses; the number of its slots
  /// if the endpoint is not learning. A request beyond it is sent here only if no other endpoint
  /// that may serve it has a slot within its limit.
  std::size_t LearnedLimit() const { return m_learned_limit.Limit(); }
  bool IsAtLearnedLimit() const { return HeldCount() >= LearnedLimit(); }
  /// Number of slots that this scheduler may use now, held ones included. aSlotShare is its share
  /// of the endpoint's slots.
  std::size_t ConcurrencyLimit(double aSlotShare, TimePoint aNow) const;
  /// Whether a request may be sent now.
  bool HasFreeSlot(double aSlotShare, TimePoint aNow) const
  {
    return HeldCount() < ConcurrencyLimit(aSlotShare, aNow) && m_rate.Permits(aNow) &&
           !IsTryingAfterRest();
  }
  /// Whether requests are granted slots that will be free when they arrive: where requests hold a
  /// slot for little longer than messages take, slots would otherwise stand idle meanwhile.
  void SetGrantsAhead(bool aGrantsAhead) { m_grants_ahead = aGrantsAhead; }
  /// Records that the endpoint has asked a daemon for rest. From then on it gets one request at a
  /// time until one of them begins to be answered, so that what has waited does not reach it at
  /// once.
  void RecordRest(TimePoint aNow) { m_rest_asked_at = aNow; }
  /// Number of slots that can be in use on average, for requests that hold one for this time: fewer
  /// than the concurrency limit while a rate limit applies.
  double UsableSlots(double aSlotShare, double aSlotTimeMs, TimePoint aNow) const;
  /// Whether the endpoint should get no more work now: it could not be reached, broke a connection,
  /// or a first byte is overdue, at a daemon that is not in aDoubted.
  bool IsSuspect(const Daemons& aDoubted, TimePoint aNow) const;
  /// As IsSuspect(), or the endpoint has failed this daemon, doubted or not.
  bool IsSuspectFor(const Incarnation& aDaemon, const Daemons& aDoubted, TimePoint aNow) const;
  /// Adds the daemons whose failures here are their own: the endpoint has answered another daemon
  /// after it had failed them.
  void FindContradicted(TimePoint aNow, Daemons& aContradicted) const;
  /// Expected time to first byte, behind the prompts of requests that were sent here and have not
  /// started.
  double ExpectedFirstByteMs(const RequestWork& aWork) const;
  /// As ExpectedFirstByteMs(), without other prompts ahead.
  double ExpectedFirstByteAloneMs(const RequestWork& aWork) const
  {
    return m_times.FirstByteSlowness() * ServiceTimeModel::ReferenceFirstByteMs(aWork, 0);
  }
  /// Expected time to the end of a response, without other prompts ahead.
  double ExpectedTotalMs(const RequestWork& aWork) const;
  /// When the request that is expected to end as number aNth, counted from 0, frees its slot.
  /// Nothing if fewer are expected to end: no end is expected of a request that takes longer than
  /// expected.
  std::optional<TimePoint> ExpectedRelease(std::size_t aNth, TimePoint aNow) const;
  /// Whether the last response began so long ago that the expected times may no longer hold, and no
  /// request runs that will renew them.
  bool IsEstimateStale(TimePoint aNow) const;
  /// Share of recent attempts that failed; an EWMA.
  double FailureRate() const { return m_failure_rate; }
  /// Whether a request of a daemon that is sent now probably finds an idle connection.
  bool HasIdleConnection(const Incarnation& aDaemon, TimePoint aNow) const
  {
    return m_idle_connections.Has(aDaemon, aNow);
  }

private:
  struct Held
  {
    RequestWork m_work;
    TimePoint m_granted_at;
    bool m_is_adopted = false;
    double m_expected_first_byte_ms = 0;
    /// The slowness that m_expected_first_byte_ms includes.
    double m_first_byte_slowness = 1;
    /// See m_busy_ms, at the grant.
    double m_busy_before_ms = 0;
    std::optional<TimePoint> m_started_at;
  };

  struct Failures
  {
    TimePoint m_first_at;
    TimePoint m_last_at;
  };

  bool IsOverdue(const Held& aHeld, TimePoint aNow) const;
  /// Whether a request runs that was granted since the endpoint asked for rest, and none has been
  /// answered since.
  bool IsTryingAfterRest() const;
  void Insert(const SlotRequestId& aRequestId, const Held& aHeld);
  /// Updates m_busy_ms. Called before the number of held slots changes, except when a daemon stops.
  void CountBusyTime(TimePoint aNow);
  /// Learns from the end of a complete response. Precondition: the busy time has been counted.
  void LearnLimit(const Held& aHeld, TimePoint aNow);
  void RecordOutcome(bool aIsFailure);
  void RecordHeldFor(Duration aTime);
  /// How many requests may be granted beyond the slots; see SetGrantsAhead().
  std::size_t SlotsAhead() const;
  void Suspect(const Incarnation& aDaemon, const Daemons& aDoubted, TimePoint aNow);
  /// Records that a request of a daemon that was granted at aGrantedAt is answered by the endpoint
  /// now.
  void RecordAlive(const Incarnation& aDaemon, TimePoint aGrantedAt, TimePoint aNow);
  /// Whether the endpoint has answered a daemon other than this one since a moment.
  bool HasAnsweredOthers(const Incarnation& aDaemon, TimePoint aSince) const;
  void ForgetOldEvidence(TimePoint aNow);

  SlotEndpointInfo m_info;
  bool m_is_learning = false;
  ServiceTimeModel m_times;
  EndpointRateLimit m_rate;
  IdleConnections m_idle_connections;
  auburnhitch::ConcurrencyLimit m_learned_limit;
  absl::flat_hash_map<SlotRequestId, Held> m_held;
  /// Integral of the number of held slots over time, until a moment.
  double m_busy_ms = 0;
  TimePoint m_busy_until;
  double m_prompt_tokens_ahead = 0;
  bool m_grants_ahead = false;
  /// EWMA of the time from a grant to the end of its complete response; 0 before the first.
  double m_mean_held_ms = 0;
  TimePoint m_learned_at;
  double m_failure_rate = 0;
  int m_consecutive_failures = 0;
  TimePoint m_suspect_until;
  /// The failures at each daemon since the endpoint answered it, and when it was answered last, as
  /// far as that matters still.
  absl::flat_hash_map<Incarnation, Failures> m_failures;
  absl::flat_hash_map<Incarnation, TimePoint> m_answered_at;
  /// When it could not be reached last, unless the same incarnation has been seen alive since.
  std::optional<TimePoint> m_unreachable_at;
  TimePoint m_full_until;
  /// When it asked a daemon for rest last, unless a later request has begun to be answered.
  std::optional<TimePoint> m_rest_asked_at;
};

}
