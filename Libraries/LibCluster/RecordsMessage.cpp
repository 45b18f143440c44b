#include <LibCluster/RecordsMessage.h>

#include <LibCore/JsonObjectReader.h>
#include <limits>

namespace auburnhitch {

namespace {

// Tells these datagrams from heartbeats, which begin with a number. Daemons of versions that know
// no records drop them as malformed heartbeats.
constexpr const char* kRecordsTag = "records";
constexpr int kLayoutVersion = 1;
// Fits into one packet on a network with the usual MTU of 1,500 bytes.
constexpr std::size_t kMaxDatagramBytes = 1'400;

constexpr std::size_t kTagField = 0;
constexpr std::size_t kVersionField = 1;
constexpr std::size_t kSenderField = 2;
constexpr std::size_t kIncarnationField = 3;
constexpr std::size_t kTopicField = 4;
constexpr std::size_t kEraField = 5;
constexpr std::size_t kFirstOffsetField = 6;
constexpr std::size_t kRecordsField = 7;
constexpr std::size_t kFieldCount = 8;

std::string
Encode(const RecordsMessage& aMessage, std::uint64_t aFirstOffset, const Json& aRecords)
{
  std::string bytes;
  Json::to_msgpack(Json::array({ kRecordsTag,
                                 kLayoutVersion,
                                 aMessage.m_sender.Value(),
                                 aMessage.m_incarnation.Value(),
                                 aMessage.m_topic,
                                 aMessage.m_era,
                                 aFirstOffset,
                                 aRecords }),
                   bytes);
  return bytes;
}

Json
ToJson(const ForwardedRecord& aRecord)
{
  if (!aRecord) {
    return nullptr;
  }
  return Json::array({ aRecord->m_key, aRecord->m_value ? Json(*aRecord->m_value) : Json() });
}

std::size_t
EncodedBytes(const Json& aJson)
{
  std::string bytes;
  Json::to_msgpack(aJson, bytes);
  return bytes.size();
}

bool
IsRecordsJson(const Json& aJson)
{
  return aJson.is_array() && aJson.size() == kFieldCount && aJson[kTagField] == kRecordsTag &&
         aJson[kVersionField] == kLayoutVersion && aJson[kSenderField].is_string() &&
         aJson[kIncarnationField].is_string() && aJson[kTopicField].is_string() &&
         aJson[kEraField].is_number_unsigned() && aJson[kFirstOffsetField].is_number_unsigned() &&
         aJson[kRecordsField].is_array();
}

bool
IsRecordJson(const Json& aJson)
{
  return aJson.is_null() || (aJson.is_array() && aJson.size() == 2 && aJson[0].is_string() &&
                             (aJson[1].is_string() || aJson[1].is_null()));
}

ForwardedRecord
FromJson(const Json& aJson)
{
  if (aJson.is_null()) {
    return std::nullopt;
  }
  KeyedRecord record{ aJson[0].get<std::string>(), std::nullopt };
  if (aJson[1].is_string()) {
    record.m_value = aJson[1].get<std::string>();
  }
  return record;
}

}

std::vector<std::string>
EncodeRecords(const RecordsMessage& aMessage)
{
  // The length of a longer array takes two bytes more than that of an empty one.
  constexpr std::size_t kLengthBytes = 2;
  const std::size_t head_bytes =
    Encode(aMessage, std::numeric_limits<std::uint64_t>::max(), Json::array()).size() +
    kLengthBytes;
  std::vector<std::string> datagrams;
  if (head_bytes >= kMaxDatagramBytes) {
    return datagrams;
  }
  const std::size_t max_bytes = kMaxDatagramBytes - head_bytes;
  Json records = Json::array();
  std::size_t bytes = 0;
  std::uint64_t first = aMessage.m_first_offset;
  for (const ForwardedRecord& record : aMessage.m_records) {
    Json json = ToJson(record);
    std::size_t record_bytes = EncodedBytes(json);
    if (record_bytes > max_bytes) {
      json = nullptr;
      record_bytes = EncodedBytes(json);
    }
    if (bytes + record_bytes > max_bytes) {
      datagrams.push_back(Encode(aMessage, first, records));
      if (datagrams.size() == kMaxRecordsDatagrams) {
        return datagrams;
      }
      first += records.size();
      records = Json::array();
      bytes = 0;
    }
    records.push_back(std::move(json));
    bytes += record_bytes;
  }
  if (!records.empty()) {
    datagrams.push_back(Encode(aMessage, first, records));
  }
  return datagrams;
}

std::optional<RecordsMessage>
DecodeRecords(absl::string_view aBytes)
{
  const auto parsed = ParseMessagePack(aBytes);
  if (!parsed || !IsRecordsJson(*parsed)) {
    return std::nullopt;
  }
  const Json& json = *parsed;
  RecordsMessage message;
  message.m_sender = HostName(json[kSenderField].get<std::string>());
  message.m_incarnation = Incarnation(json[kIncarnationField].get<std::string>());
  message.m_topic = json[kTopicField].get<std::string>();
  message.m_era = json[kEraField].get<StoreEra>();
  message.m_first_offset = json[kFirstOffsetField].get<std::uint64_t>();
  const Json& records = json[kRecordsField];
  if (records.size() > std::numeric_limits<std::uint64_t>::max() - message.m_first_offset) {
    return std::nullopt;
  }
  for (const Json& record : records) {
    if (!IsRecordJson(record)) {
      return std::nullopt;
    }
    message.m_records.push_back(FromJson(record));
  }
  return message;
}

}
