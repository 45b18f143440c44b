#include "StoreStandIn.h"

#include <LibHttp/EventLoop.h>
#include <doctest.h>
#include <platform/KeyedTopicConsumer.h>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

constexpr const char* kTopic = "keyed.servers";
// Between two reads; the record that is announced in between is read at its end.
constexpr Milliseconds kInterval{ 300 };
constexpr Milliseconds kTimeout{ 20'000 };

/// A consumer that reads on notification, and the records that it reads after the snapshot.
class Follower
{
public:
  explicit Follower(StoreStandIn& aStore)
    : m_client(m_loop, aStore.Address(), { [](const char*, const char*) {}, [](StoreEra) {} })
    , m_consumer(m_loop,
                 m_client,
                 kTopic,
                 { Milliseconds(100), Milliseconds(0), kInterval, Milliseconds(0) },
                 { [this](const auto&) { m_loop.Stop(); },
                   [this](const std::vector<KeyedRecord>& aRecords) {
                     m_records.insert(m_records.end(), aRecords.begin(), aRecords.end());
                     m_loop.Stop();
                   },
                   [](const absl::Status&) {},
                   {},
                   [](const char*, std::size_t) {} })
    , m_timeout(m_loop, kTimeout, Timer::Repeat::Always, [this] { m_loop.Stop(); })
  {
    m_consumer.SetMode(KeyedTopicConsumer::Mode::OnNotification);
    m_loop.Run();
  }

  /// Announces a number of records, and returns when.
  TimePoint Announce(std::uint64_t aCount)
  {
    const TimePoint announced_at = m_loop.Now();
    m_consumer.OnRecordsAvailable(m_consumer.NextOffset() + aCount);
    return announced_at;
  }

  /// Runs until records have been read.
  void Run() { m_loop.Run(); }

  EventLoop m_loop;
  StoreClient m_client;
  std::vector<KeyedRecord> m_records;
  KeyedTopicConsumer m_consumer;
  Timer m_timeout;
};

}

// Guards against bounds of a removal that run only from when a follower reads it.
TEST_CASE("Announced records: a follower that reads late knows since when there has been a record")
{
  StoreStandIn store;
  store.Put(kTopic, "i-0", "{}");
  Follower follower(store);
  store.Put(kTopic, "i-1", "{}");
  follower.Announce(1);
  follower.Run();
  REQUIRE(follower.m_records.size() == 1);
  store.Put(kTopic, "i-1", std::nullopt);
  const TimePoint announced_at = follower.Announce(1);
  const TimePoint before_reading = follower.m_loop.Now();
  store.Put(kTopic, "i-0", std::nullopt);
  follower.Run();
  REQUIRE(follower.m_records.size() == 3);
  REQUIRE(follower.m_records[1].m_known_at);
  CHECK(*follower.m_records[1].m_known_at >= announced_at);
  CHECK(*follower.m_records[1].m_known_at <= before_reading);
  // It was not announced.
  REQUIRE(follower.m_records[2].m_known_at);
  CHECK(*follower.m_records[2].m_known_at > before_reading);
}
