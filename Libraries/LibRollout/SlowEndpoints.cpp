#include <LibRollout/SlowEndpoints.h>

#include <algorithm>

namespace auburnhitch {

namespace {

// Of endpoints of which a third is slow, the first few that respond are often mostly slow; the
// first six are rarely.
constexpr std::size_t kMinSlowEndpoints = 6;

}

bool
SlowEndpoints::Record(const EndpointId& aEndpoint, bool aIsSlow, std::size_t aEndpointCount)
{
  bool& is_slow = m_is_slow[aEndpoint];
  if (is_slow != aIsSlow) {
    is_slow = aIsSlow;
    aIsSlow ? ++m_slow_count : --m_slow_count;
  }
  const std::size_t least = std::min(kMinSlowEndpoints, (aEndpointCount + 1) / 2);
  return aIsSlow && m_slow_count >= least && AreMostSlow();
}

bool
SlowEndpoints::IsSlow(const EndpointId& aEndpoint) const
{
  const auto found = m_is_slow.find(aEndpoint);
  return found != m_is_slow.end() && found->second;
}

void
SlowEndpoints::Reset()
{
  m_is_slow.clear();
  m_slow_count = 0;
}

}
