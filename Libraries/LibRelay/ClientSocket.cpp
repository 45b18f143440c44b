#include "ClientSocket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace auburnhitch {

namespace {

// Maximum time for which written bytes may stay unacknowledged (TCP_USER_TIMEOUT); long enough for
// a few retransmissions.
constexpr int kMaxUnacknowledgedMs = 6'000;
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 3;

}

void
SetClientSocketOptions(int aSocket)
{
  const auto set = [aSocket](int aLevel, int aName, int aValue) {
    setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue));
  };
  set(IPPROTO_TCP, TCP_NODELAY, 1);
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kMaxUnacknowledgedMs);
}

std::uint64_t
UnacknowledgedBytes(int aSocket)
{
  int bytes = 0;
  return ioctl(aSocket, TIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::uint64_t>(bytes) : 0;
}

int
TakeError(int aSocket)
{
  int error = 0;
  socklen_t size = sizeof(error);
  return getsockopt(aSocket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : 0;
}

}
