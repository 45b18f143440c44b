#pragma once

#include <LibBalance/BalancePolicy.h>
#include <LibCore/Time.h>
#include <LibDocument/ServiceDocument.h>
#include <LibQueueing/TieredQueue.h>
#include <absl/container/flat_hash_map.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnhitch {

/// The endpoint chosen for a request, and why.
struct EndpointChoice
{
  Endpoint m_endpoint;
  Milliseconds m_expected{ 0 };
  /// As m_expected, without the requests of this daemon that are there already.
  Milliseconds m_expected_alone{ 0 };
  std::size_t m_candidates = 0;
};

/// What one daemon knows of the endpoints of one service. Speeds are learned from the answers that
/// this daemon itself received, so that stale reports of others cannot mislead it.
/// Not thread-safe.
class EndpointTable
{
public:
  explicit EndpointTable(BalancePolicy aPolicy)
    : m_policy(aPolicy)
  {
  }

  /// Takes over a new list of endpoints; what was learned of those that stay is kept.
  void Update(const std::vector<Endpoint>& aEndpoints);

  /// Tells who shares the endpoints. Each daemon works out alone, from the same list, how many
  /// places of a window are its own; the places of all daemons add up to the window. Where there
  /// are more daemons than places, some daemons do not use the endpoint.
  /// FIXME: a daemon without any place keeps one where it ranks best, which passes that window by
  /// one; it has to hand its requests to a daemon that has places instead.
  void SetDaemons(const std::vector<HostName>& aDaemons, const HostName& aOwn);

  using Filter = std::function<bool(const Endpoint&)>;
  /// The endpoint with a free place that is expected to finish the work first, or nothing.
  std::optional<EndpointChoice> Choose(const WaitingRequest& aRequest,
                                       const Filter& aMayUse,
                                       TimePoint aNow) const;

  /// Whether any allowed endpoint has a free place for a tier.
  bool HasFreeSlotFor(std::size_t aTier, const Filter& aMayUse) const;
  /// Whether any endpoint may be used at all.
  bool HasUsableEndpoint(const Filter& aMayUse) const;

  void RecordStarted(const HostName& aHost, const WaitingRequest& aRequest, TimePoint aNow);
  /// aTook is empty when the end says nothing about speed.
  void RecordEnded(const HostName& aHost, const RequestKey& aKey, std::optional<Duration> aTook);

  /// Expected time until the given amount of work ahead has been served by all allowed endpoints.
  Milliseconds ExpectedDrain(WorkUnits aWork, std::size_t aTier, const Filter& aMayUse) const;

private:
  struct StartedRequest
  {
    TimePoint m_at;
    WorkUnits m_work = 0;
    std::size_t m_tier = 0;
    /// Work in flight when it started, itself included.
    WorkUnits m_ahead = 0;
  };

  struct EndpointState
  {
    Endpoint m_endpoint;
    absl::flat_hash_map<RequestKey, StartedRequest> m_in_flight;
    WorkUnits m_work_in_flight = 0;
    /// Milliseconds that one unit of work takes here.
    double m_slowness = 1.0;
    /// This daemon's place among those that share the endpoint.
    std::size_t m_rank = 0;
    /// Its place among the endpoints, in an order on which all daemons agree.
    std::size_t m_tier_order = 0;
  };

  void RankAll();
  /// Places of a tier and those below it that are this daemon's own.
  std::size_t SlotsOf(const EndpointState& aState, std::size_t aTier) const;
  bool MayServeTier(const EndpointState& aState, std::size_t aTier) const;
  bool HasFreeSlot(const EndpointState& aState, std::size_t aTier) const;
  double SlownessOf(const EndpointState& aState, TimePoint aNow) const;
  std::vector<HostName> PreferredEndpointsOf(std::uint64_t aPrefix, const Filter& aMayUse) const;

  BalancePolicy m_policy;
  std::map<HostName, EndpointState> m_states;
  std::vector<HostName> m_daemons;
  HostName m_own;
  /// Where this daemon has a place in any case, so that it can serve every tier.
  HostName m_guaranteed_slot_host;
};

}
