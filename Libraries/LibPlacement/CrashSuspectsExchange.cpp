#include <LibPlacement/CrashSuspects.h>

#include "CrashOdds.h"

#include <algorithm>

namespace auburnhitch {

TraitSuspicion
CrashSuspects::SuspicionOf(const CrashTrait& aId, const Trait& aTrait, TimePoint aNow)
{
  const Milliseconds refused_for = aTrait.m_refused_until && *aTrait.m_refused_until > aNow
                                     ? Milliseconds(ToMilliseconds(*aTrait.m_refused_until - aNow))
                                     : Milliseconds(0);
  return { aId, ProbabilityOf(aTrait.m_log_odds), aTrait.m_crashes, refused_for };
}

void
CrashSuspects::Apply(const TraitSuspicion& aSuspicion, TimePoint aNow)
{
  Trait& trait = TraitOf(aSuspicion.m_trait, aNow);
  // The sender may not know of the complete responses that are known here.
  if (IsProvenHarmless(aSuspicion.m_trait, trait.m_log_odds) &&
      LogOddsOf(aSuspicion.m_probability) < m_refuse_log_odds) {
    return;
  }
  trait.m_log_odds = std::clamp(LogOddsOf(aSuspicion.m_probability), kMinLogOdds, kMaxLogOdds);
  UpdateRunningSuspects(aSuspicion.m_trait, trait);
  trait.m_crashes = aSuspicion.m_crashes;
  trait.m_taken_over = std::nullopt;
  trait.m_refused_until = trait.m_log_odds >= m_refuse_log_odds
                            ? std::optional(aNow + aSuspicion.m_refused_for)
                            : std::nullopt;
  trait.m_history.Clear();
  trait.m_early_trials = 0;
}

void
CrashSuspects::Merge(const TraitSuspicion& aSuspicion, const HostName& aSender, TimePoint aNow)
{
  const auto found = m_traits.find(aSuspicion.m_trait);
  const double prior =
    IsWholeRequest(aSuspicion.m_trait) ? m_request_prior_log_odds : m_prior_log_odds;
  const double known = found == m_traits.end() ? prior : found->second.m_log_odds;
  const int known_crashes = found == m_traits.end() ? 0 : found->second.m_crashes;
  const double stated = std::min(LogOddsOf(aSuspicion.m_probability), kMaxLogOdds);
  if (stated > known) {
    Apply(aSuspicion, aNow);
    Trait& trait = m_traits.at(aSuspicion.m_trait);
    trait.m_taken_over = TakenOver{ aSender,
                                    stated,
                                    aSuspicion.m_crashes,
                                    stated - known,
                                    std::max(0, aSuspicion.m_crashes - known_crashes) };
    MarkChanged(aSuspicion.m_trait, trait);
    return;
  }
  if (found != m_traits.end() && found->second.m_taken_over &&
      found->second.m_taken_over->m_sender == aSender) {
    WithdrawTakenOver(found->second, aSuspicion, aNow);
  }
}

void
CrashSuspects::WithdrawTakenOver(Trait& aTrait, const TraitSuspicion& aSuspicion, TimePoint aNow)
{
  TakenOver& taken_over = *aTrait.m_taken_over;
  const double stated = LogOddsOf(aSuspicion.m_probability);
  if (stated >= taken_over.m_stated_log_odds) {
    return;
  }
  const double log_odds = std::min(taken_over.m_stated_log_odds - stated, taken_over.m_log_odds);
  const int crashes =
    std::clamp(taken_over.m_stated_crashes - aSuspicion.m_crashes, 0, taken_over.m_crashes);
  taken_over.m_stated_log_odds = stated;
  taken_over.m_stated_crashes = std::min(taken_over.m_stated_crashes, aSuspicion.m_crashes);
  taken_over.m_log_odds -= log_odds;
  taken_over.m_crashes -= crashes;
  aTrait.m_crashes = std::max(0, aTrait.m_crashes - crashes);
  SetLogOdds(aSuspicion.m_trait, aTrait, aTrait.m_log_odds - log_odds, aNow);
}

std::vector<TraitSuspicion>
CrashSuspects::TakeChanges(TimePoint aNow)
{
  std::vector<TraitSuspicion> changes;
  for (const CrashTrait& id : std::exchange(m_changed, {})) {
    if (const auto trait = m_traits.find(id); trait != m_traits.end()) {
      trait->second.m_is_changed = false;
      changes.push_back(SuspicionOf(id, trait->second, aNow));
    }
  }
  return changes;
}

std::vector<TraitSuspicion>
CrashSuspects::All(TimePoint aNow) const
{
  std::vector<TraitSuspicion> all;
  for (const auto& [id, trait] : m_traits) {
    if (trait.m_log_odds >= m_announce_log_odds) {
      all.push_back(SuspicionOf(id, trait, aNow));
    }
  }
  return all;
}

void
CrashSuspects::ApplyCrashes(const TraitCrashes& aCrashes,
                            const HostName& aSender,
                            bool aIsFromCoordinator,
                            TimePoint aNow)
{
  Trait& trait = TraitOf(aCrashes.m_trait, aNow);
  const bool is_taken_over = trait.m_taken_over && trait.m_taken_over->m_sender == aSender;
  if (aIsFromCoordinator || is_taken_over) {
    trait.m_history.Replace(aCrashes.m_crashes);
    trait.m_early_trials = aCrashes.m_trials;
  }
}

std::vector<TraitCrashes>
CrashSuspects::CrashesBehind(const std::vector<TraitSuspicion>& aSuspicions) const
{
  std::vector<TraitCrashes> crashes;
  for (const TraitSuspicion& suspicion : aSuspicions) {
    const auto trait = m_traits.find(suspicion.m_trait);
    if (trait != m_traits.end() && trait->second.m_log_odds >= m_refuse_log_odds) {
      crashes.push_back(
        { suspicion.m_trait, trait->second.m_history.Crashes(), trait->second.m_early_trials });
    }
  }
  std::erase_if(crashes, [](const TraitCrashes& aCrashes) { return aCrashes.m_crashes.empty(); });
  return crashes;
}

}
