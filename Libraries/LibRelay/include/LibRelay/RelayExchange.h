#pragma once

#include <LibCore/Time.h>
#include <LibRelay/MessageParser.h>
#include <functional>
#include <memory>
#include <string>

namespace auburnhitch {

class RelayConnection;

/// One request that has been received completely, and the response to it. The caller may disconnect
/// at any time; sending is a no-op from then on. Not thread-safe.
class RelayExchange
{
public:
  RelayExchange(RelayConnection* aConnection,
                MessageHead aHead,
                std::string aBody,
                TimePoint aReceivedAt);
  RelayExchange(const RelayExchange&) = delete;
  RelayExchange& operator=(const RelayExchange&) = delete;

  const MessageHead& Head() const { return m_head; }
  const std::string& Body() const { return m_body; }
  /// Moves the body out of the exchange.
  std::string TakeBody() { return std::move(m_body); }
  TimePoint ReceivedAt() const { return m_received_at; }
  absl::string_view Path() const;
  /// The decoded value of a query parameter; empty when it is absent.
  std::string Query(absl::string_view aName) const;

  /// Whether the caller can still receive a response.
  bool IsOpen() const { return m_connection != nullptr; }
  /// Why this daemon has closed the caller's connection; null if it has not, or if the caller did.
  const char* ClosedWhy() const { return m_closed_why; }

  /// Sends a complete response.
  void Reply(int aStatus, HttpHeaders aHeaders, absl::string_view aBody);
  /// Starts a response whose body follows in calls of Write(). With Length framing, aHeaders must
  /// contain Content-Length. For a caller that speaks HTTP/1.0, Chunked becomes UntilClose.
  void Start(int aStatus, const HttpHeaders& aHeaders, BodyFraming aFraming);
  void Write(absl::string_view aBytes);
  /// Marks the response as complete.
  void Finish();
  /// Closes the connection without completing the response, so that the caller can see that it is
  /// truncated. Bytes that have been written are sent before, unless the framing is UntilClose:
  /// then only a reset shows the truncation.
  void Abort();
  bool HasStarted() const { return m_has_started; }

  /// Bytes that have been written but not yet accepted by the socket.
  std::size_t UnsentBytes() const;

  /// Counts bytes of the response that its sender keeps, until the next call of Write(), in the
  /// memory budget of the server.
  void CountPending(std::size_t aBytes) const;

  /// Lets the caller read nothing for any time, as another daemon does whose own caller reads
  /// slowly.
  void MayStayUnread() { m_may_stay_unread = true; }

  /// Sets a callback that runs once if the caller's connection closes before the response is
  /// complete.
  void SetOnClosed(std::function<void()> aCallback) { m_on_closed = std::move(aCallback); }
  /// Sets a callback that runs whenever the socket has accepted all bytes that have been written.
  void SetOnDrained(std::function<void()> aCallback) { m_on_drained = std::move(aCallback); }

private:
  friend class RelayConnection;

  RelayConnection* m_connection;
  MessageHead m_head;
  std::string m_body;
  TimePoint m_received_at;
  BodyFraming m_framing = BodyFraming::None;
  bool m_has_started = false;
  bool m_may_stay_unread = false;
  const char* m_closed_why = nullptr;
  std::function<void()> m_on_closed;
  std::function<void()> m_on_drained;
};

using RelayExchangePtr = std::shared_ptr<RelayExchange>;

/// The standard reason phrase of a status code; "Unknown" if it has none.
const char*
ReasonPhrase(int aStatus);

}
