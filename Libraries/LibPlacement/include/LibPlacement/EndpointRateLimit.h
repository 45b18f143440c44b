#pragma once

#include <LibPlacement/StatedRateLimit.h>
#include <LibPlacement/TokenBucket.h>

namespace auburnhitch {

/// Keeps the requests that a scheduler sends to one incarnation of an endpoint within its share of
/// the limit that the endpoint states. Owns no clock. Not thread-safe.
class EndpointRateLimit
{
public:
  /// See StatedRateLimit::Apply().
  bool Apply(const std::optional<RequestRate>& aStated,
             std::optional<TimePoint> aSentAt,
             TimePoint aNow);
  /// Sets the share of the limit that this scheduler may use.
  void SetShare(double aShare, TimePoint aNow);

  /// What the endpoint states; nothing if it states no limit.
  const std::optional<RequestRate>& Stated() const { return m_stated.Limit(); }
  /// The rate that this scheduler may use; nothing if it is not limited.
  std::optional<RequestRate> Usable() const;
  /// Whether a request may be sent now.
  bool Permits(TimePoint aNow) const { return !m_bucket || m_bucket->HasToken(aNow); }
  void RecordSent(TimePoint aNow);

private:
  void UpdateBucket(TimePoint aNow);

  StatedRateLimit m_stated;
  double m_share = 1.0;
  /// Present while a limit applies.
  std::optional<TokenBucket> m_bucket;
};

}
