#include "BatchEngineLoad.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace auburnhitch::tests {

namespace {

struct Kind
{
  double m_prompt_tokens;
  double m_output_tokens;
  double m_objective_ms;
  double m_gap_limit_ms;
};

constexpr std::array<Kind, 3> kKinds{ Kind{ 1'110, 50, 500, 500 },
                                      Kind{ 2'400, 110, 700, 550 },
                                      Kind{ 3'720, 180, 1'000, 600 } };
constexpr double kChunkTokens = 4'096;
constexpr double kPromptTokensPerMs = 48;
// A step of a batch of 4 takes 3.7 ms.
constexpr double kStepMs = 2.7;
constexpr double kStepMsPerRequest = 0.25;
constexpr double kSlowFactor = 2.5;
constexpr double kSlowMs = 600;
constexpr double kSlowShare = 0.15;
constexpr double kSampleMs = 100;
constexpr double kWindowMs = 5'000;

TimePoint
At(double aMs)
{
  return TimePoint{} +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(aMs));
}

}

BatchEngineLoad::BatchEngineLoad(const BatchLoad& aLoad, const MakeCandidate& aMake, unsigned aSeed)
  : m_load(aLoad)
  , m_random(aSeed)
{
  for (std::size_t i = 0; i < aLoad.m_slowness.size(); ++i) {
    const EndpointId id("e" + std::to_string(i));
    m_endpoints.emplace(
      id, SlotEndpoint({ id, DataCenterName("dc"), aLoad.m_slots, 1 }, At(0), aLoad.m_is_wired));
    Engine& engine = m_engines[id];
    engine.m_id = id;
    engine.m_slowness = aLoad.m_slowness[i];
    engine.m_limit = aMake(aLoad.m_slots);
    ScheduleSlowPeriods(engine);
  }
  SetKnees(0);
}

BatchOutcome
BatchEngineLoad::Run()
{
  const double half_ms = m_load.m_duration_ms / 2;
  m_events.ScheduleEach(
    m_random, 0, m_load.m_duration_ms, m_load.m_per_second, [this] { Arrive(); });
  m_events.Schedule(half_ms, [this] { SetKnees(1); });
  for (double at = kSampleMs; at < m_load.m_duration_ms; at += kSampleMs) {
    m_events.Schedule(at, [this] { ObserveLimits(); });
  }
  while (m_events.RunNext()) {
    GrantSlots();
  }
  const auto mean = [&](double aFrom, double aUntil) {
    double sum = 0;
    int count = 0;
    for (const auto& [at, distance] : m_distances) {
      if (at >= aFrom && at < aUntil) {
        sum += distance;
        ++count;
      }
    }
    return count > 0 ? sum / count : 0;
  };
  m_outcome.m_distance = mean(m_load.m_duration_ms - kWindowMs, m_load.m_duration_ms);
  const double target = (mean(half_ms, half_ms + 2 * kSampleMs) + m_outcome.m_distance) / 2;
  while (m_outcome.m_follow_ms < half_ms &&
         mean(half_ms + m_outcome.m_follow_ms, half_ms + m_outcome.m_follow_ms + 1'000) > target) {
    m_outcome.m_follow_ms += kSampleMs;
  }
  m_outcome.m_reversals /= static_cast<double>(m_engines.size()) * m_load.m_duration_ms / 1'000;
  return m_outcome;
}

void
BatchEngineLoad::Arrive()
{
  std::uniform_int_distribution<std::size_t> kinds(0, kKinds.size() - 1);
  const Kind& kind = kKinds.at(kinds(m_random));
  Request request;
  request.m_slot.m_request_id = { Incarnation("d"),
                                  static_cast<std::uint64_t>(++m_outcome.m_arrived) };
  request.m_slot.m_work = { std::round(LogNormal(kind.m_prompt_tokens, 1.0)),
                            std::ceil(LogNormal(kind.m_output_tokens, 0.8)) };
  request.m_slot.m_objective_at = At(m_events.Now() + kind.m_objective_ms);
  request.m_slot.m_data_center = DataCenterName("dc");
  request.m_gap_limit_ms = kind.m_gap_limit_ms;
  request.m_prompt_left = request.m_slot.m_work.m_prompt_tokens;
  request.m_output_left = static_cast<int>(request.m_slot.m_work.m_output_tokens);
  m_waiting.emplace(request.m_slot.m_objective_at, request);
}

void
BatchEngineLoad::GrantSlots()
{
  static const CrashSuspects kSuspects;
  static const SlotEndpoint::Daemons kDoubted;
  const TimePoint now = At(m_events.Now());
  // Serving requests that are late everywhere would make those behind them late too.
  std::erase_if(m_waiting, [&](const auto& aEntry) {
    return std::none_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& aEndpoint) {
      const double first_ms =
        aEndpoint.second.ExpectedFirstByteAloneMs(aEntry.second.m_slot.m_work);
      return At(m_events.Now() + first_ms) <= aEntry.first;
    });
  });
  const EndpointChooser chooser({ kSuspects, kDoubted, 1.0, true });
  while (!m_waiting.empty()) {
    const Request request = m_waiting.begin()->second;
    SlotEndpoint* chosen = chooser.Choose(
      m_endpoints,
      request.m_slot,
      [this](const SlotEndpoint& aEndpoint) {
        return aEndpoint.HeldCount() <
               static_cast<std::size_t>(LimitOf(m_engines.at(aEndpoint.Info().m_id)));
      },
      now);
    if (chosen == nullptr && !m_load.m_is_strict) {
      chosen = chooser.Choose(
        m_endpoints, request.m_slot, [](const SlotEndpoint&) { return true; }, now);
    }
    if (chosen == nullptr) {
      return;
    }
    m_waiting.erase(m_waiting.begin());
    Engine& engine = m_engines.at(chosen->Info().m_id);
    engine.m_busy += static_cast<double>(engine.m_running.size()) *
                     (m_events.Now() - std::exchange(engine.m_busy_until, m_events.Now()));
    Request granted = request;
    granted.m_granted_at = m_events.Now();
    granted.m_busy_at_grant = engine.m_busy;
    granted.m_reference_ms =
      chosen->ExpectedFirstByteMs(request.m_slot.m_work) / chosen->Times().FirstByteSlowness() +
      ServiceTimeModel::ReferenceRestMs(request.m_slot.m_work);
    chosen->Hold(request.m_slot.m_request_id, request.m_slot.m_work, now);
    engine.m_running.push_back(granted);
    if (!engine.m_is_stepping) {
      Step(engine);
    }
  }
}

