#include "DocumentReplica.h"

#include <LibCore/Log.h>

namespace auburnhitch {

namespace {

constexpr const char* kDocumentStream = "documents";
constexpr Milliseconds kSnapshotCheckInterval{ 100 };
/// How long a daemon reads the log after it has appended a publication.
constexpr Milliseconds kReadAfterPublishing{ 60'000 };

}

DocumentReplica::DocumentReplica(EventLoop& aLoop,
                                 LogService& aLog,
                                 Milliseconds aSnapshotInterval,
                                 ChangeHandler aOnChange)
  : m_loop(aLoop)
  , m_log(aLog)
  , m_snapshot_interval(aSnapshotInterval)
  , m_on_change(std::move(aOnChange))
  , m_snapshot_due(aLoop.Now() + NextSnapshotDelay())
  , m_tick(aLoop, kSnapshotCheckInterval, Timer::Repeat::Always, [this] { WriteSnapshotWhenDue(); })
{
  SetReadsLog(true);
}

void
DocumentReplica::SetReadsLog(bool aReads)
{
  // A daemon that has appended a publication must read the log to learn its result.
  const bool reads = aReads || m_loop.Now() < m_read_until;
  if (reads == (m_tail != nullptr)) {
    return;
  }
  LogOf("documents")
    .info(reads ? "Starts reading the log."
                : "Stops reading the log; peer updates take its place.");
  m_tail = reads ? std::make_unique<LogTail>(m_loop,
                                             m_log,
                                             kDocumentStream,
                                             m_fold.Position(),
                                             [this](const LogBatch& aBatch) { OnBatch(aBatch); })
                 : nullptr;
}

void
DocumentReplica::OnBatch(const LogBatch& aBatch)
{
  m_fold.SetFirstRetained(aBatch.m_first_retained);
  for (const LogRecord& record : aBatch.m_records) {
    Findings findings;
    m_fold.Apply(record.m_offset, record.m_data, findings);
    if (!findings.IsEmpty()) {
      LogOf("documents").warn("Skips record {}: {}", record.m_offset, findings.Describe("record"));
    }
  }
  ReportChanges();
}

void
DocumentReplica::Adopt(const DocumentSnapshot& aSnapshot)
{
  m_fold.Adopt(aSnapshot);
  ReportChanges();
}

void
DocumentReplica::ReportChanges()
{
  for (const auto& [service, held] : m_fold.All()) {
    LogOffset& reported = m_reported_offsets.try_emplace(service, -1).first->second;
    if (held.m_offset == reported) {
      continue;
    }
    reported = held.m_offset;
    LogOf("documents")
      .info("Revision {} of {} is in force, from offset {}.",
            held.m_revision,
            service.Value(),
            held.m_offset);
    m_on_change(held);
  }
}

void
DocumentReplica::Publish(const Publication& aPublication)
{
  m_read_until = m_loop.Now() + kReadAfterPublishing;
  SetReadsLog(true);
  m_log.Append(
    kDocumentStream,
    aPublication.ToJson().dump(),
    [id = aPublication.m_id](const absl::StatusOr<std::int64_t>& aOffset) {
      if (aOffset.ok()) {
        LogOf("documents").info("Appended publication {} at {}.", id, *aOffset);
      } else {
        LogOf("documents")
          .warn("No answer for publication {}: {}.", id, std::string(aOffset.status().message()));
      }
    });
}

// Spread at random over half an interval, so that one daemon writes a snapshot and the others see
// it before they would write theirs.
Milliseconds
DocumentReplica::NextSnapshotDelay()
{
  const auto extra =
    absl::Uniform<std::int64_t>(m_generator, 0, m_snapshot_interval.count() / 2 + 1);
  return m_snapshot_interval + Milliseconds(extra);
}

void
DocumentReplica::WriteSnapshotWhenDue()
{
  const TimePoint now = m_loop.Now();
  if (m_fold.LastSnapshotOffset() != m_seen_snapshot_offset) {
    m_seen_snapshot_offset = m_fold.LastSnapshotOffset();
    m_snapshot_due = now + NextSnapshotDelay();
    return;
  }
  if (now < m_snapshot_due || m_fold.All().empty() || !m_fold.IsSettled() || !IsLogConnected()) {
    return;
  }
  m_snapshot_due = now + NextSnapshotDelay();
  LogOf("documents").info("Writes a snapshot of {} documents.", m_fold.All().size());
  m_log.Append(kDocumentStream, m_fold.TakeSnapshot().ToJson().dump(), [](const auto& aOffset) {
    if (!aOffset.ok()) {
      LogOf("documents")
        .warn("Appending a snapshot to the log failed: {}.",
              std::string(aOffset.status().message()));
    }
  });
}

}
