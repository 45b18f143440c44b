#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <random>

namespace auburnhitch::tests {

/// The events of a simulation in the order of their time; those of the same time run in the order
/// in which they were scheduled. Times are in milliseconds.
class EventQueue
{
public:
  void Schedule(double aAt, std::function<void()> aRun);
  /// Runs an action at random times, this many times a second on average, until a time.
  void ScheduleEach(std::mt19937& aRandom,
                    double aFrom,
                    double aUntil,
                    double aPerSecond,
                    std::function<void()> aRun);
  /// Advances the time to that of the next event and runs it. Returns whether there was one.
  bool RunNext();
  double Now() const { return m_now; }

private:
  struct Event
  {
    double m_at;
    std::uint64_t m_order;
    std::function<void()> m_run;

    bool operator<(const Event& aOther) const
    {
      return std::pair(m_at, m_order) > std::pair(aOther.m_at, aOther.m_order);
    }
  };

  std::priority_queue<Event> m_events;
  std::uint64_t m_last_event = 0;
  double m_now = 0;
};

}
