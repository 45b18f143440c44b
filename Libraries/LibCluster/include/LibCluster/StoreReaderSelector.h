#pragma once

#include <LibCluster/Membership.h>
#include <LibCluster/TopicPositions.h>

namespace auburnhitch {

/// Chooses the store readers: the daemons that long-poll the store for new records. The others read
/// only when a reader's heartbeat announces new records, so that the number of store calls grows
/// with the changes and not with the number of daemons. Records always come from the store itself.
/// A daemon that receives no reader's heartbeats becomes a reader. Pure: owns no clock. Not
/// thread-safe.
class StoreReaderSelector
{
public:
  struct Limits
  {
    /// Readers in each data centre. With two, one may fail without a gap.
    std::size_t m_readers_per_data_center = 2;
    /// Time without a heartbeat after which a reader counts as failed: three of its heartbeats lost
    /// in a row.
    Milliseconds m_heartbeat_timeout{ 1'300 };
  };

  explicit StoreReaderSelector(Limits aLimits)
    : m_limits(aLimits)
  {
  }

  /// Whether aSelf, this daemon, long-polls the store. True for a daemon that cannot read the
  /// store, so that it notices when the store is reachable again.
  bool IsReader(const Member& aSelf, const Membership& aMembership, TimePoint aNow) const;

private:
  Limits m_limits;
};

}
