#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburnhitch::tests {

/// What a complete response tells about its endpoint.
struct LimitSample
{
  double m_at_ms = 0;
  /// Measured time from grant to end, as a multiple of the time at the reference endpoint behind
  /// the same prompts.
  double m_slowness = 1;
  /// Mean number of requests that ran at the endpoint meanwhile, this one included.
  double m_concurrency = 1;
};

/// A candidate for the learned concurrency limit of one endpoint.
class LimitCandidate
{
public:
  virtual ~LimitCandidate() = default;
  virtual void Record(const LimitSample& aSample) = 0;
  /// From 1 to the number of slots.
  virtual double Limit() const = 0;
};

/// Creates the candidate of an endpoint with this many slots.
using MakeCandidate = std::function<std::unique_ptr<LimitCandidate>(int aSlots)>;

MakeCandidate
FixedLimit(int aLimit);
/// Additive increase while the slowness is near the lowest one, multiplicative decrease otherwise.
MakeCandidate
AimdLimit();
/// Follows the ratio of the slowness at low concurrency to that of now.
MakeCandidate
GradientLimit();
/// The limit that is wired: it fits the slowness over the number of requests.
MakeCandidate
FittedLimit();

}
