#pragma once

#include <LibPlacement/SlotRequest.h>

namespace auburnhitch {

/// Estimates the service time of an endpoint from its past responses. Work is expressed in
/// milliseconds of a reference endpoint. The model learns two slowness factors relative to that
/// endpoint: one for the time to first byte, one for the time from first byte to end. Performs no
/// I/O. Not thread-safe.
class ServiceTimeModel
{
public:
  /// Time to first byte at the reference endpoint, which processes the prompts ahead first.
  static double ReferenceFirstByteMs(const RequestWork& aWork, double aPromptTokensAhead);
  /// Time from first byte to end at the reference endpoint.
  static double ReferenceRestMs(const RequestWork& aWork);

  double FirstByteSlowness() const { return m_first_byte_slowness; }
  double RestSlowness() const { return m_rest_slowness; }
  bool HasLearned() const { return m_samples > 0; }
  /// Number of first bytes behind the estimate.
  int ResponseCount() const { return m_samples; }
  /// Sets the initial estimates, taken from the median of the other endpoints.
  void SetPrior(double aFirstByteSlowness, double aRestSlowness);

  void LearnFirstByte(double aReferenceMs, double aMeasuredMs);
  void LearnRest(double aReferenceMs, double aMeasuredMs);

private:
  double m_first_byte_slowness = 1.0;
  double m_rest_slowness = 1.0;
  int m_samples = 0;
};

}
