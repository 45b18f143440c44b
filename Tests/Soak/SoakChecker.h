#pragma once

#include "CrashChecker.h"
#include "GatewayCluster.h"
#include "LeavingChecker.h"
#include "RestChecker.h"
#include "StatedLimitChecker.h"

#include <map>
#include <mutex>
#include <set>
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

/// A request of a caller.
struct SoakRequest
{
  std::string m_id;
  const SoakKind* m_kind = nullptr;
  std::size_t m_daemon = 0;
  /// The request in whose response the stream began: an earlier one if this request resumes it.
  std::string m_stream;
  /// The first event that the caller expects.
  int m_first_event = 1;
  /// Whether its prompt has the part that crashes endpoints.
  bool m_is_harmful = false;
  /// Whether it is the request that crashes endpoints each time it comes.
  bool m_is_repeated_crash = false;

  bool ResumesStream() const { return m_stream != m_id; }
};

/// The part of a prompt that crashes endpoints.
inline constexpr const char* kHarmfulPart = "bad0";
/// The body of the request that crashes endpoints. All other requests have the same harmless one.
inline constexpr const char* kHarmfulBody = "boom";

/// Number of events in a complete stream.
inline constexpr int kEventsPerStream = 6;

/// The body of a complete successful response to a request.
std::string
ExpectedBody(const SoakRequest& aRequest);
/// One server-sent event of a stream; events are numbered from 1.
std::string
SoakEvent(const std::string& aStream, int aNumber);
/// The same event with a line that states the software version of the endpoint that sent it.
std::string
VersionedSoakEvent(const std::string& aStream, int aNumber, const std::string& aVersion);

/// Compares the requests that endpoints executed with the responses that callers received.
/// Thread-safe.
class SoakChecker
{
public:
  /// aEndpoints: their number.
  explicit SoakChecker(std::size_t aEndpoints);

  /// Called before a caller sends a request.
  void RecordSent(const SoakRequest& aRequest);
  /// Called when an endpoint receives a request, whether or not it executes it. aIncarnation: its
  /// own, or nothing if the request is for another one.
  void RecordArrival(const RawRequest& aRequest,
                     std::size_t aEndpoint,
                     std::optional<int> aIncarnation);
  /// Called when an endpoint refuses a request and asks the daemon for rest.
  void RecordRest(const RawRequest& aRequest,
                  std::size_t aEndpoint,
                  int aIncarnation,
                  std::chrono::milliseconds aRest);
  /// Called when an endpoint begins to execute a request. aFirstEvent is the first event that it
  /// will send: above 1 when a stream is resumed.
  void RecordExecution(const std::string& aRequestId, const SoakKind& aKind, int aFirstEvent);
  /// Called when an endpoint crashes under a prompt.
  void RecordCrash() { m_crashes.RecordCrash(kHarmfulPart); }
  /// Called when an endpoint crashes under the request that comes again.
  void RecordRepeatedCrash() { m_repeated_crashes.RecordCrash(kHarmfulBody); }
  /// Called when a caller has received a response, complete or not, or has none to expect.
  void RecordResponse(const SoakRequest& aRequest, const CallerResponse& aResponse);
  /// A daemon is stopped, killed or paused, or serves again.
  void RecordDisturbance(std::size_t aDaemon, bool aIsOver);
  /// The paths of a daemon to others are cut for this time. What it sends meanwhile does not count
  /// for the limits of endpoints; everything else is checked as usual.
  void RecordCut(std::size_t aDaemon, std::chrono::milliseconds aDuration);
  StatedLimitChecker& LimitOf(std::size_t aEndpoint) { return *m_limits.at(aEndpoint); }
  /// Checks that no endpoint received more requests than the limit that it stated.
  void CheckLimits();
  /// Checks that no endpoint received requests after it had said that it leaves.
  void CheckLeaving();
  /// Checks that endpoints which asked for rest got it.
  void CheckRests();
  /// Checks that requests which crash endpoints are refused after a few crashes.
  void CheckCrashes();
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
  /// The request of a caller that an endpoint received; null if no caller sent it.
  const SoakRequest* FindSent(const RawRequest& aRequest) const;
  /// The daemon from which an endpoint received a request: another than the caller's if that has
  /// forwarded it.
  static std::size_t SenderOf(const RawRequest& aRequest, const SoakRequest& aSent)
  {
    return aRequest.m_daemon.value_or(aSent.m_daemon);
  }
  /// Removes the lines that state versions from the body of a stream, and checks that the stream
  /// has one version.
  std::string CheckVersions(const SoakRequest& aRequest, const CallerResponse& aResponse);

  mutable std::mutex m_mutex;
  std::map<std::string, RequestRecord> m_requests;
  std::map<std::string, SoakRequest> m_sent;
  std::map<std::string, LeavingChecker::Clock::time_point> m_sent_at;
  std::vector<std::unique_ptr<StatedLimitChecker>> m_limits;
  std::vector<std::unique_ptr<LeavingChecker>> m_leaving;
  std::vector<std::unique_ptr<RestChecker>> m_rests;
  CrashChecker m_crashes;
  CrashChecker m_repeated_crashes{ 3 };
  /// The versions whose events callers received, for each stream.
  std::map<std::string, std::set<std::string>> m_versions;
  std::map<int, int> m_responses;
  std::vector<std::string> m_violations;
};

}
