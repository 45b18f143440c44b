#include "StoreStandIn.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_replace.h>
#include <chrono>
#include <nlohmann/json.hpp>

namespace auburnhitch::tests {

namespace {

std::string
BigEndian(std::uint64_t aNumber, int aBytes)
{
  std::string bytes;
  for (int i = aBytes - 1; i >= 0; --i) {
    bytes.push_back(static_cast<char>(aNumber >> (8 * i)));
  }
  return bytes;
}

}

std::string
StoreStandIn::MakeResponse(int aStatus, const std::string& aBody) const
{
  return absl::StrCat("HTTP/1.1 ",
                      aStatus,
                      " X\r\nStore-Era: ",
                      m_era,
                      "\r\nContent-Length: ",
                      aBody.size(),
                      "\r\n\r\n",
                      aBody);
}

StoreStandIn::StoreStandIn()
  : m_server([this](RawConnection& aConnection) { Serve(aConnection, {}); })
{
}

StoreStandIn::~StoreStandIn()
{
  const std::lock_guard lock(m_mutex);
  m_is_stopping = true;
  m_changed.notify_all();
}

SocketAddress
StoreStandIn::AddView(Replacements aReplacements)
{
  m_views.push_back(std::make_unique<RawServer>(
    [this, replacements = std::move(aReplacements)](RawConnection& aConnection) {
      Serve(aConnection, replacements);
    }));
  return m_views.back()->Address();
}

void
StoreStandIn::SetMode(Mode aMode)
{
  const std::lock_guard lock(m_mutex);
  m_mode = aMode;
  m_changed.notify_all();
}

void
StoreStandIn::SetSilent(const std::string& aTopic, bool aIsSilent)
{
  const std::lock_guard lock(m_mutex);
  if (aIsSilent) {
    m_silent_topics.insert(aTopic);
  } else {
    m_silent_topics.erase(aTopic);
  }
}

int
StoreStandIn::HeldCalls(const std::string& aTopic) const
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_held_calls.find(aTopic);
  return found == m_held_calls.end() ? 0 : found->second;
}

int
StoreStandIn::ReadsWithoutWait(const std::string& aTopic) const
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_reads_without_wait.find(aTopic);
  return found == m_reads_without_wait.end() ? 0 : found->second;
}

bool
StoreStandIn::Hold(RawConnection& aConnection, const RawRequest& aRequest)
{
  const std::string topic = aRequest.Query("topic");
  {
    const std::lock_guard lock(m_mutex);
    if (!m_silent_topics.contains(topic)) {
      return false;
    }
    ++m_held_calls[topic];
  }
  aConnection.WaitForClose();
  const std::lock_guard lock(m_mutex);
  --m_held_calls[topic];
  return true;
}

void
StoreStandIn::Put(const std::string& aTopic,
                  const std::string& aKey,
                  const std::optional<std::string>& aValue)
{
  const std::lock_guard lock(m_mutex);
  PutLocked(aTopic, aKey, aValue);
}

void
StoreStandIn::PutRecord(const std::string& aTopic, const std::string& aContent)
{
  const std::lock_guard lock(m_mutex);
  m_topics[aTopic].m_records.push_back(aContent);
  m_changed.notify_all();
}

void
StoreStandIn::SetOddItem(const std::string& aTopic, const std::string& aText)
{
  const std::lock_guard lock(m_mutex);
  m_topics[aTopic].m_odd_item = aText;
}

void
StoreStandIn::SetEndlessPages(const std::string& aTopic, bool aIsEndless)
{
  const std::lock_guard lock(m_mutex);
  if (aIsEndless) {
    m_endless_topics.insert(aTopic);
  } else {
    m_endless_topics.erase(aTopic);
  }
}

void
StoreStandIn::PutLocked(const std::string& aTopic,
                        const std::string& aKey,
                        const std::optional<std::string>& aValue)
{
  Topic& topic = m_topics[aTopic];
  topic.m_records.push_back(static_cast<char>(aKey.size()) + aKey + aValue.value_or(""));
  if (aValue) {
    topic.m_newest[aKey] = { *aValue, topic.End() - 1 };
  } else {
    topic.m_newest.erase(aKey);
  }
  m_changed.notify_all();
}

