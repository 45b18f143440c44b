#pragma once

#include "GatewayCluster.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace auburnhitch::tests {

/// A kind of request that the soak test sends. Its name is the first segment of its route's path.
struct SoakKind
{
  const char* m_name;
  bool m_is_stream;
  /// Whether an endpoint may execute the request more than once.
  bool m_is_idempotent;
};

inline constexpr SoakKind kSoakKinds[]{ { "safe", false, true },
                                        { "unsafe", false, false },
                                        { "stream", true, false },
                                        { "resumable", true, true } };

/// Number of events in a complete stream.
inline constexpr int kEventsPerStream = 6;

/// The body of a complete successful response to a request.
std::string
ExpectedBody(const SoakKind& aKind, const std::string& aRequestId);
/// One server-sent event of the stream for a request; events are numbered from 1.
std::string
SoakEvent(const std::string& aRequestId, int aNumber);

/// Compares the requests that endpoints executed with the responses that callers received.
/// Thread-safe.
class SoakChecker
{
public:
  /// Called when an endpoint begins to execute a request. aFirstEvent is the first event that it
  /// will send: above 1 when a stream is resumed.
  void RecordExecution(const std::string& aRequestId, const SoakKind& aKind, int aFirstEvent);
  /// Called when a caller has received a response, complete or not, or has none to expect.
  void RecordResponse(const std::string& aRequestId,
                      const SoakKind& aKind,
                      const CallerResponse& aResponse);
  void RecordViolation(const std::string& aWhat);

  /// Checks that no request was executed whose caller received a status that says that it was not.
  /// To be called at the end: a request may be executed after its response was recorded.
  void CheckNotExecuted();

  std::vector<std::string> Violations() const;
  std::map<int, int> ResponsesByStatus() const;

private:
  struct RequestRecord
  {
    const SoakKind* m_kind = nullptr;
    int m_executions = 0;
    /// Status of a response that says that the request was not executed; 0 without one.
    int m_not_executed_status = 0;
  };

  void AddViolation(const std::string& aWhat);

  mutable std::mutex m_mutex;
  std::map<std::string, RequestRecord> m_requests;
  std::map<int, int> m_responses;
  std::vector<std::string> m_violations;
};

}
