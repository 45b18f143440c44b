#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace auburnhitch::tests {

/// Checks what daemons do about parts of prompts that crash endpoints: how many requests with such
/// a part reach endpoints after the fifth crash, and whether requests without one are still served.
/// Thread-safe.
class CrashChecker
{
public:
  using Clock = std::chrono::steady_clock;

  /// A request with a part that crashes endpoints reached an endpoint. aDaemon: the one that sent
  /// it.
  void RecordArrival(const std::string& aPart,
                     std::size_t aDaemon,
                     Clock::time_point aAt = Clock::now());
  /// An endpoint crashed under a request with this part.
  void RecordCrash(const std::string& aPart, Clock::time_point aAt = Clock::now());
  /// A caller sent a request without such a part, and its response began or not.
  void RecordHarmless(bool aHasBegun, Clock::time_point aSentAt);
  /// A daemon is stopped, killed or paused from now on, or serves again.
  void RecordDisturbance(std::size_t aDaemon, bool aIsOver, Clock::time_point aAt = Clock::now());

  /// Parts with which more requests reached endpoints after the fifth crash than allowed.
  std::vector<std::string> Violations() const;
  /// Number of crashes under requests with a part.
  std::size_t CrashesOf(const std::string& aPart) const;
  /// The share of the harmless requests sent between two times whose responses began.
  double ShareBegun(Clock::time_point aFrom, Clock::time_point aUntil) const;

private:
  struct Arrival
  {
    std::size_t m_daemon = 0;
    Clock::time_point m_at;
  };

  struct Disturbance
  {
    Clock::time_point m_from;
    Clock::time_point m_until = Clock::time_point::max();
  };

  bool IsExempt(const Arrival& aArrival) const;

  mutable std::mutex m_mutex;
  std::map<std::string, std::vector<Arrival>> m_arrivals;
  std::map<std::string, std::vector<Clock::time_point>> m_crashes;
  std::vector<std::pair<Clock::time_point, bool>> m_harmless;
  std::map<std::size_t, std::vector<Disturbance>> m_disturbances;
};

}
