#pragma once

#include <LibPlacement/PlaceScheduler.h>
#include <functional>
#include <map>
#include <set>

namespace auburnhitch {

/// The services whose places this daemon grants, to itself and to the daemons that ask it. Owns no
/// socket: what it decides is handed to a callback. Not thread-safe.
class HomeService
{
public:
  using EndpointSource = std::function<std::vector<PlaceEndpointInfo>(const ServiceName&)>;
  using DecisionHandler =
    std::function<void(const ServiceName& aService, const PlaceDecisions& aDecisions)>;

  HomeService(PlaceSchedulerLimits aLimits, EndpointSource aEndpoints, DecisionHandler aHandler);

  /// The scheduler of a service, which is made on first use. Call Decide() after changing it.
  PlaceScheduler& SchedulerOf(const ServiceName& aService, TimePoint aNow);
  void Decide(const ServiceName& aService, TimePoint aNow);
  void DecideAll(TimePoint aNow);
  /// The endpoints, or what is known of them, have changed.
  void UpdateEndpoints(TimePoint aNow);
  /// Which part of each endpoint's places may be granted here.
  void SetPart(double aPart);
  /// Drops all that a daemon waits for and holds.
  void ForgetDaemon(const Incarnation& aDaemon);

  std::size_t WaitingCount() const;
  std::size_t HeldCount() const;

  /// Writes a line for each endpoint that has come under suspicion or is trusted again since the
  /// last call.
  void LogBeliefs(TimePoint aNow);

private:
  PlaceSchedulerLimits m_limits;
  EndpointSource m_endpoints;
  DecisionHandler m_handler;
  double m_part = 1.0;
  std::map<ServiceName, PlaceScheduler> m_schedulers;
  std::set<EndpointId> m_suspects;
};

}
