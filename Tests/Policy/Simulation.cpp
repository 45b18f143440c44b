#include "Simulation.h"

#include <algorithm>
#include <map>
#include <queue>

namespace auburnhitch::policy {

namespace {

/// One-way delay of the network.
constexpr double kNetworkMs = 1;
constexpr double kTickMs = 20;
constexpr double kHeartbeatIntervalMs = 500;
/// Time until a failed engine disappears from the host list.
constexpr double kHostListLagMs = 2'000;
/// Batch size for which the capacity is computed.
constexpr double kTypicalBatch = 8;

EngineRates
RatesOf(std::size_t aEngine)
{
  // The engines are of three hardware generations with different speeds.
  constexpr std::array kFactors{ 1.0, 1.6, 2.5 };
  const double factor = kFactors[aEngine % kFactors.size()];
  EngineRates rates;
  rates.m_prefill_tokens_per_ms /= factor;
  rates.m_decode_ms *= factor;
  return rates;
}

/// One run: engines, daemons and callers, driven by a queue of timed actions.
class Simulation
{
public:
  Simulation(const Scenario& aScenario, const PolicyFactory& aPolicy)
    : m_scenario(aScenario)
    , m_random(aScenario.m_seed)
  {
    for (std::size_t index = 0; index < aScenario.m_traffic.m_engines; ++index) {
      m_engines.emplace_back(RatesOf(index));
    }
    m_is_stepping.assign(m_engines.size(), false);
    m_view.m_reported_load.assign(m_engines.size(), 0);
    m_view.m_is_listed.assign(m_engines.size(), true);
    for (std::size_t daemon = 0; daemon < aScenario.m_daemons; ++daemon) {
      m_daemons.push_back(aPolicy(daemon));
    }
    m_reported_waiting_tiers.assign(aScenario.m_daemons, std::nullopt);
  }

  Measures Run()
  {
    ScheduleArrivals();
    ScheduleFaults();
    Tick();
    SendHeartbeats();
    // Longer than the longest deadline (90 s), so that every request can still end.
    const double rest_ms = 95'000;
    while (!m_actions.empty() && m_actions.top().m_at < m_scenario.m_length_ms + rest_ms) {
      const auto action = m_actions.top();
      m_actions.pop();
      m_view.m_now = action.m_at;
      action.m_run();
    }
    for (const EngineModel& engine : m_engines) {
      m_measures.m_prefilled += engine.PrefilledTokens();
      m_measures.m_wasted += engine.WastedTokens();
    }
    m_measures.m_unfinished = static_cast<double>(m_pending.size());
    return m_measures;
  }

private:
  struct Action
  {
    SimTime m_at;
    std::uint64_t m_order;
    std::function<void()> m_run;
    bool operator>(const Action& aOther) const
    {
      return std::tie(m_at, m_order) > std::tie(aOther.m_at, aOther.m_order);
    }
  };

  /// A request that has neither ended nor been refused.
  struct PendingRequest
  {
    SimRequest m_request;
    std::size_t m_daemon = 0;
    SimTime m_submitted_at = 0;
    std::optional<std::size_t> m_engine;
    SimTime m_sent_at = 0;
  };

  void At(SimTime aTime, std::function<void()> aRun)
  {
    m_actions.push(Action{ aTime, m_order++, std::move(aRun) });
  }

