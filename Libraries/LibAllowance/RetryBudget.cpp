#include <LibAllowance/RetryBudget.h>

namespace auburnhitch {

void
RetryBudget::DropExpired(Usage& aUsage, TimePoint aNow) const
{
  const auto drop = [&](std::deque<TimePoint>& aTimes) {
    while (!aTimes.empty() && aNow - aTimes.front() > m_limits.m_window) {
      aTimes.pop_front();
    }
  };
  drop(aUsage.m_requests);
  drop(aUsage.m_retries);
}

void
RetryBudget::RecordRequest(const ServiceName& aService, TimePoint aNow)
{
  Usage& usage = m_usage[aService];
  DropExpired(usage, aNow);
  usage.m_requests.push_back(aNow);
}

bool
RetryBudget::TryRetry(const ServiceName& aService, TimePoint aNow)
{
  Usage& usage = m_usage[aService];
  DropExpired(usage, aNow);
  const double allowed =
    m_limits.m_used_share * (m_limits.m_ratio * static_cast<double>(usage.m_requests.size()) +
                             m_limits.m_slack_retries / static_cast<double>(m_daemon_count));
  if (static_cast<double>(usage.m_retries.size()) + 1 > allowed) {
    return false;
  }
  usage.m_retries.push_back(aNow);
  return true;
}

}
