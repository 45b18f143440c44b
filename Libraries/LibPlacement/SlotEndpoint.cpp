#include <LibPlacement/SlotEndpoint.h>

#include "RegistrationLag.h"

#include <algorithm>
#include <cmath>

namespace auburnhitch {

namespace {

// A first byte is overdue after this multiple of its expected time plus kOverdueMargin, which
// covers a preempted process and the delay until the first byte is reported.
constexpr double kOverdueFactor = 4;
constexpr Milliseconds kOverdueMargin{ 400 };
// Initial back-off after a connection to an endpoint failed or broke; doubles with each consecutive
// failure.
constexpr Milliseconds kInitialBackOff{ 500 };
constexpr int kMaxBackOffDoublings = 4;
// Time for which an endpoint that refused a request gets no more requests than it holds.
constexpr Milliseconds kFullBackOff{ 200 };
// Within this time all daemons have reported the requests that the end of an endpoint broke off.
constexpr Milliseconds kReportDelay{ 150 };
// For this long a failure that the endpoint's answers to other daemons contradict is evidence
// against the daemon that reported it.
constexpr Milliseconds kEvidenceLifetime{ 3'000 };
// EWMA weight of a new outcome in the failure rate, which averages about ten responses.
constexpr double kOutcomeWeight = 0.1;
// Endpoints turn slow for a second to some seconds at a time, so an older estimate is tried again.
constexpr Milliseconds kEstimateLifetime{ 2'000 };

// Time for which a slot stands idle between two requests while the report of the end, the grant and
// the next request are on their way: four messages, most of them between data centres up to 4.4 ms
// apart.
constexpr double kIdleBetweenRequestsMs = 10;
// EWMA weight of a new time for which a slot was held; averages about thirty responses.
constexpr double kHeldWeight = 0.03;

TimePoint
After(TimePoint aFrom, double aMs)
{
  return aFrom +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(aMs));
}

/// Whether the connection of a request stays open: it does after a complete response.
bool
LeavesConnection(SlotOutcome aOutcome)
{
  return aOutcome == SlotOutcome::Complete || aOutcome == SlotOutcome::Failed ||
         aOutcome == SlotOutcome::Refused;
}

}

SlotEndpoint::SlotEndpoint(SlotEndpointInfo aInfo, TimePoint aNow, bool aIsLearning)
  : m_info(std::move(aInfo))
  , m_is_learning(aIsLearning)
  , m_learned_limit(std::max(m_info.m_slots, 1))
  , m_busy_until(aNow)
  , m_learned_at(aNow)
  , m_suspect_until(aNow)
  , m_full_until(aNow)
{
  m_rate.Apply(m_info.m_limit, std::nullopt, aNow);
}

void
SlotEndpoint::SetInfo(const SlotEndpointInfo& aInfo)
{
  if (aInfo.m_slots != m_info.m_slots) {
    m_learned_limit = auburnhitch::ConcurrencyLimit(std::max(aInfo.m_slots, 1));
  }
  m_info = aInfo;
}

void
SlotEndpoint::Hold(const SlotRequestId& aRequestId, const RequestWork& aWork, TimePoint aNow)
{
  m_rate.RecordSent(aNow);
  m_idle_connections.RecordUsed(aRequestId.m_daemon, aNow);
  Insert(aRequestId,
         Held{ aWork,
               aNow,
               false,
               ExpectedFirstByteMs(aWork),
               m_times.FirstByteSlowness(),
               0,
               std::nullopt });
}

void
SlotEndpoint::Adopt(const SlotRequestId& aRequestId, const RequestWork& aWork, TimePoint aNow)
{
  Insert(aRequestId,
         Held{ aWork,
               aNow,
               true,
               ExpectedFirstByteMs(aWork),
               m_times.FirstByteSlowness(),
               0,
               std::nullopt });
}

void
SlotEndpoint::Insert(const SlotRequestId& aRequestId, const Held& aHeld)
{
  const double prompt_tokens = aHeld.m_work.m_prompt_tokens;
  CountBusyTime(aHeld.m_granted_at);
  const auto [held, is_new] = m_held.emplace(aRequestId, aHeld);
  if (is_new) {
    held->second.m_busy_before_ms = m_busy_ms;
    m_prompt_tokens_ahead += prompt_tokens;
  }
}

bool
SlotEndpoint::RecordStatedLimit(const std::optional<RequestRate>& aStated,
                                const std::optional<SlotRequestId>& aRequestId,
                                TimePoint aNow)
{
  std::optional<TimePoint> sent_at;
  if (aRequestId) {
    const auto found = m_held.find(*aRequestId);
    if (found != m_held.end() && !found->second.m_is_adopted) {
      sent_at = found->second.m_granted_at;
    }
  }
  return m_rate.Apply(aStated, sent_at, aNow);
}

std::optional<double>
SlotEndpoint::RecordStarted(const SlotRequestId& aRequestId, TimePoint aNow)
{
  const auto found = m_held.find(aRequestId);
  if (found == m_held.end() || found->second.m_started_at) {
    return std::nullopt;
  }
  Held& held = found->second;
  held.m_started_at = aNow;
  m_prompt_tokens_ahead -= held.m_work.m_prompt_tokens;
  RecordAlive(aRequestId.m_daemon, held.m_granted_at, aNow);
  const double took = std::chrono::duration<double, std::milli>(aNow - held.m_granted_at).count();
  // The expectation at the time of the grant included the prompts ahead of this one.
  // Dividing by the present slowness makes a rise between grant and first byte feed itself. It
  // stays so where `learn_concurrency` is not set, so that earlier deployments are served as
  // before.
  const double slowness = m_is_learning ? held.m_first_byte_slowness : m_times.FirstByteSlowness();
  m_times.LearnFirstByte(held.m_expected_first_byte_ms / slowness, took);
  m_learned_at = aNow;
  m_consecutive_failures = 0;
  m_suspect_until = aNow;
  return held.m_expected_first_byte_ms > 0 ? std::optional(took / held.m_expected_first_byte_ms)
                                           : std::nullopt;
}

bool
SlotEndpoint::RecordEnded(const SlotRequestId& aRequestId,
                          SlotOutcome aOutcome,
                          const Daemons& aDoubted,
                          TimePoint aNow)
{
  const auto found = m_held.find(aRequestId);
  if (found == m_held.end()) {
    return false;
  }
  const Held held = found->second;
  if (!held.m_started_at) {
    m_prompt_tokens_ahead -= held.m_work.m_prompt_tokens;
  }
  CountBusyTime(aNow);
  m_held.erase(found);
  if (LeavesConnection(aOutcome)) {
    m_idle_connections.RecordIdle(aRequestId.m_daemon, aNow);
  }
  switch (aOutcome) {
    case SlotOutcome::Complete:
      RecordAlive(aRequestId.m_daemon, held.m_granted_at, aNow);
      RecordHeldFor(aNow - held.m_granted_at);
      if (held.m_started_at) {
        m_times.LearnRest(
          ServiceTimeModel::ReferenceRestMs(held.m_work),
          std::chrono::duration<double, std::milli>(aNow - *held.m_started_at).count());
        LearnLimit(held, aNow);
      }
      RecordOutcome(false);
      break;
    case SlotOutcome::Failed:
      RecordOutcome(true);
      break;
    case SlotOutcome::Refused:
      m_full_until = aNow + kFullBackOff;
      RecordOutcome(true);
      break;
    case SlotOutcome::Unreachable:
      if (!aDoubted.contains(aRequestId.m_daemon)) {
        m_unreachable_at = aNow;
      }
      Suspect(aRequestId.m_daemon, aDoubted, aNow);
      break;
    case SlotOutcome::Broken:
      Suspect(aRequestId.m_daemon, aDoubted, aNow);
      break;
    case SlotOutcome::Cancelled:
      break;
  }
  return true;
}

void
SlotEndpoint::RecordAlive(const Incarnation& aDaemon, TimePoint aGrantedAt, TimePoint aNow)
{
  ForgetOldEvidence(aNow);
  m_answered_at[aDaemon] = aNow;
  m_failures.erase(aDaemon);
  if (m_unreachable_at && aGrantedAt < *m_unreachable_at &&
      aNow - *m_unreachable_at > kReportDelay) {
    m_unreachable_at = std::nullopt;
  }
  if (m_rest_asked_at && aGrantedAt > *m_rest_asked_at) {
    m_rest_asked_at = std::nullopt;
  }
}

bool
SlotEndpoint::IsTryingAfterRest() const
{
  return m_rest_asked_at && std::any_of(m_held.begin(), m_held.end(), [this](const auto& aEntry) {
           return aEntry.second.m_granted_at > *m_rest_asked_at;
         });
}

void
SlotEndpoint::RecordRenewed(TimePoint aReadableSince, TimePoint aNow)
{
  if (m_unreachable_at && aNow - std::max(*m_unreachable_at, aReadableSince) > kRegistrationLag) {
    m_unreachable_at = std::nullopt;
  }
}

bool
SlotEndpoint::MayHaveRestarted(TimePoint aNow) const
{
  if (!m_unreachable_at) {
    return false;
  }
  // A restart ends all requests, so the endpoint lives if some of them still run.
  const bool has_survivors =
    aNow - *m_unreachable_at > kReportDelay &&
    std::any_of(m_held.begin(), m_held.end(), [this](const auto& aEntry) {
      return aEntry.second.m_granted_at < *m_unreachable_at && !aEntry.second.m_is_adopted;
    });
  return !has_survivors;
}

void
SlotEndpoint::ReleaseDaemon(const Incarnation& aDaemon)
{
  m_idle_connections.ForgetDaemon(aDaemon);
  for (auto held = m_held.begin(); held != m_held.end();) {
    if (held->first.m_daemon != aDaemon) {
      ++held;
      continue;
    }
    if (!held->second.m_started_at) {
      m_prompt_tokens_ahead -= held->second.m_work.m_prompt_tokens;
    }
    m_held.erase(held++);
  }
}

void
SlotEndpoint::RecordHeldFor(Duration aTime)
{
  const double ms = std::chrono::duration<double, std::milli>(aTime).count();
  m_mean_held_ms = m_mean_held_ms == 0 ? ms : m_mean_held_ms + kHeldWeight * (ms - m_mean_held_ms);
}

std::size_t
SlotEndpoint::SlotsAhead() const
{
  return m_grants_ahead && m_mean_held_ms > kIdleBetweenRequestsMs
           ? static_cast<std::size_t>(m_info.m_slots * kIdleBetweenRequestsMs / m_mean_held_ms)
           : 0;
}

std::size_t
SlotEndpoint::ConcurrencyLimit(double aSlotShare, TimePoint aNow) const
{
  const auto own = static_cast<std::size_t>(std::ceil(m_info.m_slots * aSlotShare));
  std::size_t slots = std::max<std::size_t>(own, 1) + SlotsAhead();
  if (aNow < m_full_until) {
    slots = std::min(slots, m_held.size());
  }
  return slots;
}

double
SlotEndpoint::UsableSlots(double aSlotShare, double aSlotTimeMs, TimePoint aNow) const
{
  const auto slots = static_cast<double>(ConcurrencyLimit(aSlotShare, aNow));
  const auto rate = m_rate.Usable();
  constexpr double kMillisecondsPerSecond = 1'000;
  return rate ? std::min(slots, rate->m_per_second * aSlotTimeMs / kMillisecondsPerSecond) : slots;
}

bool
SlotEndpoint::IsOverdue(const Held& aHeld, TimePoint aNow) const
{
  const double limit_ms = kOverdueFactor * aHeld.m_expected_first_byte_ms;
  return !aHeld.m_started_at &&
         aNow - aHeld.m_granted_at >
           kOverdueMargin + Milliseconds(static_cast<std::int64_t>(limit_ms));
}

bool
SlotEndpoint::IsSuspect(const Daemons& aDoubted, TimePoint aNow) const
{
  if (aNow < m_suspect_until) {
    return true;
  }
  return std::any_of(m_held.begin(), m_held.end(), [&](const auto& aEntry) {
    return IsOverdue(aEntry.second, aNow) && !aDoubted.contains(aEntry.first.m_daemon);
  });
}

bool
SlotEndpoint::IsSuspectFor(const Incarnation& aDaemon,
                           const Daemons& aDoubted,
                           TimePoint aNow) const
{
  if (IsSuspect(aDoubted, aNow)) {
    return true;
  }
  const auto failed = m_failures.find(aDaemon);
  if (failed != m_failures.end() && aNow - failed->second.m_last_at < kInitialBackOff) {
    return true;
  }
  return aDoubted.contains(aDaemon) &&
         std::any_of(m_held.begin(), m_held.end(), [&](const auto& aEntry) {
           return aEntry.first.m_daemon == aDaemon && IsOverdue(aEntry.second, aNow);
         });
}

void
SlotEndpoint::FindContradicted(TimePoint aNow, Daemons& aContradicted) const
{
  if (m_answered_at.empty()) {
    return;
  }
  const auto check = [&](const Incarnation& aDaemon, TimePoint aFailedAt) {
    // Until then answers may be reported that came before the failure.
    if (HasAnsweredOthers(aDaemon, aFailedAt + kReportDelay)) {
      aContradicted.insert(aDaemon);
    }
  };
  for (const auto& [daemon, failures] : m_failures) {
    if (aNow - failures.m_last_at < kEvidenceLifetime) {
      check(daemon, failures.m_first_at);
    }
  }
  for (const auto& [id, held] : m_held) {
    if (IsOverdue(held, aNow)) {
      check(id.m_daemon, held.m_granted_at);
    }
  }
}

bool
SlotEndpoint::HasAnsweredOthers(const Incarnation& aDaemon, TimePoint aSince) const
{
  return std::any_of(m_answered_at.begin(), m_answered_at.end(), [&](const auto& aEntry) {
    return aEntry.first != aDaemon && aEntry.second > aSince;
  });
}

void
SlotEndpoint::ForgetOldEvidence(TimePoint aNow)
{
  absl::erase_if(m_failures, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.m_last_at >= kEvidenceLifetime;
  });
  absl::erase_if(m_answered_at,
                 [aNow](const auto& aEntry) { return aNow - aEntry.second >= kEvidenceLifetime; });
}

double
SlotEndpoint::ExpectedFirstByteMs(const RequestWork& aWork) const
{
  return m_times.FirstByteSlowness() *
         ServiceTimeModel::ReferenceFirstByteMs(aWork, std::max(0.0, m_prompt_tokens_ahead));
}

double
SlotEndpoint::ExpectedTotalMs(const RequestWork& aWork) const
{
  return m_times.FirstByteSlowness() * ServiceTimeModel::ReferenceFirstByteMs(aWork, 0) +
         m_times.RestSlowness() * ServiceTimeModel::ReferenceRestMs(aWork);
}

std::optional<TimePoint>
SlotEndpoint::ExpectedRelease(std::size_t aNth, TimePoint aNow) const
{
  std::vector<TimePoint> releases;
  for (const auto& [id, held] : m_held) {
    const TimePoint started =
      held.m_started_at.value_or(After(held.m_granted_at, held.m_expected_first_byte_ms));
    const double rest_ms = m_times.RestSlowness() * ServiceTimeModel::ReferenceRestMs(held.m_work);
    const TimePoint release = After(started, rest_ms);
    if (release > aNow) {
      releases.push_back(release);
    }
  }
  if (aNth >= releases.size()) {
    return std::nullopt;
  }
  const auto nth = releases.begin() + static_cast<std::ptrdiff_t>(aNth);
  std::nth_element(releases.begin(), nth, releases.end());
  return *nth;
}

bool
SlotEndpoint::IsEstimateStale(TimePoint aNow) const
{
  return m_held.empty() && aNow - m_learned_at > kEstimateLifetime;
}

void
SlotEndpoint::CountBusyTime(TimePoint aNow)
{
  const auto elapsed = std::chrono::duration<double, std::milli>(aNow - m_busy_until);
  m_busy_ms += static_cast<double>(m_held.size()) * std::max(0.0, elapsed.count());
  m_busy_until = std::max(m_busy_until, aNow);
}

void
SlotEndpoint::LearnLimit(const Held& aHeld, TimePoint aNow)
{
  const double took = std::chrono::duration<double, std::milli>(aNow - aHeld.m_granted_at).count();
  // When an adopted request was sent is not known.
  if (!m_is_learning || aHeld.m_is_adopted || took <= 0) {
    return;
  }
  const double reference_ms = aHeld.m_expected_first_byte_ms / aHeld.m_first_byte_slowness +
                              ServiceTimeModel::ReferenceRestMs(aHeld.m_work);
  m_learned_limit.Record({ took / reference_ms, (m_busy_ms - aHeld.m_busy_before_ms) / took },
                         aNow);
}

void
SlotEndpoint::RecordOutcome(bool aIsFailure)
{
  m_failure_rate += kOutcomeWeight * ((aIsFailure ? 1.0 : 0.0) - m_failure_rate);
}

void
SlotEndpoint::Suspect(const Incarnation& aDaemon, const Daemons& aDoubted, TimePoint aNow)
{
  ForgetOldEvidence(aNow);
  const auto [failures, is_first] = m_failures.try_emplace(aDaemon, Failures{ aNow, aNow });
  failures->second.m_last_at = aNow;
  if (aDoubted.contains(aDaemon)) {
    return;
  }
  RecordOutcome(true);
  if (!is_first && aNow < m_suspect_until) {
    // The word of one daemon lengthens the back-off only by a try after it.
    return;
  }
  m_suspect_until = aNow + kInitialBackOff * (1 << m_consecutive_failures);
  m_consecutive_failures = std::min(m_consecutive_failures + 1, kMaxBackOffDoublings);
}

}
