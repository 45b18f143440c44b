#include "RestChecker.h"

#include <absl/strings/str_cat.h>

namespace auburnhitch::tests {

namespace {

// Requests that are on their way are not counted.
constexpr std::chrono::milliseconds kSlack{ 500 };
constexpr std::size_t kMaxArrivals = 2;

}

void
RestChecker::RecordRest(std::size_t aDaemon,
                        std::int64_t aIncarnation,
                        std::chrono::milliseconds aRest,
                        Clock::time_point aAt)
{
  const std::lock_guard lock(m_mutex);
  m_rests.push_back({ aDaemon, aIncarnation, aRest, aAt });
}

void
RestChecker::RecordArrival(std::size_t aDaemon, std::int64_t aIncarnation, Clock::time_point aAt)
{
  const std::lock_guard lock(m_mutex);
  for (Rest& rest : m_rests) {
    if (rest.m_daemon == aDaemon && rest.m_incarnation == aIncarnation && !rest.m_is_excused &&
        aAt > rest.m_asked_at + kSlack && aAt < rest.m_asked_at + rest.m_length) {
      ++rest.m_arrivals;
    }
  }
}

void
RestChecker::RecordDisturbance(std::size_t aDaemon)
{
  const std::lock_guard lock(m_mutex);
  for (Rest& rest : m_rests) {
    // Arrivals before the disturbance are still violations.
    if (rest.m_daemon == aDaemon && rest.m_arrivals <= kMaxArrivals) {
      rest.m_is_excused = true;
    }
  }
}

std::vector<std::string>
RestChecker::Violations() const
{
  const std::lock_guard lock(m_mutex);
  std::vector<std::string> violations;
  for (const Rest& rest : m_rests) {
    if (rest.m_arrivals > kMaxArrivals) {
      violations.push_back(absl::StrCat("an endpoint had asked daemon ",
                                        rest.m_daemon,
                                        " for ",
                                        rest.m_length.count(),
                                        " ms of rest, and got ",
                                        rest.m_arrivals,
                                        " requests from it in that time"));
    }
  }
  return violations;
}

std::size_t
RestChecker::RestCount() const
{
  const std::lock_guard lock(m_mutex);
  return m_rests.size();
}

}
