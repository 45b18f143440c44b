#include "Cluster.h"

#include <LibDispatch/CallerError.h>
#include <LibHttp/HttpServer.h>
#include <arpa/inet.h>
#include <doctest.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

/// A bare TCP connection.
class RawConnection
{
public:
  explicit RawConnection(const SocketAddress& aTo)
    : m_socket(socket(AF_INET, SOCK_STREAM, 0))
  {
    const auto split = SplitSocketAddress(aTo).value();
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(split.second);
    inet_pton(AF_INET, split.first.c_str(), &address.sin_addr);
    m_is_connected =
      connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    fcntl(m_socket, F_SETFL, O_NONBLOCK);
  }
  ~RawConnection() { close(m_socket); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  bool IsConnected() const { return m_is_connected; }
  void Send(const std::string& aBytes) const
  {
    (void)!send(m_socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  }
  /// Reads all received bytes; returns true once the peer has closed the connection.
  bool ReadUntilClosed()
  {
    std::array<char, 4096> bytes{};
    while (true) {
      const ssize_t count = recv(m_socket, bytes.data(), bytes.size(), 0);
      if (count <= 0) {
        return count == 0 || errno == ECONNRESET;
      }
      m_received.append(bytes.data(), static_cast<std::size_t>(count));
    }
  }
  const std::string& Received() const { return m_received; }

private:
  int m_socket;
  bool m_is_connected = false;
  std::string m_received;
};

HttpRequest
DeskRequest(const std::string& aKey, const std::string& aBody = "{}")
{
  return HttpRequest{
    "POST", "/v1/services/desk/lots/1", { { "Authorization", "Bearer " + aKey } }, aBody
  };
}

bool
IsServing(Cluster& aCluster)
{
  return aCluster.Caller().Call(aCluster.CallerAddress(0), DeskRequest("mill-key"))->Outcome() ==
         "done";
}

ClusterOptions
OneDaemon()
{
  ClusterOptions options;
  options.m_daemons = 1;
  options.m_settings = Json{
    { "callers",
      { { "read_timeout_ms", 300 }, { "max_body_bytes", 100'000 }, { "max_header_bytes", 4'096 } } }
  };
  return options;
}

}

TEST_CASE("Malformed, truncated and oversized requests get an error or a closed connection")
{
  ClusterOptions options = OneDaemon();
  options.m_settings["callers"]["idle_timeout_ms"] = 300;
  Cluster cluster(options);
  const std::vector<std::string> requests{
    "\r\n\r\n",
    "GET\r\n\r\n",
    std::string("\x16\x03\x01\x02\0\x01\0\x01\xfc\x03\x03", 11),
    "POST /v1/services/desk/x HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
    "POST /v1/services/desk/x HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
    "POST /v1/services/desk/x HTTP/1.1\r\nContent-Length: 50\r\n\r\n{",
    "POST /v1/services/desk/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "GET /v1/address HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n",
    "GET /" + std::string(70'000, 'x') + " HTTP/1.1\r\n\r\n",
    "GET /v1/address HTTP/1.1\r\nHost: a\r\n",
    std::string(1'000, '\0'),
  };
  for (std::size_t index = 0; index < requests.size(); ++index) {
    CAPTURE(index);
    RawConnection connection(cluster.CallerAddress(0));
    REQUIRE(connection.IsConnected());
    connection.Send(requests[index]);
    // Every request ends, by an error response or by the read timeout.
    CHECK(cluster.Caller().RunUntil([&] {
      return connection.ReadUntilClosed() || connection.Received().find("HTTP/1.1 4") == 0;
    }));
  }
  CHECK(IsServing(cluster));
}

TEST_CASE("A request with ambiguous framing is rejected, and its connection carries no other")
{
  Cluster cluster(OneDaemon());
  const std::string next = "GET /v1/address HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::vector<std::string> framings{
    "Content-Length: 0\r\nContent-Length: " + std::to_string(next.size()) + "\r\n\r\n",
    std::string("Content-Length : 4\r\n\r\n"),
    std::string("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
    std::string("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n"),
    std::string("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n0\r\n\r\n"),
    std::string("Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
    std::string("Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n")
  };
  for (const std::string& framing : framings) {
    CAPTURE(framing);
    RawConnection connection(cluster.CallerAddress(0));
    REQUIRE(connection.IsConnected());
    connection.Send(absl::StrCat("GET /v1/address HTTP/1.1\r\nHost: h\r\n", framing, next));
    CHECK(cluster.Caller().RunUntil([&] { return connection.ReadUntilClosed(); }));
    CHECK(connection.Received().find("HTTP/1.1 2") == std::string::npos);
  }
  CHECK(IsServing(cluster));
}

TEST_CASE("A request whose header trickles in without end is cut off in bounded time")
{
  Cluster cluster(OneDaemon());
  RawConnection connection(cluster.CallerAddress(0));
  connection.Send("POST /v1/services/desk/x HTTP/1.1\r\n");
  CHECK(cluster.Caller().RunUntil([&] {
    connection.Send("X: y\r\n");
    return connection.ReadUntilClosed();
  }));
  CHECK(IsServing(cluster));
}

TEST_CASE("Ten thousand idle connections cost bounded memory, and callers are still served")
{
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  constexpr std::size_t kConnections = 10'000;
  REQUIRE(limit.rlim_cur > kConnections + 200);
  Cluster cluster(OneDaemon());
  std::vector<std::unique_ptr<RawConnection>> idle;
  for (std::size_t index = 0; index < kConnections; ++index) {
    idle.push_back(std::make_unique<RawConnection>(cluster.CallerAddress(0)));
    REQUIRE(idle.back()->IsConnected());
  }
  CHECK(IsServing(cluster));
  // Connections above the limit per address are refused.
  std::vector<std::unique_ptr<RawConnection>> extra;
  for (std::size_t index = 0; index < 2'100; ++index) {
    extra.push_back(std::make_unique<RawConnection>(cluster.CallerAddress(0)));
  }
  CHECK(cluster.Caller().RunUntil([&] { return extra.back()->ReadUntilClosed(); }));
  idle.clear();
  extra.clear();
  CHECK(cluster.Caller().RunUntil([&] { return IsServing(cluster); }));
}

TEST_CASE(
  "Wrong keys, unknown services and foreign tiers get their own error, and no key is logged")
{
  Cluster cluster(OneDaemon());
  const SocketAddress daemon = cluster.CallerAddress(0);
  CHECK(cluster.Caller().Call(daemon, DeskRequest("nobody"))->m_status == 401);
  HttpRequest unknown = DeskRequest("mill-key");
  unknown.m_path = "/v1/services/hall/x";
  CHECK(cluster.Caller().Call(daemon, unknown)->m_status == 404);
  HttpRequest foreign = DeskRequest("guest-key");
  foreign.m_headers.emplace_back(headers::kTier, "live");
  CHECK(cluster.Caller().Call(daemon, foreign)->m_status == 403);
  HttpRequest deep{ "POST", "/v1/chat/completions", {}, std::string(90'000, '[') };
  CHECK(cluster.Caller().Call(daemon, deep)->m_status == 400);
  CHECK(IsServing(cluster));
  CHECK(cluster.LogOf(0).find("mill-key") == std::string::npos);
  CHECK(cluster.LogOf(0).find("nobody") == std::string::npos);
}

TEST_CASE("The identity of another workspace's request reveals nothing of its response")
{
  Cluster cluster(OneDaemon());
  const SocketAddress daemon = cluster.CallerAddress(0);
  const std::string identity = cluster.PermitOf(0) + "-mine";
  HttpRequest mine = DeskRequest("mill-key", R"({"secret":"bid of 7"})");
  mine.m_headers.emplace_back(headers::kIdentity, identity);
  CHECK(cluster.Caller().Call(daemon, mine)->Outcome() == "done");
  HttpRequest theirs = DeskRequest("guest-key", R"({"secret":"bid of 7"})");
  theirs.m_headers.emplace_back(headers::kIdentity, identity);
  theirs.m_headers.emplace_back(headers::kKind, "look");
  const auto shown = cluster.Caller().Call(daemon, theirs);
  CHECK(shown->Header(headers::kReplayed).empty());
  CHECK(shown->m_body.find("mill") == std::string::npos);
  // The same identity with different content is refused, too.
  HttpRequest other = DeskRequest("mill-key", "{}");
  other.m_headers.emplace_back(headers::kIdentity, identity);
  CHECK(cluster.Caller().Call(daemon, other)->m_status == 422);
}

TEST_CASE("Paths for operators and peers are refused on the callers' port")
{
  Cluster cluster(OneDaemon());
  for (const char* path : { "/metrics",
                            "/status",
                            "/drain",
                            "/publications",
                            "/explain",
                            "/rpc",
                            "/documents/desk" }) {
    for (const char* method : { "GET", "POST" }) {
      const auto call =
        cluster.Caller().Call(cluster.CallerAddress(0), HttpRequest{ method, path, {}, "{}" });
      CHECK(call->m_status == 404);
    }
  }
  CHECK(IsServing(cluster));
}

TEST_CASE("An answer that belongs to another request is never forwarded")
{
  Cluster cluster(OneDaemon());
  cluster.Control("desk", Json{ { "echo_wrong", true } });
  const auto call = cluster.Caller().Call(cluster.CallerAddress(0), DeskRequest("mill-key"));
  CHECK(call->Outcome() == "unknown");
  CHECK(call->Header(headers::kErrorCode) == "answer_mismatched");
}

TEST_CASE("A request that an endpoint refuses unstarted has the outcome not-run")
{
  Cluster cluster(OneDaemon());
  cluster.Control("desk", Json{ { "refuse", true } });
  const std::string identity = cluster.PermitOf(0) + "-refused";
  HttpRequest request = DeskRequest("mill-key");
  request.m_headers.emplace_back(headers::kIdentity, identity);
  const auto call = cluster.Caller().Call(cluster.CallerAddress(0), request);
  CHECK(call->Outcome() == "not-run");
  CHECK_FALSE(call->Header("Retry-After").empty());
  cluster.Control("desk", Json{ { "refuse", false } });
  // The identity is closed: a request must not run after it was reported as not run.
  CHECK(cluster.Caller().Call(cluster.CallerAddress(0), request)->Outcome() == "not-run");
  CHECK(cluster.ExecutionsOf("desk", "mill." + identity) == 0);
}

TEST_CASE("Rest: an endpoint of the own interface that asks for rest gets no more requests")
{
  Cluster cluster(OneDaemon());
  cluster.Control("desk", Json{ { "refuse", true }, { "retry_after", "250" } });
  CHECK(cluster.Caller().Call(cluster.CallerAddress(0), DeskRequest("mill-key"))->Outcome() ==
        "not-run");
  cluster.Control("desk", Json{ { "refuse", false } });
  const std::string identity = cluster.PermitOf(0) + "-later";
  HttpRequest request = DeskRequest("mill-key");
  request.m_headers.emplace_back(headers::kIdentity, identity);
  const auto call = cluster.Caller().Call(cluster.CallerAddress(0), request);
  CHECK(call->Outcome() == "not-run");
  CHECK(call->Header(headers::kErrorCode) == "no_endpoint");
  CHECK_FALSE(call->Header("Retry-After").empty());
  CHECK(cluster.ExecutionsOf("desk", "mill." + identity) == 0);
}
