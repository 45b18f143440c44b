#include <LibCheck/ConfigurationChanges.h>

#include "RuleReport.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <array>
#include <map>
#include <numeric>
#include <set>

namespace auburnhitch {

namespace {

using Field = ConfigurationField;
using Part = ConfigurationPart;

/// The requests of one host and path prefix: the routes that they match before and after.
struct RoutedPath
{
  std::string m_host;
  std::string m_path;
  const Route* m_before = nullptr;
  const Route* m_after = nullptr;
};

/// Two versions of a configuration, matched with each other.
class Comparison
{
public:
  Comparison(const RoutingTable& aBefore, const RoutingTable& aAfter)
    : m_before(aBefore)
    , m_after(aAfter)
  {
    // Which route a path matches can only change at a prefix of either version.
    std::set<std::pair<std::string, std::string>> prefixes;
    for (const RoutingTable* table : { &aBefore, &aAfter }) {
      for (const Route& route : table->Routes()) {
        prefixes.emplace(absl::AsciiStrToLower(route.m_host), route.m_path_prefix);
      }
    }
    for (const auto& [host, path] : prefixes) {
      if (const Route* before = aBefore.Match(host, path)) {
        m_paths.push_back({ host, path, before, aAfter.Match(host, path) });
      }
    }
    for (std::size_t i = 0; i < aAfter.Workspaces().size(); ++i) {
      m_workspaces_after.try_emplace(aAfter.Workspaces()[i].m_name, i);
    }
  }

  const RoutingTable& Before() const { return m_before; }
  const RoutingTable& After() const { return m_after; }
  /// The paths that matched a route before.
  const std::vector<RoutedPath>& Paths() const { return m_paths; }

  ConfigurationPlace PlaceOf(const Route& aRouteAfter, Field aField = Field::Whole) const
  {
    return { Part::Routes,
             static_cast<std::size_t>(&aRouteAfter - m_after.Routes().data()),
             aField };
  }

