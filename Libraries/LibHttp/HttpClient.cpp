#include <LibHttp/HttpClient.h>

#include <LibHttp/HttpServer.h>
#include <absl/strings/match.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/tcp.h>
#include <optional>

namespace auburnhitch {

namespace {

constexpr std::size_t kMaxIdleConnectionsPerAddress = 256;
constexpr std::size_t kMaxResponseHeaderBytes = 16 << 10;
// libevent does not bound the line that states the size of a chunk.
constexpr std::size_t kMaxUnparsedBytes = 1 << 20;
// Long enough that libevent's own timeouts never expire first: each call has its own timers.
constexpr int kLibraryTimeoutSeconds = 86'400;

evhttp_cmd_type
CommandOf(const std::string& aMethod)
{
  if (aMethod == "POST") {
    return EVHTTP_REQ_POST;
  }
  if (aMethod == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  if (aMethod == "DELETE") {
    return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_GET;
}

HttpHeaders
CopyHeaders(evhttp_request* aRequest)
{
  HttpHeaders headers;
  const evkeyvalq* fields = evhttp_request_get_input_headers(aRequest);
  for (const evkeyval* field = fields->tqh_first; field != nullptr; field = field->next.tqe_next) {
    headers.emplace_back(field->key, field->value);
  }
  return headers;
}

bool
HasExplicitFraming(const HttpHeaders& aHeaders)
{
  return !FindHeader(aHeaders, "Content-Length").empty() ||
         absl::EqualsIgnoreCase(FindHeader(aHeaders, "Transfer-Encoding"), "chunked");
}

std::string
DrainBuffer(evbuffer* aBuffer)
{
  std::string bytes(evbuffer_get_length(aBuffer), '\0');
  evbuffer_remove(aBuffer, bytes.data(), bytes.size());
  return bytes;
}

}

/// Idle connections of one client. Shared with its calls, which may outlive the client.
struct HttpClient::Pool
{
  struct IdleConnection
  {
    Pool* m_pool;
    SocketAddress m_address;
    evhttp_connection* m_connection;
  };

  explicit Pool(EventLoop& aLoop)
    : m_loop(aLoop)
  {
  }

  ~Pool()
  {
    for (auto& [address, connections] : m_idle) {
      for (auto& idle : connections) {
        evhttp_connection_set_closecb(idle->m_connection, nullptr, nullptr);
        evhttp_connection_free(idle->m_connection);
      }
    }
  }

  evhttp_connection* TakeIdle(const SocketAddress& aAddress)
  {
    auto found = m_idle.find(aAddress);
    if (found == m_idle.end() || found->second.empty()) {
      return nullptr;
    }
    evhttp_connection* connection = found->second.back()->m_connection;
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    found->second.pop_back();
    return connection;
  }

  void AddIdle(const SocketAddress& aAddress, evhttp_connection* aConnection)
  {
    auto& idle = m_idle[aAddress];
    if (idle.size() >= kMaxIdleConnectionsPerAddress) {
      FreeLater(aConnection);
      return;
    }
    idle.push_back(std::make_unique<IdleConnection>(IdleConnection{ this, aAddress, aConnection }));
    evhttp_connection_set_closecb(aConnection, OnIdleClosed, idle.back().get());
  }

  // libevent does not allow a connection to be freed inside one of its own callbacks.
  void FreeLater(evhttp_connection* aConnection)
  {
    m_loop.DeferRelease([aConnection] { evhttp_connection_free(aConnection); });
  }

  static void OnIdleClosed(evhttp_connection* aConnection, void* aContext)
  {
    auto* closed = static_cast<IdleConnection*>(aContext);
    Pool* pool = closed->m_pool;
    auto& idle = pool->m_idle[closed->m_address];
    std::erase_if(idle, [closed](const auto& aEntry) { return aEntry.get() == closed; });
    evhttp_connection_set_closecb(aConnection, nullptr, nullptr);
    pool->FreeLater(aConnection);
  }

  EventLoop& m_loop;
  absl::flat_hash_map<SocketAddress, std::vector<std::unique_ptr<IdleConnection>>> m_idle;
};

struct HttpCall::State : std::enable_shared_from_this<HttpCall::State>
{
  std::shared_ptr<HttpClient::Pool> m_pool;
  SocketAddress m_address;
  HttpCallLimits m_limits;
  HttpCallHandlers m_handlers;
  evhttp_connection* m_connection = nullptr;
  evbuffer_cb_entry* m_output_callback = nullptr;
  evbuffer_cb_entry* m_input_callback = nullptr;
  std::unique_ptr<Timer> m_connect_timer;
  std::unique_ptr<Timer> m_total_timer;
  std::unique_ptr<Timer> m_silence_timer;
  HttpOutcome m_outcome;
  bool m_is_over = false;
  bool m_has_headers = false;

  evbuffer* Input() const
  {
    return bufferevent_get_input(evhttp_connection_get_bufferevent(m_connection));
  }

  evbuffer* Output() const
  {
    return bufferevent_get_output(evhttp_connection_get_bufferevent(m_connection));
  }

  // Bytes are removed from the output buffer only when they are written to the socket or when an
  // established connection is closed. Both count as sent, so that m_any_byte_sent == false proves
  // that nothing was sent.
  static void OnOutputChanged(evbuffer*, const evbuffer_cb_info* aInfo, void* aState)
  {
    if (aInfo->n_deleted > 0) {
      static_cast<State*>(aState)->m_outcome.m_any_byte_sent = true;
    }
  }

  // libevent parses the buffered bytes after each read, so more than the limit is an endless line.
  static void OnInputChanged(evbuffer*, const evbuffer_cb_info* aInfo, void* aState)
  {
    if (aInfo->orig_size + aInfo->n_added > kMaxUnparsedBytes) {
      static_cast<State*>(aState)->shared_from_this()->Finish(HttpEnd::Unusable);
    }
  }

  static int OnHeaders(evhttp_request* aRequest, void* aState)
  {
    auto self = static_cast<State*>(aState)->shared_from_this();
    if (self->m_is_over) {
      return 0;
    }
    self->m_has_headers = true;
    self->m_outcome.m_status = evhttp_request_get_response_code(aRequest);
    self->m_outcome.m_headers = CopyHeaders(aRequest);
    // libevent takes the first length, and prefers chunks to it.
    if (!IsValidStatus(self->m_outcome.m_status) ||
        !HasExplicitFraming(self->m_outcome.m_headers) ||
        FindFramingError(self->m_outcome.m_headers) != nullptr) {
      self->Finish(HttpEnd::Unusable);
      return -1;
    }
    self->RestartSilenceTimer();
    if (self->m_handlers.m_on_headers) {
      self->m_handlers.m_on_headers(self->m_outcome.m_status, self->m_outcome.m_headers);
    }
    return 0;
  }

  static void OnBytes(evhttp_request* aRequest, void* aState)
  {
    auto self = static_cast<State*>(aState)->shared_from_this();
    if (self->m_is_over) {
      return;
    }
    self->RestartSilenceTimer();
    self->ConsumeBody(DrainBuffer(evhttp_request_get_input_buffer(aRequest)));
  }

  static void OnEnd(evhttp_request* aRequest, void* aState)
  {
    auto self = static_cast<State*>(aState)->shared_from_this();
    if (self->m_is_over) {
      return;
    }
    const bool is_complete =
      aRequest != nullptr && evhttp_request_get_response_code(aRequest) != 0 && self->m_has_headers;
    if (!is_complete) {
      self->Finish(self->m_outcome.m_any_byte_sent ? HttpEnd::Broken : HttpEnd::NotConnected);
      return;
    }
    self->ConsumeBody(DrainBuffer(evhttp_request_get_input_buffer(aRequest)));
    if (!self->m_is_over) {
      self->Finish(HttpEnd::Complete);
    }
  }

  void ConsumeBody(const std::string& aBytes)
  {
    if (aBytes.empty()) {
      return;
    }
    if (m_handlers.m_on_bytes) {
      m_handlers.m_on_bytes(aBytes);
      return;
    }
    m_outcome.m_body += aBytes;
    if (m_outcome.m_body.size() > m_limits.m_max_body_bytes) {
      Finish(HttpEnd::Unusable);
    }
  }

  void RestartSilenceTimer()
  {
    if (m_limits.m_silence_timeout >= m_limits.m_total_timeout) {
      return;
    }
    m_silence_timer = std::make_unique<Timer>(
      m_pool->m_loop, m_limits.m_silence_timeout, Timer::Repeat::Once, [this] {
        shared_from_this()->Finish(HttpEnd::Broken);
      });
  }

  void ReleaseConnection(bool aMayReuse)
  {
    evbuffer_remove_cb_entry(Output(), m_output_callback);
    evbuffer_remove_cb_entry(Input(), m_input_callback);
    if (aMayReuse) {
      m_pool->AddIdle(m_address, m_connection);
    } else {
      // The evhttp_request in flight points to this state until the connection is freed.
      m_pool->m_loop.DeferRelease(
        [self = shared_from_this()] { evhttp_connection_free(self->m_connection); });
    }
  }

  // Cancels the call without running a handler.
  void Abandon()
  {
    if (m_is_over) {
      return;
    }
    m_is_over = true;
    m_handlers = {};
    StopTimers();
    ReleaseConnection(false);
  }

  void StopTimers()
  {
    m_connect_timer = nullptr;
    m_total_timer = nullptr;
    m_silence_timer = nullptr;
  }

  void Finish(HttpEnd aEnd)
  {
    if (m_is_over) {
      return;
    }
    m_is_over = true;
    StopTimers();
    m_outcome.m_end = aEnd;
    if (aEnd == HttpEnd::NotConnected && m_outcome.m_any_byte_sent) {
      m_outcome.m_end = HttpEnd::Broken;
    }
    const bool keeps_alive =
      !absl::EqualsIgnoreCase(FindHeader(m_outcome.m_headers, "Connection"), "close");
    ReleaseConnection(aEnd == HttpEnd::Complete && m_limits.m_reuse_connection && keeps_alive);
    auto handlers = std::move(m_handlers);
    m_handlers = {};
    handlers.m_on_end(std::move(m_outcome));
  }
};

HttpCall::HttpCall(std::shared_ptr<State> aState)
  : m_state(std::move(aState))
{
}

HttpCall::~HttpCall()
{
  m_state->Abandon();
}

bool
HttpCall::AnyByteSent() const
{
  return m_state->m_outcome.m_any_byte_sent;
}

HttpClient::HttpClient(EventLoop& aLoop)
  : m_pool(std::make_shared<Pool>(aLoop))
{
}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpCall>
HttpClient::Send(const SocketAddress& aAddress,
                 const HttpRequest& aRequest,
                 const HttpCallLimits& aLimits,
                 HttpCallHandlers aHandlers)
{
  auto state = std::make_shared<HttpCall::State>();
  state->m_pool = m_pool;
  state->m_address = aAddress;
  state->m_limits = aLimits;
  state->m_handlers = std::move(aHandlers);
  std::unique_ptr<HttpCall> call(new HttpCall(state));

  auto address = SplitSocketAddress(aAddress);
  EventLoop& loop = m_pool->m_loop;
  if (!address.ok()) {
    state->m_is_over = true;
    loop.Defer([state] { state->m_handlers.m_on_end(HttpOutcome{ HttpEnd::NotConnected }); });
    return call;
  }
  state->m_connection = m_pool->TakeIdle(aAddress);
  const bool is_new = state->m_connection == nullptr;
  if (is_new) {
    state->m_connection =
      evhttp_connection_base_new(loop.Base(), nullptr, address->first.c_str(), address->second);
    evhttp_connection_set_timeout(state->m_connection, kLibraryTimeoutSeconds);
    evhttp_connection_set_max_headers_size(state->m_connection, kMaxResponseHeaderBytes);
  }
  state->m_output_callback =
    evbuffer_add_cb(state->Output(), HttpCall::State::OnOutputChanged, state.get());
  state->m_input_callback =
    evbuffer_add_cb(state->Input(), HttpCall::State::OnInputChanged, state.get());

  evhttp_request* request = evhttp_request_new(HttpCall::State::OnEnd, state.get());
  evhttp_request_set_header_cb(request, HttpCall::State::OnHeaders);
  evhttp_request_set_chunked_cb(request, HttpCall::State::OnBytes);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", aAddress.Value().c_str());
  for (const auto& [name, value] : aRequest.m_headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer_add(
    evhttp_request_get_output_buffer(request), aRequest.m_body.data(), aRequest.m_body.size());

  state->m_total_timer =
    std::make_unique<Timer>(loop, aLimits.m_total_timeout, Timer::Repeat::Once, [state] {
      state->Finish(state->m_outcome.m_any_byte_sent ? HttpEnd::Broken : HttpEnd::NotConnected);
    });
  if (is_new && aLimits.m_connect_timeout < aLimits.m_total_timeout) {
    state->m_connect_timer =
      std::make_unique<Timer>(loop, aLimits.m_connect_timeout, Timer::Repeat::Once, [state] {
        if (!state->m_outcome.m_any_byte_sent) {
          state->Finish(HttpEnd::NotConnected);
        }
      });
  }
  evhttp_make_request(
    state->m_connection, request, CommandOf(aRequest.m_method), aRequest.m_path.c_str());
  return call;
}

}
