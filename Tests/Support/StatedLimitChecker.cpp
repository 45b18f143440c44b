#include "StatedLimitChecker.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace auburnhitch::tests {

namespace {

using Ms = std::chrono::milliseconds;

constexpr Ms kWindow{ 4'000 };
constexpr double kTolerance = 1.5;
constexpr double kSlackRequests = 5;
// A limit applies to windows that end this long after the endpoint stated it first.
constexpr Ms kInForceAfter{ 3'000 };
// A daemon counts from this long after it received a statement.
constexpr Ms kNotifiedFor{ 500 };
// A daemon that was disturbed counts again after this time.
constexpr Ms kRecoveryTime{ 3'000 };

}

void
StatedLimitChecker::SetLimit(std::optional<double> aPerSecond, Clock::time_point aAt)
{
  const std::lock_guard lock(m_mutex);
  if (!m_periods.empty() && !m_periods.back().m_until) {
    m_periods.back().m_until = aAt;
  }
  if (aPerSecond) {
    m_periods.push_back({ *aPerSecond, aAt, std::nullopt });
  }
}

std::optional<double>
StatedLimitChecker::Limit() const
{
  const std::lock_guard lock(m_mutex);
  return m_periods.empty() || m_periods.back().m_until
           ? std::nullopt
           : std::optional(m_periods.back().m_per_second);
}

void
StatedLimitChecker::RecordArrival(std::size_t aDaemon, Clock::time_point aAt)
{
  const std::lock_guard lock(m_mutex);
  m_arrivals.push_back({ aDaemon, aAt });
}

void
StatedLimitChecker::RecordNotified(std::size_t aDaemon, Clock::time_point aAt)
{
  const std::lock_guard lock(m_mutex);
  m_notified.push_back({ aDaemon, aAt });
}

void
StatedLimitChecker::BeginDisturbance(std::size_t aDaemon, Clock::time_point aAt)
{
  const std::lock_guard lock(m_mutex);
  m_disturbances[aDaemon].push_back({ aAt, std::nullopt });
}

void
StatedLimitChecker::EndDisturbance(std::size_t aDaemon, Clock::time_point aAt)
{
  const std::lock_guard lock(m_mutex);
  if (auto& disturbances = m_disturbances[aDaemon]; !disturbances.empty()) {
    disturbances.back().m_until = aAt;
  }
}

void
StatedLimitChecker::RecordDisturbance(std::size_t aDaemon,
                                      Clock::time_point aFrom,
                                      Clock::time_point aUntil)
{
  const std::lock_guard lock(m_mutex);
  // Before those that last, so that EndDisturbance() ends the last one that has begun.
  auto& disturbances = m_disturbances[aDaemon];
  disturbances.insert(disturbances.begin(), { aFrom, aUntil });
}

bool
StatedLimitChecker::IsExempt(const Event& aArrival) const
{
  const auto found = m_disturbances.find(aArrival.m_daemon);
  return found != m_disturbances.end() &&
         std::any_of(
           found->second.begin(), found->second.end(), [&](const Disturbance& aDisturbance) {
             return aArrival.m_at >= aDisturbance.m_from &&
                    (!aDisturbance.m_until ||
                     aArrival.m_at <= *aDisturbance.m_until + kRecoveryTime);
           });
}

void
StatedLimitChecker::CheckPeriod(const Period& aPeriod, std::vector<std::string>& aViolations) const
{
  const double allowed =
    kTolerance * aPeriod.m_per_second * std::chrono::duration<double>(kWindow).count() +
    kSlackRequests;
  std::map<std::size_t, Clock::time_point> notified_at;
  for (const Event& notified : m_notified) {
    if (notified.m_at >= aPeriod.m_from) {
      notified_at.emplace(notified.m_daemon, notified.m_at);
    }
  }
  std::vector<Clock::time_point> counted;
  for (const Event& arrival : m_arrivals) {
    if (arrival.m_at < aPeriod.m_from || (aPeriod.m_until && arrival.m_at > *aPeriod.m_until)) {
      continue;
    }
    const auto notified = notified_at.find(arrival.m_daemon);
    if (notified == notified_at.end() || arrival.m_at - notified->second < kNotifiedFor ||
        IsExempt(arrival)) {
      continue;
    }
    counted.push_back(arrival.m_at);
    std::erase_if(counted, [&](Clock::time_point aAt) { return arrival.m_at - aAt >= kWindow; });
    if (arrival.m_at - aPeriod.m_from >= kInForceAfter &&
        static_cast<double>(counted.size()) > allowed) {
      aViolations.push_back(absl::StrCat("an endpoint that states a limit of ",
                                         aPeriod.m_per_second,
                                         " requests a second received ",
                                         counted.size(),
                                         " in 4 s, expected at most ",
                                         allowed));
    }
  }
}

std::vector<std::string>
StatedLimitChecker::Violations() const
{
  const std::lock_guard lock(m_mutex);
  std::vector<std::string> violations;
  for (const Period& period : m_periods) {
    CheckPeriod(period, violations);
  }
  return violations;
}

std::size_t
StatedLimitChecker::ArrivalsWhileLimited() const
{
  const std::lock_guard lock(m_mutex);
  return static_cast<std::size_t>(
    std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](const Event& aArrival) {
      return std::any_of(m_periods.begin(), m_periods.end(), [&](const Period& aPeriod) {
        return aArrival.m_at >= aPeriod.m_from &&
               (!aPeriod.m_until || aArrival.m_at <= *aPeriod.m_until);
      });
    }));
}

}
