#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace auburnhitch::tests {

/// A process started by a test. The destructor kills it if it still runs.
class ChildProcess
{
public:
  /// Starts a program. Its standard output and standard error are appended to a file.
  ChildProcess(const std::vector<std::string>& aCommand, const std::string& aOutputPath);
  ~ChildProcess();
  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess& operator=(ChildProcess&&) = delete;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int aSignal) const;
  /// Whether the process blocks, ignores or handles a signal, so that it does not end by it. No
  /// program does before its first instruction.
  bool HandlesSignal(int aSignal) const;
  /// The exit status, -SIGNAL if a signal ended the process, or nothing while it runs.
  std::optional<int> ExitStatus();
  pid_t Pid() const { return m_pid; }
  /// User and system processor time used so far, in seconds.
  double ProcessorSeconds() const;
  /// Resident memory in bytes.
  std::size_t ResidentBytes() const;

private:
  pid_t m_pid = -1;
  std::optional<int> m_status;
};

}
