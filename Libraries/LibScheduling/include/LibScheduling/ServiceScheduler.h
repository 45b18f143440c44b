#pragma once

#include <LibBalance/EndpointTable.h>
#include <LibDocument/ServiceDocument.h>
#include <LibQueueing/TieredQueue.h>
#include <optional>
#include <vector>

namespace auburnhitch {

/// Why a request is not admitted, or is put out of the queue.
enum class RejectionReason
{
  /// No endpoint may receive work.
  NoEndpoint,
  /// The work ahead of it takes longer than its deadline allows.
  DeadlineUnreachable,
  /// The queue is full of work that goes first.
  Overloaded,
  /// Made room for a higher tier.
  Shed,
  /// Its deadline passed while it waited.
  DeadlinePassed,
};

/// A request that is given up unsent, and when to come back.
struct RejectedRequest
{
  WaitingRequest m_request;
  RejectionReason m_reason = RejectionReason::Overloaded;
  Milliseconds m_retry_after{ 0 };
};

/// A request that is to be sent now, and where to.
struct StartDecision
{
  WaitingRequest m_request;
  EndpointChoice m_choice;
};

/// What the scheduler is told of the world outside it.
struct SchedulerContext
{
  /// Whether an endpoint may receive new work.
  EndpointTable::Filter m_may_use;
  /// The highest tier of which peers have work waiting for this service, if any.
  std::optional<std::size_t> m_tier_waiting_at_peers;
};

struct SchedulerLimits
{
  std::size_t m_max_waiting = 10'000;
  Milliseconds m_min_retry_after{ 100 };
  Milliseconds m_max_retry_after{ 30'000 };
  BalancePolicy m_balance = kPresentBalancePolicy;

  auto operator<=>(const SchedulerLimits&) const = default;
};

/// Decides for one service which request is served, by which endpoint, and which is given up.
/// Pure: owns no clock and no socket. Not thread-safe.
class ServiceScheduler
{
public:
  explicit ServiceScheduler(const SchedulerLimits& aLimits)
    : m_limits(aLimits)
    , m_endpoints(aLimits.m_balance)
  {
  }

  void UpdateEndpoints(const std::vector<Endpoint>& aEndpoints) { m_endpoints.Update(aEndpoints); }
  /// See EndpointTable.
  void SetSharers(const std::vector<HostName>& aDaemons, const HostName& aOwn)
  {
    m_endpoints.SetSharers(aDaemons, aOwn);
  }

  /// Takes a request into the queue or gives it up. Returns all requests that are given up for it:
  /// lower ones that make room, and itself where there is none.
  std::vector<RejectedRequest> Admit(const WaitingRequest& aRequest,
                                     const SchedulerContext& aContext,
                                     TimePoint aNow);

  /// Takes the next request to send out of the queue, or nothing while none can start. The caller
  /// must report its end with RecordEnded().
  std::optional<StartDecision> Next(const SchedulerContext& aContext, TimePoint aNow);

  /// Puts back a request that provably was not sent, and avoids the endpoint for a while.
  void ReturnUnsent(const StartDecision& aStarted, TimePoint aNow);
  void RecordEnded(const HostName& aHost, const RequestKey& aKey, std::optional<Duration> aTook);

  /// Takes out the requests whose deadline has passed, and the lower ones that may not outlast
  /// them; all of them when no endpoint is left.
  std::vector<RejectedRequest> TakeOverdue(const SchedulerContext& aContext, TimePoint aNow);
  std::optional<WaitingRequest> Remove(const RequestKey& aKey) { return m_queue.Remove(aKey); }

  std::size_t WaitingCount() const { return m_queue.Size(); }
  std::vector<std::size_t> WaitingByTier(std::size_t aTiers) const
  {
    return m_queue.CountByTier(aTiers);
  }

private:
  bool MayUse(const Endpoint& aEndpoint, const SchedulerContext& aContext, TimePoint aNow) const;
  Milliseconds RetryAfter(std::size_t aTier,
                          const SchedulerContext& aContext,
                          TimePoint aNow) const;
  void ShedAllBelow(std::size_t aTier,
                    Milliseconds aRetryAfter,
                    std::vector<RejectedRequest>& aRejected);

  SchedulerLimits m_limits;
  TieredQueue m_queue;
  EndpointTable m_endpoints;
  std::map<HostName, TimePoint> m_avoided_until;
  /// Taken out of the queue because they would end too late; given up next.
  std::vector<WaitingRequest> m_unmeetable;
};

}
