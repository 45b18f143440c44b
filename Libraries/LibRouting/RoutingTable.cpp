#include <LibRouting/RoutingTable.h>

#include <LibCore/Digest.h>
#include <absl/strings/ascii.h>
#include <numeric>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace auburnhitch {

const char*
NameOf(RequestKind aKind)
{
  switch (aKind) {
    case RequestKind::Safe:
      return "safe";
    case RequestKind::Unsafe:
      return "unsafe";
    case RequestKind::Stream:
      return "stream";
  }
  return "unknown";
}

RoutingTable::RoutingTable(std::int64_t aVersion,
                           std::vector<Route> aRoutes,
                           std::vector<RoutedService> aServices,
                           std::vector<RoutedWorkspace> aWorkspaces,
                           CallerLimits aLimits)
  : m_version(aVersion)
  , m_routes(std::move(aRoutes))
  , m_services(std::move(aServices))
  , m_workspaces(std::move(aWorkspaces))
  , m_limits(aLimits)
{
  for (std::size_t i = 0; i < m_routes.size(); ++i) {
    m_by_prefix[absl::AsciiStrToLower(m_routes[i].m_host)].emplace(m_routes[i].m_path_prefix, i);
  }
  for (std::size_t i = 0; i < m_workspaces.size(); ++i) {
    for (const std::string& digest : m_workspaces[i].m_key_digests) {
      m_by_key_digest.emplace(digest, i);
    }
  }
  for (std::size_t i = 0; i < m_services.size(); ++i) {
    m_by_service.emplace(m_services[i].m_name, i);
  }
}

const Route*
RoutingTable::Match(absl::string_view aHost, absl::string_view aPath) const
{
  const auto host = m_by_prefix.find(absl::AsciiStrToLower(aHost.substr(0, aHost.find(':'))));
  if (host == m_by_prefix.end()) {
    return nullptr;
  }
  // Every prefix ends with a slash, so only prefixes of the path that end at a slash can match.
  for (auto slash = aPath.rfind('/'); slash != absl::string_view::npos;
       slash = slash == 0 ? absl::string_view::npos : aPath.rfind('/', slash - 1)) {
    const auto found = host->second.find(aPath.substr(0, slash + 1));
    if (found != host->second.end()) {
      return &m_routes[found->second];
    }
  }
  return nullptr;
}

const RoutedWorkspace*
RoutingTable::FindByKey(absl::string_view aKey) const
{
  if (aKey.empty()) {
    return nullptr;
  }
  const auto found = m_by_key_digest.find(Sha256Hex(aKey));
  return found == m_by_key_digest.end() ? nullptr : &m_workspaces[found->second];
}

const RoutedService*
RoutingTable::FindService(const ServiceName& aName) const
{
  const auto found = m_by_service.find(aName);
  return found == m_by_service.end() ? nullptr : &m_services[found->second];
}

const ServiceName&
RoutingTable::ServiceFor(const Route& aRoute, absl::string_view aRequestId)
{
  const auto total =
    std::accumulate(aRoute.m_services.begin(),
                    aRoute.m_services.end(),
                    std::int64_t{ 0 },
                    [](auto aSum, auto& aShare) { return aSum + aShare.m_weight; });
  if (total <= 0 || aRoute.m_services.size() == 1) {
    return aRoute.m_services.front().m_service;
  }
  auto point = static_cast<std::int64_t>(XXH3_64bits(aRequestId.data(), aRequestId.size()) %
                                         static_cast<std::uint64_t>(total));
  for (const ServiceShare& share : aRoute.m_services) {
    point -= share.m_weight;
    if (point < 0) {
      return share.m_service;
    }
  }
  return aRoute.m_services.back().m_service;
}

}
