#include "HostileCrowd.h"

#include "GatewayCluster.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <chrono>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace auburnhitch::tests {

namespace {

constexpr std::chrono::milliseconds kRetryInterval{ 10 };
// Rounds without a byte accepted after which a crowd counts as stalled.
constexpr int kMaxIdleRounds = 30;

}

HostileCrowd::HostileCrowd(const SocketAddress& aAddress, CrowdShape aShape, std::size_t aCount)
  : m_shape(std::move(aShape))
{
  for (std::size_t i = 0; i < aCount; ++i) {
    const int socket = ConnectTo(aAddress);
    if (socket >= 0) {
      fcntl(socket, F_SETFL, O_NONBLOCK);
      m_connections.push_back({ socket, 0 });
    }
  }
}

HostileCrowd::~HostileCrowd()
{
  for (const Connection& connection : m_connections) {
    if (connection.m_socket >= 0) {
      close(connection.m_socket);
    }
  }
}

bool
HostileCrowd::SendPiece(Connection& aConnection, std::size_t aMaxBytes) const
{
  if (aConnection.m_socket < 0 || aConnection.m_sent >= TotalBytes()) {
    return false;
  }
  const std::string& begin = m_shape.m_begin;
  const std::string& repeated = m_shape.m_repeated;
  const bool is_begin = aConnection.m_sent < begin.size();
  const std::string& piece = is_begin ? begin : repeated;
  const std::size_t offset =
    is_begin ? aConnection.m_sent : (aConnection.m_sent - begin.size()) % repeated.size();
  const std::size_t size =
    std::min({ piece.size() - offset, TotalBytes() - aConnection.m_sent, aMaxBytes });
  const ssize_t sent = send(aConnection.m_socket, piece.data() + offset, size, MSG_NOSIGNAL);
  if (sent < 0 && errno != EAGAIN) {
    close(std::exchange(aConnection.m_socket, -1));
  }
  aConnection.m_sent += sent > 0 ? static_cast<std::size_t>(sent) : 0;
  return sent > 0;
}

void
HostileCrowd::Send(std::size_t aBytes)
{
  for (int idle_rounds = 0; idle_rounds < kMaxIdleRounds; ++idle_rounds) {
    bool has_sent = false;
    bool has_more = false;
    for (Connection& connection : m_connections) {
      const std::size_t left = aBytes - std::min(aBytes, connection.m_sent);
      has_sent = (left > 0 && SendPiece(connection, left)) || has_sent;
      has_more = has_more || (connection.m_socket >= 0 && connection.m_sent < aBytes);
    }
    if (has_sent) {
      idle_rounds = 0;
      continue;
    }
    if (!has_more) {
      // The daemon reads what the kernel still holds.
      constexpr int kRoundsAfterLastByte = 10;
      idle_rounds = std::max(idle_rounds, kMaxIdleRounds - kRoundsAfterLastByte);
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
}

void
HostileCrowd::SendAndReadSingleBytes(int aRounds)
{
  for (int round = 0; round < aRounds; ++round) {
    for (Connection& connection : m_connections) {
      SendPiece(connection, 1);
      char byte = 0;
      if (connection.m_socket >= 0 && recv(connection.m_socket, &byte, 1, 0) == 0) {
        close(std::exchange(connection.m_socket, -1));
      }
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
}

std::size_t
PeakResidentBytesOf(pid_t aProcess)
{
  std::ifstream status(absl::StrCat("/proc/", aProcess, "/status"));
  std::string name;
  while (status >> name) {
    if (name == "VmHWM:") {
      std::size_t kibibytes = 0;
      status >> kibibytes;
      return kibibytes << 10;
    }
  }
  return 0;
}

std::size_t
OpenDescriptorsOf(pid_t aProcess)
{
  std::error_code error;
  const std::filesystem::directory_iterator entries(absl::StrCat("/proc/", aProcess, "/fd"), error);
  return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

}
