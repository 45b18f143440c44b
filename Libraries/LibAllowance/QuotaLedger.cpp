#include <LibAllowance/QuotaLedger.h>

#include <algorithm>

namespace auburnhitch {

namespace {

constexpr double kMillisecondsPerSecond = 1'000;
// Part of its share of a burst that a daemon starts with: enough for the first requests. What its
// earlier life spent is not known to it.
constexpr double kStartingPart = 0.25;
// A daemon that starts has heard all others after this time.
constexpr Milliseconds kYoungFor{ 1'000 };

double
SecondsOf(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

}

void
QuotaLedger::SetDaemonCount(std::size_t aAlive, std::size_t aKnown)
{
  const std::size_t known = std::max({ aKnown, aAlive, std::size_t{ 1 } });
  m_alive_share =
    static_cast<double>(std::max(aAlive, std::size_t{ 1 })) / static_cast<double>(known);
}

void
QuotaLedger::SetWorkspaces(const std::vector<RoutedWorkspace>& aWorkspaces, TimePoint aNow)
{
  m_started_at = m_started_at.value_or(aNow);
  absl::flat_hash_map<WorkspaceName, Bucket> buckets;
  for (const RoutedWorkspace& workspace : aWorkspaces) {
    const auto found = m_buckets.find(workspace.m_name);
    Bucket bucket;
    if (found != m_buckets.end()) {
      bucket = found->second;
      Refill(bucket, aNow);
      bucket.m_tokens_per_second = static_cast<double>(workspace.m_tokens_per_second);
      bucket.m_burst = static_cast<double>(workspace.m_burst_tokens);
      bucket.m_level = std::min(bucket.m_level, CapacityOf(bucket));
    } else {
      bucket.m_tokens_per_second = static_cast<double>(workspace.m_tokens_per_second);
      bucket.m_burst = static_cast<double>(workspace.m_burst_tokens);
      bucket.m_level = kStartingPart * CapacityOf(bucket);
      bucket.m_refilled_at = aNow;
    }
    buckets.emplace(workspace.m_name, bucket);
  }
  m_buckets = std::move(buckets);
}

double
QuotaLedger::RefillPerSecond(const Bucket& aBucket) const
{
  const double factor = 1 + m_tolerance.m_overage * GrantedShare();
  const double slack_per_second =
    m_tolerance.m_slack_tokens * GrantedShare() / SecondsOf(m_tolerance.m_window);
  return (aBucket.m_tokens_per_second * factor + slack_per_second) * m_alive_share;
}

double
QuotaLedger::CapacityOf(const Bucket& aBucket) const
{
  return aBucket.m_burst * (1 + m_tolerance.m_overage * GrantedShare()) * m_alive_share;
}

double
QuotaLedger::LevelAt(const Bucket& aBucket, TimePoint aNow) const
{
  const double filled = RefillPerSecond(aBucket) * SecondsOf(aNow - aBucket.m_refilled_at);
  return std::min(CapacityOf(aBucket), aBucket.m_level + filled);
}

void
QuotaLedger::Refill(Bucket& aBucket, TimePoint aNow)
{
  aBucket.m_level = LevelAt(aBucket, aNow);
  aBucket.m_refilled_at = aNow;
}

bool
QuotaLedger::TrySpend(const WorkspaceName& aWorkspace, std::int64_t aTokens, TimePoint aNow)
{
  const auto found = m_buckets.find(aWorkspace);
  if (found == m_buckets.end() || found->second.m_tokens_per_second == 0) {
    return true;
  }
  Bucket& bucket = found->second;
  Refill(bucket, aNow);
  // A request larger than the bucket waits for a full one, or it would never be served.
  const double needed = std::min(static_cast<double>(aTokens), CapacityOf(bucket));
  if (bucket.m_level < needed) {
    return false;
  }
  bucket.m_level -= static_cast<double>(aTokens);
  bucket.m_own_spent += aTokens;
  ++m_changes;
  return true;
}

void
QuotaLedger::Refund(const WorkspaceName& aWorkspace, std::int64_t aTokens)
{
  const auto found = m_buckets.find(aWorkspace);
  if (found == m_buckets.end() || found->second.m_tokens_per_second == 0) {
    return;
  }
  found->second.m_level += static_cast<double>(aTokens);
  found->second.m_own_spent -= aTokens;
  ++m_changes;
}

Milliseconds
QuotaLedger::TimeUntilAvailable(const WorkspaceName& aWorkspace,
                                std::int64_t aTokens,
                                TimePoint aNow) const
{
  const auto found = m_buckets.find(aWorkspace);
  if (found == m_buckets.end() || found->second.m_tokens_per_second == 0) {
    return Milliseconds(0);
  }
  const Bucket& bucket = found->second;
  const double needed = std::min(static_cast<double>(aTokens), CapacityOf(bucket));
  const double missing = std::max(0.0, needed - LevelAt(bucket, aNow));
  return Milliseconds(
    static_cast<std::int64_t>(missing / RefillPerSecond(bucket) * kMillisecondsPerSecond) + 1);
}

std::vector<WorkspaceSpending>
QuotaLedger::OwnSpending() const
{
  std::vector<WorkspaceSpending> spending;
  for (const auto& [name, bucket] : m_buckets) {
    if (bucket.m_own_spent != 0) {
      spending.push_back({ name, bucket.m_own_spent });
    }
  }
  return spending;
}

void
QuotaLedger::RecordPeerSpending(const Incarnation& aPeer,
                                const std::vector<WorkspaceSpending>& aSpending,
                                TimePoint aNow)
{
  const bool is_new = !m_peer_spending.contains(aPeer);
  const bool is_young = m_started_at && aNow - *m_started_at < kYoungFor;
  auto& known = m_peer_spending[aPeer];
  for (const WorkspaceSpending& spending : aSpending) {
    std::int64_t& last = known[spending.m_workspace];
    const std::int64_t spent = spending.m_tokens - last;
    last = spending.m_tokens;
    const auto found = m_buckets.find(spending.m_workspace);
    // To a daemon that starts, the others' spending lies in the past by an unknown time. To the
    // others, that of a daemon first heard is recent.
    if ((is_new && is_young) || found == m_buckets.end()) {
      continue;
    }
    Refill(found->second, aNow);
    found->second.m_level -= static_cast<double>(spent);
  }
}

}
