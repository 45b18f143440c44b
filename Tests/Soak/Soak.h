#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace auburnhitch::tests {

struct SoakOptions
{
  unsigned m_seed = 1;
  std::chrono::milliseconds m_length{ 10'000 };
  std::size_t m_daemons = 4;
  std::size_t m_endpoints = 5;
  std::size_t m_callers = 12;
  /// Where the logs of daemons are kept when something was violated; empty: nowhere.
  std::string m_log_directory;
};

struct SoakResult
{
  std::vector<std::string> m_violations;
  /// The faults in the order in which they were injected, with their time in milliseconds.
  std::vector<std::string> m_faults;
  /// Answers by status, and the same as text.
  int m_served = 0;
  std::string m_summary;
};

/// Runs real daemons as processes before endpoints and a store that misbehave, with callers that
/// press all the while, and injects faults from outside in series that overlap. Checks while it
/// runs and at its end that no request which may not be repeated ran twice, that what was said not
/// to have run did not, that answers are whole and the caller's own, that no daemon ended by
/// itself, that a stopped daemon ended well, and that all is served again once the faults are over.
/// The seed decides which faults come and when; the processes' own timing is not repeated.
SoakResult
RunSoak(const SoakOptions& aOptions);

}
