#include <LibBroker/LeavingEndpoints.h>

#include <algorithm>

namespace auburnhitch {

bool
LeavingEndpoints::Record(const ServiceName& aService,
                         const EndpointIncarnation& aEndpoint,
                         TimePoint aNow)
{
  const auto [found, is_new] = m_entries.try_emplace(aEndpoint, Entry{ aService, aNow });
  found->second.m_renewed_at = aNow;
  if (m_entries.size() > m_limits.m_max_entries) {
    DropOldest();
  }
  return is_new;
}

void
LeavingEndpoints::DropOldest()
{
  m_entries.erase(
    std::min_element(m_entries.begin(), m_entries.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.second.m_renewed_at < aOther.second.m_renewed_at;
    }));
}

std::vector<EndpointIncarnation>
LeavingEndpoints::OfService(const ServiceName& aService) const
{
  std::vector<EndpointIncarnation> endpoints;
  for (const auto& [endpoint, entry] : m_entries) {
    if (entry.m_service == aService) {
      endpoints.push_back(endpoint);
    }
  }
  return endpoints;
}

std::vector<std::pair<ServiceName, EndpointIncarnation>>
LeavingEndpoints::All() const
{
  std::vector<std::pair<ServiceName, EndpointIncarnation>> all;
  all.reserve(m_entries.size());
  for (const auto& [endpoint, entry] : m_entries) {
    all.emplace_back(entry.m_service, endpoint);
  }
  return all;
}

void
LeavingEndpoints::DropExpired(const RegistrationCheck& aIsRegistered, TimePoint aNow)
{
  for (auto next = m_entries.begin(); next != m_entries.end();) {
    const auto found = next++;
    Entry& entry = found->second;
    // Checked only when it matters, since a service may have thousands of endpoints.
    if (aNow - entry.m_renewed_at <= m_limits.m_retention / 2) {
      continue;
    }
    if (aIsRegistered(entry.m_service, found->first)) {
      entry.m_renewed_at = aNow;
    } else if (aNow - entry.m_renewed_at > m_limits.m_retention) {
      m_entries.erase(found);
    }
  }
}

}
