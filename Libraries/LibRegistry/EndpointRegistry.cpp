#include <LibRegistry/EndpointRegistry.h>

#include <set>

namespace auburnhitch {

const char*
NameOf(RegistryChange::Type aType)
{
  switch (aType) {
    case RegistryChange::Type::Added:
      return "added";
    case RegistryChange::Type::Restarted:
      return "restarted";
    case RegistryChange::Type::Changed:
      return "changed";
    case RegistryChange::Type::Draining:
      return "draining";
    case RegistryChange::Type::Removed:
      return "removed";
    case RegistryChange::Type::Lapsed:
      return "lapsed";
  }
  return "unknown";
}

EndpointRegistry::Changes
EndpointRegistry::AddOrRenew(const EndpointEntry& aEntry)
{
  Changes changes;
  auto found = m_entries.find(aEntry.m_id);
  if (found == m_entries.end()) {
    m_entries.emplace(aEntry.m_id, Registration{ aEntry, std::nullopt });
    changes.push_back({ RegistryChange::Type::Added, aEntry });
  } else {
    Registration& known = found->second;
    if (aEntry.m_started_at_ms < known.m_entry.m_started_at_ms) {
      // A late record of an earlier life.
      return changes;
    }
    const bool is_restarted = aEntry.m_started_at_ms > known.m_entry.m_started_at_ms;
    const bool starts_draining = aEntry.m_is_draining && !known.m_entry.m_is_draining;
    const bool is_changed = aEntry != known.m_entry || known.m_lapsed_at.has_value();
    if (is_restarted) {
      changes.push_back({ RegistryChange::Type::Restarted, aEntry });
    } else if (starts_draining) {
      changes.push_back({ RegistryChange::Type::Draining, aEntry });
    } else if (is_changed) {
      changes.push_back({ RegistryChange::Type::Changed, aEntry });
    }
    known = Registration{ aEntry, std::nullopt };
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
  if (IsDuringOrJustAfterOutage(aNow) && !found->second.m_entry.m_is_draining) {
    Lapse(found->second, aNow, changes);
    return changes;
  }
  changes.push_back({ RegistryChange::Type::Removed, found->second.m_entry });
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
    const Changes of_entry = AddOrRenew(entry);
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
    const Registration& known = entry->second;
    if (!known.m_lapsed_at || aNow <= RemovalTime(*known.m_lapsed_at)) {
      ++entry;
      continue;
    }
    changes.push_back({ RegistryChange::Type::Removed, known.m_entry });
    entry = m_entries.erase(entry);
    ++m_version;
  }
  return changes;
}

TimePoint
EndpointRegistry::RemovalTime(TimePoint aLapsedAt) const
{
  const TimePoint returned_at = m_reachable_since.value_or(aLapsedAt);
  return aLapsedAt > returned_at ? aLapsedAt + m_limits.m_removal_grace
                                 : returned_at + m_limits.m_renewal_window;
}

void
EndpointRegistry::SetStoreReachable(bool aIsReachable, TimePoint aNow)
{
  if (aIsReachable && !m_is_reachable) {
    m_reachable_since = aNow;
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
EndpointRegistry::UsableEndpoints(const ServiceName& aService) const
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
EndpointRegistry::IsDuringOrJustAfterOutage(TimePoint aNow) const
{
  return !m_is_reachable ||
         (m_reachable_since && aNow - *m_reachable_since <= m_limits.m_renewal_window);
}

void
EndpointRegistry::Lapse(Registration& aRegistration, TimePoint aNow, Changes& aChanges)
{
  if (aRegistration.m_lapsed_at) {
    return;
  }
  aRegistration.m_lapsed_at = aNow;
  aChanges.push_back({ RegistryChange::Type::Lapsed, aRegistration.m_entry });
}

}
