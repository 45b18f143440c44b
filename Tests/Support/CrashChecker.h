#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace auburnhitch::tests {

/// Checks what daemons do about parts of prompts, or whole requests, that crash endpoints: how many
/// such requests reach endpoints after so many crashes, and whether other requests are still
/// served. Thread-safe.
class CrashChecker
{
public:
  using Clock = std::chrono::steady_clock;

  /// aCrashesUntilBound: crashes under one part or request after which the bound applies.
  explicit CrashChecker(std::size_t aCrashesUntilBound = 5)
    : m_crashes_until_bound(aCrashesUntilBound)
  {
  }

  /// A request that crashes endpoints reached an endpoint. aHarm: the part or request. aDaemon: the
  /// one that sent it.
  void RecordArrival(const std::string& aHarm,
                     std::size_t aDaemon,
                     Clock::time_point aAt = Clock::now());
  /// An endpoint crashed under such a request.
  void RecordCrash(const std::string& aHarm, Clock::time_point aAt = Clock::now());
  /// A caller sent a harmless request, and its response began or not.
  void RecordHarmless(bool aHasBegun, Clock::time_point aSentAt);
  /// A daemon is stopped, killed or paused from now on, or serves again.
  void RecordDisturbance(std::size_t aDaemon, bool aIsOver, Clock::time_point aAt = Clock::now());

  /// Parts and requests that reached endpoints more often than allowed.
  std::vector<std::string> Violations() const;
  /// Number of crashes under a part or request.
  std::size_t CrashesOf(const std::string& aHarm) const;
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

  std::size_t m_crashes_until_bound;
  mutable std::mutex m_mutex;
  std::map<std::string, std::vector<Arrival>> m_arrivals;
  std::map<std::string, std::vector<Clock::time_point>> m_crashes;
  std::vector<std::pair<Clock::time_point, bool>> m_harmless;
  std::map<std::size_t, std::vector<Disturbance>> m_disturbances;
};

}
