#include <platform/ConditionalWriter.h>
#include <platform/RolloutRecords.h>

#include <doctest.h>

using namespace auburnhitch;

namespace {

/// A topic that answers at once.
struct FakeTopic
{
  ConditionalWriter::Store Calls()
  {
    return { [this](const KeyedRecord& aRecord,
                    std::uint64_t aAt,
                    const std::function<void(absl::Status)>& aHandler) {
              if (m_next_failure) {
                aHandler(*std::exchange(m_next_failure, std::nullopt));
              } else if (aAt != m_records.size()) {
                aHandler(absl::FailedPreconditionError("412"));
              } else {
                m_records.push_back(aRecord);
                aHandler(std::exchange(m_loses_answer, false) ? absl::UnknownError("lost")
                                                              : absl::OkStatus());
              }
            },
             [this](std::uint64_t aFrom,
                    const std::function<void(absl::StatusOr<KeyedRecords>)>& aHandler) {
               aHandler(KeyedRecords{
                 { m_records.begin() + static_cast<std::ptrdiff_t>(aFrom), m_records.end() },
                 m_records.size() });
             } };
  }

  std::vector<KeyedRecord> m_records;
  bool m_loses_answer = false;
  std::optional<absl::Status> m_next_failure;
};

absl::Status
Write(ConditionalWriter& aWriter, const std::string& aValue)
{
  absl::Status result = absl::InternalError("not answered");
  aWriter.Write(aValue, [&](const absl::Status& aStatus) { result = aStatus; });
  return result;
}

const char* const kKey = "rollout/s";

std::optional<RolloutOrder>
Decode(const char* aText, absl::string_view aKey = kKey)
{
  Findings findings;
  auto order = DecodeRolloutOrder(aKey, aText, "7", findings);
  CHECK(findings.IsEmpty() == order.has_value());
  return order;
}

}

// Guards against a decider that was paused and overwrites the verdict of its successor.
TEST_CASE("Conditional writes: a stale writer does not overwrite its successor")
{
  FakeTopic topic;
  ConditionalWriter stale(topic.Calls(), kKey, 0);
  CHECK(Write(stale, "probe").ok());
  ConditionalWriter successor(topic.Calls(), kKey, 1);
  CHECK(Write(successor, "rolled_back").ok());
  CHECK(absl::IsAborted(Write(stale, "completed")));
  CHECK(absl::IsAborted(Write(stale, "completed")));
  CHECK(topic.m_records.size() == 2);
  CHECK(topic.m_records.back().m_value == "rolled_back");
}

// Guards against deciders of different services that stop each other.
TEST_CASE("Conditional writes: records of other keys do not matter")
{
  FakeTopic topic;
  ConditionalWriter writer(topic.Calls(), kKey, 0);
  ConditionalWriter other(topic.Calls(), "rollout/other", 0);
  CHECK(Write(writer, "probe").ok());
  CHECK(Write(other, "probe").ok());
  CHECK(Write(writer, "share").ok());
  CHECK(topic.m_records.size() == 3);
  CHECK(writer.End() == 3);
}

// Guards against a record that is written twice because the response to its append was lost.
TEST_CASE("Conditional writes: a lost answer is resolved by reading")
{
  FakeTopic topic;
  topic.m_loses_answer = true;
  ConditionalWriter writer(topic.Calls(), kKey, 0);
  CHECK(Write(writer, "probe").ok());
  CHECK(topic.m_records.size() == 1);
  CHECK(writer.End() == 1);
}

// Guards against a failed write that is taken for done, or that ends the writer.
TEST_CASE("Conditional writes: a write that the store refuses may be repeated")
{
  FakeTopic topic;
  topic.m_next_failure = absl::UnavailableError("503");
  ConditionalWriter writer(topic.Calls(), kKey, 0);
  CHECK(absl::IsUnavailable(Write(writer, "probe")));
  CHECK(topic.m_records.empty());
  CHECK(Write(writer, "probe").ok());
}

// Guards against orders that are misread, and against foreign records that are taken for orders.
TEST_CASE("Rollout records: an order is decoded, and a malformed or foreign one is rejected")
{
  const auto order =
    Decode(R"({"service": "s", "target": "2", "duration_s": 20.5, "unknown": true})");
  REQUIRE(order);
  CHECK(*order ==
        RolloutOrder{ "7", ServiceName("s"), SoftwareVersion("2"), Milliseconds(20'500) });
  CHECK_FALSE(Decode("{"));
  CHECK_FALSE(Decode("[]"));
  CHECK_FALSE(Decode(R"({"service": "s", "duration_s": 20})"));
  CHECK_FALSE(Decode(R"({"service": "s", "target": "2"})"));
  CHECK_FALSE(Decode(R"({"service": "s", "target": "2", "duration_s": "20"})"));
  CHECK_FALSE(Decode(R"({"service": "s", "target": "2", "duration_s": -1})"));
  CHECK_FALSE(Decode(R"({"service": "s", "target": "2", "duration_s": 1e300})"));
  CHECK_FALSE(Decode(R"({"service": "s", "target": "a\nb", "duration_s": 20})"));
  CHECK_FALSE(Decode(R"({"service": "other", "target": "2", "duration_s": 20})"));
  CHECK_FALSE(IsRolloutKey("config"));
  CHECK(IsRolloutKey(kKey));
}

// Guards against a successor that reads another state than its predecessor wrote.
TEST_CASE("Rollout records: each state survives encoding, and its status has the stated names")
{
  for (const auto& [stage, status] : std::vector<std::pair<RolloutStage, std::string>>{
         { RolloutStage::Waiting, "running" },
         { RolloutStage::Probe, "running" },
         { RolloutStage::Share, "running" },
         { RolloutStage::Load, "running" },
         { RolloutStage::Drain, "running" },
         { RolloutStage::Completed, "completed" },
         { RolloutStage::RolledBack, "rolled_back" } }) {
    const RolloutState state{
      ServiceName("s"), "7", SoftwareVersion("2"), Incarnation("d"), stage, 100, 20, Milliseconds(7)
    };
    const KeyedRecord record = EncodeRolloutState(state);
    Findings findings;
    CHECK(DecodeRolloutState(record.m_key, *record.m_value, findings) == state);
    CHECK(EncodeRolloutStatus(state) ==
          KeyedRecord{ kKey, R"({"state":")" + status + R"(","target":"2"})" });
  }
  Findings findings;
  CHECK_FALSE(DecodeRolloutState(
    kKey,
    R"({"service":"s","order":"7","target":"2","decider":"d","stage":"odd","arrived":1,"sent":1})",
    findings));
}
