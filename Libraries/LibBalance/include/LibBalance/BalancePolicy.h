#pragma once

#include <array>

namespace auburnhitch {

/// The versions of the balancing policy. Each version adds one rule to those before it; the earlier
/// versions are kept so that a simulation can compare them.
enum class BalancePolicy
{
  /// Chooses the endpoint with the shortest expected time, estimated from its observed speed.
  ExpectedTime,
  /// Requests with the same prefix prefer the same few engines, where the prefix is cached.
  PrefixAffinity,
  /// A request that takes longer than expected raises the estimate for its engine before it ends.
  OverdueEvidence,
  /// Lower tiers may take only a share of an endpoint's concurrency limit, over all daemons.
  TierSlotShares,
  /// Lower tiers use only some of the endpoints, the same ones on every daemon. The top tier
  /// prefers the others.
  TierEndpoints,
  /// A request that may be shed is started only if it is expected to end before its deadline.
  DeadlineFeasibility,
};

constexpr BalancePolicy kCurrentBalancePolicy = BalancePolicy::DeadlineFeasibility;

/// All versions, oldest first.
inline constexpr std::array kBalancePolicies{
  BalancePolicy::ExpectedTime,   BalancePolicy::PrefixAffinity, BalancePolicy::OverdueEvidence,
  BalancePolicy::TierSlotShares, BalancePolicy::TierEndpoints,  BalancePolicy::DeadlineFeasibility
};

/// Returns a short name for reports.
constexpr const char*
NameOf(BalancePolicy aPolicy)
{
  switch (aPolicy) {
    case BalancePolicy::ExpectedTime:
      return "expected time";
    case BalancePolicy::PrefixAffinity:
      return "prefix affinity";
    case BalancePolicy::OverdueEvidence:
      return "overdue evidence";
    case BalancePolicy::TierSlotShares:
      return "tier slot shares";
    case BalancePolicy::TierEndpoints:
      return "tier endpoints";
    case BalancePolicy::DeadlineFeasibility:
      return "deadline feasibility";
  }
  return "";
}

}
