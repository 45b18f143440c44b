#include <LibBroker/CrashSuspectTable.h>
#include <LibCluster/PeerLink.h>

#include <doctest.h>

using namespace auburnhitch;

namespace {

constexpr TimePoint kNow{};
const ServiceName kService("s");
const CrashTrait kPart("5c");
const HostName kFirst("first");
const HostName kSecond("second");

TraitSuspicionsMessage
MessageOf(const CrashTrait& aTrait, double aProbability)
{
  return { kService, { { aTrait, aProbability, 3, Milliseconds(60'000) } } };
}

std::size_t
SuspicionsIn(const SlotMessage& aMessage)
{
  return std::get<TraitSuspicionsMessage>(aMessage).m_suspicions.size();
}

}

TEST_CASE("Crashes: only the coordinator's word replaces a stronger suspicion")
{
  CrashSuspectTable table;
  table.OnMessage(MessageOf(kPart, 0.99), kFirst, false, kNow);
  CHECK(table.IsHarmful(kService, { kPart }, kNow));
  CHECK_FALSE(table.IsHarmful(ServiceName("t"), { kPart }, kNow));
  table.OnMessage(MessageOf(kPart, 0.3), kSecond, false, kNow);
  CHECK(table.IsHarmful(kService, { kPart }, kNow));
  table.OnMessage(MessageOf(kPart, 0.3), kFirst, true, kNow);
  CHECK_FALSE(table.IsHarmful(kService, { kPart }, kNow));
}

TEST_CASE(
  "Crashes: a daemon passes on what it learned, and what the coordinator says only if asked")
{
  CrashSuspectTable table;
  table.OnMessage(MessageOf(kPart, 0.99), kFirst, true, kNow);
  CHECK(table.TakeChanges(kNow).empty());
  CHECK(table.MessagesForCoordinator(kService, kNow).size() == 1);
  CHECK(table.MessagesForCoordinator(ServiceName("t"), kNow).empty());
  table.OnMessage(MessageOf(CrashTrait("5d"), 0.99), kFirst, false, kNow);
  CHECK(table.TakeChanges(kNow).size() == 1);
  CHECK(table.TakeChanges(kNow).empty());
  REQUIRE(table.MessagesForDaemon(kNow).size() == 1);
  CHECK(SuspicionsIn(table.MessagesForDaemon(kNow).front()) == 2);
}

TEST_CASE("Crashes: a full table is divided into messages that fit on a link")
{
  CrashSuspectTable table;
  const std::size_t size = CrashSuspects::Limits().m_max_traits;
  for (std::size_t i = 0; i < size; ++i) {
    std::string id = std::to_string(i);
    id.resize(64, 'f');
    table.OnMessage(MessageOf(CrashTrait(id), 0.987654321), kFirst, true, kNow);
  }
  std::size_t received = 0;
  for (const SlotMessage& message : table.MessagesForDaemon(kNow)) {
    const auto bytes = nlohmann::json::to_msgpack(EncodeSlotMessage(message));
    CHECK(bytes.size() <= PeerLink::kMaxMessageBytes / 2);
    received += SuspicionsIn(message);
  }
  CHECK(received == size);
}
