#pragma once

#include <LibGateway/Dialect.h>
#include <LibGateway/EndpointReach.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibRelay/RelayClient.h>
#include <map>
#include <memory>
#include <vector>

namespace auburnhitch {

/// Asks endpoints for their state over new connections, so that the silence of requests does not
/// have to tell a path that leads nowhere from endpoints that are at work. One endpoint that
/// responds shows that the path leads to them. Not thread-safe.
class PathProbe
{
public:
  /// All outlive this object.
  struct Dependencies
  {
    EventLoop* m_loop = nullptr;
    RelayClient* m_client = nullptr;
    EndpointReach* m_reach = nullptr;
    const EndpointRegistry* m_registry = nullptr;
    const Dialect* m_dialect = nullptr;
    GatewayMetrics* m_metrics = nullptr;
  };

  explicit PathProbe(Dependencies aDependencies)
    : m_dependencies(aDependencies)
  {
  }
  PathProbe(const PathProbe&) = delete;
  PathProbe& operator=(const PathProbe&) = delete;

  /// Called repeatedly. Asks a few endpoints if the reach of the daemon is in question.
  void Tick();
  /// Ends the round in progress without a result: this process has not run for a while, so that
  /// responses may wait to be read.
  void Cancel();

private:
  enum class Result
  {
    Pending,
    NotEstablished,
    Unanswered,
  };

  struct Question
  {
    Result m_result = Result::Pending;
    std::unique_ptr<RelayCall> m_call;
  };

  /// The endpoints to ask: some that are in question, and one that is not.
  std::vector<EndpointEntry> ChooseEndpoints();
  void Ask(const EndpointEntry& aEndpoint);
  void OnAnswered(const EndpointId& aEndpoint);
  void OnEnded(const EndpointId& aEndpoint, const RelayResult& aResult);
  /// Records that no endpoint has answered once all questions have ended.
  void EndRound();

  Dependencies m_dependencies;
  std::map<EndpointId, Question> m_round;
  TimePoint m_began_at;
  std::size_t m_turn = 0;
};

}
