#include <LibRegistry/VersionHistory.h>

namespace auburnhitch {

bool
VersionHistory::Record(const RegistryChange& aChange, TimePoint aNow)
{
  DropExpired(aNow);
  const EndpointEntry& entry = aChange.m_entry;
  const auto found = m_endpoints.find(entry.m_id);
  if (aChange.m_type == RegistryChange::Type::Removed) {
    if (found != m_endpoints.end() && found->second.m_is_registered) {
      End(found->second, aNow);
      found->second.m_removed_at = aNow;
      m_removed.emplace_back(aNow, entry.m_id);
    }
    return false;
  }
  const Served served{ entry.m_service, entry.m_software_version };
  bool is_changed = false;
  if (found != m_endpoints.end()) {
    Endpoint& endpoint = found->second;
    is_changed = endpoint.m_served != served;
    if (endpoint.m_is_registered && !is_changed) {
      return false;
    }
    if (endpoint.m_is_registered) {
      End(endpoint, aNow);
    }
  }
  m_endpoints[entry.m_id] = Endpoint{ served, true, TimePoint() };
  ++m_usage[served].m_endpoints;
  return is_changed;
}

void
VersionHistory::End(Endpoint& aEndpoint, TimePoint aNow)
{
  aEndpoint.m_is_registered = false;
  Usage& usage = m_usage[aEndpoint.m_served];
  --usage.m_endpoints;
  usage.m_ended_at = aNow;
}

void
VersionHistory::DropExpired(TimePoint aNow)
{
  while (!m_removed.empty() && aNow - m_removed.front().first > m_retention) {
    const auto found = m_endpoints.find(m_removed.front().second);
    if (found != m_endpoints.end() && !found->second.m_is_registered &&
        found->second.m_removed_at == m_removed.front().first) {
      m_endpoints.erase(found);
    }
    m_removed.pop_front();
  }
  std::erase_if(m_usage, [&](const auto& aEntry) {
    return aEntry.second.m_endpoints == 0 && aNow - aEntry.second.m_ended_at > m_retention;
  });
}

std::optional<SoftwareVersion>
VersionHistory::OnlyVersionSince(const ServiceName& aService, TimePoint aSince) const
{
  if (!m_loaded_at || *m_loaded_at > aSince) {
    return std::nullopt;
  }
  const SoftwareVersion* only = nullptr;
  for (const auto& [served, usage] : m_usage) {
    if (served.m_service != aService || (usage.m_endpoints == 0 && usage.m_ended_at < aSince)) {
      continue;
    }
    if (only != nullptr) {
      return std::nullopt;
    }
    only = &served.m_version;
  }
  return only == nullptr ? std::nullopt : std::optional(*only);
}

}
