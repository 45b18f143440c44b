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

/// The endpoint chosen for a request and the estimates behind the choice.
struct EndpointChoice
{
  Endpoint m_endpoint;
  /// Expected time until the request ends, in which the top tier's penalty for endpoints of lower
  /// tiers is included.
  Milliseconds m_expected{ 0 };
  /// Expected time if the endpoint had no other request of this daemon, its prefix were not cached
  /// and there were no penalty.
  Milliseconds m_expected_alone{ 0 };
  /// Number of endpoints that could have been chosen.
  std::size_t m_candidates = 0;
};

/// One daemon's view of the endpoints of one service. Speeds are estimated only from the responses
/// that this daemon itself received, so that stale reports of other daemons cannot distort them.
/// Not thread-safe.
class EndpointTable
{
public:
  explicit EndpointTable(BalancePolicy aPolicy)
    : m_policy(aPolicy)
  {
  }

  /// Replaces the list of endpoints. Endpoints that are on both lists keep their estimates.
  void Update(const std::vector<Endpoint>& aEndpoints);

  /// Sets the daemons that share the endpoints. Each daemon computes on its own, from the same
  /// list, how many of an endpoint's slots it may use; the slots of all daemons add up to the
  /// endpoint's concurrency limit. Where there are more daemons than slots, some daemons do not use
  /// the endpoint.
  /// FIXME: A daemon without any slot keeps one at the endpoint where it ranks best, which exceeds
  /// that endpoint's concurrency limit by one. It should forward its requests to a daemon that has
  /// slots instead.
  void SetDaemons(const std::vector<HostName>& aDaemons, const HostName& aOwn);

  using Filter = std::function<bool(const Endpoint&)>;
  /// Returns the endpoint with a free slot that is expected to finish the work first, or nothing if
  /// no usable endpoint has a free slot.
  std::optional<EndpointChoice> Choose(const WaitingRequest& aRequest,
                                       const Filter& aMayUse,
                                       TimePoint aNow) const;

  /// Returns whether any usable endpoint has a free slot for a tier.
  bool HasFreeSlotFor(std::size_t aTier, const Filter& aMayUse) const;
  /// Returns whether any endpoint may be used at all, with a free slot or without.
  bool HasUsableEndpoint(const Filter& aMayUse) const;

  void RecordStarted(const HostName& aHost, const WaitingRequest& aRequest, TimePoint aNow);
  /// aTook is empty if the time that the request took says nothing about the endpoint's speed.
  void RecordEnded(const HostName& aHost, const RequestKey& aKey, std::optional<Duration> aTook);

  /// Returns the expected time until all usable endpoints together have served the given amount of
  /// work in addition to what they have in flight.
  Milliseconds ExpectedDrain(WorkUnits aWork, std::size_t aTier, const Filter& aMayUse) const;

private:
  struct StartedRequest
  {
    TimePoint m_at;
    WorkUnits m_work = 0;
    std::size_t m_tier = 0;
    /// Work in flight at the endpoint when the request started, the request included.
    WorkUnits m_ahead = 0;
  };

  struct EndpointState
  {
    Endpoint m_endpoint;
    absl::flat_hash_map<RequestKey, StartedRequest> m_in_flight;
    WorkUnits m_work_in_flight = 0;
    /// Milliseconds that one unit of work takes at this endpoint, as a moving average (EWMA).
    double m_slowness = 1.0;
    /// This daemon's position among the daemons that share the endpoint, from 0.
    std::size_t m_rank = 0;
    /// The endpoint's position in an order that is the same on all daemons. Lower tiers use the
    /// first endpoints in this order.
    std::size_t m_tier_order = 0;
  };

  void RankAll();
  /// Returns how many slots this daemon may use for a tier and the tiers below it together.
  std::size_t SlotsOf(const EndpointState& aState, std::size_t aTier) const;
  bool MayServeTier(const EndpointState& aState, std::size_t aTier) const;
  bool HasFreeSlot(const EndpointState& aState, std::size_t aTier) const;
  double SlownessOf(const EndpointState& aState, TimePoint aNow) const;
  std::vector<HostName> PreferredEndpointsOf(std::uint64_t aPrefix, const Filter& aMayUse) const;

  BalancePolicy m_policy;
  std::map<HostName, EndpointState> m_states;
  std::vector<HostName> m_daemons;
  HostName m_own;
  /// The endpoint where this daemon always has at least one slot, so that it can serve every tier.
  HostName m_guaranteed_slot_host;
};

}
