#include <LibDocument/DocumentFold.h>

#include <utility>

namespace auburnhitch {

namespace {

constexpr std::size_t kMaxRememberedResults = 4096;

bool
ReadHeldDocument(const Json& aJson,
                 const std::string& aJsonPointer,
                 HeldDocument& aHeld,
                 Findings& aFindings)
{
  JsonObjectReader reader(aJson, aJsonPointer, aFindings);
  aHeld.m_service = ServiceName(reader.RequiredString("service"));
  aHeld.m_revision = reader.RequiredInteger("revision", 1, INT64_MAX);
  aHeld.m_offset = reader.RequiredInteger("offset", 0, INT64_MAX);
  const Json* document = reader.Member("document");
  if (document == nullptr) {
    aFindings.Add(reader.JsonPointerOf("document"), "is missing");
    return false;
  }
  aHeld.m_document = CheckServiceDocument(*document, aFindings);
  aHeld.m_source = *document;
  return aHeld.m_document != nullptr;
}

}

Json
HeldDocument::ToJson() const
{
  return Json{ { "service", m_service.Value() },
               { "revision", m_revision },
               { "offset", m_offset },
               { "document", m_source } };
}

Json
DocumentSnapshot::ToJson() const
{
  Json documents = Json::array();
  for (const HeldDocument& held : m_documents) {
    documents.push_back(held.ToJson());
  }
  return Json{ { "type", "snapshot" },
               { "position", m_position },
               { "complete", m_is_complete },
               { "documents", std::move(documents) } };
}

std::optional<DocumentSnapshot>
DocumentSnapshot::FromJson(const Json& aJson, Findings& aFindings)
{
  Findings found;
  DocumentSnapshot snapshot;
  JsonObjectReader reader(aJson, "", found);
  snapshot.m_position = reader.RequiredInteger("position", 0, INT64_MAX);
  snapshot.m_is_complete = reader.OptionalBool("complete", true);
  reader.ForEach("documents", 0, [&](const Json& aElement, const std::string& aJsonPointer) {
    HeldDocument held;
    if (ReadHeldDocument(aElement, aJsonPointer, held, found)) {
      snapshot.m_documents.push_back(std::move(held));
    }
  });
  aFindings.Append(found);
  if (!found.IsEmpty()) {
    return std::nullopt;
  }
  return snapshot;
}

Json
Publication::ToJson() const
{
  return Json{ { "type", "publication" },
               { "id", m_id },
               { "service", m_service.Value() },
               { "base", m_base },
               { "document", m_document } };
}

void
DocumentFold::SetFirstRetained(LogOffset aFirstRetained)
{
  if (aFirstRetained <= m_position) {
    return;
  }
  m_missed_before = aFirstRetained;
  m_position = aFirstRetained;
  m_settled = false;
}

void
DocumentFold::Apply(LogOffset aOffset, absl::string_view aRecord, Findings& aFindings)
{
  if (aOffset < m_position) {
    return;
  }
  m_position = aOffset + 1;
  if (aRecord.size() > kMaxDocumentBytes) {
    aFindings.Add("", "record is too large");
    return;
  }
  const std::optional<Json> record = ParseJson(aRecord, aFindings);
  if (!record) {
    return;
  }
  JsonObjectReader reader(*record, "", aFindings);
  const std::string type = reader.RequiredString("type");
  if (type == "publication") {
    ApplyPublication(aOffset, *record, aFindings);
    return;
  }
  if (type != "snapshot") {
    aFindings.Add("/type", "must be 'publication' or 'snapshot'");
    return;
  }
  if (const auto snapshot = DocumentSnapshot::FromJson(*record, aFindings)) {
    m_last_snapshot_offset = aOffset;
    Adopt(*snapshot);
  }
}

void
DocumentFold::ApplyPublication(LogOffset aOffset, const Json& aRecord, Findings& aFindings)
{
  JsonObjectReader reader(aRecord, "", aFindings);
  PendingPublication pending;
  pending.m_offset = aOffset;
  pending.m_publication.m_id = reader.RequiredString("id");
  pending.m_publication.m_service = ServiceName(reader.RequiredString("service"));
  pending.m_publication.m_base = reader.RequiredInteger("base", 0, INT64_MAX);
  const Json* document = reader.Member("document");
  if (document == nullptr) {
    aFindings.Add("/document", "is missing");
    return;
  }
  pending.m_publication.m_document = *document;
  pending.m_document = CheckServiceDocument(*document, aFindings);
  if (pending.m_document == nullptr || pending.m_publication.m_id.empty()) {
    return;
  }
  if (pending.m_document->m_service != pending.m_publication.m_service) {
    aFindings.Add("/service", "differs from the service that the document names");
    return;
  }
  if (!m_settled) {
    m_pending.push_back(std::move(pending));
    return;
  }
  Decide(pending);
}

void
DocumentFold::Decide(const PendingPublication& aPending)
{
  const Publication& publication = aPending.m_publication;
  FoldedState& folded = m_folded[publication.m_service];
  // A snapshot that settled the missed records covers this one too.
  if (aPending.m_offset <= folded.m_offset) {
    if (aPending.m_offset == folded.m_offset) {
      RecordResult(publication.m_id,
                   { PublicationVerdict::Accepted, folded.m_revision, aPending.m_offset });
    }
    return;
  }
  if (publication.m_base != folded.m_revision) {
    RecordResult(publication.m_id,
                 { PublicationVerdict::Refused, folded.m_revision, aPending.m_offset });
    return;
  }
  folded = FoldedState{ publication.m_base + 1, aPending.m_offset };
  RecordResult(publication.m_id,
               { PublicationVerdict::Accepted, folded.m_revision, aPending.m_offset });
  ReplaceIfNewer(HeldDocument{ publication.m_service,
                               folded.m_revision,
                               aPending.m_offset,
                               aPending.m_document,
                               publication.m_document });
}

void
DocumentFold::ReplaceIfNewer(const HeldDocument& aDocument)
{
  HeldDocument& ours = m_held[aDocument.m_service];
  if (aDocument.m_offset > ours.m_offset) {
    ours = aDocument;
  }
}

void
DocumentFold::Adopt(const DocumentSnapshot& aSnapshot)
{
  for (const HeldDocument& theirs : aSnapshot.m_documents) {
    ReplaceIfNewer(theirs);
  }
  if (m_settled || !aSnapshot.m_is_complete || aSnapshot.m_position < m_missed_before) {
    return;
  }
  // The snapshot covers the records that were missed: what came after them can be decided now.
  m_settled = true;
  for (const HeldDocument& theirs : aSnapshot.m_documents) {
    FoldedState& folded = m_folded[theirs.m_service];
    if (theirs.m_offset > folded.m_offset) {
      folded = FoldedState{ theirs.m_revision, theirs.m_offset };
    }
  }
  const auto pending = std::exchange(m_pending, {});
  for (const PendingPublication& publication : pending) {
    Decide(publication);
  }
}

const HeldDocument*
DocumentFold::Find(const ServiceName& aService) const
{
  auto found = m_held.find(aService);
  return found == m_held.end() ? nullptr : &found->second;
}

std::optional<PublicationResult>
DocumentFold::ResultOf(const std::string& aPublicationId) const
{
  auto found = m_results.find(aPublicationId);
  if (found == m_results.end()) {
    return std::nullopt;
  }
  return found->second;
}

void
DocumentFold::RecordResult(const std::string& aId, const PublicationResult& aResult)
{
  if (!m_results.emplace(aId, aResult).second) {
    return;
  }
  m_result_order.push_back(aId);
  if (m_result_order.size() > kMaxRememberedResults) {
    m_results.erase(m_result_order.front());
    m_result_order.erase(m_result_order.begin());
  }
}

DocumentSnapshot
DocumentFold::TakeSnapshot() const
{
  DocumentSnapshot snapshot;
  snapshot.m_position = m_position;
  snapshot.m_is_complete = m_settled;
  for (const auto& [service, held] : m_held) {
    snapshot.m_documents.push_back(held);
  }
  return snapshot;
}

}
