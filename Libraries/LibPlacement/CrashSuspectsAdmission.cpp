#include <LibPlacement/CrashSuspects.h>

#include "CrashOdds.h"
#include "CrashTiming.h"

#include <algorithm>

namespace auburnhitch {

namespace {

// A trial may end without a proof: its caller leaves, or its response has no length.
constexpr int kMaxEarlyTrials = 3;

}

bool
CrashSuspects::IsSuspected(const CrashTrait& aId) const
{
  const auto found = m_traits.find(aId);
  return found != m_traits.end() && found->second.m_log_odds >= m_suspect_log_odds;
}

void
CrashSuspects::UpdateRunningSuspects(const CrashTrait& aId, const Trait& aTrait)
{
  if (!IsWholeRequest(aId)) {
    return;
  }
  if (aTrait.m_running > 0 && aTrait.m_log_odds >= m_suspect_log_odds) {
    m_running_suspects.insert(aId);
  } else {
    m_running_suspects.erase(aId);
  }
}

bool
CrashSuspects::IsAtRisk(const SlotRequestId& aRequestId,
                        const RunningRequest& aRequest,
                        TimePoint aNow) const
{
  return (!aRequest.m_started_at || aNow - *aRequest.m_started_at <= kMaxTimeToCrash) &&
         std::none_of(m_crashes.begin(), m_crashes.end(), [&](const Crash& aCrash) {
           return IsOf(aCrash, aRequestId, aRequest);
         });
}

bool
CrashSuspects::HasSuspectedRequest(const std::vector<CrashTrait>& aTraits) const
{
  return std::any_of(aTraits.begin(), aTraits.end(), [this](const CrashTrait& aTrait) {
    return IsWholeRequest(aTrait) && IsSuspected(aTrait);
  });
}

std::set<EndpointId>
CrashSuspects::EndpointsOfSuspects(TimePoint aNow) const
{
  std::set<EndpointId> endpoints;
  if (m_running_suspects.empty()) {
    return endpoints;
  }
  for (const auto& [id, request] : m_requests) {
    if (HasSuspectedRequest(request.m_traits) && IsAtRisk(id, request, aNow)) {
      endpoints.insert(request.m_endpoint);
    }
  }
  return endpoints;
}

std::size_t
CrashSuspects::CountAtRisk(const EndpointId& aEndpoint, TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(m_requests.begin(), m_requests.end(), [&](const auto& aEntry) {
      return aEntry.second.m_endpoint == aEndpoint && IsAtRisk(aEntry.first, aEntry.second, aNow);
    }));
}

bool
CrashSuspects::IsKnownHarmless(const CrashTrait& aPart) const
{
  const auto found = m_traits.find(aPart);
  return found != m_traits.end() &&
         found->second.m_log_odds < m_prior_log_odds - kAlternativeMargin;
}

bool
CrashSuspects::MayBeHarmless(const Trait& aPart, const std::vector<CrashTrait>& aTraits) const
{
  PromptParts parts(aTraits.begin(), aTraits.end());
  std::erase_if(parts, IsWholeRequest);
  const auto is_as_suspect = [&](const CrashTrait& aOther) {
    const auto other = m_traits.find(aOther);
    return other != m_traits.end() &&
           other->second.m_log_odds >= aPart.m_log_odds - kAlternativeMargin;
  };
  const auto may_be_harmful = [&](const CrashTrait& aOther) { return !IsKnownHarmless(aOther); };
  // Where no other part was there at all crashes, several may have caused them, or this one all of
  // them: a single trial decides.
  return (aPart.m_early_trials < kMaxEarlyTrials &&
          aPart.m_history.LacksCompanion(parts, is_as_suspect)) ||
         (aPart.m_early_trials == 0 && aPart.m_history.LacksPartOfEachCrash(parts, may_be_harmful));
}

CrashSuspects::Admission
CrashSuspects::AdmissionOf(const std::vector<CrashTrait>& aTraits, TimePoint aNow) const
{
  Admission admission = Admission::Admit;
  for (const CrashTrait& id : aTraits) {
    const auto found = m_traits.find(id);
    if (found == m_traits.end()) {
      continue;
    }
    const Trait& trait = found->second;
    const bool is_whole = IsWholeRequest(id);
    if (trait.m_refused_until) {
      const int max_crashes = is_whole ? m_limits.m_max_request_crashes : m_limits.m_max_crashes;
      const bool is_refused = aNow < *trait.m_refused_until || trait.m_running > 0;
      if (trait.m_crashes >= max_crashes ||
          (is_refused && (is_whole || !MayBeHarmless(trait, aTraits)))) {
        return Admission::Refuse;
      }
      admission = std::max(admission, Admission::Trial);
    }
    if (trait.m_log_odds >= m_suspect_log_odds &&
        (is_whole ? !EndpointsOfSuspects(aNow).empty() : trait.m_running > 0)) {
      admission = Admission::Wait;
    }
  }
  return admission;
}

void
CrashSuspects::OnNewVersion(TimePoint aNow)
{
  for (auto& [id, trait] : m_traits) {
    if (trait.m_refused_until) {
      trait.m_refused_until = aNow;
      if (!IsWholeRequest(id)) {
        trait.m_crashes = std::min(trait.m_crashes, m_limits.m_max_crashes - 1);
      }
      MarkChanged(id, trait);
    }
  }
}

}
