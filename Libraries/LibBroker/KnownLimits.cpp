#include <LibBroker/KnownLimits.h>

namespace auburnhitch {

namespace {

// Maximum age of a report when it arrives; far above a round trip within a region.
constexpr Milliseconds kMaxReportAge{ 1'000 };

}

KnownLimits::Entry*
KnownLimits::EntryOf(const ServiceName& aService, const EndpointIncarnation& aEndpoint)
{
  const auto [found, is_new] = m_entries.try_emplace(aEndpoint.m_id);
  Entry& entry = found->second;
  if (!is_new && aEndpoint.m_started_at_ms < entry.m_started_at_ms) {
    return nullptr;
  }
  if (is_new || aEndpoint.m_started_at_ms > entry.m_started_at_ms) {
    entry = Entry{ aService, aEndpoint.m_started_at_ms, StatedRateLimit(), std::nullopt };
  }
  return &entry;
}

bool
KnownLimits::RecordResponse(const ServiceName& aService,
                            const EndpointIncarnation& aEndpoint,
                            const std::optional<RequestRate>& aStated,
                            TimePoint aSentAt,
                            TimePoint aNow)
{
  if (!aStated && !LimitOf(aEndpoint)) {
    return false;
  }
  Entry* entry = EntryOf(aService, aEndpoint);
  if (entry == nullptr) {
    return false;
  }
  entry->m_responded_at = aNow;
  const bool is_changed = entry->m_limit.Apply(aStated, aSentAt, aNow);
  return is_changed || aStated.has_value();
}

void
KnownLimits::RecordReport(const ServiceName& aService,
                          const EndpointIncarnation& aEndpoint,
                          const std::optional<RequestRate>& aStated,
                          TimePoint aNow)
{
  if (!aStated && !LimitOf(aEndpoint)) {
    return;
  }
  if (Entry* entry = EntryOf(aService, aEndpoint)) {
    const bool is_newer = !entry->m_responded_at || aNow - *entry->m_responded_at > kMaxReportAge;
    entry->m_limit.Apply(aStated, is_newer ? std::optional(aNow) : std::nullopt, aNow);
  }
}

std::optional<RequestRate>
KnownLimits::LimitOf(const EndpointIncarnation& aEndpoint) const
{
  const auto found = m_entries.find(aEndpoint.m_id);
  return found != m_entries.end() && found->second.m_started_at_ms == aEndpoint.m_started_at_ms
           ? found->second.m_limit.Limit()
           : std::nullopt;
}

std::vector<StatedLimit>
KnownLimits::LimitsOf(const ServiceName& aService) const
{
  std::vector<StatedLimit> limits;
  for (const auto& [id, entry] : m_entries) {
    if (entry.m_service == aService && entry.m_limit.Limit()) {
      limits.push_back({ { id, entry.m_started_at_ms }, *entry.m_limit.Limit() });
    }
  }
  return limits;
}

std::set<ServiceName>
KnownLimits::Services() const
{
  std::set<ServiceName> services;
  for (const auto& [id, entry] : m_entries) {
    services.insert(entry.m_service);
  }
  return services;
}

void
KnownLimits::Retain(const std::set<EndpointIncarnation>& aEndpoints)
{
  std::erase_if(m_entries, [&](const auto& aEntry) {
    return !aEndpoints.contains({ aEntry.first, aEntry.second.m_started_at_ms });
  });
}

}
