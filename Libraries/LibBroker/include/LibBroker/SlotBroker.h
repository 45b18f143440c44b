#pragma once

#include <LibBroker/NoticeExchange.h>
#include <LibBroker/SlotCoordinator.h>
#include <LibBroker/SlotMessages.h>
#include <LibBroker/StreamTracker.h>
#include <LibCluster/Membership.h>
#include <LibCluster/PeerLink.h>
#include <absl/container/flat_hash_map.h>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace auburnhitch {

/// Handlers for the outcome of a slot request. Called from the event loop, never from inside Ask().
struct SlotHandlers
{
  std::function<void(const SlotGrant& aGrant, const HostName& aCoordinator)> m_on_granted;
  std::function<void(const SlotRefusal& aRefusal, const HostName& aCoordinator)> m_on_refused;
};

/// Obtains slots for this daemon's requests from the coordinator of their service, and grants slots
/// to other daemons for the services that this daemon coordinates. When a coordinator fails or does
/// not respond, its requests are sent to another one. A grant is advice about where to send a
/// request, so two coordinators that grant the same slot only put more load on the endpoint than
/// intended. Not thread-safe.
class SlotBroker
{
public:
  struct Limits
  {
    SlotSchedulerLimits m_scheduler;
    /// Time within which a coordinator must acknowledge a slot request before another one is
    /// chosen. A round trip within a region takes a few milliseconds, and a packet that is lost is
    /// sent again after 200 ms or more: a shorter time takes each lost packet for a lost
    /// coordinator, and two coordinators then grant the same slots.
    Milliseconds m_acknowledgement_timeout{ 450 };
    /// Age from which a link is closed when its daemon is not alive.
    Milliseconds m_heartbeat_grace{ 1'000 };
    /// Share of the slots that this daemon grants while it knows other daemons and none of them is
    /// alive: they may be using the rest.
    double m_slot_share_when_isolated = 0.34;
  };

  struct Dependencies
  {
    EventLoop* m_loop = nullptr;
    Membership* m_membership = nullptr;
    QuotaLedger* m_quotas = nullptr;
    std::function<Member()> m_self;
    /// The endpoints whose registrations permit work.
    SlotCoordinator::EndpointSource m_endpoints;
    /// See StreamTracker::Dependencies.
    std::function<std::optional<SoftwareVersion>(const ServiceName& aService)> m_only_version;
    /// Called when this daemon learns that an endpoint wants no further requests of it: it leaves
    /// or rests.
    NoticeExchange::UnavailableHandler m_on_unavailable;
    /// Null if no rollouts are in force; otherwise outlives the broker.
    RolloutDirector* m_rollouts = nullptr;
  };

  SlotBroker(Limits aLimits, Dependencies aDependencies);
  ~SlotBroker() = default;
  SlotBroker(const SlotBroker&) = delete;
  SlotBroker& operator=(const SlotBroker&) = delete;

  /// Requests a slot. The request id in aRequest is overwritten. Returns the number in it, which
  /// names the request in the calls below.
  std::uint64_t RequestSlot(const ServiceName& aService,
                            SlotRequest aRequest,
                            SlotHandlers aHandlers);
  /// Cancels a request, or frees its slot if one was granted and will not be used.
  void Withdraw(std::uint64_t aNumber);
  /// Reports that the first byte of the response has arrived.
  void RecordStarted(std::uint64_t aNumber);
  /// Reports what an endpoint stated in its response to a request that holds a slot there. To be
  /// called before the slot is freed.
  void RecordNotice(std::uint64_t aNumber,
                    const EndpointIncarnation& aEndpoint,
                    const EndpointNotice& aNotice);
  /// Reports what an endpoint stated in a response that arrived after its slot was freed. Its rate
  /// limit is ignored, since it may be older than the one that is known.
  void RecordLateNotice(const ServiceName& aService,
                        const EndpointIncarnation& aEndpoint,
                        EndpointNotice aNotice);
  /// Records what an endpoint stated in a response to another daemon, which has reported it and
  /// passed the response on to this one.
  void RecordForwardedNotice(const ServiceName& aService,
                             const EndpointIncarnation& aEndpoint,
                             const EndpointNotice& aNotice)
  {
    m_notices.RecordForwarded(aService, aEndpoint, aNotice, Now());
  }
  /// The rate limit that an endpoint states, as far as this daemon knows.
  std::optional<RequestRate> KnownLimitOf(const EndpointIncarnation& aEndpoint) const
  {
    return m_notices.KnownLimitOf(aEndpoint);
  }
  /// Whether an endpoint has said that it leaves, as far as this daemon knows: it must get no
  /// further requests, whoever granted their slots.
  bool IsLeaving(const EndpointIncarnation& aEndpoint) const
  {
    return m_notices.IsLeaving(aEndpoint);
  }
  /// Whether an endpoint has asked this daemon for a rest that has not ended: it must get no
  /// requests from this daemon, whoever granted their slots.
  bool IsResting(const EndpointIncarnation& aEndpoint) const
  {
    return m_notices.IsResting(aEndpoint, Now());
  }
  /// Reports that the end of a request does not prove that its response is complete. To be called
  /// before the slot is freed.
  void MarkEndUnproven(std::uint64_t aNumber);
  /// Frees a slot that was granted.
  void RecordEnded(std::uint64_t aNumber, SlotOutcome aOutcome);

  /// The software versions that sent the first events of streams.
  StreamTracker& Streams() { return m_streams; }