void
BatchEngineLoad::Step(Engine& aEngine)
{
  aEngine.m_is_stepping = !aEngine.m_running.empty();
  if (!aEngine.m_is_stepping) {
    return;
  }
  const auto reading = std::find_if(aEngine.m_running.begin(),
                                    aEngine.m_running.end(),
                                    [](const Request& aOne) { return aOne.m_prompt_left > 0; });
  const double read =
    reading == aEngine.m_running.end() ? 0 : std::min(kChunkTokens, reading->m_prompt_left);
  const double over = static_cast<double>(aEngine.m_running.size()) / aEngine.m_knee;
  // Beyond its knee an endpoint serves less with each further request.
  const double knee_factor = over > 1 ? std::pow(over, m_load.m_knee_steepness) : 1;
  const double took = aEngine.m_slowness * knee_factor * (aEngine.m_is_slow_now ? kSlowFactor : 1) *
                      (kStepMs + kStepMsPerRequest * static_cast<double>(aEngine.m_running.size()) +
                       read / kPromptTokensPerMs);
  const auto index = static_cast<std::size_t>(reading - aEngine.m_running.begin());
  m_events.Schedule(m_events.Now() + took,
                    [this, &aEngine, index, read] { FinishStep(aEngine, index, read); });
}

void
BatchEngineLoad::FinishStep(Engine& aEngine, std::size_t aReading, double aRead)
{
  const double now = m_events.Now();
  SlotEndpoint& endpoint = m_endpoints.at(aEngine.m_id);
  aEngine.m_busy += static_cast<double>(aEngine.m_running.size()) *
                    (now - std::exchange(aEngine.m_busy_until, now));
  for (std::size_t i = 0; i < aEngine.m_running.size(); ++i) {
    Request& request = aEngine.m_running[i];
    if (i == aReading) {
      request.m_prompt_left -= aRead;
      if (request.m_prompt_left <= 0) {
        request.m_is_late = At(now) > request.m_slot.m_objective_at;
        request.m_last_token_at = now;
        endpoint.RecordStarted(request.m_slot.m_request_id, At(now));
      }
    } else if (request.m_prompt_left <= 0) {
      request.m_is_late =
        request.m_is_late || now - request.m_last_token_at > request.m_gap_limit_ms;
      request.m_last_token_at = now;
      --request.m_output_left;
    }
  }
  std::erase_if(aEngine.m_running, [&](const Request& aRequest) {
    if (aRequest.m_prompt_left > 0 || aRequest.m_output_left > 0) {
      return false;
    }
    endpoint.RecordEnded(aRequest.m_slot.m_request_id, SlotOutcome::Complete, {}, At(now));
    m_outcome.m_in_time += aRequest.m_is_late ? 0 : 1;
    const double took = now - aRequest.m_granted_at;
    aEngine.m_limit->Record(
      { now, took / aRequest.m_reference_ms, (aEngine.m_busy - aRequest.m_busy_at_grant) / took });
    return true;
  });
  Step(aEngine);
}

