#pragma once

#include <LibCore/Time.h>
#include <map>

namespace auburnhitch {

/// Tells which requests are served too seldom while more arrive than can be served: no kind and no
/// workspace may be served less than a quarter as often as all requests. Pure: owns no clock. Not
/// thread-safe.
class ServedShares
{
public:
  /// Whose share of the served requests is kept above a minimum.
  enum class Floors
  {
    /// Each priority's: the kinds of workspaces of low priority are served alike, whatever they are
    /// worth.
    Priorities,
    /// Each kind's over all workspaces, and that of all workspaces of one priority over all kinds:
    /// the kinds of least worth of the workspaces of lowest priority are served last.
    KindsAndWorkspaces,
  };

  explicit ServedShares(Floors aFloors)
    : m_floors(aFloors)
  {
  }

  // The priorities below are those of CombinedPriority().

  void RecordArrived(int aPriority, TimePoint aNow);
  void RecordServed(int aPriority, TimePoint aNow);
  /// Whether requests of a priority are served too seldom to wait for those of higher ones.
  bool IsStarved(int aPriority, TimePoint aNow);

private:
  /// Exponentially decaying counts.
  struct Counts
  {
    double m_arrived = 0;
    double m_served = 0;
    TimePoint m_decayed_at;

    void Decay(TimePoint aNow);
    bool IsBelow(double aMinShare) const;
  };

  void Record(int aPriority, double Counts::*aCount, TimePoint aNow);

  Floors m_floors;
  std::map<int, Counts> m_priorities;
  std::map<int, Counts> m_kinds;
  std::map<int, Counts> m_workspaces;
  Counts m_all;
};

}
