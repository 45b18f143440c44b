#include <LibGateway/Gateway.h>

#include <algorithm>

namespace auburnhitch {

std::unique_ptr<RolloutDirector>
Gateway::MakeRollouts()
{
  if (!m_settings.m_rollout_bounds) {
    return nullptr;
  }
  const RolloutBounds& bounds = *m_settings.m_rollout_bounds;
  ServiceRollout::Limits limits;
  limits.m_exposure = bounds.m_exposure;
  limits.m_max_state_age = std::min(limits.m_max_state_age, bounds.m_rollback / 2);
  return std::make_unique<RolloutDirector>(
    limits,
    RolloutDirector::Dependencies{
      m_incarnation,
      [this] { return Now(); },
      // A daemon that is cut off with a minority coordinates for itself, but knows of few of the
      // requests that run.
      [this](const ServiceName& aService) {
        return IsReady() && m_membership.HearsHalf(Now()) && m_broker.Coordinates(aService);
      },
      [this](const ServiceName& aService) { return m_broker.UsableEndpoints(aService); },
      [this](const ServiceName& aService, const SoftwareVersion& aTarget) {
        return m_broker.HeldAtOthers(aService, aTarget);
      } });
}

void
Gateway::SetRolloutOrder(const RolloutOrder& aOrder)
{
  if (m_rollouts != nullptr) {
    m_rollouts->SetOrder(aOrder);
  }
}

void
Gateway::RemoveRolloutOrder(const ServiceName& aService)
{
  if (m_rollouts != nullptr) {
    m_rollouts->RemoveOrder(aService);
  }
}

void
Gateway::SetRolloutStore(RolloutStore* aStore)
{
  if (m_rollouts != nullptr) {
    m_rollouts->SetStore(aStore);
  }
}

void
Gateway::TickRollouts()
{
  if (m_rollouts == nullptr) {
    return;
  }
  m_rollouts->Tick();
  for (const RolloutView& view : m_rollouts->Views()) {
    m_metrics.OnRollout(view);
  }
}

}
