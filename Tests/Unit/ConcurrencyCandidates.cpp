#include "ConcurrencyCandidates.h"

#include <algorithm>
#include <cmath>

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

/// Keeps, for each batch size, a mean of the logarithm of the slowness. All means of one endpoint
/// are weighted by age, so that a change is followed. Sizes without samples count as no slower than
/// the next smaller one, so that they are tried.
class Fitted : public LimitCandidate
{
public:
  explicit Fitted(int aSlots)
    : m_cells(static_cast<std::size_t>(aSlots) + 1)
    , m_limit(aSlots)
  {
  }

  void Record(const LimitSample& aSample) override
  {
    constexpr double kLifetimeMs = 4'000;
    const double kept = std::exp((m_last_at_ms - aSample.m_at_ms) / kLifetimeMs);
    m_last_at_ms = aSample.m_at_ms;
    for (Cell& cell : m_cells) {
      cell.m_weight *= kept;
      cell.m_sum *= kept;
    }
    // A sample between two batch sizes counts for both.
    const double size =
      std::clamp(aSample.m_concurrency, 1.0, static_cast<double>(m_cells.size() - 1));
    const auto low = static_cast<std::size_t>(size);
    const double upper_share = size - static_cast<double>(low);
    Add(low, 1 - upper_share, std::log(aSample.m_slowness));
    if (upper_share > 0) {
      Add(low + 1, upper_share, std::log(aSample.m_slowness));
    }
    Fit();
  }
  double Limit() const override { return m_limit; }

private:
  struct Cell
  {
    double m_weight = 0;
    double m_sum = 0;
  };

  void Add(std::size_t aSize, double aWeight, double aValue)
  {
    m_cells[aSize].m_weight += aWeight;
    m_cells[aSize].m_sum += aWeight * aValue;
  }

  void Fit()
  {
    // A larger batch has to serve this much more, so that noise does not lower the limit.
    constexpr double kLoss = 0.1;
    constexpr double kMinWeight = 1.5;
    double best_rate = 0;
    double slowness = 0;
    m_limit = 1;
    for (std::size_t size = 1; size < m_cells.size(); ++size) {
      const Cell& cell = m_cells[size];
      if (cell.m_weight >= kMinWeight) {
        slowness = std::exp(cell.m_sum / cell.m_weight);
      }
      const double rate =
        slowness > 0 ? static_cast<double>(size) / slowness : static_cast<double>(size);
      if (slowness == 0 || rate >= (1 - kLoss) * best_rate) {
        m_limit = static_cast<double>(size);
      }
      best_rate = slowness > 0 ? std::max(best_rate, rate) : best_rate;
    }
  }

  std::vector<Cell> m_cells;
  double m_limit;
  double m_last_at_ms = 0;
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
