#include <LibPlacement/SlotQueue.h>

#include <algorithm>
#include <cmath>

namespace auburnhitch {

namespace {

// Value of a priority relative to the next higher one. Neighbouring priorities differ in value by a
// factor of 2 to 8; the ratio only has to preserve their order for work of similar cost.
constexpr double kNextPriorityValueRatio = 1.0 / 3;
// Value of a late response relative to one in time; it is 0.3 to 0.5, depending on the load.
constexpr double kLateValueRatio = 0.3;
// Late work of a kind that is not the most urgent one is served after work in time of more urgent
// kinds also where that is of workspaces of the next priority: it gets a value just below the least
// urgent of these.
constexpr double kLateBehindValue = 0.9;
// Late work is served after work in time that is this many priorities lower, and before work of any
// lower priority.
constexpr int kLateWorkPriorityPenalty = 1;
// Load from which arriving work counts as taking all slots. Above 1, because the estimate of the
// momentary load has an error of about a tenth.
constexpr double kOverloadThreshold = 1.1;
// A priority that is served too seldom gets a value just below that of work in time of the highest
// waiting priority.
constexpr double kStarvedPriorityValue = 0.9;
// Time constant of the decaying sums of arriving work; about the length of two bursts.
constexpr double kDecaySeconds = 5;
constexpr double kMillisecondsPerSecond = 1'000;

TimePoint
After(TimePoint aFrom, double aMs)
{
  return aFrom +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(aMs));
}

}

void
SlotQueue::Decay(Level& aLevel, TimePoint aNow) const
{
  const double passed = std::chrono::duration<double>(aNow - aLevel.m_decayed_at).count();
  if (passed <= 0) {
    return;
  }
  const double factor = std::exp(-passed / kDecaySeconds);
  aLevel.m_arrived_ms *= factor;
  aLevel.m_decayed_at = aNow;
}

void
SlotQueue::Push(WaitingSlotRequest aWaiting, TimePoint aNow)
{
  const SlotRequest& request = aWaiting.m_request;
  Level& level = m_levels[request.m_priority];
  Decay(level, aNow);
  m_shares.RecordArrived(request.m_priority, aNow);
  level.m_arrived_ms += aWaiting.m_slot_time_ms;
  PutBack(std::move(aWaiting));
}

void
SlotQueue::PutBack(WaitingSlotRequest aWaiting)
{
  const SlotRequest& request = aWaiting.m_request;
  // The keys of a request with the same id may be others.
  Remove(request.m_request_id);
  Level& level = m_levels[request.m_priority];
  level.m_slot_time_ms += aWaiting.m_slot_time_ms;
  level.m_in_time.emplace(request.m_objective_at, request.m_request_id);
  m_index.insert_or_assign(request.m_request_id, std::move(aWaiting));
}

void
SlotQueue::Erase(const WaitingSlotRequest& aWaiting)
{
  const SlotRequest& request = aWaiting.m_request;
  Level& level = m_levels[request.m_priority];
  const Key key(request.m_objective_at, request.m_request_id);
  level.m_in_time.erase(key);
  level.m_late.erase(key);
  level.m_slot_time_ms -= aWaiting.m_slot_time_ms;
}

std::optional<WaitingSlotRequest>
SlotQueue::Remove(const SlotRequestId& aRequestId)
{
  const auto found = m_index.find(aRequestId);
  if (found == m_index.end()) {
    return std::nullopt;
  }
  WaitingSlotRequest waiting = std::move(found->second);
  m_index.erase(found);
  Erase(waiting);
  return waiting;
}

void
SlotQueue::MoveLateRequests(Level& aLevel, TimePoint aNow)
{
  while (!aLevel.m_in_time.empty()) {
    const Key head = *aLevel.m_in_time.begin();
    const WaitingSlotRequest& waiting = m_index.at(head.second);
    if (After(aNow, waiting.m_first_byte_bound_ms) <= waiting.m_request.m_objective_at) {
      return;
    }
    aLevel.m_in_time.erase(aLevel.m_in_time.begin());
    aLevel.m_late.insert(head);
  }
}

const SlotRequestId*
SlotQueue::HeadOf(const Level& aLevel) const
{
  if (!aLevel.m_in_time.empty()) {
    return &aLevel.m_in_time.begin()->second;
  }
  return aLevel.m_late.empty() ? nullptr : &aLevel.m_late.begin()->second;
}

int
SlotQueue::PriorityOfLateWork(int aPriority) const
{
  return m_keeps_priorities_of_late_work || RoutePriorityOf(aPriority) == 0
           ? aPriority
           : aPriority - 1 + kRoutePriorities;
}

double
SlotQueue::ValueOf(int aPriority, int aFirst, const Level& aLevel, TimePoint aNow)
{
  const auto value_of = [aFirst](int aOther) {
    return std::pow(kNextPriorityValueRatio, aOther - aFirst);
  };
  if (!aLevel.m_in_time.empty()) {
    const double value = value_of(aPriority);
    return m_shares.IsStarved(aPriority, aNow) ? std::max(value, kStarvedPriorityValue) : value;
  }
  const int followed = PriorityOfLateWork(aPriority);
  return followed == aPriority ? kLateValueRatio * value_of(aPriority)
                               : kLateBehindValue * value_of(followed);
}

