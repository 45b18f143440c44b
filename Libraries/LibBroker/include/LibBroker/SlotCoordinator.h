#pragma once

#include <LibAllowance/QuotaLedger.h>
#include <LibPlacement/SlotScheduler.h>
#include <functional>
#include <map>
#include <set>

namespace auburnhitch {

/// The services whose places this daemon grants, to itself and to the daemons that ask it. A
/// request is charged to its workspace's quota here as well, so that one daemon decides for all:
/// news of spending take about a second to reach each of 78 daemons, in which a workspace that
/// presses with six times its quota would pass it. Owns no socket: what it decides is handed to a
/// callback. Not thread-safe.
class SlotCoordinator
{
public:
  using EndpointSource = std::function<std::vector<SlotEndpointInfo>(const ServiceName&)>;
  using DecisionHandler =
    std::function<void(const ServiceName& aService, const SlotDecisions& aDecisions)>;

  /// Precondition: the ledger outlives the home.
  SlotCoordinator(SlotSchedulerLimits aLimits,
                  QuotaLedger& aQuotas,
                  EndpointSource aEndpoints,
                  DecisionHandler aHandler);

  /// The scheduler of a service, which is made on first use. Call Decide() after changing it.
  SlotScheduler& SchedulerOf(const ServiceName& aService, TimePoint aNow);
  /// Charges a request to its quota and lets it wait. Decide() answers it, also when it is refused.
  void RequestSlot(const ServiceName& aService, const SlotRequest& aRequest, TimePoint aNow);
  /// The request no longer wants a place: gives back what it was charged while it waits, or the
  /// place if it was granted one meanwhile.
  void Withdraw(const ServiceName& aService, const SlotRequestId& aRequestId, TimePoint aNow);
  void Decide(const ServiceName& aService, TimePoint aNow);
  void DecideAll(TimePoint aNow);
  /// The endpoints, or what is known of them, have changed.
  void UpdateEndpoints(TimePoint aNow);
  /// Which part of each endpoint's places may be granted here.
  void SetSlotShare(double aSlotShare);
  /// Drops all that a daemon waits for and holds, and gives back what its waiting requests were
  /// charged.
  void ForgetDaemon(const Incarnation& aDaemon);
  /// The same for one service.
  void ForgetDaemon(const ServiceName& aService, const Incarnation& aDaemon, TimePoint aNow);

  std::size_t WaitingCount() const;
  std::size_t HeldCount() const;

  /// Writes a line for each endpoint that has come under suspicion or is trusted again since the
  /// last call.
  void LogSuspicionChanges(TimePoint aNow);

private:
  void Refund(const std::vector<SlotRequest>& aRequests);

  SlotSchedulerLimits m_limits;
  QuotaLedger& m_quotas;
  EndpointSource m_endpoints;
  DecisionHandler m_handler;
  double m_slot_share = 1.0;
  std::map<ServiceName, SlotScheduler> m_schedulers;
  /// Refused for their quota since the last decision.
  std::map<ServiceName, std::vector<SlotRefusal>> m_quota_refusals;
  std::set<EndpointId> m_suspects;
};

}
