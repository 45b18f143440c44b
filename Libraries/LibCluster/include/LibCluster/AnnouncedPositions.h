#pragma once

#include <LibCluster/Membership.h>
#include <LibCluster/TopicPositions.h>
#include <map>

namespace auburnhitch {

/// Decides what the positions that another daemon announces say about this daemon's own. Pure. Not
/// thread-safe.
class AnnouncedPositions
{
public:
  enum class Meaning
  {
    /// Nothing can be concluded from the positions.
    Ignored,
    /// The offsets are of the same history as this daemon's.
    Comparable,
    /// The store may have gone back since this daemon read it.
    StoreMayHaveGoneBack,
  };

  /// Records the positions that a daemon announces and returns what they mean. aOwnEra: the era of
  /// this daemon's positions, if the store states one.
  Meaning Record(const Member& aSender,
                 const TopicPositions& aPositions,
                 std::optional<StoreEra> aOwnEra);

private:
  /// Whether a daemon that states no era announces a smaller offset than before.
  bool HasGoneBack(const Member& aSender, const TopicPositions& aPositions);

  struct Announcement
  {
    Incarnation m_incarnation;
    TopicPositions m_positions;
  };

  std::map<HostName, Announcement> m_without_era;
  /// The highest era of another daemon that is beyond this daemon's own. The store is asked once
  /// for each.
  std::optional<StoreEra> m_highest_era;
};

}
