#pragma once

#include <LibCore/JsonObjectReader.h>
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpClient.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace auburnhitch::tests {

/// One request that a test sent, and what has come back so far.
struct TestCall
{
  SocketAddress m_daemon;
  int m_status = 0;
  HttpHeaders m_headers;
  /// The body, complete or not.
  std::string m_body;
  /// Set once the call has ended.
  std::optional<HttpEnd> m_end;
  std::unique_ptr<HttpCall> m_call;

  bool HasEnded() const { return m_end.has_value(); }
  /// Whether a whole HTTP answer arrived.
  bool IsComplete() const { return m_end == HttpEnd::Complete; }
  std::string Header(const char* aName) const;
  /// "done", "not-run" or "unknown"; empty while nothing final was said.
  std::string Outcome() const;
  bool IsEventStream() const;
  /// Number of the last whole event.
  std::int64_t LastEvent() const;
  /// Whether the stream ended with "[DONE]" and its end marker.
  bool IsCompleteStream() const;
};

using TestCallPtr = std::shared_ptr<TestCall>;

/// Sends requests on the test's own loop. Waits are for events, with a bound that only a hang
/// reaches.
class TestCaller
{
public:
  TestCaller();

  TestCallPtr Send(const SocketAddress& aTo, const HttpRequest& aRequest);
  /// Runs the loop until the condition holds; false after the bound.
  bool RunUntil(const std::function<bool()>& aCondition);
  /// Sends and waits for the end.
  TestCallPtr Call(const SocketAddress& aTo, const HttpRequest& aRequest);
  /// Sends and reads the answer as JSON; null if there is none.
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
