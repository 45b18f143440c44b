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

/// One request as it arrived, byte for byte.
struct RawRequest
{
  std::string m_method;
  std::string m_target;
  /// Lower-case name and value, in order.
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;

  /// The value of a header field, or empty. The name is in lower case.
  std::string Header(const std::string& aName) const;
  std::string Path() const { return m_target.substr(0, m_target.find('?')); }
  /// The value of a query parameter, or empty.
  std::string Query(const std::string& aName) const;
};

/// One accepted connection, in a thread of its own.
class RawConnection
{
public:
  explicit RawConnection(int aSocket);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /// Reads a request; nothing when the peer has closed.
  std::optional<RawRequest> ReadRequest();
  /// Reads only the head of a request and leaves its body.
  std::optional<RawRequest> ReadHead();
  /// Reads so many bytes; fewer when the peer has closed.
  std::string ReadBytes(std::size_t aSize);
  void Write(const std::string& aBytes);
  /// Waits until the peer closes.
  void WaitForClose();
  void Close();
  /// Closes with a reset.
  void Reset();

private:
  bool ReadMore();

  int m_socket;
  std::string m_buffer;
};

/// Listens on a port of this machine and hands each connection to a function. For tests only.
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

/// Sends bytes to an address and reads until the peer closes or nothing comes for ten seconds.
std::string
Exchange(const SocketAddress& aAddress, const std::string& aBytes);

/// Opens a connection for a test that reads and writes by itself. Close it with close().
int
ConnectTo(const SocketAddress& aAddress);

}
