#include <LibPlacement/ServedShares.h>

#include <LibPlacement/SlotRequest.h>
#include <cmath>

namespace auburnhitch {

namespace {

// A share is kept above this part of the share of all requests, or above this share itself. No kind
// may be served less than a quarter as often as all kinds together.
constexpr double kMinServedShare = 0.3;
// The share that is served is not meaningful for fewer arrivals.
constexpr double kMinArrivals = 4;
// Time constant of the counts; about the length of two bursts.
constexpr double kDecaySeconds = 5;

}

void
ServedShares::Counts::Decay(TimePoint aNow)
{
  const double passed = std::chrono::duration<double>(aNow - m_decayed_at).count();
  if (passed <= 0) {
    return;
  }
  const double factor = std::exp(-passed / kDecaySeconds);
  m_arrived *= factor;
  m_served *= factor;
  m_decayed_at = aNow;
}

bool
ServedShares::Counts::IsBelow(double aMinShare) const
{
  return m_arrived >= kMinArrivals && m_served < aMinShare * m_arrived;
}

void
ServedShares::Record(int aPriority, double Counts::*aCount, TimePoint aNow)
{
  for (Counts* counts : { &m_priorities[aPriority],
                          &m_kinds[RoutePriorityOf(aPriority)],
                          &m_workspaces[WorkspacePriorityOf(aPriority)],
                          &m_all }) {
    counts->Decay(aNow);
    counts->*aCount += 1;
  }
}

void
ServedShares::RecordArrived(int aPriority, TimePoint aNow)
{
  Record(aPriority, &Counts::m_arrived, aNow);
}

void
ServedShares::RecordServed(int aPriority, TimePoint aNow)
{
  Record(aPriority, &Counts::m_served, aNow);
}

bool
ServedShares::IsStarved(int aPriority, TimePoint aNow)
{
  const auto is_below = [aNow](Counts& aCounts, double aMinShare) {
    aCounts.Decay(aNow);
    return aCounts.IsBelow(aMinShare);
  };
  if (m_floors == Floors::Priorities) {
    return is_below(m_priorities[aPriority], kMinServedShare);
  }
  m_all.Decay(aNow);
  if (m_all.m_arrived < kMinArrivals) {
    return false;
  }
  const double min_share = kMinServedShare * m_all.m_served / m_all.m_arrived;
  return is_below(m_kinds[RoutePriorityOf(aPriority)], min_share) ||
         is_below(m_workspaces[WorkspacePriorityOf(aPriority)], min_share);
}

}
