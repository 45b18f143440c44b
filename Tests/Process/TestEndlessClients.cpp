#include "RawServer.h"

#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpClient.h>
#include <LibRelay/RelayClient.h>

#include <absl/strings/str_cat.h>
#include <atomic>
#include <doctest.h>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

constexpr const char* kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr const char* kOpenHead = "HTTP/1.1 200 OK\r\n\r\n";
// Far above the buffers of a socket.
constexpr std::size_t kMaxBytesWritten = 64 << 20;

/// A server that answers each request with bytes without end.
class EndlessServer
{
public:
  EndlessServer(std::string aBegin, std::string aRepeated)
    : m_server([this, begin = std::move(aBegin), repeated = std::move(aRepeated)](
                 RawConnection& aConnection) {
      aConnection.ReadRequest();
      aConnection.Write(begin);
      while (m_written < kMaxBytesWritten && aConnection.Write(repeated)) {
        m_written += repeated.size();
      }
    })
  {
  }

  SocketAddress Address() const { return m_server.Address(); }
  std::size_t Written() const { return m_written; }

private:
  std::atomic<std::size_t> m_written = 0;
  RawServer m_server;
};

}

TEST_CASE("The own interface's client ends a call whose response never ends")
{
  struct EndlessResponse
  {
    std::string m_begin;
    std::string m_repeated;
    /// A call that runs into its timeout ends as broken, too.
    HttpEnd m_end = HttpEnd::Unusable;
  };
  const std::string block(1'000, 'x');
  for (const EndlessResponse& response : std::vector<EndlessResponse>{
         { "", block, HttpEnd::Broken },
         { "HTTP/1.1 200 OK\r\nX-Long: ", block, HttpEnd::Broken },
         { "HTTP/1.1 200 OK\r\n", absl::StrCat("X-Next: ", block, "\r\n"), HttpEnd::Broken },
         { kChunkedHead, absl::StrCat("3e8\r\n", block, "\r\n") },
         { absl::StrCat(kChunkedHead, "2;"), block },
         { absl::StrCat(kChunkedHead, "2\r\nok\r\n0\r\n"),
           absl::StrCat("X-Next: ", block, "\r\n"),
           HttpEnd::Broken },
         { kOpenHead, block } }) {
    CAPTURE(response.m_begin);
    EventLoop loop;
    EndlessServer server(response.m_begin, response.m_repeated);
    HttpClient client(loop);
    HttpRequest request;
    request.m_method = "GET";
    request.m_path = "/";
    HttpEnd end = HttpEnd::Complete;
    const auto call =
      client.Send(server.Address(),
                  request,
                  HttpCallLimits(),
                  HttpCallHandlers{ nullptr, nullptr, [&](const HttpOutcome& aOutcome) {
                                     end = aOutcome.m_end;
                                     loop.Stop();
                                   } });
    loop.Run();
    CHECK(end == response.m_end);
    CHECK(server.Written() < kMaxBytesWritten);
  }
}

TEST_CASE("The relay's client ends a call whose body exceeds its limit")
{
  for (const auto& response : std::vector<std::pair<std::string, std::string>>{
         { kChunkedHead, absl::StrCat("3e8\r\n", std::string(1'000, 'x'), "\r\n") },
         { kOpenHead, std::string(1'000, 'x') } }) {
    CAPTURE(response.first);
    EventLoop loop;
    EndlessServer server(response.first, response.second);
    RelayClient client(loop, Milliseconds(100), 1);
    RelayCallLimits limits;
    limits.m_max_body_bytes = 1 << 20;
    std::size_t received = 0;
    RelayCallEnd end = RelayCallEnd::Complete;
    RelayCallHandlers handlers;
    handlers.m_on_body = [&](const std::string& aBytes) { received += aBytes.size(); };
    handlers.m_on_end = [&](const RelayResult& aResult) {
      end = aResult.m_end;
      loop.Stop();
    };
    const auto call =
      client.Send(server.Address(), "server", RelayRequest(), limits, std::move(handlers));
    loop.Run();
    CHECK(end == RelayCallEnd::Malformed);
    CHECK(received <= limits.m_max_body_bytes);
    CHECK(server.Written() < kMaxBytesWritten);
  }
}
