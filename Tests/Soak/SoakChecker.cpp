#include "SoakChecker.h"

#include <absl/strings/str_cat.h>

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

}

std::string
SoakEvent(const std::string& aRequestId, int aNumber)
{
  return absl::StrCat("id: ", aNumber, "\ndata: ", aRequestId, "-", aNumber, "\n\n");
}

std::string
ExpectedBody(const SoakKind& aKind, const std::string& aRequestId)
{
  if (!aKind.m_is_stream) {
    return "answer to " + aRequestId;
  }
  std::string body;
  for (int number = 1; number <= kEventsPerStream; ++number) {
    body += SoakEvent(aRequestId, number);
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
  if (aFirstEvent > 1 && record.m_executions == 1) {
    AddViolation(absl::StrCat("request ",
                              aRequestId,
                              ": the first execution started at event ",
                              aFirstEvent,
                              ", expected event 1"));
  }
}

void
SoakChecker::RecordResponse(const std::string& aRequestId,
                            const SoakKind& aKind,
                            const CallerResponse& aResponse)
{
  const std::lock_guard lock(m_mutex);
  ++m_responses[aResponse.m_is_complete ? aResponse.m_status : 0];
  RequestRecord& record = m_requests[aRequestId];
  record.m_kind = &aKind;
  if (aResponse.m_status == 0) {
    return;
  }
  if (aResponse.Header("x-request-id") != aRequestId) {
    AddViolation(absl::StrCat("request ",
                              aRequestId,
                              ": the response carries request id \"",
                              aResponse.Header("x-request-id"),
                              "\", status ",
                              aResponse.m_status));
  }
  if (MeansNotExecuted(aResponse.m_status)) {
    record.m_not_executed_status = aResponse.m_status;
  }
  const std::string expected_body = ExpectedBody(aKind, aRequestId);
  if (aResponse.m_status == kOk && aResponse.m_is_complete &&
      (aResponse.m_body != expected_body ||
       aResponse.Header("x-response-seal") != "seal-" + aRequestId)) {
    AddViolation(absl::StrCat(aKind.m_name,
                              " request ",
                              aRequestId,
                              ": complete response with body \"",
                              aResponse.m_body,
                              "\" and seal \"",
                              aResponse.Header("x-response-seal"),
                              "\", expected body \"",
                              expected_body,
                              "\" and seal \"seal-",
                              aRequestId,
                              "\""));
  }
  if (aResponse.m_status == kOk && !aResponse.m_is_complete &&
      expected_body.compare(0, aResponse.m_body.size(), aResponse.m_body) != 0) {
    AddViolation(absl::StrCat(aKind.m_name,
                              " request ",
                              aRequestId,
                              ": truncated response with body \"",
                              aResponse.m_body,
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
