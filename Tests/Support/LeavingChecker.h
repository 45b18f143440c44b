#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace auburnhitch::tests {

/// Checks that no daemon sends an incarnation of one endpoint further requests once it has
/// forwarded a response in which that incarnation said that it leaves. Only a restart or a pause of
/// the daemon excuses it. Thread-safe.
class LeavingChecker
{
public:
  using Clock = std::chrono::steady_clock;

  /// A daemon has forwarded a response in which the endpoint said that it leaves.
  void RecordForwarded(std::size_t aDaemon,
                       std::int64_t aIncarnation,
                       Clock::time_point aAt = Clock::now());
  /// The endpoint received a request, which its caller had sent to a daemon at a time.
  void RecordArrival(std::size_t aDaemon,
                     std::int64_t aIncarnation,
                     Clock::time_point aSentAt,
                     const std::string& aRequestId);
  /// A daemon is restarted or resumed.
  void RecordDisturbance(std::size_t aDaemon);

  std::vector<std::string> Violations() const;
  /// For how many pairs of a daemon and an incarnation a statement was forwarded.
  std::size_t ForwardedCount() const;

private:
  mutable std::mutex m_mutex;
  /// When each daemon forwarded the first such response of an incarnation.
  std::map<std::pair<std::size_t, std::int64_t>, Clock::time_point> m_forwarded_at;
  std::vector<std::string> m_violations;
};

}
