#include <LibLedger/RequestIdentity.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace auburnhitch {

namespace {

bool
IsPlainText(absl::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [](unsigned char aByte) {
    return std::isalnum(aByte) != 0 || aByte == '-' || aByte == '_';
  });
}

}

std::string
Permit::ToString() const
{
  return absl::StrCat(m_incarnation.Value(), "-", m_period);
}

std::string
RequestIdentity::ToString() const
{
  return absl::StrCat(m_permit.ToString(), "-", m_suffix);
}

std::optional<RequestIdentity>
RequestIdentity::Parse(absl::string_view aText)
{
  const auto first = aText.find('-');
  const auto second = first == absl::string_view::npos ? first : aText.find('-', first + 1);
  if (second == absl::string_view::npos) {
    return std::nullopt;
  }
  const absl::string_view incarnation = aText.substr(0, first);
  const absl::string_view period_text = aText.substr(first + 1, second - first - 1);
  const absl::string_view suffix = aText.substr(second + 1);
  GrantPeriod period = 0;
  // Only the canonical spelling is valid: otherwise one request could have two identities.
  if (!absl::SimpleAtoi(period_text, &period) || period < 0 ||
      absl::StrCat(period) != period_text) {
    return std::nullopt;
  }
  if (!IsPlainText(incarnation) || incarnation.size() > kMaxIncarnationBytes ||
      !IsPlainText(suffix) || suffix.size() > kMaxSuffixBytes) {
    return std::nullopt;
  }
  return RequestIdentity{ Permit{ Incarnation(std::string(incarnation)), period },
                          std::string(suffix) };
}

std::string
RequestKey::ToString() const
{
  return absl::StrCat(m_workspace.Value(), ".", m_identity.ToString());
}

}
