#include "CrashChecker.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace auburnhitch::tests {

namespace {

using Ms = std::chrono::milliseconds;

constexpr std::ptrdiff_t kMaxArrivals = 3;
// Time from the last of those crashes until the bound applies, and after a disturbance until a
// daemon counts.
constexpr Ms kContactTime{ 3'000 };

}

void
CrashChecker::RecordArrival(const std::string& aHarm, std::size_t aDaemon, Clock::time_point aAt)
{
  const std::lock_guard lock(m_mutex);
  m_arrivals[aHarm].push_back({ aDaemon, aAt });
}

void
CrashChecker::RecordCrash(const std::string& aHarm, Clock::time_point aAt)
{
  const std::lock_guard lock(m_mutex);
  m_crashes[aHarm].push_back(aAt);
}

void
CrashChecker::RecordHarmless(bool aHasBegun, Clock::time_point aSentAt)
{
  const std::lock_guard lock(m_mutex);
  m_harmless.emplace_back(aSentAt, aHasBegun);
}

void
CrashChecker::RecordDisturbance(std::size_t aDaemon, bool aIsOver, Clock::time_point aAt)
{
  const std::lock_guard lock(m_mutex);
  std::vector<Disturbance>& disturbances = m_disturbances[aDaemon];
  if (!aIsOver) {
    disturbances.push_back({ aAt });
  } else if (!disturbances.empty()) {
    disturbances.back().m_until = aAt + kContactTime;
  }
}

bool
CrashChecker::IsExempt(const Arrival& aArrival) const
{
  const auto found = m_disturbances.find(aArrival.m_daemon);
  return found != m_disturbances.end() &&
         std::any_of(
           found->second.begin(), found->second.end(), [&](const Disturbance& aDisturbance) {
             return aArrival.m_at >= aDisturbance.m_from && aArrival.m_at <= aDisturbance.m_until;
           });
}

std::vector<std::string>
CrashChecker::Violations() const
{
  const std::lock_guard lock(m_mutex);
  std::vector<std::string> violations;
  for (const auto& [harm, crashes] : m_crashes) {
    const auto arrivals = m_arrivals.find(harm);
    if (crashes.size() < m_crashes_until_bound || arrivals == m_arrivals.end()) {
      continue;
    }
    const Clock::time_point bound_from = crashes[m_crashes_until_bound - 1] + kContactTime;
    const auto late =
      std::count_if(arrivals->second.begin(), arrivals->second.end(), [&](const Arrival& aArrival) {
        return aArrival.m_at > bound_from && !IsExempt(aArrival);
      });
    if (late > kMaxArrivals) {
      violations.push_back(absl::StrCat("requests with ",
                                        harm,
                                        " reached endpoints ",
                                        late,
                                        " times more; ",
                                        crashes.size(),
                                        " endpoints crashed"));
    }
  }
  return violations;
}

std::size_t
CrashChecker::CrashesOf(const std::string& aHarm) const
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_crashes.find(aHarm);
  return found == m_crashes.end() ? 0 : found->second.size();
}

double
CrashChecker::ShareBegun(Clock::time_point aFrom, Clock::time_point aUntil) const
{
  const std::lock_guard lock(m_mutex);
  double sent = 0;
  double begun = 0;
  for (const auto& [sent_at, has_begun] : m_harmless) {
    if (sent_at >= aFrom && sent_at < aUntil) {
      ++sent;
      begun += has_begun ? 1 : 0;
    }
  }
  return sent > 0 ? begun / sent : 0;
}

}
