#pragma once

#include <compare>
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

  auto operator<=>(const KeyedRecord&) const = default;
};

}
