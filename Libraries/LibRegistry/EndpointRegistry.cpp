#include <LibRegistry/EndpointRegistry.h>

#include <set>

namespace auburnhitch {

const char*
NameOf(RegistryChange::What aWhat)
{
  switch (aWhat) {
    case RegistryChange::What::Added:
      return "added";
    case RegistryChange::What::Restarted:
      return "restarted";
    case RegistryChange::What::Changed:
      return "changed";
    case RegistryChange::What::Draining:
      return "draining";
    case RegistryChange::What::Removed:
      return "removed";
    case RegistryChange::What::Lapsed:
      return "lapsed";
  }
  return "unknown";
}

EndpointRegistry::Changes
EndpointRegistry::Renew(const EndpointEntry& aEntry)
{
  Changes changes;
  auto found = m_entries.find(aEntry.m_id);
  if (found == m_entries.end()) {
    m_entries.emplace(aEntry.m_id, Known{ aEntry, std::nullopt });
    changes.push_back({ RegistryChange::What::Added, aEntry });
  } else {
    Known& known = found->second;
    if (aEntry.m_started_at_ms < known.m_entry.m_started_at_ms) {
      // A late record of an earlier life.
      return changes;
    }
    const bool is_restarted = aEntry.m_started_at_ms > known.m_entry.m_started_at_ms;
    const bool starts_draining = aEntry.m_is_draining && !known.m_entry.m_is_draining;
    const bool is_changed = aEntry != known.m_entry || known.m_lapsed_at.has_value();
    if (is_restarted) {
      changes.push_back({ RegistryChange::What::Restarted, aEntry });
    } else if (starts_draining) {
      changes.push_back({ RegistryChange::What::Draining, aEntry });
    } else if (is_changed) {
      changes.push_back({ RegistryChange::What::Changed, aEntry });
    }
    known = Known{ aEntry, std::nullopt };
  }
  m_version += changes.empty() ? 0 : 1;
  return changes;
}

EndpointRegistry::Changes
EndpointRegistry::Remove(const EndpointId& aId, TimePoint aNow)
{
  Changes changes;
  const auto found = m_entries.find(aId);
  if (found == m_entries.end()) {
    return changes;
  }
  // A drained endpoint leaves for good, whatever the store does.
  if (IsAroundOutage(aNow) && !found->second.m_entry.m_is_draining) {
    Lapse(found->second, aNow, changes);
    return changes;
  }
  changes.push_back({ RegistryChange::What::Removed, found->second.m_entry });
  m_entries.erase(found);
  ++m_version;
  return changes;
}

EndpointRegistry::Changes
EndpointRegistry::Replace(const std::vector<EndpointEntry>& aEntries, TimePoint aNow)
{
  Changes changes;
  std::set<EndpointId> listed;
  for (const EndpointEntry& entry : aEntries) {
    listed.insert(entry.m_id);
    const Changes of_entry = Renew(entry);
    changes.insert(changes.end(), of_entry.begin(), of_entry.end());
  }
  std::vector<EndpointId> missing;
  for (const auto& [id, known] : m_entries) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const EndpointId& id : missing) {
    const Changes of_entry = Remove(id, aNow);
    changes.insert(changes.end(), of_entry.begin(), of_entry.end());
  }
  return changes;
}

EndpointRegistry::Changes
EndpointRegistry::Expire(TimePoint aNow)
{
  Changes changes;
  if (!m_is_reachable) {
    return changes;
  }
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    const Known& known = entry->second;
    if (!known.m_lapsed_at || aNow <= EndOfDoubt(*known.m_lapsed_at)) {
      ++entry;
      continue;
    }
    changes.push_back({ RegistryChange::What::Removed, known.m_entry });
    entry = m_entries.erase(entry);
    ++m_version;
  }
  return changes;
}

TimePoint
EndpointRegistry::EndOfDoubt(TimePoint aLapsedAt) const
{
  const TimePoint returned_at = m_returned_at.value_or(aLapsedAt);
  return aLapsedAt > returned_at ? aLapsedAt + m_limits.m_doubt_time
                                 : returned_at + m_limits.m_renewal_time;
}

void
EndpointRegistry::SetStoreReachable(bool aIsReachable, TimePoint aNow)
{
  if (aIsReachable && !m_is_reachable) {
    m_returned_at = aNow;
  }
  m_is_reachable = aIsReachable;
}

std::optional<EndpointEntry>
EndpointRegistry::FindUsable(const EndpointId& aId) const
{
  const auto found = m_entries.find(aId);
  if (found == m_entries.end() || found->second.m_entry.m_is_draining) {
    return std::nullopt;
  }
  return found->second.m_entry;
}

std::vector<EndpointEntry>
EndpointRegistry::UsableOf(const ServiceName& aService) const
{
  std::vector<EndpointEntry> usable;
  for (const auto& [id, known] : m_entries) {
    if (known.m_entry.m_service == aService && !known.m_entry.m_is_draining) {
      usable.push_back(known.m_entry);
    }
  }
  return usable;
}

bool
EndpointRegistry::IsAroundOutage(TimePoint aNow) const
{
  return !m_is_reachable || (m_returned_at && aNow - *m_returned_at <= m_limits.m_renewal_time);
}

void
EndpointRegistry::Lapse(Known& aKnown, TimePoint aNow, Changes& aChanges)
{
  if (aKnown.m_lapsed_at) {
    return;
  }
  aKnown.m_lapsed_at = aNow;
  aChanges.push_back({ RegistryChange::What::Lapsed, aKnown.m_entry });
}

}
