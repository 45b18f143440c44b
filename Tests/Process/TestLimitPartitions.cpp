#include "Cluster.h"
#include "StatedLimitChecker.h"

#include <LibBroker/SlotBroker.h>
#include <LibHttp/HttpServer.h>

#include <absl/strings/str_cat.h>
#include <doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <random>
#include <set>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

const ServiceName kService("s");
const EndpointIncarnation kEndpoint{ EndpointId("e"), 1 };
constexpr std::size_t kNodes = 5;
constexpr double kLimit = 4;

/// Forwards the connections of one daemon to another one. While it is cut it forwards nothing, and
/// neither side notices.
class CuttableLink
{
public:
  CuttableLink(EventLoop& aLoop, SocketAddress aTarget)
    : m_loop(aLoop)
    , m_target(std::move(aTarget))
    , m_address(Cluster::UnusedAddress())
  {
    const sockaddr_in name = ToSockaddr(m_address).value();
    m_listener = evconnlistener_new_bind(aLoop.Base(),
                                         OnAccept,
                                         this,
                                         LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                         -1,
                                         reinterpret_cast<const sockaddr*>(&name),
                                         sizeof(name));
    REQUIRE(m_listener != nullptr);
  }

  ~CuttableLink()
  {
    for (const auto& [from, to] : m_peers) {
      bufferevent_free(from);
    }
    evconnlistener_free(m_listener);
  }

  CuttableLink(const CuttableLink&) = delete;
  CuttableLink& operator=(const CuttableLink&) = delete;

  const SocketAddress& Address() const { return m_address; }

  void SetCut(bool aIsCut)
  {
    m_is_cut = aIsCut;
    for (const auto& [from, to] : m_peers) {
      if (aIsCut) {
        bufferevent_disable(from, EV_READ);
      } else {
        bufferevent_enable(from, EV_READ);
      }
    }
  }

private:
  static void OnAccept(evconnlistener*, int aSocket, sockaddr*, int, void* aSelf)
  {
    auto* self = static_cast<CuttableLink*>(aSelf);
    const sockaddr_in name = ToSockaddr(self->m_target).value();
    bufferevent* near = bufferevent_socket_new(self->m_loop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent* far = bufferevent_socket_new(self->m_loop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
    self->m_peers[near] = far;
    self->m_peers[far] = near;
    for (bufferevent* events : { near, far }) {
      bufferevent_setcb(events, OnReadable, nullptr, OnEvent, self);
      bufferevent_enable(events, EV_WRITE);
      if (!self->m_is_cut) {
        bufferevent_enable(events, EV_READ);
      }
    }
    bufferevent_socket_connect(far, reinterpret_cast<const sockaddr*>(&name), sizeof(name));
  }

  static void OnReadable(bufferevent* aFrom, void* aSelf)
  {
    const auto& peers = static_cast<CuttableLink*>(aSelf)->m_peers;
    bufferevent_write_buffer(peers.at(aFrom), bufferevent_get_input(aFrom));
  }

  static void OnEvent(bufferevent* aFrom, short aWhat, void* aSelf)
  {
    if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
      return;
    }
    auto* self = static_cast<CuttableLink*>(aSelf);
    bufferevent* peer = self->m_peers.at(aFrom);
    self->m_peers.erase(aFrom);
    self->m_peers.erase(peer);
    bufferevent_free(aFrom);
    bufferevent_free(peer);
  }

  EventLoop& m_loop;
  SocketAddress m_target;
  SocketAddress m_address;
  evconnlistener* m_listener = nullptr;
  std::map<bufferevent*, bufferevent*> m_peers;
  bool m_is_cut = false;
};

/// Brokers of several daemons on one event loop, whose heartbeats and links can be cut, before one
/// endpoint that states a limit. Each daemon requests slots without a pause.
class BrokerFleet
{
public:
  BrokerFleet()
  {
    for (std::size_t i = 0; i < kNodes; ++i) {
      m_nodes.push_back(std::make_unique<Node>(*this, i));
    }
    for (std::size_t from = 0; from < kNodes; ++from) {
      for (std::size_t to = 0; to < kNodes; ++to) {
        m_links.emplace(std::pair(from, to),
                        std::make_unique<CuttableLink>(m_loop, m_nodes[to]->m_address));
      }
    }
    SendHeartbeats();
    m_limit.SetLimit(kLimit);
  }

  /// Cuts or heals the connections between two daemons, in both directions.
  void SetCut(std::size_t aOne, std::size_t aOther, bool aIsCut)
  {
    for (const auto& pair : { std::pair(aOne, aOther), std::pair(aOther, aOne) }) {
      m_links.at(pair)->SetCut(aIsCut);
      if (aIsCut) {
        m_cut.insert(pair);
      } else {
        m_cut.erase(pair);
      }
    }
  }

