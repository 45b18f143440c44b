#pragma once

#include <LibHttp/EventLoop.h>
#include <LibRelay/MessageParser.h>
#include <LibRelay/RelayExchange.h>
#include <memory>

struct bufferevent;

namespace auburnhitch {

class RelayServer;

/// One accepted connection; deletes itself when it ends. Not thread-safe.
class RelayConnection
{
public:
  RelayConnection(RelayServer& aServer, bufferevent* aEvents);
  ~RelayConnection();
  RelayConnection(const RelayConnection&) = delete;
  RelayConnection& operator=(const RelayConnection&) = delete;

  void Send(absl::string_view aBytes);
  std::size_t UnsentBytes() const;
  /// The answer in progress is whole.
  void OnResponseComplete();
  /// No more of the answer in progress follows, although it is not whole.
  void OnResponseAborted();
  /// Ends the connection now.
  void Close();
  bool MustCloseAfterResponse() const;
  bool IsBusy() const;
  /// Closes the connection if it has been idle, or within a head, for too long.
  void CloseIfExpired(TimePoint aNow);

private:
  enum class Phase
  {
    Idle,
    Reading,
    Responding,
    /// The last answer is sent; what still arrives is thrown away until the peer closes.
    Lingering,
  };

  static void OnReadable(bufferevent*, void* aConnection);
  static void OnWritable(bufferevent*, void* aConnection);
  static void OnEvent(bufferevent*, short aWhat, void* aConnection);

  void Read();
  void DispatchRequest();
  void RejectRequest(int aStatus, const char* aWhy);
  void BeginLinger();
  void EnterPhase(Phase aPhase);

  RelayServer& m_server;
  bufferevent* m_events;
  MessageParser m_parser;
  std::string m_body;
  Phase m_phase = Phase::Idle;
  TimePoint m_phase_since;
  bool m_must_close = false;
  RelayExchangePtr m_exchange;
};

}
