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

/// A place in a stream of the log service.
using LogOffset = std::int64_t;
/// Counts the accepted publications of one service; 0 stands for none.
using Revision = std::int64_t;

/// A document in force, and the publication that brought it.
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

/// All documents in force once every record before a position has been taken into account.
struct DocumentSnapshot
{
  LogOffset m_position = 0;
  std::vector<HeldDocument> m_documents;
  /// Whether nothing in force at the position is missing from it.
  bool m_is_complete = true;

  Json ToJson() const;
  /// Reads a snapshot; returns nothing and records findings if any part is wrong.
  static std::optional<DocumentSnapshot> FromJson(const Json& aJson, Findings& aFindings);
};

/// What became of a publication.
enum class PublicationVerdict
{
  Accepted,
  /// Another revision was in force at its offset.
  Refused,
};

struct PublicationResult
{
  PublicationVerdict m_verdict = PublicationVerdict::Refused;
  /// The revision in force after it.
  Revision m_revision = 0;
  LogOffset m_offset = -1;

  auto operator<=>(const PublicationResult&) const = default;
};

/// A publication as it is appended to the log.
struct Publication
{
  /// Random; finds the record again when the answer to its append was lost.
  std::string m_id;
  ServiceName m_service;
  /// The revision on which it builds.
  Revision m_base = 0;
  Json m_document;

  Json ToJson() const;
};

/// Works out the documents in force from the records of the log, from snapshots and from what
/// peers hold. All readers come to the same result, whatever the order in which snapshots and
/// peers' news reach them, and no reader ever goes back to an earlier revision.
///
/// Records may be missing: a new reader begins at the first record retained, and a paused reader
/// may find that records expired. Publications are then put aside until a snapshot that covers
/// the missing records settles what they built on. Not thread-safe.
class DocumentFold
{
public:
  /// Takes the next records to be read into account. aFirstRetained is the log's oldest offset;
  /// a record at or after it that is not next in order reveals missing records.
  void SetFirstRetained(LogOffset aFirstRetained);

  /// Applies one record. Records before Position() are ignored. A malformed record is reported
  /// in aFindings and skipped.
  void Apply(LogOffset aOffset, absl::string_view aRecord, Findings& aFindings);

  /// Takes over what a snapshot or a peer holds, as far as it is ahead.
  void Adopt(const DocumentSnapshot& aSnapshot);

  /// The offset of the next record to read.
  LogOffset Position() const { return m_position; }
  /// Offset of the latest snapshot record that was read, or -1.
  LogOffset LastSnapshotOffset() const { return m_last_snapshot_offset; }
  /// Whether all documents in force at Position() are known.
  bool IsSettled() const { return m_settled; }

  /// The document in force, or null.
  const HeldDocument* Find(const ServiceName& aService) const;
  const std::map<ServiceName, HeldDocument>& All() const { return m_held; }
  /// What became of a publication, if it has been read and settled.
  std::optional<PublicationResult> ResultOf(const std::string& aPublicationId) const;

  /// Everything that is held; complete if IsSettled().
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

  /// What the records read here say of a service, apart from what peers hold.
  struct FoldedState
  {
    Revision m_revision = 0;
    LogOffset m_offset = -1;
  };

  /// In force: the further of what was folded and what was taken over.
  std::map<ServiceName, HeldDocument> m_held;
  std::map<ServiceName, FoldedState> m_folded;
  std::vector<PendingPublication> m_pending;
  LogOffset m_position = 0;
  /// Records before this offset may have been missed.
  LogOffset m_missed_before = 0;
  bool m_settled = true;
  LogOffset m_last_snapshot_offset = -1;
  absl::flat_hash_map<std::string, PublicationResult> m_results;
  std::vector<std::string> m_result_order;
};

}
