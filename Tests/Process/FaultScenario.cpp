#include "FaultScenario.h"

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
  // Queued requests must not reach their deadline before the fault is injected.
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

/// Returns the concatenated text of the events in a streamed response.
std::string
TextOfStream(const TestCall& aCall)
{
  std::string text;
  EventStreamParser().Feed(aCall.m_body, [&](const StreamEvent& aEvent) {
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
NameOf(RequestType aRequestType)
{
  constexpr std::array kNames{ "bid", "keyed bid", "stream", "whole completion" };
  return kNames[static_cast<std::size_t>(aRequestType)];
}

const char*
NameOf(Step aStep)
{
  constexpr std::array kNames{ "before identity", "queued",    "before write", "after write",
                               "mid answer",      "after end", "in shutdown" };
  return kNames[static_cast<std::size_t>(aStep)];
}

const char*
NameOf(ScenarioFault aFault)
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

FaultScenario::FaultScenario(RequestType aRequestType, Step aStep, ScenarioFault aFault)
  : m_request_type(aRequestType)
  , m_step(aStep)
  , m_fault(aFault)
  , m_cluster(OptionsFor(aStep))
{
}

bool
FaultScenario::FreezesDaemon() const
{
  return m_fault == ScenarioFault::FreezeDaemon || m_fault == ScenarioFault::FreezeAndCutEndpoint;
}

bool
FaultScenario::KillsDaemon() const
{
  return m_fault == ScenarioFault::KillDaemon || m_fault == ScenarioFault::KillAndLogDown;
}

bool
FaultScenario::IsLinkFault() const
{
  return m_fault >= ScenarioFault::SilentEndpoint && m_fault <= ScenarioFault::LateAnswer;
}

std::string
FaultScenario::RequestId() const
{
  return "mill." + m_identity;
}

HttpRequest
FaultScenario::MakeRequest() const
{
  HttpRequest request;
  request.m_method = "POST";
  request.m_headers = { { "Authorization", "Bearer mill-key" }, { headers::kKind, "bid" } };
  if (m_request_type == RequestType::KeyedBid) {
    request.m_headers.emplace_back(headers::kIdempotencyKey, m_key);
  } else {
    request.m_headers.emplace_back(headers::kIdentity, m_identity);
  }
  if (IsEngine()) {
    request.m_path = "/v1/chat/completions";
    request.m_body = Json{
      { "model", "model" },
      { "stream", m_request_type == RequestType::Stream },
      { "max_tokens", kTokens }
    }.dump();
  } else {
    request.m_path = "/v1/services/desk/lots/7/bids";
    request.m_body = R"({"amount":120000})";
  }
  return request;
}

HttpRequest
FaultScenario::MakeRetryRequest() const
{
  HttpRequest request = MakeRequest();
  const std::string token = m_first_call->Header(headers::kResumeToken);
  if (!token.empty()) {
    request.m_headers.emplace_back(headers::kResumeToken, token);
    request.m_headers.emplace_back(headers::kLastEventId, absl::StrCat(m_first_call->LastEvent()));
  }
  return request;
}

void
FaultScenario::SendFirstCall()
{
  m_first_call = m_cluster.Caller().Send(m_cluster.CallerAddress(0), MakeRequest());
  m_calls.push_back(m_first_call);
}

void
FaultScenario::RetryEverywhere()
{
  for (std::size_t daemon = 0; daemon < m_cluster.Size(); ++daemon) {
    m_calls.push_back(m_cluster.Caller().Send(m_cluster.CallerAddress(daemon), MakeRetryRequest()));
  }
}

bool
FaultScenario::Await(const char* aWhat, const std::function<bool()>& aCondition)
{
  const bool holds = m_cluster.Caller().RunUntil(aCondition);
  if (!holds) {
    RecordFailure(absl::StrCat("timed out waiting until ", aWhat));
  }
  return holds;
}

void
FaultScenario::Hold(bool aHolds)
{
  m_cluster.Control(Endpoint(), Json{ { "hold", aHolds } });
}

// Occupies the one slot that each daemon has at the endpoint.
void
FaultScenario::FillEndpoint()
{
  Hold(true);
  HttpRequest blocker = MakeRequest();
  const std::string identity = m_cluster.PermitOf(0) + "-blocker";
  for (auto& [name, value] : blocker.m_headers) {
    if (name == headers::kIdentity || name == headers::kIdempotencyKey) {
      name = headers::kIdentity;
      value = identity;
    }
  }
  m_blockers.push_back(m_cluster.Caller().Send(m_cluster.CallerAddress(0), blocker));
  Await("the blocking request runs",
        [&] { return m_cluster.ExecutionsOf(Endpoint(), "mill." + identity) == 1; });
}

void
FaultScenario::ReachStep()
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
      SendFirstCall();
      Await("the request is queued", [&] {
        const Json status =
          m_cluster.Caller().CallJson(m_cluster.OperatorAddress(0), "GET", "/status");
        return status.is_object() && !status["self"]["waiting"].empty();
      });
      break;
    case Step::BeforeWrite:
      m_cluster.SetFault(Endpoint(), Json{ { "fault", "refuse" }, { "cut_open", true } });
      SendFirstCall();
      Await("the daemon logs the request",
            [&] { return m_cluster.LogOf(0).find("mill.") != std::string::npos; });
      break;
    case Step::AfterWrite:
    case Step::InShutdown:
      Hold(true);
      if (IsLinkFault()) {
        InjectFault();
      }
      SendFirstCall();
      Await("the endpoint starts the request", has_begun);
      break;
    case Step::MidAnswer:
      if (IsLinkFault()) {
        InjectFault();
      }
      SendFirstCall();
      Await("a part of the response arrives", [&] {
        return m_first_call->LastEvent() >= kEventsBeforeFault || m_first_call->HasEnded();
      });
      if (!IsLinkFault()) {
        Hold(true);
      }
      break;
    case Step::AfterEnd:
      SendFirstCall();
      Await("the response arrives", [&] { return m_first_call->HasEnded(); });
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
FaultScenario::InjectFault()
{
  ChildProcess& daemon = m_cluster.Process(0);
  switch (m_fault) {
    case ScenarioFault::None:
      break;
    case ScenarioFault::KillDaemon:
      m_cluster.KillDaemon(0);
      break;
    case ScenarioFault::KillAndLogDown:
      m_cluster.Control("log", Json{ { "down", true } });
      m_cluster.KillDaemon(0);
      break;
    case ScenarioFault::FreezeDaemon:
      daemon.Signal(SIGSTOP);
      break;
    case ScenarioFault::FreezeAndCutEndpoint:
      daemon.Signal(SIGSTOP);
      m_cluster.SetFault(Endpoint(), Json{ { "fault", "none" }, { "cut_open", true } });
      break;
    case ScenarioFault::CutCaller:
      if (m_first_call != nullptr) {
        m_first_call->m_call = nullptr;
      }
      break;
    case ScenarioFault::CutEndpoint:
      m_cluster.SetFault(Endpoint(), Json{ { "fault", "none" }, { "cut_open", true } });
      break;
    case ScenarioFault::SilentEndpoint:
      m_cluster.SetFault(Endpoint(),
                         Json{ { "fault", "silence-after-request" }, { "cut_open", true } });
      break;
    case ScenarioFault::SlowBytes:
      m_cluster.SetFault(
        Endpoint(), Json{ { "fault", "slow-bytes" }, { "delay_ms", 1 }, { "cut_open", true } });
      break;
    case ScenarioFault::DoubledAnswer:
      m_cluster.SetFault(
        Endpoint(), Json{ { "fault", "doubled-answer" }, { "times", 1 }, { "cut_open", true } });
      break;
    case ScenarioFault::LateAnswer:
      m_cluster.SetFault(
        Endpoint(), Json{ { "fault", "late-answer" }, { "delay_ms", 400 }, { "cut_open", true } });
      break;
    case ScenarioFault::LogDown:
      m_cluster.Control("log", Json{ { "down", true } });
      break;
    case ScenarioFault::LogSlow:
      m_cluster.Control("log", Json{ { "delay_ms", 300 } });
      break;
    case ScenarioFault::LogLosesAnswers:
      m_cluster.Control("log", Json{ { "lose_append_answers", true } });
      break;
  }
}

void
FaultScenario::RemoveFaults()
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
FaultScenario::Run()
{
  m_identity = m_cluster.PermitOf(0) + "-case";
  m_key = "0-case";
  ReachStep();
  const bool is_fault_injected =
    IsLinkFault() &&
    (m_step == Step::AfterWrite || m_step == Step::MidAnswer || m_step == Step::InShutdown);
  if (!is_fault_injected) {
    InjectFault();
  }
  if (m_first_call == nullptr) {
    SendFirstCall();
  }
  // Retries at all daemons while the fault lasts.
  m_first_retry_index = m_calls.size();
  m_had_resume_token = !m_first_call->Header(headers::kResumeToken).empty();
  if (m_fault != ScenarioFault::None) {
    RetryEverywhere();
  }
  Hold(false);
  if (FreezesDaemon()) {
    // The other daemons must respond while the first one is frozen.
    Await("the other daemons respond during the freeze", [&] {
      for (std::size_t index = m_first_retry_index + 1; index < m_calls.size(); ++index) {
        if (!m_calls[index]->HasEnded()) {
          return false;
        }
      }
      return true;
    });
  }
  if (!IsLinkFault() && m_fault != ScenarioFault::LogDown) {
    RemoveFaults();
  }
  Await("every request ends", [&] {
    for (const TestCallPtr& call : m_calls) {
      if (call->m_call != nullptr && !call->HasEnded()) {
        return false;
      }
    }
    return true;
  });
  RemoveFaults();
  const std::size_t last_retry_index = m_calls.size();
  RetryEverywhere();
  Await("the final retries end", [&] {
    for (std::size_t index = last_retry_index; index < m_calls.size(); ++index) {
      if (!m_calls[index]->HasEnded()) {
        return false;
      }
    }
    return true;
  });
  CheckResults();
  return m_failures;
}

void
FaultScenario::CheckOutcomes(int aExecutions)
{
  if (aExecutions > 1) {
    RecordFailure(absl::StrCat("executed ", aExecutions, " times, expected at most once"));
  }
  for (const TestCallPtr& call : m_calls) {
    const std::string outcome = call->Outcome();
    if (outcome == "not-run" && aExecutions > 0) {
      RecordFailure("reported as not run, but it was executed");
    }
    if (outcome == "done") {
      if (aExecutions != 1) {
        RecordFailure("reported as done, but it was not executed exactly once");
      }
      CheckResponse(*call);
    }
    if (call->m_status == 200 && !call->IsEventStream() && call->IsComplete() &&
        outcome != "done") {
      RecordFailure("a complete response of status 200 does not report the outcome done");
    }
  }
}

void
FaultScenario::CheckResponse(const TestCall& aCall)
{
  // Errors such as answer_not_kept report that a request is done, but carry no response to it.
  if (!aCall.Header(headers::kErrorCode).empty()) {
    return;
  }
  if (m_request_type == RequestType::Stream) {
    const std::string text = TextOfStream(aCall);
    const std::string expected = ExpectedText();
    const bool is_expected_suffix =
      text.size() <= expected.size() && expected.substr(expected.size() - text.size()) == text;
    const bool is_resumed = &aCall != m_first_call.get() && m_first_call->LastEvent() > 0;
    if (!is_expected_suffix || (!is_resumed && text != expected)) {
      RecordFailure("a streamed response differs from the expected bytes: " + text);
    }
    return;
  }
  const Json body = Json::parse(aCall.m_body, nullptr, false);
  if (m_request_type == RequestType::WholeCompletion) {
    if (!body.is_object() || body.value("id", "") != RequestId() ||
        body["choices"][0]["message"].value("content", "") != ExpectedText()) {
      RecordFailure("an unstreamed response belongs to another request or is incomplete: " +
                    aCall.m_body);
    }
    return;
  }
  if (!body.is_object() || body.value("request", "") != RequestId() ||
      body.value("echo", "") != MakeRequest().m_body) {
    RecordFailure("a response belongs to another request or is incomplete: " + aCall.m_body);
  }
}

void
FaultScenario::CheckLiveness()
{
  bool has_outcome = false;
  for (std::size_t index = m_calls.size() - m_cluster.Size(); index < m_calls.size(); ++index) {
    has_outcome |= !m_calls[index]->Outcome().empty();
  }
  if (!has_outcome) {
    RecordFailure("no final retry was given an outcome");
  }
  const bool needs_done = m_fault == ScenarioFault::None ||
                          (m_step == Step::AfterEnd && m_fault != ScenarioFault::SilentEndpoint);
  if (needs_done && m_first_call->Outcome() != "done") {
    RecordFailure("the first call did not end with the outcome done: " + m_first_call->Outcome());
  }
  if (m_step == Step::InShutdown && m_fault == ScenarioFault::None) {
    Await("the daemon exits", [&] { return m_cluster.Process(0).ExitStatus().has_value(); });
    if (m_cluster.Process(0).ExitStatus() != 0) {
      RecordFailure("the daemon did not exit with status 0 after SIGTERM");
    }
  }
  CheckResumption();
}

// The engine still holds the stream, so a caller with its resume token can get the remaining events
// through any daemon. Faults that slow down the link to the engine outlast the deadline, and the
// request is then cancelled.
void
FaultScenario::CheckResumption()
{
  const bool is_in_time =
    m_fault != ScenarioFault::SilentEndpoint && m_fault != ScenarioFault::SlowBytes;
  if (m_request_type != RequestType::Stream || !m_had_resume_token || !is_in_time ||
      m_step == Step::InShutdown) {
    return;
  }
  // A daemon that was frozen past the deadline cancels the request when it continues, so the
  // retries that count are those sent to the other daemons before that.
  const std::size_t first_index =
    FreezesDaemon() ? m_first_retry_index : m_calls.size() - m_cluster.Size();
  for (std::size_t index = first_index + 1; index < first_index + m_cluster.Size(); ++index) {
    if (m_calls[index]->Outcome() != "done") {
      RecordFailure("a stream was not resumed: " + m_calls[index]->m_body);
    }
  }
}

void
FaultScenario::CheckResults()
{
  if (m_request_type == RequestType::KeyedBid) {
    // The claim determines the identity; callers read it from the response.
    for (const TestCallPtr& call : m_calls) {
      const std::string identity = call->Header(headers::kIdentity);
      if (!identity.empty()) {
        m_identity = identity;
      }
    }
  }
  CheckOutcomes(m_cluster.ExecutionsOf(Endpoint(), RequestId()));
  CheckLiveness();
  if (!m_failures.empty()) {
    RecordFailure("logs of daemons 0 and 1:\n" + m_cluster.LogOf(0) + "--\n" + m_cluster.LogOf(1));
  }
}

}
