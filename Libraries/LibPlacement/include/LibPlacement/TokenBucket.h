#pragma once

#include <LibCore/Time.h>
#include <LibPlacement/EndpointNotice.h>

namespace auburnhitch {

/// Limits the rate of requests by a token bucket that is empty at first. Owns no clock. Not
/// thread-safe.
class TokenBucket
{
public:
  TokenBucket(RequestRate aRate, TimePoint aNow);

  /// Tokens that have accumulated until now are kept.
  void SetRate(RequestRate aRate, TimePoint aNow);
  bool HasToken(TimePoint aNow) const { return LevelAt(aNow) >= 1; }
  /// Takes a token whether or not there is one: the level may become negative.
  void Take(TimePoint aNow);

private:
  double Capacity() const;
  double LevelAt(TimePoint aNow) const;

  RequestRate m_rate;
  double m_level = 0;
  TimePoint m_refilled_at;
};

}
