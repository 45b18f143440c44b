#pragma once

#include <LibHttp/EventLoop.h>
#include <LibRelay/MemoryBudget.h>
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
  RelayConnection(RelayServer& aServer, bufferevent* aEvents, std::uint32_t aPeer);
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
  /// Closes the connection at once and deletes this object. aWhy: see RelayExchange::ClosedWhy().
  void Close(const char* aWhy = nullptr);
  /// As Close(), with a TCP reset and without informing the exchange.
  void Reset();
  void CloseAfterResponse() { m_must_close = true; }
  bool MustCloseAfterResponse() const;
  bool IsBusy() const;
  /// See RelayServer::EndReceiving().
  void EndReceiving(const std::function<void(const RelayExchangePtr&)>& aRespond);
  /// Closes the connection if its head timeout, idle timeout or linger time has passed, or if its
  /// peer reads nothing of the response in progress.
  void CloseIfExpired(TimePoint aNow);

  /// Whether no complete request has arrived that has no complete response.
  bool HasNoRequest() const { return m_phase == Phase::Idle || m_phase == Phase::Reading; }
  /// The peer's IPv4 address, without its port.
  std::uint32_t Peer() const { return m_peer; }
  /// When the last request ended, or the first byte of the one that is being received arrived.
  TimePoint PhaseSince() const { return m_phase_since; }
  /// See RelayExchange::CountPending().
  void CountPending(std::size_t aBytes) { m_memory.Set(MemoryAccount::PendingResponses, aBytes); }

private:
  /// Maximum number of bytes that are read and discarded after the last response of a connection. A
  /// caller that writes its whole request before it reads gets the response if the rest of the
  /// request is not larger than this and the socket buffers.
  static constexpr std::size_t kMaxDiscardedBytes = 256 << 10;

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
  /// Whether bytes of a request may be taken from the input now.
  bool MayParse() const;
  /// Parses what the input holds in one piece. Returns whether the connection still exists and
  /// receives a request.
  bool ParseInput();
  /// Lets other connections give memory back while the budget is exceeded. Returns whether the
  /// request that has arrived completely may be handled: the budget is kept then, or the request
  /// holds no more than the part of it that each connection may use.
  bool MakeRoomForRequest();
  /// Refuses the request that is being received if its head decides that.
  void RefuseByHead();
  /// Frees memory on request of the budget. May delete this object.
  void GiveMemoryBack();
  /// Refuses the request that is being received, since the memory of all requests is in use.
  void RefuseForMemory();
  /// Discards input of a connection that lingers, up to a limit; then stops reading.
  void DiscardInput();
  /// Moves the body bytes that have been parsed to the body of the request.
  void CollectBody();
  bool IsBodyTooLarge() const;
  void DispatchRequest();
  void RejectRequest(int aStatus, const char* aReason, HttpHeaders aHeaders = {});
  /// Creates the exchange of a request after which the connection closes.
  RelayExchangePtr BeginLastExchange(MessageHead aHead);
  /// Frees what has been received of a request that is refused.
  void DropRequest();
  /// Counts the memory of the present request as freed.
  void CountNoRequest();
  /// How many bytes of all responses the peer's host has acknowledged.
  std::uint64_t BytesTaken() const;
  void CountReadAhead();
  void CountUnsent();
  void BeginLinger();
  void EnterPhase(Phase aPhase);

  RelayServer& m_server;
  bufferevent* m_events;
  std::uint32_t m_peer;
  MessageParser m_parser;
  std::string m_body;
  /// Whether the server's head check has seen the request that is being received.
  bool m_is_head_checked = false;
  bool m_is_refused_by_head = false;
  TimePoint m_linger_since;
  std::size_t m_discarded_bytes = 0;
  std::size_t m_max_discarded_bytes = kMaxDiscardedBytes;
  /// When the peer last took bytes of a response, or the oldest unsent byte was written.
  TimePoint m_taken_at;
  Phase m_phase = Phase::Idle;
  TimePoint m_phase_since;
  /// Bytes of all responses.
  std::uint64_t m_written_bytes = 0;
  /// How many of them the peer had taken when the timeouts were checked last.
  std::uint64_t m_taken_bytes = 0;
  /// Unsent bytes at that time.
  std::size_t m_last_unsent_bytes = 0;
  bool m_must_close = false;
  RelayExchangePtr m_exchange;
  MemoryHolder m_memory;
};

}
