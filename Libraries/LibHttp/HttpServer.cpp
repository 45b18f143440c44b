#include <LibHttp/HttpServer.h>

#include <LibCore/Try.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <evhtp.h>
#include <netinet/tcp.h>
#include <vector>

namespace auburnhitch {

namespace {

constexpr Milliseconds kSweepInterval{ 1'000 };
constexpr int kListenBacklog = 4096;

std::string
RemoteAddressOf(const evhtp_connection* aConnection)
{
  std::array<char, INET6_ADDRSTRLEN> text{};
  const sockaddr* address = aConnection->saddr;
  if (address == nullptr || address->sa_family != AF_INET) {
    return "unknown";
  }
  const auto* ipv4 = reinterpret_cast<const sockaddr_in*>(address);
  inet_ntop(AF_INET, &ipv4->sin_addr, text.data(), text.size());
  return text.data();
}

}

absl::StatusOr<std::pair<std::string, std::uint16_t>>
SplitSocketAddress(const SocketAddress& aAddress)
{
  const std::string& text = aAddress.Value();
  const auto colon = text.rfind(':');
  unsigned port = 0;
  // SimpleAtoi() skips spaces and accepts a sign.
  const bool is_number = colon != std::string::npos && colon + 1 < text.size() &&
                         std::all_of(text.begin() + static_cast<std::ptrdiff_t>(colon) + 1,
                                     text.end(),
                                     absl::ascii_isdigit) &&
                         absl::SimpleAtoi(text.substr(colon + 1), &port);
  if (!is_number || port == 0 || port > UINT16_MAX) {
    return absl::InvalidArgumentError(
      "'" + text + "' is not an address of the form IP:PORT with a port from 1 to 65535");
  }
  const std::string host = text.substr(0, colon);
  in_addr parsed{};
  if (inet_pton(AF_INET, host.c_str(), &parsed) != 1) {
    return absl::InvalidArgumentError("'" + host + "' is not an IPv4 address");
  }
  return std::pair(host, static_cast<std::uint16_t>(port));
}

absl::StatusOr<sockaddr_in>
ToSockaddr(const SocketAddress& aAddress)
{
  TRY_ASSIGN(const auto address, SplitSocketAddress(aAddress));
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(address.second);
  inet_pton(AF_INET, address.first.c_str(), &name.sin_addr);
  return name;
}

// libevhtp declares the hook type without parameters, but calls each hook with the parameters of
// its kind.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wcast-function-type"

/// Callbacks for libevhtp. Their context argument is the server or, for OnRequestFreed(), a
/// RequestContext.
struct HttpServer::Hooks
{
  static evhtp_res OnAccept(evhtp_connection* aConnection, void* aServer)
  {
    auto* server = static_cast<HttpServer*>(aServer);
    if (!server->Accept(aConnection)) {
      return EVHTP_RES_ERROR;
    }
    evhtp_connection_set_hook(
      aConnection, evhtp_hook_on_headers_start, reinterpret_cast<evhtp_hook>(OnStart), aServer);
    evhtp_connection_set_hook(
      aConnection, evhtp_hook_on_header, reinterpret_cast<evhtp_hook>(OnHeader), aServer);
    evhtp_connection_set_hook(
      aConnection, evhtp_hook_on_headers, reinterpret_cast<evhtp_hook>(OnHeaders), aServer);
    evhtp_connection_set_hook(aConnection,
                              evhtp_hook_on_connection_fini,
                              reinterpret_cast<evhtp_hook>(OnConnectionFreed),
                              aServer);
    return EVHTP_RES_OK;
  }

  static evhtp_res OnStart(evhtp_request* aRequest, void* aServer)
  {
    static_cast<HttpServer*>(aServer)->EnterPhase(aRequest->conn, Phase::Reading);
    return EVHTP_RES_OK;
  }

  static evhtp_res OnHeader(evhtp_request* aRequest, evhtp_header_t* aHeader, void* aServer)
  {
    auto* server = static_cast<HttpServer*>(aServer);
    auto found = server->m_connections.find(aRequest->conn);
    if (found == server->m_connections.end()) {
      return EVHTP_RES_OK;
    }
    found->second.m_header_bytes += aHeader->klen + aHeader->vlen;
    const bool too_large = found->second.m_header_bytes > server->m_limits.m_max_header_bytes;
    return too_large ? EVHTP_RES_ENTOOLARGE : EVHTP_RES_OK;
  }

  static evhtp_res OnHeaders(evhtp_request*, evhtp_headers_t* aHeaders, void*)
  {
    HttpHeaders headers;
    evhtp_headers_for_each(aHeaders, AppendHeader, &headers);
    // libevhtp takes the last length, and reads no body with a coding that it does not know.
    // FIXME: libevhtp closes the connection without sending this status.
    return FindFramingError(headers) == nullptr ? EVHTP_RES_OK : EVHTP_RES_BADREQ;
  }

  static int AppendHeader(evhtp_header_t* aHeader, void* aHeaders)
  {
    static_cast<HttpHeaders*>(aHeaders)->emplace_back(std::string(aHeader->key, aHeader->klen),
                                                      std::string(aHeader->val, aHeader->vlen));
    return 0;
  }

  static evhtp_res OnConnectionFreed(evhtp_connection* aConnection, void* aServer)
  {
    static_cast<HttpServer*>(aServer)->RemoveConnection(aConnection);
    return EVHTP_RES_OK;
  }

