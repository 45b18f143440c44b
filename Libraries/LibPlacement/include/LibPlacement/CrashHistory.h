#pragma once

#include <LibCore/Time.h>
#include <LibPlacement/CrashTrait.h>
#include <deque>
#include <functional>
#include <set>
#include <vector>

namespace auburnhitch {

/// The parts of one request's prompt.
using PromptParts = std::set<CrashTrait>;

/// The crashes that are evidence against one part of prompts, and the requests that ran at each.
/// Parts that were always together have the same evidence; a request that lacks one of them tells
/// which of them crashes endpoints. Owns no clock. Not thread-safe.
class CrashHistory
{
public:
  /// The requests that ran at one endpoint when it crashed.
  using Requests = std::vector<PromptParts>;

  /// aPart: the part that this is the history of.
  explicit CrashHistory(CrashTrait aPart)
    : m_part(std::move(aPart))
  {
  }

  /// Records a crash at aAt. Keeps the latest crashes, and the first requests of each.
  void Record(Requests aRequests, TimePoint aAt);
  /// Removes the crashes at aAt: they were none.
  void Remove(TimePoint aAt);
  void Clear() { m_crashes.clear(); }
  /// Replaces all by the history that another daemon has sent.
  void Replace(const std::vector<Requests>& aCrashes);
  /// What Replace() takes.
  std::vector<Requests> Crashes() const;

  using Predicate = std::function<bool(const CrashTrait&)>;

  /// Whether a request lacks a part that was there at every crash and is as suspect as this one.
  /// False if every crash is explained by the parts of the request: one with no others ran at it.
  bool LacksCompanion(const PromptParts& aRequest, const Predicate& aIsAsSuspect) const;
  /// Whether each crash had a part that the request lacks and that is not known to be harmless, and
  /// at none a request ran that had no other parts than this one.
  bool LacksPartOfEachCrash(const PromptParts& aRequest, const Predicate& aMayBeHarmful) const;

private:
  struct Crash
  {
    Requests m_requests;
    TimePoint m_at;
  };

  /// Whether a request with the part ran at a crash that had no part which aRequest lacks.
  bool HadSubsetOf(const Crash& aCrash, const PromptParts& aRequest) const;

  CrashTrait m_part;
  std::deque<Crash> m_crashes;
};

}
