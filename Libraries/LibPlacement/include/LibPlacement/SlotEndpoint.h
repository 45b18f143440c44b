#pragma once

#include <LibPlacement/ServiceTimeModel.h>
#include <absl/container/flat_hash_map.h>
#include <optional>

namespace auburnhitch {

/// An endpoint as a scheduler is told of it.
struct SlotEndpointInfo
{
  EndpointId m_id;
  DataCenterName m_data_center;
  int m_slots = 1;
  std::int64_t m_started_at_ms = 0;

  auto operator<=>(const SlotEndpointInfo&) const = default;
};

/// The places of one endpoint: who holds them, how fast answers come and whether it can be trusted
/// with more work now. Pure: owns no clock. Not thread-safe.
class SlotEndpoint
{
public:
  SlotEndpoint(SlotEndpointInfo aInfo, TimePoint aNow);

  const SlotEndpointInfo& Info() const { return m_info; }
  void SetInfo(const SlotEndpointInfo& aInfo) { m_info = aInfo; }
  ServiceTimeModel& Times() { return m_times; }
  const ServiceTimeModel& Times() const { return m_times; }

  void Hold(const SlotRequestId& aRequestId, const RequestWork& aWork, TimePoint aNow);
  bool Holds(const SlotRequestId& aRequestId) const { return m_held.contains(aRequestId); }
  /// Returns the time that the first part took against what was expected, unless the ticket is not
  /// held here or has started before.
  std::optional<double> RecordStarted(const SlotRequestId& aRequestId, TimePoint aNow);
  /// Returns whether the ticket held a place here.
  bool RecordEnded(const SlotRequestId& aRequestId, SlotOutcome aEnd, TimePoint aNow);
  /// Frees the places of a daemon that is gone.
  void ReleaseDaemon(const Incarnation& aDaemon);

  std::size_t HeldCount() const { return m_held.size(); }
  /// Places that may be used now, of which aSlotShare are this scheduler's.
  std::size_t ConcurrencyLimit(double aSlotShare, TimePoint aNow) const;
  /// Whether the evidence speaks against sending more work now.
  bool IsSuspect(TimePoint aNow) const;
  /// Expected time to the first part of an answer.
  double ExpectedFirstByteMs(const RequestWork& aWork) const;
  double ExpectedTotalMs(const RequestWork& aWork) const;
  /// Part of its recent answers that were failures.
  double FailureRate() const { return m_failure_rate; }

private:
  struct Held
  {
    RequestWork m_work;
    TimePoint m_granted_at;
    double m_expected_first_byte_ms = 0;
    std::optional<TimePoint> m_started_at;
  };

  bool IsOverdue(const Held& aHeld, TimePoint aNow) const;
  void RecordOutcome(bool aIsFailure);
  void Suspect(TimePoint aNow);

  SlotEndpointInfo m_info;
  ServiceTimeModel m_times;
  absl::flat_hash_map<SlotRequestId, Held> m_held;
  double m_prompt_tokens_ahead = 0;
  double m_failure_rate = 0;
  int m_consecutive_failures = 0;
  TimePoint m_suspect_until;
  TimePoint m_full_until;
};

}
