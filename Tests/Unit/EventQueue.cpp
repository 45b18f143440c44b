#include "EventQueue.h"

namespace auburnhitch::tests {

void
EventQueue::Schedule(double aAt, std::function<void()> aRun)
{
  m_events.push(Event{ aAt, ++m_last_event, std::move(aRun) });
}

void
EventQueue::ScheduleEach(std::mt19937& aRandom,
                         double aFrom,
                         double aUntil,
                         double aPerSecond,
                         std::function<void()> aRun)
{
  constexpr double kMillisecondsPerSecond = 1'000;
  const double at =
    aFrom + std::exponential_distribution<double>(aPerSecond)(aRandom) * kMillisecondsPerSecond;
  if (at < aUntil) {
    Schedule(at, [this, &aRandom, at, aUntil, aPerSecond, run = std::move(aRun)] {
      run();
      ScheduleEach(aRandom, at, aUntil, aPerSecond, run);
    });
  }
}

bool
EventQueue::RunNext()
{
  if (m_events.empty()) {
    return false;
  }
  const Event event = m_events.top();
  m_events.pop();
  m_now = event.m_at;
  event.m_run();
  return true;
}

}