  void ScheduleArrivals()
  {
    std::mt19937_64 draw(m_scenario.m_seed * 7'919);
    auto requests = DrawRequests(m_scenario.m_traffic,
                                 CapacityOf(m_scenario) * m_scenario.m_load,
                                 m_scenario.m_length_ms,
                                 m_scenario.m_largest_workspace,
                                 draw);
    if (m_scenario.m_burst > 0) {
      AddBurst(requests, draw);
    }
    for (SimRequest& request : requests) {
      request.m_retries_left = m_scenario.m_max_retries;
      ++m_measures.m_offered[request.m_tier];
      ++m_measures.m_offered_by_workspace[WorkspaceOf(request)];
      if (request.m_tier == 0 && IsLatePhase(request)) {
        ++m_measures.m_late_phase_offered;
      }
      At(request.m_arrival, [this, request] { Submit(request); });
    }
    m_next_id = static_cast<std::int64_t>(requests.size());
  }

  void AddBurst(std::vector<SimRequest>& aRequests, std::mt19937_64& aDraw) const
  {
    const auto top = std::find_if(
      aRequests.begin(), aRequests.end(), [](const SimRequest& aOne) { return aOne.m_tier == 0; });
    const SimRequest pattern = *top;
    std::uniform_real_distribution<double> within(0, 1'000);
    for (std::size_t index = 0; index < m_scenario.m_burst; ++index) {
      SimRequest request = pattern;
      request.m_id = static_cast<std::int64_t>(aRequests.size());
      request.m_arrival = m_scenario.m_length_ms / 3 + within(aDraw);
      aRequests.push_back(request);
    }
  }

  void ScheduleFaults()
  {
    const SimTime when = m_scenario.m_length_ms / 3;
    At(when, [this] {
      for (std::size_t index = 0; index < m_scenario.m_slowed_engines; ++index) {
        m_engines[index].SetSlowdown(m_scenario.m_slowdown);
      }
      for (std::size_t index = 0; index < m_scenario.m_failed_engines; ++index) {
        FailEngine(index);
      }
    });
    At(when + kHostListLagMs, [this] {
      for (std::size_t index = 0; index < m_scenario.m_failed_engines; ++index) {
        m_view.m_is_listed[index] = false;
      }
    });
  }

  void FailEngine(std::size_t aEngine)
  {
    m_engines[aEngine].Fail();
    std::vector<std::int64_t> lost;
    for (const auto& [id, pending] : m_pending) {
      if (pending.m_engine == aEngine) {
        lost.push_back(id);
      }
    }
    for (const std::int64_t id : lost) {
      End(id, false, 0);
    }
  }

  std::size_t WorkspaceOf(const SimRequest& aRequest) const
  {
    return static_cast<std::size_t>(aRequest.m_workspace[1] - '0');
  }

  bool IsLatePhase(const SimRequest& aRequest) const
  {
    return aRequest.m_arrival > m_scenario.m_length_ms / 3 + 5'000;
  }

  View ViewOf(std::size_t aDaemon) const
  {
    View view = m_view;
    if (m_scenario.m_peers_connected) {
      for (std::size_t peer = 0; peer < m_reported_waiting_tiers.size(); ++peer) {
        const auto& reported = m_reported_waiting_tiers[peer];
        if (peer != aDaemon && reported &&
            (!view.m_tier_waiting_at_peers || *reported < *view.m_tier_waiting_at_peers)) {
          view.m_tier_waiting_at_peers = reported;
        }
      }
    }
    return view;
  }

  void Submit(const SimRequest& aRequest)
  {
    const std::size_t daemon =
      std::uniform_int_distribution<std::size_t>(0, m_daemons.size() - 1)(m_random);
    PendingRequest pending;
    pending.m_request = aRequest;
    pending.m_daemon = daemon;
    pending.m_submitted_at = m_view.m_now;
    m_pending[aRequest.m_id] = pending;
    m_daemons[daemon]->Arrive(aRequest, ViewOf(daemon));
    Decide(daemon);
  }

  void Decide(std::size_t aDaemon)
  {
    std::vector<Assignment> assignments;
    std::vector<Refusal> refusals;
    m_daemons[aDaemon]->Decide(ViewOf(aDaemon), assignments, refusals);
    for (const Refusal& refusal : refusals) {
      Refuse(refusal);
    }
    for (const Assignment& assignment : assignments) {
      SendToEngine(assignment);
    }
  }

  void SendToEngine(const Assignment& aAssignment)
  {
    auto found = m_pending.find(aAssignment.m_request);
    PendingRequest& pending = found->second;
    pending.m_engine = aAssignment.m_engine;
    pending.m_sent_at = m_view.m_now;
    if (m_engines[aAssignment.m_engine].IsFailed()) {
      At(m_view.m_now + kNetworkMs, [this, id = aAssignment.m_request] { End(id, false, 0); });
      return;
    }
    At(m_view.m_now + kNetworkMs,
       [this, request = pending.m_request, engine = aAssignment.m_engine] {
         m_engines[engine].Add(request, m_view.m_now);
         m_measures.m_max_engine_load =
           std::max(m_measures.m_max_engine_load, m_engines[engine].Load());
         StepEngine(engine);
       });
    const SimTime deadline = pending.m_submitted_at + pending.m_request.m_deadline_ms;
    At(deadline, [this, id = aAssignment.m_request, submitted = pending.m_submitted_at] {
      auto late = m_pending.find(id);
      if (late != m_pending.end() && late->second.m_submitted_at == submitted) {
        m_engines[*late->second.m_engine].Cancel(id);
        End(id, false, 0);
      }
    });
  }

  void StepEngine(std::size_t aEngine)
  {
    if (m_is_stepping[aEngine]) {
      return;
    }
    std::vector<EngineEvent> ended;
    const double length = m_engines[aEngine].Step(m_view.m_now, ended);
    if (length == 0) {
      return;
    }
    m_is_stepping[aEngine] = true;
    At(m_view.m_now + length, [this, aEngine, ended] {
      m_is_stepping[aEngine] = false;
      for (const EngineEvent& event : ended) {
        End(event.m_request, true, aEngine);
      }
      StepEngine(aEngine);
    });
  }

  void End(std::int64_t aId, bool aIsWhole, std::size_t)
  {
    auto found = m_pending.find(aId);
    if (found == m_pending.end()) {
      return;
    }
    const PendingRequest pending = found->second;
    m_pending.erase(found);
    m_daemons[pending.m_daemon]->Ended(pending.m_request,
                                       *pending.m_engine,
                                       m_view.m_now - pending.m_sent_at,
                                       aIsWhole,
                                       ViewOf(pending.m_daemon));
    if (aIsWhole && m_view.m_now <= pending.m_submitted_at + pending.m_request.m_deadline_ms) {
      ++m_measures.m_good[pending.m_request.m_tier];
      ++m_measures.m_good_by_workspace[WorkspaceOf(pending.m_request)];
      if (pending.m_request.m_tier == 0 && IsLatePhase(pending.m_request)) {
        ++m_measures.m_late_phase_good;
      }
    }
    Decide(pending.m_daemon);
  }

  void Refuse(const Refusal& aRefusal)
  {
    auto found = m_pending.find(aRefusal.m_request);
    if (found == m_pending.end()) {
      return;
    }
    const PendingRequest pending = found->second;
    m_pending.erase(found);
    if (pending.m_request.m_tier == 0 && m_daemons[pending.m_daemon]->IsSheddableWaiting()) {
      ++m_measures.m_refused_above_waiting;
    }
    if (pending.m_request.m_retries_left == 0) {
      return;
    }
    SimRequest retry = pending.m_request;
    retry.m_id = m_next_id++;
    --retry.m_retries_left;
    // The caller does not retry if its deadline would pass before the retry is sent.
    const double left_ms = pending.m_submitted_at + retry.m_deadline_ms - m_view.m_now;
    const double wait_ms =
      m_scenario.m_retries_immediately ? kNetworkMs : aRefusal.m_retry_after_ms;
    if (left_ms > wait_ms) {
      retry.m_deadline_ms = left_ms - wait_ms;
      At(m_view.m_now + wait_ms, [this, retry] { Submit(retry); });
    }
  }

  void Tick()
  {
    for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
      Decide(daemon);
    }
    At(m_view.m_now + kTickMs, [this] { Tick(); });
  }

  /// Updates what daemons and engines report: the waiting tiers immediately, the engines' loads
  /// after the report lag.
  void SendHeartbeats()
  {
    for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
      m_reported_waiting_tiers[daemon] = m_daemons[daemon]->TierWaiting();
    }
    std::vector<std::size_t> loads;
    for (const EngineModel& engine : m_engines) {
      loads.push_back(engine.Load());
    }
    At(m_view.m_now + m_scenario.m_report_lag_ms,
       [this, loads] { m_view.m_reported_load = loads; });
    At(m_view.m_now + kHeartbeatIntervalMs, [this] { SendHeartbeats(); });
  }

