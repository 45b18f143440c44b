#pragma once

#include <LibPlacement/CrashHistory.h>
#include <LibPlacement/CrashTrait.h>
#include <LibPlacement/SlotRequest.h>
#include <absl/container/flat_hash_map.h>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace auburnhitch {

/// What daemons tell each other about a trait of requests that is suspected to crash endpoints.
struct TraitSuspicion
{
  CrashTrait m_trait;
  /// Probability that it crashes each endpoint that runs it.
  double m_probability = 0;
  /// Crashes in a row that were evidence against it.
  int m_crashes = 0;
  /// Requests with it are refused for this long; 0 if they are not.
  Milliseconds m_refused_for{ 0 };

  auto operator<=>(const TraitSuspicion&) const = default;
};

/// The crashes behind a TraitSuspicion against a part of prompts. Sent after it.
struct TraitCrashes
{
  CrashTrait m_trait;
  std::vector<CrashHistory::Requests> m_crashes;
  /// How many requests that may be harmless have been admitted since.
  int m_trials = 0;

  auto operator<=>(const TraitCrashes&) const = default;
};

/// Decides which traits of requests crash the endpoints that run them. Each crash of an endpoint is
/// evidence against the traits of the requests that had not begun to respond there; each complete
/// response is evidence for its traits. The evidence is weighed as a likelihood ratio against the
/// rate of crashes that no trait explains, so a trait is refused after few crashes while endpoints
/// are otherwise stable, and after more while they crash for other reasons. Requests with a
/// suspected trait run one at a time. Parts of prompts that were always together at a crash cannot
/// be told apart by it: a request that has only one of them is tried at once. A request that comes
/// again may not have crashed many endpoints before it is refused, so whole requests have limits of
/// their own, and all suspected ones together run one at a time. Owns no clock. Not thread-safe.
class CrashSuspects
{
public:
  struct Limits
  {
    /// Share of traits that crash endpoints, before there is evidence.
    double m_prior = 1e-3;
    /// Probability from which requests with a trait are refused: one refused trait in fifty may be
    /// harmless.
    double m_refuse_from = 0.98;
    /// Probability from which requests with a trait run one at a time.
    double m_suspect_from = 0.01;
    /// Probability from which other daemons are told. Connections that break for other reasons,
    /// which may be many, leave their traits below it.
    double m_announce_from = 0.05;
    /// How long a trait is refused before one request is admitted as a trial; doubles with each
    /// trial that crashes an endpoint.
    Milliseconds m_first_refusal{ 60'000 };
    /// After this many crashes there are no more trials until another software version serves.
    int m_max_crashes = 8;
    /// Bounds the parts and, apart from them, the whole requests, of which there may be as many as
    /// requests.
    std::size_t m_max_traits = 4'096;

    /// As m_prior, for whole requests. Two crashes in which nothing else is suspected then make
    /// them refused while endpoints are otherwise stable.
    double m_request_prior = 5e-3;
    /// After this many independent crashes that nothing else explains better, a request without
    /// complete responses is refused whatever the base rate.
    int m_request_crashes_until_refusal = 3;
    /// After this many crashes in a row a refused request is not tried again: of the six endpoints
    /// that it may reach, one is left for a grant on its way.
    int m_max_request_crashes = 5;
  };

  enum class Admission
  {
    /// May be granted a slot now.
    Admit,
    /// May be granted a slot, to learn whether it still crashes endpoints.
    Trial,
    /// Has to wait until another suspected request has ended, or no longer puts its endpoint at
    /// risk.
    Wait,
    /// Crashes endpoints.
    Refuse,
  };

  explicit CrashSuspects(Limits aLimits);
  CrashSuspects()
    : CrashSuspects(Limits())
  {
  }

  /// Records that a request was granted a slot.
  void Begin(const SlotRequestId& aRequestId,
             const EndpointId& aEndpoint,
             const std::vector<CrashTrait>& aTraits,
             TimePoint aNow);
  /// Records that the end of a request, which is reported next, does not prove that its response is
  /// complete: it is no evidence for its traits, and they are candidates if the endpoint turns out
  /// to have crashed.
  void MarkEndUnproven(const SlotRequestId& aRequestId);
  /// Records the first byte of a response.
  void RecordStarted(const SlotRequestId& aRequestId, TimePoint aNow);
  /// Records the end of a request. aIsExpected: whether the endpoint leaves or is not registered,
  /// so that its end is not a crash.
  void RecordEnded(const SlotRequestId& aRequestId,
                   SlotOutcome aOutcome,
                   bool aIsExpected,
                   TimePoint aNow);
  /// Records a complete response to a request of this daemon whose slot another daemon granted: if
  /// this one coordinates the service later, it knows which requests are harmless.
  void RecordCompleteResponse(const std::vector<CrashTrait>& aTraits, TimePoint aNow);
  /// Records that a registration of an endpoint was read that its present incarnation has renewed.
  /// If that was written after the endpoint seemed to crash, only connections broke, so the
  /// evidence is withdrawn. aReadableSince: since when the store could be read.
  void RecordRenewed(const EndpointId& aEndpoint, TimePoint aReadableSince, TimePoint aNow);
  /// Records that another incarnation of an endpoint was registered: its renewals say nothing about
  /// the crashes of the one before.
  void RecordRestarted(const EndpointId& aEndpoint);
  /// Forgets the requests of a daemon that has stopped.
  void ForgetDaemon(const Incarnation& aDaemon);

