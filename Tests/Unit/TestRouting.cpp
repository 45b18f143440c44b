#include <LibCore/Digest.h>
#include <LibRouting/RoutingTable.h>

#include <doctest.h>
#include <map>

using namespace auburnhitch;

namespace {

Route
RouteOf(const char* aName, const char* aHost, const char* aPrefix)
{
  Route route;
  route.m_name = aName;
  route.m_host = aHost;
  route.m_path_prefix = aPrefix;
  route.m_services = { { ServiceName("s"), 1 } };
  return route;
}

RoutingTable
TableOf(std::vector<Route> aRoutes)
{
  RoutedWorkspace workspace;
  workspace.m_name = WorkspaceName("w");
  workspace.m_key_digests = { Sha256Hex("key-1"), Sha256Hex("key-2") };
  return RoutingTable(1, std::move(aRoutes), {}, { workspace }, CallerLimits());
}

}

TEST_CASE("A request matches the route of its host with the longest path prefix")
{
  const RoutingTable table = TableOf({ RouteOf("all", "h.example", "/"),
                                       RouteOf("a", "h.example", "/a/"),
                                       RouteOf("ab", "h.example", "/a/b/"),
                                       RouteOf("other", "o.example", "/a/") });
  const auto name = [&](const char* aHost, const char* aPath) {
    const Route* route = table.Match(aHost, aPath);
    return route == nullptr ? std::string("none") : route->m_name;
  };
  CHECK(name("h.example", "/a/b/c") == "ab");
  CHECK(name("h.example", "/a/b") == "a");
  CHECK(name("h.example", "/ab/") == "all");
  CHECK(name("h.example", "/") == "all");
  CHECK(name("H.Example:8080", "/a/x") == "a");
  CHECK(name("o.example", "/b/") == "none");
  CHECK(name("x.example", "/a/") == "none");
  CHECK(name("h.example", "") == "none");
}

TEST_CASE("A workspace is found only by a complete key, not by a prefix or a digest of one")
{
  const RoutingTable table = TableOf({});
  REQUIRE(table.FindByKey("key-1") != nullptr);
  CHECK(table.FindByKey("key-1")->m_name == WorkspaceName("w"));
  CHECK(table.FindByKey("key-2") != nullptr);
  CHECK(table.FindByKey("key-") == nullptr);
  CHECK(table.FindByKey("") == nullptr);
  CHECK(table.FindByKey(Sha256Hex("key-1")) == nullptr);
}

TEST_CASE("A split route gives each service its share, and the same request the same service")
{
  Route route = RouteOf("r", "h", "/");
  route.m_services = { { ServiceName("a"), 90 },
                       { ServiceName("b"), 10 },
                       { ServiceName("c"), 0 } };
  std::map<ServiceName, int> counts;
  constexpr int kRequests = 10'000;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "request-" + std::to_string(i);
    const ServiceName service = RoutingTable::ServiceFor(route, id);
    CHECK(service == RoutingTable::ServiceFor(route, id));
    ++counts[service];
  }
  CHECK(counts[ServiceName("a")] > 8'700);
  CHECK(counts[ServiceName("b")] > 700);
  CHECK(counts.count(ServiceName("c")) == 0);
}

TEST_CASE("Only safe requests and resumable streams are idempotent")
{
  Route route = RouteOf("r", "h", "/");
  route.m_kind = RequestKind::Unsafe;
  route.m_is_resumable = true;
  CHECK_FALSE(route.IsIdempotent());
  route.m_kind = RequestKind::Stream;
  CHECK(route.IsIdempotent());
  route.m_is_resumable = false;
  CHECK_FALSE(route.IsIdempotent());
  route.m_kind = RequestKind::Safe;
  CHECK(route.IsIdempotent());
}