  const Scenario& m_scenario;
  std::mt19937_64 m_random;
  std::vector<EngineModel> m_engines;
  std::vector<bool> m_is_stepping;
  std::vector<std::unique_ptr<Policy>> m_daemons;
  std::vector<std::optional<std::size_t>> m_reported_waiting_tiers;
  std::map<std::int64_t, PendingRequest> m_pending;
  std::priority_queue<Action, std::vector<Action>, std::greater<>> m_actions;
  std::uint64_t m_order = 0;
  std::int64_t m_next_id = 0;
  View m_view;
  Measures m_measures;
};

}

double
CapacityOf(const Scenario& aScenario)
{
  // Computed from the engine time that an average request takes in a batch of typical size.
  double prompt = 0;
  double output = 0;
  std::mt19937_64 draw(1);
  const auto sample = DrawRequests(aScenario.m_traffic, 100, 100'000, 1, draw);
  for (const SimRequest& request : sample) {
    prompt += request.PromptTokens();
    output += request.m_output;
  }
  prompt /= static_cast<double>(sample.size());
  output /= static_cast<double>(sample.size());
  double per_second = 0;
  for (std::size_t index = 0; index < aScenario.m_traffic.m_engines; ++index) {
    const EngineRates rates = RatesOf(index);
    const double prefill = prompt / rates.m_prefill_tokens_per_ms;
    const double decode =
      output * rates.m_decode_ms * (1 + kTypicalBatch / rates.m_batch_slowdown) / kTypicalBatch;
    per_second += 1'000 / (prefill + decode);
  }
  return per_second;
}

Measures
Run(const Scenario& aScenario, const PolicyFactory& aPolicy, std::size_t)
{
  return Simulation(aScenario, aPolicy).Run();
}

}
