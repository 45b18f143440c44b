#pragma once

#include <LibDocument/DocumentFold.h>
#include <LibHttp/EventLoop.h>
#include <LibLogService/LogService.h>
#include <absl/random/random.h>
#include <functional>
#include <memory>

namespace auburnhitch {

/// Keeps the documents in force: reads the log, takes over what peers hold, publishes for
/// operators, and writes snapshots before records expire. Not thread-safe.
class DocumentReplica
{
public:
  using ChangeHandler = std::function<void(const HeldDocument&)>;

  DocumentReplica(EventLoop& aLoop,
                  LogService& aLog,
                  Milliseconds aSnapshotInterval,
                  ChangeHandler aOnChange);

  const DocumentFold& Fold() const { return m_fold; }
  bool IsLogConnected() const { return m_tail != nullptr && m_tail->IsConnected(); }

  /// Starts or stops reading the log itself; without it the peers' news keep documents fresh.
  void SetReadsLog(bool aReads);

  /// Takes over documents of a peer.
  void Adopt(const DocumentSnapshot& aSnapshot);

  /// Appends a publication. What became of it shows in Fold().ResultOf().
  void Publish(const Publication& aPublication);

private:
  void OnBatch(const LogBatch& aBatch);
  void ReportChanges();
  void WriteSnapshotWhenDue();
  Milliseconds NextSnapshotDelay();

  EventLoop& m_loop;
  LogService& m_log;
  Milliseconds m_snapshot_interval;
  ChangeHandler m_on_change;
  DocumentFold m_fold;
  std::map<ServiceName, LogOffset> m_reported_offsets;
  absl::BitGen m_generator;
  LogOffset m_seen_snapshot_offset = -1;
  TimePoint m_snapshot_due;
  TimePoint m_read_until;
  std::unique_ptr<LogTail> m_tail;
  Timer m_tick;
};

}
