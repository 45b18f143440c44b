#pragma once

#include <LibCore/Findings.h>
#include <LibCore/JsonObjectReader.h>
#include <LibCore/StrongString.h>
#include <LibCore/Time.h>
#include <absl/container/flat_hash_map.h>
#include <optional>
#include <vector>

namespace auburnhitch {

enum class HostState
{
  Live,
  Leaving,
};

/// One entry of the platform's host list.
struct HostEntry
{
  HostName m_host;
  HostState m_state = HostState::Live;
  /// The address at which peers reach the daemon of an entry host; empty for other hosts.
  SocketAddress m_peer_address;

  auto operator<=>(const HostEntry&) const = default;
};

/// Parses a response of the host list. If any part is invalid, adds findings and returns nullopt.
std::optional<std::vector<HostEntry>>
ReadHostList(const Json& aJson, Findings& aFindings);

/// Tracks which hosts may receive new work. A host that is leaving or not listed, or that became
/// live again less than the settle time ago, receives none: in case of doubt no new work is
/// started. Not thread-safe.
class HostTable
{
public:
  /// aSettleTime is how long a host that was leaving or not listed must be live again before it
  /// receives work.
  explicit HostTable(Milliseconds aSettleTime)
    : m_settle_time(aSettleTime)
  {
  }

  /// Applies a host list. Returns the hosts that were live and are now leaving or not listed.
  std::vector<HostName> Update(const std::vector<HostEntry>& aHosts, TimePoint aNow);

  /// Whether new work may go to the host, according to the latest list that arrived.
  bool MayReceiveWork(const HostName& aHost, TimePoint aNow) const;
  /// The entry hosts of the latest list, both live and leaving.
  const std::vector<HostEntry>& EntryHosts() const { return m_entry_hosts; }
  /// Whether an entry host of the latest list has this peer address.
  bool IsEntryHost(const SocketAddress& aPeerAddress) const;
  /// Whether any host list has arrived.
  bool HasHostList() const { return m_has_host_list; }
  std::size_t Size() const { return m_states.size(); }

private:
  struct State
  {
    HostState m_state = HostState::Live;
    TimePoint m_usable_from;
  };

  Milliseconds m_settle_time;
  bool m_has_host_list = false;
  absl::flat_hash_map<HostName, State> m_states;
  std::vector<HostEntry> m_entry_hosts;
};

}
