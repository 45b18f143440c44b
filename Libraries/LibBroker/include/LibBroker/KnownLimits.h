#pragma once

#include <LibPlacement/SlotScheduler.h>
#include <LibPlacement/StatedRateLimit.h>
#include <map>
#include <set>

namespace auburnhitch {

/// The rate limits that a daemon knows endpoints to state: from the responses that it received and
/// from coordinators. Owns no clock. Not thread-safe.
class KnownLimits
{
public:
  /// Applies the limit, or its absence, that a response stated. aSentAt: a time not later than that
  /// at which the request was sent. Returns whether the coordinator needs to know: the response
  /// stated a limit, or ended one.
  bool RecordResponse(const ServiceName& aService,
                      const EndpointIncarnation& aEndpoint,
                      const std::optional<RequestRate>& aStated,
                      TimePoint aSentAt,
                      TimePoint aNow);
  /// Applies what another daemon reported. It does not end or raise a limit of an endpoint that
  /// responded to this daemon within the last second, since the report may be older.
  void RecordReport(const ServiceName& aService,
                    const EndpointIncarnation& aEndpoint,
                    const std::optional<RequestRate>& aStated,
                    TimePoint aNow);
  std::optional<RequestRate> LimitOf(const EndpointIncarnation& aEndpoint) const;
  /// The limits of a service's endpoints.
  std::vector<StatedLimit> LimitsOf(const ServiceName& aService) const;
  /// The services of the endpoints in the table.
  std::set<ServiceName> Services() const;
  /// Drops the limits of all other incarnations.
  void Retain(const std::set<EndpointIncarnation>& aEndpoints);

private:
  struct Entry
  {
    ServiceName m_service;
    std::int64_t m_started_at_ms = 0;
    StatedRateLimit m_limit;
    /// When this daemon received a response of the endpoint last.
    std::optional<TimePoint> m_responded_at;
  };

  /// The entry of an incarnation; null if a later incarnation is known.
  Entry* EntryOf(const ServiceName& aService, const EndpointIncarnation& aEndpoint);

  std::map<EndpointId, Entry> m_entries;
};

}
