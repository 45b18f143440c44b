#pragma once

#include <LibRollout/Rollout.h>

namespace auburnhitch {

/// The state of a rollout as the decider keeps it in the store.
struct RolloutState
{
  ServiceName m_service;
  /// RolloutOrder::m_id of the order that it belongs to.
  std::string m_order_id;
  SoftwareVersion m_target;
  /// The daemon that wrote it.
  Incarnation m_decider;
  RolloutStage m_stage = RolloutStage::Waiting;
  std::uint64_t m_arrived = 0;
  /// Requests that may have been sent to the target: written before they are sent.
  std::uint64_t m_sent = 0;
  /// Time between the order and the writing of this state: a successor that has started since does
  /// not know when the order was read first.
  Milliseconds m_elapsed{ 0 };

  auto operator<=>(const RolloutState&) const = default;
};

}
