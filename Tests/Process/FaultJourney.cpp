#include "FaultJourney.h"

#include <LibDispatch/CallerError.h>
#include <LibDispatch/EventStreamParser.h>
#include <absl/strings/str_cat.h>
#include <csignal>

namespace auburnhitch::tests {

namespace {

constexpr int kTokens = 12;
constexpr std::int64_t kEventsBeforeFault = 3;

ClusterOptions
OptionsFor(Step aStep)
{
  ClusterOptions options;
  // Queued requests must be able to outlast the wait for the fault.
  options.m_deadline_ms = aStep == Step::Queued || aStep == Step::BeforeWrite ? 2'500 : 1'500;
  return options;
}

std::string
ExpectedText()
{
  std::string text;
  for (int token = 1; token <= kTokens; ++token) {
    absl::StrAppend(&text, "t", token, " ");
  }
  return text;
}

/// The text of a stream's events after a given one.
std::string
TextOfStream(const TestCall& aAttempt)
{
  std::string text;
  EventStreamParser().Feed(aAttempt.m_body, [&](const StreamEvent& aEvent) {
    const auto data = aEvent.m_text.find("data: ");
    const Json chunk = Json::parse(aEvent.m_text.substr(data + 6), nullptr, false);
    if (chunk.is_object() && chunk.contains("choices")) {
      text += chunk["choices"][0]["delta"].value("content", "");
    }
  });
  return text;
}

}

const char*
NameOf(Cargo aCargo)
{
  constexpr std::array kNames{ "bid", "keyed bid", "stream", "whole completion" };
  return kNames[static_cast<std::size_t>(aCargo)];
}

const char*
NameOf(Step aStep)
{
  constexpr std::array kNames{ "before identity", "queued",    "before write", "after write",
                               "mid answer",      "after end", "in shutdown" };
  return kNames[static_cast<std::size_t>(aStep)];
}

const char*
NameOf(JourneyFault aFault)
{
  constexpr std::array kNames{ "none",
                               "kill daemon",
                               "freeze daemon",
                               "cut caller",
                               "cut endpoint",
                               "silent endpoint",
                               "slow bytes",
                               "doubled answer",
                               "late answer",
                               "log down",
                               "log slow",
                               "log loses answers",
                               "kill and log down",
                               "freeze and cut endpoint" };
  return kNames[static_cast<std::size_t>(aFault)];
}

FaultJourney::FaultJourney(Cargo aCargo, Step aStep, JourneyFault aFault)
  : m_cargo(aCargo)
  , m_step(aStep)
  , m_fault(aFault)
  , m_cluster(OptionsFor(aStep))
{
}

bool
FaultJourney::FreezesDaemon() const
{
  return m_fault == JourneyFault::FreezeDaemon || m_fault == JourneyFault::FreezeAndCutEndpoint;
}

bool
FaultJourney::KillsDaemon() const
{
  return m_fault == JourneyFault::KillDaemon || m_fault == JourneyFault::KillAndLogDown;
}

bool
FaultJourney::IsLinkFault() const
{
  return m_fault >= JourneyFault::SilentEndpoint && m_fault <= JourneyFault::LateAnswer;
}

std::string
FaultJourney::RequestId() const
{
  return "mill." + m_identity;
}

HttpRequest
FaultJourney::Request() const
{
  HttpRequest request;
  request.m_method = "POST";
  request.m_headers = { { "Authorization", "Bearer mill-key" }, { headers::kKind, "bid" } };
  if (m_cargo == Cargo::KeyedBid) {
    request.m_headers.emplace_back(headers::kIdempotencyKey, m_key);
  } else {
    request.m_headers.emplace_back(headers::kIdentity, m_identity);
  }
  if (IsEngine()) {
    request.m_path = "/v1/chat/completions";
    request.m_body = Json{
      { "model", "model" }, { "stream", m_cargo == Cargo::Stream }, { "max_tokens", kTokens }
    }.dump();
  } else {
    request.m_path = "/v1/services/desk/lots/7/bids";
    request.m_body = R"({"amount":120000})";
  }
  return request;
}

HttpRequest
FaultJourney::RetryRequest() const
{
  HttpRequest request = Request();
  const std::string token = m_first->Header(headers::kResumeToken);
  if (!token.empty()) {
    request.m_headers.emplace_back(headers::kResumeToken, token);
    request.m_headers.emplace_back(headers::kLastEventId, absl::StrCat(m_first->LastEvent()));
  }
  return request;
}

void
FaultJourney::SendFirst()
{
  m_first = m_cluster.Caller().Send(m_cluster.CallerAddress(0), Request());
  m_attempts.push_back(m_first);
}

void
FaultJourney::RetryEverywhere()
{
  for (std::size_t daemon = 0; daemon < m_cluster.Size(); ++daemon) {
    m_attempts.push_back(m_cluster.Caller().Send(m_cluster.CallerAddress(daemon), RetryRequest()));
  }
}

bool
FaultJourney::Await(const char* aWhat, const std::function<bool()>& aCondition)
{
  const bool holds = m_cluster.Caller().RunUntil(aCondition);
  if (!holds) {
    Complain(absl::StrCat("never came about: ", aWhat));
  }
  return holds;
}

void
FaultJourney::Hold(bool aHolds)
{
  m_cluster.Control(Endpoint(), Json{ { "hold", aHolds } });
}

// Takes the one place that each daemon has at the endpoint.
void
FaultJourney::FillEndpoint()
{
  Hold(true);
  HttpRequest blocker = Request();
  const std::string identity = m_cluster.PermitOf(0) + "-blocker";
  for (auto& [name, value] : blocker.m_headers) {
    if (name == headers::kIdentity || name == headers::kIdempotencyKey) {
      name = headers::kIdentity;
      value = identity;
    }
  }
  m_blockers.push_back(m_cluster.Caller().Send(m_cluster.CallerAddress(0), blocker));
  Await("the blocker runs",
        [&] { return m_cluster.ExecutionsOf(Endpoint(), "mill." + identity) == 1; });
}

void
FaultJourney::ReachStep()
{
  const auto has_begun = [&] {
    const Json status = m_cluster.Caller().CallJson(m_cluster.OperatorAddress(0), "GET", "/status");
    return status.is_object() && status.value("running", 0) > 0;
  };
  switch (m_step) {
    case Step::BeforeIdentity:
      break;
    case Step::Queued:
      FillEndpoint();
      SendFirst();
      Await("the request waits", [&] {
        const Json status =
          m_cluster.Caller().CallJson(m_cluster.OperatorAddress(0), "GET", "/status");
        return status.is_object() && !status["self"]["waiting"].empty();
      });
      break;
    case Step::BeforeWrite:
      m_cluster.SetFault(Endpoint(), Json{ { "fault", "refuse" }, { "cut_open", true } });
      SendFirst();
      Await("the request is known",
            [&] { return m_cluster.LogOf(0).find("mill.") != std::string::npos; });
      break;
    case Step::AfterWrite:
    case Step::InShutdown:
      Hold(true);
      if (IsLinkFault()) {
        Strike();
      }
      SendFirst();
      Await("the endpoint begins", has_begun);
      break;
    case Step::MidAnswer:
      if (IsLinkFault()) {
        Strike();
      }
      SendFirst();
      Await("some of the answer arrives",
            [&] { return m_first->LastEvent() >= kEventsBeforeFault || m_first->HasEnded(); });
      if (!IsLinkFault()) {
        Hold(true);
      }
      break;
    case Step::AfterEnd:
      SendFirst();
      Await("the answer arrives", [&] { return m_first->HasEnded(); });
      break;
  }
  if (m_step == Step::InShutdown) {
    m_cluster.Process(0).Signal(SIGTERM);
    Await("the daemon drains", [&] {
      const Json status =
        m_cluster.Caller().CallJson(m_cluster.OperatorAddress(0), "GET", "/status");
      return status.is_object() && status.value("draining", false);
    });
  }
}

void
FaultJourney::Strike()
{
  ChildProcess& daemon = m_cluster.Process(0);
  switch (m_fault) {
    case JourneyFault::None:
      break;
    case JourneyFault::KillDaemon:
      m_cluster.KillDaemon(0);
      break;
    case JourneyFault::KillAndLogDown:
      m_cluster.Control("log", Json{ { "down", true } });
      m_cluster.KillDaemon(0);
      break;
    case JourneyFault::FreezeDaemon:
      daemon.Signal(SIGSTOP);
      break;
    case JourneyFault::FreezeAndCutEndpoint:
      daemon.Signal(SIGSTOP);
      m_cluster.SetFault(Endpoint(), Json{ { "fault", "none" }, { "cut_open", true } });
      break;
    case JourneyFault::CutCaller:
      if (m_first != nullptr) {
        m_first->m_call = nullptr;
      }
      break;
    case JourneyFault::CutEndpoint:
      m_cluster.SetFault(Endpoint(), Json{ { "fault", "none" }, { "cut_open", true } });
      break;
    case JourneyFault::SilentEndpoint:
      m_cluster.SetFault(Endpoint(),
                         Json{ { "fault", "silence-after-request" }, { "cut_open", true } });
      break;
    case JourneyFault::SlowBytes:
      m_cluster.SetFault(
        Endpoint(), Json{ { "fault", "slow-bytes" }, { "delay_ms", 1 }, { "cut_open", true } });
      break;
    case JourneyFault::DoubledAnswer:
      m_cluster.SetFault(
        Endpoint(), Json{ { "fault", "doubled-answer" }, { "times", 1 }, { "cut_open", true } });
      break;
    case JourneyFault::LateAnswer:
      m_cluster.SetFault(
        Endpoint(), Json{ { "fault", "late-answer" }, { "delay_ms", 400 }, { "cut_open", true } });
      break;
    case JourneyFault::LogDown:
      m_cluster.Control("log", Json{ { "down", true } });
      break;
    case JourneyFault::LogSlow:
      m_cluster.Control("log", Json{ { "delay_ms", 300 } });
      break;
    case JourneyFault::LogLosesAnswers:
      m_cluster.Control("log", Json{ { "lose_append_answers", true } });
      break;
  }
}

void
FaultJourney::Heal()
{
  m_cluster.Control("log",
                    Json{ { "down", false }, { "delay_ms", 0 }, { "lose_append_answers", false } });
  m_cluster.SetFault(Endpoint(), Json{ { "fault", "none" } });
  Hold(false);
  if (FreezesDaemon()) {
    m_cluster.Process(0).Signal(SIGCONT);
  }
}

std::vector<std::string>
FaultJourney::Run()
{
  m_identity = m_cluster.PermitOf(0) + "-case";
  m_key = "0-case";
  ReachStep();
  const bool has_struck =
    IsLinkFault() &&
    (m_step == Step::AfterWrite || m_step == Step::MidAnswer || m_step == Step::InShutdown);
  if (!has_struck) {
    Strike();
  }
  if (m_first == nullptr) {
    SendFirst();
  }
  // Everybody asks again while the fault lasts.
  m_first_round = m_attempts.size();
  m_had_token = !m_first->Header(headers::kResumeToken).empty();
  if (m_fault != JourneyFault::None) {
    RetryEverywhere();
  }
  Hold(false);
  if (FreezesDaemon()) {
    // The other daemons answer while the first one is frozen.
    Await("the other daemons answer during the freeze", [&] {
      for (std::size_t index = m_first_round + 1; index < m_attempts.size(); ++index) {
        if (!m_attempts[index]->HasEnded()) {
          return false;
        }
      }
      return true;
    });
  }
  if (!IsLinkFault() && m_fault != JourneyFault::LogDown) {
    Heal();
  }
  Await("every request ends", [&] {
    for (const TestCallPtr& attempt : m_attempts) {
      if (attempt->m_call != nullptr && !attempt->HasEnded()) {
        return false;
      }
    }
    return true;
  });
  Heal();
  const std::size_t last_round = m_attempts.size();
  RetryEverywhere();
  Await("the last questions are answered", [&] {
    for (std::size_t index = last_round; index < m_attempts.size(); ++index) {
      if (!m_attempts[index]->HasEnded()) {
        return false;
      }
    }
    return true;
  });
  Judge();
  return m_complaints;
}

void
FaultJourney::JudgeOutcomes(int aExecutions)
{
  if (aExecutions > 1) {
    Complain(absl::StrCat("ran ", aExecutions, " times"));
  }
  for (const TestCallPtr& attempt : m_attempts) {
    const std::string outcome = attempt->Outcome();
    if (outcome == "not-run" && aExecutions > 0) {
      Complain("was told as not run, and it ran");
    }
    if (outcome == "done") {
      if (aExecutions != 1) {
        Complain("was told as done, and it did not run");
      }
      JudgeAnswer(*attempt);
    }
    if (attempt->m_status == 200 && !attempt->IsEventStream() && attempt->IsComplete() &&
        outcome != "done") {
      Complain("an answer of status 200 does not say that it is done");
    }
  }
}

void
FaultJourney::JudgeAnswer(const TestCall& aAttempt)
{
  // Errors such as answer_not_kept report a request that is done, without its answer.
  if (!aAttempt.Header(headers::kErrorCode).empty()) {
    return;
  }
  if (m_cargo == Cargo::Stream) {
    const std::string text = TextOfStream(aAttempt);
    const std::string expected = ExpectedText();
    const bool is_own_end =
      text.size() <= expected.size() && expected.substr(expected.size() - text.size()) == text;
    const bool is_resumed = &aAttempt != m_first.get() && m_first->LastEvent() > 0;
    if (!is_own_end || (!is_resumed && text != expected)) {
      Complain("a stream is not byte-exact: " + text);
    }
    return;
  }
  const Json body = Json::parse(aAttempt.m_body, nullptr, false);
  if (m_cargo == Cargo::WholeCompletion) {
    if (!body.is_object() || body.value("id", "") != RequestId() ||
        body["choices"][0]["message"].value("content", "") != ExpectedText()) {
      Complain("a whole answer is not the caller's own: " + aAttempt.m_body);
    }
    return;
  }
  if (!body.is_object() || body.value("request", "") != RequestId() ||
      body.value("echo", "") != Request().m_body) {
    Complain("an answer is not the caller's own: " + aAttempt.m_body);
  }
}

void
FaultJourney::JudgeLiveness()
{
  bool has_outcome = false;
  for (std::size_t index = m_attempts.size() - m_cluster.Size(); index < m_attempts.size();
       ++index) {
    has_outcome |= !m_attempts[index]->Outcome().empty();
  }
  if (!has_outcome) {
    Complain("nobody learned an outcome in the end");
  }
  const bool needs_done = m_fault == JourneyFault::None ||
                          (m_step == Step::AfterEnd && m_fault != JourneyFault::SilentEndpoint);
  if (needs_done && m_first->Outcome() != "done") {
    Complain("the first caller did not get its answer: " + m_first->Outcome());
  }
  if (m_step == Step::InShutdown && m_fault == JourneyFault::None) {
    Await("the daemon exits", [&] { return m_cluster.Process(0).ExitStatus().has_value(); });
    if (m_cluster.Process(0).ExitStatus() != 0) {
      Complain("the graceful shutdown did not exit with 0");
    }
  }
  JudgeResumption();
}

// The engine still has the stream: whoever holds its token gets the rest from any daemon. Faults
// that slow the engine's link outlast the deadline, and the request is then cancelled.
void
FaultJourney::JudgeResumption()
{
  const bool is_in_time =
    m_fault != JourneyFault::SilentEndpoint && m_fault != JourneyFault::SlowBytes;
  if (m_cargo != Cargo::Stream || !m_had_token || !is_in_time || m_step == Step::InShutdown) {
    return;
  }
  // A daemon that was frozen past the deadline cancels when it wakes: the others were asked before.
  const std::size_t round = FreezesDaemon() ? m_first_round : m_attempts.size() - m_cluster.Size();
  for (std::size_t index = round + 1; index < round + m_cluster.Size(); ++index) {
    if (m_attempts[index]->Outcome() != "done") {
      Complain("a stream was not taken up again: " + m_attempts[index]->m_body);
    }
  }
}

void
FaultJourney::Judge()
{
  if (m_cargo == Cargo::KeyedBid) {
    // The identity is the claim's; callers read it from the answer.
    for (const TestCallPtr& attempt : m_attempts) {
      const std::string identity = attempt->Header(headers::kIdentity);
      if (!identity.empty()) {
        m_identity = identity;
      }
    }
  }
  JudgeOutcomes(m_cluster.ExecutionsOf(Endpoint(), RequestId()));
  JudgeLiveness();
  if (!m_complaints.empty()) {
    Complain("what the daemons logged:\n" + m_cluster.LogOf(0) + "--\n" + m_cluster.LogOf(1));
  }
}

}
