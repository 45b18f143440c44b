#pragma once

#include <LibHttp/EventLoop.h>
#include <LibRelay/MessageParser.h>
#include <LibRelay/RelayExchange.h>
#include <memory>

struct bufferevent;

namespace auburnhitch {

class RelayServer;

/// One accepted connection. It deletes itself when the connection closes. Not thread-safe.
class RelayConnection
{
public:
  RelayConnection(RelayServer& aServer, bufferevent* aEvents);
  ~RelayConnection();
  RelayConnection(const RelayConnection&) = delete;
  RelayConnection& operator=(const RelayConnection&) = delete;

  void Send(absl::string_view aBytes);
  std::size_t UnsentBytes() const;
  /// Called when the response in progress is complete.
  void OnResponseComplete();
  /// Called when the response in progress is aborted. The connection closes, so that the peer sees
  /// that the response is truncated.
  void OnResponseAborted();
  /// Closes the connection at once and deletes this object.
  void Close();
  /// As Close(), with a TCP reset and without informing the exchange.
  void Reset();
  void CloseAfterResponse() { m_must_close = true; }
  bool MustCloseAfterResponse() const;
  bool IsBusy() const;
  /// See RelayServer::EndReceiving().
  void EndReceiving(const std::function<void(const RelayExchangePtr&)>& aRespond);
  /// Closes the connection if its head timeout, idle timeout or linger time has passed.
  void CloseIfExpired(TimePoint aNow);

  /// Whether a request is being received whose body takes memory.
  bool IsReceivingBody() const { return m_phase == Phase::Reading && m_counted_body_bytes > 0; }
  /// Whether no complete request has arrived that has no complete response.
  bool HasNoRequest() const { return m_phase == Phase::Idle || m_phase == Phase::Reading; }
  /// When the last request ended, or the first byte of the one that is being received arrived.
  TimePoint PhaseSince() const { return m_phase_since; }
  TimePoint LastReadAt() const { return m_last_read_at; }
  /// Refuses the request that is being received, since the bodies of all requests are too large.
  void RefuseForMemory();

private:
  enum class Phase
  {
    Idle,
    Reading,
    Responding,
    /// The last response has been handed over for sending. Some input is discarded until the peer
    /// closes the connection; more of it is not read.
    Lingering,
  };

  static void OnReadable(bufferevent*, void* aConnection);
  static void OnWritable(bufferevent*, void* aConnection);
  static void OnEvent(bufferevent*, short aWhat, void* aConnection);

  void Read();
  /// Discards input of a connection that lingers, up to a limit; then stops reading.
  void DiscardInput();
  /// Moves the body bytes that have been parsed to the body of the request.
  void CollectBody();
  bool IsBodyTooLarge() const;
  void DispatchRequest();
  void RejectRequest(int aStatus, const char* aReason, HttpHeaders aHeaders = {});
  /// Creates the exchange of a request after which the connection closes.
  RelayExchangePtr BeginLastExchange(MessageHead aHead);
  /// Counts the memory of the present request's body among those of all connections.
  void CountBody(std::size_t aBytes);
  void BeginLinger();
  void EnterPhase(Phase aPhase);

  RelayServer& m_server;
  bufferevent* m_events;
  MessageParser m_parser;
  std::string m_body;
  std::size_t m_counted_body_bytes = 0;
  std::size_t m_discarded_bytes = 0;
  TimePoint m_last_read_at;
  Phase m_phase = Phase::Idle;
  TimePoint m_phase_since;
  /// Unsent bytes when the timeouts were checked last.
  std::size_t m_last_unsent_bytes = 0;
  bool m_must_close = false;
  RelayExchangePtr m_exchange;
};

}