void
StoreStandIn::Compact(const std::string& aTopic)
{
  const std::lock_guard lock(m_mutex);
  Topic& topic = m_topics[aTopic];
  topic.m_first = topic.End() + 1;
  topic.m_records.clear();
  m_changed.notify_all();
}

StoreStandIn::Copy
StoreStandIn::TakeCopy() const
{
  const std::lock_guard lock(m_mutex);
  return m_topics;
}

void
StoreStandIn::GoBackTo(const Copy& aCopy)
{
  const std::lock_guard lock(m_mutex);
  m_topics = aCopy;
  ++m_era;
  m_changed.notify_all();
}

std::optional<std::string>
StoreStandIn::Newest(const std::string& aTopic, const std::string& aKey) const
{
  const std::lock_guard lock(m_mutex);
  const auto topic = m_topics.find(aTopic);
  if (topic == m_topics.end() || !topic->second.m_newest.contains(aKey)) {
    return std::nullopt;
  }
  return topic->second.m_newest.at(aKey).m_value;
}

void
StoreStandIn::Serve(RawConnection& aConnection, const Replacements& aReplacements)
{
  while (const auto request = aConnection.ReadRequest()) {
    {
      const std::lock_guard lock(m_mutex);
      ++m_calls[request->Query("topic")];
    }
    if (Hold(aConnection, *request)) {
      return;
    }
    std::string response;
    if (request->Path() == "/log-read") {
      response = ReplyToRead(*request, aReplacements);
    } else if (request->Path() == "/log-newest") {
      response = ReplyToNewest(*request, aReplacements);
    } else {
      response = ReplyToAppend(*request);
      if (LosesAnswer(*request)) {
        aConnection.Reset();
        return;
      }
    }
    Mode mode = Mode::Normal;
    std::string busy;
    std::string too_many_calls;
    std::string garbage;
    {
      const std::lock_guard lock(m_mutex);
      mode = m_mode;
      busy = MakeResponse(503, "");
      too_many_calls = MakeResponse(429, "");
      garbage = MakeResponse(200, "\xff\xfe\x01");
    }
    switch (mode) {
      case Mode::Normal:
        aConnection.Write(response);
        break;
      case Mode::Busy:
        aConnection.Write(busy);
        break;
      case Mode::TooManyCalls:
        aConnection.Write(too_many_calls);
        break;
      case Mode::Garbage:
        aConnection.Write(garbage);
        break;
      case Mode::Endless:
        aConnection.Write("HTTP/1.1 200 OK\r\n\r\n");
        while (aConnection.Write(std::string(10'000, 'x'))) {
        }
        return;
      case Mode::Reset:
        aConnection.Reset();
        return;
      case Mode::Silent:
        aConnection.WaitForClose();
        return;
    }
  }
}

std::string
StoreStandIn::ReplyToRead(const RawRequest& aRequest, const Replacements& aReplacements)
{
  std::unique_lock lock(m_mutex);
  const std::string name = aRequest.Query("topic");
  const auto from = static_cast<std::uint64_t>(std::stoull(aRequest.Query("from")));
  if (aRequest.Query("wait_ms") == "0") {
    ++m_reads_without_wait[name];
  }
  m_changed.wait_for(lock, std::chrono::milliseconds(std::stoi(aRequest.Query("wait_ms"))), [&] {
    return m_is_stopping || m_mode != Mode::Normal || m_topics[name].End() != from;
  });
  const Topic& topic = m_topics[name];
  if (from < topic.m_first || from > topic.End()) {
    return MakeResponse(410, nlohmann::json{ { "first_offset", topic.m_first } }.dump());
  }
  std::string body = BigEndian(topic.End(), 8) + BigEndian(topic.m_first, 8);
  for (std::uint64_t at = from; at < topic.End(); ++at) {
    const std::string record =
      absl::StrReplaceAll(topic.m_records[at - topic.m_first], aReplacements);
    body += BigEndian(record.size(), 4) + record;
  }
  return MakeResponse(200, body);
}

std::string
StoreStandIn::ReplyToNewest(const RawRequest& aRequest, const Replacements& aReplacements)
{
  const std::lock_guard lock(m_mutex);
  if (m_endless_topics.contains(aRequest.Query("topic"))) {
    return ReplyWithPage(aRequest);
  }
  const Topic& topic = m_topics[aRequest.Query("topic")];
  std::vector<std::string> items;
  for (const auto& [key, item] : topic.m_newest) {
    items.push_back(nlohmann::json{
      { "key", key },
      { "value", absl::Base64Escape(absl::StrReplaceAll(item.m_value, aReplacements)) },
      { "offset", item.m_offset } }
                      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  }
  if (!topic.m_odd_item.empty()) {
    items.push_back(topic.m_odd_item);
  }
  return MakeResponse(200,
                      absl::StrCat(R"({"items": [)",
                                   absl::StrJoin(items, ", "),
                                   R"(], "more": false, "end_offset": )",
                                   topic.End(),
                                   "}"));
}

std::string
StoreStandIn::ReplyWithPage(const RawRequest& aRequest) const
{
  constexpr std::size_t kRecordBytes = 900'000;
  const std::string after = aRequest.Query("after");
  const int number = after.empty() ? 0 : std::stoi(after) + 1;
  const nlohmann::json page{ { "items",
                               { { { "key", std::to_string(number) },
                                   { "value", absl::Base64Escape(std::string(kRecordBytes, 'x')) },
                                   { "offset", 0 } } } },
                             { "more", true },
                             { "end_offset", 1 } };
  return MakeResponse(200, page.dump());
}

std::string
StoreStandIn::ReplyToAppend(const RawRequest& aRequest)
{
  const std::lock_guard lock(m_mutex);
  const std::string name = aRequest.Query("topic");
  if (name == "keyed.op" || name == "keyed.servers") {
    return MakeResponse(403, "{}");
  }
  const std::string at = aRequest.Query("at");
  const std::uint64_t end = m_topics[name].End();
  if (!at.empty() && std::stoull(at) != end) {
    return MakeResponse(412, nlohmann::json{ { "end_offset", end } }.dump());
  }
  constexpr std::size_t kLengthBytes = 4;
  const std::string record = aRequest.m_body.substr(kLengthBytes);
  const auto key_bytes = static_cast<std::size_t>(static_cast<unsigned char>(record.front()));
  const std::string value = record.substr(1 + key_bytes);
  PutLocked(name, record.substr(1, key_bytes), value.empty() ? std::nullopt : std::optional(value));
  return MakeResponse(200, nlohmann::json{ { "offset", end }, { "end_offset", end + 1 } }.dump());
}

bool
StoreStandIn::LosesAnswer(const RawRequest& aRequest)
{
  const std::lock_guard lock(m_mutex);
  int& count = m_answers_to_lose[aRequest.Query("topic")];
  if (count == 0) {
    return false;
  }
  --count;
  return true;
}

void
StoreStandIn::LoseAnswers(const std::string& aTopic, int aCount)
{
  const std::lock_guard lock(m_mutex);
  m_answers_to_lose[aTopic] = aCount;
}

int
StoreStandIn::Calls(const std::string& aTopic) const
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_calls.find(aTopic);
  return found == m_calls.end() ? 0 : found->second;
}

std::vector<std::string>
StoreStandIn::Values(const std::string& aTopic, const std::string& aKey) const
{
  const std::lock_guard lock(m_mutex);
  std::vector<std::string> values;
  const auto topic = m_topics.find(aTopic);
  if (topic == m_topics.end()) {
    return values;
  }
  const std::string prefix = static_cast<char>(aKey.size()) + aKey;
  for (const std::string& record : topic->second.m_records) {
    if (record.compare(0, prefix.size(), prefix) == 0) {
      values.push_back(record.substr(prefix.size()));
    }
  }
  return values;
}

}
