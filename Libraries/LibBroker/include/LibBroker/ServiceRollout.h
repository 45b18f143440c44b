#pragma once

#include <LibPlacement/ExposurePolicy.h>
#include <LibRollout/RolloutStore.h>
#include <absl/container/flat_hash_map.h>
#include <functional>
#include <memory>
#include <set>

namespace auburnhitch {

/// What this daemon knows of the rollout of a service, for metrics.
struct RolloutView
{
  ServiceName m_service;
  RolloutStage m_stage = RolloutStage::Waiting;
  bool m_is_decider = false;
  std::uint64_t m_arrived = 0;
  std::uint64_t m_sent = 0;
  std::uint64_t m_bad = 0;

  auto operator<=>(const RolloutView&) const = default;
};

/// The rollout of one service as this daemon sees it. While the daemon coordinates the service, it
/// becomes the decider, reserves requests to the target in the store before they are sent, judges
/// the target by the responses, and saves and publishes the verdict. Otherwise it withholds the
/// target. Responds to a load of a few to several hundred requests a second. Owns no socket and no
/// clock. Not thread-safe.
class ServiceRollout : public ExposurePolicy
{
public:
  struct Limits
  {
    ExposureBounds m_exposure;
    /// Age from which the saved state no longer permits requests to the target: how long a decider
    /// that has been replaced without knowing it may send them. To be well below the time within
    /// which the requests to a bad version must end.
    Milliseconds m_max_state_age{ 3'000 };
  };

  struct Dependencies
  {
    Incarnation m_self;
    std::function<TimePoint()> m_now;
    /// Whether this daemon coordinates the service and may decide on its rollout.
    std::function<bool()> m_may_decide;
    /// The endpoints of the service that may get requests.
    std::function<std::vector<SlotEndpointInfo>()> m_endpoints;
    /// Slots held at endpoints of versions other than this one, as far as the scheduler knows.
    std::function<std::size_t(const SoftwareVersion& aTarget)> m_held_at_others;
  };

  ServiceRollout(ServiceName aService, Limits aLimits, Dependencies aDependencies);

  /// Sets the order in force; another order replaces it. Its target is withheld from then on.
  void SetOrder(const RolloutOrder& aOrder);
  /// Handles the withdrawal of the order. The rollout is rolled back unless it has ended. The
  /// target stays withheld until it is ordered again, unless it was completed.
  void RemoveOrder();
  /// Precondition: the store outlives this object, and calls each handler once.
  void SetStore(RolloutStore* aStore) { m_store = aStore; }
  /// Call when the store has come back from an older copy. What was saved and published may be
  /// lost.
  void OnStoreWentBack();
  /// Call when the endpoints that may get requests have changed.
  void UpdateEndpoints();
  /// Judges the responses and calls the store where that is due. Call every few tens of
  /// milliseconds.
  void Tick();

  /// Whether the coordinator of the service needs the routes of requests.
  bool NeedsRoutes() const;
  bool IsDecider() const { return m_is_decider; }
  /// Nothing unless this daemon decides or knows the verdict.
  std::optional<RolloutView> View() const;

  bool Permits(const SlotRequest& aRequest,
               const SlotEndpointInfo& aEndpoint,
               TimePoint aNow) const override;
  bool Prefers(const SlotEndpointInfo& aEndpoint) const override;
  bool IsInService(const SlotEndpointInfo& aEndpoint) const override;
  bool IsRejected(const SlotEndpointInfo& aEndpoint) const override;
  void OnGranted(const SlotRequest& aRequest,
                 const SlotEndpointInfo& aEndpoint,
                 TimePoint aNow) override;
  void OnHeld(const SlotRequestId& aRequestId,
              const SlotEndpointInfo& aEndpoint,
              TimePoint aNow) override;
  void OnStarted(const SlotRequestId& aRequestId, TimePoint aNow) override;
  void OnEnded(const SlotRequestId& aRequestId, SlotOutcome aOutcome, TimePoint aNow) override;
  void OnDaemonForgotten(const Incarnation& aDaemon) override;

private:
  /// A request that an endpoint runs.
  struct Running
  {
    EndpointId m_endpoint;
    SoftwareVersion m_version;
    KindName m_route;
    RequestWork m_work;
    TimePoint m_granted_at;
    std::optional<TimePoint> m_started_at;
    /// When it has ended at the latest, if its daemon is not heard of again.
    TimePoint m_ends_by;
    /// Whether its response is evidence: granted by this decider and not recorded yet.
    bool m_is_awaited = false;
    bool m_is_forgotten = false;
  };

  enum class Kind
  {
    Target,
    /// The target of an earlier order that was not completed.
    Withheld,
    Other,
  };

