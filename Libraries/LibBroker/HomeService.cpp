#include <LibBroker/HomeService.h>

#include <numeric>

namespace auburnhitch {

HomeService::HomeService(PlaceSchedulerLimits aLimits,
                         EndpointSource aEndpoints,
                         DecisionHandler aHandler)
  : m_limits(aLimits)
  , m_endpoints(std::move(aEndpoints))
  , m_handler(std::move(aHandler))
{
}

PlaceScheduler&
HomeService::SchedulerOf(const ServiceName& aService, TimePoint aNow)
{
  const auto [found, is_new] = m_schedulers.try_emplace(aService, m_limits);
  if (is_new) {
    found->second.SetEndpoints(m_endpoints(aService), aNow);
    found->second.SetPart(m_part);
  }
  return found->second;
}

void
HomeService::Decide(const ServiceName& aService, TimePoint aNow)
{
  const auto found = m_schedulers.find(aService);
  if (found == m_schedulers.end()) {
    return;
  }
  const PlaceDecisions decisions = found->second.Decide(aNow);
  if (!decisions.m_grants.empty() || !decisions.m_refusals.empty()) {
    m_handler(aService, decisions);
  }
}

void
HomeService::DecideAll(TimePoint aNow)
{
  for (auto& [service, scheduler] : m_schedulers) {
    Decide(service, aNow);
  }
}

void
HomeService::UpdateEndpoints(TimePoint aNow)
{
  for (auto& [service, scheduler] : m_schedulers) {
    scheduler.SetEndpoints(m_endpoints(service), aNow);
  }
}

void
HomeService::SetPart(double aPart)
{
  m_part = aPart;
  for (auto& [service, scheduler] : m_schedulers) {
    scheduler.SetPart(aPart);
  }
}

void
HomeService::ForgetDaemon(const Incarnation& aDaemon)
{
  for (auto& [service, scheduler] : m_schedulers) {
    scheduler.ForgetDaemon(aDaemon);
  }
}

std::size_t
HomeService::WaitingCount() const
{
  return std::accumulate(
    m_schedulers.begin(), m_schedulers.end(), std::size_t{ 0 }, [](std::size_t aSum, const auto& aEntry) {
      return aSum + aEntry.second.WaitingCount();
    });
}

std::size_t
HomeService::HeldCount() const
{
  return std::accumulate(
    m_schedulers.begin(), m_schedulers.end(), std::size_t{ 0 }, [](std::size_t aSum, const auto& aEntry) {
      return aSum + aEntry.second.HeldCount();
    });
}

}
