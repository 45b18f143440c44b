#pragma once

#include <LibBroker/HomeService.h>
#include <LibBroker/PlaceMessages.h>
#include <LibCluster/Membership.h>
#include <LibCluster/PeerLink.h>
#include <absl/container/flat_hash_map.h>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace auburnhitch {

/// What a request is told of its place. Called from the loop, never from inside Ask().
struct PlaceHandlers
{
  std::function<void(const SlotGrant& aGrant, const HostName& aHome)> m_on_granted;
  std::function<void(const SlotRefusal& aRefusal, const HostName& aHome)> m_on_refused;
};

/// Gets places for this daemon's requests from the daemon that grants those of a service, and
/// grants places to other daemons where this one is chosen. When that daemon fails or is silent,
/// its requests are asked for again elsewhere: a grant is advice about where to send, so two
/// daemons that grant the same place only load an endpoint more than they meant to. Not
/// thread-safe.
class PlaceBroker
{
public:
  struct Limits
  {
    SlotSchedulerLimits m_scheduler;
    /// Silence after which a home that was asked is passed over; a round trip within a region
    /// takes a few milliseconds.
    Milliseconds m_answer_timeout{ 150 };
    /// Age of a link from which on its daemon must be heard.
    Milliseconds m_unheard_timeout{ 1'000 };
    /// Part of the places that a daemon uses that hears no other although there are some: the
    /// others may be using the rest.
    double m_part_when_alone = 0.34;
  };

  struct Surroundings
  {
    EventLoop* m_loop = nullptr;
    Membership* m_membership = nullptr;
    QuotaLedger* m_quotas = nullptr;
    std::function<Member()> m_self;
    HomeService::EndpointSource m_endpoints;
  };

  PlaceBroker(Limits aLimits, Surroundings aSurroundings);
  ~PlaceBroker() = default;
  PlaceBroker(const PlaceBroker&) = delete;
  PlaceBroker& operator=(const PlaceBroker&) = delete;

  /// Asks for a place. The ticket in the request is overwritten. Returns its number.
  std::uint64_t RequestSlot(const ServiceName& aService, SlotRequest aRequest, PlaceHandlers aHandlers);
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

  std::size_t WaitingCount() const { return m_home.WaitingCount(); }
  std::size_t HeldCount() const { return m_home.HeldCount(); }
  std::size_t TicketCount() const { return m_tickets.size(); }

private:
  struct Ticket
  {
    ServiceName m_service;
    SlotRequest m_request;
    PlaceHandlers m_handlers;
    HostName m_home;
    TimePoint m_asked_at;
    bool m_is_acknowledged = false;
    bool m_is_granted = false;
    EndpointId m_endpoint;
  };

  struct InboundLink
  {
    std::unique_ptr<PeerLink> m_link;
    HelloMessage m_peer;
    TimePoint m_since;
  };

  bool IsSelf(const HostName& aHost) const;
  PeerLink& LinkTo(const Member& aHome);
  void SendHome(const HostName& aHome, const PlaceMessage& aMessage);
  void AskHome(std::uint64_t aNumber, Ticket& aTicket, const Member& aHome);
  void ReviewHomes();
  void MoveTickets(const ServiceName& aService, const Member& aHome);
  void OnHomeMessage(const HostName& aHome, const nlohmann::json& aMessage);
  void OnHomeLinkClosed(const HostName& aHome, const char* aWhy);
  void OnInboundMessage(InboundLink& aLink, const nlohmann::json& aMessage);
  void OnInboundClosed(InboundLink* aLink, const char* aWhy);
  void OnAsk(InboundLink& aLink, const AskMessage& aAsk);
  void OnDecisions(const SlotDecisions& aDecisions);
  void Deliver(const SlotGrant& aGrant, const HostName& aHome);
  void Deliver(const SlotRefusal& aRefusal, const HostName& aHome);
  InboundLink* InboundOf(const Incarnation& aDaemon);
  void DecideSoon(const ServiceName& aService);
  void UpdatePart();
  TimePoint Now() const;

  Limits m_limits;
  Surroundings m_surroundings;
  Incarnation m_incarnation;
  HostName m_own;
  HomeService m_home;
  std::uint64_t m_last_number = 0;
  absl::flat_hash_map<std::uint64_t, Ticket> m_tickets;
  std::map<ServiceName, HostName> m_homes;
  std::map<HostName, std::unique_ptr<PeerLink>> m_links;
  std::vector<std::unique_ptr<InboundLink>> m_inbound;
  std::set<ServiceName> m_to_decide;
  std::unique_ptr<Timer> m_decide_timer;
};

}
