#include "SoakChecker.h"

#include <absl/strings/str_cat.h>

namespace auburnhitch::tests {

namespace {

bool
SaysNotRun(int aStatus)
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
WholeBody(const SoakKind& aKind, const std::string& aRequestId)
{
  if (!aKind.m_is_stream) {
    return "answer to " + aRequestId;
  }
  std::string body;
  for (int number = 1; number <= kSoakEvents; ++number) {
    body += SoakEvent(aRequestId, number);
  }
  return body;
}

void
Judge::NoteRun(const std::string& aRequestId, const SoakKind& aKind, int aFirstEvent)
{
  const std::lock_guard lock(m_mutex);
  Known& known = m_requests[aRequestId];
  known.m_kind = &aKind;
  ++known.m_runs;
  if (known.m_runs > 1 && !aKind.m_is_idempotent) {
    Violate(absl::StrCat(aKind.m_name, " request ", aRequestId, " ran ", known.m_runs, " times"));
  }
  if (aFirstEvent > 1 && known.m_runs == 1) {
    Violate(absl::StrCat("request ", aRequestId, " began in its middle"));
  }
}

void
Judge::NoteAnswer(const std::string& aRequestId,
                  const SoakKind& aKind,
                  const CallerResponse& aAnswer)
{
  const std::lock_guard lock(m_mutex);
  ++m_answers[aAnswer.m_is_complete ? aAnswer.m_status : 0];
  Known& known = m_requests[aRequestId];
  known.m_kind = &aKind;
  if (aAnswer.m_status == 0) {
    return;
  }
  if (aAnswer.Header("x-request-id") != aRequestId) {
    Violate(absl::StrCat("request ",
                         aRequestId,
                         " was answered as ",
                         aAnswer.Header("x-request-id"),
                         ", status ",
                         aAnswer.m_status));
  }
  if (SaysNotRun(aAnswer.m_status)) {
    known.m_not_run_status = aAnswer.m_status;
  }
  const std::string whole = WholeBody(aKind, aRequestId);
  if (aAnswer.m_status == kOk && aAnswer.m_is_complete &&
      (aAnswer.m_body != whole || aAnswer.Header("x-response-seal") != "seal-" + aRequestId)) {
    Violate(absl::StrCat(aKind.m_name, " request ", aRequestId, " got \"", aAnswer.m_body, "\""));
  }
  if (aAnswer.m_status == kOk && !aAnswer.m_is_complete &&
      whole.compare(0, aAnswer.m_body.size(), aAnswer.m_body) != 0) {
    Violate(
      absl::StrCat(aKind.m_name, " request ", aRequestId, " began as \"", aAnswer.m_body, "\""));
  }
}

void
Judge::NoteViolation(const std::string& aWhat)
{
  const std::lock_guard lock(m_mutex);
  Violate(aWhat);
}

void
Judge::Violate(const std::string& aWhat)
{
  m_violations.push_back(aWhat);
}

void
Judge::Close()
{
  const std::lock_guard lock(m_mutex);
  for (const auto& [id, known] : m_requests) {
    if (known.m_not_run_status != 0 && known.m_runs > 0) {
      Violate(absl::StrCat(known.m_kind->m_name,
                           " request ",
                           id,
                           " was answered ",
                           known.m_not_run_status,
                           " and ran"));
    }
  }
}

std::vector<std::string>
Judge::Violations() const
{
  const std::lock_guard lock(m_mutex);
  return m_violations;
}

std::map<int, int>
Judge::AnswersByStatus() const
{
  const std::lock_guard lock(m_mutex);
  return m_answers;
}

}
