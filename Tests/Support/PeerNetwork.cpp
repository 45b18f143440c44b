#include "PeerNetwork.h"

#include <LibBroker/SlotMessages.h>

#include <algorithm>

namespace auburnhitch::tests {

namespace {

// How often healed paths, closed links and the end of the network are noticed.
constexpr Milliseconds kTickInterval{ 5 };

}

PeerNetwork::PeerNetwork(std::vector<Node> aNodes)
  : m_nodes(std::move(aNodes))
{
  for (std::size_t target = 0; target < m_nodes.size(); ++target) {
    const SocketAddress& address = m_nodes[target].m_advertised_address;
    m_listeners.push_back(
      PeerLinkListener::Create(m_loop, address, [this, target](std::unique_ptr<PeerLink> aLink) {
        OnLink(target, std::move(aLink));
      }).value());
    m_sockets.push_back(
      HeartbeatSocket::Create(
        m_loop,
        address,
        [this, target](const Heartbeat& aHeartbeat) { OnHeartbeat(target, aHeartbeat); },
        [this, target](const RecordsMessage& aMessage) { OnRecords(target, aMessage); })
        .value());
  }
  m_thread = std::thread([this] { Run(); });
}

PeerNetwork::~PeerNetwork()
{
  m_is_stopping = true;
  m_thread.join();
}

void
PeerNetwork::Run()
{
  const Timer tick(m_loop, kTickInterval, Timer::Repeat::Always, [this] {
    ForwardAll();
    if (m_is_stopping) {
      m_loop.Stop();
    }
  });
  m_loop.Run();
}

void
PeerNetwork::SetCut(std::size_t aFrom, std::size_t aTo, bool aIsCut)
{
  const std::lock_guard lock(m_mutex);
  if (aIsCut) {
    m_cut.emplace(aFrom, aTo);
  } else {
    m_cut.erase({ aFrom, aTo });
  }
}

void
PeerNetwork::SetIsolated(std::size_t aNode, bool aIsIsolated)
{
  for (std::size_t other = 0; other < m_nodes.size(); ++other) {
    if (other != aNode) {
      SetCut(aNode, other, aIsIsolated);
      SetCut(other, aNode, aIsIsolated);
    }
  }
}

bool
PeerNetwork::IsCut(std::size_t aFrom, std::size_t aTo) const
{
  const std::lock_guard lock(m_mutex);
  return m_cut.contains({ aFrom, aTo });
}

std::optional<std::size_t>
PeerNetwork::IndexOf(const HostName& aHost) const
{
  const auto found = std::find_if(
    m_nodes.begin(), m_nodes.end(), [&](const Node& aNode) { return aNode.m_host == aHost; });
  return found == m_nodes.end() ? std::nullopt
                                : std::optional(static_cast<std::size_t>(found - m_nodes.begin()));
}

void
PeerNetwork::OnHeartbeat(std::size_t aTarget, const Heartbeat& aHeartbeat)
{
  const auto sender = IndexOf(aHeartbeat.m_member.m_host);
  if (!sender || IsCut(*sender, aTarget)) {
    ++m_held_back;
    return;
  }
  m_sockets[aTarget]->SendTo(m_nodes[aTarget].m_address, EncodeHeartbeat(aHeartbeat));
}

void
PeerNetwork::OnRecords(std::size_t aTarget, const RecordsMessage& aMessage)
{
  const auto sender = IndexOf(aMessage.m_sender);
  if (!sender || m_loses_records || IsCut(*sender, aTarget)) {
    ++m_held_back;
    return;
  }
  for (const std::string& datagram : EncodeRecords(aMessage)) {
    m_sockets[aTarget]->SendTo(m_nodes[aTarget].m_address, datagram);
  }
}

void
PeerNetwork::OnLink(std::size_t aTarget, std::unique_ptr<PeerLink> aLink)
{
  m_relays.push_back(std::make_unique<Relay>());
  Relay& relay = *m_relays.back();
  relay.m_target = aTarget;
  relay.m_near = std::move(aLink);
  relay.m_near->SetHandlers(
    { [this, &relay](const nlohmann::json& aMessage) { OnMessageFromInitiator(relay, aMessage); },
      [&relay](const char*) { relay.m_is_near_closed = true; } });
}

void
PeerNetwork::OnMessageFromInitiator(Relay& aRelay, const nlohmann::json& aMessage)
{
  if (!aRelay.m_initiator) {
    const auto message = DecodeSlotMessage(aMessage);
    const auto* hello = message ? std::get_if<HelloMessage>(&*message) : nullptr;
    aRelay.m_initiator = hello != nullptr ? IndexOf(hello->m_host) : std::nullopt;
    if (!aRelay.m_initiator) {
      aRelay.m_is_near_closed = true;
      return;
    }
  }
  aRelay.m_to_target.push_back(aMessage);
  Forward(aRelay);
}

void
PeerNetwork::Forward(Relay& aRelay)
{
  if (!aRelay.m_initiator) {
    return;
  }
  const std::size_t initiator = *aRelay.m_initiator;
  if (IsCut(initiator, aRelay.m_target)) {
    m_held_back += aRelay.m_to_target.size();
  } else {
    if (aRelay.m_far == nullptr) {
      aRelay.m_far =
        PeerLink::Connect(m_loop,
                          m_nodes[aRelay.m_target].m_address,
                          { [this, &aRelay](const nlohmann::json& aMessage) {
                             aRelay.m_to_initiator.push_back(aMessage);
                             Forward(aRelay);
                           },
                            [&aRelay](const char*) { aRelay.m_is_far_closed = true; } });
    }
    for (const nlohmann::json& message : std::exchange(aRelay.m_to_target, {})) {
      aRelay.m_far->Send(message);
    }
  }
  if (!IsCut(aRelay.m_target, initiator)) {
    for (const nlohmann::json& message : std::exchange(aRelay.m_to_initiator, {})) {
      aRelay.m_near->Send(message);
    }
  }
}

bool
PeerNetwork::IsOver(const Relay& aRelay) const
{
  if (!aRelay.m_initiator) {
    return aRelay.m_is_near_closed;
  }
  if (aRelay.m_is_near_closed && !IsCut(*aRelay.m_initiator, aRelay.m_target)) {
    return aRelay.m_to_target.empty() &&
           (aRelay.m_far == nullptr || aRelay.m_is_far_closed || aRelay.m_far->UnsentBytes() == 0);
  }
  return aRelay.m_is_far_closed && !IsCut(aRelay.m_target, *aRelay.m_initiator) &&
         aRelay.m_to_initiator.empty() &&
         (aRelay.m_is_near_closed || aRelay.m_near->UnsentBytes() == 0);
}

void
PeerNetwork::ForwardAll()
{
  for (const auto& relay : m_relays) {
    Forward(*relay);
  }
  std::erase_if(m_relays, [this](const auto& aRelay) { return IsOver(*aRelay); });
}

}
