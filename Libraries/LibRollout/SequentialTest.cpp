#include <LibRollout/SequentialTest.h>

#include <algorithm>
#include <cmath>

namespace auburnhitch {

namespace {

// Bounds of the share of bad responses that is expected of a good version.
constexpr double kMinExpectedShare = 0.02;
constexpr double kMaxExpectedShare = 0.6;
// Smallest increase of the share of bad responses that the test is designed for.
constexpr double kMinIncrease = 0.15;
constexpr double kMaxBadShare = 0.95;
// Share of the sum that the responses of one endpoint may contribute.
constexpr double kMaxEndpointShare = 0.5;

}

void
SequentialTest::Record(const EndpointId& aEndpoint,
                       bool aIsBad,
                       double aExpectedShare,
                       bool aIsOnlyEndpoint)
{
  const double expected = std::clamp(aExpectedShare, kMinExpectedShare, kMaxExpectedShare);
  const double bad = std::min(kMaxBadShare, expected + std::max(kMinIncrease, expected));
  double ratio = aIsBad ? std::log(bad / expected) : std::log((1 - bad) / (1 - expected));
  double& added = m_added[aEndpoint];
  if (!aIsOnlyEndpoint) {
    ratio = std::min(ratio, std::max(0.0, kMaxEndpointShare * kBadFrom - added));
  }
  added += ratio;
  m_sum += ratio;
  if (m_sum <= 0) {
    m_sum = 0;
    m_added.clear();
  }
}

}
