#include "FaultScenario.h"

#include <doctest.h>
#include <iostream>

using namespace auburnhitch::tests;

namespace {

constexpr std::array kDaemonAndCallerFaults{
  ScenarioFault::None,      ScenarioFault::KillDaemon,     ScenarioFault::FreezeDaemon,
  ScenarioFault::CutCaller, ScenarioFault::KillAndLogDown, ScenarioFault::LogDown
};
constexpr std::array kEndpointFaults{
  ScenarioFault::CutEndpoint,   ScenarioFault::SilentEndpoint, ScenarioFault::SlowBytes,
  ScenarioFault::DoubledAnswer, ScenarioFault::LateAnswer,     ScenarioFault::FreezeAndCutEndpoint
};
constexpr std::array kLogFaults{ ScenarioFault::LogSlow, ScenarioFault::LogLosesAnswers };

/// Faults of the link to the endpoint have no effect on requests that the endpoint never receives.
bool
InvolvesEndpoint(Step aStep)
{
  return aStep == Step::AfterWrite || aStep == Step::MidAnswer || aStep == Step::Queued ||
         aStep == Step::AfterEnd || aStep == Step::InShutdown;
}

std::vector<ScenarioFault>
FaultsOf(RequestType aRequestType, Step aStep)
{
  std::vector<ScenarioFault> faults(kDaemonAndCallerFaults.begin(), kDaemonAndCallerFaults.end());
  if (InvolvesEndpoint(aStep)) {
    faults.insert(faults.end(), kEndpointFaults.begin(), kEndpointFaults.end());
  }
  if (aRequestType == RequestType::KeyedBid) {
    faults.insert(faults.end(), kLogFaults.begin(), kLogFaults.end());
  }
  return faults;
}

void
RunRow(RequestType aRequestType, Step aStep)
{
  const char* only = std::getenv("AUBURNHITCH_FAULT");
  for (const ScenarioFault fault : FaultsOf(aRequestType, aStep)) {
    if (only != nullptr && std::string(only) != NameOf(fault)) {
      continue;
    }
    std::cout << "matrix: " << NameOf(aRequestType) << ", " << NameOf(aStep) << ", "
              << NameOf(fault) << std::endl;
    FaultScenario scenario(aRequestType, aStep, fault);
    for (const std::string& failure : scenario.Run()) {
      FAIL_CHECK(std::string(NameOf(aRequestType))
                 << ", " << std::string(NameOf(aStep)) << ", " << std::string(NameOf(fault)) << ": "
                 << failure);
    }
  }
}

}

#define MATRIX_ROW(cargo, step)                                                                    \
  TEST_CASE("Fault matrix: " #cargo " " #step)                                                     \
  {                                                                                                \
    RunRow(RequestType::cargo, Step::step);                                                        \
  }

MATRIX_ROW(Bid, BeforeIdentity)
MATRIX_ROW(Bid, Queued)
MATRIX_ROW(Bid, BeforeWrite)
MATRIX_ROW(Bid, AfterWrite)
MATRIX_ROW(Bid, AfterEnd)
MATRIX_ROW(Bid, InShutdown)
MATRIX_ROW(KeyedBid, BeforeIdentity)
MATRIX_ROW(KeyedBid, Queued)
MATRIX_ROW(KeyedBid, BeforeWrite)
MATRIX_ROW(KeyedBid, AfterWrite)
MATRIX_ROW(KeyedBid, AfterEnd)
MATRIX_ROW(KeyedBid, InShutdown)
MATRIX_ROW(Stream, BeforeIdentity)
MATRIX_ROW(Stream, Queued)
MATRIX_ROW(Stream, BeforeWrite)
MATRIX_ROW(Stream, AfterWrite)
MATRIX_ROW(Stream, MidAnswer)
MATRIX_ROW(Stream, AfterEnd)
MATRIX_ROW(Stream, InShutdown)
MATRIX_ROW(WholeCompletion, Queued)
MATRIX_ROW(WholeCompletion, AfterWrite)
MATRIX_ROW(WholeCompletion, AfterEnd)
MATRIX_ROW(WholeCompletion, InShutdown)
