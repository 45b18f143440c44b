#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace auburnhitch::tests {

/// Compares the requests that one endpoint receives from all daemons together with the limit that
/// it states. Counts only daemons that have received a statement. Thread-safe.
class StatedLimitChecker
{
public:
  using Clock = std::chrono::steady_clock;

  /// The endpoint states a limit from now on, or none.
  void SetLimit(std::optional<double> aPerSecond, Clock::time_point aAt = Clock::now());
  std::optional<double> Limit() const;
  /// The endpoint received a request from this daemon.
  void RecordArrival(std::size_t aDaemon, Clock::time_point aAt = Clock::now());
  /// This daemon has forwarded a response that states the current limit.
  void RecordNotified(std::size_t aDaemon, Clock::time_point aAt = Clock::now());
  /// A daemon is stopped, killed or paused from now on.
  void BeginDisturbance(std::size_t aDaemon, Clock::time_point aAt = Clock::now());
  void EndDisturbance(std::size_t aDaemon, Clock::time_point aAt = Clock::now());
  /// As BeginDisturbance() and EndDisturbance(), for a disturbance whose end is known.
  void RecordDisturbance(std::size_t aDaemon, Clock::time_point aFrom, Clock::time_point aUntil);

  /// Each window in which the endpoint received more requests than its limit allows.
  std::vector<std::string> Violations() const;
  /// Number of requests that arrived while a limit was stated.
  std::size_t ArrivalsWhileLimited() const;

private:
  struct Period
  {
    double m_per_second = 0;
    Clock::time_point m_from;
    std::optional<Clock::time_point> m_until;
  };

  /// Something that concerns one daemon.
  struct Event
  {
    std::size_t m_daemon = 0;
    Clock::time_point m_at;
  };

  struct Disturbance
  {
    Clock::time_point m_from;
    std::optional<Clock::time_point> m_until;
  };

  bool IsExempt(const Event& aArrival) const;
  void CheckPeriod(const Period& aPeriod, std::vector<std::string>& aViolations) const;

  mutable std::mutex m_mutex;
  std::vector<Period> m_periods;
  std::vector<Event> m_arrivals;
  std::vector<Event> m_notified;
  std::map<std::size_t, std::vector<Disturbance>> m_disturbances;
};

}
