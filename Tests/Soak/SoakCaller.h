#pragma once

#include "SoakChecker.h"

#include <atomic>
#include <chrono>
#include <random>
#include <thread>

namespace auburnhitch::tests {

/// One caller in a thread of its own. Sends requests of all kinds to the daemons, over new and
/// reused connections, and records the responses in the checker.
class SoakCaller
{
public:
  /// aIsHarmful: whether some of its prompts have a part that crashes endpoints. aRepeatsCrash:
  /// whether it sometimes sends the request that crashes them. aExpectsWhole: whether a response
  /// that ends incomplete before the deadline of its request is a violation.
  SoakCaller(const GatewayCluster& aCluster,
             std::size_t aDaemons,
             SoakChecker& aChecker,
             unsigned aSeed,
             bool aIsHarmful,
             bool aRepeatsCrash,
             bool aExpectsWhole = false);
  /// Waits for the request in progress.
  ~SoakCaller();
  SoakCaller(const SoakCaller&) = delete;
  SoakCaller& operator=(const SoakCaller&) = delete;

private:
  void Run();
  /// Sends a request over the open connection, if there is one, and records the response.
  CallerResponse Send(const SoakRequest& aRequest);
  /// Resumes a stream that broke off, as long as there are attempts left.
  void Resume(SoakRequest aRequest, CallerResponse aResponse);
  /// Records a violation if a response without its end came long before the deadline.
  void CheckWhole(const SoakRequest& aRequest,
                  const CallerResponse& aResponse,
                  std::chrono::steady_clock::duration aTook);
  CallerResponse Exchange(std::size_t aDaemon, const std::string& aRequest);
  void CloseConnection();
  /// The header field with the parts of a request's prompt.
  std::string PromptOf(const SoakRequest& aRequest);

  const GatewayCluster& m_cluster;
  std::size_t m_daemons;
  SoakChecker& m_checker;
  unsigned m_seed;
  bool m_is_harmful;
  bool m_repeats_crash;
  bool m_expects_whole;
  /// Whether the caller has left before the last response.
  bool m_has_left = false;
  std::mt19937 m_random;
  int m_socket = -1;
  std::size_t m_connected_to = 0;
  std::atomic<bool> m_is_stopping = false;
  std::thread m_thread;
};

}
