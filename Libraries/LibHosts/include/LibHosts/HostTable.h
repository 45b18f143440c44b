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

/// One line of the platform's host list.
struct HostEntry
{
  HostName m_host;
  HostState m_state = HostState::Live;
  /// Where the peers of an entry host reach it; empty for other hosts.
  SocketAddress m_peer_address;

  auto operator<=>(const HostEntry&) const = default;
};

/// Reads the host list's answer; returns nothing and records findings if any part is wrong.
std::optional<std::vector<HostEntry>>
ReadHostList(const Json& aJson, Findings& aFindings);

/// Which hosts may receive new work. A host that the list does not show, or that flapped a moment
/// ago, receives none: every doubt is settled towards starting no new work. Not thread-safe.
class HostTable
{
public:
  /// aSettleTime is how long a host must have been live before it receives work after leaving.
  explicit HostTable(Milliseconds aSettleTime)
    : m_settle_time(aSettleTime)
  {
  }

  /// Takes over an answer of the host list. Returns the hosts that stopped being live.
  std::vector<HostName> Update(const std::vector<HostEntry>& aHosts, TimePoint aNow);

  /// Whether new work may go to the host. Answers that fail to arrive change nothing.
  bool MayReceiveWork(const HostName& aHost, TimePoint aNow) const;
  /// Where the other entry hosts are reached, live and leaving ones.
  const std::vector<HostEntry>& EntryHosts() const { return m_entry_hosts; }
  /// Whether an entry host of the list has this address.
  bool IsEntryHost(const SocketAddress& aPeerAddress) const;
  /// Whether the list has ever answered.
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
