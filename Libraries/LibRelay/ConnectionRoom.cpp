#include <LibRelay/ConnectionRoom.h>

#include <absl/container/flat_hash_map.h>
#include <utility>

namespace auburnhitch {

std::optional<std::size_t>
ConnectionToClose(const std::vector<ConnectionWithoutRequest>& aConnections)
{
  absl::flat_hash_map<std::uint32_t, std::size_t> counts;
  for (const ConnectionWithoutRequest& connection : aConnections) {
    ++counts[connection.m_peer];
  }
  // Greater for the connection that is closed first.
  const auto order = [&](std::size_t aIndex) {
    const ConnectionWithoutRequest& connection = aConnections[aIndex];
    return std::pair(counts[connection.m_peer], -connection.m_since.time_since_epoch());
  };
  std::optional<std::size_t> chosen;
  for (std::size_t index = 0; index < aConnections.size(); ++index) {
    if (!chosen || order(index) > order(*chosen)) {
      chosen = index;
    }
  }
  return chosen;
}

}
