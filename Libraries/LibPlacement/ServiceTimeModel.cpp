#include <LibPlacement/ServiceTimeModel.h>

#include <algorithm>

namespace auburnhitch {

namespace {

// The reference endpoint is an inference engine at its usual batch size. Actual speeds are learned
// as factors relative to it, so these values only set the proportions of the fixed cost, the
// prompt and the output.
constexpr double kFixedFirstByteMs = 20;
constexpr double kPromptTokensPerMs = 48;
constexpr double kMsPerOutputToken = 3;

// EWMA weight of a new sample: an endpoint that becomes slow is detected after about three
// responses.
constexpr double kSampleWeight = 0.3;
// Samples are clamped to this factor, so that a single outlier does not dominate the estimate.
constexpr double kMaxSampleFactor = 20;

double
Blend(double aOld, double aSample)
{
  const double sample = std::clamp(aSample, 1.0 / kMaxSampleFactor, kMaxSampleFactor);
  return aOld + kSampleWeight * (sample - aOld);
}

}

double
ServiceTimeModel::ReferenceFirstByteMs(const RequestWork& aWork, double aPromptTokensAhead)
{
  return kFixedFirstByteMs + (aWork.m_prompt_tokens + aPromptTokensAhead) / kPromptTokensPerMs;
}

double
ServiceTimeModel::ReferenceRestMs(const RequestWork& aWork)
{
  return aWork.m_output_tokens * kMsPerOutputToken;
}

void
ServiceTimeModel::SetPrior(double aFirstByteSlowness, double aRestSlowness)
{
  m_first_byte_slowness = aFirstByteSlowness;
  m_rest_slowness = aRestSlowness;
}

void
ServiceTimeModel::LearnFirstByte(double aReferenceMs, double aMeasuredMs)
{
  m_first_byte_slowness = Blend(m_first_byte_slowness, aMeasuredMs / std::max(aReferenceMs, 1.0));
  ++m_samples;
}

void
ServiceTimeModel::LearnRest(double aReferenceMs, double aMeasuredMs)
{
  if (aReferenceMs <= 0) {
    return;
  }
  m_rest_slowness = Blend(m_rest_slowness, aMeasuredMs / aReferenceMs);
}

}
