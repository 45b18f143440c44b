#pragma once

#include <LibPlacement/CrashSuspects.h>
#include <LibPlacement/SlotEndpoint.h>
#include <functional>
#include <map>

namespace auburnhitch {

/// Chooses the endpoint at which a request costs least: by its expected first byte, the time for
/// which it holds a slot there, the distance and the failures of the endpoint. Responds to
/// endpoints of uneven speed and to daemons whose connections to endpoints expire. Valid for one
/// decision: it refers to what it is given. Uses no clock and no socket. Not thread-safe.
class EndpointChooser
{
public:
  using Endpoints = std::map<EndpointId, SlotEndpoint>;
  /// Whether an endpoint may serve the request now, apart from free slots and suspicion.
  using Filter = std::function<bool(const SlotEndpoint&)>;

  struct State
  {
    const CrashSuspects& m_crash_suspects;
    /// See SlotEndpoint::IsSuspect().
    const SlotEndpoint::Daemons& m_doubted;
    /// Share of each endpoint's slots that may be granted.
    double m_slot_share = 1.0;
    /// Whether a new connection of the daemon counts as a cost, endpoints at which the request is
    /// in time are preferred, and those at their learned limit come last.
    bool m_is_learning = false;
  };

  explicit EndpointChooser(const State& aState)
    : m_state(aState)
  {
  }

  /// The endpoint with a free slot that costs least, or null if none has a free slot.
  SlotEndpoint* Choose(Endpoints& aEndpoints,
                       const SlotRequest& aRequest,
                       const Filter& aMayServe,
                       TimePoint aNow) const;

  /// Slots that requests wait for, by endpoint.
  using AwaitedSlots = std::map<EndpointId, std::size_t>;

  /// An endpoint that is expected to have a free slot early enough for the request to be in time,
  /// beyond the slots in aAwaited. Null if there is none, if the request is in time at aChosen, or
  /// if the estimate of aChosen is too old. Responds to long prompts and endpoints of uneven speed.
  /// Precondition: Choose() returned aChosen.
  const SlotEndpoint* BetterSoon(Endpoints& aEndpoints,
                                 const SlotRequest& aRequest,
                                 const SlotEndpoint& aChosen,
                                 const AwaitedSlots& aAwaited,
                                 const Filter& aMayServe,
                                 TimePoint aNow) const;

private:
  using Candidates = std::vector<SlotEndpoint*>;

  /// The endpoints that may get a request when they have a free slot. Suspect endpoints, and those
  /// that run a request that may crash them, are among them only if there is no other.
  Candidates CandidatesFor(Endpoints& aEndpoints,
                           const SlotRequest& aRequest,
                           const Filter& aMayServe,
                           TimePoint aNow) const;
  /// The cost of a request at an endpoint, in milliseconds.
  double CostOf(const SlotEndpoint& aEndpoint, const SlotRequest& aRequest, TimePoint aNow) const;

  State m_state;
};

}
