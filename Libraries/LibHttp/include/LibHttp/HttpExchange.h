#pragma once

#include <LibHttp/HttpMessage.h>
#include <absl/strings/string_view.h>
#include <functional>
#include <memory>
#include <string>

struct evhtp_request;

namespace auburnhitch {

/// A received request and the response to it. The caller may disconnect at any time; sending is
/// then a no-op. Not thread-safe.
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
  explicit HttpExchange(evhtp_request* aRequest);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  const std::string& Method() const { return m_method; }
  /// The path without the query.
  const std::string& Path() const { return m_path; }
  /// The value of a query parameter; empty if it is absent.
  std::string Query(const char* aName) const;
  /// The value of a header field; empty if it is absent. Precondition: IsOpen().
  std::string Header(const char* aName) const;
  const std::string& Body() const { return m_body; }

  /// Whether the response is incomplete and the caller still connected.
  bool IsOpen() const { return m_request != nullptr && !m_is_finished; }

  /// Sends the whole response, with its Content-Length.
  void Reply(int aStatus, const HttpHeaders& aHeaders, absl::string_view aBody);
  /// Starts a response with chunked transfer encoding. EndStream() completes it.
  void StartStream(int aStatus, const HttpHeaders& aHeaders);
  void SendChunk(absl::string_view aBytes);
  /// Sends the last chunk, which marks the response as complete.
  void EndStream();
  /// Sends the buffered bytes and closes the connection without the last chunk, so that the caller
  /// can tell that the response is truncated.
  void TruncateStream();
  /// Closes the connection in the loop's next iteration, without sending the buffered bytes.
  /// Precondition: the exchange is owned by a shared pointer.
  void Abort();
  bool IsStreaming() const { return m_is_streaming; }

  /// Number of bytes in the output buffer that have not been written to the socket.
  std::size_t UnsentBytes() const;

  /// The callback is run once if the caller's connection closes before the response is complete.
  void SetOnClosed(std::function<void()> aCallback) { m_on_closed = std::move(aCallback); }

  /// Called by HttpServer when libevhtp is about to free the request.
  void Detach();

private:
  void AddHeaders(const HttpHeaders& aHeaders);

  evhtp_request* m_request;
  std::string m_method;
  std::string m_path;
  std::string m_body;
  bool m_is_finished = false;
  bool m_is_streaming = false;
  std::function<void()> m_on_closed;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

}
