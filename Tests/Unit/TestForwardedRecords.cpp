#include <LibCluster/ForwardedRecordBuffer.h>
#include <LibCluster/Heartbeat.h>

#include <LibCore/JsonObjectReader.h>
#include <algorithm>
#include <doctest.h>
#include <limits>
#include <random>

using namespace auburnhitch;

namespace {

constexpr std::size_t kMaxDatagramBytes = 1'400;

KeyedRecord
RecordAt(std::uint64_t aOffset)
{
  return { "key-" + std::to_string(aOffset % 3), std::to_string(aOffset) };
}

std::vector<ForwardedRecord>
RecordsBetween(std::uint64_t aFrom, std::uint64_t aEnd)
{
  std::vector<ForwardedRecord> records;
  for (std::uint64_t offset = aFrom; offset < aEnd; ++offset) {
    records.emplace_back(RecordAt(offset));
  }
  return records;
}

RecordsMessage
MessageOf(std::vector<ForwardedRecord> aRecords, std::uint64_t aFirstOffset = 7)
{
  return { HostName("gateway-1"), Incarnation("inc-1"), "keyed.servers", 3,
           aFirstOffset,          std::move(aRecords) };
}

std::string
Pack(const Json& aJson)
{
  std::string bytes;
  Json::to_msgpack(aJson, bytes);
  return bytes;
}

}

// Guards against records that are applied twice, out of order or past a gap.
TEST_CASE("Forwarded records: those that follow directly are taken once, in order")
{
  ForwardedRecordBuffer buffer({});
  CHECK(buffer.Add(12, RecordsBetween(12, 14), 10).m_kept == 2);
  CHECK(buffer.Take(10).empty());
  CHECK(buffer.Add(8, RecordsBetween(8, 12), 10) == ForwardedRecordBuffer::Added{ 2, 2, 0 });
  CHECK(buffer.Add(12, RecordsBetween(12, 14), 10) == ForwardedRecordBuffer::Added{ 0, 2, 0 });
  CHECK(buffer.Take(10) == std::vector{ RecordAt(10), RecordAt(11), RecordAt(12), RecordAt(13) });
  CHECK(buffer.Take(14).empty());
  CHECK(buffer.Add(10, RecordsBetween(10, 14), 14).m_repeated == 4);
  CHECK(buffer.Take(14).empty());
}