  /// Holds back what one daemon sends on its link to another, without cutting heartbeats.
  void SetLinkHeld(std::size_t aFrom, std::size_t aTo, bool aIsHeld)
  {
    m_links.at(std::pair(aFrom, aTo))->SetCut(aIsHeld);
  }

  void HealAll()
  {
    for (const auto& [one, other] : std::set(m_cut)) {
      SetCut(one, other, false);
    }
  }

  void RunFor(Milliseconds aTime)
  {
    const Timer stop(m_loop, aTime, Timer::Repeat::Once, [this] { m_loop.Stop(); });
    m_loop.Run();
  }

  /// The daemon that all daemons consider the coordinator, and the one that succeeds it.
  std::size_t Coordinator() const { return IndexOf(CoordinatorMember()); }
  std::size_t Successor() const
  {
    return IndexOf(*m_nodes[Coordinator()]->m_membership.SuccessorOf(kService, m_loop.Now()));
  }

  const StatedLimitChecker& Limit() const { return m_limit; }
  std::size_t ArrivalsOf(std::size_t aNode) const { return m_nodes[aNode]->m_arrivals; }
  /// The daemons that have granted or refused slots to a daemon.
  const std::set<HostName>& CoordinatorsOf(std::size_t aNode) const
  {
    return m_nodes[aNode]->m_coordinators;
  }

private:
  struct Node
  {
    Node(BrokerFleet& aFleet, std::size_t aIndex)
      : m_fleet(aFleet)
      , m_index(aIndex)
      , m_address(Cluster::UnusedAddress())
      , m_membership(Membership::Limits(), HostName(absl::StrCat("h", aIndex)))
      , m_quotas(QuotaTolerance())
      , m_broker(SlotBroker::Limits(),
                 SlotBroker::Dependencies{
                   &aFleet.m_loop,
                   &m_membership,
                   &m_quotas,
                   [this] { return Self(); },
                   [this](const ServiceName&) { return Endpoints(); },
                   [](const ServiceName&) { return std::optional<SoftwareVersion>(); },
                   [](const EndpointIncarnation&) {} })
      , m_listener(PeerLinkListener::Create(
                     aFleet.m_loop,
                     m_address,
                     [this](std::unique_ptr<PeerLink> aLink) { m_broker.OnLink(std::move(aLink)); })
                     .value())
      , m_tick(aFleet.m_loop, Milliseconds(20), Timer::Repeat::Always, [this] { Tick(); })
    {
    }

    Member Self() const
    {
      Member self;
      self.m_host = HostName(absl::StrCat("h", m_index));
      self.m_incarnation = Incarnation(absl::StrCat("i", m_index));
      self.m_peer_address = m_address;
      self.m_is_ready = true;
      self.m_can_read_store = true;
      return self;
    }

    std::vector<SlotEndpointInfo> Endpoints() const
    {
      constexpr int kSlots = 4;
      return { SlotEndpointInfo{ kEndpoint.m_id,
                                 DataCenterName("dc"),
                                 kSlots,
                                 kEndpoint.m_started_at_ms,
                                 SoftwareVersion("v1"),
                                 m_broker.KnownLimitOf(kEndpoint) } };
    }

    void Tick()
    {
      m_broker.Tick();
      constexpr std::size_t kConcurrentRequests = 4;
      while (m_broker.OutstandingCount() < kConcurrentRequests) {
        Request();
      }
    }

    void Request()
    {
      const TimePoint now = m_fleet.m_loop.Now();
      SlotRequest request;
      request.m_arrived_at = now;
      request.m_objective_at = now + Milliseconds(800);
      request.m_abandoned_at = now + Milliseconds(3'000);
      const auto number = std::make_shared<std::uint64_t>(0);
      *number = m_broker.RequestSlot(
        kService,
        request,
        SlotHandlers{ [this, number](const SlotGrant&, const HostName& aCoordinator) {
                       m_coordinators.insert(aCoordinator);
                       Send(*number);
                     },
                      [this](const SlotRefusal&, const HostName& aCoordinator) {
                        m_coordinators.insert(aCoordinator);
                      } });
    }

    /// The endpoint responds at once, with its limit.
    void Send(std::uint64_t aNumber)
    {
      ++m_arrivals;
      m_fleet.m_limit.RecordArrival(m_index);
      m_fleet.m_limit.RecordNotified(m_index);
      m_fleet.m_loop.Defer([this, aNumber] {
        m_broker.RecordNotice(aNumber, kEndpoint, EndpointNotice{ RequestRate{ kLimit } });
        m_broker.RecordStarted(aNumber);
        m_broker.RecordEnded(aNumber, SlotOutcome::Complete);
      });
    }

    BrokerFleet& m_fleet;
    std::size_t m_index;
    SocketAddress m_address;
    Membership m_membership;
    QuotaLedger m_quotas;
    SlotBroker m_broker;
    std::unique_ptr<PeerLinkListener> m_listener;
    std::size_t m_arrivals = 0;
    std::set<HostName> m_coordinators;
    Timer m_tick;
  };

