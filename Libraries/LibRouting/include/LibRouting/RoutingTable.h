#pragma once

#include <LibRouting/Route.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <memory>

namespace auburnhitch {

/// One version of the configuration, indexed so that the cost of a look-up does not depend on the
/// number of routes and workspaces. Immutable; may be read from any thread.
class RoutingTable
{
public:
  RoutingTable(std::int64_t aVersion,
               std::vector<Route> aRoutes,
               std::vector<RoutedService> aServices,
               std::vector<RoutedWorkspace> aWorkspaces,
               CallerLimits aLimits);
  RoutingTable(const RoutingTable&) = delete;
  RoutingTable& operator=(const RoutingTable&) = delete;

  std::int64_t Version() const { return m_version; }
  const CallerLimits& Limits() const { return m_limits; }
  const std::vector<Route>& Routes() const { return m_routes; }
  const std::vector<RoutedService>& Services() const { return m_services; }
  const std::vector<RoutedWorkspace>& Workspaces() const { return m_workspaces; }

  /// Returns the route of the host with the longest prefix of the path, or null. A port in aHost is
  /// ignored.
  const Route* Match(absl::string_view aHost, absl::string_view aPath) const;
  /// Returns the workspace to which a key belongs, or null.
  const RoutedWorkspace* FindByKey(absl::string_view aKey) const;
  const RoutedService* FindService(const ServiceName& aName) const;
  bool HasWorkspaces() const { return !m_workspaces.empty(); }

  /// Selects the service of a route for a request, by weight. All daemons select the same service
  /// for the same request id.
  static const ServiceName& ServiceFor(const Route& aRoute, absl::string_view aRequestId);

private:
  std::int64_t m_version;
  std::vector<Route> m_routes;
  std::vector<RoutedService> m_services;
  std::vector<RoutedWorkspace> m_workspaces;
  CallerLimits m_limits;
  absl::flat_hash_map<std::string, absl::flat_hash_map<std::string, std::size_t>> m_by_prefix;
  absl::flat_hash_map<std::string, std::size_t> m_by_key_digest;
  absl::flat_hash_map<ServiceName, std::size_t> m_by_service;
};

using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

}
