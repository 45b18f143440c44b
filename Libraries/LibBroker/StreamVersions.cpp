#include <LibBroker/StreamVersions.h>

namespace auburnhitch {

bool
StreamVersions::Record(const ServiceName& aService, const AgedStreamOrigin& aOrigin, TimePoint aNow)
{
  DropExpired(aNow);
  const StreamOrigin& origin = aOrigin.m_origin;
  if (origin.m_stream.empty() || origin.m_stream.size() > m_limits.m_max_id_bytes ||
      aOrigin.m_age > m_limits.m_retention) {
    return false;
  }
  const auto [found, is_new] = m_streams.try_emplace(
    origin.m_stream,
    Entry{ aService,
           origin.m_endpoint,
           origin.m_version.IsEmpty() ? std::nullopt : std::optional(origin.m_version),
           aNow - aOrigin.m_age });
  if (is_new) {
    m_order.push_back(origin.m_stream);
    return true;
  }
  Entry& entry = found->second;
  if (entry.m_version != origin.m_version) {
    entry.m_version = std::nullopt;
  }
  return false;
}

StreamVersions::Knowledge
StreamVersions::Find(const ServiceName& aService, const std::string& aStream, TimePoint aNow) const
{
  const auto found = m_streams.find(aStream);
  if (found == m_streams.end() || aNow - found->second.m_recorded_at > m_limits.m_retention) {
    return {};
  }
  const Entry& entry = found->second;
  return Knowledge{ true, entry.m_service == aService ? entry.m_version : std::nullopt };
}

std::vector<AgedStreamOrigin>
StreamVersions::OriginsOf(const ServiceName& aService, TimePoint aNow) const
{
  std::vector<AgedStreamOrigin> origins;
  for (const auto& [stream, entry] : m_streams) {
    const Milliseconds age(ToMilliseconds(aNow - entry.m_recorded_at));
    if (entry.m_service == aService && age <= m_limits.m_retention) {
      origins.push_back(
        { StreamOrigin{ stream, entry.m_endpoint, entry.m_version.value_or(SoftwareVersion()) },
          age });
    }
  }
  return origins;
}

void
StreamVersions::OnVersionChanged(const EndpointId& aEndpoint, TimePoint aNow)
{
  for (auto& [stream, entry] : m_streams) {
    if (entry.m_endpoint == aEndpoint &&
        aNow - entry.m_recorded_at <= m_limits.m_registration_lag) {
      entry.m_version = std::nullopt;
    }
  }
}

void
StreamVersions::DropExpired(TimePoint aNow)
{
  // The origin of a relayed stream may be older than those recorded before it, and expires with
  // them.
  while (!m_order.empty()) {
    const auto oldest = m_streams.find(m_order.front());
    if (m_streams.size() < m_limits.m_max_streams &&
        aNow - oldest->second.m_recorded_at <= m_limits.m_retention) {
      return;
    }
    m_streams.erase(oldest);
    m_order.pop_front();
  }
}

}
