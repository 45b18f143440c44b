#include "Cluster.h"
#include "GatewayCluster.h"

#include <LibRelay/RelayClient.h>
#include <LibRelay/RelayServer.h>
#include <absl/strings/str_cat.h>
#include <array>
#include <doctest.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

// Far above the buffers of a socket and what a daemon may keep.
constexpr std::size_t kMaxBytesWritten = 64 << 20;

/// Writes bytes to an address until the peer closes or too many are written. Returns how many were
/// written. The pauses let a peer that discards the rest close before.
std::size_t
FloodAddress(const SocketAddress& aAddress, const std::string& aBegin, const std::string& aRepeated)
{
  const int socket = ConnectTo(aAddress);
  REQUIRE(socket >= 0);
  std::size_t written = 0;
  const auto write = [&](const std::string& aBytes) {
    const ssize_t size = send(socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    written += size > 0 ? static_cast<std::size_t>(size) : 0;
    return size > 0;
  };
  bool is_open = write(aBegin);
  while (is_open && written < kMaxBytesWritten) {
    is_open = write(aRepeated);
    std::this_thread::sleep_for(std::chrono::microseconds(100));
  }
  close(socket);
  return written;
}

std::string
BigEndianLength(std::uint32_t aLength)
{
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<char>(aLength >> shift));
  }
  return bytes;
}

}

