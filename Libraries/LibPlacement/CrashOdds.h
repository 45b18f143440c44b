#pragma once

#include <algorithm>
#include <cmath>

namespace auburnhitch {

/// The bounds of the log odds that a trait crashes endpoints.
inline constexpr double kMinLogOdds = -12;
inline constexpr double kMaxLogOdds = 7;
/// Another trait explains a crash in place of this one only if its log odds are higher by this
/// much: traits that always occur together cannot be told apart.
inline constexpr double kAlternativeMargin = 1;

inline double
LogOddsOf(double aProbability)
{
  constexpr double kMargin = 1e-9;
  const double probability = std::clamp(aProbability, kMargin, 1 - kMargin);
  return std::log(probability / (1 - probability));
}

inline double
ProbabilityOf(double aLogOdds)
{
  return 1 / (1 + std::exp(-aLogOdds));
}

}
