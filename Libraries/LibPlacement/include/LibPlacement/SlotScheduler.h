#pragma once

#include <LibPlacement/SlotEndpoint.h>
#include <LibPlacement/SlotQueue.h>
#include <map>

namespace auburnhitch {

struct SlotSchedulerLimits
{
  std::size_t m_max_waiting = 5'000;
  /// Bounds of what a refused caller is told.
  Milliseconds m_min_retry_after{ 100 };
  Milliseconds m_max_retry_after{ 10'000 };
};

/// What a scheduler believes of one endpoint, for logs.
struct SlotEndpointView
{
  EndpointId m_id;
  bool m_is_suspect = false;
  std::size_t m_held = 0;
  double m_first_byte_slowness = 1;
  double m_rest_slowness = 1;
  double m_failure_rate = 0;
};

/// Decides for one service which request gets a place at which endpoint, and which is refused.
/// One daemon does so for all; a daemon that cannot reach it does so for itself with a part of the
/// places. Pure: owns no clock and no socket. Not thread-safe.
class SlotScheduler
{
public:
  explicit SlotScheduler(SlotSchedulerLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /// Takes over the endpoints that may be used. What was learned of those that stay is kept, unless
  /// they have started anew.
  void SetEndpoints(const std::vector<SlotEndpointInfo>& aEndpoints, TimePoint aNow);
  /// Tells which part of each endpoint's places is this scheduler's.
  void SetSlotShare(double aSlotShare) { m_slot_share = aSlotShare; }

  /// Lets a request wait. Decide() answers it.
  void RequestSlot(const SlotRequest& aRequest, TimePoint aNow);
  /// The request no longer wants a place. Returns it if it waited.
  std::optional<SlotRequest> Withdraw(const SlotRequestId& aRequestId);
  /// A daemon tells of a place that it was granted by another scheduler.
  void RecordHeld(const SlotRequestId& aRequestId,
                  const EndpointId& aEndpoint,
                  const RequestWork& aWork,
                  TimePoint aNow);
  void RecordStarted(const SlotRequestId& aRequestId, const EndpointId& aEndpoint, TimePoint aNow);
  void RecordEnded(const SlotRequestId& aRequestId,
                   const EndpointId& aEndpoint,
                   SlotOutcome aEnd,
                   TimePoint aNow);
  /// Frees a place whose grant was never used.
  void ReleaseSlot(const SlotRequestId& aRequestId, TimePoint aNow);
  /// Drops all that a daemon waits for and holds. Returns the requests that waited.
  std::vector<SlotRequest> ForgetDaemon(const Incarnation& aDaemon);

  /// Grants and refuses what can be decided now.
  SlotDecisions Decide(TimePoint aNow);

  std::size_t WaitingCount() const { return m_queue.Size(); }
  std::size_t HeldCount() const;
  /// Places that may be used now, at endpoints that are trusted.
  std::size_t SlotCount(TimePoint aNow) const;
  /// What is believed of each endpoint.
  std::vector<SlotEndpointView> View(TimePoint aNow) const;

private:
  SlotEndpoint* Choose(const WaitingSlotRequest& aWaiting, TimePoint aNow);
  double CostOf(const SlotEndpoint& aEndpoint, const SlotRequest& aRequest) const;
  double ExpectedWaitMs(int aPriority, TimePoint aNow) const;
  /// Whether a request that has just come would get no place while it is of use.
  bool ShouldRefuse(const WaitingSlotRequest& aWaiting, TimePoint aNow) const;
  Milliseconds RetryAfter(const SlotRequest& aRequest, double aWaitMs) const;
  void Refuse(const SlotRequest& aRequest,
              SlotRefusalReason aReason,
              TimePoint aNow,
              SlotDecisions& aDecisions) const;

  SlotSchedulerLimits m_limits;
  double m_slot_share = 1.0;
  std::map<EndpointId, SlotEndpoint> m_endpoints;
  SlotQueue m_queue;
  /// Asked since the last decision.
  std::vector<SlotRequestId> m_undecided;
  /// How far times to the first part are from what was expected, as a part of it.
  double m_deviation = 0.25;
};

}
