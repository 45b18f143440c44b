#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace auburnhitch {

/// Monotonic time of this process. Code that makes decisions takes it as an argument and owns no
/// clock.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Milliseconds = std::chrono::milliseconds;

/// The duration in whole milliseconds, rounded towards zero.
inline std::int64_t
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<Milliseconds>(aDuration).count();
}

/// The time left until a deadline in milliseconds, rounded up, at least 1.
inline Milliseconds
TimeLeft(TimePoint aDeadline, TimePoint aNow)
{
  return std::max(Milliseconds(1), std::chrono::ceil<Milliseconds>(aDeadline - aNow));
}

}
