#pragma once

#include <absl/status/status.h>
#include <compare>
#include <string>
#include <vector>

namespace auburnhitch {

/// One error in an input and its location.
struct Finding
{
  /// A JSON pointer into the input; empty for the input as a whole.
  std::string m_json_pointer;
  std::string m_message;

  auto operator<=>(const Finding&) const = default;
};

/// Collects all findings of one check, so that they are reported together. Not thread-safe.
class Findings
{
public:
  void Add(std::string aJsonPointer, std::string aMessage);
  /// Adds all findings of another check.
  void Append(const Findings& aOther);
  bool IsEmpty() const { return m_findings.empty(); }
  const std::vector<Finding>& All() const { return m_findings; }

  /// One line for each finding: "SOURCE:JSON-POINTER: MESSAGE".
  std::string Describe(const std::string& aSource) const;

  /// OK without findings, otherwise InvalidArgument with their description.
  absl::Status ToStatus(const std::string& aSource) const;

private:
  std::vector<Finding> m_findings;
};

}
