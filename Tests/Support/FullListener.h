#pragma once

#include <netinet/in.h>
#include <string>
#include <vector>

namespace auburnhitch::tests {

/// Listens on a loopback port and accepts no connection by itself, so that connections beyond those
/// in its queue are not established.
class FullListener
{
public:
  /// Throws if the port cannot be opened.
  FullListener();
  ~FullListener();
  FullListener(const FullListener&) = delete;
  FullListener& operator=(const FullListener&) = delete;

  std::string Address() const;
  /// Waits for a connection. The caller closes it.
  int Accept() const;
  /// Fills the queue of connections that have not been accepted. Throws if that fails.
  void Fill();

private:
  int m_listener;
  sockaddr_in m_name{};
  std::vector<int> m_connections;
};

}
