#include "ChildProcess.h"

#include <csignal>
#include <cstdint>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace auburnhitch::tests {

ChildProcess::ChildProcess(const std::vector<std::string>& aCommand, const std::string& aOutputPath)
{
  std::vector<char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (const std::string& argument : aCommand) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, aOutputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&m_pid, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start program " + aCommand[0]);
  }
}

ChildProcess::ChildProcess(ChildProcess&& aOther) noexcept
  : m_pid(aOther.m_pid)
  , m_status(aOther.m_status)
{
  aOther.m_pid = -1;
}

ChildProcess::~ChildProcess()
{
  if (m_pid > 0 && !ExitStatus()) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
}

void
ChildProcess::Signal(int aSignal) const
{
  if (m_pid > 0 && !m_status) {
    kill(m_pid, aSignal);
  }
}

bool
ChildProcess::HandlesSignal(int aSignal) const
{
  std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
  std::uint64_t handled = 0;
  for (std::string line; std::getline(file, line);) {
    const std::string name = line.substr(0, line.find(':'));
    if (name == "SigBlk" || name == "SigIgn" || name == "SigCgt") {
      constexpr int kHexadecimal = 16;
      handled |= std::stoull(line.substr(name.size() + 1), nullptr, kHexadecimal);
    }
  }
  return ((handled >> (aSignal - 1)) & 1U) != 0;
}

std::optional<int>
ChildProcess::ExitStatus()
{
  int status = 0;
  if (!m_status && m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
    m_status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  return m_status;
}

double
ChildProcess::ProcessorSeconds() const
{
  std::ifstream file("/proc/" + std::to_string(m_pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  constexpr int kFieldsBeforeUserTime = 11;
  for (int field = 0; field < kFieldsBeforeUserTime; ++field) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::size_t
ChildProcess::ResidentBytes() const
{
  std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}
