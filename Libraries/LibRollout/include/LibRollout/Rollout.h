#pragma once

#include <LibRollout/ExposureBudget.h>
#include <LibRollout/ReferenceVersion.h>
#include <LibRollout/SequentialTest.h>
#include <LibRollout/SlowEndpoints.h>
#include <optional>
#include <set>
#include <string>

namespace auburnhitch {

/// An operator's order to move a service to a software version.
struct RolloutOrder
{
  /// Distinguishes orders of the same content.
  std::string m_id;
  ServiceName m_service;
  SoftwareVersion m_target;
  Milliseconds m_duration{ 0 };

  auto operator<=>(const RolloutOrder&) const = default;
};

enum class RolloutStage
{
  /// The target has no usable endpoint yet.
  Waiting,
  /// A small part of the bounds.
  Probe,
  /// About half of the bounds.
  Share,
  /// Nearly all of the bounds, concentrated on few endpoints, so that these are under load.
  Load,
  /// The evidence is good: all new requests go to the target, and the others end.
  Drain,
  Completed,
  RolledBack,
};

const char*
NameOf(RolloutStage aStage);

/// The endpoints of a service that may be used now.
struct RolloutEndpoints
{
  std::set<EndpointId> m_target;
  std::set<EndpointId> m_others;
  /// Requests that run at endpoints of other versions, over all daemons.
  std::size_t m_running_at_others = 0;
  /// The same for daemons that have left the decider: their requests may have ended.
  std::size_t m_possibly_running_at_others = 0;
};

/// How a response to a request ended, or that it is overdue.
struct RolloutResponse
{
  EndpointId m_endpoint;
  bool m_is_target = false;
  KindName m_route;
  bool m_is_failure = false;
  /// The connection broke off, as it does for all requests of an endpoint whose host crashes.
  bool m_is_broken = false;
  /// Ratio of the measured time, or of the time so far of a request that still runs, to the
  /// expected one.
  double m_slowness = 1;
};

/// One rollout: stages, evidence and verdict. Its owner records each response once, at its end or
/// when it is overdue (see IsOverdue()), and applies the stage at each grant. Responds to a load of
/// a few to several hundred requests a second. Pure: owns no clock and no socket. Not thread-safe.
class Rollout
{
public:
  Rollout(RolloutOrder aOrder, ExposureBounds aBounds, TimePoint aOrderedAt);

  /// Continues a rollout that another daemon has decided so far.
  void Restore(RolloutStage aStage, std::uint64_t aArrived, std::uint64_t aSent, TimePoint aNow);
  /// Rolls back a rollout that has not ended, because its order is withdrawn.
  void Abandon();

  const RolloutOrder& Order() const { return m_order; }
  RolloutStage Stage() const { return m_stage; }
  bool HasEnded() const
  {
    return m_stage == RolloutStage::Completed || m_stage == RolloutStage::RolledBack;
  }
  /// Whether a request without a version of its own may go to an endpoint of the target now.
  bool PermitsTarget(const EndpointId& aEndpoint) const;
  /// Whether it may go to an endpoint of another version now.
  bool PermitsOthers() const;
  /// Whether a stream that began at another version may continue there. It may in the stage Drain,
  /// except towards its end, so that the stage ends before the deadline.
  bool PermitsStreamsAtOthers(TimePoint aNow) const;
  /// How many requests may be sent to the target in this stage beyond those that have been, at most
  /// aMax.
  int CountPermitted(int aMax) const;
  /// Whether a request that still runs has taken so long that it counts as slow.
  bool IsOverdue(const KindName& aRoute, double aSlowness) const
  {
    return aSlowness > m_reference.SlowFrom(aRoute);
  }

  /// Records a request that reached the service; a retry is not another one.
  void RecordArrival();
  /// Records a request that is sent to the target.
  void RecordSent();
  void RecordResponse(const RolloutResponse& aResponse, TimePoint aNow);
  /// Moves to the next stage where evidence and time call for it. Call at intervals and after
  /// responses. Returns whether the stage has changed.
  bool Advance(const RolloutEndpoints& aEndpoints, TimePoint aNow);

  const ExposureBudget& Budget() const { return m_budget; }
  std::uint64_t ResponseCount() const { return m_responses; }
  std::uint64_t BadCount() const { return m_bad; }
  /// The highest sum of the tests, and the route of it; empty for all routes together.
  double HighestSum() const;
  KindName WorstRoute() const;

private:
  double PartOfStage() const;
  double DecideAt() const;
  /// Whether a response counts as bad; slowness counts only if it is that of the version.
  bool IsBadResponse(const RolloutResponse& aResponse);
  bool IsBad() const;
  void UpdateBurst();
  /// Completes the endpoints under load, those that are not slow first.
  void ChooseLoaded();
  RolloutStage NextStage(const RolloutEndpoints& aEndpoints, TimePoint aNow) const;
  double ShareOfTime(TimePoint aNow) const;

  RolloutOrder m_order;
  TimePoint m_ordered_at;
  RolloutStage m_stage = RolloutStage::Waiting;
  ExposureBudget m_budget;
  ReferenceVersion m_reference;
  SlowEndpoints m_slow_targets;
  SlowEndpoints m_slow_others;
  std::size_t m_other_count = 0;
  /// By route; the empty name is of all routes together.
  std::map<KindName, SequentialTest> m_tests;
  std::map<EndpointId, TimePoint> m_broken_at;
  std::set<EndpointId> m_target;
  /// The endpoints of the target that get requests in the stage Load.
  std::set<EndpointId> m_loaded;
  /// Whether requests are sent to the target in the stage Load, between the intervals without any.
  bool m_is_bursting = true;
  std::uint64_t m_responses = 0;
  std::uint64_t m_responses_of_stage = 0;
  std::uint64_t m_bad = 0;
};

}
