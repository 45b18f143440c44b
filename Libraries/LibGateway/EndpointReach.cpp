#include <LibGateway/EndpointReach.h>

namespace auburnhitch {

void
EndpointReach::RecordConnected(TimePoint aNow)
{
  m_unreached.clear();
  RecordHeard(aNow);
}

void
EndpointReach::RecordHeard(TimePoint aNow)
{
  m_heard_at = aNow;
  m_is_silent = false;
}

void
EndpointReach::RecordConnectFailure(const EndpointId& aEndpoint, TimePoint aNow)
{
  if (aNow - m_failed_at >= m_limits.m_failure_lifetime) {
    m_unreached.clear();
  }
  m_unreached.insert(aEndpoint);
  m_failed_at = aNow;
}

void
EndpointReach::RecordAwaited(const std::set<EndpointId>& aEndpoints, TimePoint aNow)
{
  m_is_silent = m_is_silent || (aEndpoints.size() >= m_limits.m_min_endpoints &&
                                aNow - m_heard_at >= m_limits.m_min_silence);
}

bool
EndpointReach::CannotConnect(TimePoint aNow) const
{
  return m_unreached.size() >= m_limits.m_min_endpoints &&
         aNow - m_failed_at < m_limits.m_failure_lifetime;
}

bool
EndpointReach::IsCutOff(TimePoint aNow) const
{
  return CannotConnect(aNow) && aNow - m_heard_at >= m_limits.m_min_silence;
}

bool
EndpointReach::ShouldAvoid(TimePoint aNow)
{
  if (!CannotConnect(aNow)) {
    return false;
  }
  if (aNow - m_trial_at < m_limits.m_trial_interval) {
    return true;
  }
  m_trial_at = aNow;
  return false;
}

}
