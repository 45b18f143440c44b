#pragma once

#include <array>

namespace auburnhitch {

/// The versions of the balance policy, each with the ideas of those before it. The earlier ones
/// stay, to be measured against.
enum class BalancePolicy
{
  /// Least expected time, from learned speeds.
  ExpectedTime,
  /// Requests with one prefix prefer the same few engines.
  PrefixAffinity,
  /// Requests that are overdue count against their engine before they end.
  OverdueEvidence,
  /// Lower tiers may take only part of an endpoint's window, over all daemons together.
  TierSlotShares,
  /// Lower tiers keep to the same few endpoints, which higher tiers use last.
  TierEndpoints,
  /// Work that may be shed is started only if it is expected to end in time.
  DeadlineFeasibility,
};

constexpr BalancePolicy kCurrentBalancePolicy = BalancePolicy::DeadlineFeasibility;

/// All versions, the oldest first.
inline constexpr std::array kBalancePolicies{
  BalancePolicy::ExpectedTime,   BalancePolicy::PrefixAffinity, BalancePolicy::OverdueEvidence,
  BalancePolicy::TierSlotShares, BalancePolicy::TierEndpoints,  BalancePolicy::DeadlineFeasibility
};

/// A short name for reports.
constexpr const char*
NameOf(BalancePolicy aPolicy)
{
  switch (aPolicy) {
    case BalancePolicy::ExpectedTime:
      return "expected time";
    case BalancePolicy::PrefixAffinity:
      return "prefix homes";
    case BalancePolicy::OverdueEvidence:
      return "overdue evidence";
    case BalancePolicy::TierSlotShares:
      return "tier parts";
    case BalancePolicy::TierEndpoints:
      return "tier homes";
    case BalancePolicy::DeadlineFeasibility:
      return "only what ends";
  }
  return "";
}

}
