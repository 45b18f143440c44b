#include <LibCore/Findings.h>

#include <utility>

namespace auburnhitch {

void
Findings::Add(std::string aJsonPointer, std::string aMessage)
{
  m_findings.push_back(Finding{ std::move(aJsonPointer), std::move(aMessage) });
}

void
Findings::Append(const Findings& aOther)
{
  m_findings.insert(m_findings.end(), aOther.m_findings.begin(), aOther.m_findings.end());
}

std::string
Findings::Describe(const std::string& aSource) const
{
  std::string text;
  for (const Finding& finding : m_findings) {
    if (!text.empty()) {
      text += "\n";
    }
    text += aSource + ":" + (finding.m_json_pointer.empty() ? "/" : finding.m_json_pointer) + ": ";
    text += finding.m_message;
  }
  return text;
}

absl::Status
Findings::ToStatus(const std::string& aSource) const
{
  if (m_findings.empty()) {
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(Describe(aSource));
}

}
