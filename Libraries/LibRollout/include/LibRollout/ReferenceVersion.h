#pragma once

#include <LibCore/StrongString.h>
#include <LibCore/Time.h>
#include <deque>
#include <map>

namespace auburnhitch {

/// Responses of the versions that serve already, by route: what a new version is compared with at
/// the same time and load. Pure: owns no clock. Not thread-safe.
class ReferenceVersion
{
public:
  /// A response is slow if its time exceeds the expected one by this factor; infinite until enough
  /// responses are known.
  double SlowFrom(const KindName& aRoute) const;
  /// Records a response. aSlowness: ratio of its measured time to the expected one.
  void Record(const KindName& aRoute, bool aIsBad, double aSlowness);
  /// Share of bad responses lately on a route.
  double BadShare(const KindName& aRoute) const;
  /// Number of responses, the latest counting most.
  double Weight(const KindName& aRoute) const;

private:
  struct Route
  {
    double m_responses = 0;
    double m_bad = 0;
    std::deque<double> m_slowness;
    double m_median = 0;
  };

  std::map<KindName, Route> m_routes;
  Route m_all;
};

}
