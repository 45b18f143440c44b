#include "TestDocuments.h"

#include <doctest.h>
#include <random>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

const ServiceName kDesk("desk");

Revision
RevisionOf(const DocumentFold& aFold, const ServiceName& aService = kDesk)
{
  const HeldDocument* held = aFold.Find(aService);
  return held == nullptr ? 0 : held->m_revision;
}

void
ApplyClean(DocumentFold& aFold, LogOffset aOffset, const std::string& aRecord)
{
  Findings findings;
  aFold.Apply(aOffset, aRecord, findings);
  CHECK(findings.IsEmpty());
}

/// A log as operators, racing and repeating themselves, might have written it.
std::vector<std::string>
RandomLog(std::mt19937& aRandom, std::size_t aRecords)
{
  std::vector<std::string> records;
  std::map<std::string, Revision> next_base;
  for (std::size_t index = 0; index < aRecords; ++index) {
    const std::string service = aRandom() % 2 == 0 ? "desk" : "hall";
    const Revision lag = static_cast<Revision>(aRandom() % 3);
    const Revision base = std::max<Revision>(0, next_base[service] - lag);
    if (base == next_base[service]) {
      ++next_base[service];
    }
    records.push_back(
      PublicationRecord("p" + std::to_string(index), service, base, static_cast<int>(index) + 1));
  }
  return records;
}

DocumentFold
FoldOf(const std::vector<std::string>& aLog, std::size_t aUpTo)
{
  DocumentFold fold;
  for (std::size_t index = 0; index < aUpTo; ++index) {
    Findings findings;
    fold.Apply(static_cast<LogOffset>(index), aLog[index], findings);
  }
  return fold;
}

}

TEST_CASE("Of two racing publications exactly the first by offset is accepted")
{
  DocumentFold fold;
  ApplyClean(fold, 0, PublicationRecord("a", "desk", 0, 1));
  ApplyClean(fold, 1, PublicationRecord("b", "desk", 1, 2));
  ApplyClean(fold, 2, PublicationRecord("c", "desk", 1, 3));
  CHECK(fold.ResultOf("b")->m_verdict == PublicationVerdict::Accepted);
  CHECK(fold.ResultOf("c")->m_verdict == PublicationVerdict::Refused);
  CHECK(RevisionOf(fold) == 2);
  CHECK(fold.Find(kDesk)->m_document->m_workspaces[0].m_share == 2);
}

TEST_CASE("A publication that stands twice in the log is accepted once")
{
  DocumentFold fold;
  ApplyClean(fold, 0, PublicationRecord("a", "desk", 0, 1));
  ApplyClean(fold, 1, PublicationRecord("a", "desk", 0, 1));
  CHECK(fold.ResultOf("a")->m_verdict == PublicationVerdict::Accepted);
  CHECK(RevisionOf(fold) == 1);
}

TEST_CASE("Corrupt, oversized and foreign records are reported and skipped")
{
  DocumentFold fold;
  ApplyClean(fold, 0, PublicationRecord("a", "desk", 0, 1));
  const std::vector<std::string> bad{
    "",
    "{",
    "[]",
    R"({"type":"dance"})",
    R"({"type":"publication","id":"x","service":"desk","base":1})",
    R"({"type":"snapshot","position":-4})",
    R"({"type":"snapshot","position":9,"documents":[{"service":"desk","revision":9,"offset":9}]})",
    std::string(kMaxDocumentBytes + 1, 'x')
  };
  LogOffset offset = 1;
  for (const std::string& record : bad) {
    Findings findings;
    fold.Apply(offset++, record, findings);
    CHECK_FALSE(findings.IsEmpty());
    CHECK(RevisionOf(fold) == 1);
  }
  ApplyClean(fold, offset, PublicationRecord("b", "desk", 1, 2));
  CHECK(RevisionOf(fold) == 2);
}

TEST_CASE(
  "A reader that begins after records expired decides nothing before a snapshot covers them")
{
  std::mt19937 random(7);
  const auto log = RandomLog(random, 12);
  const DocumentFold full = FoldOf(log, 12);

  DocumentFold late;
  late.SetFirstRetained(6);
  for (LogOffset offset = 6; offset < 12; ++offset) {
    ApplyClean(late, offset, log[static_cast<std::size_t>(offset)]);
  }
  CHECK_FALSE(late.IsSettled());
  CHECK(RevisionOf(late) == 0);
  // One that covers too little settles nothing.
  late.Adopt(FoldOf(log, 3).TakeSnapshot());
  CHECK_FALSE(late.IsSettled());
  late.Adopt(FoldOf(log, 7).TakeSnapshot());
  CHECK(late.IsSettled());
  CHECK(RevisionOf(late) == RevisionOf(full));
  CHECK(RevisionOf(late, ServiceName("hall")) == RevisionOf(full, ServiceName("hall")));
}