  /// Whether this daemon coordinates a service, as far as it knows.
  bool Coordinates(const ServiceName& aService);
  /// The endpoints of a service whose slots may be granted.
  std::vector<SlotEndpointInfo> UsableEndpoints(const ServiceName& aService) const;
  /// See SlotCoordinator::HeldAtOthers().
  std::size_t HeldAtOthers(const ServiceName& aService, const SoftwareVersion& aVersion) const
  {
    return m_coordinator.HeldAtOthers(aService, aVersion, Now());
  }

  /// Takes ownership of a link that another daemon opened.
  void OnLink(std::unique_ptr<PeerLink> aLink);
  /// Handles the registration of an incarnation of an endpoint. aReadableSince: since when the
  /// store could be reached.
  void OnEndpointRegistered(const ServiceName& aService,
                            const EndpointIncarnation& aEndpoint,
                            TimePoint aReadableSince)
  {
    m_notices.OnRegistered(aService, aEndpoint, aReadableSince, Now());
  }
  /// Handles a registration that was read again or for the first time. aReadableSince: as above.
  void OnEndpointRenewed(const ServiceName& aService,
                         const EndpointIncarnation& aEndpoint,
                         TimePoint aReadableSince)
  {
    m_coordinator.RecordRenewed(aService, aEndpoint, aReadableSince, Now());
  }
  /// Call after all changes of registrations that were read together.
  void OnEndpointsChanged();
  /// Call every few tens of milliseconds. Detects coordinators that do not respond and daemons that
  /// are not alive, and refuses requests that have waited too long.
  void Tick();

  std::size_t WaitingCount() const { return m_coordinator.WaitingCount(); }
  std::size_t HeldCount() const { return m_coordinator.HeldCount(); }
  std::size_t OutstandingCount() const { return m_outstanding.size(); }

private:
  /// A request of this daemon that waits for a slot or holds one.
  struct OutstandingRequest
  {
    ServiceName m_service;
    SlotRequest m_request;
    SlotHandlers m_handlers;
    HostName m_coordinator;
    TimePoint m_requested_at;
    bool m_is_acknowledged = false;
    bool m_is_granted = false;
    /// See MarkEndUnproven().
    bool m_is_end_unproven = false;
    TimePoint m_granted_at;
    EndpointId m_endpoint;
    /// What the coordinator says of the endpoint before it grants a slot there.
    bool m_may_have_restarted = false;
  };

  /// A link that another daemon opened to request slots from this one.
  struct InboundLink
  {
    std::unique_ptr<PeerLink> m_link;
    /// Empty until the daemon has identified itself.
    HelloMessage m_peer;
    TimePoint m_accepted_at;
    /// The services whose slots the daemon requests from this one.
    std::set<ServiceName> m_followed_services;
    /// Restricts the next slot request if that has its number.
    std::optional<RequiredVersionMessage> m_required_version;
    /// Belongs to the next slot request or held slot if that has its number.
    std::optional<CrashTraitsMessage> m_crash_traits;
    /// Belongs to the next slot request if that has its number.
    std::optional<RequestRouteMessage> m_route;

    std::vector<CrashTrait> TakeCrashTraits(std::uint64_t aNumber);
  };

  bool IsSelf(const HostName& aHost) const;
  /// Returns the coordinator of a service. Calls ChangeCoordinator() if it was another one before.
  Member CoordinatorFor(const ServiceName& aService);
  StreamTracker::Dependencies StreamDependencies();
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
  /// Handles a notice as coordinator. aLink is null for this daemon's own notices.
  void OnReport(InboundLink* aLink, const EndpointNoticeMessage& aNotice);
  void SendToAll(const SlotMessage& aMessage);
  /// Refuses a request because this daemon knows that it crashes endpoints.
  void RefuseHarmful(std::uint64_t aNumber, OutstandingRequest& aOutstanding);
  void SendCrashTraits(std::uint64_t aNumber,
                       const SlotRequest& aRequest,
                       const Member& aCoordinator);
  /// Reports to a new coordinator what this daemon knows of endpoints' statements and of requests
  /// that crash endpoints.
  void ReportKnown(const ServiceName& aService, const Member& aCoordinator);
  InboundLink* FindInboundLink(const Incarnation& aDaemon);
  void ScheduleDecision(const ServiceName& aService);
  void UpdateShares();
  /// How many daemons, including this one, request the slots of a service from this one.
  std::size_t FollowerCount(const ServiceName& aService) const;
  TimePoint Now() const;

  Limits m_limits;
  Dependencies m_dependencies;
  Incarnation m_incarnation;
  HostName m_own_host;
  /// For the services that this daemon coordinates.
  SlotCoordinator m_coordinator;
  NoticeExchange m_notices;
  StreamTracker m_streams;
  std::uint64_t m_last_number = 0;
  absl::flat_hash_map<std::uint64_t, OutstandingRequest> m_outstanding;
  /// The host that coordinates each service, as chosen last.
  std::map<ServiceName, HostName> m_coordinators;
  std::map<HostName, std::unique_ptr<PeerLink>> m_links;
  std::vector<std::unique_ptr<InboundLink>> m_inbound;
  std::set<ServiceName> m_services_to_decide;
  std::unique_ptr<Timer> m_decide_timer;
  /// When the shares and the replicas of streams were last updated.
  TimePoint m_membership_applied_at;
  TimePoint m_notices_swept_at;
};

}