const WaitingSlotRequest*
SlotQueue::Front(TimePoint aNow)
{
  const SlotRequestId* best = nullptr;
  double best_value = -1;
  std::optional<int> first;
  for (auto& [priority, level] : m_levels) {
    Decay(level, aNow);
    MoveLateRequests(level, aNow);
    const SlotRequestId* head = HeadOf(level);
    if (head == nullptr) {
      continue;
    }
    first = first.value_or(priority);
    const double value = ValueOf(priority, *first, level, aNow);
    if (value > best_value) {
      best_value = value;
      best = head;
    }
  }
  return best == nullptr ? nullptr : &m_index.at(*best);
}

WaitingSlotRequest
SlotQueue::PopFront(TimePoint aNow)
{
  WaitingSlotRequest waiting = *Front(aNow);
  RecordServed(waiting, aNow);
  Remove(waiting.m_request.m_request_id);
  return waiting;
}

bool
SlotQueue::IsOverloaded(int aPriority, double aSlots, TimePoint aNow) const
{
  return LoadAbove(aPriority + 1, aSlots, aNow) > kOverloadThreshold;
}

std::vector<WaitingSlotRequest>
SlotQueue::TakeUnservable(double aSlots, TimePoint aNow)
{
  std::vector<SlotRequestId> ids;
  for (auto& [priority, level] : m_levels) {
    MoveLateRequests(level, aNow);
    if (!level.m_late.empty() && IsOverloaded(priority + kLateWorkPriorityPenalty, aSlots, aNow)) {
      for (const Key& key : level.m_late) {
        ids.push_back(key.second);
      }
    }
  }
  for (const auto& [id, waiting] : m_index) {
    if (After(aNow, waiting.m_min_first_byte_ms) > waiting.m_request.m_abandoned_at) {
      ids.push_back(id);
    }
  }
  return Take(ids);
}

std::vector<WaitingSlotRequest>
SlotQueue::TakeAbandoned(TimePoint aNow)
{
  std::vector<SlotRequestId> ids;
  for (const auto& [id, waiting] : m_index) {
    if (aNow >= waiting.m_request.m_abandoned_at) {
      ids.push_back(id);
    }
  }
  return Take(ids);
}

std::vector<WaitingSlotRequest>
SlotQueue::Take(const std::vector<SlotRequestId>& aIds)
{
  std::vector<WaitingSlotRequest> taken;
  taken.reserve(aIds.size());
  for (const SlotRequestId& id : aIds) {
    if (auto waiting = Remove(id)) {
      taken.push_back(*std::move(waiting));
    }
  }
  return taken;
}

void
SlotQueue::RecordServed(const WaitingSlotRequest& aWaiting, TimePoint aNow)
{
  const SlotRequest& request = aWaiting.m_request;
  m_shares.RecordServed(request.m_priority, aNow);
  const bool is_late = After(aNow, aWaiting.m_first_byte_bound_ms) > request.m_objective_at;
  m_grant_rates.Record(is_late ? PriorityOfLateWork(request.m_priority) : request.m_priority, aNow);
}

std::vector<WaitingSlotRequest>
SlotQueue::TakeAll()
{
  std::vector<WaitingSlotRequest> all;
  all.reserve(m_index.size());
  for (auto& [id, waiting] : m_index) {
    all.push_back(std::move(waiting));
  }
  m_index.clear();
  for (auto& [priority, level] : m_levels) {
    level.m_in_time.clear();
    level.m_late.clear();
    level.m_slot_time_ms = 0;
  }
  return all;
}

std::vector<SlotRequest>
SlotQueue::RemoveDaemon(const Incarnation& aDaemon)
{
  std::vector<SlotRequestId> ids;
  for (const auto& [id, waiting] : m_index) {
    if (id.m_daemon == aDaemon) {
      ids.push_back(id);
    }
  }
  std::vector<SlotRequest> removed;
  removed.reserve(ids.size());
  for (const SlotRequestId& id : ids) {
    removed.push_back(std::move(Remove(id)->m_request));
  }
  return removed;
}

double
SlotQueue::SlotTimeAheadMs(int aPriority) const
{
  double ahead = 0;
  for (const auto& [priority, level] : m_levels) {
    if (priority <= aPriority) {
      ahead += level.m_slot_time_ms;
    }
  }
  return ahead;
}

double
SlotQueue::LoadAbove(int aPriority, double aSlots, TimePoint aNow) const
{
  double arrived_ms = 0;
  for (const auto& [priority, level] : m_levels) {
    if (priority < aPriority) {
      const double passed = std::chrono::duration<double>(aNow - level.m_decayed_at).count();
      arrived_ms += level.m_arrived_ms * std::exp(-std::max(0.0, passed) / kDecaySeconds);
    }
  }
  const double slots_ms = aSlots * kDecaySeconds * kMillisecondsPerSecond;
  return arrived_ms / slots_ms;
}

double
SlotQueue::OverloadEndsInMs(int aPriority, double aSlots, TimePoint aNow) const
{
  const double load = LoadAbove(aPriority + 1, aSlots, aNow);
  return load > 1 ? kDecaySeconds * kMillisecondsPerSecond * std::log(load) : 0;
}

std::optional<double>
SlotQueue::ExpectedWaitMs(int aPriority, TimePoint aNow) const
{
  double ahead = 0;
  for (const auto& [priority, level] : m_levels) {
    if (priority <= aPriority) {
      ahead += static_cast<double>(level.m_in_time.size());
    }
    if (PriorityOfLateWork(priority) < aPriority) {
      ahead += static_cast<double>(level.m_late.size());
    }
  }
  const auto rate = m_grant_rates.RateFrom(aPriority, aNow);
  return rate ? std::optional(ahead / *rate * kMillisecondsPerSecond) : std::nullopt;
}

}
