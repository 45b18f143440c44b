#include "LeavingChecker.h"

#include <absl/strings/str_cat.h>

namespace auburnhitch::tests {

namespace {

// Requests that callers sent up to this long after the response may still arrive.
constexpr std::chrono::milliseconds kDrainTime{ 2'000 };

}

void
LeavingChecker::RecordForwarded(std::size_t aDaemon,
                                std::int64_t aIncarnation,
                                Clock::time_point aAt)
{
  const std::lock_guard lock(m_mutex);
  m_forwarded_at.emplace(std::pair(aDaemon, aIncarnation), aAt);
}

void
LeavingChecker::RecordArrival(std::size_t aDaemon,
                              std::int64_t aIncarnation,
                              Clock::time_point aSentAt,
                              const std::string& aRequestId)
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_forwarded_at.find({ aDaemon, aIncarnation });
  if (found == m_forwarded_at.end() || aSentAt <= found->second + kDrainTime) {
    return;
  }
  const auto late =
    std::chrono::duration_cast<std::chrono::milliseconds>(aSentAt - found->second).count();
  m_violations.push_back(absl::StrCat("request ",
                                      aRequestId,
                                      ", sent ",
                                      late,
                                      " ms after daemon ",
                                      aDaemon,
                                      " had forwarded that the endpoint leaves, reached it"));
}

void
LeavingChecker::RecordDisturbance(std::size_t aDaemon)
{
  const std::lock_guard lock(m_mutex);
  std::erase_if(m_forwarded_at, [&](const auto& aEntry) { return aEntry.first.first == aDaemon; });
}

std::vector<std::string>
LeavingChecker::Violations() const
{
  const std::lock_guard lock(m_mutex);
  return m_violations;
}

std::size_t
LeavingChecker::ForwardedCount() const
{
  const std::lock_guard lock(m_mutex);
  return m_forwarded_at.size();
}

}
