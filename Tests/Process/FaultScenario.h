#pragma once

#include "Cluster.h"

#include <optional>
#include <string>
#include <vector>

namespace auburnhitch::tests {

/// The type of request that the scenario sends.
enum class RequestType
{
  /// A non-idempotent call to a plain service, under a permit.
  Bid,
  /// The same, under an idempotency key supplied by the caller.
  KeyedBid,
  /// A request for a streamed response of an engine.
  Stream,
  /// A request for an unstreamed response of an engine.
  WholeCompletion,
};

/// How far the request has been processed when the fault is injected.
enum class Step
{
  BeforeIdentity,
  /// Queued in the daemon while all slots of the endpoint are taken.
  Queued,
  /// The daemon has no connection to the endpoint yet.
  BeforeWrite,
  /// The endpoint has started the request and sent no response.
  AfterWrite,
  /// The caller has received a part of the response.
  MidAnswer,
  /// The caller has received the complete response.
  AfterEnd,
  /// The endpoint has started the request, and the daemon has received SIGTERM.
  InShutdown,
};

enum class ScenarioFault
{
  None,
  KillDaemon,
  /// SIGSTOP for longer than the request's deadline, then SIGCONT.
  FreezeDaemon,
  /// The caller closes its connection.
  CutCaller,
  /// All open connections to the endpoint are closed.
  CutEndpoint,
  /// The link to the endpoint accepts requests and forwards no bytes back.
  SilentEndpoint,
  SlowBytes,
  DoubledAnswer,
  LateAnswer,
  LogDown,
  LogSlow,
  LogLosesAnswers,
  KillAndLogDown,
  FreezeAndCutEndpoint,
};

const char*
NameOf(RequestType aRequestType);
const char*
NameOf(Step aStep);
const char*
NameOf(ScenarioFault aFault);

/// Sends one request, injects one fault at one step, and retries the request under the same
/// identity at all daemons at once. Compares the outcomes that were reported to the callers with
/// the number of executions that the endpoint counted.
class FaultScenario
{
public:
  FaultScenario(RequestType aRequestType, Step aStep, ScenarioFault aFault);

  /// Returns the guarantees that were violated, one sentence each; empty if all held.
  std::vector<std::string> Run();

private:
  bool IsEngine() const
  {
    return m_request_type == RequestType::Stream || m_request_type == RequestType::WholeCompletion;
  }
  const char* Endpoint() const { return IsEngine() ? "model" : "desk"; }
  std::string RequestId() const;

  HttpRequest MakeRequest() const;
  HttpRequest MakeRetryRequest() const;
  void SendFirstCall();
  void RetryEverywhere();
  void FillEndpoint();
  void Hold(bool aHolds);
  bool Await(const char* aWhat, const std::function<bool()>& aCondition);

  void ReachStep();
  void InjectFault();
  void RemoveFaults();
  void CheckResults();
  void CheckOutcomes(int aExecutions);
  void CheckResponse(const TestCall& aCall);
  void CheckLiveness();
  void CheckResumption();
  void RecordFailure(const std::string& aSentence) { m_failures.push_back(aSentence); }

  bool FreezesDaemon() const;
  bool KillsDaemon() const;
  bool IsLinkFault() const;

  RequestType m_request_type;
  Step m_step;
  ScenarioFault m_fault;
  Cluster m_cluster;
  std::string m_identity;
  std::string m_key;
  TestCallPtr m_first_call;
  std::vector<TestCallPtr> m_calls;
  /// Index in m_calls of the first retry that is sent during the fault.
  std::size_t m_first_retry_index = 0;
  /// Whether the caller had received a resume token before it retried.
  bool m_had_resume_token = false;
  std::vector<TestCallPtr> m_blockers;
  std::vector<std::string> m_failures;
};

}