  /// Whether a request with these traits may be granted a slot.
  Admission AdmissionOf(const std::vector<CrashTrait>& aTraits, TimePoint aNow) const;
  /// Whether one of these traits is a suspected whole request.
  bool HasSuspectedRequest(const std::vector<CrashTrait>& aTraits) const;
  /// The endpoints at which a suspected whole request runs that may still crash them. A request
  /// that ran beside it would break off with it and become suspected.
  std::set<EndpointId> EndpointsOfSuspects(TimePoint aNow) const;
  /// How many requests run at an endpoint that may still crash it.
  std::size_t CountAtRisk(const EndpointId& aEndpoint, TimePoint aNow) const;
  /// Permits another trial of each refused trait: endpoints of another software version serve.
  void OnNewVersion(TimePoint aNow);

  /// Applies what the coordinator knows.
  void Apply(const TraitSuspicion& aSuspicion, TimePoint aNow);
  /// Applies what another daemon knows, unless more is known here. If it has withdrawn evidence
  /// that was taken over from it, that is withdrawn here too.
  void Merge(const TraitSuspicion& aSuspicion, const HostName& aSender, TimePoint aNow);
  /// Applies the crashes behind a suspicion that was applied or taken over from a sender.
  void ApplyCrashes(const TraitCrashes& aCrashes,
                    const HostName& aSender,
                    bool aIsFromCoordinator,
                    TimePoint aNow);
  /// The crashes behind suspicions that were returned by TakeChanges() or All().
  std::vector<TraitCrashes> CrashesBehind(const std::vector<TraitSuspicion>& aSuspicions) const;
  /// What other daemons need to know of changes since the last call.
  std::vector<TraitSuspicion> TakeChanges(TimePoint aNow);
  /// All that other daemons need to know.
  std::vector<TraitSuspicion> All(TimePoint aNow) const;

  /// Estimated probability that an endpoint crashes during a request for another reason than its
  /// traits.
  double BaseRate() const;

private:
  /// Evidence that was taken over from another daemon.
  struct TakenOver
  {
    HostName m_sender;
    /// The least that the sender has stated since.
    double m_stated_log_odds = 0;
    int m_stated_crashes = 0;
    /// What is left of the evidence.
    double m_log_odds = 0;
    int m_crashes = 0;
  };

  struct Trait
  {
    explicit Trait(const CrashTrait& aId)
      : m_history(aId)
    {
    }

    double m_log_odds = 0;
    /// Crashes in a row that were evidence against it; for a whole request also those that were
    /// not independent.
    int m_crashes = 0;
    /// Of a whole request: those that are independent and that nothing else explains better.
    int m_own_crashes = 0;
    int m_running = 0;
    TimePoint m_used_at;
    /// Set while requests with the trait are refused.
    std::optional<TimePoint> m_refused_until;
    /// When a crash was evidence against it last.
    std::optional<TimePoint> m_last_evidence_at;
    std::optional<TakenOver> m_taken_over;
    /// Of a part: the crashes that were evidence against it.
    CrashHistory m_history;
    /// Trials since requests with the part are refused that did not wait for the end of the
    /// refusal, whatever came of them.
    int m_early_trials = 0;
    int m_failed_trials = 0;
    bool m_is_changed = false;
  };

  struct RunningRequest
  {
    EndpointId m_endpoint;
    std::vector<CrashTrait> m_traits;
    TimePoint m_granted_at;
    std::optional<TimePoint> m_started_at;
    bool m_is_end_unproven = false;
  };

  /// The end of a request that may be the crash of its endpoint.
  struct UnprovenEnd
  {
    RunningRequest m_request;
    TimePoint m_at;
  };

  /// A trait that may have crashed an endpoint.
  struct Candidate
  {
    double m_log_odds = 0;
    /// Whether the crash is evidence that is independent of the one before: the request was granted
    /// after that. Many endpoints may crash at once.
    bool m_is_independent = false;
  };

  struct Crash
  {
    EndpointId m_endpoint;
    TimePoint m_at;
    /// The requests that ran there and whose end has not been reported yet.
    std::vector<SlotRequestId> m_requests;
    /// What was added to the log odds of each trait.
    std::vector<std::pair<CrashTrait, double>> m_evidence;
    /// What was weighed.
    std::set<CrashTrait> m_candidates;
    /// The prompts that ran, without parts that were known to be harmless.
    CrashHistory::Requests m_prompts;
    /// What was added to the crashes that no trait explains.
    double m_unexplained = 0;
    /// Whether the endpoint has registered as another incarnation since.
    bool m_has_restarted = false;
  };

