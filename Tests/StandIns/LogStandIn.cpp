#include "LogStandIn.h"

#include "ControlBody.h"

#include <LibCore/JsonObjectReader.h>
#include <absl/strings/match.h>
#include <absl/strings/strip.h>
#include <algorithm>

namespace auburnhitch::standins {

namespace {

constexpr Milliseconds kTick{ 5 };
constexpr std::size_t kMaxRecordsPerRead = 500;
constexpr std::size_t kMaxBytes = 64 << 20;

HttpServerLimits
Limits()
{
  HttpServerLimits limits;
  limits.m_max_body_bytes = kMaxBytes;
  return limits;
}

}

LogStandIn::LogStandIn(EventLoop& aLoop, const SocketAddress& aAddress)
  : m_loop(aLoop)
  , m_server(HttpServer::Create(aLoop,
                                aAddress,
                                Limits(),
                                [this](const auto& aExchange) { OnRequest(aExchange); })
               .value())
  , m_tick(aLoop, kTick, Timer::Repeat::Always, [this] {
    DropExpired();
    ReplyToDueReaders();
  })
{
}

void
LogStandIn::OnRequest(const HttpExchangePtr& aExchange)
{
  if (aExchange->Path() == "/control") {
    OnControl(*aExchange);
    return;
  }
  if (m_is_down) {
    aExchange->Abort();
    return;
  }
  absl::string_view path = aExchange->Path();
  if (!absl::ConsumePrefix(&path, "/v1/streams/") || !absl::ConsumeSuffix(&path, "/records")) {
    aExchange->Reply(404, {}, "");
    return;
  }
  const std::string stream(path);
  const auto serve = [this, aExchange, stream] {
    if (aExchange->Method() == "POST") {
      OnAppend(aExchange, stream);
      return;
    }
    const Milliseconds wait(std::atoll(aExchange->Query("wait_ms").c_str()));
    const std::int64_t from = std::atoll(aExchange->Query("from").c_str());
    m_readers.push_back(Reader{ aExchange, stream, from, m_loop.Now() + wait });
    ReplyToDueReaders();
  };
  if (m_delay.count() == 0) {
    serve();
    return;
  }
  m_delayed.push_back(std::make_unique<Timer>(m_loop, m_delay, Timer::Repeat::Once, serve));
}

void
LogStandIn::OnControl(HttpExchange& aExchange)
{
  const Json body = ControlBody(aExchange);
  m_is_down = body.value("down", m_is_down);
  m_drops_append_responses = body.value("lose_append_answers", m_drops_append_responses);
  m_delay = Milliseconds(body.value("delay_ms", m_delay.count()));
  m_retention = Milliseconds(body.value("retention_ms", m_retention.count()));
  if (body.contains("drop_before")) {
    for (auto& [name, stream] : m_streams) {
      while (!stream.m_records.empty() &&
             stream.m_records.front().m_offset < body["drop_before"].get<std::int64_t>()) {
        stream.m_records.pop_front();
      }
    }
  }
  if (m_is_down) {
    for (const Reader& reader : std::exchange(m_readers, {})) {
      reader.m_exchange->Abort();
    }
  }
  aExchange.Reply(200, {}, "{}");
}

void
LogStandIn::OnAppend(const HttpExchangePtr& aExchange, const std::string& aStream)
{
  Stream& stream = m_streams[aStream];
  const std::int64_t offset = stream.m_end++;
  stream.m_records.push_back(Record{ offset, m_loop.Now(), aExchange->Body() });
  if (m_drops_append_responses) {
    aExchange->Abort();
  } else {
    aExchange->Reply(200, {}, Json{ { "offset", offset } }.dump());
  }
  ReplyToDueReaders();
}

void
LogStandIn::ReplyToRead(const Reader& aReader)
{
  const Stream& stream = m_streams[aReader.m_stream];
  Json records = Json::array();
  std::size_t bytes = 0;
  for (const Record& record : stream.m_records) {
    if (record.m_offset < aReader.m_from) {
      continue;
    }
    bytes += record.m_data.size();
    if (records.size() >= kMaxRecordsPerRead || (bytes > kMaxBytes / 4 && !records.empty())) {
      break;
    }
    records.push_back(Json{ { "offset", record.m_offset }, { "data", record.m_data } });
  }
  const std::int64_t first =
    stream.m_records.empty() ? stream.m_end : stream.m_records.front().m_offset;
  const Json body{ { "first", first }, { "end", stream.m_end }, { "records", records } };
  aReader.m_exchange->Reply(200,
                            { { "Content-Type", "application/json" } },
                            body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

void
LogStandIn::ReplyToDueReaders()
{
  const TimePoint now = m_loop.Now();
  std::vector<Reader> still_waiting;
  for (Reader& reader : std::exchange(m_readers, {})) {
    if (m_streams[reader.m_stream].m_end > reader.m_from || now >= reader.m_waits_until) {
      ReplyToRead(reader);
    } else {
      still_waiting.push_back(std::move(reader));
    }
  }
  m_readers.insert(m_readers.end(), still_waiting.begin(), still_waiting.end());
}

void
LogStandIn::DropExpired()
{
  if (m_retention.count() == 0) {
    return;
  }
  const TimePoint oldest = m_loop.Now() - m_retention;
  for (auto& [name, stream] : m_streams) {
    while (!stream.m_records.empty() && stream.m_records.front().m_appended_at < oldest) {
      stream.m_records.pop_front();
    }
  }
}

}
