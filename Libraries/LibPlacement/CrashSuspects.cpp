#include <LibPlacement/CrashSuspects.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace auburnhitch {

namespace {

// A request whose response had begun for longer than this does not crash its endpoint: a crash by a
// prompt comes when the endpoint begins to respond.
constexpr Milliseconds kMaxTimeToCrash{ 250 };
// How long the requests that an endpoint ran when it crashed are remembered.
constexpr Milliseconds kCrashRetention{ 10'000 };
// How long after an unproven end the endpoint may turn out to have crashed: other requests break,
// or the next one cannot be sent there.
constexpr Milliseconds kUnprovenEndRetention{ 2'000 };
// What happened before a crash, at a daemon that has not noticed it yet, may be reported this much
// after it.
constexpr Milliseconds kReportDelay{ 100 };
// Evidence of one complete response, in log odds: an endpoint survives a part that crashes
// endpoints once in a thousand times.
constexpr double kCompletionEvidence = -7;
constexpr double kMinLogOdds = -12;
constexpr double kMaxLogOdds = 7;
// Initial base rate, and the number of requests that it counts for.
constexpr double kInitialBaseRate = 0.01;
constexpr double kInitialWeight = 100;
// Bounds the evidence of one crash, so that a single one does not make a part suspected under which
// responses are usually complete.
constexpr double kMinBaseRate = 3e-3;
// Half of what is known about the base rate is forgotten after this time.
constexpr double kBaseRateHalfLifeMs = 60'000;
constexpr int kMaxDoublings = 6;
// Another part explains a crash in place of this one only if its log odds are higher by this much:
// parts that always occur together cannot be told apart.
constexpr double kAlternativeMargin = 1;

double
LogOddsOf(double aProbability)
{
  constexpr double kMargin = 1e-9;
  const double probability = std::clamp(aProbability, kMargin, 1 - kMargin);
  return std::log(probability / (1 - probability));
}

double
ProbabilityOf(double aLogOdds)
{
  return 1 / (1 + std::exp(-aLogOdds));
}

}

CrashSuspects::CrashSuspects(Limits aLimits)
  : m_limits(aLimits)
  , m_prior_log_odds(LogOddsOf(aLimits.m_prior))
  , m_refuse_log_odds(LogOddsOf(aLimits.m_refuse_from))
  , m_suspect_log_odds(LogOddsOf(aLimits.m_suspect_from))
  , m_announce_log_odds(LogOddsOf(aLimits.m_announce_from))
{
}

CrashSuspects::Part&
CrashSuspects::PartOf(const PromptPart& aPart, TimePoint aNow)
{
  if (m_parts.size() >= m_limits.m_max_parts && !m_parts.contains(aPart)) {
    DropOldest();
  }
  const auto [found, is_new] = m_parts.try_emplace(aPart);
  if (is_new) {
    found->second.m_log_odds = m_prior_log_odds;
  }
  found->second.m_used_at = aNow;
  return found->second;
}

void
CrashSuspects::DropOldest()
{
  // A quarter at a time, so that the cost of a new part stays small on average. Refused parts are
  // dropped last, and parts of running requests are kept.
  std::vector<std::tuple<bool, TimePoint, PromptPart>> unused;
  for (const auto& [id, part] : m_parts) {
    if (part.m_running == 0) {
      unused.emplace_back(part.m_refused_until.has_value(), part.m_used_at, id);
    }
  }
  const auto count = static_cast<std::ptrdiff_t>(
    std::min(unused.size(), std::max<std::size_t>(1, m_limits.m_max_parts / 4)));
  std::partial_sort(unused.begin(), unused.begin() + count, unused.end());
  for (auto entry = unused.begin(); entry != unused.begin() + count; ++entry) {
    m_parts.erase(std::get<PromptPart>(*entry));
  }
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
CrashSuspects::MarkChanged(const PromptPart& aId, Part& aPart)
{
  if (!std::exchange(aPart.m_is_changed, true)) {
    m_changed.push_back(aId);
  }
}

void
CrashSuspects::SetLogOdds(const PromptPart& aId, Part& aPart, double aLogOdds, TimePoint aNow)
{
  const double before = aPart.m_log_odds;
  aPart.m_log_odds = std::clamp(aLogOdds, kMinLogOdds, kMaxLogOdds);
  if (std::max(before, aPart.m_log_odds) >= m_announce_log_odds) {
    MarkChanged(aId, aPart);
  }
  if (aPart.m_log_odds < m_refuse_log_odds) {
    aPart.m_refused_until = std::nullopt;
    aPart.m_failed_trials = 0;
    return;
  }
  if (aPart.m_log_odds < before) {
    return;
  }
  if (aPart.m_refused_until) {
    aPart.m_failed_trials = std::min(aPart.m_failed_trials + 1, kMaxDoublings);
  }
  aPart.m_refused_until = aNow + m_limits.m_first_refusal * (1 << aPart.m_failed_trials);
}

void
CrashSuspects::Begin(const SlotRequestId& aRequestId,
                     const EndpointId& aEndpoint,
                     const std::vector<PromptPart>& aParts,
                     TimePoint aNow)
{
  if (const auto found = m_requests.find(aRequestId); found != m_requests.end()) {
    RecordNotRunning(found->second);
  }
  m_requests[aRequestId] = RunningRequest{ aEndpoint, aParts, aNow, std::nullopt, false };
  for (const PromptPart& id : aParts) {
    ++PartOf(id, aNow).m_running;
  }
}

void
CrashSuspects::RecordNotRunning(const RunningRequest& aRequest)
{
  for (const PromptPart& id : aRequest.m_parts) {
    if (const auto part = m_parts.find(id); part != m_parts.end()) {
      part->second.m_running = std::max(0, part->second.m_running - 1);
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
      RecordCompleted(request, aNow);
      break;
    case SlotOutcome::Failed:
      // An error says that the endpoint is alive, not that it could run the prompt.
      WithdrawEvidence(aRequestId, aNow);
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
  for (const PromptPart& id : aRequest.m_parts) {
    Part& part = PartOf(id, aNow);
    part.m_crashes = 0;
    SetLogOdds(id, part, part.m_log_odds + kCompletionEvidence, aNow);
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

CrashSuspects::Crash*
CrashSuspects::CrashOf(const SlotRequestId& aRequestId, const RunningRequest& aRequest)
{
  const auto found = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const Crash& aCrash) {
    return aCrash.m_endpoint == aRequest.m_endpoint &&
           (aRequest.m_granted_at - aCrash.m_at <= kReportDelay ||
            std::find(aCrash.m_requests.begin(), aCrash.m_requests.end(), aRequestId) !=
              aCrash.m_requests.end());
  });
  return found == m_crashes.end() ? nullptr : &*found;
}

std::map<PromptPart, CrashSuspects::Candidate>
CrashSuspects::CandidatesAt(const EndpointId& aEndpoint, TimePoint aNow)
{
  std::map<PromptPart, Candidate> candidates;
  const auto add = [&](const RunningRequest& aRequest, TimePoint aEndedAt) {
    if (aRequest.m_endpoint != aEndpoint ||
        (aRequest.m_started_at && aEndedAt - *aRequest.m_started_at > kMaxTimeToCrash)) {
      return;
    }
    for (const PromptPart& id : aRequest.m_parts) {
      const Part& part = PartOf(id, aNow);
      Candidate& candidate = candidates[id];
      candidate.m_log_odds = part.m_log_odds;
      candidate.m_is_independent = candidate.m_is_independent || !part.m_last_evidence_at ||
                                   aRequest.m_granted_at >= *part.m_last_evidence_at;
    }
  };
  for (const auto& [id, request] : m_requests) {
    add(request, aNow);
  }
  for (const UnprovenEnd& end : m_unproven_ends) {
    add(end.m_request, end.m_at);
  }
  return candidates;
}

void
CrashSuspects::RecordCrash(const SlotRequestId& aRequestId,
                           const RunningRequest& aRequest,
                           TimePoint aNow)
{
  if (Crash* known = CrashOf(aRequestId, aRequest)) {
    std::erase(known->m_requests, aRequestId);
    return;
  }
  Crash crash;
  crash.m_endpoint = aRequest.m_endpoint;
  crash.m_at = aNow;
  for (const auto& [id, request] : m_requests) {
    if (request.m_endpoint == aRequest.m_endpoint && id != aRequestId) {
      crash.m_requests.push_back(id);
    }
  }
  const std::map<PromptPart, Candidate> candidates = CandidatesAt(aRequest.m_endpoint, aNow);
  std::erase_if(m_unproven_ends, [&](const UnprovenEnd& aEnd) {
    return aEnd.m_request.m_endpoint == aRequest.m_endpoint;
  });
  const double base_rate = BaseRate();
  // The probability that no part with log odds above a bound crashed the endpoint, nor anything
  // else.
  const auto no_cause_above = [&](double aBound) {
    double no_cause = 1 - base_rate;
    for (const auto& [id, candidate] : candidates) {
      no_cause *= candidate.m_log_odds > aBound ? 1 - ProbabilityOf(candidate.m_log_odds) : 1;
    }
    return no_cause;
  };
  for (const auto& [id, candidate] : candidates) {
    if (!candidate.m_is_independent) {
      continue;
    }
    Part& part = PartOf(id, aNow);
    const double evidence =
      -std::log(1 - no_cause_above(candidate.m_log_odds + kAlternativeMargin));
    ++part.m_crashes;
    part.m_last_evidence_at = aNow;
    SetLogOdds(id, part, candidate.m_log_odds + evidence, aNow);
    crash.m_evidence.emplace_back(id, part.m_log_odds - candidate.m_log_odds);
  }
  crash.m_unexplained = no_cause_above(kMinLogOdds) / (1 - base_rate);
  m_unexplained += crash.m_unexplained;
  m_crashes.push_back(std::move(crash));
}

void
CrashSuspects::WithdrawEvidence(const SlotRequestId& aRequestId, TimePoint aNow)
{
  const auto found = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const Crash& aCrash) {
    return aNow - aCrash.m_at > kReportDelay && aNow - aCrash.m_at <= kCrashRetention &&
           std::find(aCrash.m_requests.begin(), aCrash.m_requests.end(), aRequestId) !=
             aCrash.m_requests.end();
  });
  if (found == m_crashes.end()) {
    return;
  }
  for (const auto& [id, evidence] : found->m_evidence) {
    if (const auto part = m_parts.find(id); part != m_parts.end()) {
      part->second.m_crashes = std::max(0, part->second.m_crashes - 1);
      SetLogOdds(id, part->second, part->second.m_log_odds - evidence, aNow);
    }
  }
  m_unexplained = std::max(0.0, m_unexplained - found->m_unexplained);
  m_crashes.erase(found);
}

CrashSuspects::Admission
CrashSuspects::AdmissionOf(const std::vector<PromptPart>& aParts, TimePoint aNow) const
{
  Admission admission = Admission::Admit;
  for (const PromptPart& id : aParts) {
    const auto found = m_parts.find(id);
    if (found == m_parts.end()) {
      continue;
    }
    const Part& part = found->second;
    if (part.m_refused_until && (aNow < *part.m_refused_until || part.m_running > 0 ||
                                 part.m_crashes >= m_limits.m_max_crashes)) {
      return Admission::Refuse;
    }
    if (part.m_running > 0 && part.m_log_odds >= m_suspect_log_odds) {
      admission = Admission::Wait;
    }
  }
  return admission;
}

void
CrashSuspects::OnNewVersion(TimePoint aNow)
{
  for (auto& [id, part] : m_parts) {
    if (part.m_refused_until) {
      part.m_refused_until = aNow;
      part.m_crashes = std::min(part.m_crashes, m_limits.m_max_crashes - 1);
      MarkChanged(id, part);
    }
  }
}

PartSuspicion
CrashSuspects::SuspicionOf(const PromptPart& aId, const Part& aPart, TimePoint aNow)
{
  const Milliseconds refused_for = aPart.m_refused_until && *aPart.m_refused_until > aNow
                                     ? Milliseconds(ToMilliseconds(*aPart.m_refused_until - aNow))
                                     : Milliseconds(0);
  return { aId, ProbabilityOf(aPart.m_log_odds), aPart.m_crashes, refused_for };
}

void
CrashSuspects::Apply(const PartSuspicion& aSuspicion, TimePoint aNow)
{
  Part& part = PartOf(aSuspicion.m_part, aNow);
  part.m_log_odds = std::clamp(LogOddsOf(aSuspicion.m_probability), kMinLogOdds, kMaxLogOdds);
  part.m_crashes = aSuspicion.m_crashes;
  part.m_refused_until = part.m_log_odds >= m_refuse_log_odds
                           ? std::optional(aNow + aSuspicion.m_refused_for)
                           : std::nullopt;
}

void
CrashSuspects::Merge(const PartSuspicion& aSuspicion, TimePoint aNow)
{
  const auto found = m_parts.find(aSuspicion.m_part);
  const double known = found == m_parts.end() ? m_prior_log_odds : found->second.m_log_odds;
  if (std::min(LogOddsOf(aSuspicion.m_probability), kMaxLogOdds) > known) {
    Apply(aSuspicion, aNow);
    MarkChanged(aSuspicion.m_part, m_parts.at(aSuspicion.m_part));
  }
}

std::vector<PartSuspicion>
CrashSuspects::TakeChanges(TimePoint aNow)
{
  std::vector<PartSuspicion> changes;
  for (const PromptPart& id : std::exchange(m_changed, {})) {
    if (const auto part = m_parts.find(id); part != m_parts.end()) {
      part->second.m_is_changed = false;
      changes.push_back(SuspicionOf(id, part->second, aNow));
    }
  }
  return changes;
}

std::vector<PartSuspicion>
CrashSuspects::All(TimePoint aNow) const
{
  std::vector<PartSuspicion> all;
  for (const auto& [id, part] : m_parts) {
    if (part.m_log_odds >= m_announce_log_odds) {
      all.push_back(SuspicionOf(id, part, aNow));
    }
  }
  return all;
}

}
