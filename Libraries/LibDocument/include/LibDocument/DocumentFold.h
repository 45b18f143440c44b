#pragma once

#include <LibDocument/ServiceDocument.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnhitch {

/// Offset of a record in a stream of the log service.
using LogOffset = std::int64_t;
/// Number of accepted publications of one service; 0 if there are none.
using Revision = std::int64_t;

/// A document in force, with the revision and offset of its publication.
struct HeldDocument
{
  ServiceName m_service;
  Revision m_revision = 0;
  /// Offset of the publication that was accepted.
  LogOffset m_offset = -1;
  ServiceDocumentPtr m_document;
  /// The document as it was published.
  Json m_source;

  Json ToJson() const;
};

/// All documents in force after every record before a position has been applied.
struct DocumentSnapshot
{
  LogOffset m_position = 0;
  std::vector<HeldDocument> m_documents;
  /// Whether it holds every document that is in force at the position.
  bool m_is_complete = true;

  Json ToJson() const;
  /// Parses a snapshot; returns nothing and adds findings if any part is invalid.
  static std::optional<DocumentSnapshot> FromJson(const Json& aJson, Findings& aFindings);
};

/// Whether a publication was accepted.
enum class PublicationVerdict
{
  Accepted,
  /// The revision in force at its offset was not its base revision.
  Refused,
};

struct PublicationResult
{
  PublicationVerdict m_verdict = PublicationVerdict::Refused;
  /// The revision in force after the publication.
  Revision m_revision = 0;
  LogOffset m_offset = -1;

  auto operator<=>(const PublicationResult&) const = default;
};

/// A publication as it is appended to the log.
struct Publication
{
  /// Random; identifies the record in the log if the response to its append was lost.
  std::string m_id;
  ServiceName m_service;
  /// The revision that it replaces; the publication is refused if another one is in force.
  Revision m_base = 0;
  Json m_document;

  Json ToJson() const;
};

/// Computes the documents in force from the records of the log, from snapshots and from the
/// documents of peers. All readers reach the same result, in whatever order snapshots and peer
/// updates arrive, and no reader returns to an earlier revision.
///
/// Records may be missing: a new reader begins at the first retained record, and records may expire
/// while a reader is paused. Publications are then pending until a snapshot that covers the missing
/// records determines their base revisions. Not thread-safe.
class DocumentFold
{
public:
  /// Sets the log's oldest retained offset. If it is past Position(), the records between were
  /// missed: reading continues at aFirstRetained, and the fold is not settled until a snapshot
  /// covers the missed records.
  void SetFirstRetained(LogOffset aFirstRetained);

  /// Applies one record. Records before Position() are ignored. A malformed record is skipped and
  /// reported in aFindings.
  void Apply(LogOffset aOffset, absl::string_view aRecord, Findings& aFindings);

  /// Applies the documents of a snapshot or a peer that are newer than those held.
  void Adopt(const DocumentSnapshot& aSnapshot);

  /// The offset of the next record to read.
  LogOffset Position() const { return m_position; }
  /// Offset of the latest snapshot record that was applied, or -1.
  LogOffset LastSnapshotOffset() const { return m_last_snapshot_offset; }
  /// Whether all documents in force at Position() are known.
  bool IsSettled() const { return m_settled; }

  /// The document in force, or null.
  const HeldDocument* Find(const ServiceName& aService) const;
  const std::map<ServiceName, HeldDocument>& All() const { return m_held; }
  /// Result of a publication, or nothing if it was not read, is pending, or is no longer recorded.
  std::optional<PublicationResult> ResultOf(const std::string& aPublicationId) const;

  /// A snapshot of all held documents; it is complete if IsSettled().
  DocumentSnapshot TakeSnapshot() const;

private:
  struct PendingPublication
  {
    LogOffset m_offset;
    Publication m_publication;
    ServiceDocumentPtr m_document;
  };

  void ApplyPublication(LogOffset aOffset, const Json& aRecord, Findings& aFindings);
  void Decide(const PendingPublication& aPending);
  void ReplaceIfNewer(const HeldDocument& aDocument);
  void RecordResult(const std::string& aId, const PublicationResult& aResult);

  /// State of a service according to the log: from the records applied here and from a snapshot
  /// that covered missed records. Other documents of peers do not count.
  struct FoldedState
  {
    Revision m_revision = 0;
    LogOffset m_offset = -1;
  };

  /// The documents in force: for each service, the newest from the log, a snapshot or a peer.
  std::map<ServiceName, HeldDocument> m_held;
  std::map<ServiceName, FoldedState> m_folded;
  /// Publications that were read while the fold was not settled.
  std::vector<PendingPublication> m_pending;
  LogOffset m_position = 0;
  /// Records before this offset may have been missed.
  LogOffset m_missed_before = 0;
  bool m_settled = true;
  LogOffset m_last_snapshot_offset = -1;
  absl::flat_hash_map<std::string, PublicationResult> m_results;
  /// Publication ids in m_results, oldest first.
  std::vector<std::string> m_result_order;
};

}
