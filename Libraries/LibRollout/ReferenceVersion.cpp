#include <LibRollout/ReferenceVersion.h>

#include <algorithm>
#include <limits>
#include <vector>

namespace auburnhitch {

namespace {

// Weight that remains of each response when the next arrives: about the latest hundred count, which
// are those of a burst once it has lasted for a second.
constexpr double kRemainingWeight = 0.99;
constexpr std::size_t kMaxSamples = 128;
constexpr std::size_t kMinSamples = 16;
// A response is slow at this multiple of the median: bad versions are several times slower, and
// ordinary responses vary by less than twice.
constexpr double kSlowMultiple = 2.5;
// A route with fewer responses than this is assumed to be mostly like the others.
constexpr double kPriorResponses = 20;
constexpr double kPriorBadShare = 0.02;

}

double
ReferenceVersion::SlowFrom(const KindName& aRoute) const
{
  const auto found = m_routes.find(aRoute);
  const bool is_known = found != m_routes.end() && found->second.m_slowness.size() >= kMinSamples;
  const Route& route = is_known ? found->second : m_all;
  return route.m_slowness.size() < kMinSamples ? std::numeric_limits<double>::infinity()
                                               : kSlowMultiple * route.m_median;
}

void
ReferenceVersion::Record(const KindName& aRoute, bool aIsBad, double aSlowness)
{
  for (Route* route : { &m_routes[aRoute], &m_all }) {
    route->m_responses = route->m_responses * kRemainingWeight + 1;
    route->m_bad = route->m_bad * kRemainingWeight + (aIsBad ? 1 : 0);
    route->m_slowness.push_back(aSlowness);
    if (route->m_slowness.size() > kMaxSamples) {
      route->m_slowness.pop_front();
    }
    std::vector<double> sorted(route->m_slowness.begin(), route->m_slowness.end());
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    route->m_median = *middle;
  }
}

double
ReferenceVersion::BadShare(const KindName& aRoute) const
{
  const double all =
    (m_all.m_bad + kPriorResponses * kPriorBadShare) / (m_all.m_responses + kPriorResponses);
  const auto found = m_routes.find(aRoute);
  return found == m_routes.end() ? all
                                 : (found->second.m_bad + kPriorResponses * all) /
                                     (found->second.m_responses + kPriorResponses);
}

double
ReferenceVersion::Weight(const KindName& aRoute) const
{
  const auto found = m_routes.find(aRoute);
  return found == m_routes.end() ? 0 : found->second.m_responses;
}

}
