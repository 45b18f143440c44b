#pragma once

#include <LibCore/JsonObjectReader.h>
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpClient.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace auburnhitch::tests {

/// One request sent by a test, with what has been received of the response.
struct TestCall
{
  SocketAddress m_daemon;
  int m_status = 0;
  HttpHeaders m_headers;
  /// What has been received of the body.
  std::string m_body;
  /// Set once the call has ended.
  std::optional<HttpEnd> m_end;
  std::unique_ptr<HttpCall> m_call;

  bool HasEnded() const { return m_end.has_value(); }
  /// Whether a complete HTTP response arrived.
  bool IsComplete() const { return m_end == HttpEnd::Complete; }
  std::string Header(const char* aName) const;
  /// "done", "not-run" or "unknown"; empty while the response states no outcome.
  std::string Outcome() const;
  bool IsEventStream() const;
  /// Id of the last complete event of the stream; 0 if there is none.
  std::int64_t LastEvent() const;
  /// Whether the stream contains its end event "[DONE]" and the HTTP response is complete.
  bool IsCompleteStream() const;
};

using TestCallPtr = std::shared_ptr<TestCall>;

/// Sends requests on an event loop of its own. Every wait ends with its condition; the limit of 20
/// s is only reached if something hangs.
class TestCaller
{
public:
  TestCaller();

  /// Sends a request over a new connection and returns at once.
  TestCallPtr Send(const SocketAddress& aTo, const HttpRequest& aRequest);
  /// Runs the loop until the condition holds. Returns false if it does not within 20 s.
  bool RunUntil(const std::function<bool()>& aCondition);
  /// Sends a request and waits until it has ended.
  TestCallPtr Call(const SocketAddress& aTo, const HttpRequest& aRequest);
  /// Sends a request and parses the response as JSON; null if it is incomplete or no JSON.
  Json CallJson(const SocketAddress& aTo,
                const std::string& aMethod,
                const std::string& aPath,
                const Json& aBody = nullptr);
  EventLoop& Loop() { return m_loop; }

private:
  EventLoop m_loop;
  HttpClient m_client;
};

}
