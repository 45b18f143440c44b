#pragma once

#include <LibRouting/ConfigurationPlace.h>
#include <compare>
#include <functional>
#include <string>
#include <vector>

namespace auburnhitch {

/// What is wrong or remarkable at one place of a file.
struct CheckFinding
{
  /// The name of the rule that found it.
  std::string m_rule;
  /// A JSON pointer into the file; empty for the file as a whole.
  std::string m_json_pointer;
  /// A sentence without subject, such as "must be at most 800 ms, the timeout".
  std::string m_expected;
  std::string m_came;

  auto operator<=>(const CheckFinding&) const = default;
};

using CheckFindings = std::vector<CheckFinding>;

/// Returns the JSON pointer of a place in the document of a configuration.
using PlaceResolver = std::function<std::string(const ConfigurationPlace&)>;

}
