#pragma once

#include <LibBroker/ServiceRollout.h>
#include <map>

namespace auburnhitch {

/// The rollouts of all services as this daemon sees them. Exists on every daemon; nothing of it
/// runs while no order is known. Not thread-safe.
class RolloutDirector
{
public:
  struct Dependencies
  {
    Incarnation m_self;
    std::function<TimePoint()> m_now;
    /// See ServiceRollout::Dependencies.
    std::function<bool(const ServiceName& aService)> m_may_decide;
    std::function<std::vector<SlotEndpointInfo>(const ServiceName& aService)> m_endpoints;
    std::function<std::size_t(const ServiceName& aService, const SoftwareVersion& aTarget)>
      m_held_at_others;
  };

  RolloutDirector(ServiceRollout::Limits aLimits, Dependencies aDependencies);
  RolloutDirector(const RolloutDirector&) = delete;
  RolloutDirector& operator=(const RolloutDirector&) = delete;

  /// See ServiceRollout.
  void SetOrder(const RolloutOrder& aOrder);
  void RemoveOrder(const ServiceName& aService);
  /// Precondition: the store outlives the director, and calls each handler once.
  void SetStore(RolloutStore* aStore);
  /// Call when the store has come back from an older copy.
  void OnStoreWentBack();
  /// Call when the endpoints that may get requests have changed, before slots are granted.
  void OnEndpointsChanged();
  /// Call every few tens of milliseconds.
  void Tick();

  /// The policy of a service, which lives as long as the director.
  ExposurePolicy& PolicyOf(const ServiceName& aService) { return Of(aService); }
  /// Whether the coordinator of a service needs the routes of requests.
  bool NeedsRoutes(const ServiceName& aService) const;
  /// The rollouts that this daemon decides or whose verdict it knows.
  std::vector<RolloutView> Views() const;

private:
  ServiceRollout& Of(const ServiceName& aService);

  ServiceRollout::Limits m_limits;
  Dependencies m_dependencies;
  RolloutStore* m_store = nullptr;
  std::map<ServiceName, ServiceRollout> m_rollouts;
};

}