  static evhtp_res OnRequestFreed(evhtp_request* aRequest, void* aContext)
  {
    std::unique_ptr<RequestContext> context(static_cast<RequestContext*>(aContext));
    if (aRequest->conn != nullptr) {
      context->m_server->EnterPhase(aRequest->conn, Phase::Idle);
    }
    context->m_exchange->Detach();
    return EVHTP_RES_OK;
  }

  static void OnRequest(evhtp_request* aRequest, void* aServer)
  {
    auto* server = static_cast<HttpServer*>(aServer);
    if (aRequest->uri == nullptr || aRequest->uri->path == nullptr ||
        aRequest->uri->path->full == nullptr) {
      evhtp_send_reply(aRequest, EVHTP_RES_BADREQ);
      return;
    }
    auto exchange = std::make_shared<HttpExchange>(aRequest);
    auto context = std::make_unique<RequestContext>(RequestContext{ server, exchange });
    server->EnterPhase(aRequest->conn, Phase::Serving);
    evhtp_request_set_hook(aRequest,
                           evhtp_hook_on_request_fini,
                           reinterpret_cast<evhtp_hook>(OnRequestFreed),
                           context.release());
    server->m_handler(exchange);
  }

  struct RequestContext
  {
    HttpServer* m_server;
    HttpExchangePtr m_exchange;
  };
};

#pragma GCC diagnostic pop

HttpServer::HttpServer(EventLoop& aLoop, const HttpServerLimits& aLimits, Handler aHandler)
  : m_loop(aLoop)
  , m_limits(aLimits)
  , m_handler(std::move(aHandler))
{
}

absl::StatusOr<std::unique_ptr<HttpServer>>
HttpServer::Create(EventLoop& aLoop,
                   const SocketAddress& aAddress,
                   const HttpServerLimits& aLimits,
                   Handler aHandler)
{
  TRY_ASSIGN(const auto address, SplitSocketAddress(aAddress));
  std::unique_ptr<HttpServer> server(new HttpServer(aLoop, aLimits, std::move(aHandler)));
  server->m_server = evhtp_new(aLoop.Base(), nullptr);
  evhtp_set_max_body_size(server->m_server, aLimits.m_max_body_bytes);
  evhtp_set_gencb(server->m_server, Hooks::OnRequest, server.get());
  evhtp_set_post_accept_cb(server->m_server, Hooks::OnAccept, server.get());
  if (evhtp_bind_socket(server->m_server, address.first.c_str(), address.second, kListenBacklog) !=
      0) {
    return absl::UnavailableError("can't listen on " + aAddress.Value());
  }
  server->m_sweep_timer =
    std::make_unique<Timer>(aLoop, kSweepInterval, Timer::Repeat::Always, [raw = server.get()] {
      raw->CloseOverdueConnections();
    });
  return server;
}

HttpServer::~HttpServer()
{
  std::vector<evhtp_connection*> open;
  for (const auto& entry : m_connections) {
    open.push_back(entry.first);
  }
  for (evhtp_connection* connection : open) {
    evhtp_connection_free(connection);
  }
  if (m_server != nullptr) {
    evhtp_unbind_socket(m_server);
    evhtp_free(m_server);
  }
}

bool
HttpServer::Accept(evhtp_connection* aConnection)
{
  std::string remote = RemoteAddressOf(aConnection);
  std::size_t& from_remote = m_connection_count_by_address[remote];
  if (m_connections.size() >= m_limits.m_max_connections ||
      from_remote >= m_limits.m_max_connections_per_address) {
    return false;
  }
  const int enabled = 1;
  setsockopt(aConnection->sock, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  ++from_remote;
  m_connections.emplace(aConnection, Connection{ Phase::Idle, m_loop.Now(), std::move(remote), 0 });
  return true;
}

void
HttpServer::RemoveConnection(evhtp_connection* aConnection)
{
  auto found = m_connections.find(aConnection);
  if (found == m_connections.end()) {
    return;
  }
  auto remote = m_connection_count_by_address.find(found->second.m_remote_address);
  if (--remote->second == 0) {
    m_connection_count_by_address.erase(remote);
  }
  m_connections.erase(found);
}

void
HttpServer::EnterPhase(evhtp_connection* aConnection, Phase aPhase)
{
  auto found = m_connections.find(aConnection);
  if (found == m_connections.end()) {
    return;
  }
  found->second.m_phase = aPhase;
  found->second.m_phase_since = m_loop.Now();
  found->second.m_header_bytes = 0;
}

void
HttpServer::CloseOverdueConnections()
{
  const TimePoint now = m_loop.Now();
  std::vector<evhtp_connection*> overdue;
  for (const auto& [connection, state] : m_connections) {
    const Duration age = now - state.m_phase_since;
    const bool is_slow = state.m_phase == Phase::Reading && age > m_limits.m_read_timeout;
    const bool is_unused = state.m_phase == Phase::Idle && age > m_limits.m_idle_timeout;
    if (is_slow || is_unused) {
      overdue.push_back(connection);
    }
  }
  for (evhtp_connection* connection : overdue) {
    evhtp_connection_free(connection);
  }
}

bool
HttpServer::IsBusy() const
{
  for (const auto& [connection, state] : m_connections) {
    if (state.m_phase != Phase::Idle ||
        evbuffer_get_length(bufferevent_get_output(connection->bev)) > 0) {
      return true;
    }
  }
  return false;
}

}
