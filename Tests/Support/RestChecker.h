#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace auburnhitch::tests {

/// Checks that an endpoint that has asked a daemon for rest gets at most two requests from it
/// between half a second later and the end of the rest. Only a restart, a pause or a cut of the
/// daemon excuses more. Thread-safe.
class RestChecker
{
public:
  using Clock = std::chrono::steady_clock;

  /// The endpoint has refused a request of a daemon and asked for rest.
  void RecordRest(std::size_t aDaemon,
                  std::int64_t aIncarnation,
                  std::chrono::milliseconds aRest,
                  Clock::time_point aAt = Clock::now());
  /// The endpoint received a request.
  void RecordArrival(std::size_t aDaemon,
                     std::int64_t aIncarnation,
                     Clock::time_point aAt = Clock::now());
  /// A daemon is restarted, paused, resumed or cut off. What it was asked before does not bind it.
  void RecordDisturbance(std::size_t aDaemon);

  std::vector<std::string> Violations() const;
  /// How often an endpoint has asked for rest.
  std::size_t RestCount() const;

private:
  struct Rest
  {
    std::size_t m_daemon = 0;
    std::int64_t m_incarnation = 0;
    std::chrono::milliseconds m_length{ 0 };
    Clock::time_point m_asked_at;
    std::size_t m_arrivals = 0;
    bool m_is_excused = false;
  };

  mutable std::mutex m_mutex;
  std::vector<Rest> m_rests;
};

}
