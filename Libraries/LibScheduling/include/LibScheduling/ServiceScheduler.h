#pragma once

#include <LibBalance/EndpointTable.h>
#include <LibDocument/ServiceDocument.h>
#include <LibQueueing/TieredQueue.h>
#include <optional>
#include <vector>

namespace auburnhitch {

/// Why a request is not admitted, or is removed from the queue unserved.
enum class RejectionReason
{
  /// No endpoint may receive work.
  NoEndpoint,
  /// It cannot meet its deadline, because of the work ahead or its own expected length.
  DeadlineUnreachable,
  /// The queue is full and holds no lower sheddable work.
  Overloaded,
  /// Shed in favour of a higher tier.
  Shed,
  /// Its deadline passed while it waited.
  DeadlinePassed,
};

/// A request that is rejected without being sent, and the delay after which to retry.
struct RejectedRequest
{
  WaitingRequest m_request;
  RejectionReason m_reason = RejectionReason::Overloaded;
  Milliseconds m_retry_after{ 0 };
};

/// A request to send now, and the endpoint to send it to.
struct StartDecision
{
  WaitingRequest m_request;
  EndpointChoice m_choice;
};

/// State outside the scheduler that its decisions depend on.
struct SchedulerContext
{
  /// Whether an endpoint may receive new work.
  EndpointTable::Filter m_may_use;
  /// The highest tier that has work waiting at peers for this service, if any.
  std::optional<std::size_t> m_tier_waiting_at_peers;
};

struct SchedulerLimits
{
  std::size_t m_max_waiting = 10'000;
  Milliseconds m_min_retry_after{ 100 };
  Milliseconds m_max_retry_after{ 30'000 };
  BalancePolicy m_balance = kCurrentBalancePolicy;

  auto operator<=>(const SchedulerLimits&) const = default;
};

/// Decides for one service which request is served, by which endpoint, and which is rejected. Uses
/// no clock and no socket of its own. Not thread-safe.
class ServiceScheduler
{
public:
  explicit ServiceScheduler(const SchedulerLimits& aLimits)
    : m_limits(aLimits)
    , m_endpoints(aLimits.m_balance)
  {
  }

  void UpdateEndpoints(const std::vector<Endpoint>& aEndpoints) { m_endpoints.Update(aEndpoints); }
  /// See EndpointTable::SetDaemons().
  void SetDaemons(const std::vector<HostName>& aDaemons, const HostName& aOwn)
  {
    m_endpoints.SetDaemons(aDaemons, aOwn);
  }

  /// Enqueues a request or rejects it. Returns all rejected requests: lower ones that are shed for
  /// it, and the request itself if it is not admitted.
  std::vector<RejectedRequest> Admit(const WaitingRequest& aRequest,
                                     const SchedulerContext& aContext,
                                     TimePoint aNow);

  /// Removes the next request to send from the queue. Returns nothing while none can start. The
  /// caller must report the end of the request with RecordEnded().
  std::optional<StartDecision> Next(const SchedulerContext& aContext, TimePoint aNow);

  /// Requeues a request that was certainly not sent, and starts a back-off for its endpoint.
  void ReturnUnsent(const StartDecision& aStarted, TimePoint aNow);
  void RecordEnded(const HostName& aHost, const RequestKey& aKey, std::optional<Duration> aTook);
  /// Gives an endpoint no work until a time, as it has asked for. A shorter rest or back-off does
  /// not shorten one that lasts longer.
  void RecordRest(const HostName& aHost, TimePoint aUntil);

  /// Removes the requests that have missed or cannot meet their deadline, and sheds lower work when
  /// a deadline has passed. Removes all requests when no endpoint is left.
  std::vector<RejectedRequest> TakeOverdue(const SchedulerContext& aContext, TimePoint aNow);
  std::optional<WaitingRequest> Remove(const RequestKey& aKey) { return m_queue.Remove(aKey); }

  std::size_t WaitingCount() const { return m_queue.Size(); }
  std::vector<std::size_t> WaitingByTier(std::size_t aTiers) const
  {
    return m_queue.CountByTier(aTiers);
  }

private:
  bool MayUse(const Endpoint& aEndpoint, const SchedulerContext& aContext, TimePoint aNow) const;
  /// When an endpoint may first be used, if some are in back-off or rest; now if one may be used
  /// now.
  TimePoint EarliestUse(const SchedulerContext& aContext, TimePoint aNow) const;
  /// A rejection of a request that cannot be served before an endpoint may be used again.
  RejectedRequest RejectUntil(TimePoint aEarliestUse,
                              WaitingRequest aRequest,
                              TimePoint aNow) const;
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
  /// Removed from the queue because they cannot meet their deadline; TakeOverdue() returns them.
  std::vector<WaitingRequest> m_unmeetable;
};

}
