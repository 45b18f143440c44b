#include <LibGateway/EndpointReach.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>

namespace auburnhitch {

void
EndpointReach::RecordConnected()
{
  std::erase_if(m_failures,
                [](const auto& aEntry) { return aEntry.second == Failure::NotEstablished; });
}

void
EndpointReach::RecordHeard(bool aIsNewConnection, TimePoint aNow)
{
  m_heard_at = aNow;
  m_silent.clear();
  m_must_connect = false;
  if (aIsNewConnection) {
    m_failures.clear();
  }
}

void
EndpointReach::RecordFailure(const EndpointId& aEndpoint, Failure aFailure, TimePoint aNow)
{
  if (aNow - m_failed_at >= m_limits.m_failure_lifetime) {
    m_failures.clear();
  }
  m_failures[aEndpoint] = aFailure;
  m_failed_at = aNow;
}

void
EndpointReach::RecordConnectFailure(const EndpointId& aEndpoint, TimePoint aNow)
{
  RecordFailure(aEndpoint, Failure::NotEstablished, aNow);
}

void
EndpointReach::RecordUnanswered(const EndpointId& aEndpoint, TimePoint aNow)
{
  RecordFailure(aEndpoint, Failure::Unanswered, aNow);
}

void
EndpointReach::RecordAwaited(const EndpointId& aEndpoint, Duration aSilence, TimePoint aNow)
{
  if (aSilence >= m_limits.m_min_silence && Silence(aNow) >= m_limits.m_min_silence) {
    m_silent.insert(aEndpoint);
  }
}

void
EndpointReach::RecordProbeAnswered()
{
  m_must_connect = m_must_connect || !m_silent.empty();
  m_silent.clear();
  m_failures.clear();
}

void
EndpointReach::RecordPaused(TimePoint aNow)
{
  m_heard_at = aNow;
  m_silent.clear();
}

bool
EndpointReach::ShouldProbe(TimePoint aNow)
{
  if (aNow - m_probed_at < m_limits.m_probe_interval || !(IsSilent(aNow) || CannotConnect(aNow))) {
    return false;
  }
  m_probed_at = aNow;
  return true;
}

std::set<EndpointId>
EndpointReach::InQuestion() const
{
  std::set<EndpointId> endpoints = m_silent;
  for (const auto& [endpoint, failure] : m_failures) {
    endpoints.insert(endpoint);
  }
  return endpoints;
}

bool
EndpointReach::IsSilent(TimePoint aNow) const
{
  return m_silent.size() >= m_limits.m_min_endpoints && Silence(aNow) >= m_limits.m_min_silence;
}

std::size_t
EndpointReach::Count(Failure aFailure) const
{
  return static_cast<std::size_t>(
    std::count_if(m_failures.begin(), m_failures.end(), [aFailure](const auto& aEntry) {
      return aEntry.second == aFailure;
    }));
}

bool
EndpointReach::CannotConnect(TimePoint aNow) const
{
  return m_failures.size() >= m_limits.m_min_endpoints &&
         aNow - m_failed_at < m_limits.m_failure_lifetime;
}

bool
EndpointReach::IsCutOff(TimePoint aNow) const
{
  return CannotConnect(aNow) && Silence(aNow) >= m_limits.m_min_silence;
}

bool
EndpointReach::IsRefusedByAll(TimePoint aNow) const
{
  return IsCutOff(aNow) && Count(Failure::NotEstablished) >= m_limits.m_min_endpoints;
}

bool
EndpointReach::ShouldAvoid(bool aMayRunAgain, TimePoint aNow)
{
  if (!CannotConnect(aNow)) {
    return false;
  }
  const bool may_be_lost = Count(Failure::Unanswered) > 0;
  if (aNow - m_trial_at < m_limits.m_trial_interval || (may_be_lost && !aMayRunAgain)) {
    return true;
  }
  m_trial_at = aNow;
  return false;
}

std::string
EndpointReach::Describe(TimePoint aNow) const
{
  const std::string failures =
    absl::StrJoin(m_failures, ",", [](std::string* aOut, const auto& aEntry) {
      absl::StrAppend(aOut,
                      aEntry.first.Value(),
                      aEntry.second == Failure::NotEstablished ? ":not-established"
                                                               : ":unanswered");
    });
  const std::string silent =
    absl::StrJoin(m_silent, ",", [](std::string* aOut, const EndpointId& aEndpoint) {
      absl::StrAppend(aOut, aEndpoint.Value());
    });
  return absl::StrCat("failures=",
                      failures.empty() ? "none" : failures,
                      " last_failure_ms=",
                      failures.empty() ? -1 : ToMilliseconds(aNow - m_failed_at),
                      " unheard_ms=",
                      m_heard_at == TimePoint() ? -1 : ToMilliseconds(Silence(aNow)),
                      " silent=",
                      silent.empty() ? "none" : silent);
}

}
