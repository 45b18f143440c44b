#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace auburnhitch::tests {

/// Checks that no daemon sends one incarnation of an endpoint further requests once it has
/// forwarded a response in which the endpoint said that it leaves. Only a restart or a pause of the
/// daemon excuses it. Thread-safe.
class LeavingChecker
{
public:
  using Clock = std::chrono::steady_clock;

  /// Another incarnation of the endpoint starts: what is known of this one no longer counts.
  void Restart();
  /// A daemon has forwarded a response in which the endpoint said that it leaves.
  void RecordForwarded(std::size_t aDaemon, Clock::time_point aAt = Clock::now());
  /// The endpoint received a request, which its caller had sent to a daemon at a time.
  void RecordArrival(std::size_t aDaemon, Clock::time_point aSentAt, const std::string& aRequestId);
  /// A daemon is restarted or resumed.
  void RecordDisturbance(std::size_t aDaemon);

  std::vector<std::string> Violations() const;
  /// How many daemons have forwarded such a response of the present incarnation.
  std::size_t DaemonsThatForwarded() const;

private:
  mutable std::mutex m_mutex;
  /// When each daemon forwarded the first such response.
  std::map<std::size_t, Clock::time_point> m_forwarded_at;
  std::vector<std::string> m_violations;
};

}
