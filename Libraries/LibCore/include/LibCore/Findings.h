#pragma once

#include <absl/status/status.h>
#include <compare>
#include <string>
#include <vector>

namespace auburnhitch {

/// One thing that is wrong with an input, and where.
struct Finding
{
  /// A JSON pointer into the input, or empty for the whole of it.
  std::string m_json_pointer;
  std::string m_message;

  auto operator<=>(const Finding&) const = default;
};

/// Collects all findings of one check, so that they are reported together.
/// Not thread-safe.
class Findings
{
public:
  void Add(std::string aJsonPointer, std::string aMessage);
  /// Takes over all findings of another check.
  void Append(const Findings& aOther);
  bool IsEmpty() const { return m_findings.empty(); }
  const std::vector<Finding>& All() const { return m_findings; }

  /// One line for each finding: "SOURCE:PLACE: MESSAGE".
  std::string Describe(const std::string& aSource) const;

  /// OK when nothing was found, otherwise InvalidArgument with the description.
  absl::Status ToStatus(const std::string& aSource) const;

private:
  std::vector<Finding> m_findings;
};

}