  Kind KindOf(const SoftwareVersion& aVersion) const;
  bool PermitsTarget(const SlotRequest& aRequest,
                     const EndpointId& aEndpoint,
                     TimePoint aNow) const;
  bool PermitsOther(const SlotRequest& aRequest,
                    const SoftwareVersion& aVersion,
                    TimePoint aNow) const;
  bool IsInStage(RolloutStage aStage) const
  {
    return m_is_decider && m_rollout && m_rollout->Stage() == aStage;
  }
  /// Whether all new requests go to the target. They do once that is saved: a successor would not
  /// know otherwise that the target has received more than was reserved.
  bool IsDraining() const
  {
    return IsInStage(RolloutStage::Drain) && m_saved_stage == RolloutStage::Drain;
  }
  /// Whether the state in the store was written so lately that no other daemon can have decided
  /// otherwise long ago.
  bool IsFresh(TimePoint aNow) const;
  void Record(const Running& aRunning, bool aIsFailure, bool aIsBroken, TimePoint aNow);
  void RecordOverdue(TimePoint aNow);
  RolloutEndpoints EndpointsNow(TimePoint aNow);
  void LogStage(const char* aEvent) const;
  void Withhold(const SoftwareVersion& aVersion);
  void Forget();

  // Calls of the store. One is in progress at a time.

  void CallStore(TimePoint aNow);
  void StartLoad();
  void OnLoaded(const absl::StatusOr<std::optional<RolloutState>>& aResult);
  /// Loads the state again although the verdict is known, and saves the verdict if it is lost.
  void StartVerdictCheck();
  void OnVerdictChecked(const absl::StatusOr<std::optional<RolloutState>>& aResult);
  /// Whether another daemon decides, or a newer order may exist, so that this one has to wait.
  bool MustWait(const RolloutState& aLoaded, TimePoint aNow);
  void StartSave(const RolloutState& aState);
  void OnSaved(const absl::Status& aStatus, const RolloutState& aState, TimePoint aStartedAt);
  void StartPublish(const RolloutState& aState);
  bool NeedsSave(TimePoint aNow) const;
  RolloutState MakeState(TimePoint aNow) const;
  void SetVerdict(RolloutStage aStage, TimePoint aNow);
  /// Stops deciding.
  void LetGo(const char* aWhy);
  void BackOff();
  /// Wraps the handler of a call, so that it runs only while this object exists, and learns whether
  /// the order or the decider has changed since.
  template<typename Result>
  std::function<void(Result)> Guarded(std::function<void(Result)> aHandler);

  ServiceName m_service;
  Limits m_limits;
  Dependencies m_dependencies;
  RolloutStore* m_store = nullptr;

  std::optional<RolloutOrder> m_order;
  /// When the order was given, as far as this daemon knows.
  TimePoint m_ordered_at;
  bool m_is_withdrawn = false;
  /// The ids of the orders that this daemon knows of.
  std::set<std::string> m_known_orders;
  std::set<SoftwareVersion> m_withheld;
  /// The verdict that is saved.
  std::optional<RolloutStage> m_verdict;
  TimePoint m_verdict_known_at;
  /// The versions that served besides the target when it was completed.
  std::set<SoftwareVersion> m_retired;
  bool m_is_published = false;
  /// Whether the saved verdict may have been lost or replaced.
  bool m_must_check_verdict = false;

  std::set<EndpointId> m_target_endpoints;
  std::set<EndpointId> m_other_endpoints;
  /// All endpoints that have been of the target.
  std::set<EndpointId> m_past_target_endpoints;

  std::optional<Rollout> m_rollout;
  bool m_is_decider = false;
  TimePoint m_decider_since;
  absl::flat_hash_map<SlotRequestId, Running> m_running;
  /// Requests to the target that the store counts already.
  std::uint64_t m_reserved = 0;
  std::uint64_t m_sent_at_save = 0;
  RolloutStage m_saved_stage = RolloutStage::Waiting;
  /// When the last successful save was begun.
  TimePoint m_saved_at;

  bool m_is_calling = false;
  TimePoint m_next_call_at;
  Milliseconds m_back_off{ 0 };
  /// The state that may have been written.
  std::optional<RolloutState> m_unsure;
  /// The state of this order when this daemon let go last.
  std::optional<RolloutState> m_last_own;
  /// Set once another daemon has become the decider.
  bool m_was_replaced = false;
  std::optional<RolloutState> m_last_loaded;
  /// Increases when answers to earlier calls no longer matter.
  std::uint64_t m_tenure = 0;
  std::shared_ptr<bool> m_exists = std::make_shared<bool>(true);
};

}