  Member CoordinatorMember() const
  {
    return m_nodes[0]->m_membership.CoordinatorOf(kService, m_nodes[0]->Self(), m_loop.Now());
  }

  static std::size_t IndexOf(const Member& aMember)
  {
    return static_cast<std::size_t>(aMember.m_host.Value().back() - '0');
  }

  void SendHeartbeats()
  {
    for (const auto& [pair, link] : m_links) {
      // From the second daemon of the pair to the first, which connects to it through the link.
      if (pair.first != pair.second && !m_cut.contains(pair)) {
        Member member = m_nodes[pair.second]->Self();
        member.m_peer_address = link->Address();
        m_nodes[pair.first]->m_membership.RecordHeartbeat(member, m_loop.Now());
      }
    }
  }

  EventLoop m_loop;
  StatedLimitChecker m_limit;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<CuttableLink>> m_links;
  std::set<std::pair<std::size_t, std::size_t>> m_cut;
  Timer m_heartbeats{ m_loop, Milliseconds(200), Timer::Repeat::Always, [this] {
                       SendHeartbeats();
                     } };
};

std::string
FirstViolation(const BrokerFleet& aFleet)
{
  const std::vector<std::string> violations = aFleet.Limit().Violations();
  return violations.empty() ? "none" : violations.front();
}

constexpr Milliseconds kCalmTime{ 4'000 };
constexpr Milliseconds kCutTime{ 6'000 };

}

TEST_CASE("Limits: both sides of a partition together send an endpoint no more than its limit")
{
  BrokerFleet fleet;
  fleet.RunFor(kCalmTime);
  const std::set<std::size_t> minority{ fleet.Coordinator(), fleet.Successor() };
  std::vector<std::size_t> before;
  for (std::size_t one = 0; one < kNodes; ++one) {
    before.push_back(fleet.ArrivalsOf(one));
    for (std::size_t other = 0; other < one; ++other) {
      if (minority.contains(one) != minority.contains(other)) {
        fleet.SetCut(one, other, true);
      }
    }
  }
  fleet.RunFor(kCutTime);
  std::size_t served_in_minority = 0;
  std::size_t served_in_majority = 0;
  for (std::size_t node = 0; node < kNodes; ++node) {
    (minority.contains(node) ? served_in_minority : served_in_majority) +=
      fleet.ArrivalsOf(node) - before[node];
  }
  fleet.HealAll();
  fleet.RunFor(kCalmTime);
  CHECK(FirstViolation(fleet) == "none");
  CHECK(served_in_minority > 0);
  CHECK(served_in_majority > served_in_minority);
}

TEST_CASE(
  "Limits: daemons that disagree on the coordinator send an endpoint no more than its limit")
{
  BrokerFleet fleet;
  fleet.RunFor(kCalmTime);
  // The successor considers itself the coordinator, and all others do not.
  fleet.SetCut(fleet.Coordinator(), fleet.Successor(), true);
  fleet.RunFor(kCutTime);
  fleet.HealAll();
  fleet.RunFor(kCalmTime);
  CHECK(FirstViolation(fleet) == "none");
}

TEST_CASE("Limits: connections that are cut and healed in turns do not exceed them")
{
  for (const unsigned seed : { 1U, 2U, 3U }) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    BrokerFleet fleet;
    fleet.RunFor(kCalmTime);
    for (int step = 0; step < 12; ++step) {
      const std::size_t one = random() % kNodes;
      const std::size_t other = (one + 1 + random() % (kNodes - 1)) % kNodes;
      fleet.SetCut(one, other, random() % 3 != 0);
      fleet.RunFor(Milliseconds(200 + random() % 1'000));
    }
    fleet.HealAll();
    fleet.RunFor(kCalmTime);
    CHECK(FirstViolation(fleet) == "none");
  }
}

// Guards against two coordinators that grant the same slots because a packet was lost.
TEST_CASE("A link that waits for the retransmission of a packet does not change the coordinator")
{
  constexpr Milliseconds kRetransmissionTime{ 250 };
  BrokerFleet fleet;
  fleet.RunFor(kCalmTime);
  const std::size_t coordinator = fleet.Coordinator();
  const std::size_t daemon = (coordinator + 1) % kNodes;
  const std::set<HostName> before = fleet.CoordinatorsOf(daemon);
  for (int i = 0; i < 3; ++i) {
    fleet.SetLinkHeld(daemon, coordinator, true);
    fleet.RunFor(kRetransmissionTime);
    fleet.SetLinkHeld(daemon, coordinator, false);
    fleet.RunFor(kRetransmissionTime);
  }
  CHECK(before.size() == 1);
  CHECK(fleet.CoordinatorsOf(daemon) == before);
}
