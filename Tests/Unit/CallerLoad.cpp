#include "CallerLoad.h"

#include <algorithm>
#include <numeric>

namespace auburnhitch::tests {

namespace {

constexpr TimePoint kStart{};
// The daemon decides on waiting requests at this interval.
constexpr double kTickMs = 20;
constexpr int kLearnedResponses = 12;
constexpr double kLearningMs = 2'000;

TimePoint
At(double aMs)
{
  return kStart +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(aMs));
}

}

double
CallerLoad::MeanWorkMs() const
{
  return std::accumulate(m_work_ms.begin(), m_work_ms.end(), 0.0) /
         static_cast<double>(m_work_ms.size());
}

CallerLoadSimulation::CallerLoadSimulation(CallerLoad aLoad, unsigned aSeed)
  : m_load(std::move(aLoad))
  , m_random(aSeed)
  , m_scheduler(SlotSchedulerLimits())
  , m_callers(static_cast<std::size_t>(m_load.m_callers))
{
  std::vector<SlotEndpointInfo> infos;
  for (int i = 0; i < m_load.m_endpoints; ++i) {
    const EndpointId id("e" + std::to_string(i));
    infos.push_back(SlotEndpointInfo{ id, DataCenterName("dc"), m_load.m_slots, 1 });
    m_busy[id] = 0;
  }
  m_scheduler.SetEndpoints(infos, At(-kLearningMs));
}

void
CallerLoadSimulation::Learn()
{
  const double took = m_load.m_learned_factor * m_load.MeanWorkMs();
  const TimePoint granted_at = At(-took);
  for (const auto& [endpoint, busy] : m_busy) {
    for (int i = 0; i < kLearnedResponses; ++i) {
      const SlotRequestId id{ Incarnation("d"), ++m_last_number };
      m_scheduler.RecordHeld(id, endpoint, {}, {}, granted_at);
      m_scheduler.RecordStarted(id, endpoint, kStart);
      m_scheduler.RecordEnded(id, endpoint, SlotOutcome::Complete, kStart);
    }
  }
}

void
CallerLoadSimulation::Run()
{
  if (m_load.m_learned_factor != 1) {
    Learn();
  }
  for (int caller = 0; caller < m_load.m_callers; ++caller) {
    SendNext(caller);
  }
  for (double at = 0; at < m_load.m_until_ms; at += kTickMs) {
    m_events.Schedule(at, [] {});
  }
  while (m_events.RunNext() && m_events.Now() < m_load.m_until_ms) {
    Decide();
  }
}

double
CallerLoadSimulation::Pause()
{
  return std::uniform_real_distribution<double>(0, m_load.m_max_pause_ms)(m_random);
}

void
CallerLoadSimulation::SendNext(int aCaller)
{
  m_events.Schedule(m_events.Now() + Pause(), [this, aCaller] {
    if (m_events.Now() > m_load.m_overload_until_ms && aCaller >= m_load.m_callers_afterwards) {
      return;
    }
    Caller& caller = m_callers[static_cast<std::size_t>(aCaller)];
    caller.m_first_sent_at_ms = m_events.Now();
    const std::size_t kind = m_random() % m_load.m_work_ms.size();
    caller.m_work_ms = m_load.m_work_ms[kind];
    Send(aCaller);
  });
}

void
CallerLoadSimulation::Send(int aCaller)
{
  const Caller& caller = m_callers[static_cast<std::size_t>(aCaller)];
  SlotRequest request;
  request.m_request_id = SlotRequestId{ Incarnation("d"), ++m_last_number };
  m_caller_of[m_last_number] = aCaller;
  request.m_arrived_at = At(m_events.Now());
  request.m_objective_at = At(m_events.Now() + m_load.m_objective_ms);
  request.m_abandoned_at = At(caller.m_first_sent_at_ms + m_load.m_max_wait_ms);
  request.m_data_center = DataCenterName("dc");
  m_scheduler.RequestSlot(request, At(m_events.Now()));
}

bool
CallerLoadSimulation::HasFreeSlot() const
{
  const auto views = m_scheduler.View(At(m_events.Now()));
  const bool has_unsuspected =
    std::any_of(views.begin(), views.end(), [](const auto& aView) { return !aView.m_is_suspect; });
  return std::any_of(views.begin(), views.end(), [&](const auto& aView) {
    return m_busy.at(aView.m_id) < m_load.m_slots && !(has_unsuspected && aView.m_is_suspect);
  });
}

void
CallerLoadSimulation::OnRefused(const SlotRefusal& aRefusal)
{
  const int index = m_caller_of.at(aRefusal.m_request_id.m_number);
  const Caller& caller = m_callers[static_cast<std::size_t>(index)];
  const double left_ms = caller.m_first_sent_at_ms + m_load.m_max_wait_ms - m_events.Now();
  ++m_refused;
  if (left_ms <= 0) {
    SendNext(index);
    return;
  }
  m_refused_beside_free_slot += HasFreeSlot() ? 1 : 0;
  const auto retry_after = static_cast<double>(aRefusal.m_retry_after.count());
  const double pause = m_load.m_follows_retry_after ? std::min(retry_after, left_ms / 3) : Pause();
  m_events.Schedule(m_events.Now() + pause, [this, index] {
    if (m_events.Now() <= m_load.m_overload_until_ms || index < m_load.m_callers_afterwards) {
      Send(index);
    }
  });
}

void
CallerLoadSimulation::Serve(const SlotGrant& aGrant)
{
  const int index = m_caller_of.at(aGrant.m_request_id.m_number);
  const double took = m_callers[static_cast<std::size_t>(index)].m_work_ms;
  m_events.Schedule(m_events.Now() + took, [this, aGrant, index] {
    m_served_at_ms.push_back(m_events.Now());
    --m_busy[aGrant.m_endpoint];
    m_scheduler.RecordStarted(aGrant.m_request_id, aGrant.m_endpoint, At(m_events.Now()));
    m_scheduler.RecordEnded(
      aGrant.m_request_id, aGrant.m_endpoint, SlotOutcome::Complete, At(m_events.Now()));
    SendNext(index);
  });
}

void
CallerLoadSimulation::Decide()
{
  const SlotDecisions decisions = m_scheduler.Decide(At(m_events.Now()));
  for (const SlotGrant& grant : decisions.m_grants) {
    ++m_busy[grant.m_endpoint];
    Serve(grant);
  }
  for (const SlotRefusal& refusal : decisions.m_refusals) {
    OnRefused(refusal);
  }
}

int
CallerLoadSimulation::ServedBetween(double aFromMs, double aUntilMs) const
{
  return static_cast<int>(
    std::count_if(m_served_at_ms.begin(), m_served_at_ms.end(), [aFromMs, aUntilMs](double aAtMs) {
      return aAtMs >= aFromMs && aAtMs < aUntilMs;
    }));
}

}
