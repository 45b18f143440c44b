#include <LibPlacement/EndpointRateLimit.h>

#include <algorithm>

namespace auburnhitch {

namespace {

// Only a response shows that a limit has ended or risen, so an endpoint that accepts no requests
// still gets one every four seconds.
constexpr double kMinRequestsPerSecond = 0.25;

}

bool
EndpointRateLimit::Apply(const std::optional<RequestRate>& aStated,
                         std::optional<TimePoint> aSentAt,
                         TimePoint aNow)
{
  const bool is_changed = m_stated.Apply(aStated, aSentAt, aNow);
  if (is_changed) {
    UpdateBucket(aNow);
  }
  return is_changed;
}

void
EndpointRateLimit::SetShare(double aShare, TimePoint aNow)
{
  if (aShare == m_share) {
    return;
  }
  m_share = aShare;
  UpdateBucket(aNow);
}

std::optional<RequestRate>
EndpointRateLimit::Usable() const
{
  if (!Stated()) {
    return std::nullopt;
  }
  return RequestRate{ std::max(Stated()->m_per_second, kMinRequestsPerSecond) * m_share };
}

void
EndpointRateLimit::UpdateBucket(TimePoint aNow)
{
  const auto rate = Usable();
  if (!rate) {
    m_bucket = std::nullopt;
  } else if (m_bucket) {
    m_bucket->SetRate(*rate, aNow);
  } else {
    m_bucket.emplace(*rate, aNow);
  }
}

void
EndpointRateLimit::RecordSent(TimePoint aNow)
{
  if (m_bucket) {
    m_bucket->Take(aNow);
  }
}

}
