#include <LibBroker/LeavingEndpoints.h>

#include <algorithm>
#include <iterator>

namespace auburnhitch {

bool
LeavingEndpoints::Record(const ServiceName& aService,
                         const EndpointIncarnation& aEndpoint,
                         TimePoint aNow)
{
  const auto found = m_entries.find(aEndpoint);
  const bool is_new = found == m_entries.end() || found->second.m_presumed_until.has_value();
  m_entries[aEndpoint] = Entry{ aService, aNow, aNow, std::nullopt };
  if (m_entries.size() > m_limits.m_max_entries) {
    DropOldest();
  }
  return is_new;
}

bool
LeavingEndpoints::RecordRegistered(const ServiceName& aService,
                                   const EndpointIncarnation& aEndpoint,
                                   TimePoint aReadableSince,
                                   TimePoint aNow)
{
  const auto found = m_entries.lower_bound(aEndpoint);
  if (found == m_entries.begin() || m_entries.contains(aEndpoint)) {
    return false;
  }
  const auto& [earlier, entry] = *std::prev(found);
  const bool is_registered_late =
    aReadableSince > entry.m_stated_at || aNow - entry.m_stated_at <= m_limits.m_registration_lag;
  if (earlier.m_id != aEndpoint.m_id || !is_registered_late) {
    return false;
  }
  const TimePoint stated_at = entry.m_stated_at;
  m_entries[aEndpoint] = Entry{ aService, stated_at, aNow, aNow + m_limits.m_presumed_for };
  return true;
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

bool
LeavingEndpoints::DropExpired(const RegistrationCheck& aIsRegistered, TimePoint aNow)
{
  const std::size_t before = m_entries.size();
  for (auto next = m_entries.begin(); next != m_entries.end();) {
    const auto found = next++;
    Entry& entry = found->second;
    if (entry.m_presumed_until && aNow > *entry.m_presumed_until) {
      m_entries.erase(found);
      continue;
    }
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
  return m_entries.size() != before;
}

}
