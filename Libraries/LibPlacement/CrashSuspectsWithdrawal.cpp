#include <LibPlacement/CrashSuspects.h>

#include "CrashTiming.h"
#include "RegistrationLag.h"

#include <algorithm>

namespace auburnhitch {

namespace {

// Two endpoints may crash within the report delay under two harmful requests.
constexpr std::size_t kManyCrashes = 3;

}

void
CrashSuspects::RecordRenewed(const EndpointId& aEndpoint, TimePoint aReadableSince, TimePoint aNow)
{
  std::erase_if(m_crashes, [&](const Crash& aCrash) {
    const bool is_none = aCrash.m_endpoint == aEndpoint && !aCrash.m_has_restarted &&
                         aNow - std::max(aCrash.m_at, aReadableSince) > kRegistrationLag;
    if (is_none) {
      Withdraw(aCrash, aNow);
    }
    return is_none;
  });
}

void
CrashSuspects::RecordRestarted(const EndpointId& aEndpoint)
{
  for (Crash& crash : m_crashes) {
    crash.m_has_restarted = crash.m_has_restarted || crash.m_endpoint == aEndpoint;
  }
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
  Withdraw(*found, aNow);
  m_crashes.erase(found);
}

void
CrashSuspects::Withdraw(const Crash& aCrash, TimePoint aNow)
{
  std::set<CrashTrait> taken_back;
  for (const auto& [id, evidence] : aCrash.m_evidence) {
    if (const auto found = m_traits.find(id); found != m_traits.end()) {
      found->second.m_history.Remove(aCrash.m_at);
    }
    TakeBack(id, evidence, aNow);
    taken_back.insert(id);
  }
  // Of whole requests, crashes that are no independent evidence count as well.
  for (const CrashTrait& id : aCrash.m_candidates) {
    const auto found = m_traits.find(id);
    if (IsWholeRequest(id) && !taken_back.contains(id) && found != m_traits.end()) {
      found->second.m_crashes = std::max(0, found->second.m_crashes - 1);
    }
  }
  m_unexplained = std::max(0.0, m_unexplained - aCrash.m_unexplained);
}

void
CrashSuspects::WithdrawIfMany(TimePoint aNow)
{
  std::vector<Crash*> recent;
  std::set<EndpointId> endpoints;
  std::map<CrashTrait, std::set<EndpointId>> endpoints_of;
  for (Crash& crash : m_crashes) {
    if (aNow - crash.m_at <= kReportDelay) {
      recent.push_back(&crash);
      endpoints.insert(crash.m_endpoint);
      for (const CrashTrait& id : crash.m_candidates) {
        endpoints_of[id].insert(crash.m_endpoint);
      }
    }
  }
  if (endpoints.size() < kManyCrashes) {
    return;
  }
  for (Crash* crash : recent) {
    WithdrawFromRequests(
      *crash, [&](const CrashTrait& aId) { return endpoints_of[aId].size() == 1; }, aNow);
  }
}

void
CrashSuspects::WithdrawIfAlive(const RunningRequest& aRequest, Milliseconds aAfter, TimePoint aNow)
{
  for (Crash& crash : m_crashes) {
    const auto granted_after = aRequest.m_granted_at - crash.m_at;
    if (crash.m_endpoint == aRequest.m_endpoint && granted_after > aAfter &&
        granted_after < kMinRestartTime) {
      WithdrawFromRequests(
        crash, [](const CrashTrait&) { return true; }, aNow);
    }
  }
}

void
CrashSuspects::WithdrawFromRequests(Crash& aCrash,
                                    const std::function<bool(const CrashTrait& aId)>& aIsWithdrawn,
                                    TimePoint aNow)
{
  std::erase_if(aCrash.m_evidence, [&](const auto& aEntry) {
    const auto& [id, evidence] = aEntry;
    const bool is_withdrawn = IsWholeRequest(id) && aIsWithdrawn(id);
    if (is_withdrawn) {
      TakeBack(id, evidence, aNow);
    }
    return is_withdrawn;
  });
}

void
CrashSuspects::TakeBack(const CrashTrait& aId, double aEvidence, TimePoint aNow)
{
  const auto found = m_traits.find(aId);
  if (found == m_traits.end()) {
    return;
  }
  Trait& trait = found->second;
  trait.m_crashes = std::max(0, trait.m_crashes - 1);
  trait.m_own_crashes = std::max(0, trait.m_own_crashes - 1);
  SetLogOdds(aId, trait, trait.m_log_odds - aEvidence, aNow);
}

}
