#include <LibGateway/StopSchedule.h>

#include <algorithm>

namespace auburnhitch {

namespace {

// The end of the grace is reserved for leaving the event loop and the process.
constexpr Milliseconds kReserve{ 400 };

// Shares of the time until the process ends.
constexpr double kAccepting = 0.35;
constexpr double kWaiting = 0.6;
// What remains is for a slow caller to read the response.
constexpr double kRunning = 0.9;

}

StopSchedule::StopSchedule(TimePoint aBegunAt, Milliseconds aGrace)
  : m_begun_at(aBegunAt)
  , m_duration(std::max(Milliseconds(0), aGrace - kReserve))
{
}

TimePoint
StopSchedule::After(double aShare) const
{
  return m_begun_at + std::chrono::duration_cast<Duration>(m_duration * aShare);
}

TimePoint
StopSchedule::AcceptsUntil() const
{
  return After(kAccepting);
}

TimePoint
StopSchedule::WaitsUntil() const
{
  return After(kWaiting);
}

TimePoint
StopSchedule::RunsUntil() const
{
  return After(kRunning);
}

TimePoint
StopSchedule::EndsAt() const
{
  return m_begun_at + m_duration;
}

}
