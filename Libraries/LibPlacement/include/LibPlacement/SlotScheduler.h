#pragma once

#include <LibPlacement/CrashSuspects.h>
#include <LibPlacement/EndpointChooser.h>
#include <LibPlacement/EndpointRests.h>
#include <LibPlacement/ExposurePolicy.h>
#include <LibPlacement/SlotAdmission.h>
#include <map>
#include <memory>
#include <set>

namespace auburnhitch {

/// How many rests a coordinator keeps: a few for each of several thousand daemons. The daemons keep
/// their own besides.
constexpr std::size_t kMaxRestsOfDaemons = 50'000;

/// A rate limit that an endpoint states.
struct StatedLimit
{
  EndpointIncarnation m_endpoint;
  RequestRate m_limit;

  auto operator<=>(const StatedLimit&) const = default;
};

/// State of an endpoint as a scheduler sees it, for logs.
struct SlotEndpointView
{
  EndpointId m_id;
  bool m_is_suspect = false;
  std::size_t m_held = 0;
  /// See SlotEndpoint::LearnedLimit().
  std::size_t m_learned_limit = 0;
  double m_first_byte_slowness = 1;
  double m_rest_slowness = 1;
  double m_failure_rate = 0;
  SoftwareVersion m_software_version;
};

/// Decides for one service which request gets a slot at which endpoint, and which is refused. One
/// daemon, the coordinator, decides for all; a daemon that cannot reach it decides for itself with
/// a share of the slots. Uses no clock and no socket of its own. Not thread-safe.
class SlotScheduler
{
public:
  /// aSuspects: what is known of requests that crash the service's endpoints. aRests: the rests
  /// that endpoints have asked daemons for.
  explicit SlotScheduler(
    SlotSchedulerLimits aLimits,
    std::shared_ptr<CrashSuspects> aSuspects = std::make_shared<CrashSuspects>(),
    std::shared_ptr<EndpointRests> aRests = std::make_shared<EndpointRests>(kMaxRestsOfDaemons))
    : m_admission(aLimits)
    , m_crash_suspects(std::move(aSuspects))
    , m_rests(std::move(aRests))
    , m_queue(aLimits.m_is_contended ? ServedShares::Floors::KindsAndWorkspaces
                                     : ServedShares::Floors::Priorities)
  {
  }

  /// Replaces the set of usable endpoints. State of an endpoint that stays is kept unless the
  /// endpoint has restarted.
  void SetEndpoints(const std::vector<SlotEndpointInfo>& aEndpoints, TimePoint aNow);
  /// Sets the share of each endpoint's slots that this scheduler may grant.
  void SetSlotShare(double aSlotShare) { m_slot_share = aSlotShare; }

  /// Sets what decides on endpoints during a rollout; null, as initially, permits all.
  /// Precondition: the policy outlives the scheduler.
  void SetExposurePolicy(ExposurePolicy* aPolicy) { m_exposure = aPolicy; }

  /// Sets the share of the rate limits of endpoints that this scheduler may use.
  void SetRateShare(double aShare, TimePoint aNow);
  /// Applies what a response stated; see SlotEndpoint::RecordStatedLimit(). Returns whether the
  /// endpoint's limit has changed. Ignores earlier incarnations than the registered one. A later
  /// one has restarted, and its registration has not been read yet.
  bool RecordStatedLimit(const EndpointIncarnation& aEndpoint,
                         const std::optional<RequestRate>& aStated,
                         const std::optional<SlotRequestId>& aRequestId,
                         TimePoint aNow);
  /// The endpoints that state a limit.
  std::vector<StatedLimit> StatedLimits() const;
  /// Records that an endpoint has asked a daemon for rest, which the rests contain already.
  void RecordRest(const EndpointIncarnation& aEndpoint, TimePoint aNow);

  /// See SlotEndpoint::RecordRenewed().
  void RecordRenewed(const EndpointIncarnation& aEndpoint,
                     TimePoint aReadableSince,
                     TimePoint aNow);

  /// Enqueues a request. A later Decide() grants or refuses it.
  void RequestSlot(const SlotRequest& aRequest, TimePoint aNow);
  /// Removes a request that no longer needs a slot. Returns it if it was waiting.
  std::optional<SlotRequest> Withdraw(const SlotRequestId& aRequestId);
  /// Records a slot that another scheduler granted, as reported by the daemon that holds it.
  void RecordHeld(const SlotRequestId& aRequestId,
                  const EndpointId& aEndpoint,
                  const RequestWork& aWork,
                  const std::vector<CrashTrait>& aCrashTraits,
                  TimePoint aNow);
  void RecordStarted(const SlotRequestId& aRequestId, const EndpointId& aEndpoint, TimePoint aNow);
  void RecordEnded(const SlotRequestId& aRequestId,
                   const EndpointId& aEndpoint,
                   SlotOutcome aOutcome,
                   TimePoint aNow);
  /// Frees a slot whose grant was not used.
  void ReleaseSlot(const SlotRequestId& aRequestId, TimePoint aNow);
  /// Removes the waiting requests of a daemon and frees its slots. Returns the requests that
  /// waited.
  std::vector<SlotRequest> ForgetDaemon(const Incarnation& aDaemon);

  /// Grants and refuses all requests that can be decided now.
  SlotDecisions Decide(TimePoint aNow);