  Trait& TraitOf(const CrashTrait& aTrait, TimePoint aNow);
  /// Drops the oldest parts, or the oldest whole requests.
  void DropOldest(bool aAreWholeRequests);
  bool IsSuspected(const CrashTrait& aId) const;
  /// Whether complete responses have shown that a whole request does not crash endpoints.
  bool IsProvenHarmless(const CrashTrait& aId, double aLogOdds) const;
  /// Whether complete responses have shown that a part does not crash endpoints.
  bool IsKnownHarmless(const CrashTrait& aPart) const;
  /// Whether a request with a refused part may be harmless, since another part may have caused the
  /// part's crashes that the request lacks.
  bool MayBeHarmless(const Trait& aPart, const std::vector<CrashTrait>& aTraits) const;
  /// Whether a request that runs may still crash its endpoint.
  bool IsAtRisk(const SlotRequestId& aRequestId,
                const RunningRequest& aRequest,
                TimePoint aNow) const;
  void UpdateRunningSuspects(const CrashTrait& aId, const Trait& aTrait);
  void DropExpired(TimePoint aNow);
  bool HasUnprovenEndAt(const EndpointId& aEndpoint) const;
  void Decay(TimePoint aNow);
  void SetLogOdds(const CrashTrait& aId, Trait& aTrait, double aLogOdds, TimePoint aNow);
  /// Withdraws what the sender of aSuspicion has withdrawn of the evidence taken over from it.
  void WithdrawTakenOver(Trait& aTrait, const TraitSuspicion& aSuspicion, TimePoint aNow);
  void MarkChanged(const CrashTrait& aId, Trait& aTrait);
  /// The requests at an endpoint that may have crashed it, and when they ended or may have.
  std::vector<std::pair<const RunningRequest*, TimePoint>> RequestsAt(const EndpointId& aEndpoint,
                                                                      TimePoint aNow) const;
  CrashHistory::Requests PromptsAt(const EndpointId& aEndpoint, TimePoint aNow) const;
  std::map<CrashTrait, Candidate> CandidatesAt(const EndpointId& aEndpoint, TimePoint aNow);
  /// The last known crash in which a request broke off, if there is one: it ran there then, or was
  /// granted before all daemons had noticed.
  Crash* CrashOf(const SlotRequestId& aRequestId, const RunningRequest& aRequest);
  /// Whether a trait was a candidate for a crash that the end of a request may belong to.
  bool IsWeighed(const CrashTrait& aId,
                 const SlotRequestId& aRequestId,
                 const RunningRequest& aRequest) const;
  /// Whether a request broke off, or will, in this crash.
  static bool IsOf(const Crash& aCrash,
                   const SlotRequestId& aRequestId,
                   const RunningRequest& aRequest);
  void RecordCompleted(const RunningRequest& aRequest, TimePoint aNow);
  void RecordCrash(const SlotRequestId& aRequestId, const RunningRequest& aRequest, TimePoint aNow);
  /// Weighs a crash against one trait. aNoOtherCause: the probability that neither a more probable
  /// trait nor anything else is the cause.
  void AddEvidence(Crash& aCrash,
                   const CrashTrait& aId,
                   const Candidate& aCandidate,
                   double aNoOtherCause,
                   TimePoint aNow);
  /// Withdraws the evidence of a crash if a request that ran there goes on: only a connection
  /// broke.
  void WithdrawEvidence(const SlotRequestId& aRequestId, TimePoint aNow);
  /// Withdraws all evidence of a crash that was none.
  void Withdraw(const Crash& aCrash, TimePoint aNow);
  /// Withdraws the evidence against whole requests if many endpoints crash at the same time under
  /// different ones: something else has happened to all of them, or to all connections.
  void WithdrawIfMany(TimePoint aNow);
  /// Withdraws the evidence of crashes against whole requests if the endpoint has run a request
  /// that was granted soon after, but more than aAfter: only connections broke.
  void WithdrawIfAlive(const RunningRequest& aRequest, Milliseconds aAfter, TimePoint aNow);
  void WithdrawFromRequests(Crash& aCrash,
                            const std::function<bool(const CrashTrait& aId)>& aIsWithdrawn,
                            TimePoint aNow);
  void TakeBack(const CrashTrait& aId, double aEvidence, TimePoint aNow);
  void RecordNotRunning(const RunningRequest& aRequest);
  static TraitSuspicion SuspicionOf(const CrashTrait& aId, const Trait& aTrait, TimePoint aNow);

  Limits m_limits;
  double m_prior_log_odds;
  double m_request_prior_log_odds;
  double m_refuse_log_odds;
  double m_suspect_log_odds;
  double m_announce_log_odds;
  absl::flat_hash_map<CrashTrait, Trait> m_traits;
  /// How many of them are whole requests.
  std::size_t m_whole_requests = 0;
  /// The suspected whole requests that run.
  std::set<CrashTrait> m_running_suspects;
  absl::flat_hash_map<SlotRequestId, RunningRequest> m_requests;
  std::deque<Crash> m_crashes;
  /// In the order of time.
  std::deque<UnprovenEnd> m_unproven_ends;
  std::vector<CrashTrait> m_changed;
  /// Exponentially decaying counts.
  double m_ended = 0;
  double m_unexplained = 0;
  TimePoint m_decayed_at;
};

}
