#include <LibCheck/ConfigurationRules.h>

#include "RuleReport.h"

#include <LibCore/Digest.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <utility>

namespace auburnhitch {

namespace {

using Field = ConfigurationField;
using Part = ConfigurationPart;

std::string
InMilliseconds(Milliseconds aTime)
{
  return absl::StrCat(aTime.count(), " ms");
}

// A request is matched by its host without a port.
void
FindHostsThatNeverMatch(const RoutingTable& aTable, RuleReport& aReport)
{
  for (std::size_t i = 0; i < aTable.Routes().size(); ++i) {
    const std::string& host = aTable.Routes()[i].m_host;
    if (absl::StrContains(host, ':') || absl::StrContains(host, '/')) {
      aReport.Add({ Part::Routes, i, Field::Host }, "must be a host without port and scheme", host);
    }
  }
}

// A request is matched by the parts of its path that end with a slash, without its query.
void
FindPathsThatNeverMatch(const RoutingTable& aTable, RuleReport& aReport)
{
  for (std::size_t i = 0; i < aTable.Routes().size(); ++i) {
    const std::string& prefix = aTable.Routes()[i].m_path_prefix;
    if (!absl::StartsWith(prefix, "/") || !absl::EndsWith(prefix, "/") ||
        absl::StrContains(prefix, '?')) {
      aReport.Add({ Part::Routes, i, Field::PathPrefix },
                  "must begin and end with a slash and have no query",
                  prefix);
    }
  }
}

// Of two routes with the same host and prefix, the first one gets all requests.
void
FindShadowedRoutes(const RoutingTable& aTable, RuleReport& aReport)
{
  absl::flat_hash_map<std::pair<std::string, std::string>, std::string> first;
  for (std::size_t i = 0; i < aTable.Routes().size(); ++i) {
    const Route& route = aTable.Routes()[i];
    const auto [found, is_first] =
      first.try_emplace({ absl::AsciiStrToLower(route.m_host), route.m_path_prefix }, route.m_name);
    if (!is_first) {
      aReport.Add({ Part::Routes, i },
                  "must have a host and prefix that no earlier route has",
                  absl::StrCat("those of route ", found->second, ", which gets all requests"));
    }
  }
}

void
FindServicesWithoutWeight(const RoutingTable& aTable, RuleReport& aReport)
{
  for (std::size_t i = 0; i < aTable.Routes().size(); ++i) {
    const std::vector<ServiceShare>& shares = aTable.Routes()[i].m_services;
    const bool has_weight =
      std::any_of(shares.begin(), shares.end(), [](const auto& aS) { return aS.m_weight > 0; });
    if (!has_weight) {
      aReport.Add({ Part::Routes, i, Field::Weight },
                  "must have a weight above 0",
                  absl::StrCat("no weight; ",
                               shares.front().m_service.Value(),
                               ", the first service, gets all requests"));
      continue;
    }
    for (std::size_t j = 0; j < shares.size(); ++j) {
      if (shares[j].m_weight == 0) {
        aReport.Add({ Part::Routes, i, Field::Weight, j },
                    "must be above 0",
                    absl::StrCat("0; ", shares[j].m_service.Value(), " gets no requests"));
      }
    }
  }
}

void
FindUnknownServices(const RoutingTable& aTable, RuleReport& aReport)
{
  // Daemons route by names alone, so a configuration may do without the list.
  if (aTable.Services().empty()) {
    return;
  }
  for (std::size_t i = 0; i < aTable.Routes().size(); ++i) {
    const std::vector<ServiceShare>& shares = aTable.Routes()[i].m_services;
    for (std::size_t j = 0; j < shares.size(); ++j) {
      if (aTable.FindService(shares[j].m_service) == nullptr) {
        aReport.Add({ Part::Routes, i, Field::RoutedService, j },
                    "must be in the list of services",
                    shares[j].m_service.Value());
      }
    }
  }
}

void
FindUnroutedServices(const RoutingTable& aTable, RuleReport& aReport)
{
  absl::flat_hash_set<ServiceName> routed;
  for (const Route& route : aTable.Routes()) {
    for (const ServiceShare& share : route.m_services) {
      routed.insert(share.m_service);
    }
  }
  for (std::size_t i = 0; i < aTable.Services().size(); ++i) {
    const ServiceName& name = aTable.Services()[i].m_name;
    if (!routed.contains(name)) {
      aReport.Add(
        { Part::Services, i, Field::Name }, "must be a service that a route names", name.Value());
    }
  }
}

void
FindRepeatedServices(const RoutingTable& aTable, RuleReport& aReport)
{
  absl::flat_hash_set<ServiceName> known;
  for (std::size_t i = 0; i < aTable.Services().size(); ++i) {
    const ServiceName& name = aTable.Services()[i].m_name;
    if (!known.insert(name).second) {
      aReport.Add({ Part::Services, i, Field::Name },
                  "must differ from the names before; only the first entry counts",
                  name.Value());
    }
  }
}

void
FindRepeatedWorkspaces(const RoutingTable& aTable, RuleReport& aReport)
{
  absl::flat_hash_set<WorkspaceName> known;
  for (std::size_t i = 0; i < aTable.Workspaces().size(); ++i) {
    const WorkspaceName& name = aTable.Workspaces()[i].m_name;
    if (!known.insert(name).second) {
      aReport.Add({ Part::Workspaces, i, Field::Name },
                  "must differ from the names before; a name has one quota",
                  name.Value());
    }
  }
}

void
FindWorkspacesWithoutKeys(const RoutingTable& aTable, RuleReport& aReport)
{
  for (std::size_t i = 0; i < aTable.Workspaces().size(); ++i) {
    if (aTable.Workspaces()[i].m_key_digests.empty()) {
      aReport.Add({ Part::Workspaces, i, Field::Keys }, "must have a key", "none");
    }
  }
}

// A request without a key does not match an empty one.
void
FindEmptyKeys(const RoutingTable& aTable, RuleReport& aReport)
{
  const std::string empty = Sha256Hex("");
  for (std::size_t i = 0; i < aTable.Workspaces().size(); ++i) {
    const std::vector<std::string>& digests = aTable.Workspaces()[i].m_key_digests;
    for (std::size_t j = 0; j < digests.size(); ++j) {
      if (digests[j] == empty) {
        aReport.Add({ Part::Workspaces, i, Field::Keys, j }, "must not be empty", "an empty key");
      }
    }
  }
}

void
FindSharedKeys(const RoutingTable& aTable, RuleReport& aReport)
{
  absl::flat_hash_map<std::string, std::size_t> holders;
  for (std::size_t i = 0; i < aTable.Workspaces().size(); ++i) {
    const std::vector<std::string>& digests = aTable.Workspaces()[i].m_key_digests;
    for (std::size_t j = 0; j < digests.size(); ++j) {
      const std::size_t holder = holders.try_emplace(digests[j], i).first->second;
      if (holder != i) {
        aReport.Add({ Part::Workspaces, i, Field::Keys, j },
                    "must be a key that no other workspace has",
                    absl::StrCat("a key of workspace ",
                                 aTable.Workspaces()[holder].m_name.Value(),
                                 ", to which its requests count"));
      }
    }
  }
}

void
FindRoutesOpenToAll(const RoutingTable& aTable, RuleReport& aReport)
{
  const bool needs_keys = std::any_of(aTable.Routes().begin(),
                                      aTable.Routes().end(),
                                      [](const Route& aRoute) { return !aRoute.m_is_public; });
  if (needs_keys && !aTable.HasWorkspaces()) {
    aReport.Add({ Part::Workspaces },
                "must have a workspace, since a route is not public",
                "none; every caller is admitted without a key");
  }
}

void
FindObjectivesOverTimeout(const RoutingTable& aTable, RuleReport& aReport)
{
  for (std::size_t i = 0; i < aTable.Routes().size(); ++i) {
    const Route& route = aTable.Routes()[i];
    if (route.m_objective > route.m_timeout) {
      aReport.Add(
        { Part::Routes, i, Field::Objective },
        absl::StrCat("must be at most ", InMilliseconds(route.m_timeout), ", the timeout"),
        InMilliseconds(route.m_objective));
    }
  }
}

void
FindTimeoutsOverMaxWait(const RoutingTable& aTable, RuleReport& aReport)
{
  for (std::size_t i = 0; i < aTable.Routes().size(); ++i) {
    const Milliseconds timeout = aTable.Routes()[i].m_timeout;
    if (timeout > kDefaultMaxWait) {
      aReport.Add({ Part::Routes, i, Field::Timeout },
                  absl::StrCat("must be at most ",
                               InMilliseconds(kDefaultMaxWait),
                               ", for which a caller waits that states no time"),
                  InMilliseconds(timeout));
    }
  }
}

void
FindZeroTimes(const RoutingTable& aTable, RuleReport& aReport)
{
  const auto check = [&](const ConfigurationPlace& aPlace, Milliseconds aTime) {
    if (aTime == Milliseconds(0)) {
      aReport.Add(aPlace, "must be at least 1 ms", InMilliseconds(aTime));
    }
  };
  for (std::size_t i = 0; i < aTable.Routes().size(); ++i) {
    check({ Part::Routes, i, Field::Timeout }, aTable.Routes()[i].m_timeout);
    check({ Part::Routes, i, Field::Objective }, aTable.Routes()[i].m_objective);
  }
  check({ Part::Limits, std::nullopt, Field::HeadTimeout }, aTable.Limits().m_head_timeout);
  check({ Part::Limits, std::nullopt, Field::IdleTimeout }, aTable.Limits().m_idle_timeout);
}

/// What a request that states no token count is charged.
std::int64_t
DefaultCharge(const RoutedWorkspace& aWorkspace)
{
  return aWorkspace.m_counts_tokens ? aWorkspace.m_default_tokens : 1;
}

void
FindQuotasUnderOneRequest(const RoutingTable& aTable, RuleReport& aReport)
{
  for (std::size_t i = 0; i < aTable.Workspaces().size(); ++i) {
    const RoutedWorkspace& workspace = aTable.Workspaces()[i];
    if (workspace.m_tokens_per_second > 0 && workspace.m_burst_tokens < DefaultCharge(workspace)) {
      aReport.Add(
        { Part::Workspaces, i, Field::BurstTokens },
        absl::StrCat("must be at least ", DefaultCharge(workspace), ", which one request counts"),
        absl::StrCat(workspace.m_burst_tokens));
    }
  }
}

void
FindBurstsUnderOneSecond(const RoutingTable& aTable, RuleReport& aReport)
{
  for (std::size_t i = 0; i < aTable.Workspaces().size(); ++i) {
    const RoutedWorkspace& workspace = aTable.Workspaces()[i];
    if (workspace.m_burst_tokens < workspace.m_tokens_per_second) {
      aReport.Add({ Part::Workspaces, i, Field::BurstTokens },
                  absl::StrCat(
                    "must be at least ", workspace.m_tokens_per_second, ", one second of the rate"),
                  absl::StrCat(workspace.m_burst_tokens));
    }
  }
}

void
FindBurstsWithoutRate(const RoutingTable& aTable, RuleReport& aReport)
{
  for (std::size_t i = 0; i < aTable.Workspaces().size(); ++i) {
    const RoutedWorkspace& workspace = aTable.Workspaces()[i];
    if (workspace.m_tokens_per_second == 0 && workspace.m_burst_tokens > 0) {
      aReport.Add({ Part::Workspaces, i, Field::TokensPerSecond },
                  "must be above 0 beside a burst",
                  "0, which sets no limit");
    }
  }
}

struct ConfigurationRule
{
  const char* m_name;
  void (*m_find)(const RoutingTable&, RuleReport&);
};

constexpr std::array kConfigurationRules{
  ConfigurationRule{ "host-never-matches", FindHostsThatNeverMatch },
  ConfigurationRule{ "path-never-matches", FindPathsThatNeverMatch },
  ConfigurationRule{ "route-shadowed", FindShadowedRoutes },
  ConfigurationRule{ "weight-zero", FindServicesWithoutWeight },
  ConfigurationRule{ "service-unknown", FindUnknownServices },
  ConfigurationRule{ "service-unrouted", FindUnroutedServices },
  ConfigurationRule{ "service-repeated", FindRepeatedServices },
  ConfigurationRule{ "workspace-repeated", FindRepeatedWorkspaces },
  ConfigurationRule{ "workspace-without-key", FindWorkspacesWithoutKeys },
  ConfigurationRule{ "key-empty", FindEmptyKeys },
  ConfigurationRule{ "key-shared", FindSharedKeys },
  ConfigurationRule{ "open-to-all", FindRoutesOpenToAll },
  ConfigurationRule{ "objective-over-timeout", FindObjectivesOverTimeout },
  ConfigurationRule{ "timeout-over-wait", FindTimeoutsOverMaxWait },
  ConfigurationRule{ "time-zero", FindZeroTimes },
  ConfigurationRule{ "quota-under-request", FindQuotasUnderOneRequest },
  ConfigurationRule{ "burst-under-rate", FindBurstsUnderOneSecond },
  ConfigurationRule{ "burst-without-rate", FindBurstsWithoutRate },
};

void
FindBodiesOverMemory(const RoutingTable& aTable,
                     const GatewaySettings& aSettings,
                     RuleReport& aReport)
{
  const std::size_t body = aTable.Limits().m_max_body_bytes;
  const std::size_t budget = aSettings.MaxCallerMemoryBytes();
  if (body > budget) {
    aReport.Add({ Part::Limits, std::nullopt, Field::MaxBodyBytes },
                absl::StrCat("must be at most ", budget, " bytes, which all bodies may take"),
                absl::StrCat(body, " bytes"));
  }
}

void
FindHeadsOverMemory(const RoutingTable& aTable,
                    const GatewaySettings& aSettings,
                    RuleReport& aReport)
{
  constexpr std::size_t kBytesPerMib = 1 << 20;
  if (aSettings.m_max_memory_mib == 0) {
    return;
  }
  const std::size_t memory = static_cast<std::size_t>(aSettings.m_max_memory_mib) * kBytesPerMib;
  const std::size_t connections = aSettings.MaxCallerConnections();
  const std::size_t max_head = memory / std::max<std::size_t>(1, connections);
  if (aTable.Limits().m_max_head_bytes > max_head) {
    aReport.Add({ Part::Limits, std::nullopt, Field::MaxHeadBytes },
                absl::StrCat("must be at most ",
                             max_head,
                             " bytes, so that the memory holds one for each of ",
                             connections,
                             " connections"),
                absl::StrCat(aTable.Limits().m_max_head_bytes, " bytes"));
  }
}

struct MemoryRule
{
  const char* m_name;
  void (*m_find)(const RoutingTable&, const GatewaySettings&, RuleReport&);
};

constexpr std::array kMemoryRules{
  MemoryRule{ "body-over-memory", FindBodiesOverMemory },
  MemoryRule{ "heads-over-memory", FindHeadsOverMemory },
};

}

CheckFindings
CheckConfiguration(const RoutingTable& aTable, const PlaceResolver& aResolver)
{
  CheckFindings findings;
  for (const ConfigurationRule& rule : kConfigurationRules) {
    RuleReport report(rule.m_name, aResolver, findings);
    rule.m_find(aTable, report);
  }
  return findings;
}

CheckFindings
CheckMemory(const RoutingTable& aTable,
            const GatewaySettings& aSettings,
            const PlaceResolver& aResolver)
{
  CheckFindings findings;
  for (const MemoryRule& rule : kMemoryRules) {
    RuleReport report(rule.m_name, aResolver, findings);
    rule.m_find(aTable, aSettings, report);
  }
  return findings;
}

}
