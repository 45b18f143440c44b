#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace auburnhitch::tests {

/// Compares the requests that one endpoint receives with the limit that it names, summed over the
/// daemons that it has told. Thread-safe.
class NamedLimitChecker
{
public:
  using Clock = std::chrono::steady_clock;

  /// The endpoint names a limit from now on, or none.
  void SetLimit(std::optional<double> aPerSecond, Clock::time_point aAt = Clock::now());
  std::optional<double> Limit() const;
  /// The endpoint received a request from this daemon.
  void RecordArrival(std::size_t aDaemon, Clock::time_point aAt = Clock::now());
  /// This daemon has forwarded a response that names the current limit.
  void RecordTold(std::size_t aDaemon, Clock::time_point aAt = Clock::now());
  /// A daemon is stopped, paused or cut off from now on.
  void BeginDisturbance(std::size_t aDaemon, Clock::time_point aAt = Clock::now());
  void EndDisturbance(std::size_t aDaemon, Clock::time_point aAt = Clock::now());

  /// Each window in which the endpoint received more requests than its limit allows.
  std::vector<std::string> Violations() const;
  /// Number of requests that arrived while a limit was named.
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

  bool IsExcused(const Event& aArrival) const;
  void CheckPeriod(const Period& aPeriod, std::vector<std::string>& aViolations) const;

  mutable std::mutex m_mutex;
  std::vector<Period> m_periods;
  std::vector<Event> m_arrivals;
  std::vector<Event> m_told;
  std::map<std::size_t, std::vector<Disturbance>> m_disturbances;
};

}
