#pragma once

#include "SoakChecker.h"

#include <atomic>
#include <random>
#include <thread>

namespace auburnhitch::tests {

/// One caller in a thread of its own: sends requests of all kinds to daemons, over connections that
/// it keeps until they end, and tells the judge what came back.
class SoakCaller
{
public:
  SoakCaller(const GatewayCluster& aCluster, std::size_t aDaemons, Judge& aJudge, unsigned aSeed);
  /// Ends after the request in progress.
  ~SoakCaller();
  SoakCaller(const SoakCaller&) = delete;
  SoakCaller& operator=(const SoakCaller&) = delete;

private:
  void Run();
  CallerResponse Ask(std::size_t aDaemon, const std::string& aRequest);
  void CloseConnection();

  const GatewayCluster& m_cluster;
  std::size_t m_daemons;
  Judge& m_judge;
  unsigned m_seed;
  std::mt19937 m_random;
  int m_socket = -1;
  std::size_t m_connected_to = 0;
  std::atomic<bool> m_is_stopping = false;
  std::thread m_thread;
};

}
