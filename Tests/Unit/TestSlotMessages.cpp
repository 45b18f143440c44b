#include <LibBroker/SlotMessages.h>

#include <doctest.h>
#include <random>

using namespace auburnhitch;

namespace {

std::vector<SlotMessage>
AllKinds()
{
  const ServiceName service("s");
  const EndpointId endpoint("e");
  return { HelloMessage{ HostName("h"), Incarnation("i") },
           SlotRequestMessage{ service,
                               7,
                               1,
                               RequestWork{ 3'720, 120.5 },
                               Milliseconds(3),
                               Milliseconds(-20),
                               Milliseconds(3'000),
                               DataCenterName("dc"),
                               { endpoint, EndpointId("f") },
                               WorkspaceName("w"),
                               3'840 },
           WithdrawMessage{ service, 7 },
           HeldMessage{ service, 7, endpoint, RequestWork{ 1, 2 } },
           FirstByteMessage{ service, 7, endpoint },
           ReleaseMessage{ service, 7, endpoint, SlotOutcome::Broken },
           LeaveMessage{ service },
           QueuedMessage{ 7 },
           GrantMessage{ 7, endpoint, Milliseconds(40) },
           RefusalMessage{ 7, SlotRefusalReason::Overloaded, Milliseconds(250) },
           EndpointNoticeMessage{ service, 7, endpoint, 1, RequestRate{ 1.3 } },
           RequiredVersionMessage{ 7, SoftwareVersion("v1") },
           StreamOriginsMessage{
             service, { { { "stream-1", endpoint, SoftwareVersion("v1") }, Milliseconds(5) } } },
           StreamLookupMessage{ 7, service, "stream-1" },
           StreamVersionMessage{ 7, SoftwareVersion("v1") },
           CrashTraitsMessage{ 7, { CrashTrait("5c"), CrashTrait("e4") } },
           UnprovenEndMessage{ service, 7 },
           TraitSuspicionsMessage{ service, { { CrashTrait("5c"), 0.5, 2, Milliseconds(7) } } },
           TraitCrashesMessage{
             service,
             { CrashTrait("5c"),
               { { { CrashTrait("5c"), CrashTrait("5d") }, { CrashTrait("5e") } }, {} },
               2 } },
           UncertainGrantMessage{ 7 },
           RequestRouteMessage{ 7, KindName("r") } };
}

}

TEST_CASE("Each kind of message is the same after encoding and decoding")
{
  const auto messages = AllKinds();
  REQUIRE(messages.size() == std::variant_size_v<SlotMessage>);
  for (const SlotMessage& message : messages) {
    const auto bytes = nlohmann::json::to_msgpack(EncodeSlotMessage(message));
    const auto decoded = DecodeSlotMessage(nlohmann::json::from_msgpack(bytes));
    REQUIRE(decoded);
    CHECK(*decoded == message);
  }
}

TEST_CASE("A message with a missing field, a surplus field or a field of another type is rejected")
{
  for (const SlotMessage& message : AllKinds()) {
    nlohmann::json json = EncodeSlotMessage(message);
    json.push_back(1);
    CHECK_FALSE(DecodeSlotMessage(json));
    json.erase(json.size() - 1);
    json.erase(json.size() - 1);
    CHECK_FALSE(DecodeSlotMessage(json));
    for (std::size_t field = 1; field < json.size(); ++field) {
      nlohmann::json wrong = EncodeSlotMessage(message);
      wrong[field] = nullptr;
      CHECK_FALSE(DecodeSlotMessage(wrong));
    }
  }
  for (const char* text : { "[]", "{}", "1", "[99]", "[-1]", "[\"0\"]", "[7, -5]", "[7, 1e300]" }) {
    CHECK_FALSE(DecodeSlotMessage(nlohmann::json::parse(text)));
  }
}

TEST_CASE("A notice that an endpoint leaves has one more field, which may be missing")
{
  EndpointNoticeMessage notice{ ServiceName("s"), 7, EndpointId("e"), 1, std::nullopt };
  const nlohmann::json staying = EncodeSlotMessage(notice);
  notice.m_is_leaving = true;
  const nlohmann::json leaving = EncodeSlotMessage(notice);
  CHECK(leaving.size() == staying.size() + 1);
  CHECK(DecodeSlotMessage(leaving) == SlotMessage(notice));
  nlohmann::json wrong = leaving;
  for (const nlohmann::json& value : { nlohmann::json(false), nlohmann::json("1") }) {
    wrong.back() = value;
    CHECK_FALSE(DecodeSlotMessage(wrong));
  }
  wrong = leaving;
  wrong.push_back(true);
  CHECK_FALSE(DecodeSlotMessage(wrong));
}

TEST_CASE("A notice that an endpoint rests has one more field, which may be missing")
{
  EndpointNoticeMessage notice{ ServiceName("s"), 0, EndpointId("e"), 1, std::nullopt };
  const nlohmann::json working = EncodeSlotMessage(notice);
  notice.m_rest = Milliseconds(1'500);
  const nlohmann::json resting = EncodeSlotMessage(notice);
  CHECK(resting.size() == working.size() + 1);
  CHECK(DecodeSlotMessage(resting) == SlotMessage(notice));
  for (const char* value : { "[]", "[-1]", "[\"1\"]", "[1, 2]", "1500", "false", "[1e300]" }) {
    nlohmann::json wrong = resting;
    wrong.back() = nlohmann::json::parse(value);
    CHECK_FALSE(DecodeSlotMessage(wrong));
  }
}

TEST_CASE("Decoding a damaged message does not crash the process")
{
  std::mt19937 random(1);
  for (const SlotMessage& message : AllKinds()) {
    const auto bytes = nlohmann::json::to_msgpack(EncodeSlotMessage(message));
    for (int i = 0; i < 2'000; ++i) {
      auto damaged = bytes;
      damaged[random() % damaged.size()] = static_cast<std::uint8_t>(random());
      const auto json = nlohmann::json::from_msgpack(damaged, true, false);
      if (!json.is_discarded()) {
        DecodeSlotMessage(json);
      }
    }
  }
}
