#include "EarlierCoordinator.h"

#include "Cluster.h"

#include <algorithm>

namespace auburnhitch::tests {

namespace {

constexpr Milliseconds kHeartbeatInterval{ 50 };
// Above that of the daemon, so that it prefers this coordinator.
constexpr int kProcessorMillicores = 1'000'000;

}

EarlierCoordinator::EarlierCoordinator(SocketAddress aDaemon, std::vector<EndpointId> aEndpoints)
  : m_endpoints(std::move(aEndpoints))
  , m_grants(m_endpoints.size())
  , m_thread([this, daemon = std::move(aDaemon)] { Run(daemon); })
{
}

EarlierCoordinator::~EarlierCoordinator()
{
  m_is_stopping = true;
  m_thread.join();
}

int
EarlierCoordinator::GrantsOf(const EndpointId& aEndpoint) const
{
  const auto found = std::find(m_endpoints.begin(), m_endpoints.end(), aEndpoint);
  return m_grants.at(static_cast<std::size_t>(found - m_endpoints.begin()));
}

void
EarlierCoordinator::Run(const SocketAddress& aDaemon)
{
  EventLoop loop;
  const SocketAddress address = Cluster::UnusedAddress();
  std::vector<std::unique_ptr<PeerLink>> links;
  const auto listener =
    PeerLinkListener::Create(loop, address, [&](std::unique_ptr<PeerLink> aLink) {
      PeerLink* link = aLink.get();
      link->SetHandlers(
        { [this, link](const nlohmann::json& aMessage) { OnMessage(*link, aMessage); },
          [](const char*) {} });
      links.push_back(std::move(aLink));
    }).value();
  const auto socket = HeartbeatSocket::Create(loop, address, [](const Heartbeat&) {}).value();
  Heartbeat heartbeat;
  heartbeat.m_member.m_host = HostName("earlier");
  heartbeat.m_member.m_incarnation = Incarnation("earlier");
  heartbeat.m_member.m_data_center = DataCenterName("dc");
  heartbeat.m_member.m_peer_address = address;
  heartbeat.m_member.m_caller_address = address;
  heartbeat.m_member.m_is_ready = true;
  heartbeat.m_member.m_can_read_store = true;
  heartbeat.m_member.m_processor_millicores = kProcessorMillicores;
  const Timer timer(loop, kHeartbeatInterval, Timer::Repeat::Always, [&] {
    socket->SendTo(aDaemon, EncodeHeartbeat(heartbeat));
    if (m_is_stopping) {
      loop.Stop();
    }
  });
  loop.Run();
}

void
EarlierCoordinator::OnMessage(PeerLink& aLink, const nlohmann::json& aMessage)
{
  const auto message = DecodeSlotMessage(aMessage);
  const auto* request = message ? std::get_if<SlotRequestMessage>(&*message) : nullptr;
  if (request == nullptr) {
    return;
  }
  aLink.Send(EncodeSlotMessage(QueuedMessage{ request->m_number }));
  for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
    const auto& avoided = request->m_avoided;
    if (std::find(avoided.begin(), avoided.end(), m_endpoints[i]) == avoided.end()) {
      ++m_grants[i];
      aLink.Send(
        EncodeSlotMessage(GrantMessage{ request->m_number, m_endpoints[i], Milliseconds(10) }));
      return;
    }
  }
  aLink.Send(EncodeSlotMessage(
    RefusalMessage{ request->m_number, SlotRefusalReason::NoEndpoint, Milliseconds(100) }));
}

}
