#include "Cluster.h"
#include "RawServer.h"

#include <LibRelay/RelayServer.h>
#include <doctest.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

// More than the buffers of the sockets hold.
constexpr std::size_t kFirstBytes = 4 << 20;
// The rest comes faster than a slow caller reads, so that ever more of it is unsent.
constexpr std::size_t kPartBytes = 512 << 10;
constexpr std::size_t kParts = 30;
constexpr Milliseconds kPartInterval{ 100 };
constexpr Milliseconds kReadInterval{ 120 };
constexpr std::size_t kResponseBytes = kFirstBytes + kParts * kPartBytes;

/// A server that sends a long response and completes it when its socket has accepted all bytes.
class LongResponseServer
{
public:
  LongResponseServer()
    : m_address(Cluster::UnusedAddress())
  {
    RelayServerLimits limits;
    limits.m_max_unread_time = Milliseconds(2'000);
    m_server = RelayServer::Create(m_loop,
                                   m_address,
                                   limits,
                                   m_memory,
                                   [this](const RelayExchangePtr& aRequest) {
                                     m_exchange = aRequest;
                                     m_exchange->SetOnClosed([this] { End(true); });
                                     m_exchange->SetOnDrained([this] {
                                       if (m_parts == kParts) {
                                         End(false);
                                       }
                                     });
                                     m_exchange->Start(
                                       200,
                                       { { "Content-Length", std::to_string(kResponseBytes) } },
                                       BodyFraming::Length);
                                     m_exchange->Write(std::string(kFirstBytes, 'x'));
                                   })
                 .value();
    m_socket = ConnectTo(m_address);
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    send(m_socket, request.data(), request.size(), MSG_NOSIGNAL);
  }
  ~LongResponseServer() { close(m_socket); }

  /// Runs until the response is complete or given up, 20 s at most.
  void Run()
  {
    const Timer safeguard(
      m_loop, std::chrono::seconds(20), Timer::Repeat::Once, [this] { m_loop.Stop(); });
    const Timer parts(m_loop, kPartInterval, Timer::Repeat::Always, [this] {
      if (m_exchange != nullptr && m_parts < kParts) {
        ++m_parts;
        m_exchange->Write(std::string(kPartBytes, 'x'));
      }
    });
    m_loop.Run();
  }

  int Socket() const { return m_socket; }
  bool WasGivenUp() const { return m_was_given_up; }
  bool IsComplete() const { return m_is_complete; }
  const RelayServer& Server() const { return *m_server; }

private:
  void End(bool aIsGivenUp)
  {
    m_was_given_up = aIsGivenUp;
    m_is_complete = !aIsGivenUp;
    if (m_is_complete) {
      m_exchange->Finish();
    }
    m_loop.Stop();
  }

  EventLoop m_loop;
  MemoryBudget m_memory{ 64 << 20 };
  SocketAddress m_address;
  std::unique_ptr<RelayServer> m_server;
  RelayExchangePtr m_exchange;
  std::size_t m_parts = 0;
  int m_socket = -1;
  bool m_was_given_up = false;
  bool m_is_complete = false;
};

}

// Guards against a caller that holds a slot of an endpoint by reading nothing.
TEST_CASE("Slow readers: a caller that reads nothing is given up")
{
  LongResponseServer server;
  server.Run();
  CHECK(server.WasGivenUp());
  CHECK(server.Server().ClosedUnread() == 1);
}

// Guards against a caller that is given up although it reads, more slowly than the response comes.
TEST_CASE("Slow readers: a caller that reads slowly gets the whole response")
{
  LongResponseServer server;
  std::size_t received = 0;
  std::thread caller([&] {
    std::vector<char> bytes(kPartBytes / 2);
    ssize_t size = 0;
    while (received < kResponseBytes &&
           (size = recv(server.Socket(), bytes.data(), bytes.size(), 0)) > 0) {
      received += static_cast<std::size_t>(size);
      std::this_thread::sleep_for(kReadInterval);
    }
    shutdown(server.Socket(), SHUT_RDWR);
  });
  server.Run();
  CHECK(server.IsComplete());
  CHECK(server.Server().ClosedUnread() == 0);
  shutdown(server.Socket(), SHUT_RDWR);
  caller.join();
}
