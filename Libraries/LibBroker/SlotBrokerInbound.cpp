#include <LibBroker/SlotBroker.h>

#include "Overloaded.h"

#include <LibCore/Log.h>
#include <algorithm>

namespace auburnhitch {

std::vector<CrashTrait>
SlotBroker::InboundLink::TakeCrashTraits(std::uint64_t aNumber)
{
  auto traits = std::exchange(m_crash_traits, std::nullopt);
  return traits && traits->m_number == aNumber ? std::move(traits->m_traits)
                                               : std::vector<CrashTrait>();
}

void
SlotBroker::OnLink(std::unique_ptr<PeerLink> aLink)
{
  auto inbound = std::make_unique<InboundLink>();
  InboundLink* raw = inbound.get();
  aLink->SetHandlers(PeerLink::Handlers{
    [this, raw](const nlohmann::json& aMessage) { OnInboundMessage(*raw, aMessage); },
    [this, raw](const char* aWhy) { CloseInboundLink(raw, aWhy); } });
  inbound->m_link = std::move(aLink);
  inbound->m_accepted_at = Now();
  m_inbound.push_back(std::move(inbound));
}

void
SlotBroker::OnInboundMessage(InboundLink& aLink, const nlohmann::json& aMessage)
{
  const auto message = DecodeSlotMessage(aMessage);
  const bool is_hello = message && std::holds_alternative<HelloMessage>(*message);
  if (!message || (aLink.m_peer.m_incarnation.IsEmpty() != is_hello)) {
    LogOf("broker").warn("event=message-malformed peer={}", aLink.m_peer.m_host.Value());
    return;
  }
  const TimePoint now = Now();
  const Incarnation& daemon = aLink.m_peer.m_incarnation;
  const auto id_of = [&](std::uint64_t aNumber) { return SlotRequestId{ daemon, aNumber }; };
  std::visit(
    Overloaded{
      [&](const HelloMessage& aHello) {
        // A daemon that opens a new link sends its waiting requests and held slots again.
        m_coordinator.ForgetDaemon(aHello.m_incarnation);
        aLink.m_peer = aHello;
        for (const EndpointNoticeMessage& notice : m_notices.NoticesForDaemon()) {
          aLink.m_link->Send(EncodeSlotMessage(notice));
        }
        for (const SlotMessage& message : m_coordinator.Suspects().MessagesForDaemon(now)) {
          aLink.m_link->Send(EncodeSlotMessage(message));
        }
      },
      [&](const CrashTraitsMessage& aTraits) { aLink.m_crash_traits = aTraits; },
      [&](const RequestRouteMessage& aRoute) { aLink.m_route = aRoute; },
      [&](const UnprovenEndMessage& aEnd) {
        m_coordinator.Suspects().Of(aEnd.m_service)->MarkEndUnproven(id_of(aEnd.m_number));
      },
      [&]<CrashMessage Message>(const Message& aCrashes) {
        m_coordinator.Suspects().OnMessage(aCrashes, aLink.m_peer.m_host, false, now);
      },
      [&](const EndpointNoticeMessage& aNotice) { OnReport(&aLink, aNotice); },
      [&](const RequiredVersionMessage& aRequired) { aLink.m_required_version = aRequired; },
      [&](const StreamOriginsMessage& aOrigins) { m_streams.OnOrigins(aOrigins); },
      [&](const StreamLookupMessage& aLookup) {
        aLink.m_link->Send(EncodeSlotMessage(m_streams.OnLookup(aLookup)));
      },
      [&](const SlotRequestMessage& aSlotRequest) { OnSlotRequest(aLink, aSlotRequest); },
      [&](const WithdrawMessage& aWithdraw) {
        m_coordinator.Withdraw(aWithdraw.m_service, id_of(aWithdraw.m_number), now);
        ScheduleDecision(aWithdraw.m_service);
      },
      [&](const HeldMessage& aHeld) {
        m_coordinator.SchedulerOf(aHeld.m_service, now)
          .RecordHeld(id_of(aHeld.m_number),
                      aHeld.m_endpoint,
                      aHeld.m_work,
                      aLink.TakeCrashTraits(aHeld.m_number),
                      now);
      },
      [&](const FirstByteMessage& aFirstByte) {
        m_coordinator.SchedulerOf(aFirstByte.m_service, now)
          .RecordStarted(id_of(aFirstByte.m_number), aFirstByte.m_endpoint, now);
      },
      [&](const ReleaseMessage& aRelease) {
        m_coordinator.SchedulerOf(aRelease.m_service, now)
          .RecordEnded(id_of(aRelease.m_number), aRelease.m_endpoint, aRelease.m_outcome, now);
        ScheduleDecision(aRelease.m_service);
      },
      [&](const LeaveMessage& aLeave) {
        aLink.m_followed_services.erase(aLeave.m_service);
        m_coordinator.ForgetDaemon(aLeave.m_service, daemon, now);
        ScheduleDecision(aLeave.m_service);
      },
      [&](const auto&) {
        LogOf("broker").warn("event=message-unexpected peer={}", aLink.m_peer.m_host.Value());
      } },
    *message);
}

void
SlotBroker::OnSlotRequest(InboundLink& aLink, const SlotRequestMessage& aSlotRequest)
{
  const TimePoint now = Now();
  aLink.m_followed_services.insert(aSlotRequest.m_service);
  SlotRequest request;
  request.m_request_id = SlotRequestId{ aLink.m_peer.m_incarnation, aSlotRequest.m_number };
  request.m_priority = aSlotRequest.m_priority;
  request.m_work = aSlotRequest.m_work;
  request.m_arrived_at = now - aSlotRequest.m_age;
  request.m_objective_at = now + aSlotRequest.m_time_to_objective;
  request.m_abandoned_at = now + aSlotRequest.m_time_to_abandonment;
  request.m_data_center = aSlotRequest.m_data_center;
  request.m_avoided = aSlotRequest.m_avoided;
  request.m_workspace = aSlotRequest.m_workspace;
  request.m_quota_tokens = static_cast<std::int64_t>(aSlotRequest.m_quota_tokens);
  request.m_crash_traits = aLink.TakeCrashTraits(aSlotRequest.m_number);
  if (const auto required = std::exchange(aLink.m_required_version, std::nullopt);
      required && required->m_number == aSlotRequest.m_number) {
    request.m_required_version = required->m_version;
  }
  if (const auto route = std::exchange(aLink.m_route, std::nullopt);
      route && route->m_number == aSlotRequest.m_number) {
    request.m_route = route->m_route;
  }
  m_coordinator.RequestSlot(aSlotRequest.m_service, request, now);
  aLink.m_link->Send(EncodeSlotMessage(QueuedMessage{ aSlotRequest.m_number }));
  ScheduleDecision(aSlotRequest.m_service);
}

void
SlotBroker::CloseInboundLink(InboundLink* aLink, const char* aWhy)
{
  const HelloMessage peer = aLink->m_peer;
  LogOf("broker").info("event=link-closed peer={} why=\"{}\"", peer.m_host.Value(), aWhy);
  const auto found = std::find_if(
    m_inbound.begin(), m_inbound.end(), [&](const auto& aEntry) { return aEntry.get() == aLink; });
  auto closed = std::make_shared<std::unique_ptr<InboundLink>>(std::move(*found));
  m_inbound.erase(found);
  m_dependencies.m_loop->Defer([closed] { closed->reset(); });
  if (FindInboundLink(peer.m_incarnation) == nullptr) {
    m_coordinator.ForgetDaemon(peer.m_incarnation);
  }
}

SlotBroker::InboundLink*
SlotBroker::FindInboundLink(const Incarnation& aDaemon)
{
  // A daemon listens only on the newest of its links.
  const auto found = std::find_if(m_inbound.rbegin(), m_inbound.rend(), [&](const auto& aEntry) {
    return aEntry->m_peer.m_incarnation == aDaemon;
  });
  return found == m_inbound.rend() ? nullptr : found->get();
}

}
