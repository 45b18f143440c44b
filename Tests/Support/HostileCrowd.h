#pragma once

#include <LibCore/StrongString.h>
#include <cstddef>
#include <string>
#include <sys/types.h>
#include <vector>

namespace auburnhitch::tests {

/// What each member of a crowd sends: a beginning, then one piece again and again.
struct CrowdShape
{
  std::string m_begin;
  std::string m_repeated;
  /// Maximum number of bytes sent in repeated pieces.
  std::size_t m_max_repeated_bytes = 0;
};

/// Connections of misbehaving callers to one address. They stay open until destruction. Not
/// thread-safe.
class HostileCrowd
{
public:
  HostileCrowd(const SocketAddress& aAddress, CrowdShape aShape, std::size_t aCount);
  ~HostileCrowd();
  HostileCrowd(const HostileCrowd&) = delete;
  HostileCrowd& operator=(const HostileCrowd&) = delete;

  /// Sends as fast as the peer takes the bytes, without reading, until each connection has been
  /// closed by the peer, has sent everything, or accepts no more bytes.
  void SendUntilClosedOrStalled() { Send(TotalBytes()); }
  /// As SendUntilClosedOrStalled(), without the repeated pieces.
  void SendBeginnings() { Send(m_shape.m_begin.size()); }
  /// Sends one byte and reads one byte on each connection in each of some rounds, with a pause
  /// between rounds.
  void SendAndReadSingleBytes(int aRounds);

private:
  struct Connection
  {
    int m_socket = -1;
    std::size_t m_sent = 0;
  };

  /// Sends up to this many bytes on each connection.
  void Send(std::size_t aBytes);
  /// Sends one piece of at most this size. Returns whether bytes were accepted. Closes a connection
  /// that has failed.
  bool SendPiece(Connection& aConnection, std::size_t aMaxBytes) const;
  std::size_t TotalBytes() const { return m_shape.m_begin.size() + m_shape.m_max_repeated_bytes; }

  CrowdShape m_shape;
  std::vector<Connection> m_connections;
};

/// The highest resident memory of a process so far, in bytes; 0 if the process has ended.
std::size_t
PeakResidentBytesOf(pid_t aProcess);

/// The number of open descriptors of a process; 0 if the process has ended.
std::size_t
OpenDescriptorsOf(pid_t aProcess);

}
