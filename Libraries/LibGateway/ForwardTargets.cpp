#include <LibGateway/ForwardTargets.h>

#include <algorithm>

namespace auburnhitch {

namespace {

// A daemon that could not serve a forwarded request is tried again after this time. Until then its
// heartbeats say whether it reaches the endpoints.
constexpr Milliseconds kUnableFor{ 2'000 };

}

std::optional<Member>
ForwardTargets::Choose(const std::vector<HostName>& aTried,
                       std::int64_t aMinConfigurationVersion,
                       TimePoint aNow)
{
  std::erase_if(m_unable_at,
                [aNow](const auto& aEntry) { return aNow - aEntry.second >= kUnableFor; });
  std::vector<Member> near;
  std::vector<Member> far;
  for (const Member& member : m_membership.AliveMembers(aNow)) {
    const bool is_tried = std::find(aTried.begin(), aTried.end(), member.m_host) != aTried.end();
    if (!member.m_is_ready || !member.m_reaches_endpoints || member.m_is_leaving || is_tried ||
        member.m_configuration_version < aMinConfigurationVersion ||
        m_unable_at.contains(member.m_host)) {
      continue;
    }
    (member.m_data_center == m_own_data_center ? near : far).push_back(member);
  }
  const std::vector<Member>& choice = near.empty() ? far : near;
  return choice.empty() ? std::nullopt : std::optional(choice[m_turn++ % choice.size()]);
}

}