void
BatchEngineLoad::SetKnees(std::size_t aOffset)
{
  constexpr std::size_t kKneeEvery = 3;
  std::size_t index = 0;
  for (auto& [id, engine] : m_engines) {
    const bool is_lower = m_load.m_has_knees && index++ % kKneeEvery == aOffset;
    engine.m_knee = is_lower ? m_load.m_slots / 2 : m_load.m_slots;
  }
}

void
BatchEngineLoad::ScheduleSlowPeriods(Engine& aEngine)
{
  constexpr double kMillisecondsPerSecond = 1'000;
  const double mean_pause_ms = kSlowMs * (1 - kSlowShare) / kSlowShare;
  std::exponential_distribution<double> pauses(1 / mean_pause_ms);
  for (double at = pauses(m_random); at < m_load.m_duration_ms + kMillisecondsPerSecond;
       at += kSlowMs + pauses(m_random)) {
    m_events.Schedule(at, [&aEngine] { aEngine.m_is_slow_now = true; });
    m_events.Schedule(at + kSlowMs, [&aEngine] { aEngine.m_is_slow_now = false; });
  }
}

int
BatchEngineLoad::LimitOf(const Engine& aEngine) const
{
  return m_load.m_is_oracle ? aEngine.m_knee
                            : static_cast<int>(std::lround(aEngine.m_limit->Limit()));
}

void
BatchEngineLoad::ObserveLimits()
{
  double sum = 0;
  for (auto& [id, engine] : m_engines) {
    const int limit = LimitOf(engine);
    sum += std::abs(limit - engine.m_knee);
    const int moved = limit - std::exchange(engine.m_last_limit, limit);
    const int direction = moved > 0 ? 1 : -1;
    if (moved != 0) {
      m_outcome.m_reversals += direction == -engine.m_last_direction ? 1 : 0;
      engine.m_last_direction = direction;
    }
  }
  m_distances.emplace_back(m_events.Now(), sum / static_cast<double>(m_engines.size()));
}

double
BatchEngineLoad::LogNormal(double aMean, double aSigma)
{
  return aMean * std::lognormal_distribution<double>(-aSigma * aSigma / 2, aSigma)(m_random);
}

}
