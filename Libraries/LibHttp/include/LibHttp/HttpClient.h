#pragma once

#include <LibCore/StrongString.h>
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpMessage.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburnhitch {

/// How an HTTP call ended.
enum class HttpEnd
{
  /// The whole response arrived, as its length or its last chunk shows.
  Complete,
  /// No connection was established; nothing was sent.
  NotConnected,
  /// The connection failed, timed out or was closed. HttpOutcome::m_any_byte_sent states whether
  /// any of the request may have been sent.
  Broken,
  /// The response did not state its end by exactly one length or by chunks, or it was larger than
  /// allowed.
  Unusable,
};

/// The result of an HTTP call.
struct HttpOutcome
{
  HttpEnd m_end = HttpEnd::Broken;
  /// Whether the first byte of the request may have left this process.
  bool m_any_byte_sent = false;
  int m_status = 0;
  HttpHeaders m_headers;
  /// Empty if the body was passed to HttpCallHandlers::m_on_bytes.
  std::string m_body;
};

/// Limits of one call. Timeouts count from the start of the call, unless stated otherwise.
struct HttpCallLimits
{
  Milliseconds m_connect_timeout{ 1'000 };
  Milliseconds m_total_timeout{ 30'000 };
  /// Maximum time between two reads of the response, from the headers on.
  Milliseconds m_silence_timeout{ 30'000 };
  std::size_t m_max_body_bytes = 4 << 20;
  /// Whether the connection may be reused for another call.
  bool m_reuse_connection = true;
};

/// Callbacks of one call. m_on_end runs exactly once, unless the call is abandoned.
struct HttpCallHandlers
{
  /// Optional. Receives the status and the headers before any of the body.
  std::function<void(int aStatus, const HttpHeaders& aHeaders)> m_on_headers;
  /// Optional. If set, it receives the body in parts as they arrive, and the body is not buffered.
  std::function<void(absl::string_view aBytes)> m_on_bytes;
  std::function<void(HttpOutcome aOutcome)> m_on_end;
};

class HttpClient;

/// A call in progress. Destroying it abandons the call: no handler runs afterwards.
/// Not thread-safe.
class HttpCall
{
public:
  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  /// Whether the first byte of the request may have left this process.
  bool AnyByteSent() const;

private:
  friend class HttpClient;
  struct State;
  explicit HttpCall(std::shared_ptr<State> aState);

  std::shared_ptr<State> m_state;
};

/// Sends HTTP/1.1 requests to IP addresses, one request at a time on each connection, and keeps
/// idle connections for later calls. A request is written at most once: there is no retry.
/// Not thread-safe; the loop must outlive the client.
class HttpClient
{
public:
  explicit HttpClient(EventLoop& aLoop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a call. Handlers run on the loop after this function has returned.
  std::unique_ptr<HttpCall> Send(const SocketAddress& aAddress,
                                 const HttpRequest& aRequest,
                                 const HttpCallLimits& aLimits,
                                 HttpCallHandlers aHandlers);

private:
  friend class HttpCall;
  struct Pool;

  std::shared_ptr<Pool> m_pool;
};

}
