#include <LibPlacement/ServiceTimeModel.h>

#include <algorithm>

namespace auburnhitch {

namespace {

// The reference endpoint: an engine of the users' sheets at its usual batch. Real speeds are
// learned as factors of it, so these only set the proportion of prompt, answer and fixed cost.
constexpr double kFixedFirstMs = 20;
constexpr double kPromptTokensPerMs = 48;
constexpr double kMsPerOutputToken = 3;

// Weight of a new sample: an endpoint that turns slow shows after about three answers.
constexpr double kSampleWeight = 0.3;
// One answer may be off by this factor at most, so that a single odd one does not decide.
constexpr double kMostSampleFactor = 20;

double
Blend(double aOld, double aSample)
{
  const double sample = std::clamp(aSample, 1.0 / kMostSampleFactor, kMostSampleFactor);
  return aOld + kSampleWeight * (sample - aOld);
}

}

double
ServiceTimeModel::ReferenceFirstByteMs(const RequestWork& aWork, double aPromptTokensAhead)
{
  return kFixedFirstMs + (aWork.m_prompt_tokens + aPromptTokensAhead) / kPromptTokensPerMs;
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
