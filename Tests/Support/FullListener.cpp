#include "FullListener.h"

#include <absl/strings/str_cat.h>
#include <cerrno>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace auburnhitch::tests {

FullListener::FullListener()
  : m_listener(socket(AF_INET, SOCK_STREAM, 0))
{
  m_name.sin_family = AF_INET;
  m_name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(m_name);
  if (bind(m_listener, reinterpret_cast<const sockaddr*>(&m_name), size) != 0 ||
      listen(m_listener, 0) != 0 ||
      getsockname(m_listener, reinterpret_cast<sockaddr*>(&m_name), &size) != 0) {
    throw std::runtime_error("cannot bind or listen on a loopback port");
  }
}

FullListener::~FullListener()
{
  for (const int connection : m_connections) {
    close(connection);
  }
  close(m_listener);
}

std::string
FullListener::Address() const
{
  return absl::StrCat("127.0.0.1:", ntohs(m_name.sin_port));
}

int
FullListener::Accept() const
{
  return accept(m_listener, nullptr, nullptr);
}

void
FullListener::Fill()
{
  constexpr int kConnections = 4;
  for (int i = 0; i < kConnections; ++i) {
    m_connections.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    const int result =
      connect(m_connections.back(), reinterpret_cast<const sockaddr*>(&m_name), sizeof(m_name));
    if (result != 0 && errno != EINPROGRESS) {
      throw std::runtime_error("cannot connect to a loopback port");
    }
  }
}

}
