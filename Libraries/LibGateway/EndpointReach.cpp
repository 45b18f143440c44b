#include <LibGateway/EndpointReach.h>

namespace auburnhitch {

void
EndpointReach::RecordConnected()
{
  m_unreached.clear();
}

void
EndpointReach::RecordHeard(bool aIsNewConnection, TimePoint aNow)
{
  m_heard_at = aNow;
  m_silent.clear();
  if (aIsNewConnection) {
    m_unreached.clear();
    m_unanswered.clear();
  }
}

void
EndpointReach::ForgetOldFailures(TimePoint aNow)
{
  if (aNow - m_failed_at >= m_limits.m_failure_lifetime) {
    m_unreached.clear();
    m_unanswered.clear();
  }
}

void
EndpointReach::RecordConnectFailure(const EndpointId& aEndpoint, TimePoint aNow)
{
  ForgetOldFailures(aNow);
  m_unreached.insert(aEndpoint);
  m_failed_at = aNow;
}

void
EndpointReach::RecordUnanswered(const EndpointId& aEndpoint, TimePoint aNow)
{
  ForgetOldFailures(aNow);
  m_unanswered.insert(aEndpoint);
  m_failed_at = aNow;
}

void
EndpointReach::RecordAwaited(const EndpointId& aEndpoint,
                             Duration aSilence,
                             bool aIsUnanswered,
                             TimePoint aNow)
{
  if (aSilence < m_limits.m_min_silence || Silence(aNow) < m_limits.m_min_silence) {
    return;
  }
  m_silent.insert(aEndpoint);
  if (aIsUnanswered && IsSilent(aNow) && aSilence >= m_limits.m_unanswered_after) {
    RecordUnanswered(aEndpoint, aNow);
  }
}

void
EndpointReach::RecordGivenUp(const EndpointId& aEndpoint, Duration aSilence, TimePoint aNow)
{
  if (aSilence >= m_limits.m_min_silence && (IsSilent(aNow) || IsUnanswered())) {
    RecordUnanswered(aEndpoint, aNow);
  }
}

bool
EndpointReach::IsSilent(TimePoint aNow) const
{
  return m_silent.size() >= m_limits.m_min_endpoints && Silence(aNow) >= m_limits.m_min_silence;
}

bool
EndpointReach::CannotConnect(TimePoint aNow) const
{
  return (m_unreached.size() >= m_limits.m_min_endpoints || IsUnanswered()) &&
         aNow - m_failed_at < m_limits.m_failure_lifetime;
}

bool
EndpointReach::IsCutOff(TimePoint aNow) const
{
  return CannotConnect(aNow) && Silence(aNow) >= m_limits.m_min_silence;
}

bool
EndpointReach::ShouldAvoid(bool aMayRunAgain, TimePoint aNow)
{
  if (!CannotConnect(aNow)) {
    return false;
  }
  if (aNow - m_trial_at < m_limits.m_trial_interval || (IsUnanswered() && !aMayRunAgain)) {
    return true;
  }
  m_trial_at = aNow;
  return false;
}

}
