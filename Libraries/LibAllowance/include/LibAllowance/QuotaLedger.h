#pragma once

#include <LibCore/Time.h>
#include <LibRouting/Route.h>
#include <absl/container/flat_hash_map.h>
#include <optional>
#include <vector>

namespace auburnhitch {

/// Tokens that one daemon has admitted for one workspace since its start.
struct WorkspaceSpending
{
  WorkspaceName m_workspace;
  std::int64_t m_tokens = 0;

  auto operator<=>(const WorkspaceSpending&) const = default;
};

/// By how much the sum of what all daemons admit may exceed a quota.
struct QuotaTolerance
{
  /// Share of the quota by which it may be exceeded.
  double m_overage = 0;
  /// Tokens that may be admitted in addition in each window.
  double m_slack_tokens = 0;
  Milliseconds m_window{ 8'000 };
  /// Share of the tolerance that is granted to callers while all daemons are alive. The rest covers
  /// what daemons admit before they receive each other's reports, and daemons that restart. While
  /// some daemons are not alive, nothing of the tolerance is granted.
  double m_granted_share = 0.75;

  bool operator==(const QuotaTolerance&) const = default;
};

/// Enforces the quotas of workspaces over all daemons. Each daemon keeps one token bucket for each
/// workspace and takes from it both its own spending and the spending that other daemons report.
/// The share of the daemons that are not alive is left to them, so that a partitioned daemon and
/// the others do not spend the same tokens. Limits a workspace that sends many times its quota to
/// all daemons. Owns no clock. Not thread-safe.
class QuotaLedger
{
public:
  explicit QuotaLedger(QuotaTolerance aTolerance)
    : m_tolerance(aTolerance)
  {
  }

  /// Sets how many daemons are known and how many of them are alive, both including this one.
  void SetDaemonCount(std::size_t aAlive, std::size_t aKnown);
  /// Sets the workspaces of a configuration. Buckets of workspaces that remain keep their level.
  void SetWorkspaces(const std::vector<RoutedWorkspace>& aWorkspaces, TimePoint aNow);

  /// Takes tokens if the quota allows it. Returns true for workspaces without a quota.
  bool TrySpend(const WorkspaceName& aWorkspace, std::int64_t aTokens, TimePoint aNow);
  /// Puts back the tokens that were taken for a request that did not run.
  void Refund(const WorkspaceName& aWorkspace, std::int64_t aTokens);
  /// Returns the time until the bucket holds the tokens.
  Milliseconds TimeUntilAvailable(const WorkspaceName& aWorkspace,
                                  std::int64_t aTokens,
                                  TimePoint aNow) const;

  /// Increases with each change of this daemon's own spending.
  std::uint64_t Changes() const { return m_changes; }
  /// Returns what this daemon has spent since its start, without workspaces that spent nothing.
  std::vector<WorkspaceSpending> OwnSpending() const;
  /// Takes from the buckets what another daemon has spent since its last report. aSpending holds
  /// its totals since its start.
  void RecordPeerSpending(const Incarnation& aPeer,
                          const std::vector<WorkspaceSpending>& aSpending,
                          TimePoint aNow);
  /// Drops the totals of a daemon that has been removed.
  void ForgetPeer(const Incarnation& aPeer) { m_peer_spending.erase(aPeer); }

private:
  struct Bucket
  {
    double m_tokens_per_second = 0;
    double m_burst = 0;
    double m_level = 0;
    TimePoint m_refilled_at;
    /// Tokens that this daemon has spent since its start.
    std::int64_t m_own_spent = 0;
  };

  /// Returns the share of the tolerance that is granted now.
  double GrantedShare() const { return m_alive_share < 1 ? 0 : m_tolerance.m_granted_share; }
  double CapacityOf(const Bucket& aBucket) const;
  double RefillPerSecond(const Bucket& aBucket) const;
  double LevelAt(const Bucket& aBucket, TimePoint aNow) const;
  void Refill(Bucket& aBucket, TimePoint aNow);

  QuotaTolerance m_tolerance;
  /// Share of the known daemons that are alive; they use this share of each quota.
  double m_alive_share = 1.0;
  std::uint64_t m_changes = 0;
  /// When workspaces were set first.
  std::optional<TimePoint> m_started_at;
  absl::flat_hash_map<WorkspaceName, Bucket> m_buckets;
  /// The totals that each daemon reported last.
  absl::flat_hash_map<Incarnation, absl::flat_hash_map<WorkspaceName, std::int64_t>>
    m_peer_spending;
};

}
