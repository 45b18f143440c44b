#include <LibRollout/Rollout.h>

#include <algorithm>

namespace auburnhitch {

namespace {

// Part of the bounds that each stage may use. A tenth is left for requests that a decider has sent
// and not recorded before it failed.
constexpr double kProbePart = 0.3;
constexpr double kSharePart = 0.6;
constexpr double kLoadPart = 0.9;
// Share of the duration at which each stage ends at the earliest. A version may turn bad seconds
// after its start, so that responses alone do not suffice.
constexpr double kProbeEnd = 0.12;
constexpr double kShareEnd = 0.3;
constexpr double kLoadEnd = 0.5;
// From this share of the duration on, a version without a verdict is judged by what is known.
constexpr double kDecideAt = 0.75;
// A short rollout decides no earlier than this, since a version may turn bad seconds after its
// start.
constexpr double kMinDecideAt = 0.6;
// From this share on, a version whose evidence is still in doubt, or that has no usable endpoint,
// is rolled back: the rest is time to write the verdict before the deadline.
constexpr double kGiveUpAt = 0.92;
// From this share on, a version is rolled back if requests still run at others: completing it would
// break them.
constexpr double kEndDrainAt = 0.97;
// Longest time for which a request runs. The stage Drain begins this long before kGiveUpAt if the
// duration permits, so that the requests at other versions end in time.
constexpr Milliseconds kMaxRequestTime{ 12'000 };
// From this share on, streams do not continue at other versions.
constexpr double kStreamsEndAt = 0.85;
// Responses of the target without which a stage does not end before kDecideAt.
constexpr std::uint64_t kMinResponsesOfStage = 20;
// A stage does not end while a test is above this share of its threshold. One slow endpoint adds
// less, so that it does not delay a good version.
constexpr double kMaxSumShareOfStage = 0.7;
// Broken connections of one endpoint within this time count as one bad response.
constexpr Milliseconds kBreakWindow{ 1'000 };
// Endpoints that are under load in the stage Load: one alone may be slow.
constexpr std::size_t kLoadedEndpoints = 3;
// Requests that are sent at once in the stage Load, so that the endpoints under load are as full as
// those of the other version.
constexpr int kBurst = 16;
const KindName kAllRoutes;

}

const char*
NameOf(RolloutStage aStage)
{
  switch (aStage) {
    case RolloutStage::Waiting:
      return "waiting";
    case RolloutStage::Probe:
      return "probe";
    case RolloutStage::Share:
      return "share";
    case RolloutStage::Load:
      return "load";
    case RolloutStage::Drain:
      return "drain";
    case RolloutStage::Completed:
      return "completed";
    case RolloutStage::RolledBack:
      return "rolled_back";
  }
  return "unknown";
}

Rollout::Rollout(RolloutOrder aOrder, ExposureBounds aBounds, TimePoint aOrderedAt)
  : m_order(std::move(aOrder))
  , m_ordered_at(aOrderedAt)
  , m_budget(aBounds)
{
}

void
Rollout::Restore(RolloutStage aStage, std::uint64_t aArrived, std::uint64_t aSent, TimePoint aNow)
{
  m_stage = aStage;
  m_budget.Restore(aArrived, aSent);
  m_broken_at.clear();
  m_ordered_at = std::min(m_ordered_at, aNow);
}

void
Rollout::Abandon()
{
  if (!HasEnded()) {
    m_stage = RolloutStage::RolledBack;
  }
}

double
Rollout::PartOfStage() const
{
  switch (m_stage) {
    case RolloutStage::Probe:
      return kProbePart;
    case RolloutStage::Share:
      return kSharePart;
    case RolloutStage::Load:
      return kLoadPart;
    default:
      return 0;
  }
}

int
Rollout::CountPermitted(int aMax) const
{
  if (m_stage == RolloutStage::Drain || m_stage == RolloutStage::Completed) {
    return aMax;
  }
  int count = 0;
  while (count < aMax && m_budget.Permits(PartOfStage(), count + 1)) {
    ++count;
  }
  return count;
}

bool
Rollout::PermitsTarget(const EndpointId& aEndpoint) const
{
  switch (m_stage) {
    case RolloutStage::Waiting:
    case RolloutStage::RolledBack:
      return false;
    case RolloutStage::Probe:
    case RolloutStage::Share:
      return m_budget.Permits(PartOfStage());
    case RolloutStage::Load:
      return m_is_bursting && m_budget.Permits(PartOfStage()) && m_loaded.contains(aEndpoint);
    case RolloutStage::Drain:
    case RolloutStage::Completed:
      return true;
  }
  return false;
}

bool
Rollout::PermitsOthers() const
{
  return m_stage != RolloutStage::Drain && m_stage != RolloutStage::Completed;
}

bool
Rollout::PermitsStreamsAtOthers(TimePoint aNow) const
{
  return PermitsOthers() || (m_stage == RolloutStage::Drain && ShareOfTime(aNow) < kStreamsEndAt);
}

void
Rollout::UpdateBurst()
{
  if (!m_budget.Permits(kLoadPart)) {
    m_is_bursting = false;
  } else if (m_budget.Permits(kLoadPart, kBurst)) {
    m_is_bursting = true;
  }
}

void
Rollout::RecordArrival()
{
  m_budget.RecordArrival();
  UpdateBurst();
}

void
Rollout::RecordSent()
{
  m_budget.RecordSent();
  UpdateBurst();
}

void
Rollout::RecordResponse(const RolloutResponse& aResponse, TimePoint aNow)
{
  if (aResponse.m_is_broken) {
    const auto [last, is_first] = m_broken_at.try_emplace(aResponse.m_endpoint, aNow);
    if (!is_first && aNow - last->second < kBreakWindow) {
      return;
    }
    last->second = aNow;
  }
  const bool is_bad = IsBadResponse(aResponse);
  if (!aResponse.m_is_target) {
    m_reference.Record(aResponse.m_route, is_bad, aResponse.m_slowness);
    return;
  }
  ++m_responses;
  ++m_responses_of_stage;
  m_bad += is_bad ? 1 : 0;
  const bool is_only = m_target.size() < 2;
  const double expected = m_reference.BadShare(aResponse.m_route);
  m_tests[kAllRoutes].Record(aResponse.m_endpoint, is_bad, expected, is_only);
  if (aResponse.m_route != kAllRoutes) {
    m_tests[aResponse.m_route].Record(aResponse.m_endpoint, is_bad, expected, is_only);
  }
}

bool
Rollout::IsBadResponse(const RolloutResponse& aResponse)
{
  if (aResponse.m_is_failure || aResponse.m_is_broken) {
    return true;
  }
  const bool is_slow = IsOverdue(aResponse.m_route, aResponse.m_slowness);
  if (!aResponse.m_is_target) {
    return m_slow_others.Record(aResponse.m_endpoint, is_slow, m_other_count);
  }
  return m_slow_targets.Record(aResponse.m_endpoint,
                               is_slow,
                               m_stage == RolloutStage::Load ? m_loaded.size() : m_target.size());
}

bool
Rollout::IsBad() const
{
  return std::any_of(
    m_tests.begin(), m_tests.end(), [](const auto& aEntry) { return aEntry.second.IsBad(); });
}

double
Rollout::HighestSum() const
{
  const auto found = m_tests.find(WorstRoute());
  return found == m_tests.end() ? 0 : found->second.Sum();
}

KindName
Rollout::WorstRoute() const
{
  const auto worst =
    std::max_element(m_tests.begin(), m_tests.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.second.Sum() < aOther.second.Sum();
    });
  return worst == m_tests.end() ? kAllRoutes : worst->first;
}

double
Rollout::ShareOfTime(TimePoint aNow) const
{
  const double duration = std::chrono::duration<double>(m_order.m_duration).count();
  return std::chrono::duration<double>(aNow - m_ordered_at).count() / std::max(duration, 1e-3);
}

double
Rollout::DecideAt() const
{
  const double duration = std::max(std::chrono::duration<double>(m_order.m_duration).count(), 1e-3);
  const double drain = std::chrono::duration<double>(kMaxRequestTime).count() / duration;
  return std::clamp(kGiveUpAt - drain, kMinDecideAt, kDecideAt);
}

RolloutStage
Rollout::NextStage(const RolloutEndpoints& aEndpoints, TimePoint aNow) const
{
  const double time = ShareOfTime(aNow);
  const bool is_late = time >= kGiveUpAt;
  if (IsBad() || (is_late && m_stage != RolloutStage::Drain)) {
    return RolloutStage::RolledBack;
  }
  if (m_stage == RolloutStage::Waiting) {
    if (aEndpoints.m_target.empty()) {
      return RolloutStage::Waiting;
    }
    // Without endpoints of another version, there is nothing to move and nothing to go back to.
    return aEndpoints.m_others.empty() ? RolloutStage::Drain : RolloutStage::Probe;
  }
  if (m_stage == RolloutStage::Drain) {
    if (aEndpoints.m_target.empty()) {
      return is_late ? RolloutStage::RolledBack : RolloutStage::Drain;
    }
    if (aEndpoints.m_running_at_others == 0 &&
        (is_late || aEndpoints.m_possibly_running_at_others == 0)) {
      return RolloutStage::Completed;
    }
    return time >= kEndDrainAt ? RolloutStage::RolledBack : RolloutStage::Drain;
  }
  const bool is_quiet =
    HighestSum() < kMaxSumShareOfStage * SequentialTest::kBadFrom && !m_slow_targets.AreMostSlow();
  if (!is_quiet || aEndpoints.m_target.empty()) {
    return m_stage;
  }
  if (time >= DecideAt() && m_responses > 0) {
    return RolloutStage::Drain;
  }
  if (m_responses_of_stage < kMinResponsesOfStage) {
    return m_stage;
  }
  if (m_stage == RolloutStage::Probe) {
    return time >= kProbeEnd ? RolloutStage::Share : m_stage;
  }
  if (m_stage == RolloutStage::Share) {
    return time >= kShareEnd ? RolloutStage::Load : m_stage;
  }
  return time >= kLoadEnd ? RolloutStage::Drain : m_stage;
}

bool
Rollout::Advance(const RolloutEndpoints& aEndpoints, TimePoint aNow)
{
  m_target = aEndpoints.m_target;
  m_other_count = aEndpoints.m_others.size();
  std::erase_if(m_loaded, [&](const EndpointId& aId) { return !m_target.contains(aId); });
  ChooseLoaded();
  if (HasEnded()) {
    return false;
  }
  const RolloutStage next = NextStage(aEndpoints, aNow);
  if (next == m_stage) {
    return false;
  }
  if (next == RolloutStage::Load || next == RolloutStage::Drain) {
    // Endpoints that get no requests in this stage say nothing about the version under load, and
    // those that are slow already would hide its slowness.
    m_loaded.clear();
    ChooseLoaded();
    m_slow_targets.Reset();
  }
  m_stage = next;
  m_responses_of_stage = 0;
  return true;
}

void
Rollout::ChooseLoaded()
{
  for (const bool is_slow : { false, true }) {
    for (const EndpointId& id : m_target) {
      if (m_loaded.size() < kLoadedEndpoints && m_slow_targets.IsSlow(id) == is_slow) {
        m_loaded.insert(id);
      }
    }
  }
}

}
