#include <LibClaims/ClaimTable.h>

#include <LibCore/JsonObjectReader.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace auburnhitch {

std::optional<IdempotencyKey>
IdempotencyKey::Parse(absl::string_view aText)
{
  const auto dash = aText.find('-');
  if (dash == absl::string_view::npos) {
    return std::nullopt;
  }
  IdempotencyKey key;
  const absl::string_view offset = aText.substr(0, dash);
  key.m_text = std::string(aText.substr(dash + 1));
  if (!absl::SimpleAtoi(offset, &key.m_issued_at) || key.m_issued_at < 0 ||
      absl::StrCat(key.m_issued_at) != offset) {
    return std::nullopt;
  }
  const bool is_printable = std::all_of(
    key.m_text.begin(), key.m_text.end(), [](char aByte) { return aByte > ' ' && aByte < '\x7f'; });
  if (key.m_text.empty() || key.m_text.size() > kMaxTextBytes || !is_printable) {
    return std::nullopt;
  }
  return key;
}

std::string
IdempotencyKey::ToString() const
{
  return absl::StrCat(m_issued_at, "-", m_text);
}

std::string
ClaimRecord::ToText() const
{
  Json claims = Json::array();
  for (const Claim& claim : m_claims) {
    claims.push_back(Json{ { "workspace", claim.m_workspace.Value() },
                           { "key", claim.m_key.ToString() },
                           { "identity", claim.m_identity.ToString() } });
  }
  return Json{ { "claims", std::move(claims) } }.dump();
}

std::optional<ClaimRecord>
ClaimRecord::Parse(absl::string_view aText, Findings& aFindings)
{
  Findings found;
  ClaimRecord record;
  if (const auto json = ParseJson(aText, found)) {
    JsonObjectReader reader(*json, "", found);
    reader.ForEach("claims", 1, [&](const Json& aClaim, const std::string& aJsonPointer) {
      JsonObjectReader claim(aClaim, aJsonPointer, found);
      const WorkspaceName workspace(claim.RequiredString("workspace"));
      const auto key = IdempotencyKey::Parse(claim.RequiredString("key"));
      const auto identity = RequestIdentity::Parse(claim.RequiredString("identity"));
      if (!key || !identity) {
        found.Add(aJsonPointer, "is not a claim");
        return;
      }
      record.m_claims.push_back(Claim{ workspace, *key, *identity });
    });
  }
  aFindings.Append(found);
  if (!found.IsEmpty()) {
    return std::nullopt;
  }
  return record;
}

void
ClaimTable::SetFirstRetained(LogOffset aFirstRetained)
{
  // Records that expired before they were read leave a gap that nothing can fill.
  if (aFirstRetained > m_position) {
    m_position = aFirstRetained;
    m_complete_from = aFirstRetained;
  }
  while (m_order_begin < m_order.size() && m_order[m_order_begin].first < aFirstRetained) {
    m_winners.erase(m_order[m_order_begin].second);
    ++m_order_begin;
  }
  m_complete_from = std::max(m_complete_from, aFirstRetained);
  if (m_order_begin > m_order.size() / 2) {
    m_order.erase(m_order.begin(), m_order.begin() + static_cast<std::ptrdiff_t>(m_order_begin));
    m_order_begin = 0;
  }
}

void
ClaimTable::Apply(LogOffset aOffset, absl::string_view aRecord, Findings& aFindings)
{
  if (aOffset < m_position) {
    return;
  }
  m_position = aOffset + 1;
  const auto record = ClaimRecord::Parse(aRecord, aFindings);
  if (!record) {
    return;
  }
  for (const Claim& claim : record->m_claims) {
    const WinnerKey key(claim.m_workspace, claim.m_key.ToString());
    // A key cannot have been made after its own claim; such a claim binds nothing.
    if (claim.m_key.m_issued_at > aOffset) {
      continue;
    }
    if (m_winners.try_emplace(key, Winner{ aOffset, claim.m_identity }).second) {
      m_order.emplace_back(aOffset, key);
    }
  }
}

std::optional<RequestIdentity>
ClaimTable::WinnerOf(const WorkspaceName& aWorkspace, const IdempotencyKey& aKey) const
{
  auto found = m_winners.find(WinnerKey(aWorkspace, aKey.ToString()));
  if (found == m_winners.end()) {
    return std::nullopt;
  }
  return found->second.m_identity;
}

}
