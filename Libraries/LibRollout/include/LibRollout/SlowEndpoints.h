#pragma once

#include <LibRegistry/EndpointRegistry.h>
#include <map>

namespace auburnhitch {

/// Tells the slowness of a software version from that of single endpoints: hosts of uneven speed
/// make up to a third of the endpoints of any version several times as slow as the others. Responds
/// to a few to several hundred responses a second. Pure: owns no clock. Not thread-safe.
class SlowEndpoints
{
public:
  /// Records whether the latest response of an endpoint was slow. Returns whether that counts
  /// against the version: most of its endpoints that have responded are slow, and at least six of
  /// aEndpointCount, or half of them if they are fewer.
  bool Record(const EndpointId& aEndpoint, bool aIsSlow, std::size_t aEndpointCount);
  /// Whether most endpoints that have responded are slow, however few they are.
  bool AreMostSlow() const { return 2 * m_slow_count > m_is_slow.size(); }
  bool IsSlow(const EndpointId& aEndpoint) const;
  /// Forgets all responses.
  void Reset();

private:
  std::map<EndpointId, bool> m_is_slow;
  std::size_t m_slow_count = 0;
};

}