  std::size_t WaitingCount() const { return m_queue.Size(); }
  std::size_t HeldCount() const;
  /// Number of slots that can be used on average, not counting suspect endpoints.
  double SlotCount(TimePoint aNow) const;
  /// The state of each endpoint.
  std::vector<SlotEndpointView> View(TimePoint aNow) const;

private:
  /// The slots for which requests wait that are passed over in one decision.
  struct AwaitedSlots
  {
    EndpointChooser::AwaitedSlots m_slots;
    std::size_t m_count = 0;
  };

  EndpointChooser Chooser() const;
  /// Whether an endpoint may serve a request now, apart from free slots and suspicion. The request
  /// outlives the filter.
  EndpointChooser::Filter MayServe(const SlotRequest& aRequest, TimePoint aNow) const;
  /// See EndpointChooser::Choose().
  SlotEndpoint* Choose(const SlotRequest& aRequest, TimePoint aNow);
  /// As Choose(). Null also if the request waits for a better endpoint, which is then counted in
  /// aAwaited.
  SlotEndpoint* ChooseOrAwait(const SlotRequest& aRequest, AwaitedSlots& aAwaited, TimePoint aNow);
  /// Whether an endpoint may serve a request as registered, apart from free slots.
  static bool IsEligible(const SlotEndpoint& aEndpoint, const SlotRequest& aRequest);
  /// As IsEligible(), but not while the software version that the request requires is in doubt.
  static bool IsEligibleNow(const SlotEndpoint& aEndpoint,
                            const SlotRequest& aRequest,
                            TimePoint aNow);
  bool HasEligibleEndpoint(const SlotRequest& aRequest) const;
  /// When an endpoint accepts requests again of the daemon that handles a request; nothing if it
  /// does now.
  std::optional<TimePoint> RestEnd(const SlotEndpoint& aEndpoint,
                                   const SlotRequest& aRequest,
                                   TimePoint aNow) const;
  /// When the first eligible endpoint accepts requests again of the daemon that handles a request;
  /// nothing if one does now.
  std::optional<TimePoint> RestEndOfAll(const SlotRequest& aRequest, TimePoint aNow) const;
  /// Whether a rest is all that keeps an endpoint from serving a request now.
  bool IsKeptByRest(const SlotRequest& aRequest, TimePoint aNow) const;
  /// Whether all eligible endpoints rest for longer than a request can wait.
  bool RestsTooLong(const WaitingSlotRequest& aWaiting, TimePoint aNow) const;
  /// Determines anew which daemons are doubted.
  void UpdateDoubted(TimePoint aNow);
  void Refuse(const SlotRequest& aRequest,
              SlotRefusalReason aReason,
              TimePoint aNow,
              SlotDecisions& aDecisions) const;
  /// Grants the slots that are free to the requests in the order of the queue. Returns those that
  /// have to wait though slots are free, and do not hold up the others: for one software version
  /// whose endpoints are busy or in doubt, with a suspected trait, of a daemon that endpoints have
  /// asked for rest, or in time only at an endpoint that is expected to have a slot soon.
  std::vector<WaitingSlotRequest> GrantSlots(TimePoint aNow, SlotDecisions& aDecisions);
  /// Grants a slot to a request that has been taken from the queue.
  void Grant(SlotEndpoint& aEndpoint,
             const SlotRequest& aRequest,
             TimePoint aNow,
             SlotDecisions& aDecisions);
  /// Refuses a request that has been taken from the queue because of the load, unless a slot that
  /// may serve it is free: estimates may be wrong, and only responses renew them.
  void GrantOrRefuse(const WaitingSlotRequest& aWaiting,
                     SlotRefusalReason aReason,
                     TimePoint aNow,
                     SlotDecisions& aDecisions);
  /// Returns requests to the queue, or refuses those that would wait in vain.
  void PutBack(std::vector<WaitingSlotRequest> aSetAside,
               TimePoint aNow,
               SlotDecisions& aDecisions);
  /// Refuses the new requests that probably cannot be served in time, before they wait.
  void DecideNew(TimePoint aNow, SlotDecisions& aDecisions);
  /// Whether a request may be granted a slot, by what is known of its traits. A trial may not take
  /// the last endpoint.
  CrashSuspects::Admission AdmissionOf(const SlotRequest& aRequest, TimePoint aNow) const;
  void RecordEndedExposure(const SlotRequestId& aRequestId, SlotOutcome aOutcome, TimePoint aNow);
  /// Informs the suspects when endpoints of another software version serve.
  void RecordVersions(const std::vector<SlotEndpointInfo>& aEndpoints, TimePoint aNow);

  SlotAdmission m_admission;
  std::shared_ptr<CrashSuspects> m_crash_suspects;
  std::shared_ptr<EndpointRests> m_rests;
  /// The software versions that have served.
  std::set<SoftwareVersion> m_versions;
  ExposurePolicy* m_exposure = nullptr;
  double m_slot_share = 1.0;
  double m_rate_share = 1.0;
  /// EWMA of the time for which requests are expected to hold a slot.
  double m_mean_slot_time_ms = 0;
  std::map<EndpointId, SlotEndpoint> m_endpoints;
  /// The daemons that endpoints fail while they answer others, so that the cause is probably on the
  /// daemons' side.
  SlotEndpoint::Daemons m_doubted;
  SlotQueue m_queue;
  /// Requests enqueued since the last Decide().
  std::vector<SlotRequestId> m_undecided;
  /// Requests since the last decision that no endpoint may serve, with the reason.
  std::vector<std::pair<SlotRequest, SlotRefusalReason>> m_ineligible;
};

}
