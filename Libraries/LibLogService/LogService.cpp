#include <LibLogService/LogService.h>

#include <LibCore/JsonObjectReader.h>
#include <LibCore/Log.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <utility>

namespace auburnhitch {

namespace {

constexpr Milliseconds kAppendTimeout{ 3'000 };
constexpr Milliseconds kReadMargin{ 3'000 };
constexpr Milliseconds kTailWait{ 1'000 };
constexpr Milliseconds kTailRetryDelay{ 200 };
constexpr std::size_t kMaxBatchBytes = 64 << 20;

absl::Status
StatusOfFailure(const HttpOutcome& aOutcome)
{
  if (aOutcome.m_end != HttpEnd::Complete) {
    return absl::UnavailableError("the log service did not answer");
  }
  return absl::UnavailableError(absl::StrCat("the log service answered ", aOutcome.m_status));
}

absl::StatusOr<std::int64_t>
ReadAppendAnswer(const HttpOutcome& aOutcome)
{
  if (aOutcome.m_end != HttpEnd::Complete || aOutcome.m_status != 200) {
    return StatusOfFailure(aOutcome);
  }
  Findings findings;
  const auto json = ParseJson(aOutcome.m_body, findings);
  if (!json) {
    return findings.ToStatus("log append");
  }
  JsonObjectReader reader(*json, "", findings);
  const std::int64_t offset = reader.RequiredInteger("offset", 0, INT64_MAX);
  if (!findings.IsEmpty()) {
    return findings.ToStatus("log append");
  }
  return offset;
}

absl::StatusOr<LogBatch>
ReadBatchAnswer(const HttpOutcome& aOutcome)
{
  if (aOutcome.m_end != HttpEnd::Complete || aOutcome.m_status != 200) {
    return StatusOfFailure(aOutcome);
  }
  Findings findings;
  const auto json = ParseJson(aOutcome.m_body, findings);
  if (!json) {
    return findings.ToStatus("log read");
  }
  LogBatch batch;
  JsonObjectReader reader(*json, "", findings);
  batch.m_first_retained = reader.RequiredInteger("first", 0, INT64_MAX);
  batch.m_end = reader.RequiredInteger("end", 0, INT64_MAX);
  reader.ForEach("records", 0, [&](const Json& aRecord, const std::string& aJsonPointer) {
    JsonObjectReader record(aRecord, aJsonPointer, findings);
    const std::int64_t offset = record.RequiredInteger("offset", 0, INT64_MAX);
    const Json* data = record.Member("data");
    const bool is_text = data != nullptr && data->is_string();
    batch.m_records.push_back(LogRecord{ offset, is_text ? data->get<std::string>() : "" });
  });
  if (!findings.IsEmpty()) {
    return findings.ToStatus("log read");
  }
  return batch;
}

}

/// Calls in progress, kept until each has ended.
struct LogService::Calls
{
  std::int64_t m_next = 0;
  absl::flat_hash_map<std::int64_t, std::unique_ptr<HttpCall>> m_running;
};

LogService::LogService(EventLoop& aLoop, SocketAddress aAddress)
  : m_loop(aLoop)
  , m_address(std::move(aAddress))
  , m_client(std::make_unique<HttpClient>(aLoop))
  , m_calls(std::make_shared<Calls>())
{
}

LogService::~LogService()
{
  // Each call holds the table by its handler; abandoning the calls frees both.
  const auto abandoned = std::exchange(m_calls->m_running, {});
}

void
LogService::Append(const std::string& aStream, std::string aData, AppendHandler aHandler)
{
  HttpRequest request{ "POST", "/v1/streams/" + aStream + "/records", {}, std::move(aData) };
  HttpCallLimits limits;
  limits.m_total_timeout = kAppendTimeout;
  const std::int64_t id = m_calls->m_next++;
  HttpCallHandlers handlers;
  handlers.m_on_end =
    [calls = m_calls, id, handler = std::move(aHandler)](const HttpOutcome& aOutcome) {
      const auto call = calls->m_running.extract(id);
      handler(ReadAppendAnswer(aOutcome));
    };
  m_calls->m_running[id] = m_client->Send(m_address, request, limits, std::move(handlers));
}

void
LogService::Read(const std::string& aStream,
                 std::int64_t aFrom,
                 Milliseconds aWait,
                 ReadHandler aHandler)
{
  HttpRequest request;
  request.m_path =
    absl::StrCat("/v1/streams/", aStream, "/records?from=", aFrom, "&wait_ms=", aWait.count());
  HttpCallLimits limits;
  limits.m_total_timeout = aWait + kReadMargin;
  limits.m_max_body_bytes = kMaxBatchBytes;
  const std::int64_t id = m_calls->m_next++;
  HttpCallHandlers handlers;
  handlers.m_on_end =
    [calls = m_calls, id, handler = std::move(aHandler)](const HttpOutcome& aOutcome) {
      const auto call = calls->m_running.extract(id);
      handler(ReadBatchAnswer(aOutcome));
    };
  m_calls->m_running[id] = m_client->Send(m_address, request, limits, std::move(handlers));
}

LogTail::LogTail(EventLoop& aLoop,
                 LogService& aLog,
                 std::string aStream,
                 std::int64_t aFrom,
                 BatchHandler aHandler)
  : m_loop(aLoop)
  , m_log(aLog)
  , m_stream(std::move(aStream))
  , m_position(aFrom)
  , m_handler(std::move(aHandler))
  , m_is_alive(std::make_shared<bool>(true))
{
  ReadNext();
}

LogTail::~LogTail()
{
  *m_is_alive = false;
}

void
LogTail::ReadNext()
{
  // The first answer shows that the log is there; it is not worth waiting for a record.
  const Milliseconds wait = m_is_connected ? kTailWait : Milliseconds(0);
  m_log.Read(m_stream, m_position, wait, [this, alive = m_is_alive](auto aBatch) {
    if (*alive) {
      OnBatch(aBatch);
    }
  });
}

void
LogTail::OnBatch(const absl::StatusOr<LogBatch>& aBatch)
{
  if (!aBatch.ok()) {
    if (m_is_connected) {
      LogOf("log").warn("Lost stream {}: {}.", m_stream, std::string(aBatch.status().message()));
    }
    m_is_connected = false;
    m_retry =
      std::make_unique<Timer>(m_loop, kTailRetryDelay, Timer::Repeat::Once, [this] { ReadNext(); });
    return;
  }
  if (!m_is_connected) {
    LogOf("log").info("Reads stream {} from offset {}.", m_stream, m_position);
  }
  m_is_connected = true;
  m_position = std::max(m_position, aBatch->m_first_retained);
  for (const LogRecord& record : aBatch->m_records) {
    m_position = std::max(m_position, record.m_offset + 1);
  }
  m_handler(*aBatch);
  ReadNext();
}

}
