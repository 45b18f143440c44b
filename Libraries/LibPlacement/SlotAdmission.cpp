#include <LibPlacement/SlotAdmission.h>

#include <absl/hash/hash.h>
#include <algorithm>
#include <cmath>

namespace auburnhitch {

namespace {

// Lower bound of the expected time to first byte at any endpoint.
constexpr double kMinFirstByteMs = 0.1;
// Jitter of the retry delay as a share of the delay, so that refused callers do not return at the
// same time.
constexpr double kRetryJitterShare = 0.5;
// A request may be queued if its expected wait is at most this share of the time for which its
// caller still waits, less the time to first byte.
constexpr double kMaxWaitShare = 0.9;
// EWMA weight of a new deviation from an expected time; averages about thirty responses.
constexpr double kDeviationWeight = 0.03;
// Margin above an expected time, in mean deviations; about nine in ten times are within it.
constexpr double kMarginInDeviations = 1.25;
// Upper bound of one sample, so that a single response of an endpoint that has just become slow
// does not dominate the mean.
constexpr double kMaxDeviation = 1;
// Under overload the expected wait is limited to this share of the time that a request can wait and
// still be in time. A longer queue serves no more callers; it only makes each of them wait longer,
// and callers that retry after a refusal return too late.
constexpr double kOverloadSlackShare = 0.25;
// Lower bound of the time for which a request is expected to hold a slot.
constexpr double kMinSlotTimeMs = 1;
// Minimum share of the slots that work of higher priorities is expected to leave.
constexpr double kMinShareLeft = 0.1;

double
MsBetween(TimePoint aFrom, TimePoint aTo)
{
  return std::chrono::duration<double, std::milli>(aTo - aFrom).count();
}

}

WaitingSlotRequest
SlotAdmission::Estimate(const SlotRequest& aRequest,
                        const std::map<EndpointId, SlotEndpoint>& aEndpoints) const
{
  WaitingSlotRequest waiting{ aRequest, 0, 0, 0 };
  double min_first = -1;
  double total = 0;
  double rate = 0;
  for (const auto& [id, endpoint] : aEndpoints) {
    const double first = endpoint.Times().FirstByteSlowness() *
                         ServiceTimeModel::ReferenceFirstByteMs(aRequest.m_work, 0);
    min_first = min_first < 0 ? first : std::min(min_first, first);
    total += endpoint.ExpectedTotalMs(aRequest.m_work);
    rate += 1 / std::max(first, kMinFirstByteMs);
  }
  waiting.m_min_first_byte_ms = std::max(0.0, min_first);
  // Harmonic mean: fast endpoints have a free slot more often, so they get more weight.
  const double typical_first = rate > 0 ? static_cast<double>(aEndpoints.size()) / rate : 0;
  waiting.m_first_byte_bound_ms = typical_first * (1 + kMarginInDeviations * m_deviation);
  waiting.m_slot_time_ms =
    aEndpoints.empty() ? 0
                       : std::max(kMinSlotTimeMs, total / static_cast<double>(aEndpoints.size()));
  return waiting;
}

void
SlotAdmission::RecordFirstByteRatio(double aRatio, TimePoint aNow)
{
  m_last_first_byte_at = aNow;
  const double deviation = std::min(std::abs(aRatio - 1), kMaxDeviation);
  m_deviation += kDeviationWeight * (deviation - m_deviation);
}

LoadJudgement
SlotAdmission::JudgementOf(const WaitingSlotRequest& aWaiting,
                           const std::map<EndpointId, SlotEndpoint>& aEndpoints,
                           TimePoint aNow) const
{
  LoadJudgement judgement;
  judgement.m_priority = aWaiting.m_request.m_priority;
  judgement.m_waited_ms = MsBetween(aWaiting.m_request.m_arrived_at, aNow);
  judgement.m_first_byte_bound_ms = aWaiting.m_first_byte_bound_ms;
  judgement.m_until_objective_ms = MsBetween(aNow, aWaiting.m_request.m_objective_at);
  for (const auto& [id, endpoint] : aEndpoints) {
    judgement.m_responses += endpoint.Times().ResponseCount();
  }
  if (m_last_first_byte_at) {
    judgement.m_estimate_age_ms = MsBetween(*m_last_first_byte_at, aNow);
  }
  return judgement;
}

double
SlotAdmission::ExpectedWaitMs(const SlotQueue& aQueue,
                              int aPriority,
                              double aSlots,
                              TimePoint aNow) const
{
  if (m_limits.m_is_contended) {
    if (const auto wait_ms = aQueue.ExpectedWaitMs(aPriority, aNow)) {
      return *wait_ms;
    }
  }
  const double left = std::max(kMinShareLeft, 1.0 - aQueue.LoadAbove(aPriority, aSlots, aNow));
  return aQueue.SlotTimeAheadMs(aPriority) / (aSlots * left);
}

double
SlotAdmission::ReturnDelayMs(const SlotQueue& aQueue,
                             const SlotRequest& aRequest,
                             double aSlots,
                             TimePoint aNow) const
{
  const double wait_ms = ExpectedWaitMs(aQueue, aRequest.m_priority, aSlots, aNow);
  return m_limits.m_is_contended
           ? std::max(wait_ms, aQueue.OverloadEndsInMs(aRequest.m_priority, aSlots, aNow))
           : wait_ms;
}

bool
SlotAdmission::ShouldRefuse(const SlotQueue& aQueue,
                            const WaitingSlotRequest& aWaiting,
                            double aSlots,
                            TimePoint aNow) const
{
  if (aQueue.Size() >= m_limits.m_max_waiting) {
    return true;
  }
  const SlotRequest& request = aWaiting.m_request;
  const double wait_ms = ExpectedWaitMs(aQueue, request.m_priority, aSlots, aNow);
  if (wait_ms >
      kMaxWaitShare * (MsBetween(aNow, request.m_abandoned_at) - aWaiting.m_min_first_byte_ms)) {
    return true;
  }
  const double slack_ms = MsBetween(aNow, request.m_objective_at) - aWaiting.m_first_byte_bound_ms;
  return wait_ms > kOverloadSlackShare * slack_ms &&
         aQueue.IsOverloaded(request.m_priority, aSlots, aNow);
}

Milliseconds
SlotAdmission::RetryAfter(const SlotRequest& aRequest, double aWaitMs) const
{
  constexpr std::uint64_t kSteps = 1'000;
  const double point =
    static_cast<double>(absl::HashOf(aRequest.m_request_id) % kSteps) / static_cast<double>(kSteps);
  const auto spread = static_cast<std::int64_t>(aWaitMs * (1 + kRetryJitterShare * point));
  return std::clamp(Milliseconds(spread), m_limits.m_min_retry_after, m_limits.m_max_retry_after);
}

}
