#pragma once

#include <LibCore/Time.h>
#include <LibPlacement/EndpointNotice.h>

namespace auburnhitch {

/// The rate limit that one incarnation of an endpoint states in its responses, which may arrive in
/// another order than they were written. A lower limit applies at once. A higher one, or none,
/// applies only if its request was sent after the current limit was stated last. Owns no clock. Not
/// thread-safe.
class StatedRateLimit
{
public:
  /// Applies the statement of a response. aSentAt: a time not later than that at which its request
  /// was sent; nothing if unknown. Returns whether the limit has changed.
  bool Apply(const std::optional<RequestRate>& aStated,
             std::optional<TimePoint> aSentAt,
             TimePoint aNow);

  const std::optional<RequestRate>& Limit() const { return m_limit; }

private:
  std::optional<RequestRate> m_limit;
  /// When a response last stated this limit or a lower one.
  TimePoint m_stated_at;
};

}
