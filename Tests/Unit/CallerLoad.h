#pragma once

#include "EventQueue.h"

#include <LibPlacement/SlotScheduler.h>
#include <map>
#include <random>
#include <vector>

namespace auburnhitch::tests {

/// Callers of a plain service, each of which sends its next request, or the refused one again.
/// Times are in milliseconds.
struct CallerLoad
{
  int m_endpoints = 4;
  int m_slots = 2;
  /// The service times; each request has one of them at random.
  std::vector<double> m_work_ms{ 50, 400, 1'500, 3'400 };
  double m_objective_ms = 500;
  double m_max_wait_ms = 20'000;
  int m_callers = 110;
  /// Callers that remain when the overload ends.
  int m_callers_afterwards = 110;
  /// The longest pause before the next request.
  double m_max_pause_ms = 300;
  /// Whether a refused request is repeated by its Retry-After, up to a third of the time for which
  /// its caller waits, instead of after a pause.
  bool m_follows_retry_after = false;
  /// The factor by which the service times that the scheduler first learns differ from those of
  /// the load. The learned factor relative to the reference endpoint is within 1/20 to 20.
  double m_learned_factor = 1;
  double m_overload_until_ms = 30'000;
  double m_until_ms = 40'000;

  double MeanWorkMs() const;
  /// Requests that all slots can serve in a time.
  double CapacityIn(double aMs) const { return m_endpoints * m_slots * aMs / MeanWorkMs(); }
};

/// Simulates the callers and endpoints of a CallerLoad around a scheduler.
class CallerLoadSimulation
{
public:
  CallerLoadSimulation(CallerLoad aLoad, unsigned aSeed);

  void Run();

  /// Responses that ended within a period.
  int ServedBetween(double aFromMs, double aUntilMs) const;
  /// Refusals for load while a slot was free at an endpoint that was not suspect.
  int RefusedBesideFreeSlot() const { return m_refused_beside_free_slot; }
  int Refused() const { return m_refused; }

private:
  struct Caller
  {
    double m_first_sent_at_ms = 0;
    double m_work_ms = 0;
  };

  void Learn();
  void SendNext(int aCaller);
  void Send(int aCaller);
  void OnRefused(const SlotRefusal& aRefusal);
  void Serve(const SlotGrant& aGrant);
  void Decide();
  bool HasFreeSlot() const;
  double Pause();

  CallerLoad m_load;
  std::mt19937 m_random;
  SlotScheduler m_scheduler;
  EventQueue m_events;
  std::uint64_t m_last_number = 0;
  std::vector<Caller> m_callers;
  std::map<std::uint64_t, int> m_caller_of;
  std::map<EndpointId, int> m_busy;
  std::vector<double> m_served_at_ms;
  int m_refused_beside_free_slot = 0;
  int m_refused = 0;
};

}
