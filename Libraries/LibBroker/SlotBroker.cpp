#include <LibBroker/SlotBroker.h>

#include "Overloaded.h"

#include <LibBroker/RateShare.h>
#include <LibCore/Log.h>
#include <algorithm>

namespace auburnhitch {

namespace {

// How often shares and replicas follow the membership, which changes with heartbeats.
constexpr Milliseconds kMembershipInterval{ 200 };
// How often expired statements of endpoints are dropped; well below their retention.
constexpr Milliseconds kNoticeSweepInterval{ 10'000 };

Milliseconds
MillisecondsBetween(TimePoint aFrom, TimePoint aTo)
{
  return Milliseconds(ToMilliseconds(aTo - aFrom));
}

}

SlotBroker::SlotBroker(Limits aLimits, Dependencies aDependencies)
  : m_limits(aLimits)
  , m_dependencies(std::move(aDependencies))
  , m_incarnation(m_dependencies.m_self().m_incarnation)
  , m_own_host(m_dependencies.m_self().m_host)
  , m_coordinator(
      aLimits.m_scheduler,
      *m_dependencies.m_quotas,
      [this](const ServiceName& aService) { return UsableEndpoints(aService); },
      [this](const ServiceName&, const SlotDecisions& aDecisions) { OnDecisions(aDecisions); })
  , m_notices(
      m_incarnation,
      m_coordinator,
      [this](const EndpointNoticeMessage& aNotice) { SendToAll(aNotice); },
      m_dependencies.m_on_unavailable)
  , m_streams(StreamVersions::Limits(), StreamDependencies())
{
  m_coordinator.SetRollouts(m_dependencies.m_rollouts);
}

bool
SlotBroker::Coordinates(const ServiceName& aService)
{
  return IsSelf(CoordinatorFor(aService).m_host);
}

StreamTracker::Dependencies
SlotBroker::StreamDependencies()
{
  return { m_dependencies.m_loop,
           [this](const ServiceName& aService) { return Coordinates(aService); },
           [this](const ServiceName& aService) -> std::optional<Member> {
             Member coordinator = CoordinatorFor(aService);
             return IsSelf(coordinator.m_host)
                      ? m_dependencies.m_membership->SuccessorOf(aService, Now())
                      : std::optional(std::move(coordinator));
           },
           [this](const Member& aDaemon, const SlotMessage& aMessage) {
             LinkTo(aDaemon).Send(EncodeSlotMessage(aMessage));
           },
           m_dependencies.m_only_version };
}

std::vector<SlotEndpointInfo>
SlotBroker::UsableEndpoints(const ServiceName& aService) const
{
  std::vector<SlotEndpointInfo> infos = m_dependencies.m_endpoints(aService);
  std::erase_if(infos, [this](const SlotEndpointInfo& aInfo) {
    return IsLeaving({ aInfo.m_id, aInfo.m_started_at_ms });
  });
  return infos;
}

TimePoint
SlotBroker::Now() const
{
  return m_dependencies.m_loop->Now();
}

bool
SlotBroker::IsSelf(const HostName& aHost) const
{
  return aHost == m_own_host;
}

std::uint64_t
SlotBroker::RequestSlot(const ServiceName& aService, SlotRequest aRequest, SlotHandlers aHandlers)
{
  const std::uint64_t number = ++m_last_number;
  aRequest.m_request_id = SlotRequestId{ m_incarnation, number };
  const Member coordinator = CoordinatorFor(aService);
  OutstandingRequest& outstanding = m_outstanding[number];
  outstanding.m_service = aService;
  outstanding.m_request = std::move(aRequest);
  outstanding.m_handlers = std::move(aHandlers);
  if (m_coordinator.Suspects().IsHarmful(aService, outstanding.m_request.m_crash_traits, Now())) {
    RefuseHarmful(number, outstanding);
  } else {
    RequestFromCoordinator(number, outstanding, coordinator);
  }
  return number;
}

void
SlotBroker::RefuseHarmful(std::uint64_t aNumber, OutstandingRequest& aOutstanding)
{
  aOutstanding.m_coordinator = m_own_host;
  aOutstanding.m_requested_at = Now();
  aOutstanding.m_is_acknowledged = true;
  m_dependencies.m_loop->Defer([this, aNumber] {
    Deliver(SlotRefusal{ SlotRequestId{ m_incarnation, aNumber },
                         SlotRefusalReason::Harmful,
                         m_limits.m_scheduler.m_max_retry_after },
            m_own_host);
  });
}

void
SlotBroker::SendCrashTraits(std::uint64_t aNumber,
                            const SlotRequest& aRequest,
                            const Member& aCoordinator)
{
  if (!aRequest.m_crash_traits.empty()) {
    LinkTo(aCoordinator)
      .Send(EncodeSlotMessage(CrashTraitsMessage{ aNumber, aRequest.m_crash_traits }));
  }
}

Member
SlotBroker::CoordinatorFor(const ServiceName& aService)
{
  Member coordinator =
    m_dependencies.m_membership->CoordinatorOf(aService, m_dependencies.m_self(), Now());
  const auto known = m_coordinators.find(aService);
  if (known == m_coordinators.end() || known->second != coordinator.m_host) {
    ChangeCoordinator(aService, coordinator);
  }
  return coordinator;
}

void
SlotBroker::RequestFromCoordinator(std::uint64_t aNumber,
                                   OutstandingRequest& aOutstanding,
                                   const Member& aCoordinator)
{
  const TimePoint now = Now();
  aOutstanding.m_coordinator = aCoordinator.m_host;
  aOutstanding.m_requested_at = now;
  aOutstanding.m_may_have_restarted = false;
  aOutstanding.m_is_acknowledged = IsSelf(aCoordinator.m_host);
  if (IsSelf(aCoordinator.m_host)) {
    m_coordinator.RequestSlot(aOutstanding.m_service, aOutstanding.m_request, now);
    ScheduleDecision(aOutstanding.m_service);
    return;
  }
  const SlotRequest& request = aOutstanding.m_request;
  SendCrashTraits(aNumber, request, aCoordinator);
  if (m_dependencies.m_rollouts != nullptr &&
      m_dependencies.m_rollouts->NeedsRoutes(aOutstanding.m_service)) {
    LinkTo(aCoordinator).Send(EncodeSlotMessage(RequestRouteMessage{ aNumber, request.m_route }));
  }
  if (request.m_required_version) {
    LinkTo(aCoordinator)
      .Send(EncodeSlotMessage(RequiredVersionMessage{ aNumber, *request.m_required_version }));
  }
  LinkTo(aCoordinator)
    .Send(
      EncodeSlotMessage(SlotRequestMessage{ aOutstanding.m_service,
                                            aNumber,
                                            request.m_priority,
                                            request.m_work,
                                            MillisecondsBetween(request.m_arrived_at, now),
                                            MillisecondsBetween(now, request.m_objective_at),
                                            MillisecondsBetween(now, request.m_abandoned_at),
                                            request.m_data_center,
                                            request.m_avoided,
                                            request.m_workspace,
                                            static_cast<std::uint64_t>(request.m_quota_tokens) }));
}

void
SlotBroker::Withdraw(std::uint64_t aNumber)
{
  const auto found = m_outstanding.find(aNumber);
  if (found == m_outstanding.end()) {
    return;
  }
  if (found->second.m_is_granted) {
    RecordEnded(aNumber, SlotOutcome::Cancelled);
    return;
  }
  const OutstandingRequest outstanding = std::move(found->second);
  m_outstanding.erase(found);
  if (IsSelf(outstanding.m_coordinator)) {
    m_coordinator.Withdraw(outstanding.m_service, outstanding.m_request.m_request_id, Now());
    return;
  }
  SendToCoordinator(outstanding.m_coordinator, WithdrawMessage{ outstanding.m_service, aNumber });
}

void
SlotBroker::RecordStarted(std::uint64_t aNumber)
{
  const auto found = m_outstanding.find(aNumber);
  if (found == m_outstanding.end()) {
    return;
  }
  const OutstandingRequest& outstanding = found->second;
  if (IsSelf(outstanding.m_coordinator)) {
    m_coordinator.SchedulerOf(outstanding.m_service, Now())
      .RecordStarted(outstanding.m_request.m_request_id, outstanding.m_endpoint, Now());
    return;
  }
  SendToCoordinator(outstanding.m_coordinator,
                    FirstByteMessage{ outstanding.m_service, aNumber, outstanding.m_endpoint });
}

void
SlotBroker::RecordNotice(std::uint64_t aNumber,
                         const EndpointIncarnation& aEndpoint,
                         const EndpointNotice& aNotice)
{
  const auto found = m_outstanding.find(aNumber);
  if (found == m_outstanding.end()) {
    return;
  }
  const OutstandingRequest& outstanding = found->second;
  for (const EndpointNoticeMessage& notice : m_notices.RecordResponse(
         outstanding.m_service, aNumber, aEndpoint, aNotice, outstanding.m_granted_at, Now())) {
    if (IsSelf(outstanding.m_coordinator)) {
      OnReport(nullptr, notice);
    } else {
      SendToCoordinator(outstanding.m_coordinator, notice);
    }
  }
}

void
SlotBroker::RecordLateNotice(const ServiceName& aService,
                             const EndpointIncarnation& aEndpoint,
                             EndpointNotice aNotice)
{
  aNotice.m_may_be_old = true;
  const Member coordinator = CoordinatorFor(aService);
  const TimePoint now = Now();
  // A number of no slot request; 0 would mark the statement as one that other daemons have passed
  // on.
  const std::uint64_t number = ++m_last_number;
  for (const EndpointNoticeMessage& notice :
       m_notices.RecordResponse(aService, number, aEndpoint, aNotice, now, now)) {
    if (IsSelf(coordinator.m_host)) {
      OnReport(nullptr, notice);
    } else {
      LinkTo(coordinator).Send(EncodeSlotMessage(notice));
    }
  }
}

void
SlotBroker::OnReport(InboundLink* aLink, const EndpointNoticeMessage& aNotice)
{
  const auto correction = m_notices.OnReport(
    aLink != nullptr ? aLink->m_peer.m_incarnation : m_incarnation, aNotice, Now());
  if (correction && aLink != nullptr) {
    aLink->m_link->Send(EncodeSlotMessage(*correction));
  } else if (correction) {
    m_notices.OnInformed(*correction, Now());
  }
  ScheduleDecision(aNotice.m_service);
}

void
SlotBroker::SendToAll(const SlotMessage& aMessage)
{
  for (const auto& inbound : m_inbound) {
    inbound->m_link->Send(EncodeSlotMessage(aMessage));
  }
}

void
SlotBroker::MarkEndUnproven(std::uint64_t aNumber)
{
  const auto found = m_outstanding.find(aNumber);
  if (found == m_outstanding.end()) {
    return;
  }
  OutstandingRequest& outstanding = found->second;
  outstanding.m_is_end_unproven = true;
  if (IsSelf(outstanding.m_coordinator)) {
    m_coordinator.Suspects()
      .Of(outstanding.m_service)
      ->MarkEndUnproven(outstanding.m_request.m_request_id);
  } else {
    SendToCoordinator(outstanding.m_coordinator,
                      UnprovenEndMessage{ outstanding.m_service, aNumber });
  }
}

void
SlotBroker::ReportKnown(const ServiceName& aService, const Member& aCoordinator)
{
  for (const EndpointNoticeMessage& notice : m_notices.NoticesForCoordinator(aService, Now())) {
    if (IsSelf(aCoordinator.m_host)) {
      OnReport(nullptr, notice);
    } else {
      LinkTo(aCoordinator).Send(EncodeSlotMessage(notice));
    }
  }
  if (IsSelf(aCoordinator.m_host)) {
    return;
  }
  for (const SlotMessage& message :
       m_coordinator.Suspects().MessagesForCoordinator(aService, Now())) {
    LinkTo(aCoordinator).Send(EncodeSlotMessage(message));
  }
}

void
SlotBroker::RecordEnded(std::uint64_t aNumber, SlotOutcome aOutcome)
{
  const auto found = m_outstanding.find(aNumber);
  if (found == m_outstanding.end()) {
    return;
  }
  const OutstandingRequest outstanding = std::move(found->second);
  m_outstanding.erase(found);
  if (IsSelf(outstanding.m_coordinator)) {
    m_coordinator.SchedulerOf(outstanding.m_service, Now())
      .RecordEnded(outstanding.m_request.m_request_id, outstanding.m_endpoint, aOutcome, Now());
    ScheduleDecision(outstanding.m_service);
    return;
  }
  if (aOutcome == SlotOutcome::Complete && !outstanding.m_is_end_unproven) {
    m_coordinator.Suspects()
      .Of(outstanding.m_service)
      ->RecordCompleteResponse(outstanding.m_request.m_crash_traits, Now());
  }
  SendToCoordinator(
    outstanding.m_coordinator,
    ReleaseMessage{ outstanding.m_service, aNumber, outstanding.m_endpoint, aOutcome });
}

PeerLink&
SlotBroker::LinkTo(const Member& aCoordinator)
{
  auto& link = m_links[aCoordinator.m_host];
  if (link == nullptr) {
    const HostName coordinator = aCoordinator.m_host;
    link =
      PeerLink::Connect(*m_dependencies.m_loop,
                        aCoordinator.m_peer_address,
                        PeerLink::Handlers{ [this, coordinator](const nlohmann::json& aMessage) {
                                             OnCoordinatorMessage(coordinator, aMessage);
                                           },
                                            [this, coordinator](const char* aWhy) {
                                              OnCoordinatorLost(coordinator, aWhy);
                                            } });
    link->Send(EncodeSlotMessage(HelloMessage{ m_own_host, m_incarnation }));
  }
  return *link;
}

void
SlotBroker::SendToCoordinator(const HostName& aCoordinator, const SlotMessage& aMessage)
{
  const auto found = m_links.find(aCoordinator);
  if (found != m_links.end()) {
    found->second->Send(EncodeSlotMessage(aMessage));
  }
}

void
SlotBroker::OnCoordinatorMessage(const HostName& aCoordinator, const nlohmann::json& aMessage)
{
  const auto message = DecodeSlotMessage(aMessage);
  if (!message) {
    LogOf("broker").warn("event=message-malformed home={}", aCoordinator.Value());
    return;
  }
  std::visit(
    Overloaded{ [&](const QueuedMessage& aQueued) {
                 const auto found = m_outstanding.find(aQueued.m_number);
                 if (found != m_outstanding.end()) {
                   found->second.m_is_acknowledged = true;
                 }
               },
                [&](const UncertainGrantMessage& aUncertain) {
                  const auto found = m_outstanding.find(aUncertain.m_number);
                  if (found != m_outstanding.end() && found->second.m_coordinator == aCoordinator) {
                    found->second.m_may_have_restarted = true;
                  }
                },
                [&](const GrantMessage& aGrant) {
                  const auto found = m_outstanding.find(aGrant.m_number);
                  Deliver(
                    SlotGrant{ SlotRequestId{ m_incarnation, aGrant.m_number },
                               aGrant.m_endpoint,
                               aGrant.m_expected,
                               found != m_outstanding.end() && found->second.m_may_have_restarted },
                    aCoordinator);
                },
                [&](const RefusalMessage& aRefusal) {
                  Deliver(SlotRefusal{ SlotRequestId{ m_incarnation, aRefusal.m_number },
                                       aRefusal.m_reason,
                                       aRefusal.m_retry_after },
                          aCoordinator);
                },
                [&](const EndpointNoticeMessage& aNotice) { m_notices.OnInformed(aNotice, Now()); },
                [&](const StreamVersionMessage& aVersion) { m_streams.OnVersion(aVersion); },
                [&]<CrashMessage Message>(const Message& aCrashes) {
                  const auto coordinator = m_coordinators.find(aCrashes.m_service);
                  m_coordinator.Suspects().OnMessage(aCrashes,
                                                     aCoordinator,
                                                     coordinator != m_coordinators.end() &&
                                                       coordinator->second == aCoordinator,
                                                     Now());
                },
                [&](const auto&) {
                  LogOf("broker").warn("event=message-unexpected home={}", aCoordinator.Value());
                } },
    *message);
}

void
SlotBroker::Deliver(const SlotGrant& aGrant, const HostName& aCoordinator)
{
  const auto found = m_outstanding.find(aGrant.m_request_id.m_number);
  if (found == m_outstanding.end() || found->second.m_coordinator != aCoordinator ||
      found->second.m_is_granted) {
    // Cancelled, or requested from another coordinator meanwhile. This coordinator is informed by a
    // WithdrawMessage or a LeaveMessage.
    return;
  }
  found->second.m_is_granted = true;
  found->second.m_granted_at = Now();
  found->second.m_endpoint = aGrant.m_endpoint;
  const auto handler = found->second.m_handlers.m_on_granted;
  handler(aGrant, aCoordinator);
}

void
SlotBroker::Deliver(const SlotRefusal& aRefusal, const HostName& aCoordinator)
{
  const auto found = m_outstanding.find(aRefusal.m_request_id.m_number);
  if (found == m_outstanding.end() || found->second.m_coordinator != aCoordinator ||
      found->second.m_is_granted) {
    return;
  }
  const auto handler = found->second.m_handlers.m_on_refused;
  m_outstanding.erase(found);
  handler(aRefusal, aCoordinator);
}

void
SlotBroker::OnCoordinatorLost(const HostName& aCoordinator, const char* aWhy)
{
  LogOf("broker").warn("event=home-lost home={} why=\"{}\"", aCoordinator.Value(), aWhy);
  m_dependencies.m_membership->Suspect(aCoordinator, Now());
  // The link may be calling this, so it is destroyed later.
  auto link = std::make_shared<std::unique_ptr<PeerLink>>(std::move(m_links[aCoordinator]));
  m_links.erase(aCoordinator);
  m_dependencies.m_loop->Defer([link] { link->reset(); });
  UpdateCoordinators();
}

void
SlotBroker::UpdateCoordinators()
{
  const TimePoint now = Now();
  const Member self = m_dependencies.m_self();
  std::vector<std::pair<ServiceName, Member>> moved;
  for (const auto& [service, coordinator] : m_coordinators) {
    Member chosen = m_dependencies.m_membership->CoordinatorOf(service, self, now);
    if (chosen.m_host != coordinator) {
      moved.emplace_back(service, std::move(chosen));
    }
  }
  for (const auto& [service, coordinator] : moved) {
    ChangeCoordinator(service, coordinator);
  }
}

void
SlotBroker::ChangeCoordinator(const ServiceName& aService, const Member& aCoordinator)
{
  const TimePoint now = Now();
  const auto known = m_coordinators.find(aService);
  const HostName old = known == m_coordinators.end() ? HostName() : known->second;
  m_coordinators[aService] = aCoordinator.m_host;
  LogOf("broker").info("event=home-chosen service={} home={} before={}",
                       aService.Value(),
                       aCoordinator.m_host.Value(),
                       old.IsEmpty() ? "none" : old.Value());
  if (IsSelf(old)) {
    m_coordinator.ForgetDaemon(aService, m_incarnation, now);
  } else {
    SendToCoordinator(old, LeaveMessage{ aService });
  }
  ReportKnown(aService, aCoordinator);
  m_streams.UpdateReplica(aService);
  for (auto& [number, outstanding] : m_outstanding) {
    if (outstanding.m_service != aService) {
      continue;
    }
    if (!outstanding.m_is_granted) {
      RequestFromCoordinator(number, outstanding, aCoordinator);
      continue;
    }
    outstanding.m_coordinator = aCoordinator.m_host;
    if (IsSelf(aCoordinator.m_host)) {
      m_coordinator.SchedulerOf(aService, now)
        .RecordHeld(outstanding.m_request.m_request_id,
                    outstanding.m_endpoint,
                    outstanding.m_request.m_work,
                    outstanding.m_request.m_crash_traits,
                    now);
    } else {
      SendCrashTraits(number, outstanding.m_request, aCoordinator);
      LinkTo(aCoordinator)
        .Send(EncodeSlotMessage(
          HeldMessage{ aService, number, outstanding.m_endpoint, outstanding.m_request.m_work }));
    }
  }
}

void
SlotBroker::ScheduleDecision(const ServiceName& aService)
{
  m_services_to_decide.insert(aService);
  if (m_decide_timer != nullptr) {
    return;
  }
  m_decide_timer =
    std::make_unique<Timer>(*m_dependencies.m_loop, Duration::zero(), Timer::Repeat::Once, [this] {
      m_decide_timer = nullptr;
      for (const ServiceName& service : std::exchange(m_services_to_decide, {})) {
        m_coordinator.Decide(service, Now());
      }
    });
}

void
SlotBroker::OnDecisions(const SlotDecisions& aDecisions)
{
  for (const SlotGrant& grant : aDecisions.m_grants) {
    if (grant.m_request_id.m_daemon == m_incarnation) {
      Deliver(grant, m_own_host);
    } else if (InboundLink* link = FindInboundLink(grant.m_request_id.m_daemon)) {
      if (grant.m_may_have_restarted) {
        link->m_link->Send(EncodeSlotMessage(UncertainGrantMessage{ grant.m_request_id.m_number }));
      }
      link->m_link->Send(EncodeSlotMessage(
        GrantMessage{ grant.m_request_id.m_number, grant.m_endpoint, grant.m_expected }));
    }
  }
  for (const SlotRefusal& refusal : aDecisions.m_refusals) {
    if (refusal.m_request_id.m_daemon == m_incarnation) {
      Deliver(refusal, m_own_host);
    } else if (InboundLink* link = FindInboundLink(refusal.m_request_id.m_daemon)) {
      link->m_link->Send(EncodeSlotMessage(
        RefusalMessage{ refusal.m_request_id.m_number, refusal.m_reason, refusal.m_retry_after }));
    }
  }
}

void
SlotBroker::OnEndpointsChanged()
{
  m_coordinator.UpdateEndpoints(Now());
  m_coordinator.DecideAll(Now());
  m_notices.RetainEndpoints(m_dependencies.m_endpoints, Now());
}

void
SlotBroker::UpdateShares()
{
  const std::size_t daemons = m_dependencies.m_membership->CountForShares();
  const bool is_isolated = m_dependencies.m_membership->AliveMembers(Now()).empty() && daemons > 1;
  m_coordinator.SetSlotShare(is_isolated ? m_limits.m_slot_share_when_isolated : 1.0);
  for (const ServiceName& service : m_coordinator.Services()) {
    m_coordinator.SetRateShare(service, RateShare(FollowerCount(service), daemons), Now());
  }
}

std::size_t
SlotBroker::FollowerCount(const ServiceName& aService) const
{
  std::set<Incarnation> followers;
  if (const auto own = m_coordinators.find(aService);
      own != m_coordinators.end() && IsSelf(own->second)) {
    followers.insert(m_incarnation);
  }
  for (const auto& inbound : m_inbound) {
    if (inbound->m_followed_services.contains(aService)) {
      followers.insert(inbound->m_peer.m_incarnation);
    }
  }
  return followers.size();
}

void
SlotBroker::Tick()
{
  const TimePoint now = Now();
  std::set<HostName> unresponsive;
  for (const auto& [number, outstanding] : m_outstanding) {
    if (!outstanding.m_is_acknowledged &&
        now - outstanding.m_requested_at > m_limits.m_acknowledgement_timeout) {
      unresponsive.insert(outstanding.m_coordinator);
    }
  }
  for (const HostName& coordinator : unresponsive) {
    OnCoordinatorLost(coordinator, "slot request not acknowledged in time");
  }
  // A daemon that is stopped or partitioned does not use the slots that it was granted. Closing its
  // link makes it request slots again once it is back.
  std::vector<InboundLink*> not_alive;
  for (const auto& inbound : m_inbound) {
    if (now - inbound->m_accepted_at > m_limits.m_heartbeat_grace &&
        !m_dependencies.m_membership->IsAlive(inbound->m_peer.m_host, now)) {
      not_alive.push_back(inbound.get());
    }
  }
  for (InboundLink* link : not_alive) {
    CloseInboundLink(link, "no heartbeats from the daemon");
  }
  if (now - m_membership_applied_at >= kMembershipInterval) {
    m_membership_applied_at = now;
    UpdateShares();
    m_streams.UpdateReplicas();
  }
  if (now - m_notices_swept_at >= kNoticeSweepInterval) {
    m_notices_swept_at = now;
    m_notices.RetainEndpoints(m_dependencies.m_endpoints, now);
  }
  UpdateCoordinators();
  m_streams.Tick();
  m_coordinator.DecideAll(now);
  for (const SlotMessage& changes : m_coordinator.Suspects().TakeChanges(now)) {
    SendToAll(changes);
  }
  m_coordinator.LogSuspicionChanges(now);
}

}
