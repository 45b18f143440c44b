#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace auburnhitch {

/// Numbers the histories of the store. It rises when the store loses records that it had
/// acknowledged and gives out their offsets again.
using StoreEra = std::uint64_t;

/// How far a daemon has read each topic of the store: the offset of the next record, 0 if nothing
/// has been read. Offsets of different eras cannot be compared. Immutable.
struct TopicPositions
{
  std::uint64_t m_configuration = 0;
  std::uint64_t m_registrations = 0;
  std::uint64_t m_members = 0;
  /// The era of the offsets. Nothing if the store states none, or if the daemon that sent the
  /// positions is of a version that does not tell.
  std::optional<StoreEra> m_era = std::nullopt;

  auto operator<=>(const TopicPositions&) const = default;
};

}
