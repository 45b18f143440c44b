#include <LibPlacement/EndpointRests.h>

#include <algorithm>

namespace auburnhitch {

bool
EndpointRests::Record(const ServiceName& aService,
                      const EndpointIncarnation& aEndpoint,
                      const Incarnation& aDaemon,
                      Milliseconds aRest,
                      TimePoint aNow)
{
  const TimePoint until = aNow + aRest;
  const auto [found, is_new] = m_entries.try_emplace(Key(aEndpoint, aDaemon));
  if (!is_new && found->second.m_until >= until) {
    found->second.m_stated_at = aNow;
    return false;
  }
  found->second = Entry{ aService, until, aNow };
  if (m_entries.size() > m_max_entries) {
    DropExpired(aNow);
  }
  if (m_entries.size() > m_max_entries) {
    DropFirstToEnd();
  }
  return true;
}

void
EndpointRests::DropFirstToEnd()
{
  m_entries.erase(
    std::min_element(m_entries.begin(), m_entries.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.second.m_until < aOther.second.m_until;
    }));
}

void
EndpointRests::RecordRegistered(const EndpointIncarnation& aEndpoint,
                                TimePoint aReadableSince,
                                TimePoint aNow)
{
  std::vector<std::pair<Incarnation, Entry>> presumed;
  for (const auto& [key, entry] : m_entries) {
    const bool is_registered_late =
      aReadableSince > entry.m_stated_at || aNow - entry.m_stated_at <= kMaxRegistrationLag;
    if (key.first.m_id == aEndpoint.m_id && key.first.m_started_at_ms < aEndpoint.m_started_at_ms &&
        is_registered_late) {
      presumed.emplace_back(key.second, entry);
    }
  }
  for (const auto& [daemon, entry] : presumed) {
    if (entry.m_until > aNow) {
      Record(entry.m_service,
             aEndpoint,
             daemon,
             std::chrono::ceil<Milliseconds>(entry.m_until - aNow),
             aNow);
    }
  }
}

std::optional<TimePoint>
EndpointRests::EndOf(const EndpointIncarnation& aEndpoint,
                     const Incarnation& aDaemon,
                     TimePoint aNow) const
{
  if (m_entries.empty()) {
    return std::nullopt;
  }
  const auto found = m_entries.find(Key(aEndpoint, aDaemon));
  return found != m_entries.end() && found->second.m_until > aNow
           ? std::optional(found->second.m_until)
           : std::nullopt;
}

std::vector<EndpointRest>
EndpointRests::Of(const ServiceName& aService, const Incarnation& aDaemon, TimePoint aNow) const
{
  std::vector<EndpointRest> rests;
  for (const auto& [key, entry] : m_entries) {
    if (entry.m_service == aService && key.second == aDaemon && entry.m_until > aNow) {
      rests.push_back({ key.first, std::chrono::ceil<Milliseconds>(entry.m_until - aNow) });
    }
  }
  return rests;
}

void
EndpointRests::DropExpired(TimePoint aNow)
{
  std::erase_if(m_entries, [&](const auto& aEntry) { return aEntry.second.m_until <= aNow; });
}

}
