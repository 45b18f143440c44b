#pragma once

#include <LibPlacement/SlotRequest.h>
#include <LibRegistry/EndpointRegistry.h>

namespace auburnhitch {

/// Counts the refusals of one service for load and logs, at intervals, what they were judged by.
/// Not thread-safe.
class LoadRefusalLog
{
public:
  void Record(const ServiceName& aService, const SlotDecisions& aDecisions, TimePoint aNow);

  /// Refusals while a slot at an endpoint that may serve the request was free.
  std::size_t BesideFreeSlot() const { return m_beside_free_slot; }

private:
  std::size_t m_refused = 0;
  std::size_t m_beside_free_slot = 0;
  std::optional<TimePoint> m_logged_at;
};

}