TEST_CASE("What a peer holds never settles a race by itself")
{
  // The peer knows revision 2 but has missed records of its own.
  DocumentFold peer;
  ApplyClean(peer, 0, PublicationRecord("a", "desk", 0, 1));
  ApplyClean(peer, 1, PublicationRecord("b", "desk", 1, 2));
  DocumentSnapshot partial = peer.TakeSnapshot();
  partial.m_is_complete = false;

  DocumentFold late;
  late.SetFirstRetained(2);
  late.Adopt(partial);
  CHECK(RevisionOf(late) == 2);
  ApplyClean(late, 2, PublicationRecord("c", "desk", 2, 3));
  CHECK_FALSE(late.ResultOf("c"));
  CHECK(RevisionOf(late) == 2);
}

TEST_CASE("News that runs ahead of the log leaves every verdict as the log decides it")
{
  DocumentFold ahead;
  ApplyClean(ahead, 0, PublicationRecord("a", "desk", 0, 1));
  ApplyClean(ahead, 1, PublicationRecord("b", "desk", 1, 2));
  DocumentFold fold;
  fold.Adopt(ahead.TakeSnapshot());
  CHECK(RevisionOf(fold) == 2);
  ApplyClean(fold, 0, PublicationRecord("a", "desk", 0, 1));
  CHECK(RevisionOf(fold) == 2);
  CHECK(fold.ResultOf("a")->m_verdict == PublicationVerdict::Accepted);
  ApplyClean(fold, 1, PublicationRecord("b", "desk", 1, 2));
  CHECK(fold.ResultOf("b")->m_revision == 2);
}

TEST_CASE("Any interleaving of records, snapshots, gaps and news ends alike and never goes back")
{
  for (unsigned seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    const std::size_t size = 5 + random() % 30;
    const auto log = RandomLog(random, size);
    const DocumentFold full = FoldOf(log, size);
    DocumentFold fold;
    std::map<ServiceName, LogOffset> seen;
    std::size_t position = 0;
    while (position < size || !fold.IsSettled()) {
      switch (random() % 6) {
        case 0: { // A peer's news, from any time.
          DocumentSnapshot news = FoldOf(log, random() % (size + 1)).TakeSnapshot();
          news.m_is_complete = random() % 2 == 0;
          fold.Adopt(news);
          break;
        }
        case 1: { // Records expire under the reader.
          position = std::max(position, static_cast<std::size_t>(random() % (size + 1)));
          fold.SetFirstRetained(static_cast<LogOffset>(position));
          break;
        }
        case 2: { // A repeated read.
          const std::size_t old = random() % size;
          if (old < position) {
            ApplyClean(fold, static_cast<LogOffset>(old), log[old]);
          }
          break;
        }
        default:
          if (position < size) {
            ApplyClean(fold, static_cast<LogOffset>(position), log[position]);
            ++position;
          } else {
            fold.Adopt(full.TakeSnapshot());
          }
      }
      for (const auto& [service, held] : fold.All()) {
        CHECK(held.m_offset >= seen[service]);
        seen[service] = held.m_offset;
      }
      for (std::size_t index = 0; index < size; ++index) {
        const auto result = fold.ResultOf("p" + std::to_string(index));
        if (result) {
          CHECK(result->m_verdict == full.ResultOf("p" + std::to_string(index))->m_verdict);
        }
      }
    }
    fold.Adopt(full.TakeSnapshot());
    REQUIRE(fold.All().size() == full.All().size());
    for (const auto& [service, held] : full.All()) {
      CHECK(fold.Find(service)->m_offset == held.m_offset);
      CHECK(fold.Find(service)->m_revision == held.m_revision);
      CHECK(fold.Find(service)->m_source == held.m_source);
    }
  }
}

TEST_CASE("A snapshot survives being written and read")
{
  DocumentFold fold;
  ApplyClean(fold, 0, PublicationRecord("a", "desk", 0, 1));
  Findings findings;
  const auto read = DocumentSnapshot::FromJson(fold.TakeSnapshot().ToJson(), findings);
  REQUIRE(read);
  CHECK(read->m_position == 1);
  CHECK(read->m_documents[0].m_source == DocumentOf("desk", 1));
}
