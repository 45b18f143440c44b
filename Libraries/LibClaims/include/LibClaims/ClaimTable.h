#pragma once

#include <LibCore/Findings.h>
#include <LibCore/StrongString.h>
#include <LibDocument/DocumentFold.h>
#include <LibLedger/RequestIdentity.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <optional>
#include <string>
#include <vector>

namespace auburnhitch {

/// A key that a caller brought with it, as "OFFSET-TEXT": the end of the claim stream when the key
/// was made, and a text of the caller's choice. No claim for it can stand before that offset.
struct IdempotencyKey
{
  LogOffset m_issued_at = 0;
  std::string m_text;

  auto operator<=>(const IdempotencyKey&) const = default;

  /// Reads the caller's header; returns nothing for any other text. Thread-safe.
  static std::optional<IdempotencyKey> Parse(absl::string_view aText);
  std::string ToString() const;

  static constexpr std::size_t kMaxTextBytes = 128;
};

/// Binds a key of one workspace to the identity under which the request may run.
struct Claim
{
  WorkspaceName m_workspace;
  IdempotencyKey m_key;
  RequestIdentity m_identity;

  auto operator<=>(const Claim&) const = default;
};

/// One record of the claim stream: claims that were appended together.
struct ClaimRecord
{
  std::vector<Claim> m_claims;

  std::string ToText() const;
  static std::optional<ClaimRecord> Parse(absl::string_view aText, Findings& aFindings);
};

/// The first claim for each key, by the order of the log. All readers agree. Not thread-safe.
class ClaimTable
{
public:
  /// Tells the log's oldest offset; claims from before it are forgotten.
  void SetFirstRetained(LogOffset aFirstRetained);
  void Apply(LogOffset aOffset, absl::string_view aRecord, Findings& aFindings);

  /// The identity that won the key, if any claim for it has been read.
  std::optional<RequestIdentity> WinnerOf(const WorkspaceName& aWorkspace,
                                          const IdempotencyKey& aKey) const;

  /// Whether all claims that there can be for this key, up to Position(), have been read.
  bool IsDecidable(const IdempotencyKey& aKey) const { return aKey.m_issued_at >= m_complete_from; }
  LogOffset Position() const { return m_position; }
  std::size_t Size() const { return m_winners.size(); }

private:
  struct Winner
  {
    LogOffset m_offset;
    RequestIdentity m_identity;
  };
  using WinnerKey = std::pair<WorkspaceName, std::string>;

  LogOffset m_position = 0;
  LogOffset m_complete_from = 0;
  absl::flat_hash_map<WinnerKey, Winner> m_winners;
  std::vector<std::pair<LogOffset, WinnerKey>> m_order;
  std::size_t m_order_begin = 0;
};

}
