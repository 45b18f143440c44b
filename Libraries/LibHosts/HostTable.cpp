#include <LibHosts/HostTable.h>

#include <algorithm>

namespace auburnhitch {

std::optional<std::vector<HostEntry>>
ReadHostList(const Json& aJson, Findings& aFindings)
{
  Findings found;
  std::vector<HostEntry> hosts;
  JsonObjectReader reader(aJson, "", found);
  if (reader.Member("hosts") == nullptr) {
    found.Add("/hosts", "is missing");
  }
  reader.ForEach("hosts", 0, [&](const Json& aHost, const std::string& aJsonPointer) {
    JsonObjectReader host(aHost, aJsonPointer, found);
    HostEntry entry;
    entry.m_host = HostName(host.RequiredString("host"));
    const std::string state = host.RequiredString("state");
    if (state != "live" && state != "leaving") {
      found.Add(host.JsonPointerOf("state"), "must be 'live' or 'leaving'");
    }
    entry.m_state = state == "live" ? HostState::Live : HostState::Leaving;
    entry.m_peer_address = SocketAddress(host.OptionalString("peer_address", ""));
    hosts.push_back(std::move(entry));
  });
  aFindings.Append(found);
  if (!found.IsEmpty()) {
    return std::nullopt;
  }
  return hosts;
}

std::vector<HostName>
HostTable::Update(const std::vector<HostEntry>& aHosts, TimePoint aNow)
{
  std::vector<HostName> stopped;
  absl::flat_hash_map<HostName, State> next;
  for (const HostEntry& entry : aHosts) {
    const auto before = m_states.find(entry.m_host);
    const bool was_live = before != m_states.end() && before->second.m_state == HostState::Live;
    State state{ entry.m_state, aNow };
    if (was_live) {
      state.m_usable_from = before->second.m_usable_from;
    } else if (before != m_states.end()) {
      state.m_usable_from = aNow + m_settle_time;
    }
    if (was_live && entry.m_state == HostState::Leaving) {
      stopped.push_back(entry.m_host);
    }
    next[entry.m_host] = state;
  }
  for (const auto& [host, state] : m_states) {
    if (!next.contains(host) && state.m_state == HostState::Live) {
      stopped.push_back(host);
    }
    // A host that is no longer listed is kept as leaving, so that it has to be live for the settle
    // time if it returns. The bound keeps the table from growing with every host ever listed.
    if (!next.contains(host) && m_states.size() < 2 * aHosts.size() + 16) {
      next[host] = State{ HostState::Leaving, aNow };
    }
  }
  m_states = std::move(next);
  m_entry_hosts.clear();
  for (const HostEntry& entry : aHosts) {
    if (!entry.m_peer_address.IsEmpty()) {
      m_entry_hosts.push_back(entry);
    }
  }
  m_has_host_list = true;
  return stopped;
}

bool
HostTable::IsEntryHost(const SocketAddress& aPeerAddress) const
{
  return std::any_of(m_entry_hosts.begin(), m_entry_hosts.end(), [&](const HostEntry& aEntry) {
    return aEntry.m_peer_address == aPeerAddress;
  });
}

bool
HostTable::MayReceiveWork(const HostName& aHost, TimePoint aNow) const
{
  const auto found = m_states.find(aHost);
  return found != m_states.end() && found->second.m_state == HostState::Live &&
         aNow >= found->second.m_usable_from;
}

}
