#include <LibPeers/PeerExchange.h>

#include <LibCore/Log.h>
#include <LibPeers/PeerRpc.h>
#include <algorithm>

namespace auburnhitch {

namespace {

constexpr int kIntervalsPerTimeout = 4;
constexpr Milliseconds kFetchTimeout{ 5'000 };
constexpr std::size_t kMaxSnapshotBytes = 64 << 20;

}

PeerExchange::PeerExchange(EventLoop& aLoop,
                           HttpClient& aClient,
                           Milliseconds aInterval,
                           std::size_t aFanOut,
                           Handlers aHandlers)
  : m_client(aClient)
  , m_interval(aInterval)
  , m_fan_out(aFanOut)
  , m_handlers(std::move(aHandlers))
  , m_timer(aLoop, aInterval, Timer::Repeat::Always, [this] { SendUpdates(); })
{
}

void
PeerExchange::SendUpdates()
{
  std::vector<SocketAddress> peers = m_handlers.m_peers();
  std::shuffle(peers.begin(), peers.end(), m_generator);
  peers.resize(std::min(peers.size(), m_fan_out));
  for (const SocketAddress& peer : peers) {
    ExchangeWith(peer);
  }
}

void
PeerExchange::ExchangeWith(const SocketAddress& aPeer)
{
  auto& call = m_exchanges[aPeer];
  if (call != nullptr) {
    return;
  }
  HttpRequest request{ "POST", peer_rpc::kPath, { { "Content-Type", "application/json" } }, {} };
  request.m_body =
    peer_rpc::BuildRequest("exchange", Json{ { "news", m_handlers.m_own_update().ToJson() } });
  HttpCallLimits limits;
  limits.m_total_timeout = m_interval * kIntervalsPerTimeout;
  HttpCallHandlers handlers;
  handlers.m_on_end = [this, aPeer](const HttpOutcome& aOutcome) {
    const auto ended = m_exchanges.extract(aPeer);
    if (aOutcome.m_end != HttpEnd::Complete) {
      return;
    }
    const auto result = peer_rpc::ReadResponse(aOutcome.m_body);
    Findings findings;
    const auto news = result.ok() ? PeerUpdate::FromJson(*result, findings) : std::nullopt;
    if (!news) {
      LogOf("peers").warn("Ignores the answer of {}.", aPeer.Value());
      return;
    }
    OnUpdate(*news);
  };
  call = m_client.Send(aPeer, request, limits, std::move(handlers));
}

Json
PeerExchange::OnExchange(const Json& aUpdate)
{
  Findings findings;
  if (const auto news = PeerUpdate::FromJson(aUpdate, findings)) {
    OnUpdate(*news);
  } else {
    LogOf("peers").warn("Ignores news: {}", findings.Describe("news"));
  }
  return m_handlers.m_own_update().ToJson();
}

void
PeerExchange::OnUpdate(const PeerUpdate& aUpdate)
{
  m_handlers.m_on_update(aUpdate);
  if (m_handlers.m_is_ahead(aUpdate)) {
    FetchDocuments(aUpdate);
  }
}

void
PeerExchange::FetchDocuments(const PeerUpdate& aFrom)
{
  // One fetch at a time: the next news shows whether more is needed.
  if (!m_fetches.empty()) {
    return;
  }
  HttpRequest request{ "POST", peer_rpc::kPath, { { "Content-Type", "application/json" } }, {} };
  request.m_body = peer_rpc::BuildRequest("documents", Json());
  HttpCallLimits limits;
  limits.m_total_timeout = kFetchTimeout;
  limits.m_max_body_bytes = kMaxSnapshotBytes;
  HttpCallHandlers handlers;
  const SocketAddress peer = aFrom.m_peer_address;
  handlers.m_on_end = [this, peer](const HttpOutcome& aOutcome) {
    const auto ended = m_fetches.extract(peer);
    if (aOutcome.m_end != HttpEnd::Complete) {
      return;
    }
    const auto result = peer_rpc::ReadResponse(aOutcome.m_body);
    Findings findings;
    const auto snapshot =
      result.ok() ? DocumentSnapshot::FromJson(*result, findings) : std::nullopt;
    if (!snapshot) {
      LogOf("peers").warn("Ignores the documents of {}.", peer.Value());
      return;
    }
    m_handlers.m_on_documents(*snapshot);
  };
  m_fetches[peer] = m_client.Send(peer, request, limits, std::move(handlers));
}

}
