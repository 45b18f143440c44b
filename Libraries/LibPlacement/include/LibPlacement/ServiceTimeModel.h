#pragma once

#include <LibPlacement/SlotRequest.h>

namespace auburnhitch {

/// How long an endpoint takes, learned from the answers it gave. Work is expressed in milliseconds
/// of a reference endpoint; what is learned is how many milliseconds one of these takes here, apart
/// for the time to the first part of an answer and for the rest. Pure. Not thread-safe.
class ServiceTimeModel
{
public:
  /// Reference time to the first part of an answer, with prompts of others ahead of it.
  static double ReferenceFirstByteMs(const RequestWork& aWork, double aPromptTokensAhead);
  /// Reference time from the first part of an answer to its end.
  static double ReferenceRestMs(const RequestWork& aWork);

  double FirstByteSlowness() const { return m_first_byte_slowness; }
  double RestSlowness() const { return m_rest_slowness; }
  bool HasLearned() const { return m_samples > 0; }
  /// Begins from what is usual among the other endpoints.
  void SetPrior(double aFirstByteSlowness, double aRestSlowness);

  void LearnFirstByte(double aReferenceMs, double aMeasuredMs);
  void LearnRest(double aReferenceMs, double aMeasuredMs);

private:
  double m_first_byte_slowness = 1.0;
  double m_rest_slowness = 1.0;
  int m_samples = 0;
};

}