// Guards against callers and platform calls that fill the memory of a daemon.
TEST_CASE("Bytes without end: every port closes a connection whose request does not end")
{
  GatewayCluster cluster(1, 1);
  const std::string block(1'000, 'x');
  const std::string head = "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\n";
  for (const SocketAddress& address : { cluster.CallerAddress(0),
                                        cluster.ReadinessAddress(0),
                                        cluster.DirectoryAddress(0),
                                        cluster.MetricsAddress(0) }) {
    CAPTURE(address.Value());
    CHECK(FloodAddress(address, "GET /", block) < kMaxBytesWritten);
    CHECK(FloodAddress(address, head, absl::StrCat("X-Next: ", block, "\r\n")) < kMaxBytesWritten);
    CHECK(FloodAddress(address, absl::StrCat(head, "Content-Length: 1000000000\r\n\r\n"), block) <
          kMaxBytesWritten);
    CHECK(FloodAddress(address,
                       absl::StrCat(head, "Transfer-Encoding: chunked\r\n\r\n"),
                       absl::StrCat("3e8\r\n", block, "\r\n")) < kMaxBytesWritten);
  }
  CHECK(cluster.Call("/unsafe/x", "after").m_status == 200);
}

// Guards against another daemon's messages that fill the memory of this one.
TEST_CASE("Bytes without end: a link between daemons ends with an oversized message")
{
  GatewayCluster cluster(1, 1);
  const std::string block(1'000, 'x');
  CHECK(FloodAddress(cluster.PeerAddress(0), BigEndianLength(0x7fffffff), block) <
        kMaxBytesWritten);
  CHECK(FloodAddress(cluster.PeerAddress(0), "", block) < kMaxBytesWritten);
  CHECK(cluster.Call("/unsafe/x", "after").m_status == 200);
}

// Guards against a late response that fills the memory of a daemon.
TEST_CASE("Bytes without end: the late response to a call that was given up is bounded")
{
  GatewayCluster cluster(1, 1);
  std::atomic<std::size_t> written = 0;
  cluster.Endpoint(0).SetBehaviour([&](RawConnection& aConnection, const RawRequest& aRequest) {
    if (aRequest.Header("x-request-id") != "given-up") {
      return RespondWithSuccess(aConnection, aRequest);
    }
    aConnection.WaitForClose();
    std::size_t count = 1;
    while (count < kMaxBytesWritten &&
           aConnection.Write("HTTP/1.1 200 OK\r\nX-Long: " + std::string(1'000, 'x'))) {
      count += 1'000;
    }
    written = count;
    return false;
  });
  const int socket = ConnectTo(cluster.CallerAddress(0));
  const std::string request =
    "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: given-up\r\n"
    "Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n";
  REQUIRE(send(socket, request.data(), request.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(request.size()));
  cluster.Endpoint(0).WaitForRun("given-up");
  close(socket);
  CHECK(WaitFor([&] { return written > 0; }));
  CHECK(written < kMaxBytesWritten);
  CHECK(cluster.Call("/unsafe/x", "after").m_status == 200);
}

// Guards against a response of the store that fills the memory of a daemon.
TEST_CASE("Bytes without end: a response of the store that does not end is a failed call")
{
  GatewayCluster cluster(1, 1);
  cluster.Store().SetMode(StoreStandIn::Mode::Endless);
  // Both the reads and the snapshots after a read that was refused.
  CHECK(WaitFor([&] {
    return cluster.LogOfDaemon(0).find("event=lost why=\"the body exceeds") != std::string::npos;
  }));
  CHECK(cluster.Call("/unsafe/x", "during").m_status == 200);
  cluster.Store().SetMode(StoreStandIn::Mode::Normal);
  CHECK(WaitFor([&] {
    return cluster.LogOfDaemon(0).find(
             "event=regained", cluster.LogOfDaemon(0).find("event=lost")) != std::string::npos;
  }));
}

// Guards against a store that always has a further page.
TEST_CASE("Bytes without end: the pages of a snapshot are bounded")
{
  GatewayCluster cluster(1, 1);
  cluster.Store().SetEndlessPages("keyed.servers", true);
  cluster.Store().Compact("keyed.servers");
  CHECK(WaitFor([&] {
    return cluster.LogOfDaemon(0).find("event=snapshot-too-large topic=keyed.servers") !=
           std::string::npos;
  }));
  CHECK(cluster.Call("/unsafe/x", "during").m_status == 200);
}

// Guards against callers whose bodies together fill the memory of a daemon.
TEST_CASE("Bytes without end: the bodies of all requests are bounded")
{
  EventLoop loop;
  RelayServerLimits limits;
  limits.m_max_body_bytes = 80'000;
  MemoryBudget memory(100'000);
  const SocketAddress address = Cluster::UnusedAddress();
  RelayClient client(loop, Milliseconds(100), 0);
  std::vector<std::unique_ptr<RelayCall>> calls;
  std::vector<int> statuses;
  const auto call = [&](std::function<void()> aThen) {
    RelayRequest request;
    request.m_method = "POST";
    request.m_target = "/";
    request.m_headers = { { "Host", "h" } };
    request.m_body = std::string(60'000, 'x');
    RelayCallHandlers handlers;
    handlers.m_on_head = [&](const MessageHead& aHead) { statuses.push_back(aHead.m_status); };
    handlers.m_on_end = [then = std::move(aThen)](const RelayResult&) { then(); };
    calls.push_back(
      client.Send(address, "server", std::move(request), RelayCallLimits(), std::move(handlers)));
  };
  RelayExchangePtr first;
  const auto server =
    RelayServer::Create(loop, address, limits, memory, [&](const RelayExchangePtr& aExchange) {
      if (first != nullptr) {
        aExchange->Reply(200, {}, "");
        return;
      }
      first = aExchange;
      call([&] { first->Reply(200, {}, ""); });
    });
  REQUIRE(server.ok());
  // The second is refused while the first is held; the third comes after the first has ended.
  call([&] { call([&] { loop.Stop(); }); });
  loop.Run();
  CHECK(statuses == std::vector<int>{ 503, 200, 200 });
}

// Guards against a crowd whose complete requests together fill the memory of a daemon.
TEST_CASE("Bytes without end: complete requests of very many fields are bounded, small ones served")
{
  EventLoop loop;
  RelayServerLimits limits;
  limits.m_max_connections = 10;
  // The first two requests fit into it, the third does not, but is smaller than a tenth of it.
  MemoryBudget memory(106'000);
  constexpr std::array kFields{ 700, 300, 100, 300 };
  constexpr std::size_t kHeldFields = 200;
  const SocketAddress address = Cluster::UnusedAddress();
  RelayClient client(loop, Milliseconds(100), 0);
  std::vector<std::unique_ptr<RelayCall>> calls;
  std::vector<RelayExchangePtr> held;
  std::vector<int> statuses;
  const std::function<void()> send_next = [&] {
    if (statuses.size() == kFields.size()) {
      loop.Stop();
      return;
    }
    if (calls.size() == kFields.size()) {
      for (const RelayExchangePtr& exchange : std::exchange(held, {})) {
        exchange->Reply(200, {}, "");
      }
      return;
    }
    RelayRequest request;
    request.m_target = "/";
    request.m_headers.assign(kFields.at(calls.size()), { "a", "" });
    RelayCallHandlers handlers;
    handlers.m_on_head = [&](const MessageHead& aHead) { statuses.push_back(aHead.m_status); };
    handlers.m_on_end = [&](const RelayResult&) { send_next(); };
    calls.push_back(
      client.Send(address, "server", std::move(request), RelayCallLimits(), std::move(handlers)));
  };
  const auto server =
    RelayServer::Create(loop, address, limits, memory, [&](const RelayExchangePtr& aExchange) {
      if (aExchange->Head().m_headers.size() < kHeldFields) {
        aExchange->Reply(200, {}, "");
        return;
      }
      held.push_back(aExchange);
      loop.Defer(send_next);
    });
  REQUIRE(server.ok());
  send_next();
  loop.Run();
  CHECK(statuses == std::vector<int>{ 200, 503, 200, 200 });
}
