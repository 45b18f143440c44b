#pragma once

#include <LibAllowance/QuotaLedger.h>
#include <LibBroker/CrashSuspectTable.h>
#include <LibBroker/LoadRefusalLog.h>
#include <LibBroker/RolloutDirector.h>
#include <LibPlacement/SlotScheduler.h>
#include <functional>
#include <map>
#include <set>

namespace auburnhitch {

/// Grants the slots of the services that this daemon coordinates, to its own requests and to those
/// of other daemons. It also charges each request to its workspace's quota, so that one daemon
/// decides for all: reports of spending take about a second to reach each of 78 daemons, and a
/// workspace that sends six times its quota would exceed it within that time. Owns no socket:
/// decisions are passed to a callback. Not thread-safe.
class SlotCoordinator
{
public:
  using EndpointSource = std::function<std::vector<SlotEndpointInfo>(const ServiceName&)>;
  using DecisionHandler =
    std::function<void(const ServiceName& aService, const SlotDecisions& aDecisions)>;

  /// Precondition: the ledger outlives the coordinator.
  SlotCoordinator(SlotSchedulerLimits aLimits,
                  QuotaLedger& aQuotas,
                  EndpointSource aEndpoints,
                  DecisionHandler aHandler);

  /// Sets what decides on rollouts; null, as initially, if none are in force. To be called before
  /// the first use. Precondition: the director outlives the coordinator.
  void SetRollouts(RolloutDirector* aRollouts) { m_rollouts = aRollouts; }
  /// Slots held at endpoints of versions other than aVersion.
  std::size_t HeldAtOthers(const ServiceName& aService,
                           const SoftwareVersion& aVersion,
                           TimePoint aNow) const;
  /// Returns the scheduler of a service, creating it on first use. Call Decide() after changing it.
  SlotScheduler& SchedulerOf(const ServiceName& aService, TimePoint aNow);
  /// What this daemon knows of requests that crash endpoints.
  CrashSuspectTable& Suspects() { return m_crash_suspects; }
  const CrashSuspectTable& Suspects() const { return m_crash_suspects; }
  /// Charges a request to its workspace's quota and queues it. Decide() reports whether it is
  /// granted or refused, also when the quota refuses it.
  void RequestSlot(const ServiceName& aService, const SlotRequest& aRequest, TimePoint aNow);
  /// Cancels a request. Refunds its quota charge if it still waits, or frees its slot if it has
  /// been granted one meanwhile.
  void Withdraw(const ServiceName& aService, const SlotRequestId& aRequestId, TimePoint aNow);
  void Decide(const ServiceName& aService, TimePoint aNow);
  void DecideAll(TimePoint aNow);
  /// Reads the endpoints of all services again. Call when the endpoints, or what is known about
  /// them, have changed.
  void UpdateEndpoints(TimePoint aNow);
  /// The same for one service.
  void UpdateEndpointsOf(const ServiceName& aService, TimePoint aNow);
  /// Sets the share of each endpoint's slots that may be granted here.
  void SetSlotShare(double aSlotShare);
  /// Sets the share of the rate limits of a service's endpoints that may be used here.
  void SetRateShare(const ServiceName& aService, double aShare, TimePoint aNow);
  /// Records that the registration of an endpoint was read again; see
  /// SlotEndpoint::RecordRenewed().
  void RecordRenewed(const ServiceName& aService,
                     const EndpointIncarnation& aEndpoint,
                     TimePoint aReadableSince,
                     TimePoint aNow);
  /// Applies the rate limit, or its absence, that an endpoint stated in the response to a request;
  /// see SlotEndpoint::RecordStatedLimit(). Returns whether the limit has changed.
  bool RecordStatedLimit(const ServiceName& aService,
                         const EndpointIncarnation& aEndpoint,
                         const std::optional<RequestRate>& aStated,
                         const std::optional<SlotRequestId>& aRequestId,
                         TimePoint aNow);
  /// Records that an endpoint wants no requests of a daemon for a while; see EndpointRests.
  void RecordRest(const ServiceName& aService,
                  const EndpointIncarnation& aEndpoint,
                  const Incarnation& aDaemon,
                  Milliseconds aRest,
                  TimePoint aNow);
  /// See EndpointRests::RecordRegistered().
  void RecordRegistered(const EndpointIncarnation& aEndpoint,
                        TimePoint aReadableSince,
                        TimePoint aNow)
  {
    m_rests->RecordRegistered(aEndpoint, aReadableSince, aNow);
  }
  /// Drops the rests that have ended. Call at intervals.
  void DropEndedRests(TimePoint aNow) { m_rests->DropExpired(aNow); }
  /// The limit that an endpoint states, if this daemon coordinates the service and knows of one.
  std::optional<RequestRate> StatedLimitOf(const ServiceName& aService,
                                           const EndpointIncarnation& aEndpoint) const;
  /// The endpoints of all services coordinated here that state a limit.
  std::vector<std::pair<ServiceName, StatedLimit>> StatedLimits() const;
  std::vector<ServiceName> Services() const;
  /// Whether this daemon has coordinated a service.
  bool HasCoordinated(const ServiceName& aService) const { return m_schedulers.contains(aService); }
  /// Drops the waiting requests of a daemon, refunding their quota charges, and frees the slots
  /// that it holds.
  void ForgetDaemon(const Incarnation& aDaemon);
  /// The same for one service.
  void ForgetDaemon(const ServiceName& aService, const Incarnation& aDaemon, TimePoint aNow);

  std::size_t WaitingCount() const;
  std::size_t HeldCount() const;

  /// Logs each endpoint that has become suspect, or is trusted again, since the last call.
  void LogSuspicionChanges(TimePoint aNow);

private:
  void Refund(const std::vector<SlotRequest>& aRequests);

  SlotSchedulerLimits m_limits;
  QuotaLedger& m_quotas;
  EndpointSource m_endpoints;
  DecisionHandler m_handler;
  RolloutDirector* m_rollouts = nullptr;
  double m_slot_share = 1.0;
  std::map<ServiceName, LoadRefusalLog> m_load_refusals;
  CrashSuspectTable m_crash_suspects;
  /// The rests of all daemons that request slots here, which the schedulers share.
  std::shared_ptr<EndpointRests> m_rests = std::make_shared<EndpointRests>(kMaxRestsOfDaemons);
  std::map<ServiceName, SlotScheduler> m_schedulers;
  /// Refusals of requests over their quota since the last decision.
  std::map<ServiceName, std::vector<SlotRefusal>> m_quota_refusals;
  std::set<EndpointId> m_suspects;
};

}
