#include "Policies.h"

#include <algorithm>
#include <deque>
#include <map>

namespace auburnhitch::policy {

namespace {

constexpr std::size_t kTiers = 3;
constexpr double kWorkPerPromptToken = 0.01;
constexpr double kWorkPerOutputToken = 1.0;

TimePoint
ToTimePoint(SimTime aTime)
{
  return TimePoint{} + std::chrono::microseconds(static_cast<std::int64_t>(aTime * 1'000));
}

WorkUnits
WorkOf(const SimRequest& aRequest)
{
  return 1 + kWorkPerPromptToken * aRequest.PromptTokens() +
         kWorkPerOutputToken * aRequest.m_max_output;
}

RequestKey
KeyOf(const SimRequest& aRequest)
{
  return RequestKey{ WorkspaceName(aRequest.m_workspace),
                     RequestIdentity{ Permit{}, std::to_string(aRequest.m_id) } };
}

WaitingRequest
ToWaiting(const SimRequest& aRequest, SimTime aNow)
{
  WaitingRequest waiting;
  waiting.m_key = KeyOf(aRequest);
  waiting.m_tier = aRequest.m_tier;
  waiting.m_is_sheddable = aRequest.m_is_sheddable;
  waiting.m_work = WorkOf(aRequest);
  waiting.m_deadline = ToTimePoint(aNow + aRequest.m_deadline_ms);
  waiting.m_prefix = static_cast<std::uint64_t>(aRequest.m_prefix) + 1;
  return waiting;
}

std::int64_t
IdOf(const WaitingRequest& aWaiting)
{
  return std::stoll(aWaiting.m_key.m_identity.m_suffix);
}

/// What a baseline knows of an engine.
struct EngineKnowledge
{
  std::size_t m_in_flight = 0;
  double m_work = 0;
  double m_slowness = 1;
};

/// Chooses among engines by index.
using Chooser = std::size_t (*)(const std::vector<EngineKnowledge>&,
                                const std::vector<std::size_t>& aAllowed,
                                const View&,
                                std::size_t& aTurn,
                                std::mt19937_64&);

std::size_t
RoundRobin(const std::vector<EngineKnowledge>&,
           const std::vector<std::size_t>& aAllowed,
           const View&,
           std::size_t& aTurn,
           std::mt19937_64&)
{
  return aAllowed[aTurn++ % aAllowed.size()];
}

std::size_t
LeastRequests(const std::vector<EngineKnowledge>& aEngines,
              const std::vector<std::size_t>& aAllowed,
              const View&,
              std::size_t&,
              std::mt19937_64&)
{
  return *std::min_element(
    aAllowed.begin(), aAllowed.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return aEngines[aLeft].m_in_flight < aEngines[aRight].m_in_flight;
    });
}

std::size_t
PowerOfTwo(const std::vector<EngineKnowledge>&,
           const std::vector<std::size_t>& aAllowed,
           const View& aView,
           std::size_t&,
           std::mt19937_64& aRandom)
{
  std::uniform_int_distribution<std::size_t> pick(0, aAllowed.size() - 1);
  const std::size_t first = aAllowed[pick(aRandom)];
  const std::size_t second = aAllowed[pick(aRandom)];
  return aView.m_reported_load[first] <= aView.m_reported_load[second] ? first : second;
}

std::size_t
ShortestWork(const std::vector<EngineKnowledge>& aEngines,
             const std::vector<std::size_t>& aAllowed,
             const View&,
             std::size_t&,
             std::mt19937_64&)
{
  return *std::min_element(
    aAllowed.begin(), aAllowed.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return aEngines[aLeft].m_work * aEngines[aLeft].m_slowness <
             aEngines[aRight].m_work * aEngines[aRight].m_slowness;
    });
}

/// A baseline: a chooser, with requests sent as they come or held in a tiered queue.
class Baseline : public Policy
{
public:
  Baseline(Chooser aChooser,
           bool aIsTiered,
           std::size_t aEngines,
           std::size_t aWindow,
           std::size_t aSeed)
    : m_chooser(aChooser)
    , m_is_tiered(aIsTiered)
    , m_engines(aEngines)
    , m_concurrency_limit(aWindow)
    , m_turn(aSeed)
    , m_random(aSeed)
  {
  }

  void Arrive(const SimRequest& aRequest, const View& aView) override
  {
    WaitingRequest waiting = ToWaiting(aRequest, aView.m_now);
    if (!m_is_tiered) {
      waiting.m_tier = 0;
    }
    m_queue.Push(waiting);
  }

  void Ended(const SimRequest& aRequest,
             std::size_t aEngine,
             double aTook,
             bool aIsWhole,
             const View&) override
  {
    EngineKnowledge& engine = m_engines[aEngine];
    --engine.m_in_flight;
    engine.m_work -= WorkOf(aRequest);
    if (aIsWhole) {
      engine.m_slowness += 0.2 * (aTook / WorkOf(aRequest) - engine.m_slowness);
    }
  }

