#pragma once

#include <csignal>
#include <initializer_list>

namespace auburnhitch {

/// Blocks signals of the calling thread, and of threads that it starts, until this object is
/// destroyed; those that arrive meanwhile are delivered then. Keeps a process from being ended by a
/// signal for which it has not installed its handler yet. Not thread-safe.
class BlockedSignals
{
public:
  explicit BlockedSignals(std::initializer_list<int> aSignals);
  /// Restores the signal mask that was in force before.
  ~BlockedSignals();
  BlockedSignals(const BlockedSignals&) = delete;
  BlockedSignals& operator=(const BlockedSignals&) = delete;

private:
  sigset_t m_previous{};
};

}
