#pragma once

#include <compare>
#include <cstdint>

namespace auburnhitch {

/// Bounds on what a version may receive before its verdict.
struct ExposureBounds
{
  /// Share of the requests of the service, and a number besides.
  double m_share = 0;
  double m_slack = 0;

  auto operator<=>(const ExposureBounds&) const = default;
};

/// Counts requests of a service and those sent to a version. Pure. Not thread-safe.
class ExposureBudget
{
public:
  explicit ExposureBudget(ExposureBounds aBounds)
    : m_bounds(aBounds)
  {
  }

  void RecordArrival() { ++m_arrived; }
  void RecordSent() { ++m_sent; }
  /// Continues a count: aSent may be higher than what was sent, and aArrived lower than what has
  /// arrived, but not the other way round.
  void Restore(std::uint64_t aArrived, std::uint64_t aSent)
  {
    m_arrived = aArrived;
    m_sent = aSent;
  }
  /// Whether this many more requests may be sent within a part (0 to 1) of the bounds.
  bool Permits(double aPart, int aCount = 1) const;
  std::uint64_t Arrived() const { return m_arrived; }
  std::uint64_t Sent() const { return m_sent; }

private:
  ExposureBounds m_bounds;
  std::uint64_t m_arrived = 0;
  std::uint64_t m_sent = 0;
};

}
