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

/// How far the sum of what all daemons admit may pass a quota.
struct QuotaTolerance
{
  /// Part of the quota.
  double m_overage = 0;
  /// Tokens in each window besides.
  double m_slack_tokens = 0;
  Milliseconds m_window{ 8'000 };
  /// Part of the tolerance that is granted to callers while all daemons are heard; the rest covers
  /// what daemons admit before they hear of each other, and daemons that start anew. While some are
  /// not heard nothing of it is granted.
  double m_granted_share = 0.75;

  bool operator==(const QuotaTolerance&) const = default;
};

/// Keeps the quotas of workspaces over all daemons. Each daemon follows one bucket a workspace,
/// from which its own spending and what other daemons tell of theirs is taken. The part of daemons
/// that are not heard is left to them, so that a daemon that is cut off and those that miss it do
/// not spend the same tokens. Answers the load of one workspace that sends many times its quota at
/// all daemons. Pure: owns no clock. Not thread-safe.
class QuotaLedger
{
public:
  explicit QuotaLedger(QuotaTolerance aTolerance)
    : m_tolerance(aTolerance)
  {
  }

  /// Tells how many daemons there are and how many of them are heard, with this one.
  void SetDaemonCount(std::size_t aAlive, std::size_t aKnown);
  /// Takes over the workspaces of a configuration. Buckets of workspaces that stay keep their
  /// level.
  void SetWorkspaces(const std::vector<RoutedWorkspace>& aWorkspaces, TimePoint aNow);

  /// Takes tokens if the quota allows it. True for workspaces without a quota.
  bool TrySpend(const WorkspaceName& aWorkspace, std::int64_t aTokens, TimePoint aNow);
  /// Gives back what was taken for a request that did not run.
  void Refund(const WorkspaceName& aWorkspace, std::int64_t aTokens);
  /// Time until the bucket holds the tokens.
  Milliseconds TimeUntilAvailable(const WorkspaceName& aWorkspace,
                                  std::int64_t aTokens,
                                  TimePoint aNow) const;

  /// Grows with each change of this daemon's own spending.
  std::uint64_t Changes() const { return m_changes; }
  /// What this daemon has spent since its start; only workspaces that were ever used.
  std::vector<WorkspaceSpending> OwnSpending() const;
  /// Takes what another daemon has spent since its start.
  void RecordPeerSpending(const Incarnation& aPeer,
                          const std::vector<WorkspaceSpending>& aSpending,
                          TimePoint aNow);
  /// Drops what is kept of a daemon that is gone for good.
  void ForgetPeer(const Incarnation& aPeer) { m_peer_spending.erase(aPeer); }

private:
  struct Bucket
  {
    double m_tokens_per_second = 0;
    double m_burst = 0;
    double m_level = 0;
    TimePoint m_refilled_at;
    std::int64_t m_own_spent = 0;
  };

  /// The part of the tolerance that is granted now.
  double GrantedShare() const { return m_alive_share < 1 ? 0 : m_tolerance.m_granted_share; }
  double CapacityOf(const Bucket& aBucket) const;
  double RefillPerSecond(const Bucket& aBucket) const;
  double LevelAt(const Bucket& aBucket, TimePoint aNow) const;
  void Refill(Bucket& aBucket, TimePoint aNow);

  QuotaTolerance m_tolerance;
  double m_alive_share = 1.0;
  std::uint64_t m_changes = 0;
  std::optional<TimePoint> m_started_at;
  absl::flat_hash_map<WorkspaceName, Bucket> m_buckets;
  absl::flat_hash_map<Incarnation, absl::flat_hash_map<WorkspaceName, std::int64_t>>
    m_peer_spending;
};

}
