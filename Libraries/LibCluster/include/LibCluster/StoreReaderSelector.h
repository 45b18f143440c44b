#pragma once

#include <LibCluster/Membership.h>
#include <cstdint>

namespace auburnhitch {

/// How far a daemon has read each feed of the store: the offset of the next record.
struct TopicPositions
{
  std::uint64_t m_configuration = 0;
  std::uint64_t m_registrations = 0;
  std::uint64_t m_members = 0;

  auto operator<=>(const TopicPositions&) const = default;
};

/// Chooses the daemons that wait at the store for new records. The others read only when one of
/// these tells that there is something new, so that the calls to the store grow with the changes
/// and not with the number of daemons. Content always comes from the store; a daemon that hears no
/// reader reads for itself. Pure: owns no clock. Not thread-safe.
class StoreReaderSelector
{
public:
  struct Limits
  {
    /// Readers in each data centre: one may fail without a gap.
    std::size_t m_readers_per_data_center = 2;
    /// Silence after which a reader is no longer relied on: three of its beacons lost in a row.
    Milliseconds m_heartbeat_timeout{ 1'300 };
  };

  explicit StoreReaderSelector(Limits aLimits)
    : m_limits(aLimits)
  {
  }

  /// Whether aSelf waits at the store itself. True for a daemon that cannot reach the store, so
  /// that it notices when it can.
  bool IsReader(const Member& aSelf, const Membership& aMembership, TimePoint aNow) const;

private:
  Limits m_limits;
};

}
