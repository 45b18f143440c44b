#include <LibBroker/PlaceBroker.h>

#include <LibCore/Log.h>
#include <algorithm>

namespace auburnhitch {

namespace {

/// Calls the overload that fits the alternative of a variant.
template<typename... Ts>
struct Overloaded : Ts...
{
  using Ts::operator()...;
};
template<typename... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

Milliseconds
MillisecondsBetween(TimePoint aFrom, TimePoint aTo)
{
  return Milliseconds(ToMilliseconds(aTo - aFrom));
}

}

PlaceBroker::PlaceBroker(Limits aLimits, Surroundings aSurroundings)
  : m_limits(aLimits)
  , m_surroundings(std::move(aSurroundings))
  , m_incarnation(m_surroundings.m_self().m_incarnation)
  , m_own(m_surroundings.m_self().m_host)
  , m_home(
      aLimits.m_scheduler,
      *m_surroundings.m_quotas,
      m_surroundings.m_endpoints,
      [this](const ServiceName&, const PlaceDecisions& aDecisions) { OnDecisions(aDecisions); })
{
}

TimePoint
PlaceBroker::Now() const
{
  return m_surroundings.m_loop->Now();
}

bool
PlaceBroker::IsSelf(const HostName& aHost) const
{
  return aHost == m_own;
}

std::uint64_t
PlaceBroker::Ask(const ServiceName& aService, PlaceRequest aRequest, PlaceHandlers aHandlers)
{
  const std::uint64_t number = ++m_last_number;
  aRequest.m_ticket = PlaceTicket{ m_incarnation, number };
  const Member home = m_surroundings.m_membership->CoordinatorOf(aService, m_surroundings.m_self(), Now());
  if (const auto known = m_homes.find(aService);
      known == m_homes.end() || known->second != home.m_host) {
    MoveTickets(aService, home);
  }
  Ticket& ticket = m_tickets[number];
  ticket.m_service = aService;
  ticket.m_request = std::move(aRequest);
  ticket.m_handlers = std::move(aHandlers);
  AskHome(number, ticket, home);
  return number;
}

void
PlaceBroker::AskHome(std::uint64_t aNumber, Ticket& aTicket, const Member& aHome)
{
  const TimePoint now = Now();
  aTicket.m_home = aHome.m_host;
  aTicket.m_asked_at = now;
  aTicket.m_is_acknowledged = IsSelf(aHome.m_host);
  if (IsSelf(aHome.m_host)) {
    m_home.Ask(aTicket.m_service, aTicket.m_request, now);
    DecideSoon(aTicket.m_service);
    return;
  }
  const PlaceRequest& request = aTicket.m_request;
  LinkTo(aHome).Send(
    EncodePlaceMessage(AskMessage{ aTicket.m_service,
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
PlaceBroker::Withdraw(std::uint64_t aNumber)
{
  const auto found = m_tickets.find(aNumber);
  if (found == m_tickets.end()) {
    return;
  }
  if (found->second.m_is_granted) {
    NoteEnded(aNumber, PlaceEnd::Cancelled);
    return;
  }
  const Ticket ticket = std::move(found->second);
  m_tickets.erase(found);
  if (IsSelf(ticket.m_home)) {
    m_home.Withdraw(ticket.m_service, ticket.m_request.m_ticket, Now());
    return;
  }
  SendHome(ticket.m_home, WithdrawMessage{ ticket.m_service, aNumber });
}

void
PlaceBroker::NoteStarted(std::uint64_t aNumber)
{
  const auto found = m_tickets.find(aNumber);
  if (found == m_tickets.end()) {
    return;
  }
  const Ticket& ticket = found->second;
  if (IsSelf(ticket.m_home)) {
    m_home.SchedulerOf(ticket.m_service, Now())
      .NoteStarted(ticket.m_request.m_ticket, ticket.m_endpoint, Now());
    return;
  }
  SendHome(ticket.m_home, StartedMessage{ ticket.m_service, aNumber, ticket.m_endpoint });
}

void
PlaceBroker::NoteEnded(std::uint64_t aNumber, PlaceEnd aEnd)
{
  const auto found = m_tickets.find(aNumber);
  if (found == m_tickets.end()) {
    return;
  }
  const Ticket ticket = std::move(found->second);
  m_tickets.erase(found);
  if (IsSelf(ticket.m_home)) {
    m_home.SchedulerOf(ticket.m_service, Now())
      .NoteEnded(ticket.m_request.m_ticket, ticket.m_endpoint, aEnd, Now());
    DecideSoon(ticket.m_service);
    return;
  }
  SendHome(ticket.m_home, EndedMessage{ ticket.m_service, aNumber, ticket.m_endpoint, aEnd });
}

PeerLink&
PlaceBroker::LinkTo(const Member& aHome)
{
  auto& link = m_links[aHome.m_host];
  if (link == nullptr) {
    const HostName home = aHome.m_host;
    link = PeerLink::Connect(
      *m_surroundings.m_loop,
      aHome.m_peer_address,
      PeerLink::Handlers{
        [this, home](const nlohmann::json& aMessage) { OnHomeMessage(home, aMessage); },
        [this, home](const char* aWhy) { OnHomeLinkClosed(home, aWhy); } });
    link->Send(EncodePlaceMessage(HelloMessage{ m_own, m_incarnation }));
  }
  return *link;
}

void
PlaceBroker::SendHome(const HostName& aHome, const PlaceMessage& aMessage)
{
  const auto found = m_links.find(aHome);
  if (found != m_links.end()) {
    found->second->Send(EncodePlaceMessage(aMessage));
  }
}

void
PlaceBroker::OnHomeMessage(const HostName& aHome, const nlohmann::json& aMessage)
{
  const auto message = DecodePlaceMessage(aMessage);
  if (!message) {
    LogOf("broker").warn("event=message-malformed home={}", aHome.Value());
    return;
  }
  std::visit(Overloaded{ [&](const QueuedMessage& aQueued) {
                          const auto found = m_tickets.find(aQueued.m_number);
                          if (found != m_tickets.end()) {
                            found->second.m_is_acknowledged = true;
                          }
                        },
                         [&](const GrantMessage& aGrant) {
                           Deliver(PlaceGrant{ PlaceTicket{ m_incarnation, aGrant.m_number },
                                               aGrant.m_endpoint,
                                               aGrant.m_expected },
                                   aHome);
                         },
                         [&](const RefuseMessage& aRefuse) {
                           Deliver(PlaceRefusal{ PlaceTicket{ m_incarnation, aRefuse.m_number },
                                                 aRefuse.m_reason,
                                                 aRefuse.m_retry_after },
                                   aHome);
                         },
                         [&](const auto&) {
                           LogOf("broker").warn("event=message-unexpected home={}", aHome.Value());
                         } },
             *message);
}

void
PlaceBroker::Deliver(const PlaceGrant& aGrant, const HostName& aHome)
{
  const auto found = m_tickets.find(aGrant.m_ticket.m_number);
  if (found == m_tickets.end() || found->second.m_home != aHome || found->second.m_is_granted) {
    // Withdrawn, or asked for elsewhere meanwhile; the home learns it by Withdraw or Leave.
    return;
  }
  found->second.m_is_granted = true;
  found->second.m_endpoint = aGrant.m_endpoint;
  const auto handler = found->second.m_handlers.m_on_granted;
  handler(aGrant, aHome);
}

void
PlaceBroker::Deliver(const PlaceRefusal& aRefusal, const HostName& aHome)
{
  const auto found = m_tickets.find(aRefusal.m_ticket.m_number);
  if (found == m_tickets.end() || found->second.m_home != aHome || found->second.m_is_granted) {
    return;
  }
  const auto handler = found->second.m_handlers.m_on_refused;
  m_tickets.erase(found);
  handler(aRefusal, aHome);
}

void
PlaceBroker::OnHomeLinkClosed(const HostName& aHome, const char* aWhy)
{
  LogOf("broker").warn("event=home-lost home={} why=\"{}\"", aHome.Value(), aWhy);
  m_surroundings.m_membership->Suspect(aHome, Now());
  // The link calls this itself, so it is freed later.
  auto link = std::make_shared<std::unique_ptr<PeerLink>>(std::move(m_links[aHome]));
  m_links.erase(aHome);
  m_surroundings.m_loop->Defer([link] { link->reset(); });
  ReviewHomes();
}

void
PlaceBroker::ReviewHomes()
{
  const TimePoint now = Now();
  const Member self = m_surroundings.m_self();
  std::vector<std::pair<ServiceName, Member>> moved;
  for (const auto& [service, home] : m_homes) {
    Member chosen = m_surroundings.m_membership->CoordinatorOf(service, self, now);
    if (chosen.m_host != home) {
      moved.emplace_back(service, std::move(chosen));
    }
  }
  for (const auto& [service, home] : moved) {
    MoveTickets(service, home);
  }
}

void
PlaceBroker::MoveTickets(const ServiceName& aService, const Member& aHome)
{
  const TimePoint now = Now();
  const auto known = m_homes.find(aService);
  const HostName old = known == m_homes.end() ? HostName() : known->second;
  m_homes[aService] = aHome.m_host;
  LogOf("broker").info("event=home-chosen service={} home={} before={}",
                       aService.Value(),
                       aHome.m_host.Value(),
                       old.IsEmpty() ? "none" : old.Value());
  if (IsSelf(old)) {
    m_home.ForgetDaemon(aService, m_incarnation, now);
  } else {
    SendHome(old, LeaveMessage{ aService });
  }
  for (auto& [number, ticket] : m_tickets) {
    if (ticket.m_service != aService) {
      continue;
    }
    if (!ticket.m_is_granted) {
      AskHome(number, ticket, aHome);
      continue;
    }
    ticket.m_home = aHome.m_host;
    if (IsSelf(aHome.m_host)) {
      m_home.SchedulerOf(aService, now)
        .NoteHeld(ticket.m_request.m_ticket, ticket.m_endpoint, ticket.m_request.m_work, now);
    } else {
      LinkTo(aHome).Send(EncodePlaceMessage(
        HeldMessage{ aService, number, ticket.m_endpoint, ticket.m_request.m_work }));
    }
  }
}

void
PlaceBroker::OnLink(std::unique_ptr<PeerLink> aLink)
{
  auto inbound = std::make_unique<InboundLink>();
  InboundLink* raw = inbound.get();
  aLink->SetHandlers(PeerLink::Handlers{
    [this, raw](const nlohmann::json& aMessage) { OnInboundMessage(*raw, aMessage); },
    [this, raw](const char* aWhy) { OnInboundClosed(raw, aWhy); } });
  inbound->m_link = std::move(aLink);
  inbound->m_since = Now();
  m_inbound.push_back(std::move(inbound));
}

void
PlaceBroker::OnInboundMessage(InboundLink& aLink, const nlohmann::json& aMessage)
{
  const auto message = DecodePlaceMessage(aMessage);
  const bool is_hello = message && std::holds_alternative<HelloMessage>(*message);
  if (!message || (aLink.m_peer.m_incarnation.IsEmpty() != is_hello)) {
    LogOf("broker").warn("event=message-malformed peer={}", aLink.m_peer.m_host.Value());
    return;
  }
  const TimePoint now = Now();
  const Incarnation& daemon = aLink.m_peer.m_incarnation;
  const auto ticket = [&](std::uint64_t aNumber) { return PlaceTicket{ daemon, aNumber }; };
  std::visit(Overloaded{ [&](const HelloMessage& aHello) {
                          // A daemon that links anew repeats all that it waits for and holds.
                          m_home.ForgetDaemon(aHello.m_incarnation);
                          aLink.m_peer = aHello;
                        },
                         [&](const AskMessage& aAsk) { OnAsk(aLink, aAsk); },
                         [&](const WithdrawMessage& aWithdraw) {
                           m_home.Withdraw(aWithdraw.m_service, ticket(aWithdraw.m_number), now);
                           DecideSoon(aWithdraw.m_service);
                         },
                         [&](const HeldMessage& aHeld) {
                           m_home.SchedulerOf(aHeld.m_service, now)
                             .NoteHeld(ticket(aHeld.m_number), aHeld.m_endpoint, aHeld.m_work, now);
                         },
                         [&](const StartedMessage& aStarted) {
                           m_home.SchedulerOf(aStarted.m_service, now)
                             .NoteStarted(ticket(aStarted.m_number), aStarted.m_endpoint, now);
                         },
                         [&](const EndedMessage& aEnded) {
                           m_home.SchedulerOf(aEnded.m_service, now)
                             .NoteEnded(
                               ticket(aEnded.m_number), aEnded.m_endpoint, aEnded.m_end, now);
                           DecideSoon(aEnded.m_service);
                         },
                         [&](const LeaveMessage& aLeave) {
                           m_home.ForgetDaemon(aLeave.m_service, daemon, now);
                           DecideSoon(aLeave.m_service);
                         },
                         [&](const auto&) {
                           LogOf("broker").warn("event=message-unexpected peer={}",
                                                aLink.m_peer.m_host.Value());
                         } },
             *message);
}

void
PlaceBroker::OnAsk(InboundLink& aLink, const AskMessage& aAsk)
{
  const TimePoint now = Now();
  PlaceRequest request;
  request.m_ticket = PlaceTicket{ aLink.m_peer.m_incarnation, aAsk.m_number };
  request.m_priority = aAsk.m_priority;
  request.m_work = aAsk.m_work;
  request.m_arrived_at = now - aAsk.m_age;
  request.m_objective_at = now + aAsk.m_to_objective;
  request.m_abandoned_at = now + aAsk.m_to_abandoned;
  request.m_data_center = aAsk.m_data_center;
  request.m_avoided = aAsk.m_avoided;
  request.m_workspace = aAsk.m_workspace;
  request.m_quota_tokens = static_cast<std::int64_t>(aAsk.m_quota_tokens);
  m_home.Ask(aAsk.m_service, request, now);
  aLink.m_link->Send(EncodePlaceMessage(QueuedMessage{ aAsk.m_number }));
  DecideSoon(aAsk.m_service);
}

void
PlaceBroker::OnInboundClosed(InboundLink* aLink, const char* aWhy)
{
  const HelloMessage peer = aLink->m_peer;
  LogOf("broker").info("event=link-closed peer={} why=\"{}\"", peer.m_host.Value(), aWhy);
  const auto found = std::find_if(
    m_inbound.begin(), m_inbound.end(), [&](const auto& aEntry) { return aEntry.get() == aLink; });
  auto closed = std::make_shared<std::unique_ptr<InboundLink>>(std::move(*found));
  m_inbound.erase(found);
  m_surroundings.m_loop->Defer([closed] { closed->reset(); });
  if (InboundOf(peer.m_incarnation) == nullptr) {
    m_home.ForgetDaemon(peer.m_incarnation);
  }
}

PlaceBroker::InboundLink*
PlaceBroker::InboundOf(const Incarnation& aDaemon)
{
  // The newest link of a daemon is the one that it listens on.
  const auto found = std::find_if(m_inbound.rbegin(), m_inbound.rend(), [&](const auto& aEntry) {
    return aEntry->m_peer.m_incarnation == aDaemon;
  });
  return found == m_inbound.rend() ? nullptr : found->get();
}

void
PlaceBroker::DecideSoon(const ServiceName& aService)
{
  m_to_decide.insert(aService);
  if (m_decide_timer != nullptr) {
    return;
  }
  m_decide_timer =
    std::make_unique<Timer>(*m_surroundings.m_loop, Duration::zero(), Timer::Repeat::Once, [this] {
      m_decide_timer = nullptr;
      for (const ServiceName& service : std::exchange(m_to_decide, {})) {
        m_home.Decide(service, Now());
      }
    });
}

void
PlaceBroker::OnDecisions(const PlaceDecisions& aDecisions)
{
  for (const PlaceGrant& grant : aDecisions.m_grants) {
    if (grant.m_ticket.m_daemon == m_incarnation) {
      Deliver(grant, m_own);
    } else if (InboundLink* link = InboundOf(grant.m_ticket.m_daemon)) {
      link->m_link->Send(EncodePlaceMessage(
        GrantMessage{ grant.m_ticket.m_number, grant.m_endpoint, grant.m_expected }));
    }
  }
  for (const PlaceRefusal& refusal : aDecisions.m_refusals) {
    if (refusal.m_ticket.m_daemon == m_incarnation) {
      Deliver(refusal, m_own);
    } else if (InboundLink* link = InboundOf(refusal.m_ticket.m_daemon)) {
      link->m_link->Send(EncodePlaceMessage(
        RefuseMessage{ refusal.m_ticket.m_number, refusal.m_reason, refusal.m_retry_after }));
    }
  }
}

void
PlaceBroker::OnEndpointsChanged()
{
  m_home.UpdateEndpoints(Now());
  m_home.DecideAll(Now());
}

void
PlaceBroker::UpdatePart()
{
  const bool is_alone = m_surroundings.m_membership->AliveMembers(Now()).empty() &&
                        !m_surroundings.m_membership->KnownMembers().empty();
  m_home.SetPart(is_alone ? m_limits.m_part_when_alone : 1.0);
}

void
PlaceBroker::Tick()
{
  const TimePoint now = Now();
  std::set<HostName> silent;
  for (const auto& [number, ticket] : m_tickets) {
    if (!ticket.m_is_acknowledged && now - ticket.m_asked_at > m_limits.m_answer_timeout) {
      silent.insert(ticket.m_home);
    }
  }
  for (const HostName& home : silent) {
    OnHomeLinkClosed(home, "no answer");
  }
  // A daemon that is stopped or cut off does not use what it was granted. Closing its link makes it
  // ask again once it is back.
  std::vector<InboundLink*> unheard;
  for (const auto& inbound : m_inbound) {
    if (now - inbound->m_since > m_limits.m_unheard_timeout &&
        !m_surroundings.m_membership->IsAlive(inbound->m_peer.m_host, now)) {
      unheard.push_back(inbound.get());
    }
  }
  for (InboundLink* link : unheard) {
    OnInboundClosed(link, "the daemon is not heard");
  }
  UpdatePart();
  ReviewHomes();
  m_home.DecideAll(now);
  m_home.LogBeliefs(now);
}

}
