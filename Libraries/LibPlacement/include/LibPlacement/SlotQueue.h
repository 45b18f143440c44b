#pragma once

#include <LibPlacement/GrantRates.h>
#include <LibPlacement/ServedShares.h>
#include <LibPlacement/SlotRequest.h>
#include <absl/container/flat_hash_map.h>
#include <map>
#include <optional>
#include <set>

namespace auburnhitch {

/// A waiting request and its expected times.
struct WaitingSlotRequest
{
  SlotRequest m_request;
  /// Time for which it will hold a slot.
  double m_slot_time_ms = 0;
  /// Minimum over all endpoints of the expected time to first byte.
  double m_min_first_byte_ms = 0;
  /// Upper estimate of the time to first byte at a typical endpoint, with a margin for its
  /// variation.
  double m_first_byte_bound_ms = 0;
};

/// Orders requests for slots, also while more work arrives than the endpoints can serve in time.
/// Within a priority, requests that can still meet their objective precede those that cannot; each
/// of the two groups is ordered by the time of the objective. Across priorities the head of line
/// with the highest value is served first, except that a priority of which too small a share is
/// served gets an occasional turn. Uses no clock of its own. Not thread-safe.
class SlotQueue
{
public:
  explicit SlotQueue(ServedShares::Floors aFloors = ServedShares::Floors::Priorities)
    : m_keeps_priorities_of_late_work(aFloors == ServedShares::Floors::Priorities)
    , m_shares(aFloors)
  {
  }

  /// Enqueues a new arrival. One that waits under the same id is replaced.
  void Push(WaitingSlotRequest aWaiting, TimePoint aNow);
  /// Returns a removed request to the queue without counting it as a new arrival.
  void PutBack(WaitingSlotRequest aWaiting);
  std::optional<WaitingSlotRequest> Remove(const SlotRequestId& aRequestId);
  /// The request to serve next, or null if none waits.
  const WaitingSlotRequest* Front(TimePoint aNow);
  /// Removes the request that Front() returns and counts it as served. Precondition: Size() > 0.
  WaitingSlotRequest PopFront(TimePoint aNow);
  /// Counts a request, taken from the queue before, as served.
  void RecordServed(const WaitingSlotRequest& aWaiting, TimePoint aNow);
  /// Removes the requests whose callers have stopped waiting.
  std::vector<WaitingSlotRequest> TakeAbandoned(TimePoint aNow);
  // aSlots, the number of usable slots, is positive in the calls below.

  /// Removes the requests whose callers will stop waiting before the first byte could arrive, and
  /// those that can no longer be in time while work that precedes them takes all slots: these would
  /// only wait until their callers leave. Both depend on estimates; see
  /// SlotScheduler::GrantOrRefuse().
  std::vector<WaitingSlotRequest> TakeUnservable(double aSlots, TimePoint aNow);
  /// Whether the work that arrives at this priority and higher ones exceeds the capacity of all
  /// slots.
  bool IsOverloaded(int aPriority, double aSlots, TimePoint aNow) const;
  std::vector<WaitingSlotRequest> TakeAll();
  /// Removes the requests of a daemon.
  std::vector<SlotRequest> RemoveDaemon(const Incarnation& aDaemon);

  std::size_t Size() const { return m_index.size(); }
  /// Work that is served before a new request of this priority, in milliseconds of one slot.
  double SlotTimeAheadMs(int aPriority) const;
  /// Load from arrivals of higher priorities, as a share of the capacity of all slots.
  double LoadAbove(int aPriority, double aSlots, TimePoint aNow) const;
  /// How long the load from arrivals of this priority and higher ones stays above the capacity of
  /// all slots if no more arrive.
  double OverloadEndsInMs(int aPriority, double aSlots, TimePoint aNow) const;
  /// How long a new request of this priority is expected to wait, by the rate at which requests of
  /// this priority and lower ones were granted slots lately; nothing while too few were.
  std::optional<double> ExpectedWaitMs(int aPriority, TimePoint aNow) const;

private:
  using Key = std::pair<TimePoint, SlotRequestId>;

  struct Level
  {
    std::set<Key> m_in_time;
    std::set<Key> m_late;
    double m_slot_time_ms = 0;
    /// Exponentially decaying sum of the work that arrived, in milliseconds of one slot.
    double m_arrived_ms = 0;
    TimePoint m_decayed_at;
  };

  std::vector<WaitingSlotRequest> Take(const std::vector<SlotRequestId>& aIds);
  void Decay(Level& aLevel, TimePoint aNow) const;
  void MoveLateRequests(Level& aLevel, TimePoint aNow);
  void Erase(const WaitingSlotRequest& aWaiting);
  const SlotRequestId* HeadOf(const Level& aLevel) const;
  /// Value of serving the head of a level next, relative to the highest waiting priority.
  double ValueOf(int aPriority, int aFirst, const Level& aLevel, TimePoint aNow);

  bool m_keeps_priorities_of_late_work;
  /// The priority whose work in time a late request of a priority directly follows.
  int PriorityOfLateWork(int aPriority) const;

  ServedShares m_shares;
  GrantRates m_grant_rates;
  std::map<int, Level> m_levels;
  absl::flat_hash_map<SlotRequestId, WaitingSlotRequest> m_index;
};

}
