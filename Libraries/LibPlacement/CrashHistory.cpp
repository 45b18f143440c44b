#include <LibPlacement/CrashHistory.h>

#include <algorithm>

namespace auburnhitch {

namespace {

// As many crashes as a part may have until it gets no more trials.
constexpr std::size_t kMaxCrashes = 8;
constexpr std::size_t kMaxRequestsPerCrash = 8;

bool
Contains(const PromptParts& aRequest, const PromptParts& aOther)
{
  return std::includes(aRequest.begin(), aRequest.end(), aOther.begin(), aOther.end());
}

PromptParts
PartsOf(const CrashHistory::Requests& aRequests)
{
  PromptParts parts;
  for (const PromptParts& request : aRequests) {
    parts.insert(request.begin(), request.end());
  }
  return parts;
}

}

void
CrashHistory::Record(Requests aRequests, TimePoint aAt)
{
  aRequests.resize(std::min(aRequests.size(), kMaxRequestsPerCrash));
  m_crashes.push_back({ std::move(aRequests), aAt });
  if (m_crashes.size() > kMaxCrashes) {
    m_crashes.pop_front();
  }
}

void
CrashHistory::Remove(TimePoint aAt)
{
  std::erase_if(m_crashes, [&](const Crash& aCrash) { return aCrash.m_at == aAt; });
}

void
CrashHistory::Replace(const std::vector<Requests>& aCrashes)
{
  m_crashes.clear();
  for (const Requests& requests : aCrashes) {
    Record(requests, TimePoint());
  }
}

std::vector<CrashHistory::Requests>
CrashHistory::Crashes() const
{
  std::vector<Requests> crashes;
  for (const Crash& crash : m_crashes) {
    crashes.push_back(crash.m_requests);
  }
  return crashes;
}

bool
CrashHistory::HadSubsetOf(const Crash& aCrash, const PromptParts& aRequest) const
{
  return std::any_of(
    aCrash.m_requests.begin(), aCrash.m_requests.end(), [&](const PromptParts& aOther) {
      return aOther.contains(m_part) && Contains(aRequest, aOther);
    });
}

bool
CrashHistory::LacksCompanion(const PromptParts& aRequest, const Predicate& aIsAsSuspect) const
{
  if (m_crashes.empty() ||
      std::all_of(m_crashes.begin(), m_crashes.end(), [&](const Crash& aCrash) {
        return HadSubsetOf(aCrash, aRequest);
      })) {
    return false;
  }
  PromptParts companions = PartsOf(m_crashes.front().m_requests);
  for (const Crash& crash : m_crashes) {
    const PromptParts parts = PartsOf(crash.m_requests);
    std::erase_if(companions, [&](const CrashTrait& aPart) { return !parts.contains(aPart); });
  }
  return std::any_of(companions.begin(), companions.end(), [&](const CrashTrait& aPart) {
    return !aRequest.contains(aPart) && aIsAsSuspect(aPart);
  });
}

bool
CrashHistory::LacksPartOfEachCrash(const PromptParts& aRequest,
                                   const Predicate& aMayBeHarmful) const
{
  return !m_crashes.empty() &&
         std::all_of(m_crashes.begin(), m_crashes.end(), [&](const Crash& aCrash) {
           const PromptParts parts = PartsOf(aCrash.m_requests);
           return !HadSubsetOf(aCrash, aRequest) &&
                  std::any_of(parts.begin(), parts.end(), [&](const CrashTrait& aPart) {
                    return !aRequest.contains(aPart) && aMayBeHarmful(aPart);
                  });
         });
}

}