// Guards against datagrams that fill the memory of a daemon.
TEST_CASE("Forwarded records: what is kept ahead of a gap is bounded in records and bytes")
{
  ForwardedRecordBuffer by_count({ 3, 1'000, 64 });
  CHECK(by_count.Add(1, RecordsBetween(1, 9), 0) == ForwardedRecordBuffer::Added{ 3, 0, 5 });
  ForwardedRecordBuffer by_bytes({ 100, 25, 64 });
  const KeyedRecord ten_bytes{ "12345", "67890" };
  CHECK(by_bytes.Add(1, { ten_bytes, ten_bytes, ten_bytes }, 0) ==
        ForwardedRecordBuffer::Added{ 2, 0, 1 });
  // Those that the store has delivered meanwhile make room again.
  CHECK(by_bytes.Add(3, { ten_bytes, ten_bytes }, 3).m_kept == 2);
  CHECK(by_bytes.Take(3).size() == 2);
  CHECK(by_bytes.Add(5, { ten_bytes, ten_bytes }, 5).m_kept == 2);
}

// Guards against a daemon that waits for a record that no datagram carries.
TEST_CASE("Forwarded records: a record too large for a datagram stops those after it and is known")
{
  ForwardedRecordBuffer buffer({});
  buffer.Add(4, { RecordAt(4), std::nullopt, RecordAt(6) }, 4);
  CHECK_FALSE(buffer.IsNextTooLarge(4));
  CHECK(buffer.Take(4) == std::vector{ RecordAt(4) });
  CHECK(buffer.IsNextTooLarge(5));
  CHECK(buffer.Take(5).empty());
  CHECK(buffer.Take(6) == std::vector{ RecordAt(6) });
  CHECK_FALSE(buffer.IsNextTooLarge(7));
}

// Guards against a missing record whose wait begins anew with each later announcement.
TEST_CASE("Forwarded records: a record is missing since the announcement that first covered it")
{
  const TimePoint start;
  const auto at = [&](int aMs) { return start + Milliseconds(aMs); };
  ForwardedRecordBuffer buffer({ 10, 1'000, 2 });
  CHECK_FALSE(buffer.MissingSince(5));
  buffer.Announce(5, 5, at(1));
  CHECK_FALSE(buffer.MissingSince(5));
  buffer.Announce(6, 5, at(10));
  buffer.Announce(6, 5, at(20));
  buffer.Announce(8, 5, at(30));
  CHECK(buffer.MissingSince(5) == at(10));
  CHECK(buffer.MissingSince(6) == at(30));
  buffer.Announce(9, 6, at(40));
  buffer.Announce(12, 6, at(50));
  // Two times are kept: the last one covers all later ends.
  CHECK(buffer.MissingSince(8) == at(40));
  CHECK(buffer.MissingSince(11) == at(40));
  CHECK_FALSE(buffer.MissingSince(12));
}

// Guards against records of an era that has ended.
TEST_CASE("Forwarded records: nothing is left after the store has gone back")
{
  ForwardedRecordBuffer buffer({});
  buffer.Add(5, { RecordAt(5), std::nullopt }, 5);
  buffer.Announce(7, 5, TimePoint());
  buffer.Clear();
  CHECK(buffer.Take(5).empty());
  CHECK_FALSE(buffer.IsNextTooLarge(6));
  CHECK_FALSE(buffer.MissingSince(5));
}

// Guards against records that are applied from a datagram and again from a read in progress.
TEST_CASE("Forwarded records: reads and datagrams in any order apply each record once")
{
  constexpr std::uint64_t kEnd = 60;
  for (unsigned seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    ForwardedRecordBuffer buffer({ 8, 1'000, 4 });
    std::vector<KeyedRecord> applied;
    const auto apply = [&](const std::vector<KeyedRecord>& aRecords) {
      applied.insert(applied.end(), aRecords.begin(), aRecords.end());
    };
    std::optional<std::uint64_t> read_from;
    while (applied.size() < kEnd) {
      if (random() % 4 == 0) {
        if (!read_from) {
          read_from = applied.size();
          continue;
        }
        const std::uint64_t end = std::min<std::uint64_t>(kEnd, *read_from + random() % 9);
        std::vector<KeyedRecord> read;
        for (std::uint64_t offset = *read_from; offset < end; ++offset) {
          read.push_back(RecordAt(offset));
        }
        apply(WithoutApplied(read, *read_from, applied.size()));
        read_from = std::nullopt;
      } else {
        const std::uint64_t low = applied.size() < 5 ? 0 : applied.size() - 5;
        const std::uint64_t first = std::min<std::uint64_t>(kEnd, low + random() % 12);
        const std::uint64_t end = std::min<std::uint64_t>(kEnd, first + random() % 5);
        buffer.Add(first, RecordsBetween(first, end), applied.size());
      }
      apply(buffer.Take(applied.size()));
    }
    REQUIRE(applied.size() == kEnd);
    for (std::uint64_t offset = 0; offset < kEnd; ++offset) {
      CHECK(applied[offset] == RecordAt(offset));
    }
  }
}

// Guards against records that change on their way, and datagrams that are cut at the MTU.
TEST_CASE("Forwarded records: what is encoded is decoded, in datagrams of at most 1,400 bytes")
{
  std::vector<ForwardedRecord> records{ KeyedRecord{ "a", "1" },
                                        KeyedRecord{ "a", std::nullopt },
                                        KeyedRecord::Malformed(),
                                        KeyedRecord{ "\xff\n", std::string("\0\xfe", 2) } };
  std::mt19937 random(5);
  for (int i = 0; i < 60; ++i) {
    records.emplace_back(KeyedRecord{ "i-" + std::to_string(i), std::string(random() % 400, 'x') });
  }
  // Too large for any datagram.
  records.insert(records.begin() + 20, KeyedRecord{ "config", std::string(1'400, 'x') });
  const RecordsMessage message = MessageOf(records);
  const auto datagrams = EncodeRecords(message);
  CHECK(datagrams.size() > 1);
  REQUIRE(datagrams.size() <= kMaxRecordsDatagrams);
  std::uint64_t next = message.m_first_offset;
  std::vector<ForwardedRecord> decoded;
  for (const std::string& datagram : datagrams) {
    CHECK(datagram.size() <= kMaxDatagramBytes);
    const auto part = DecodeRecords(datagram);
    REQUIRE(part);
    CHECK(part->m_sender == message.m_sender);
    CHECK(part->m_incarnation == message.m_incarnation);
    CHECK(part->m_topic == message.m_topic);
    CHECK(part->m_era == message.m_era);
    CHECK(part->m_first_offset == next);
    next = part->EndOffset();
    decoded.insert(decoded.end(), part->m_records.begin(), part->m_records.end());
  }
  records[20] = std::nullopt;
  CHECK(decoded == records);
}

// Guards against a reader that floods its data centre after it has been paused.
TEST_CASE("Forwarded records: a long backlog becomes a bounded number of datagrams")
{
  const std::vector<ForwardedRecord> records(1'000, KeyedRecord{ "k", std::string(1'000, 'x') });
  CHECK(EncodeRecords(MessageOf(records)).size() == kMaxRecordsDatagrams);
  CHECK(EncodeRecords(MessageOf({})).empty());
  RecordsMessage long_name = MessageOf(RecordsBetween(0, 1));
  long_name.m_topic = std::string(kMaxDatagramBytes, 't');
  CHECK(EncodeRecords(long_name).empty());
}

// Guards against a crash, or an offset that wraps around, by datagrams of others.
TEST_CASE("Forwarded records: malformed datagrams are refused")
{
  const Json valid = Json::array(
    { "records", 1, "h", "i", "t", 1U, 5U, Json::array({ Json::array({ "k", "v" }) }) });
  REQUIRE(DecodeRecords(Pack(valid)));
  const auto with = [&](std::size_t aField, Json aValue) {
    Json changed = valid;
    changed[aField] = std::move(aValue);
    return Pack(changed);
  };
  for (const std::string& bytes : { std::string(),
                                    std::string("\xc1"),
                                    Pack(Json::array()),
                                    Pack(Json::object()),
                                    Pack(nullptr),
                                    with(0, "beacon"),
                                    with(0, 3),
                                    with(1, 2),
                                    with(2, 5),
                                    with(3, nullptr),
                                    with(4, Json::array()),
                                    with(5, -1),
                                    with(5, 1.5),
                                    with(6, -1),
                                    with(6, "5"),
                                    with(7, "x"),
                                    with(7, Json::array({ 1 })),
                                    with(7, Json::array({ Json::array({ "k" }) })),
                                    with(7, Json::array({ Json::array({ "k", 1 }) })),
                                    with(7, Json::array({ Json::array({ 1, "v" }) })),
                                    with(7, Json::array({ Json::array({ "k", "v", "w" }) })),
                                    with(6, std::numeric_limits<std::uint64_t>::max()) }) {
    CHECK_FALSE(DecodeRecords(bytes));
  }
  Json longer = valid;
  longer.push_back(1);
  CHECK_FALSE(DecodeRecords(Pack(longer)));
  const std::string bytes = Pack(valid);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodeRecords(bytes.substr(0, size)));
  }
  std::mt19937 random(1);
  for (int i = 0; i < 10'000; ++i) {
    std::string damaged = bytes;
    damaged[random() % damaged.size()] = static_cast<char>(random());
    DecodeRecords(damaged);
  }
}

// Guards against datagrams of records that are decoded as heartbeats.
TEST_CASE("Forwarded records: a datagram of records is no heartbeat, nor the other way round")
{
  const auto datagrams = EncodeRecords(MessageOf(RecordsBetween(0, 20)));
  REQUIRE(datagrams.size() == 1);
  CHECK_FALSE(DecodeHeartbeat(datagrams.front()));
  CHECK_FALSE(DecodeRecords(EncodeHeartbeat(Heartbeat())));
}

// Guards against a heartbeat that earlier builds reject, and records that they cannot use.
TEST_CASE("Forwarded records: a heartbeat says whether its daemon accepts them")
{
  Heartbeat heartbeat;
  heartbeat.m_member.m_peer_address = SocketAddress("127.0.0.1:1");
  heartbeat.m_member.m_caller_address = SocketAddress("127.0.0.1:2");
  heartbeat.m_topic_positions.m_era = 4;
  CHECK(DecodeHeartbeat(EncodeHeartbeat(heartbeat)) == heartbeat);
  heartbeat.m_member.m_accepts_records = true;
  const std::string bytes = EncodeHeartbeat(heartbeat);
  CHECK(DecodeHeartbeat(bytes) == heartbeat);
  const auto json = ParseMessagePack(bytes);
  REQUIRE(json);
  CHECK((*json)[0] == 2);
  CHECK(json->size() == 16);
  CHECK((*json)[15] == Json::array({ Json::array({ "", 4 }), Json::array({ "", -1 }) }));
}
