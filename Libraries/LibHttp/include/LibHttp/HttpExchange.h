#pragma once

#include <LibHttp/HttpMessage.h>
#include <absl/strings/string_view.h>
#include <functional>
#include <memory>
#include <string>

struct evhtp_request;

namespace auburnhitch {

/// One request that was received, and the answer to it. The caller may vanish at any time; sending
/// is then a no-op. Not thread-safe.
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
  /// The value of a query parameter; empty when it is absent.
  std::string Query(const char* aName) const;
  /// The value of a header field; empty when it is absent. Precondition: IsOpen().
  std::string Header(const char* aName) const;
  const std::string& Body() const { return m_body; }

  /// Whether the caller can still be answered.
  bool IsOpen() const { return m_request != nullptr && !m_is_finished; }

  /// Sends the whole answer with its length.
  void Reply(int aStatus, const HttpHeaders& aHeaders, absl::string_view aBody);
  /// Starts an answer in chunks; ends with EndStream().
  void StartStream(int aStatus, const HttpHeaders& aHeaders);
  void SendChunk(absl::string_view aBytes);
  /// Sends the end marker: the answer is whole.
  void EndStream();
  /// Sends what is buffered and closes the connection without the end marker: the answer is
  /// visibly cut.
  void TruncateStream();
  /// Closes the connection without sending what is buffered, in the loop's next iteration.
  /// Precondition: the exchange is owned by a shared pointer.
  void Abort();
  bool IsStreaming() const { return m_is_streaming; }

  /// Bytes handed over but not yet taken by the network.
  std::size_t UnsentBytes() const;

  /// Called once if the caller's connection closes before the answer is complete.
  void SetOnClosed(std::function<void()> aCallback) { m_on_closed = std::move(aCallback); }

  /// For the server: the request is about to be freed.
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
