#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Milliseconds on the steady clock.
std::int64_t
NowMs();
void
SleepMs(int aMilliseconds);

/// Writes lines with the time since the start of the process to record.txt. Thread-safe.
void
OpenRecord(const std::string& aPath);
void
Record(const std::string& aLine);

/// A connected socket with blocking reads and writes. Not thread-safe, but for Reset().
class Socket
{
public:
  explicit Socket(int aDescriptor)
    : m_descriptor(aDescriptor)
  {
  }
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  /// Connects to IP:PORT. Returns nothing if that fails. Unless it is 0, aReceiveBytes limits the
  /// receive buffer, and segments are as short as on an Ethernet link.
  static std::unique_ptr<Socket> Connect(const std::string& aAddress, int aReceiveBytes = 0);

  bool Write(const std::string& aBytes) const;
  /// Reads up to aMax bytes. Returns an empty text at the end, after an error and after aTimeoutMs.
  std::string Read(std::size_t aMax, int aTimeoutMs);
  /// Whether the last Read() that returned nothing had met a time-out.
  bool HasTimedOut() const { return m_has_timed_out; }
  /// Ends the connection with a reset.
  void Reset();
  /// Waits until the peer has closed the connection, for aTimeoutMs at most. Returns whether it
  /// has.
  bool WaitForClose(int aTimeoutMs);

private:
  int m_descriptor;
  bool m_has_timed_out = false;
};

struct Message
{
  /// The first line: a request line or a status line.
  std::string m_first_line;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;
  bool m_is_complete = false;

  /// The value of a header field, or an empty text. Case does not matter in the name.
  std::string Header(const std::string& aName) const;
  std::string Method() const;
  std::string Target() const;
  std::string Path() const;
  std::string Query(const std::string& aName) const;
  int Status() const;
};

/// Reads HTTP/1.1 messages from a socket.
class MessageReader
{
public:
  explicit MessageReader(Socket& aSocket)
    : m_socket(aSocket)
  {
  }

  /// Reads one message. A message that is broken off has m_is_complete false. Returns nothing if
  /// not even its head has arrived. aBytesPerSecond limits the speed, unless it is 0.
  std::optional<Message> Next(int aTimeoutMs, int aBytesPerSecond = 0);

private:
  bool Fill(int aBytesPerSecond);
  bool ReadChunks(Message& aMessage, int aBytesPerSecond);

  Socket& m_socket;
  std::string m_bytes;
  std::int64_t m_until_ms = 0;
};

std::string
MakeResponse(int aStatus, const std::string& aHeaders, const std::string& aBody);

/// Accepts connections at a loopback address and serves each in a thread of its own.
class Server
{
public:
  using Handler = std::function<void(Socket& aSocket)>;

  /// Listens at a free port of aIp.
  Server(const std::string& aIp, Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  const std::string& Address() const { return m_address; }
  /// While it is closed, open connections are reset, and new ones as soon as they are accepted.
  void SetClosed(bool aIsClosed);
  /// Resets open connections and refuses new ones from now on.
  void Refuse();

private:
  void Accept();

  std::string m_address;
  Handler m_handler;
  int m_listener = -1;
  std::mutex m_mutex;
  bool m_is_closed = false;
  bool m_is_stopping = false;
  std::vector<std::shared_ptr<Socket>> m_open;
  std::thread m_acceptor;
};

/// A free port of an address, as IP:PORT.
std::string
FreeAddress(const std::string& aIp);

}
