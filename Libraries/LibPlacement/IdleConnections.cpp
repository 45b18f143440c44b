#include <LibPlacement/IdleConnections.h>

#include <algorithm>

namespace auburnhitch {

namespace {

// Time between the end of a response at its daemon and the arrival there of a later grant, beyond
// what the coordinator sees: a report and a grant between data centres.
constexpr Milliseconds kReportDelay{ 20 };

bool
IsExpired(TimePoint aIdleSince, TimePoint aNow)
{
  return aNow - aIdleSince >= kIdleConnectionLifetime - kReportDelay;
}

}

void
IdleConnections::RecordIdle(const Incarnation& aDaemon, TimePoint aNow)
{
  std::vector<TimePoint>& idle = m_idle_since[aDaemon];
  std::erase_if(idle, [aNow](TimePoint aSince) { return IsExpired(aSince, aNow); });
  idle.push_back(aNow);
}

void
IdleConnections::RecordUsed(const Incarnation& aDaemon, TimePoint aNow)
{
  const auto found = m_idle_since.find(aDaemon);
  if (found == m_idle_since.end()) {
    return;
  }
  found->second.pop_back();
  if (found->second.empty() || IsExpired(found->second.back(), aNow)) {
    m_idle_since.erase(found);
  }
}

bool
IdleConnections::Has(const Incarnation& aDaemon, TimePoint aNow) const
{
  const auto found = m_idle_since.find(aDaemon);
  return found != m_idle_since.end() && !IsExpired(found->second.back(), aNow);
}

}
