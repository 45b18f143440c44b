#pragma once

#include <LibBroker/SlotCoordinator.h>
#include <LibBroker/SlotMessages.h>
#include <LibCluster/Membership.h>
#include <LibCluster/PeerLink.h>
#include <absl/container/flat_hash_map.h>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace auburnhitch {

/// What a request is told of its place. Called from the loop, never from inside Ask().
struct SlotHandlers
{
  std::function<void(const SlotGrant& aGrant, const HostName& aCoordinator)> m_on_granted;
  std::function<void(const SlotRefusal& aRefusal, const HostName& aCoordinator)> m_on_refused;
};

/// Gets places for this daemon's requests from the daemon that grants those of a service, and
/// grants places to other daemons where this one is chosen. When that daemon fails or is silent,
/// its requests are asked for again elsewhere: a grant is advice about where to send, so two
/// daemons that grant the same place only load an endpoint more than they meant to. Not
/// thread-safe.
class SlotBroker
{
public:
  struct Limits
  {
    SlotSchedulerLimits m_scheduler;
    /// Silence after which a home that was asked is passed over; a round trip within a region
    /// takes a few milliseconds.
    Milliseconds m_acknowledgement_timeout{ 150 };
    /// Age of a link from which on its daemon must be heard.
    Milliseconds m_heartbeat_grace{ 1'000 };
    /// Part of the places that a daemon uses that hears no other although there are some: the
    /// others may be using the rest.
    double m_slot_share_when_isolated = 0.34;
  };

  struct Dependencies
  {
    EventLoop* m_loop = nullptr;
    Membership* m_membership = nullptr;
    QuotaLedger* m_quotas = nullptr;
    std::function<Member()> m_self;
    SlotCoordinator::EndpointSource m_endpoints;
  };

  SlotBroker(Limits aLimits, Dependencies aDependencies);
  ~SlotBroker() = default;
  SlotBroker(const SlotBroker&) = delete;
  SlotBroker& operator=(const SlotBroker&) = delete;

  /// Asks for a place. The ticket in the request is overwritten. Returns its number.
  std::uint64_t RequestSlot(const ServiceName& aService,
                            SlotRequest aRequest,
                            SlotHandlers aHandlers);
  /// Ends a ticket that is not used.
  void Withdraw(std::uint64_t aNumber);
  void RecordStarted(std::uint64_t aNumber);
  /// Ends a ticket that was granted.
  void RecordEnded(std::uint64_t aNumber, SlotOutcome aEnd);

  /// Takes over a link that another daemon opened.
  void OnLink(std::unique_ptr<PeerLink> aLink);
  void OnEndpointsChanged();
  /// Call every few ten milliseconds: notices silent homes and requests that waited too long.
  void Tick();

  std::size_t WaitingCount() const { return m_coordinator.WaitingCount(); }
  std::size_t HeldCount() const { return m_coordinator.HeldCount(); }
  std::size_t OutstandingCount() const { return m_outstanding.size(); }

private:
  struct OutstandingRequest
  {
    ServiceName m_service;
    SlotRequest m_request;
    SlotHandlers m_handlers;
    HostName m_coordinator;
    TimePoint m_requested_at;
    bool m_is_acknowledged = false;
    bool m_is_granted = false;
    EndpointId m_endpoint;
  };

  struct InboundLink
  {
    std::unique_ptr<PeerLink> m_link;
    HelloMessage m_peer;
    TimePoint m_accepted_at;
  };

  bool IsSelf(const HostName& aHost) const;
  PeerLink& LinkTo(const Member& aCoordinator);
  void SendToCoordinator(const HostName& aCoordinator, const SlotMessage& aMessage);
  void RequestFromCoordinator(std::uint64_t aNumber,
                              OutstandingRequest& aOutstanding,
                              const Member& aCoordinator);
  void UpdateCoordinators();
  void ChangeCoordinator(const ServiceName& aService, const Member& aCoordinator);
  void OnCoordinatorMessage(const HostName& aCoordinator, const nlohmann::json& aMessage);
  void OnCoordinatorLost(const HostName& aCoordinator, const char* aWhy);
  void OnInboundMessage(InboundLink& aLink, const nlohmann::json& aMessage);
  void CloseInboundLink(InboundLink* aLink, const char* aWhy);
  void OnSlotRequest(InboundLink& aLink, const SlotRequestMessage& aSlotRequest);
  void OnDecisions(const SlotDecisions& aDecisions);
  void Deliver(const SlotGrant& aGrant, const HostName& aCoordinator);
  void Deliver(const SlotRefusal& aRefusal, const HostName& aCoordinator);
  InboundLink* FindInboundLink(const Incarnation& aDaemon);
  void ScheduleDecision(const ServiceName& aService);
  void UpdateSlotShare();
  TimePoint Now() const;

  Limits m_limits;
  Dependencies m_dependencies;
  Incarnation m_incarnation;
  HostName m_own_host;
  SlotCoordinator m_coordinator;
  std::uint64_t m_last_number = 0;
  absl::flat_hash_map<std::uint64_t, OutstandingRequest> m_outstanding;
  std::map<ServiceName, HostName> m_coordinators;
  std::map<HostName, std::unique_ptr<PeerLink>> m_links;
  std::vector<std::unique_ptr<InboundLink>> m_inbound;
  std::set<ServiceName> m_services_to_decide;
  std::unique_ptr<Timer> m_decide_timer;
};

}
