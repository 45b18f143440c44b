#include <LibPlacement/TokenBucket.h>

#include <algorithm>

namespace auburnhitch {

namespace {

// A bucket holds the tokens of this time, at least one: decisions are made every 20 ms, so a bucket
// of one token alone would hold back rates above 50 a second.
constexpr double kBurstSeconds = 0.1;

}

TokenBucket::TokenBucket(RequestRate aRate, TimePoint aNow)
  : m_rate(aRate)
  , m_refilled_at(aNow)
{
}

double
TokenBucket::Capacity() const
{
  return std::max(1.0, m_rate.m_per_second * kBurstSeconds);
}

double
TokenBucket::LevelAt(TimePoint aNow) const
{
  const double passed = std::chrono::duration<double>(aNow - m_refilled_at).count();
  return std::min(Capacity(), m_level + std::max(0.0, passed) * m_rate.m_per_second);
}

void
TokenBucket::SetRate(RequestRate aRate, TimePoint aNow)
{
  m_level = LevelAt(aNow);
  m_refilled_at = aNow;
  m_rate = aRate;
  m_level = std::min(m_level, Capacity());
}

void
TokenBucket::Take(TimePoint aNow)
{
  m_level = LevelAt(aNow) - 1;
  m_refilled_at = aNow;
}

}
