#include <LibPlacement/ConcurrencyLimit.h>

#include <algorithm>
#include <cmath>

namespace auburnhitch {

namespace {

// Time constant of the weight of a sample. Endpoints turn slow for 600 ms at a time, which has to
// average out, and a knee that moves has to be followed.
constexpr double kSampleLifetimeMs = 5'000;
// Share by which more requests may serve less before the limit excludes them: noise must not lower
// it.
constexpr double kToleratedLoss = 0.1;
// Weight of the samples from which on a mean counts. Fewer samples count as no slower than the next
// smaller number of requests, so that the endpoint is tried.
constexpr double kMinWeight = 0.7;
// Samples are clamped to this factor, so that a single outlier does not dominate a mean.
constexpr double kMaxSlowness = 100;

}

ConcurrencyLimit::ConcurrencyLimit(int aSlots)
  : m_cells(static_cast<std::size_t>(aSlots) + 1)
  , m_limit(static_cast<std::size_t>(aSlots))
{
}

void
ConcurrencyLimit::Record(const ConcurrencySample& aSample, TimePoint aNow)
{
  const double elapsed_ms = std::chrono::duration<double, std::milli>(aNow - m_last_at).count();
  const double kept = std::exp(-elapsed_ms / kSampleLifetimeMs);
  m_last_at = aNow;
  for (Cell& cell : m_cells) {
    cell.m_weight *= kept;
    cell.m_sum *= kept;
  }
  const double value = std::log(std::clamp(aSample.m_slowness, 1 / kMaxSlowness, kMaxSlowness));
  const double concurrency =
    std::clamp(aSample.m_concurrency, 1.0, static_cast<double>(m_cells.size() - 1));
  // A sample between two numbers of requests counts for both.
  const auto lower = static_cast<std::size_t>(concurrency);
  const double upper_share = concurrency - static_cast<double>(lower);
  Add(lower, 1 - upper_share, value);
  if (upper_share > 0) {
    Add(lower + 1, upper_share, value);
  }
  Fit();
}

void
ConcurrencyLimit::Add(std::size_t aConcurrency, double aWeight, double aValue)
{
  m_cells[aConcurrency].m_weight += aWeight;
  m_cells[aConcurrency].m_sum += aWeight * aValue;
}

void
ConcurrencyLimit::Fit()
{
  double best_rate = 0;
  double slowness = 0;
  m_limit = 1;
  for (std::size_t concurrency = 1; concurrency < m_cells.size(); ++concurrency) {
    const Cell& cell = m_cells[concurrency];
    if (cell.m_weight >= kMinWeight) {
      slowness = std::exp(cell.m_sum / cell.m_weight);
    }
    if (slowness == 0) {
      m_limit = concurrency;
      continue;
    }
    const double rate = static_cast<double>(concurrency) / slowness;
    if (rate >= (1 - kToleratedLoss) * best_rate) {
      m_limit = concurrency;
    }
    best_rate = std::max(best_rate, rate);
  }
}

}
