#pragma once

#include <LibCore/StrongString.h>
#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace auburnhitch::tests {

/// One HTTP request as it arrived, without any check or normalisation of its values.
struct RawRequest
{
  std::string m_method;
  std::string m_target;
  /// Names in lower case and values, in the order of arrival.
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;
  /// The daemon that sent it; set by an endpoint that has an address for each daemon.
  std::optional<std::size_t> m_daemon;

  /// The value of a header field, or empty. Precondition: the name is in lower case.
  std::string Header(const std::string& aName) const;
  /// The target without its query.
  std::string Path() const { return m_target.substr(0, m_target.find('?')); }
  /// The value of a query parameter, or empty.
  std::string Query(const std::string& aName) const;
};

/// One accepted connection. Each is handled in a thread of its own, with blocking reads and writes;
/// a read that waits for 10 s counts as closed by the peer.
class RawConnection
{
public:
  explicit RawConnection(int aSocket);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /// Reads a request with its body. Returns nothing if the peer closes before the request is
  /// complete.
  std::optional<RawRequest> ReadRequest();
  /// Reads the head of a request only; the body stays unread.
  std::optional<RawRequest> ReadHead();
  /// Reads up to this many bytes; fewer only if the peer closes.
  std::string ReadBytes(std::size_t aSize);
  /// Returns whether all bytes were written; false if the peer has closed.
  bool Write(const std::string& aBytes);
  /// Discards what arrives until the peer closes.
  void WaitForClose();
  void Close();
  /// Closes the sending direction only.
  void FinishWriting();
  /// Closes the connection with a TCP reset.
  void Reset();

private:
  bool ReadMore();

  int m_socket;
  std::string m_buffer;
};

/// Listens on a loopback port and calls a function with each connection. For tests only.
class RawServer
{
public:
  using Handler = std::function<void(RawConnection&)>;

  explicit RawServer(Handler aHandler);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  SocketAddress Address() const { return SocketAddress("127.0.0.1:" + std::to_string(m_port)); }

private:
  void Accept();

  Handler m_handler;
  int m_listener;
  int m_port = 0;
  std::atomic<bool> m_is_stopping = false;
  std::mutex m_mutex;
  std::set<int> m_sockets;
  std::vector<std::thread> m_threads;
  std::thread m_acceptor;
};

/// What a peer sent on a connection, and whether it closed the connection with a TCP reset.
struct ExchangeResult
{
  std::string m_bytes;
  bool m_is_reset = false;

  bool operator==(const ExchangeResult&) const = default;
};

/// Sends bytes to an address and reads until the peer closes or no byte arrives for 10 s.
ExchangeResult
ExchangeUntilEnd(const SocketAddress& aAddress, const std::string& aBytes);

/// As ExchangeUntilEnd(), but returns only what was read.
std::string
Exchange(const SocketAddress& aAddress, const std::string& aBytes);

/// Connects and returns the descriptor, or -1 on failure. The caller closes it with close().
int
ConnectTo(const SocketAddress& aAddress);

}
