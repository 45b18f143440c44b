#pragma once

#include <LibCore/Time.h>
#include <map>
#include <optional>

namespace auburnhitch {

/// Measures how many requests of each priority are granted slots, so that the wait of a new one can
/// be expected without an estimate of how long requests hold their slots. Responds to services
/// whose endpoints differ in speed or turn slow. Pure: owns no clock. Not thread-safe.
class GrantRates
{
public:
  void Record(int aPriority, TimePoint aNow);
  /// Requests of this priority and lower ones that are granted slots in a second; at least a tenth
  /// of those of all priorities. Nothing while too few were granted lately.
  std::optional<double> RateFrom(int aPriority, TimePoint aNow) const;

private:
  struct Count
  {
    /// Exponentially decaying.
    double m_granted = 0;
    TimePoint m_decayed_at;

    double At(TimePoint aNow) const;
  };

  std::map<int, Count> m_counts;
};

}
