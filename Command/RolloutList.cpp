#include "RolloutList.h"

#include <LibCore/Try.h>
#include <absl/strings/str_cat.h>
#include <platform/RolloutOrderReader.h>
#include <platform/RolloutRecords.h>

namespace auburnhitch {

namespace {

constexpr int kMaxPages = 1'000;

std::optional<std::string>
ValueOf(const std::vector<KeyedRecord>& aRecords, const std::string& aKey)
{
  for (const KeyedRecord& record : aRecords) {
    if (record.m_key == aKey) {
      return record.m_value;
    }
  }
  return std::nullopt;
}

std::optional<RolloutState>
StateOf(const RolloutOrder& aOrder, const std::vector<KeyedRecord>& aStates)
{
  const std::string key = RolloutKeyOf(aOrder.m_service);
  Findings ignored;
  auto state = DecodeRolloutState(key, ValueOf(aStates, key).value_or(""), ignored);
  return state && state->m_order_id == aOrder.m_id ? state : std::nullopt;
}

std::string
StatusOf(const RolloutOrder& aOrder, const std::vector<KeyedRecord>& aStatuses)
{
  Findings findings;
  const auto json =
    ParseJson(ValueOf(aStatuses, RolloutKeyOf(aOrder.m_service)).value_or(""), findings);
  if (!json) {
    return "";
  }
  JsonObjectReader reader(*json, "", findings);
  const std::string target = reader.RequiredString("target");
  const std::string state = reader.RequiredString("state");
  return target == aOrder.m_target.Value() ? state : "";
}

/// Reads one page after another, and blocks.
class TopicReader
{
public:
  explicit TopicReader(const SocketAddress& aStore)
    : m_client(m_loop, aStore, { [](const char*, const char*) {}, [](StoreEra) {} })
  {
  }

  absl::StatusOr<std::vector<KeyedRecord>> Read(const std::string& aTopic)
  {
    std::vector<KeyedRecord> records;
    for (int page = 0; page < kMaxPages; ++page) {
      const auto read = ReadPage(aTopic, records.empty() ? "" : records.back().m_key);
      if (IsUnknownTopic(read.status())) {
        return records;
      }
      if (!read.ok()) {
        return read.status();
      }
      records.insert(records.end(), read->m_records.begin(), read->m_records.end());
      if (!read->m_has_more || read->m_records.empty() || read->m_records.back().m_key.empty()) {
        return records;
      }
    }
    return absl::InternalError("the pages of topic " + aTopic + " do not end");
  }

private:
  absl::StatusOr<KeyedPage> ReadPage(const std::string& aTopic, const std::string& aAfter)
  {
    absl::StatusOr<KeyedPage> result = absl::UnavailableError("no response");
    m_client.ReadNewest(aTopic, aAfter, [&](absl::StatusOr<KeyedPage> aPage) {
      result = std::move(aPage);
      m_loop.Stop();
    });
    m_loop.Run();
    return result;
  }

  EventLoop m_loop;
  StoreClient m_client;
};

}

std::vector<ListedRollout>
ListRollouts(const RolloutTopics& aTopics)
{
  std::map<ServiceName, RolloutOrder> orders;
  RolloutOrderReader reader(
    { [&](const RolloutOrder& aOrder) { orders.emplace(aOrder.m_service, aOrder); },
      [](const ServiceName&) {},
      [](const std::string&, const Findings&) {} });
  reader.OnSnapshot(aTopics.m_orders);
  std::vector<ListedRollout> rollouts;
  rollouts.reserve(orders.size());
  for (const auto& [service, order] : orders) {
    rollouts.push_back(
      { order, StateOf(order, aTopics.m_states), StatusOf(order, aTopics.m_statuses) });
  }
  return rollouts;
}

absl::StatusOr<RolloutTopics>
ReadRolloutTopics(const SocketAddress& aStore)
{
  TopicReader reader(aStore);
  RolloutTopics topics;
  TRY_ASSIGN(topics.m_orders, reader.Read("keyed.op"));
  TRY_ASSIGN(topics.m_states, reader.Read("keyed.rollouts"));
  TRY_ASSIGN(topics.m_statuses, reader.Read("keyed.status"));
  return topics;
}

Json
ToJson(const std::vector<ListedRollout>& aRollouts)
{
  Json all = Json::array();
  for (const ListedRollout& rollout : aRollouts) {
    Json json{ { "service", rollout.m_order.m_service.Value() },
               { "target", rollout.m_order.m_target.Value() },
               { "order", rollout.m_order.m_id },
               { "duration_ms", rollout.m_order.m_duration.count() },
               { "status", rollout.m_status } };
    if (rollout.m_state) {
      json["stage"] = NameOf(rollout.m_state->m_stage);
      json["arrived"] = rollout.m_state->m_arrived;
      json["sent"] = rollout.m_state->m_sent;
      json["decider"] = rollout.m_state->m_decider.Value();
    }
    all.push_back(std::move(json));
  }
  return all;
}

std::string
Describe(const std::vector<ListedRollout>& aRollouts)
{
  std::string text;
  for (const ListedRollout& rollout : aRollouts) {
    absl::StrAppend(&text,
                    rollout.m_order.m_service.Value(),
                    "  target ",
                    rollout.m_order.m_target.Value(),
                    "  status ",
                    rollout.m_status.empty() ? "none" : rollout.m_status);
    if (rollout.m_state) {
      absl::StrAppend(&text,
                      "  stage ",
                      NameOf(rollout.m_state->m_stage),
                      "  sent ",
                      rollout.m_state->m_sent,
                      " of ",
                      rollout.m_state->m_arrived,
                      "  decider ",
                      rollout.m_state->m_decider.Value());
    } else {
      absl::StrAppend(&text, "  not begun");
    }
    absl::StrAppend(&text,
                    "  duration ",
                    ToMilliseconds(rollout.m_order.m_duration),
                    " ms  order ",
                    rollout.m_order.m_id,
                    "\n");
  }
  return text.empty() ? "no rollouts" : text;
}

}
