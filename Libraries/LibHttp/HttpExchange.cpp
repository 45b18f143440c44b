#include <LibHttp/HttpExchange.h>

#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <evhtp.h>

namespace auburnhitch {

namespace {

std::string
MethodName(htp_method aMethod)
{
  const char* name = htparser_get_methodstr_m(aMethod);
  return name == nullptr ? "UNKNOWN" : name;
}

std::string
TakeBody(evbuffer* aBuffer)
{
  std::string body(evbuffer_get_length(aBuffer), '\0');
  evbuffer_remove(aBuffer, body.data(), body.size());
  return body;
}

}

HttpExchange::HttpExchange(evhtp_request* aRequest)
  : m_request(aRequest)
  , m_method(MethodName(evhtp_request_get_method(aRequest)))
  , m_path(aRequest->uri->path->full)
  , m_body(TakeBody(aRequest->buffer_in))
{
}

HttpExchange::~HttpExchange() = default;

std::string
HttpExchange::Query(const char* aName) const
{
  if (m_request == nullptr || m_request->uri->query == nullptr) {
    return {};
  }
  const char* value = evhtp_kv_find(m_request->uri->query, aName);
  return value == nullptr ? std::string() : std::string(value);
}

std::string
HttpExchange::Header(const char* aName) const
{
  if (m_request == nullptr) {
    return {};
  }
  const char* value = evhtp_header_find(m_request->headers_in, aName);
  return value == nullptr ? std::string() : std::string(value);
}

void
HttpExchange::AddHeaders(const HttpHeaders& aHeaders)
{
  for (const auto& [name, value] : aHeaders) {
    evhtp_headers_add_header(m_request->headers_out,
                             evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
  }
}

void
HttpExchange::Reply(int aStatus, const HttpHeaders& aHeaders, absl::string_view aBody)
{
  if (!IsOpen()) {
    return;
  }
  m_is_finished = true;
  AddHeaders(aHeaders);
  evbuffer_add(m_request->buffer_out, aBody.data(), aBody.size());
  evhtp_send_reply(m_request, static_cast<evhtp_res>(aStatus));
}

void
HttpExchange::StartStream(int aStatus, const HttpHeaders& aHeaders)
{
  if (!IsOpen()) {
    return;
  }
  m_is_streaming = true;
  AddHeaders(aHeaders);
  evhtp_send_reply_chunk_start(m_request, static_cast<evhtp_res>(aStatus));
}

void
HttpExchange::SendChunk(absl::string_view aBytes)
{
  if (!IsOpen() || aBytes.empty()) {
    return;
  }
  evbuffer* chunk = evbuffer_new();
  evbuffer_add(chunk, aBytes.data(), aBytes.size());
  evhtp_send_reply_chunk(m_request, chunk);
  evbuffer_free(chunk);
}

void
HttpExchange::EndStream()
{
  if (!IsOpen()) {
    return;
  }
  m_is_finished = true;
  evhtp_send_reply_chunk_end(m_request);
}

void
HttpExchange::TruncateStream()
{
  if (!IsOpen()) {
    return;
  }
  m_is_finished = true;
  // libevhtp closes a connection that is not kept alive once a finished request is flushed.
  evhtp_request_disable_flag(m_request, EVHTP_REQ_FLAG_KEEPALIVE);
  evhtp_send_reply_end(m_request);
}

void
HttpExchange::Abort()
{
  if (m_request == nullptr) {
    return;
  }
  m_is_finished = true;
  // libevhtp may be in the middle of this very connection.
  auto self = std::make_unique<std::shared_ptr<HttpExchange>>(shared_from_this());
  const timeval immediately{ 0, 0 };
  event_base_once(
    evhtp_request_get_connection(m_request)->evbase,
    -1,
    EV_TIMEOUT,
    [](evutil_socket_t, short, void* aContext) {
      const std::unique_ptr<std::shared_ptr<HttpExchange>> exchange(
        static_cast<std::shared_ptr<HttpExchange>*>(aContext));
      if ((*exchange)->m_request != nullptr) {
        evhtp_connection_free(evhtp_request_get_connection((*exchange)->m_request));
      }
    },
    self.release(),
    &immediately);
}

std::size_t
HttpExchange::UnsentBytes() const
{
  if (m_request == nullptr) {
    return 0;
  }
  return evbuffer_get_length(bufferevent_get_output(evhtp_request_get_bev(m_request)));
}

void
HttpExchange::Detach()
{
  m_request = nullptr;
  if (m_is_finished || !m_on_closed) {
    return;
  }
  m_is_finished = true;
  auto callback = std::move(m_on_closed);
  m_on_closed = nullptr;
  callback();
}

}
