#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace auburnhitch {

/// An open connection without a complete request.
struct ConnectionWithoutRequest
{
  /// The peer's IPv4 address, without its port.
  std::uint32_t m_peer = 0;
  /// Since when it has been idle or has been sending its request.
  TimePoint m_since;

  auto operator<=>(const ConnectionWithoutRequest&) const = default;
};

/// Chooses the connection that is closed so that a new one can be accepted, when a port has all its
/// connections: the one that has waited for longest among those of the address that has most of
/// them. Responds to crowds from few addresses; an address with few connections keeps them, and
/// many callers behind one address meet no limit until connections run short. Returns the index, or
/// nothing if there is no connection.
std::optional<std::size_t>
ConnectionToClose(const std::vector<ConnectionWithoutRequest>& aConnections);

}
