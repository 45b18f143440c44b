#include <LibPlacement/PlaceEndpoint.h>

#include <algorithm>
#include <cmath>

namespace auburnhitch {

namespace {

// An answer is overdue after this many times its expected time and a pause on top, which covers a
// preempted run and the delay of the news about it.
constexpr double kOverdueFactor = 4;
constexpr Milliseconds kOverduePause{ 400 };
// First time for which an endpoint that cannot be reached gets no work; doubles with each strike.
constexpr Milliseconds kFirstDistrust{ 500 };
constexpr int kMostStrikes = 4;
// Time for which an endpoint that said it is full gets no more than it holds.
constexpr Milliseconds kFullTime{ 200 };
// Weight of a new outcome in the failure rate: about ten answers count.
constexpr double kOutcomeWeight = 0.1;

}

PlaceEndpoint::PlaceEndpoint(PlaceEndpointInfo aInfo, TimePoint aNow)
  : m_info(std::move(aInfo))
  , m_distrusted_until(aNow)
  , m_full_until(aNow)
{
}

void
PlaceEndpoint::Hold(const PlaceTicket& aTicket, const PlaceWork& aWork, TimePoint aNow)
{
  if (m_held.contains(aTicket)) {
    return;
  }
  m_held.emplace(aTicket, Held{ aWork, aNow, ExpectedFirstMs(aWork), std::nullopt });
  m_prompt_tokens_ahead += aWork.m_prompt_tokens;
}

std::optional<double>
PlaceEndpoint::NoteStarted(const PlaceTicket& aTicket, TimePoint aNow)
{
  const auto found = m_held.find(aTicket);
  if (found == m_held.end() || found->second.m_started_at) {
    return std::nullopt;
  }
  Held& held = found->second;
  held.m_started_at = aNow;
  m_prompt_tokens_ahead -= held.m_work.m_prompt_tokens;
  const double took = std::chrono::duration<double, std::milli>(aNow - held.m_granted_at).count();
  // Compared with what was expected then, which held the prompts ahead of it.
  m_times.LearnFirst(held.m_expected_first_ms / m_times.FirstSlowness(), took);
  m_strikes = 0;
  m_distrusted_until = aNow;
  return held.m_expected_first_ms > 0 ? std::optional(took / held.m_expected_first_ms)
                                      : std::nullopt;
}

bool
PlaceEndpoint::NoteEnded(const PlaceTicket& aTicket, PlaceEnd aEnd, TimePoint aNow)
{
  const auto found = m_held.find(aTicket);
  if (found == m_held.end()) {
    return false;
  }
  const Held held = found->second;
  if (!held.m_started_at) {
    m_prompt_tokens_ahead -= held.m_work.m_prompt_tokens;
  }
  m_held.erase(found);
  switch (aEnd) {
    case PlaceEnd::Complete:
      if (held.m_started_at) {
        m_times.LearnRest(
          ServiceTimeModel::ReferenceRestMs(held.m_work),
          std::chrono::duration<double, std::milli>(aNow - *held.m_started_at).count());
      }
      NoteOutcome(false);
      break;
    case PlaceEnd::Failed:
      NoteOutcome(true);
      break;
    case PlaceEnd::Refused:
      m_full_until = aNow + kFullTime;
      NoteOutcome(true);
      break;
    case PlaceEnd::Unreachable:
    case PlaceEnd::Broken:
      NoteOutcome(true);
      Distrust(aNow);
      break;
    case PlaceEnd::Cancelled:
      break;
  }
  return true;
}

void
PlaceEndpoint::ReleaseDaemon(const Incarnation& aDaemon)
{
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

std::size_t
PlaceEndpoint::Places(double aPart, TimePoint aNow) const
{
  const auto own = static_cast<std::size_t>(std::ceil(m_info.m_places * aPart));
  std::size_t places = std::max<std::size_t>(own, 1);
  if (aNow < m_full_until) {
    places = std::min(places, m_held.size());
  }
  return places;
}

bool
PlaceEndpoint::IsOverdue(const Held& aHeld, TimePoint aNow) const
{
  const double limit_ms = kOverdueFactor * aHeld.m_expected_first_ms;
  return !aHeld.m_started_at && aNow - aHeld.m_granted_at >
                                  kOverduePause + Milliseconds(static_cast<std::int64_t>(limit_ms));
}

bool
PlaceEndpoint::IsSuspect(TimePoint aNow) const
{
  if (aNow < m_distrusted_until) {
    return true;
  }
  return std::any_of(m_held.begin(), m_held.end(), [&](const auto& aEntry) {
    return IsOverdue(aEntry.second, aNow);
  });
}

double
PlaceEndpoint::ExpectedFirstMs(const PlaceWork& aWork) const
{
  return m_times.FirstSlowness() *
         ServiceTimeModel::ReferenceFirstMs(aWork, std::max(0.0, m_prompt_tokens_ahead));
}

double
PlaceEndpoint::ExpectedTotalMs(const PlaceWork& aWork) const
{
  return m_times.FirstSlowness() * ServiceTimeModel::ReferenceFirstMs(aWork, 0) +
         m_times.RestSlowness() * ServiceTimeModel::ReferenceRestMs(aWork);
}

void
PlaceEndpoint::NoteOutcome(bool aIsFailure)
{
  m_failure_rate += kOutcomeWeight * ((aIsFailure ? 1.0 : 0.0) - m_failure_rate);
}

void
PlaceEndpoint::Distrust(TimePoint aNow)
{
  m_distrusted_until = aNow + kFirstDistrust * (1 << m_strikes);
  m_strikes = std::min(m_strikes + 1, kMostStrikes);
}

}
