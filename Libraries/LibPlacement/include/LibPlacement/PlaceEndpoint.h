#pragma once

#include <LibPlacement/ServiceTimeModel.h>
#include <absl/container/flat_hash_map.h>
#include <optional>

namespace auburnhitch {

/// An endpoint as a scheduler is told of it.
struct PlaceEndpointInfo
{
  EndpointId m_id;
  DataCenterName m_data_center;
  int m_places = 1;
  std::int64_t m_started_at_ms = 0;

  auto operator<=>(const PlaceEndpointInfo&) const = default;
};

/// The places of one endpoint: who holds them, how fast answers come and whether it can be trusted
/// with more work now. Pure: owns no clock. Not thread-safe.
class PlaceEndpoint
{
public:
  PlaceEndpoint(PlaceEndpointInfo aInfo, TimePoint aNow);

  const PlaceEndpointInfo& Info() const { return m_info; }
  void SetInfo(const PlaceEndpointInfo& aInfo) { m_info = aInfo; }
  ServiceTimeModel& Times() { return m_times; }
  const ServiceTimeModel& Times() const { return m_times; }

  void Hold(const PlaceTicket& aTicket, const PlaceWork& aWork, TimePoint aNow);
  bool Holds(const PlaceTicket& aTicket) const { return m_held.contains(aTicket); }
  /// Returns the time that the first part took against what was expected, unless the ticket is not
  /// held here or has started before.
  std::optional<double> NoteStarted(const PlaceTicket& aTicket, TimePoint aNow);
  /// Returns whether the ticket held a place here.
  bool NoteEnded(const PlaceTicket& aTicket, PlaceEnd aEnd, TimePoint aNow);
  /// Frees the places of a daemon that is gone.
  void ReleaseDaemon(const Incarnation& aDaemon);

  std::size_t HeldCount() const { return m_held.size(); }
  /// Places that may be used now, of which aPart are this scheduler's.
  std::size_t Places(double aPart, TimePoint aNow) const;
  /// Whether the evidence speaks against sending more work now.
  bool IsSuspect(TimePoint aNow) const;
  /// Expected time to the first part of an answer.
  double ExpectedFirstMs(const PlaceWork& aWork) const;
  double ExpectedTotalMs(const PlaceWork& aWork) const;
  /// Part of its recent answers that were failures.
  double FailureRate() const { return m_failure_rate; }

private:
  struct Held
  {
    PlaceWork m_work;
    TimePoint m_granted_at;
    double m_expected_first_ms = 0;
    std::optional<TimePoint> m_started_at;
  };

  bool IsOverdue(const Held& aHeld, TimePoint aNow) const;
  void NoteOutcome(bool aIsFailure);
  void Distrust(TimePoint aNow);

  PlaceEndpointInfo m_info;
  ServiceTimeModel m_times;
  absl::flat_hash_map<PlaceTicket, Held> m_held;
  double m_prompt_tokens_ahead = 0;
  double m_failure_rate = 0;
  int m_strikes = 0;
  TimePoint m_distrusted_until;
  TimePoint m_full_until;
};

}
