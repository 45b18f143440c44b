#include "SoakChecker.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/strip.h>

namespace auburnhitch::tests {

namespace {

bool
MeansNotExecuted(int aStatus)
{
  constexpr int kRequestTimeout = 408;
  constexpr int kMisdirected = 421;
  constexpr int kTooManyRequests = 429;
  constexpr int kUnavailable = 503;
  return aStatus == kRequestTimeout || aStatus == kMisdirected || aStatus == kTooManyRequests ||
         aStatus == kUnavailable;
}

constexpr int kOk = 200;
/// Begins the line of an event that states the version of the endpoint that sent it.
constexpr absl::string_view kVersionField = "version: ";

}

std::string
SoakEvent(const std::string& aStream, int aNumber)
{
  return absl::StrCat("id: ", aNumber, "\ndata: ", aStream, "-", aNumber, "\n\n");
}

std::string
VersionedSoakEvent(const std::string& aStream, int aNumber, const std::string& aVersion)
{
  return absl::StrCat(kVersionField, aVersion, "\n", SoakEvent(aStream, aNumber));
}

std::string
ExpectedBody(const SoakRequest& aRequest)
{
  if (!aRequest.m_kind->m_is_stream) {
    return "answer to " + aRequest.m_id;
  }
  std::string body;
  for (int number = aRequest.m_first_event; number <= kEventsPerStream; ++number) {
    body += SoakEvent(aRequest.m_stream, number);
  }
  return body;
}

SoakChecker::SoakChecker(std::size_t aEndpoints)
{
  for (std::size_t i = 0; i < aEndpoints; ++i) {
    m_limits.push_back(std::make_unique<StatedLimitChecker>());
    m_leaving.push_back(std::make_unique<LeavingChecker>());
    m_rests.push_back(std::make_unique<RestChecker>());
  }
}

void
SoakChecker::RecordSent(const SoakRequest& aRequest)
{
  const std::lock_guard lock(m_mutex);
  m_sent[aRequest.m_id] = aRequest;
  m_sent_at[aRequest.m_id] = LeavingChecker::Clock::now();
}

const SoakRequest*
SoakChecker::FindSent(const RawRequest& aRequest) const
{
  const auto found = m_sent.find(aRequest.Header("x-request-id"));
  return found == m_sent.end() ? nullptr : &found->second;
}

void
SoakChecker::RecordArrival(const RawRequest& aRequest,
                           std::size_t aEndpoint,
                           std::optional<int> aIncarnation)
{
  const std::lock_guard lock(m_mutex);
  const SoakRequest* sent = FindSent(aRequest);
  if (sent == nullptr) {
    return;
  }
  const std::size_t daemon = SenderOf(aRequest, *sent);
  if (sent->m_is_harmful && aIncarnation) {
    m_crashes.RecordArrival(kHarmfulPart, daemon);
  }
  if (sent->m_is_repeated_crash && aIncarnation) {
    m_repeated_crashes.RecordArrival(kHarmfulBody, daemon);
  }
  m_limits.at(aEndpoint)->RecordArrival(daemon);
  if (aIncarnation) {
    m_leaving.at(aEndpoint)->RecordArrival(
      daemon, *aIncarnation, m_sent_at.at(sent->m_id), sent->m_id);
    m_rests.at(aEndpoint)->RecordArrival(daemon, *aIncarnation);
  }
}

void
SoakChecker::RecordRest(const RawRequest& aRequest,
                        std::size_t aEndpoint,
                        int aIncarnation,
                        std::chrono::milliseconds aRest)
{
  const std::lock_guard lock(m_mutex);
  if (const SoakRequest* sent = FindSent(aRequest)) {
    m_rests.at(aEndpoint)->RecordRest(SenderOf(aRequest, *sent), aIncarnation, aRest);
  }
}

void
SoakChecker::RecordDisturbance(std::size_t aDaemon, bool aIsOver)
{
  for (const auto& limit : m_limits) {
    if (aIsOver) {
      limit->EndDisturbance(aDaemon);
    } else {
      limit->BeginDisturbance(aDaemon);
    }
  }
  for (const auto& leaving : m_leaving) {
    leaving->RecordDisturbance(aDaemon);
  }
  for (const auto& rests : m_rests) {
    rests->RecordDisturbance(aDaemon);
  }
  m_crashes.RecordDisturbance(aDaemon, aIsOver);
  m_repeated_crashes.RecordDisturbance(aDaemon, aIsOver);
}

void
SoakChecker::RecordCut(std::size_t aDaemon, std::chrono::milliseconds aDuration)
{
  const auto now = StatedLimitChecker::Clock::now();
  for (const auto& limit : m_limits) {
    limit->RecordDisturbance(aDaemon, now, now + aDuration);
  }
}

void
SoakChecker::CheckCrashes()
{
  for (const CrashChecker* checker : { &m_crashes, &m_repeated_crashes }) {
    for (const std::string& violation : checker->Violations()) {
      RecordViolation(violation);
    }
  }
}

void
SoakChecker::CheckRests()
{
  for (std::size_t endpoint = 0; endpoint < m_rests.size(); ++endpoint) {
    for (const std::string& violation : m_rests[endpoint]->Violations()) {
      RecordViolation(absl::StrCat("endpoint ", endpoint, ": ", violation));
    }
  }
}

void
SoakChecker::CheckLeaving()
{
  for (std::size_t endpoint = 0; endpoint < m_leaving.size(); ++endpoint) {
    for (const std::string& violation : m_leaving[endpoint]->Violations()) {
      RecordViolation(absl::StrCat("endpoint ", endpoint, ": ", violation));
    }
  }
}

void
SoakChecker::CheckLimits()
{
  for (const auto& limit : m_limits) {
    // One overload exceeds the limit in many windows.
    if (const auto violations = limit->Violations(); !violations.empty()) {
      RecordViolation(violations.front());
    }
  }
}

std::string
SoakChecker::CheckVersions(const SoakRequest& aRequest, const CallerResponse& aResponse)
{
  std::set<std::string>& versions = m_versions[aRequest.m_stream];
  std::string body;
  absl::string_view rest = aResponse.m_body;
  while (!rest.empty()) {
    const auto end = rest.find('\n');
    const bool is_whole = end != absl::string_view::npos;
    absl::string_view line = rest.substr(0, is_whole ? end + 1 : rest.size());
    rest.remove_prefix(line.size());
    if (is_whole && absl::ConsumePrefix(&line, kVersionField)) {
      versions.insert(std::string(absl::StripSuffix(line, "\n")));
      continue;
    }
    // A daemon that is killed may cut a response inside such a line.
    const bool is_cut_field =
      !is_whole && !aResponse.m_is_complete &&
      (absl::StartsWith(line, kVersionField) || absl::StartsWith(kVersionField, line));
    if (!is_cut_field) {
      absl::StrAppend(&body, line);
    }
  }
  if (versions.size() > 1) {
    AddViolation(absl::StrCat("stream ",
                              aRequest.m_stream,
                              " holds events of the versions ",
                              absl::StrJoin(versions, " and "),
                              "; the last request was ",
                              aRequest.m_id));
    versions.clear();
  }
  return body;
}

void
SoakChecker::RecordExecution(const std::string& aRequestId, const SoakKind& aKind, int aFirstEvent)
{
  const std::lock_guard lock(m_mutex);
  RequestRecord& record = m_requests[aRequestId];
  record.m_kind = &aKind;
  ++record.m_executions;
  if (record.m_executions > 1 && !aKind.m_is_idempotent) {
    AddViolation(absl::StrCat(aKind.m_name,
                              " request ",
                              aRequestId,
                              " was executed ",
                              record.m_executions,
                              " times, expected at most once"));
  }
  const auto sent = m_sent.find(aRequestId);
  const int expected_event = sent == m_sent.end() ? 1 : sent->second.m_first_event;
  if (aFirstEvent != expected_event && record.m_executions == 1) {
    AddViolation(absl::StrCat("request ",
                              aRequestId,
                              ": the first execution started at event ",
                              aFirstEvent,
                              ", expected event ",
                              expected_event));
  }
}

void
SoakChecker::RecordResponse(const SoakRequest& aRequest, const CallerResponse& aResponse)
{
  const std::lock_guard lock(m_mutex);
  const std::string& id = aRequest.m_id;
  const SoakKind& kind = *aRequest.m_kind;
  std::size_t endpoint = 0;
  if (!aResponse.Header("server-limit").empty() &&
      absl::SimpleAtoi(aResponse.Header("x-endpoint"), &endpoint)) {
    m_limits.at(endpoint)->RecordNotified(aRequest.m_daemon);
  }
  int incarnation = 0;
  if (aResponse.Header("server-leaving") == "1" &&
      absl::SimpleAtoi(aResponse.Header("x-endpoint"), &endpoint) &&
      absl::SimpleAtoi(aResponse.Header("x-incarnation"), &incarnation)) {
    m_leaving.at(endpoint)->RecordForwarded(aRequest.m_daemon, incarnation);
  }
  ++m_responses[aResponse.m_is_complete ? aResponse.m_status : 0];
  RequestRecord& record = m_requests[id];
  record.m_kind = aRequest.m_kind;
  if (aResponse.m_status == 0) {
    return;
  }
  if (aResponse.Header("x-request-id") != id) {
    AddViolation(absl::StrCat("request ",
                              id,
                              ": the response carries request id \"",
                              aResponse.Header("x-request-id"),
                              "\", status ",
                              aResponse.m_status));
  }
  if (MeansNotExecuted(aResponse.m_status)) {
    record.m_not_executed_status = aResponse.m_status;
  }
  const std::string expected_body = ExpectedBody(aRequest);
  const std::string body = kind.m_is_stream && kind.m_is_idempotent
                             ? CheckVersions(aRequest, aResponse)
                             : aResponse.m_body;
  if (aResponse.m_status == kOk && aResponse.m_is_complete &&
      (body != expected_body || aResponse.Header("x-response-seal") != "seal-" + id)) {
    AddViolation(absl::StrCat(kind.m_name,
                              " request ",
                              id,
                              ": complete response with body \"",
                              body,
                              "\" and seal \"",
                              aResponse.Header("x-response-seal"),
                              "\", expected body \"",
                              expected_body,
                              "\" and seal \"seal-",
                              id,
                              "\""));
  }
  if (aResponse.m_status == kOk && !aResponse.m_is_complete &&
      expected_body.compare(0, body.size(), body) != 0) {
    AddViolation(absl::StrCat(kind.m_name,
                              " request ",
                              id,
                              ": truncated response with body \"",
                              body,
                              "\", expected a prefix of \"",
                              expected_body,
                              "\""));
  }
}

void
SoakChecker::RecordViolation(const std::string& aWhat)
{
  const std::lock_guard lock(m_mutex);
  AddViolation(aWhat);
}

void
SoakChecker::AddViolation(const std::string& aWhat)
{
  m_violations.push_back(aWhat);
}

void
SoakChecker::CheckNotExecuted()
{
  const std::lock_guard lock(m_mutex);
  for (const auto& [id, record] : m_requests) {
    if (record.m_not_executed_status != 0 && record.m_executions > 0) {
      AddViolation(absl::StrCat(record.m_kind->m_name,
                                " request ",
                                id,
                                " was executed although its caller received status ",
                                record.m_not_executed_status));
    }
  }
}

std::vector<std::string>
SoakChecker::Violations() const
{
  const std::lock_guard lock(m_mutex);
  return m_violations;
}

std::map<int, int>
SoakChecker::ResponsesByStatus() const
{
  const std::lock_guard lock(m_mutex);
  return m_responses;
}

}
