#include <LibPlacement/StatedRateLimit.h>

namespace auburnhitch {

bool
StatedRateLimit::Apply(const std::optional<RequestRate>& aStated,
                       std::optional<TimePoint> aSentAt,
                       TimePoint aNow)
{
  if (aStated && (!m_limit || *aStated <= *m_limit)) {
    const bool is_changed = m_limit != aStated;
    m_limit = aStated;
    m_stated_at = aNow;
    return is_changed;
  }
  const bool is_newer = aSentAt && *aSentAt > m_stated_at;
  if (!m_limit || !is_newer) {
    return false;
  }
  m_limit = aStated;
  m_stated_at = aNow;
  return true;
}

}