  void Decide(const View& aView,
              std::vector<Assignment>& aSends,
              std::vector<Refusal>& aRefusals) override
  {
    for (const WaitingRequest& late : m_queue.TakeOverdue(ToTimePoint(aView.m_now))) {
      aRefusals.push_back(Refusal{ IdOf(late), 1'000 });
    }
    while (m_queue.Size() > 0) {
      std::vector<std::size_t> allowed;
      for (std::size_t index = 0; index < m_engines.size(); ++index) {
        const bool has_room = !m_is_tiered || m_engines[index].m_in_flight < m_concurrency_limit;
        if (has_room && aView.m_is_listed[index]) {
          allowed.push_back(index);
        }
      }
      if (allowed.empty()) {
        return;
      }
      const std::size_t chosen = m_chooser(m_engines, allowed, aView, m_turn, m_random);
      const WaitingRequest request = m_queue.Pop();
      ++m_engines[chosen].m_in_flight;
      m_engines[chosen].m_work += request.m_work;
      aSends.push_back(Assignment{ IdOf(request), chosen });
    }
  }

  std::optional<std::size_t> TierWaiting() const override { return std::nullopt; }
  bool IsSheddableWaiting() const override { return false; }

private:
  Chooser m_chooser;
  bool m_is_tiered;
  std::vector<EngineKnowledge> m_engines;
  std::size_t m_concurrency_limit;
  std::size_t m_turn;
  std::mt19937_64 m_random;
  TieredQueue m_queue;
};

/// The scheduler that the daemons run.
class SchedulerPolicy : public Policy
{
public:
  SchedulerPolicy(const SchedulerLimits& aLimits,
                  std::size_t aEngines,
                  std::size_t aDaemons,
                  std::size_t aWindow,
                  std::size_t aOwn)
    : m_scheduler(aLimits)
  {
    std::vector<Endpoint> endpoints;
    for (std::size_t index = 0; index < aEngines; ++index) {
      Endpoint endpoint;
      endpoint.m_host = HostName(std::to_string(index));
      endpoint.m_concurrency_limit = static_cast<std::int64_t>(aWindow * aDaemons);
      endpoints.push_back(endpoint);
    }
    m_scheduler.UpdateEndpoints(endpoints);
    std::vector<HostName> daemons;
    for (std::size_t daemon = 0; daemon < aDaemons; ++daemon) {
      daemons.emplace_back("d-" + std::to_string(daemon));
    }
    m_scheduler.SetDaemons(daemons, daemons[aOwn]);
  }

  void Arrive(const SimRequest& aRequest, const View& aView) override
  {
    RecordRefusals(m_scheduler.Admit(
      ToWaiting(aRequest, aView.m_now), ContextOf(aView), ToTimePoint(aView.m_now)));
  }

  void Ended(const SimRequest& aRequest,
             std::size_t aEngine,
             double aTook,
             bool aIsWhole,
             const View&) override
  {
    std::optional<Duration> took;
    if (aIsWhole) {
      took = std::chrono::microseconds(static_cast<std::int64_t>(aTook * 1'000));
    }
    m_scheduler.RecordEnded(HostName(std::to_string(aEngine)), KeyOf(aRequest), took);
  }

  void Decide(const View& aView,
              std::vector<Assignment>& aSends,
              std::vector<Refusal>& aRefusals) override
  {
    const SchedulerContext surroundings = ContextOf(aView);
    const TimePoint now = ToTimePoint(aView.m_now);
    RecordRefusals(m_scheduler.TakeOverdue(surroundings, now));
    while (const auto start = m_scheduler.Next(surroundings, now)) {
      aSends.push_back(Assignment{ IdOf(start->m_request),
                                   std::stoul(start->m_choice.m_endpoint.m_host.Value()) });
    }
    aRefusals.insert(aRefusals.end(), m_refusals.begin(), m_refusals.end());
    m_refusals.clear();
  }

  std::optional<std::size_t> TierWaiting() const override
  {
    const auto counts = m_scheduler.WaitingByTier(kTiers);
    for (std::size_t tier = 0; tier < kTiers; ++tier) {
      if (counts[tier] > 0) {
        return tier;
      }
    }
    return std::nullopt;
  }

  bool IsSheddableWaiting() const override { return m_scheduler.WaitingByTier(kTiers).back() > 0; }

private:
  static SchedulerContext ContextOf(const View& aView)
  {
    SchedulerContext surroundings;
    surroundings.m_may_use = [listed = aView.m_is_listed](const Endpoint& aEndpoint) {
      return listed[std::stoul(aEndpoint.m_host.Value())];
    };
    surroundings.m_tier_waiting_at_peers = aView.m_tier_waiting_at_peers;
    return surroundings;
  }

  void RecordRefusals(const std::vector<RejectedRequest>& aGivenUp)
  {
    for (const RejectedRequest& give_up : aGivenUp) {
      m_refusals.push_back(
        Refusal{ IdOf(give_up.m_request), static_cast<double>(give_up.m_retry_after.count()) });
    }
  }

  ServiceScheduler m_scheduler;
  std::vector<Refusal> m_refusals;
};

}

std::vector<NamedPolicy>
AllPolicies(std::size_t aEngines, std::size_t aDaemons, std::size_t aWindow)
{
  std::vector<NamedPolicy> policies;
  const std::pair<const char*, Chooser> choosers[] = { { "round robin", RoundRobin },
                                                       { "least requests", LeastRequests },
                                                       { "power of two", PowerOfTwo },
                                                       { "shortest work", ShortestWork } };
  for (const bool is_tiered : { false, true }) {
    for (const auto& [name, chooser] : choosers) {
      policies.push_back(NamedPolicy{
        std::string(name) + (is_tiered ? ", tiered" : ", fifo"),
        [chooser = chooser, is_tiered, aEngines, aWindow](std::size_t aDaemon) {
          return std::make_unique<Baseline>(chooser, is_tiered, aEngines, aWindow, aDaemon + 1);
        } });
    }
  }
  for (const BalancePolicy version : kBalancePolicies) {
    SchedulerLimits limits;
    limits.m_balance = version;
    policies.push_back(NamedPolicy{ std::string("own, ") + NameOf(version),
                                    [limits, aEngines, aDaemons, aWindow](std::size_t aDaemon) {
                                      return std::make_unique<SchedulerPolicy>(
                                        limits, aEngines, aDaemons, aWindow, aDaemon);
                                    } });
  }
  return policies;
}

}
