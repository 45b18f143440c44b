#pragma once

#include <LibCore/Time.h>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace auburnhitch {

/// A record of a keyed topic.
struct KeyedRecord
{
  /// The record in place of one that cannot be decoded: its value is malformed for every topic.
  static KeyedRecord Malformed() { return { "", "" }; }

  std::string m_key;
  /// Nothing when the record deletes its key.
  std::optional<std::string> m_value;
  /// Where it stands in its topic, if it was read and the store has stated that.
  std::optional<std::uint64_t> m_offset;
  /// Since when this daemon has known that the record exists, if it was read or forwarded after a
  /// snapshot: the store acknowledged the record before that.
  std::optional<TimePoint> m_known_at;

  auto operator<=>(const KeyedRecord&) const = default;
};

}
