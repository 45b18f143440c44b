#pragma once

#include "CrashChecker.h"
#include "GatewayCluster.h"

#include <atomic>
#include <deque>
#include <thread>

namespace auburnhitch::tests {

struct CrashingClusterOptions
{
  std::size_t m_endpoints = 6;
  std::size_t m_harmless_callers = 6;
  bool m_has_peer_network = false;
  /// Whether an endpoint that has crashed starts again under the id that it had.
  bool m_keeps_ids = false;
  /// Crashes after which few more requests may reach endpoints; see CrashChecker.
  std::size_t m_crashes_until_bound = 5;
};

/// Three daemons under load, and endpoints that crash under certain requests. An endpoint that has
/// crashed starts again after 1.5 s. Thread-safe.
class CrashingCluster
{
public:
  using Clock = CrashChecker::Clock;

  static constexpr std::size_t kDaemons = 3;

  struct Behaviour
  {
    /// What in a request crashes endpoints, by name; empty if nothing does.
    std::function<std::string(const RawRequest& aRequest)> m_harm_of;
    /// Writes a response, or what precedes the crash. Returns whether the connection may carry
    /// another request.
    std::function<bool(RawConnection& aConnection, const RawRequest& aRequest, bool aCrashes)>
      m_respond;
  };

  struct Load
  {
    /// Sends a harmless request to a daemon and returns whether it was served.
    std::function<bool(std::size_t aDaemon)> m_send_harmless;
    /// Each sends a request that crashes endpoints to a daemon. They are called at intervals with
    /// the number of the call.
    std::vector<std::function<void(std::size_t aDaemon, int aNumber)>> m_send_harmful;
  };

  CrashingCluster(CrashingClusterOptions aOptions, Behaviour aBehaviour);
  ~CrashingCluster();
  CrashingCluster(const CrashingCluster&) = delete;
  CrashingCluster& operator=(const CrashingCluster&) = delete;

  /// Sends harmless requests, then also the harmful ones, and runs aAction meanwhile; without one
  /// for 12 s.
  void Run(const Load& aLoad, const std::function<void()>& aAction = {});
  /// Lets an endpoint crash whatever it runs.
  void Crash(std::size_t aEndpoint);
  /// A new request id. It begins with the number of the daemon.
  std::string NewRequestId(std::size_t aDaemon);
  /// Kills one daemon after the other and starts it again, with pauses.
  void RestartDaemonsInTurn();

  /// Harmless requests that are served at the end, as a share of those served before the first
  /// crash.
  double HarmlessShareKept() const;
  std::string FirstViolation() const;
  bool IsLogged(const std::string& aText) const;
  CrashChecker& Checker() { return m_checker; }
  GatewayCluster& Daemons() { return m_cluster; }

private:
  bool Serve(std::size_t aEndpoint, RawConnection& aConnection, const RawRequest& aRequest);
  /// Starts the endpoints again that have crashed.
  void RunOperator();

  CrashingClusterOptions m_options;
  Behaviour m_behaviour;
  std::atomic<int> m_last_id = 0;
  std::atomic<bool> m_is_over = false;
  CrashChecker m_checker;
  std::mutex m_mutex;
  std::vector<std::string> m_ids;
  std::vector<bool> m_is_down;
  std::deque<std::pair<Clock::time_point, std::size_t>> m_crashed;
  int m_last_incarnation = 1;
  Clock::time_point m_begun_at;
  Clock::time_point m_harmful_from;
  Clock::time_point m_ended_at;
  GatewayCluster m_cluster;
  std::thread m_operator;
};

}
