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
  return Apply(aEntry, Source::Record);
}

EndpointRegistry::Changes
EndpointRegistry::Apply(const EndpointEntry& aEntry, Source aSource)
{
  Changes changes;
  if (IsFromBeforeDeparture(aEntry, aSource)) {
    return changes;
  }
  auto found = m_entries.find(aEntry.m_id);
  if (found == m_entries.end()) {
    m_entries.emplace(aEntry.m_id, Registration{ aEntry, std::nullopt });
    m_departures.erase(aEntry.m_id);
    changes.push_back({ RegistryChange::Type::Added, aEntry });
  } else {
    Registration& registration = found->second;
    if (aEntry.m_started_at_ms < registration.m_entry.m_started_at_ms) {
      // A late record of an earlier incarnation.
      return changes;
    }
    const bool is_restarted = aEntry.m_started_at_ms > registration.m_entry.m_started_at_ms;
    const bool starts_draining = aEntry.m_is_draining && !registration.m_entry.m_is_draining;
    const bool is_changed = aEntry != registration.m_entry || registration.m_lapse.has_value();
    if (is_restarted) {
      changes.push_back({ RegistryChange::Type::Restarted, aEntry });
    } else if (starts_draining) {
      changes.push_back({ RegistryChange::Type::Draining, aEntry });
    } else if (is_changed) {
      changes.push_back({ RegistryChange::Type::Changed, aEntry });
    }
    registration = Registration{ aEntry, std::nullopt };
  }
  m_version += changes.empty() ? 0 : 1;
  return changes;
}

EndpointRegistry::Changes
EndpointRegistry::Remove(const EndpointId& aId, TimePoint aKnownAt, TimePoint aNow)
{
  Changes changes;
  const auto found = m_entries.find(aId);
  if (found == m_entries.end()) {
    return changes;
  }
  // A draining endpoint deregisters for good, so its removal is final even during an outage.
  if (IsDuringOrJustAfterOutage(aNow) && !found->second.m_entry.m_is_draining) {
    RecordLapse(found->second, aKnownAt, changes);
    return changes;
  }
  RemoveForGood(found, aNow, changes);
  return changes;
}

void
EndpointRegistry::RemoveForGood(std::map<EndpointId, Registration>::iterator aEntry,
                                TimePoint aNow,
                                Changes& aChanges)
{
  const EndpointEntry& entry = aEntry->second.m_entry;
  m_departures[entry.m_id] = Departure{ entry.m_started_at_ms, entry.m_is_draining, aNow };
  aChanges.push_back({ RegistryChange::Type::Removed, entry });
  m_entries.erase(aEntry);
  ++m_version;
}

EndpointRegistry::Changes
EndpointRegistry::Replace(const std::vector<EndpointEntry>& aEntries, TimePoint aNow)
{
  Changes changes;
  std::set<EndpointId> listed;
  for (const EndpointEntry& entry : aEntries) {
    listed.insert(entry.m_id);
    const Changes of_entry = Apply(entry, Source::Snapshot);
    changes.insert(changes.end(), of_entry.begin(), of_entry.end());
  }
  std::vector<EndpointId> missing;
  for (const auto& [id, registration] : m_entries) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  // A registration that is missing after an outage lapsed before its end.
  const TimePoint missing_since =
    IsDuringOrJustAfterOutage(aNow) ? m_reachable_since.value_or(aNow) : aNow;
  for (const EndpointId& id : missing) {
    const Changes of_entry = Remove(id, missing_since, aNow);
    changes.insert(changes.end(), of_entry.begin(), of_entry.end());
  }
  return changes;
}

EndpointRegistry::Changes
EndpointRegistry::Expire(TimePoint aNow)
{
  Changes changes;
  const auto is_forgotten = [&](const auto& aDeparture) {
    return aNow - aDeparture.second.m_known_at > m_limits.m_departure_memory;
  };
  std::erase_if(m_departures, is_forgotten);
  std::erase_if(m_unlisted_departures, is_forgotten);
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    const auto& lapse = entry->second.m_lapse;
    const auto removed_at = lapse ? RemovalTime(*lapse) : std::nullopt;
    if (!removed_at || aNow <= *removed_at) {
      ++entry;
      continue;
    }
    RemoveForGood(entry++, aNow, changes);
  }
  return changes;
}

void
EndpointRegistry::OnStoreWentBack(TimePoint aNow)
{
  m_reachable_since = aNow;
  m_unlisted_departures = m_departures;
  for (const auto& [id, registration] : m_entries) {
    if (registration.m_entry.m_is_draining) {
      m_unlisted_departures[id] = Departure{ registration.m_entry.m_started_at_ms, true, aNow };
    }
  }
}

bool
EndpointRegistry::IsFromBeforeDeparture(const EndpointEntry& aEntry, Source aSource)
{
  const auto found = m_unlisted_departures.find(aEntry.m_id);
  if (found == m_unlisted_departures.end() || aEntry.m_is_draining) {
    return false;
  }
  const Departure& departure = found->second;
  const bool is_identified = aEntry.m_started_at_ms != 0;
  const bool has_returned =
    aEntry.m_started_at_ms > departure.m_started_at_ms ||
    (aSource == Source::Record && !(departure.m_was_draining && is_identified));
  if (has_returned) {
    m_unlisted_departures.erase(found);
  }
  return !has_returned;
}

std::optional<TimePoint>
EndpointRegistry::RemovalTime(const Lapse& aLapse) const
{
  if (aLapse.m_is_after_outage) {
    return aLapse.m_known_at + m_limits.m_removal_grace;
  }
  return m_is_reachable ? std::optional(m_reachable_since.value_or(aLapse.m_known_at) +
                                        m_limits.m_renewal_window)
                        : std::nullopt;
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
  for (const auto& [id, registration] : m_entries) {
    if (registration.m_entry.m_service == aService && !registration.m_entry.m_is_draining) {
      usable.push_back(registration.m_entry);
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
EndpointRegistry::RecordLapse(Registration& aRegistration, TimePoint aKnownAt, Changes& aChanges)
{
  if (aRegistration.m_lapse) {
    return;
  }
  const bool is_after_outage = m_is_reachable && m_reachable_since && aKnownAt > *m_reachable_since;
  aRegistration.m_lapse = Lapse{ aKnownAt, is_after_outage };
  aChanges.push_back({ RegistryChange::Type::Lapsed, aRegistration.m_entry });
}

}
