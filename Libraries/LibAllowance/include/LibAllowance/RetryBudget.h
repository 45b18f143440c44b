#pragma once

#include <LibCore/StrongString.h>
#include <LibCore/Time.h>
#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <deque>

namespace auburnhitch {

/// The limit of the retries of a service in a window, over all daemons.
struct RetryBudgetLimits
{
  /// Share of the requests that may be retried.
  double m_ratio = 0.2;
  /// Retries that are allowed in addition, for all daemons together.
  double m_slack_retries = 50;
  Milliseconds m_window{ 10'000 };
  /// Share of the limit that is used, since the window in which the limit applies and this one do
  /// not coincide.
  double m_used_share = 0.8;

  bool operator==(const RetryBudgetLimits&) const = default;
};

/// Enforces one daemon's share of the retry limit of each service: the ratio of the requests that
/// it received itself, and an even share of the slack. The shares of all daemons add up to the
/// limit without any message between them. Owns no clock. Not thread-safe.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /// Sets how many daemons share the slack.
  void SetDaemonCount(std::size_t aKnown) { m_daemon_count = std::max(aKnown, std::size_t{ 1 }); }
  void RecordRequest(const ServiceName& aService, TimePoint aNow);
  /// Counts one retry if the budget allows it. Returns whether it does.
  bool TryRetry(const ServiceName& aService, TimePoint aNow);

private:
  struct Usage
  {
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
  };

  void DropExpired(Usage& aUsage, TimePoint aNow) const;

  RetryBudgetLimits m_limits;
  std::size_t m_daemon_count = 1;
  absl::flat_hash_map<ServiceName, Usage> m_usage;
};

}
