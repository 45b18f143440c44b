#pragma once

#include <LibPlacement/SlotEndpoint.h>
#include <LibPlacement/SlotQueue.h>
#include <map>

namespace auburnhitch {

struct SlotSchedulerLimits
{
  std::size_t m_max_waiting = 5'000;
  /// Bounds of the retry delay that is sent with a refusal.
  Milliseconds m_min_retry_after{ 100 };
  Milliseconds m_max_retry_after{ 10'000 };
  /// Whether requests are placed by idle connections and by the slots that endpoints are expected
  /// to have soon.
  bool m_learn_concurrency = false;
  /// Whether callers compete for too little capacity at times: orders, refuses and grants as
  /// docs/design/contention.md says.
  bool m_is_contended = false;
};

/// Decides which waiting requests of a service are refused because more work arrives than its slots
/// can serve, and after which delay their callers may try again. The slot counts that its functions
/// take are positive. Uses no clock of its own. Not thread-safe.
class SlotAdmission
{
public:
  explicit SlotAdmission(SlotSchedulerLimits aLimits)
    : m_limits(aLimits)
  {
  }

  const SlotSchedulerLimits& Limits() const { return m_limits; }

  /// Returns a request with the times that are expected of it at a service's endpoints.
  WaitingSlotRequest Estimate(const SlotRequest& aRequest,
                              const std::map<EndpointId, SlotEndpoint>& aEndpoints) const;
  /// Updates the margin that is kept above expected times to first byte. aRatio: measured to
  /// expected time.
  void RecordFirstByteRatio(double aRatio, TimePoint aNow);
  /// What a refusal of a request for load is judged by.
  LoadJudgement JudgementOf(const WaitingSlotRequest& aWaiting,
                            const std::map<EndpointId, SlotEndpoint>& aEndpoints,
                            TimePoint aNow) const;

  /// How long a new request of this priority is expected to wait for a slot, in milliseconds.
  double ExpectedWaitMs(const SlotQueue& aQueue,
                        int aPriority,
                        double aSlots,
                        TimePoint aNow) const;
  /// After how long a refused request is expected to find a slot, in milliseconds: a caller that
  /// returns while the overload lasts is refused again.
  double ReturnDelayMs(const SlotQueue& aQueue,
                       const SlotRequest& aRequest,
                       double aSlots,
                       TimePoint aNow) const;
  /// Whether to refuse a new request at once: the queue is full, its caller would stop waiting, or
  /// the service is overloaded and the request would probably miss its objective.
  bool ShouldRefuse(const SlotQueue& aQueue,
                    const WaitingSlotRequest& aWaiting,
                    double aSlots,
                    TimePoint aNow) const;
  /// The retry delay to send with a refusal, given the expected wait in milliseconds.
  Milliseconds RetryAfter(const SlotRequest& aRequest, double aWaitMs) const;

private:
  SlotSchedulerLimits m_limits;
  /// EWMA of the deviation of times to first byte, as a share of the expected time.
  double m_deviation = 0.25;
  /// When a first byte was recorded last.
  std::optional<TimePoint> m_last_first_byte_at;
};

}
