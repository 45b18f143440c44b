#pragma once

#include <LibCore/StrongString.h>
#include <LibCore/Time.h>
#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <deque>

namespace auburnhitch {

/// How many repeated sends a service bears in a window, over all daemons.
struct RetryBudgetLimits
{
  /// Part of the requests that may be sent once more.
  double m_ratio = 0.2;
  /// Repeats that are allowed besides, for all daemons together.
  double m_slack_retries = 50;
  Milliseconds m_window{ 10'000 };
  /// Part of the bound that is used, since the window of the bound and this one do not coincide.
  double m_used_share = 0.8;

  bool operator==(const RetryBudgetLimits&) const = default;
};

/// Keeps one daemon's part of the repeats of each service: the ratio of the requests that it took
/// itself, and an even share of the slack, so that the daemons' parts add up to the bound without
/// any message between them. Pure: owns no clock. Not thread-safe.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /// Tells how many daemons share the slack.
  void SetDaemonCount(std::size_t aKnown) { m_daemon_count = std::max(aKnown, std::size_t{ 1 }); }
  void RecordRequest(const ServiceName& aService, TimePoint aNow);
  /// Counts one repeat if the budget allows it.
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
