#pragma once

#include "GatewayCluster.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace auburnhitch::tests {

/// A kind of request that the soak sends; its name is the first part of its route's path.
struct SoakKind
{
  const char* m_name;
  bool m_is_stream;
  /// Whether it may run more than once.
  bool m_is_idempotent;
};

inline constexpr SoakKind kSoakKinds[]{ { "safe", false, true },
                                        { "unsafe", false, false },
                                        { "stream", true, false },
                                        { "resumable", true, true } };

/// Events in a whole stream of the soak.
inline constexpr int kSoakEvents = 6;

/// The whole body that a caller must get for a request.
std::string
WholeBody(const SoakKind& aKind, const std::string& aRequestId);
/// One event of a stream.
std::string
SoakEvent(const std::string& aRequestId, int aNumber);

/// Holds what endpoints ran against what callers were told. Thread-safe.
class Judge
{
public:
  /// An endpoint has begun to work on a request. aFirstEvent is above 1 when a stream goes on.
  void NoteRun(const std::string& aRequestId, const SoakKind& aKind, int aFirstEvent);
  /// A caller has got all that it will get.
  void NoteAnswer(const std::string& aRequestId,
                  const SoakKind& aKind,
                  const CallerResponse& aAnswer);
  void NoteViolation(const std::string& aWhat);

  /// Judges what can only be known at the end.
  void Close();

  std::vector<std::string> Violations() const;
  std::map<int, int> AnswersByStatus() const;

private:
  struct Known
  {
    const SoakKind* m_kind = nullptr;
    int m_runs = 0;
    /// Status of an answer that says that the request has not run; 0 when there was none.
    int m_not_run_status = 0;
  };

  void Violate(const std::string& aWhat);

  mutable std::mutex m_mutex;
  std::map<std::string, Known> m_requests;
  std::map<int, int> m_answers;
  std::vector<std::string> m_violations;
};

}
