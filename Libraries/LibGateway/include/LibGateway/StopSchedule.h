#pragma once

#include <LibCore/Time.h>
#include <compare>

namespace auburnhitch {

/// When a daemon that stops ends the requests that it still has. Each caller gets a response early
/// enough to read it before the process ends. Immutable, and thread-safe for that reason.
class StopSchedule
{
public:
  /// aGrace: time from the signal to stop until the process is killed.
  StopSchedule(TimePoint aBegunAt, Milliseconds aGrace);

  TimePoint BegunAt() const { return m_begun_at; }
  /// Until then requests that arrive are accepted. The remainder is for completing them.
  TimePoint AcceptsUntil() const;
  /// Until then a request may wait for an endpoint. Afterwards another daemon serves it sooner.
  TimePoint WaitsUntil() const;
  /// Until then an endpoint may begin its response. Afterwards the caller is told that the outcome
  /// is unknown.
  TimePoint RunsUntil() const;
  /// Until then responses that have begun are forwarded. The process ends then, before it is
  /// killed.
  TimePoint EndsAt() const;

  auto operator<=>(const StopSchedule&) const = default;

private:
  TimePoint After(double aShare) const;

  TimePoint m_begun_at;
  /// From the signal until the process ends by itself.
  Milliseconds m_duration;
};

}
