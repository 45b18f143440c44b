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
    return false;
  }
  found->second = Entry{ aService, until };
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
