#include <LibPlacement/CrashSuspects.h>

#include "CrashOdds.h"
#include "CrashTiming.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace auburnhitch {

namespace {

// How long after an unproven end the endpoint may turn out to have crashed: other requests break,
// or the next one cannot be sent there.
constexpr Milliseconds kUnprovenEndRetention{ 2'000 };
// Evidence of one complete response, in log odds: an endpoint survives a trait that crashes
// endpoints once in a thousand times.
constexpr double kCompletionEvidence = -7;
// Initial base rate, and the number of requests that it counts for.
constexpr double kInitialBaseRate = 0.01;
constexpr double kInitialWeight = 100;
// Bounds the evidence of one crash, so that a single one does not make a trait suspected under
// which responses are usually complete.
constexpr double kMinBaseRate = 3e-3;
// Half of what is known about the base rate is forgotten after this time.
constexpr double kBaseRateHalfLifeMs = 60'000;
constexpr int kMaxDoublings = 6;

}

CrashSuspects::CrashSuspects(Limits aLimits)
  : m_limits(aLimits)
  , m_prior_log_odds(LogOddsOf(aLimits.m_prior))
  , m_request_prior_log_odds(LogOddsOf(aLimits.m_request_prior))
  , m_refuse_log_odds(LogOddsOf(aLimits.m_refuse_from))
  , m_suspect_log_odds(LogOddsOf(aLimits.m_suspect_from))
  , m_announce_log_odds(LogOddsOf(aLimits.m_announce_from))
{
}

CrashSuspects::Trait&
CrashSuspects::TraitOf(const CrashTrait& aTrait, TimePoint aNow)
{
  const bool is_whole = IsWholeRequest(aTrait);
  const std::size_t known = is_whole ? m_whole_requests : m_traits.size() - m_whole_requests;
  if (known >= m_limits.m_max_traits && !m_traits.contains(aTrait)) {
    DropOldest(is_whole);
  }
  const auto [found, is_new] = m_traits.try_emplace(aTrait, aTrait);
  if (is_new) {
    found->second.m_log_odds = is_whole ? m_request_prior_log_odds : m_prior_log_odds;
    m_whole_requests += is_whole ? 1 : 0;
  }
  found->second.m_used_at = aNow;
  return found->second;
}

void
CrashSuspects::DropOldest(bool aAreWholeRequests)
{
  // A quarter at a time, so that the cost of a new trait stays small on average. Refused traits are
  // dropped last, before them requests under which an endpoint has crashed, and traits of running
  // requests are kept.
  std::vector<std::tuple<bool, bool, TimePoint, CrashTrait>> unused;
  for (const auto& [id, trait] : m_traits) {
    if (trait.m_running == 0 && IsWholeRequest(id) == aAreWholeRequests) {
      unused.emplace_back(trait.m_refused_until.has_value(),
                          aAreWholeRequests && trait.m_crashes > 0,
                          trait.m_used_at,
                          id);
    }
  }
  const auto count = static_cast<std::ptrdiff_t>(
    std::min(unused.size(), std::max<std::size_t>(1, m_limits.m_max_traits / 4)));
  std::partial_sort(unused.begin(), unused.begin() + count, unused.end());
  for (auto entry = unused.begin(); entry != unused.begin() + count; ++entry) {
    m_traits.erase(std::get<CrashTrait>(*entry));
  }
  m_whole_requests -= aAreWholeRequests ? static_cast<std::size_t>(count) : 0;
}

void
CrashSuspects::Decay(TimePoint aNow)
{
  const double passed_ms = std::chrono::duration<double, std::milli>(aNow - m_decayed_at).count();
  const double factor = std::exp2(-passed_ms / kBaseRateHalfLifeMs);
  m_ended *= factor;
  m_unexplained *= factor;
  m_decayed_at = aNow;
}

double
CrashSuspects::BaseRate() const
{
  return std::max(kMinBaseRate,
                  (m_unexplained + kInitialBaseRate * kInitialWeight) / (m_ended + kInitialWeight));
}

void
CrashSuspects::MarkChanged(const CrashTrait& aId, Trait& aTrait)
{
  if (!std::exchange(aTrait.m_is_changed, true)) {
    m_changed.push_back(aId);
  }
}

void
CrashSuspects::SetLogOdds(const CrashTrait& aId, Trait& aTrait, double aLogOdds, TimePoint aNow)
{
  const double before = aTrait.m_log_odds;
  aTrait.m_log_odds = std::clamp(aLogOdds, kMinLogOdds, kMaxLogOdds);
  UpdateRunningSuspects(aId, aTrait);
  if (std::max(before, aTrait.m_log_odds) >= m_announce_log_odds) {
    MarkChanged(aId, aTrait);
  }
  if (aTrait.m_log_odds < m_refuse_log_odds) {
    aTrait.m_refused_until = std::nullopt;
    aTrait.m_failed_trials = 0;
    aTrait.m_early_trials = 0;
    return;
  }
  if (aTrait.m_log_odds < before) {
    return;
  }
  if (aTrait.m_refused_until) {
    aTrait.m_failed_trials = std::min(aTrait.m_failed_trials + 1, kMaxDoublings);
  }
  aTrait.m_refused_until = aNow + m_limits.m_first_refusal * (1 << aTrait.m_failed_trials);
}

void
CrashSuspects::Begin(const SlotRequestId& aRequestId,
                     const EndpointId& aEndpoint,
                     const std::vector<CrashTrait>& aTraits,
                     TimePoint aNow)
{
  if (const auto found = m_requests.find(aRequestId); found != m_requests.end()) {
    RecordNotRunning(found->second);
  }
  m_requests[aRequestId] = RunningRequest{ aEndpoint, aTraits, aNow, std::nullopt, false };
  for (const CrashTrait& id : aTraits) {
    Trait& trait = TraitOf(id, aNow);
    ++trait.m_running;
    if (trait.m_refused_until && aNow < *trait.m_refused_until) {
      ++trait.m_early_trials;
      MarkChanged(id, trait);
    }
    UpdateRunningSuspects(id, trait);
  }
}

void
CrashSuspects::RecordNotRunning(const RunningRequest& aRequest)
{
  for (const CrashTrait& id : aRequest.m_traits) {
    if (const auto trait = m_traits.find(id); trait != m_traits.end()) {
      trait->second.m_running = std::max(0, trait->second.m_running - 1);
      UpdateRunningSuspects(id, trait->second);
    }
  }
}

void
CrashSuspects::MarkEndUnproven(const SlotRequestId& aRequestId)
{
  const auto found = m_requests.find(aRequestId);
  if (found != m_requests.end()) {
    found->second.m_is_end_unproven = true;
  }
}

void
CrashSuspects::RecordStarted(const SlotRequestId& aRequestId, TimePoint aNow)
{
  const auto found = m_requests.find(aRequestId);
  if (found != m_requests.end()) {
    found->second.m_started_at = aNow;
    WithdrawEvidence(aRequestId, aNow);
    WithdrawIfAlive(found->second, Milliseconds(0), aNow);
  }
}

void
CrashSuspects::RecordEnded(const SlotRequestId& aRequestId,
                           SlotOutcome aOutcome,
                           bool aIsExpected,
                           TimePoint aNow)
{
  const auto found = m_requests.find(aRequestId);
  if (found == m_requests.end()) {
    return;
  }
  const RunningRequest request = std::move(found->second);
  DropExpired(aNow);
  switch (aOutcome) {
    case SlotOutcome::Complete:
      Decay(aNow);
      ++m_ended;
      if (request.m_is_end_unproven) {
        m_unproven_ends.push_back({ request, aNow });
        break;
      }
      WithdrawEvidence(aRequestId, aNow);
      WithdrawIfAlive(request, Milliseconds(0), aNow);
      RecordCompleted(request, aNow);
      break;
    case SlotOutcome::Failed:
      // An error says that the endpoint is alive, not that it could run the prompt.
      WithdrawEvidence(aRequestId, aNow);
      WithdrawIfAlive(request, Milliseconds(0), aNow);
      break;
    case SlotOutcome::Broken:
      Decay(aNow);
      ++m_ended;
      if (!aIsExpected) {
        // This request is a candidate as well.
        m_requests[aRequestId] = request;
        RecordCrash(aRequestId, request, aNow);
      }
      break;
    case SlotOutcome::Unreachable:
      if (!aIsExpected && HasUnprovenEndAt(request.m_endpoint)) {
        // This request never ran, so it is no candidate.
        m_requests.erase(aRequestId);
        RecordCrash(aRequestId, request, aNow);
      }
      break;
    case SlotOutcome::Refused:
    case SlotOutcome::Cancelled:
      break;
  }
  m_requests.erase(aRequestId);
  RecordNotRunning(request);
}

void
CrashSuspects::RecordCompleteResponse(const std::vector<CrashTrait>& aTraits, TimePoint aNow)
{
  for (const CrashTrait& id : aTraits) {
    if (!IsWholeRequest(id)) {
      continue;
    }
    Trait& trait = TraitOf(id, aNow);
    // Only its coordinator clears a suspected request.
    if (trait.m_log_odds <= m_request_prior_log_odds) {
      SetLogOdds(id, trait, trait.m_log_odds + kCompletionEvidence, aNow);
    }
  }
}

bool
CrashSuspects::IsProvenHarmless(const CrashTrait& aId, double aLogOdds) const
{
  return IsWholeRequest(aId) && aLogOdds < m_request_prior_log_odds - kAlternativeMargin;
}

void
CrashSuspects::ForgetDaemon(const Incarnation& aDaemon)
{
  for (auto next = m_requests.begin(); next != m_requests.end();) {
    const auto found = next++;
    if (found->first.m_daemon == aDaemon) {
      RecordNotRunning(found->second);
      m_requests.erase(found);
    }
  }
}

void
CrashSuspects::RecordCompleted(const RunningRequest& aRequest, TimePoint aNow)
{
  for (const CrashTrait& id : aRequest.m_traits) {
    Trait& trait = TraitOf(id, aNow);
    trait.m_crashes = 0;
    trait.m_own_crashes = 0;
    trait.m_history.Clear();
    SetLogOdds(id, trait, trait.m_log_odds + kCompletionEvidence, aNow);
  }
}

void
CrashSuspects::DropExpired(TimePoint aNow)
{
  while (!m_crashes.empty() && aNow - m_crashes.front().m_at > kCrashRetention) {
    m_crashes.pop_front();
  }
  while (!m_unproven_ends.empty() && aNow - m_unproven_ends.front().m_at > kUnprovenEndRetention) {
    m_unproven_ends.pop_front();
  }
}

bool
CrashSuspects::HasUnprovenEndAt(const EndpointId& aEndpoint) const
{
  return std::any_of(m_unproven_ends.begin(), m_unproven_ends.end(), [&](const UnprovenEnd& aEnd) {
    return aEnd.m_request.m_endpoint == aEndpoint;
  });
}

bool
CrashSuspects::IsOf(const Crash& aCrash,
                    const SlotRequestId& aRequestId,
                    const RunningRequest& aRequest)
{
  return aCrash.m_endpoint == aRequest.m_endpoint &&
         (aRequest.m_granted_at - aCrash.m_at <= kReportDelay ||
          std::find(aCrash.m_requests.begin(), aCrash.m_requests.end(), aRequestId) !=
            aCrash.m_requests.end());
}

CrashSuspects::Crash*
CrashSuspects::CrashOf(const SlotRequestId& aRequestId, const RunningRequest& aRequest)
{
  const auto found = std::find_if(m_crashes.rbegin(), m_crashes.rend(), [&](const Crash& aCrash) {
    return IsOf(aCrash, aRequestId, aRequest);
  });
  return found == m_crashes.rend() ? nullptr : &*found;
}

bool
CrashSuspects::IsWeighed(const CrashTrait& aId,
                         const SlotRequestId& aRequestId,
                         const RunningRequest& aRequest) const
{
  return std::any_of(m_crashes.begin(), m_crashes.end(), [&](const Crash& aCrash) {
    return IsOf(aCrash, aRequestId, aRequest) && aCrash.m_candidates.contains(aId);
  });
}

std::vector<std::pair<const CrashSuspects::RunningRequest*, TimePoint>>
CrashSuspects::RequestsAt(const EndpointId& aEndpoint, TimePoint aNow) const
{
  std::vector<std::pair<const RunningRequest*, TimePoint>> requests;
  const auto add = [&](const RunningRequest& aRequest, TimePoint aEndedAt) {
    if (aRequest.m_endpoint == aEndpoint &&
        (!aRequest.m_started_at || aEndedAt - *aRequest.m_started_at <= kMaxTimeToCrash)) {
      requests.emplace_back(&aRequest, aEndedAt);
    }
  };
  for (const auto& [id, request] : m_requests) {
    add(request, aNow);
  }
  for (const UnprovenEnd& end : m_unproven_ends) {
    add(end.m_request, end.m_at);
  }
  return requests;
}

CrashHistory::Requests
CrashSuspects::PromptsAt(const EndpointId& aEndpoint, TimePoint aNow) const
{
  CrashHistory::Requests prompts;
  for (const auto& [request, ended_at] : RequestsAt(aEndpoint, aNow)) {
    PromptParts parts(request->m_traits.begin(), request->m_traits.end());
    std::erase_if(
      parts, [this](const CrashTrait& aId) { return IsWholeRequest(aId) || IsKnownHarmless(aId); });
    prompts.push_back(std::move(parts));
  }
  return prompts;
}

std::map<CrashTrait, CrashSuspects::Candidate>
CrashSuspects::CandidatesAt(const EndpointId& aEndpoint, TimePoint aNow)
{
  std::map<CrashTrait, Candidate> candidates;
  for (const auto& [request, ended_at] : RequestsAt(aEndpoint, aNow)) {
    for (const CrashTrait& id : request->m_traits) {
      // A stream that breaks off is sent again with the same content, whatever the reason.
      if (IsWholeRequest(id) && request->m_started_at) {
        continue;
      }
      const Trait& trait = TraitOf(id, aNow);
      Candidate& candidate = candidates[id];
      candidate.m_log_odds = trait.m_log_odds;
      candidate.m_is_independent = candidate.m_is_independent || !trait.m_last_evidence_at ||
                                   request->m_granted_at >= *trait.m_last_evidence_at;
    }
  }
  return candidates;
}

void
CrashSuspects::RecordCrash(const SlotRequestId& aRequestId,
                           const RunningRequest& aRequest,
                           TimePoint aNow)
{
  // A request that was granted just after a crash may have been sent on a kept connection whose end
  // its daemon had not read.
  WithdrawIfAlive(aRequest, kReportDelay, aNow);
  std::map<CrashTrait, Candidate> candidates = CandidatesAt(aRequest.m_endpoint, aNow);
  if (Crash* known = CrashOf(aRequestId, aRequest)) {
    std::erase(known->m_requests, aRequestId);
    if (aRequest.m_granted_at <= known->m_at) {
      return;
    }
    // The endpoint may have crashed only now, if just a connection broke before.
    std::erase_if(candidates, [&](const auto& aEntry) {
      return IsWeighed(aEntry.first, aRequestId, aRequest);
    });
    if (candidates.empty()) {
      return;
    }
  }
  Crash crash;
  crash.m_endpoint = aRequest.m_endpoint;
  crash.m_at = aNow;
  crash.m_prompts = PromptsAt(aRequest.m_endpoint, aNow);
  for (const auto& [id, request] : m_requests) {
    if (request.m_endpoint == aRequest.m_endpoint && id != aRequestId) {
      crash.m_requests.push_back(id);
    }
  }
  std::erase_if(m_unproven_ends, [&](const UnprovenEnd& aEnd) {
    return aEnd.m_request.m_endpoint == aRequest.m_endpoint;
  });
  const double base_rate = BaseRate();
  // The probability that no trait with log odds above a bound crashed the endpoint, nor anything
  // else.
  const auto no_cause_above = [&](double aBound) {
    double no_cause = 1 - base_rate;
    for (const auto& [id, candidate] : candidates) {
      no_cause *= candidate.m_log_odds > aBound ? 1 - ProbabilityOf(candidate.m_log_odds) : 1;
    }
    return no_cause;
  };
  for (const auto& [id, candidate] : candidates) {
    AddEvidence(
      crash, id, candidate, no_cause_above(candidate.m_log_odds + kAlternativeMargin), aNow);
  }
  crash.m_unexplained = no_cause_above(kMinLogOdds) / (1 - base_rate);
  m_unexplained += crash.m_unexplained;
  m_crashes.push_back(std::move(crash));
  WithdrawIfMany(aNow);
}

void
CrashSuspects::AddEvidence(Crash& aCrash,
                           const CrashTrait& aId,
                           const Candidate& aCandidate,
                           double aNoOtherCause,
                           TimePoint aNow)
{
  Trait& trait = TraitOf(aId, aNow);
  const bool is_whole = IsWholeRequest(aId);
  aCrash.m_candidates.insert(aId);
  trait.m_crashes += aCandidate.m_is_independent || is_whole ? 1 : 0;
  if (!aCandidate.m_is_independent) {
    return;
  }
  double log_odds = aCandidate.m_log_odds - std::log(1 - aNoOtherCause);
  const bool is_best_explanation = aNoOtherCause >= 1 - BaseRate();
  if (is_whole && !IsProvenHarmless(aId, aCandidate.m_log_odds) && is_best_explanation &&
      ++trait.m_own_crashes >= m_limits.m_request_crashes_until_refusal) {
    log_odds = std::max(log_odds, m_refuse_log_odds);
  }
  trait.m_last_evidence_at = aNow;
  if (!is_whole) {
    trait.m_history.Record(aCrash.m_prompts, aCrash.m_at);
  }
  SetLogOdds(aId, trait, log_odds, aNow);
  aCrash.m_evidence.emplace_back(aId, trait.m_log_odds - aCandidate.m_log_odds);
}

}