  /// The number of a workspace after the change, if it still exists.
  std::optional<std::size_t> WorkspaceAfter(const WorkspaceName& aName) const
  {
    const auto found = m_workspaces_after.find(aName);
    return found == m_workspaces_after.end() ? std::nullopt : std::optional(found->second);
  }

private:
  const RoutingTable& m_before;
  const RoutingTable& m_after;
  std::vector<RoutedPath> m_paths;
  absl::flat_hash_map<WorkspaceName, std::size_t> m_workspaces_after;
};

std::string
Describe(const RoutedPath& aPath)
{
  return aPath.m_host + aPath.m_path;
}

void
FindVersionThatIsIgnored(const Comparison& aComparison, RuleReport& aReport)
{
  const std::int64_t before = aComparison.Before().Version();
  const std::int64_t after = aComparison.After().Version();
  if (after <= before) {
    aReport.Add(
      { Part::Document, std::nullopt, Field::Version },
      absl::StrCat("must be above ", before, ", the version in force, or daemons ignore it"),
      absl::StrCat(after));
  }
}

void
FindLostRoutes(const Comparison& aComparison, RuleReport& aReport)
{
  for (const RoutedPath& path : aComparison.Paths()) {
    if (path.m_after == nullptr) {
      aReport.Add({ Part::Routes },
                  absl::StrCat("must have a route for ", Describe(path), ", as in force"),
                  "none");
    }
  }
}

/// The share of each service in the requests of a route, in lowest terms.
std::map<ServiceName, std::int64_t>
SharesOf(const Route& aRoute)
{
  std::map<ServiceName, std::int64_t> shares;
  std::int64_t divisor = 0;
  for (const ServiceShare& share : aRoute.m_services) {
    if (share.m_weight > 0) {
      shares[share.m_service] += share.m_weight;
    }
  }
  if (shares.empty() || aRoute.m_services.size() == 1) {
    return { { aRoute.m_services.front().m_service, 1 } };
  }
  for (const auto& [service, weight] : shares) {
    divisor = std::gcd(divisor, weight);
  }
  for (auto& [service, weight] : shares) {
    weight /= divisor;
  }
  return shares;
}

std::string
Describe(const std::map<ServiceName, std::int64_t>& aShares)
{
  return absl::StrJoin(aShares, " and ", [](std::string* aText, const auto& aShare) {
    absl::StrAppend(aText, aShare.second, " to ", aShare.first.Value());
  });
}

void
FindMovedRoutes(const Comparison& aComparison, RuleReport& aReport)
{
  for (const RoutedPath& path : aComparison.Paths()) {
    if (path.m_after == nullptr) {
      continue;
    }
    const auto before = SharesOf(*path.m_before);
    const auto after = SharesOf(*path.m_after);
    if (before != after) {
      aReport.Add(
        aComparison.PlaceOf(*path.m_after, Field::RoutedService),
        absl::StrCat("must send requests of ", Describe(path), " as in force, ", Describe(before)),
        Describe(after));
    }
  }
}

bool
NeedsKey(const RoutingTable& aTable, const Route& aRoute)
{
  return aTable.HasWorkspaces() && !aRoute.m_is_public;
}

void
FindRoutesThatNeedKeys(const Comparison& aComparison, RuleReport& aReport)
{
  for (const RoutedPath& path : aComparison.Paths()) {
    if (path.m_after != nullptr && NeedsKey(aComparison.After(), *path.m_after) &&
        !NeedsKey(aComparison.Before(), *path.m_before)) {
      aReport.Add(
        aComparison.PlaceOf(*path.m_after, Field::IsPublic),
        absl::StrCat("must admit callers of ", Describe(path), " without a key, as in force"),
        "a key is needed");
    }
  }
}

void
FindOpenedRoutes(const Comparison& aComparison, RuleReport& aReport)
{
  for (const RoutedPath& path : aComparison.Paths()) {
    if (path.m_after != nullptr && !NeedsKey(aComparison.After(), *path.m_after) &&
        NeedsKey(aComparison.Before(), *path.m_before)) {
      aReport.Add(aComparison.PlaceOf(*path.m_after, Field::IsPublic),
                  absl::StrCat("must need a key for ", Describe(path), ", as in force"),
                  "every caller is admitted");
    }
  }
}

absl::flat_hash_map<std::string, WorkspaceName>
HoldersOfKeys(const RoutingTable& aTable)
{
  absl::flat_hash_map<std::string, WorkspaceName> holders;
  for (const RoutedWorkspace& workspace : aTable.Workspaces()) {
    for (const std::string& digest : workspace.m_key_digests) {
      holders.try_emplace(digest, workspace.m_name);
    }
  }
  return holders;
}

void
FindLostKeys(const Comparison& aComparison, RuleReport& aReport)
{
  // Without workspaces no key is needed.
  if (!aComparison.After().HasWorkspaces()) {
    return;
  }
  const auto holders_after = HoldersOfKeys(aComparison.After());
  std::map<WorkspaceName, int> lost;
  for (const auto& [digest, holder] : HoldersOfKeys(aComparison.Before())) {
    lost[holder] += holders_after.contains(digest) ? 0 : 1;
  }
  for (const auto& [name, count] : lost) {
    if (count == 0) {
      continue;
    }
    const auto after = aComparison.WorkspaceAfter(name);
    aReport.Add(after ? ConfigurationPlace{ Part::Workspaces, after, Field::Keys }
                      : ConfigurationPlace{ Part::Workspaces },
                absl::StrCat("must have the keys of workspace ", name.Value(), " in force"),
                absl::StrCat(count, " of them missing", after ? "" : ", as is the workspace"));
  }
}

void
FindMovedKeys(const Comparison& aComparison, RuleReport& aReport)
{
  const auto holders_after = HoldersOfKeys(aComparison.After());
  std::map<std::pair<WorkspaceName, WorkspaceName>, int> moved;
  for (const auto& [digest, holder] : HoldersOfKeys(aComparison.Before())) {
    const auto after = holders_after.find(digest);
    if (after != holders_after.end() && after->second != holder) {
      ++moved[{ holder, after->second }];
    }
  }
  for (const auto& [holders, count] : moved) {
    aReport.Add({ Part::Workspaces, aComparison.WorkspaceAfter(holders.second), Field::Keys },
                absl::StrCat("must have no key that belongs to workspace ",
                             holders.first.Value(),
                             " in force"),
                absl::StrCat(count, " of them"));
  }
}

/// Reports a limit that has shrunk; 0 stands for no limit where aZeroIsUnlimited.
template<typename T>
void
CompareLimit(const ConfigurationPlace& aPlace,
             T aBefore,
             T aAfter,
             bool aZeroIsUnlimited,
             RuleReport& aReport)
{
  const bool was_unlimited = aZeroIsUnlimited && aBefore == T{ 0 };
  const bool is_unlimited = aZeroIsUnlimited && aAfter == T{ 0 };
  const bool shrinks = was_unlimited ? !is_unlimited : !is_unlimited && aAfter < aBefore;
  if (!shrinks) {
    return;
  }
  aReport.Add(aPlace,
              was_unlimited ? std::string("must set no limit, as in force")
                            : absl::StrCat("must be at least ", aBefore, ", as in force"),
              absl::StrCat(aAfter));
}

void
FindShrunkRouteLimits(const Comparison& aComparison, RuleReport& aReport)
{
  for (const RoutedPath& path : aComparison.Paths()) {
    if (path.m_after == nullptr) {
      continue;
    }
    CompareLimit(aComparison.PlaceOf(*path.m_after, Field::Timeout),
                 path.m_before->m_timeout.count(),
                 path.m_after->m_timeout.count(),
                 false,
                 aReport);
    CompareLimit(aComparison.PlaceOf(*path.m_after, Field::MaxEndpoints),
                 path.m_before->m_max_endpoints,
                 path.m_after->m_max_endpoints,
                 false,
                 aReport);
    if (path.m_before->m_is_resumable && !path.m_after->m_is_resumable) {
      aReport.Add(aComparison.PlaceOf(*path.m_after, Field::IsResumable),
                  absl::StrCat("must let streams of ", Describe(path), " resume, as in force"),
                  "they do not");
    }
  }
}

void
FindShrunkQuotas(const Comparison& aComparison, RuleReport& aReport)
{
  // Of several entries with one name, the first one sets the quota.
  absl::flat_hash_set<WorkspaceName> known;
  for (const RoutedWorkspace& before : aComparison.Before().Workspaces()) {
    const auto number = aComparison.WorkspaceAfter(before.m_name);
    if (!number || !known.insert(before.m_name).second) {
      continue;
    }
    const RoutedWorkspace& after = aComparison.After().Workspaces()[*number];
    const auto unit = [](const RoutedWorkspace& aWorkspace) {
      return aWorkspace.m_counts_tokens ? "tokens" : "requests";
    };
    if (before.m_counts_tokens != after.m_counts_tokens) {
      aReport.Add({ Part::Workspaces, number, Field::QuotaUnit },
                  absl::StrCat("must count ", unit(before), ", as in force"),
                  unit(after));
      continue;
    }
    CompareLimit({ Part::Workspaces, number, Field::TokensPerSecond },
                 before.m_tokens_per_second,
                 after.m_tokens_per_second,
                 true,
                 aReport);
    // Without a rate there is no limit, whatever the burst is.
    if (before.m_tokens_per_second > 0 && after.m_tokens_per_second > 0) {
      CompareLimit({ Part::Workspaces, number, Field::BurstTokens },
                   before.m_burst_tokens,
                   after.m_burst_tokens,
                   false,
                   aReport);
    }
  }
}

void
FindShrunkServiceLimits(const Comparison& aComparison, RuleReport& aReport)
{
  const std::vector<RoutedService>& services = aComparison.After().Services();
  for (std::size_t i = 0; i < services.size(); ++i) {
    const RoutedService* before = aComparison.Before().FindService(services[i].m_name);
    const bool counts = aComparison.After().FindService(services[i].m_name) == &services[i];
    if (before != nullptr && counts) {
      CompareLimit({ Part::Services, i, Field::MaxConnections },
                   before->m_max_connections,
                   services[i].m_max_connections,
                   true,
                   aReport);
    }
  }
}

void
FindShrunkCallerLimits(const Comparison& aComparison, RuleReport& aReport)
{
  const CallerLimits& before = aComparison.Before().Limits();
  const CallerLimits& after = aComparison.After().Limits();
  const auto compare = [&](Field aField, auto aBefore, auto aAfter) {
    CompareLimit({ Part::Limits, std::nullopt, aField }, aBefore, aAfter, false, aReport);
  };
  compare(Field::MaxHeadBytes, before.m_max_head_bytes, after.m_max_head_bytes);
  compare(Field::MaxBodyBytes, before.m_max_body_bytes, after.m_max_body_bytes);
  compare(Field::HeadTimeout, before.m_head_timeout.count(), after.m_head_timeout.count());
  compare(Field::IdleTimeout, before.m_idle_timeout.count(), after.m_idle_timeout.count());
}

struct ChangeRule
{
  const char* m_name;
  void (*m_find)(const Comparison&, RuleReport&);
};

constexpr std::array kChangeRules{
  ChangeRule{ "version-ignored", FindVersionThatIsIgnored },
  ChangeRule{ "route-lost", FindLostRoutes },
  ChangeRule{ "route-moved", FindMovedRoutes },
  ChangeRule{ "key-now-needed", FindRoutesThatNeedKeys },
  ChangeRule{ "route-opened", FindOpenedRoutes },
  ChangeRule{ "key-lost", FindLostKeys },
  ChangeRule{ "key-moved", FindMovedKeys },
  ChangeRule{ "route-limit-shrunk", FindShrunkRouteLimits },
  ChangeRule{ "quota-shrunk", FindShrunkQuotas },
  ChangeRule{ "service-limit-shrunk", FindShrunkServiceLimits },
  ChangeRule{ "caller-limit-shrunk", FindShrunkCallerLimits },
};

}

CheckFindings
CheckChanges(const RoutingTable& aTable,
             const RoutingTable& aInForce,
             const PlaceResolver& aResolver)
{
  const Comparison comparison(aInForce, aTable);
  CheckFindings findings;
  for (const ChangeRule& rule : kChangeRules) {
    RuleReport report(rule.m_name, aResolver, findings);
    rule.m_find(comparison, report);
  }
  // Several paths may have moved to one route, whose limits then have been compared for each.
  std::set<CheckFinding> known;
  std::erase_if(findings,
                [&](const CheckFinding& aFinding) { return !known.insert(aFinding).second; });
  return findings;
}

}
