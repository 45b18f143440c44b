#pragma once

#include <LibCore/JsonObjectReader.h>
#include <LibRollout/RolloutState.h>
#include <platform/StoreClient.h>

namespace auburnhitch {

/// A rollout as the store has it.
struct ListedRollout
{
  RolloutOrder m_order;
  /// Nothing while no daemon has begun to decide on the order.
  std::optional<RolloutState> m_state;
  /// The status that the system has published for the service; empty if there is none.
  std::string m_status;

  auto operator<=>(const ListedRollout&) const = default;
};

/// The records of the topics of orders, states and statuses.
struct RolloutTopics
{
  std::vector<KeyedRecord> m_orders;
  std::vector<KeyedRecord> m_states;
  std::vector<KeyedRecord> m_statuses;
};

/// The rollouts whose orders are in the store, by service, with the states that belong to them.
/// Malformed records are left out. Thread-safe.
std::vector<ListedRollout>
ListRollouts(const RolloutTopics& aTopics);

/// Reads the topics from a store. Blocks until they are read.
absl::StatusOr<RolloutTopics>
ReadRolloutTopics(const SocketAddress& aStore);

Json
ToJson(const std::vector<ListedRollout>& aRollouts);

/// One line for each rollout.
std::string
Describe(const std::vector<ListedRollout>& aRollouts);

}
