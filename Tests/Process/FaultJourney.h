#pragma once

#include "Cluster.h"

#include <optional>
#include <string>
#include <vector>

namespace auburnhitch::tests {

/// What kind of request travels.
enum class Cargo
{
  /// A non-idempotent call to a plain service, under a permit.
  Bid,
  /// The same, under an idempotency key that the caller brought.
  KeyedBid,
  /// A streamed answer of an engine.
  Stream,
  /// A whole answer of an engine.
  WholeCompletion,
};

/// Where on its way the request is when the fault comes.
enum class Step
{
  BeforeIdentity,
  /// Waits in the daemon while the endpoint is full.
  Queued,
  /// The endpoint can't be reached yet.
  BeforeWrite,
  /// The endpoint has begun and not answered.
  AfterWrite,
  /// Some of the answer has arrived.
  MidAnswer,
  /// The whole answer has arrived.
  AfterEnd,
  /// The endpoint has begun, and the daemon was told to stop.
  InShutdown,
};

enum class JourneyFault
{
  None,
  KillDaemon,
  /// Stopped for longer than the deadline, then continued.
  FreezeDaemon,
  /// The caller's connection breaks.
  CutCaller,
  /// All open connections to the endpoint break.
  CutEndpoint,
  /// From here on the endpoint's link passes nothing.
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
NameOf(Cargo aCargo);
const char*
NameOf(Step aStep);
const char*
NameOf(JourneyFault aFault);

/// Takes one request through one fault at one step, with retries of the same identity at every
/// daemon at once, and judges by the endpoint's own count what callers were told.
class FaultJourney
{
public:
  FaultJourney(Cargo aCargo, Step aStep, JourneyFault aFault);

  /// What was wrong, one sentence each; empty if all promises held.
  std::vector<std::string> Run();

private:
  bool IsEngine() const { return m_cargo == Cargo::Stream || m_cargo == Cargo::WholeCompletion; }
  const char* Endpoint() const { return IsEngine() ? "model" : "desk"; }
  std::string RequestId() const;

  HttpRequest Request() const;
  HttpRequest RetryRequest() const;
  void SendFirst();
  void RetryEverywhere();
  void FillEndpoint();
  void Hold(bool aHolds);
  bool Await(const char* aWhat, const std::function<bool()>& aCondition);

  void ReachStep();
  void Strike();
  void Heal();
  void Judge();
  void JudgeOutcomes(int aExecutions);
  void JudgeAnswer(const TestCall& aAttempt);
  void JudgeLiveness();
  void JudgeResumption();
  void Complain(const std::string& aSentence) { m_complaints.push_back(aSentence); }

  bool FreezesDaemon() const;
  bool KillsDaemon() const;
  bool IsLinkFault() const;

  Cargo m_cargo;
  Step m_step;
  JourneyFault m_fault;
  Cluster m_cluster;
  std::string m_identity;
  std::string m_key;
  TestCallPtr m_first;
  std::vector<TestCallPtr> m_attempts;
  /// Where the attempts made during the fault begin.
  std::size_t m_first_round = 0;
  /// Whether the caller could name its engine when it asked again.
  bool m_had_token = false;
  std::vector<TestCallPtr> m_blockers;
  std::vector<std::string> m_complaints;
};

}
