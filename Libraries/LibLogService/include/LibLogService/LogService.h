#pragma once

#include <LibCore/StrongString.h>
#include <LibHttp/HttpClient.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburnhitch {

struct LogRecord
{
  std::int64_t m_offset = 0;
  std::string m_data;

  auto operator<=>(const LogRecord&) const = default;
};

/// Records of one stream, ordered by offset.
struct LogBatch
{
  /// The oldest offset that the log retains.
  std::int64_t m_first_retained = 0;
  /// One past the newest offset when the batch was read.
  std::int64_t m_end = 0;
  std::vector<LogRecord> m_records;

  auto operator<=>(const LogBatch&) const = default;
};

/// Appends to and reads from the platform's log service over HTTP. Not thread-safe.
class LogService
{
public:
  LogService(EventLoop& aLoop, SocketAddress aAddress);
  ~LogService();

  /// Reports the offset of the record. After any error the record may or may not be in the log;
  /// only reading the stream shows which.
  using AppendHandler = std::function<void(absl::StatusOr<std::int64_t>)>;
  void Append(const std::string& aStream, std::string aData, AppendHandler aHandler);

  /// Reports the records from offset aFrom on. Waits for up to aWait if there are none yet.
  using ReadHandler = std::function<void(absl::StatusOr<LogBatch>)>;
  void Read(const std::string& aStream,
            std::int64_t aFrom,
            Milliseconds aWait,
            ReadHandler aHandler);

private:
  struct Calls;

  EventLoop& m_loop;
  SocketAddress m_address;
  std::unique_ptr<HttpClient> m_client;
  std::shared_ptr<Calls> m_calls;
};

/// Reads one stream continuously; retries after every failure. Not thread-safe.
class LogTail
{
public:
  using BatchHandler = std::function<void(const LogBatch&)>;

  /// Reports each batch from offset aFrom on. Precondition: aLoop and aLog outlive the tail.
  LogTail(EventLoop& aLoop,
          LogService& aLog,
          std::string aStream,
          std::int64_t aFrom,
          BatchHandler aHandler);
  ~LogTail();

  /// Whether the latest read succeeded.
  bool IsConnected() const { return m_is_connected; }
  /// Offset of the next record to read.
  std::int64_t Position() const { return m_position; }

private:
  void ReadNext();
  void OnBatch(const absl::StatusOr<LogBatch>& aBatch);

  EventLoop& m_loop;
  LogService& m_log;
  std::string m_stream;
  std::int64_t m_position;
  BatchHandler m_handler;
  bool m_is_connected = false;
  std::unique_ptr<Timer> m_retry;
  /// Shared with the handlers of reads, which may run after the tail was destroyed.
  std::shared_ptr<bool> m_is_alive;
};

}
