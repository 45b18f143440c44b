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

/// An idempotency key of a caller, as "OFFSET-TEXT": the end of the claim stream when the key was
/// created, and a text that the caller chose. All claims for it are at or after that offset.
struct IdempotencyKey
{
  LogOffset m_issued_at = 0;
  std::string m_text;

  auto operator<=>(const IdempotencyKey&) const = default;

  /// Parses the value of the caller's header; returns nothing if it is malformed. Thread-safe.
  static std::optional<IdempotencyKey> Parse(absl::string_view aText);
  std::string ToString() const;

  static constexpr std::size_t kMaxTextBytes = 128;
};

/// Binds an idempotency key of a workspace to the only identity under which its request may run.
struct Claim
{
  WorkspaceName m_workspace;
  IdempotencyKey m_key;
  RequestIdentity m_identity;

  auto operator<=>(const Claim&) const = default;
};

/// A record of the claim stream: claims that were appended together.
struct ClaimRecord
{
  std::vector<Claim> m_claims;

  std::string ToText() const;
  static std::optional<ClaimRecord> Parse(absl::string_view aText, Findings& aFindings);
};

/// Holds the first claim for each key in the order of the log, which is the same for all readers.
/// Not thread-safe.
class ClaimTable
{
public:
  /// Sets the log's oldest retained offset and drops the claims before it.
  void SetFirstRetained(LogOffset aFirstRetained);
  /// Applies one record. Records before Position() are ignored. A malformed record is skipped and
  /// reported in aFindings.
  void Apply(LogOffset aOffset, absl::string_view aRecord, Findings& aFindings);

  /// The identity in the first claim for the key, or nothing if no claim for it has been read.
  std::optional<RequestIdentity> WinnerOf(const WorkspaceName& aWorkspace,
                                          const IdempotencyKey& aKey) const;

  /// Whether all claims for this key before Position() have been read and are retained.
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
  /// All claims from this offset up to m_position have been read and are retained.
  LogOffset m_complete_from = 0;
  absl::flat_hash_map<WinnerKey, Winner> m_winners;
  /// Keys in m_winners by offset, oldest first; those before m_order_begin are dropped already.
  std::vector<std::pair<LogOffset, WinnerKey>> m_order;
  std::size_t m_order_begin = 0;
};

}
