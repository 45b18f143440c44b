#include "ConcurrencyCandidates.h"

#include <LibPlacement/ConcurrencyLimit.h>
#include <algorithm>

namespace auburnhitch::tests {

namespace {

class Fixed : public LimitCandidate
{
public:
  explicit Fixed(int aLimit)
    : m_limit(aLimit)
  {
  }
  void Record(const LimitSample&) override {}
  double Limit() const override { return m_limit; }

private:
  double m_limit;
};

/// Slowness of an endpoint at low concurrency. It rises slowly, so that an endpoint that has become
/// slow for good is not compared with its past.
class Baseline
{
public:
  double Record(const LimitSample& aSample)
  {
    constexpr double kRiseShare = 0.01;
    m_value = m_value <= 0 || aSample.m_slowness < m_value
                ? aSample.m_slowness
                : m_value + kRiseShare * (aSample.m_slowness - m_value);
    return m_value;
  }

private:
  double m_value = 0;
};

class Aimd : public LimitCandidate
{
public:
  explicit Aimd(int aSlots)
    : m_slots(aSlots)
    , m_limit(aSlots)
  {
  }

  void Record(const LimitSample& aSample) override
  {
    constexpr double kTolerance = 2;
    constexpr double kDecrease = 0.8;
    const bool is_slow = aSample.m_slowness > kTolerance * m_baseline.Record(aSample);
    if (is_slow) {
      m_limit = std::max(1.0, kDecrease * m_limit);
    } else if (aSample.m_concurrency + 1 >= m_limit) {
      m_limit = std::min(m_slots, m_limit + 1 / m_limit);
    }
  }
  double Limit() const override { return m_limit; }

private:
  double m_slots;
  double m_limit;
  Baseline m_baseline;
};

class Gradient : public LimitCandidate
{
public:
  explicit Gradient(int aSlots)
    : m_slots(aSlots)
    , m_limit(aSlots)
  {
  }

  void Record(const LimitSample& aSample) override
  {
    constexpr double kTolerance = 1.5;
    constexpr double kHeadroom = 0.5;
    constexpr double kWeight = 0.2;
    const double gradient =
      std::clamp(kTolerance * m_baseline.Record(aSample) / aSample.m_slowness, 0.5, 1.0);
    const double wanted = gradient * m_limit + kHeadroom;
    m_limit = std::clamp(m_limit + kWeight * (wanted - m_limit), 1.0, m_slots);
  }
  double Limit() const override { return m_limit; }

private:
  double m_slots;
  double m_limit;
  Baseline m_baseline;
};

class Fitted : public LimitCandidate
{
public:
  explicit Fitted(int aSlots)
    : m_limit(aSlots)
  {
  }

  void Record(const LimitSample& aSample) override
  {
    m_limit.Record({ aSample.m_slowness, aSample.m_concurrency },
                   TimePoint{} + std::chrono::duration_cast<Duration>(
                                   std::chrono::duration<double, std::milli>(aSample.m_at_ms)));
  }
  double Limit() const override { return static_cast<double>(m_limit.Limit()); }

private:
  ConcurrencyLimit m_limit;
};

}

MakeCandidate
FixedLimit(int aLimit)
{
  return [aLimit](int aSlots) { return std::make_unique<Fixed>(std::min(aLimit, aSlots)); };
}

MakeCandidate
AimdLimit()
{
  return [](int aSlots) { return std::make_unique<Aimd>(aSlots); };
}

MakeCandidate
GradientLimit()
{
  return [](int aSlots) { return std::make_unique<Gradient>(aSlots); };
}

MakeCandidate
FittedLimit()
{
  return [](int aSlots) { return std::make_unique<Fitted>(aSlots); };
}

}
