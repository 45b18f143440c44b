#include <LibPlacement/GrantRates.h>

#include <algorithm>
#include <cmath>

namespace auburnhitch {

namespace {

// Time constant of the counts: a few times as long as a request holds its slot.
constexpr double kDecaySeconds = 1;
// A rate is not meaningful for fewer grants.
constexpr double kMinGrants = 8;
// Part of the rate of all priorities below which the rate of one is not expected to fall.
constexpr double kMinShare = 0.1;

}

double
GrantRates::Count::At(TimePoint aNow) const
{
  const double passed = std::chrono::duration<double>(aNow - m_decayed_at).count();
  return m_granted * std::exp(-std::max(0.0, passed) / kDecaySeconds);
}

void
GrantRates::Record(int aPriority, TimePoint aNow)
{
  Count& count = m_counts[aPriority];
  count.m_granted = count.At(aNow) + 1;
  count.m_decayed_at = aNow;
}

std::optional<double>
GrantRates::RateFrom(int aPriority, TimePoint aNow) const
{
  double all = 0;
  double from = 0;
  for (const auto& [priority, count] : m_counts) {
    const double granted = count.At(aNow);
    all += granted;
    from += priority >= aPriority ? granted : 0;
  }
  if (all < kMinGrants) {
    return std::nullopt;
  }
  return std::max(from, kMinShare * all) / kDecaySeconds;
}

}
