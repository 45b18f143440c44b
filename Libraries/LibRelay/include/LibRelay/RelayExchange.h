#pragma once

#include <LibCore/Time.h>
#include <LibRelay/MessageParser.h>
#include <functional>
#include <memory>
#include <string>

namespace auburnhitch {

class RelayConnection;

/// One request that has arrived whole, and the answer to it. The caller may vanish at any time;
/// sending is then a no-op. Not thread-safe.
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
  /// Gives up the body, which the exchange no longer holds afterwards.
  std::string TakeBody() { return std::move(m_body); }
  TimePoint ReceivedAt() const { return m_received_at; }
  absl::string_view Path() const;
  /// The decoded value of a query parameter; empty when it is absent.
  std::string Query(absl::string_view aName) const;

  /// Whether the caller can still be answered.
  bool IsOpen() const { return m_connection != nullptr; }

  /// Sends a whole answer.
  void Reply(int aStatus, HttpHeaders aHeaders, absl::string_view aBody);
  /// Starts an answer whose body follows in pieces. With Length framing the headers hold it.
  void Start(int aStatus, const HttpHeaders& aHeaders, BodyFraming aFraming);
  void Write(absl::string_view aBytes);
  /// Marks the answer as whole.
  void Finish();
  /// Sends what was handed over and closes the connection, so that the answer is visibly cut.
  void Abort();
  bool HasStarted() const { return m_has_started; }

  /// Bytes handed over but not yet taken by the network.
  std::size_t UnsentBytes() const;

  /// Called once if the caller's connection ends before the answer is complete.
  void SetOnClosed(std::function<void()> aCallback) { m_on_closed = std::move(aCallback); }
  /// Called whenever all bytes handed over have been taken by the network.
  void SetOnDrained(std::function<void()> aCallback) { m_on_drained = std::move(aCallback); }

private:
  friend class RelayConnection;

  RelayConnection* m_connection;
  MessageHead m_head;
  std::string m_body;
  TimePoint m_received_at;
  BodyFraming m_framing = BodyFraming::None;
  bool m_has_started = false;
  std::function<void()> m_on_closed;
  std::function<void()> m_on_drained;
};

using RelayExchangePtr = std::shared_ptr<RelayExchange>;

/// The standard reason phrase of a status; "Unknown" if it has none.
const char*
ReasonPhrase(int aStatus);

}
