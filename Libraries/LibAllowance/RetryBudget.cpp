#include <LibAllowance/RetryBudget.h>

namespace auburnhitch {

void
RetryBudget::DropOld(Usage& aUsage, TimePoint aNow) const
{
  const auto drop = [&](std::deque<TimePoint>& aTimes) {
    while (!aTimes.empty() && aNow - aTimes.front() > m_limits.m_window) {
      aTimes.pop_front();
    }
  };
  drop(aUsage.m_requests);
  drop(aUsage.m_repeats);
}

void
RetryBudget::NoteRequest(const ServiceName& aService, TimePoint aNow)
{
  Usage& usage = m_usage[aService];
  DropOld(usage, aNow);
  usage.m_requests.push_back(aNow);
}

bool
RetryBudget::TryRepeat(const ServiceName& aService, TimePoint aNow)
{
  Usage& usage = m_usage[aService];
  DropOld(usage, aNow);
  const double allowed =
    m_limits.m_used_part * (m_limits.m_ratio * static_cast<double>(usage.m_requests.size()) +
                            m_limits.m_slack / static_cast<double>(m_daemons));
  if (static_cast<double>(usage.m_repeats.size()) + 1 > allowed) {
    return false;
  }
  usage.m_repeats.push_back(aNow);
  return true;
}

}
