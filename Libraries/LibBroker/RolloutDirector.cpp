#include <LibBroker/RolloutDirector.h>

namespace auburnhitch {

RolloutDirector::RolloutDirector(ServiceRollout::Limits aLimits, Dependencies aDependencies)
  : m_limits(aLimits)
  , m_dependencies(std::move(aDependencies))
{
}

ServiceRollout&
RolloutDirector::Of(const ServiceName& aService)
{
  const auto found = m_rollouts.find(aService);
  if (found != m_rollouts.end()) {
    return found->second;
  }
  ServiceRollout& rollout =
    m_rollouts
      .try_emplace(aService,
                   aService,
                   m_limits,
                   ServiceRollout::Dependencies{
                     m_dependencies.m_self,
                     m_dependencies.m_now,
                     [this, aService] { return m_dependencies.m_may_decide(aService); },
                     [this, aService] { return m_dependencies.m_endpoints(aService); },
                     [this, aService](const SoftwareVersion& aTarget) {
                       return m_dependencies.m_held_at_others(aService, aTarget);
                     } })
      .first->second;
  rollout.SetStore(m_store);
  return rollout;
}

void
RolloutDirector::SetOrder(const RolloutOrder& aOrder)
{
  Of(aOrder.m_service).SetOrder(aOrder);
}

void
RolloutDirector::RemoveOrder(const ServiceName& aService)
{
  if (const auto found = m_rollouts.find(aService); found != m_rollouts.end()) {
    found->second.RemoveOrder();
  }
}

void
RolloutDirector::SetStore(RolloutStore* aStore)
{
  m_store = aStore;
  for (auto& [service, rollout] : m_rollouts) {
    rollout.SetStore(aStore);
  }
}

void
RolloutDirector::OnStoreWentBack()
{
  for (auto& [service, rollout] : m_rollouts) {
    rollout.OnStoreWentBack();
  }
}

void
RolloutDirector::OnEndpointsChanged()
{
  for (auto& [service, rollout] : m_rollouts) {
    rollout.UpdateEndpoints();
  }
}

void
RolloutDirector::Tick()
{
  for (auto& [service, rollout] : m_rollouts) {
    rollout.Tick();
  }
}

bool
RolloutDirector::NeedsRoutes(const ServiceName& aService) const
{
  const auto found = m_rollouts.find(aService);
  return found != m_rollouts.end() && found->second.NeedsRoutes();
}

std::vector<RolloutView>
RolloutDirector::Views() const
{
  std::vector<RolloutView> views;
  for (const auto& [service, rollout] : m_rollouts) {
    if (const auto view = rollout.View()) {
      views.push_back(*view);
    }
  }
  return views;
}

}
