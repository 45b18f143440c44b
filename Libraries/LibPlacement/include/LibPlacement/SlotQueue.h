#pragma once

#include <LibPlacement/SlotRequest.h>
#include <absl/container/flat_hash_map.h>
#include <map>
#include <optional>
#include <set>

namespace auburnhitch {

/// A waiting request and what it is expected to cost.
struct WaitingSlotRequest
{
  SlotRequest m_request;
  /// Time for which it will hold a place.
  double m_slot_time_ms = 0;
  /// Shortest time to the first part of its answer at any endpoint.
  double m_min_first_byte_ms = 0;
  /// Time within which the first part comes as a rule, with a margin for how much such times vary.
  double m_first_byte_bound_ms = 0;
};

/// The order in which requests get places, for the days on which more work arrives than the
/// engines can do in time. Requests of one priority go by when their objective ends, those that can
/// still meet it before those that cannot. Between priorities goes first what is worth most; a
/// priority of which too little is served gets a turn all the same. Pure: owns no clock. Not
/// thread-safe.
class SlotQueue
{
public:
  void Push(WaitingSlotRequest aWaiting, TimePoint aNow);
  /// Lets a request that was removed wait again, without counting it as a new arrival.
  void PutBack(WaitingSlotRequest aWaiting);
  std::optional<WaitingSlotRequest> Remove(const SlotRequestId& aRequestId);
  /// The request to serve next, or null.
  const WaitingSlotRequest* Front(TimePoint aNow);
  /// Takes the request that Front() returned, which has got a place.
  WaitingSlotRequest PopFront(TimePoint aNow);
  /// Takes out the requests whose callers go before an answer could begin, and those that can no
  /// longer be in time while work that goes first takes all places, so that they would only wait
  /// for their end.
  std::vector<WaitingSlotRequest> TakeUnservable(std::size_t aSlots, TimePoint aNow);
  /// Whether more work of a priority and of those before it arrives than all places can do.
  bool IsOverloaded(int aPriority, std::size_t aSlots, TimePoint aNow) const;
  std::vector<WaitingSlotRequest> TakeAll();
  /// Takes out the requests of a daemon.
  std::vector<SlotRequest> RemoveDaemon(const Incarnation& aDaemon);

  std::size_t Size() const { return m_index.size(); }
  /// Work that is served before a new request of a priority, in milliseconds of one place.
  double SlotTimeAheadMs(int aPriority) const;
  /// Part of the places that arriving work of higher priorities takes.
  double LoadAbove(int aPriority, std::size_t aSlots, TimePoint aNow) const;

private:
  using Key = std::pair<TimePoint, SlotRequestId>;

  struct Level
  {
    std::set<Key> m_in_time;
    std::set<Key> m_late;
    double m_slot_time_ms = 0;
    /// Decaying counts of requests that arrived and that got a place.
    double m_arrived = 0;
    double m_served = 0;
    /// Decaying sum of the work that arrived.
    double m_arrived_ms = 0;
    TimePoint m_decayed_at;
  };

  void Decay(Level& aLevel, TimePoint aNow) const;
  void MoveLateRequests(Level& aLevel, TimePoint aNow);
  void Erase(const WaitingSlotRequest& aWaiting);
  const SlotRequestId* HeadOf(const Level& aLevel) const;
  /// Against the highest priority that waits.
  double ValueOf(int aStepsBelowFirst, const Level& aLevel) const;

  std::map<int, Level> m_levels;
  absl::flat_hash_map<SlotRequestId, WaitingSlotRequest> m_index;
};

}
