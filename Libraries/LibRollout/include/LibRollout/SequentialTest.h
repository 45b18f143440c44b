#pragma once

#include <LibRegistry/EndpointRegistry.h>
#include <map>

namespace auburnhitch {

/// Tests whether a version fails more often than the one that it is compared with, response by
/// response: a cumulative sum of log likelihood ratios (CUSUM), kept at 0 or above so that a
/// version that turns bad later is found as fast. Responds to a load of a few to several hundred
/// responses a second. Pure: owns no clock. Not thread-safe.
class SequentialTest
{
public:
  /// Sum from which a version is bad. docs/design/rollouts.md has the rate of false alarms.
  static constexpr double kBadFrom = 12.0;

  /// Records a response. aExpectedShare: share of bad responses of the version compared with.
  /// aIsOnlyEndpoint: the version has no other endpoint; otherwise the evidence of one endpoint is
  /// not sufficient for a verdict, since a single slow or failing endpoint is no fault of a
  /// version.
  void Record(const EndpointId& aEndpoint,
              bool aIsBad,
              double aExpectedShare,
              bool aIsOnlyEndpoint);
  double Sum() const { return m_sum; }
  bool IsBad() const { return m_sum >= kBadFrom; }

private:
  double m_sum = 0;
  /// What each endpoint has added since the sum was 0 last.
  std::map<EndpointId, double> m_added;
};

}
