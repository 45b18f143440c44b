#pragma once

#include <LibCore/Time.h>
#include <vector>

namespace auburnhitch {

/// What a complete response tells about the endpoint that gave it.
struct ConcurrencySample
{
  /// Time from grant to end, as a multiple of the time at the reference endpoint behind the same
  /// prompts.
  double m_slowness = 1;
  /// Mean number of requests that ran at the endpoint meanwhile, this one included.
  double m_concurrency = 1;
};

/// Learns how many requests at a time an endpoint takes well: those up to the knee beyond which a
/// further request slows all by more than it adds. Keeps, for each number of requests, a mean of
/// the slowness that is weighted by age, so that it follows a knee that moves. Responds to engines
/// that serve in batches. Uses no clock and no socket. Not thread-safe.
class ConcurrencyLimit
{
public:
  /// Precondition: aSlots is positive.
  explicit ConcurrencyLimit(int aSlots);

  void Record(const ConcurrencySample& aSample, TimePoint aNow);
  /// From 1 to the number of slots; the number of slots as long as nothing tells otherwise.
  std::size_t Limit() const { return m_limit; }

private:
  /// The logarithms of the slowness at one number of requests.
  struct Cell
  {
    double m_weight = 0;
    double m_sum = 0;
  };

  void Add(std::size_t aConcurrency, double aWeight, double aValue);
  void Fit();

  /// By number of requests; the first one is unused.
  std::vector<Cell> m_cells;
  std::size_t m_limit;
  TimePoint m_last_at;
};

}
