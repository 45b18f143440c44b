#include <LibCheck/ConfigurationChanges.h>
#include <LibCheck/ConfigurationRules.h>
#include <LibCheck/SettingsRules.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <doctest.h>
#include <platform/ConfigurationDecoder.h>

using namespace auburnhitch;

namespace {

/// A configuration without findings.
Json
Correct()
{
  return Json::parse(R"({
    "version": 7,
    "routes": [
      {"name": "chat", "host": "h.example", "path_prefix": "/chat/", "route_kind": "stream",
       "timeout_ms": 8000, "slo_ms": 800, "service": "llm", "attempts": 2, "resumable": true},
      {"name": "split", "host": "h.example", "path_prefix": "/", "route_kind": "safe",
       "timeout_ms": 1000, "slo_ms": 150,
       "split": [{"service": "llm", "weight": 90}, {"service": "plain", "weight": 10}]}],
    "services": [{"name": "llm", "max_conns": 360, "engine": {"slots": 4}},
                 {"name": "plain", "max_conns": 9}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "a", "api_keys": ["k1", "k2"], "unit": "tokens",
                 "uncached_tokens": 200, "rate_per_s": 5000, "burst": 6000},
                {"name": "b", "api_keys": ["k3"], "rate_per_s": 10, "burst": 20}]})");
}

/// The configuration with a JSON patch.
Json
Patched(const char* aPatch)
{
  return Correct().patch(Json::parse(aPatch));
}

struct Decoded
{
  explicit Decoded(const Json& aJson)
  {
    Findings errors;
    m_table = DecodeConfiguration(aJson, errors, m_source);
    REQUIRE_MESSAGE(m_table != nullptr, errors.Describe("c"));
  }

  PlaceResolver Resolver() const
  {
    return [this](const ConfigurationPlace& aPlace) { return m_source.JsonPointerOf(aPlace); };
  }

  ConfigurationSource m_source;
  RoutingTablePtr m_table;
};

/// "RULE POINTER" of each finding, sorted.
std::vector<std::string>
PlacesOf(const CheckFindings& aFindings)
{
  std::vector<std::string> places;
  for (const CheckFinding& finding : aFindings) {
    CHECK_FALSE(finding.m_expected.empty());
    CHECK_FALSE(finding.m_came.empty());
    places.push_back(absl::StrCat(finding.m_rule, " ", finding.m_json_pointer));
  }
  std::sort(places.begin(), places.end());
  return places;
}

std::vector<std::string>
PlacesOf(const Findings& aFindings)
{
  std::vector<std::string> places;
  for (const Finding& finding : aFindings.All()) {
    places.push_back(finding.m_json_pointer);
  }
  return places;
}

GatewaySettings
SettingsWith(const char* aMembers)
{
  Json json{ { "host", "n" },
             { "data_center", "z" },
             { "caller_address", "127.0.0.1:1" },
             { "readiness_address", "127.0.0.1:2" },
             { "directory_address", "127.0.0.1:3" },
             { "metrics_address", "127.0.0.1:4" },
             { "peer_address", "127.0.0.1:5" },
             { "store_address", "127.0.0.1:6" } };
  json.update(Json::parse(aMembers));
  Findings findings;
  const auto settings = GatewaySettings::FromJson(json, findings);
  REQUIRE_MESSAGE(settings, findings.Describe("s"));
  return *settings;
}

struct Case
{
  const char* m_patch;
  std::vector<std::string> m_expected;
};

}

// Guards against rules that overlook a fault or report it elsewhere, and against findings in a
// sound configuration.
TEST_CASE("Check: each contradiction of a configuration is found at its place")
{
  const std::vector<Case> cases{
    { "[]", {} },
    // Never matched.
    { R"([{"op": "replace", "path": "/routes/0/host", "value": "h.example:80"}])",
      { "host-never-matches /routes/0/host" } },
    { R"([{"op": "replace", "path": "/routes/0/host", "value": "http://h"}])",
      { "host-never-matches /routes/0/host" } },
    { R"([{"op": "replace", "path": "/routes/0/path_prefix", "value": "/chat"}])",
      { "path-never-matches /routes/0/path_prefix" } },
    { R"([{"op": "replace", "path": "/routes/0/path_prefix", "value": "chat/"}])",
      { "path-never-matches /routes/0/path_prefix" } },
    { R"([{"op": "replace", "path": "/routes/0/path_prefix", "value": "/a?b/"}])",
      { "path-never-matches /routes/0/path_prefix" } },
    { R"([{"op": "replace", "path": "/routes/1/path_prefix", "value": "/chat/"},
          {"op": "replace", "path": "/routes/1/host", "value": "H.Example"}])",
      { "route-shadowed /routes/1" } },
    { R"([{"op": "replace", "path": "/routes/1/split/1/weight", "value": 0}])",
      { "weight-zero /routes/1/split/1/weight" } },
    { R"([{"op": "replace", "path": "/routes/1/split/0/weight", "value": 0},
          {"op": "replace", "path": "/routes/1/split/1/weight", "value": 0}])",
      { "weight-zero /routes/1/split" } },
    { R"([{"op": "replace", "path": "/routes/0/service", "value": "lm"}])",
      { "service-unknown /routes/0/service" } },
    { R"([{"op": "replace", "path": "/routes/1/split/1/service", "value": "lm"}])",
      { "service-unknown /routes/1/split/1/service", "service-unrouted /services/1/name" } },
    { R"([{"op": "remove", "path": "/services"}])", {} },
    { R"([{"op": "add", "path": "/services/-", "value": {"name": "llm"}}])",
      { "service-repeated /services/2/name" } },
    { R"([{"op": "replace", "path": "/tenants/1/name", "value": "a"}])",
      { "workspace-repeated /tenants/1/name" } },
    { R"([{"op": "replace", "path": "/tenants/1/api_keys", "value": []}])",
      { "workspace-without-key /tenants/1/api_keys" } },
    { R"([{"op": "add", "path": "/tenants/1/api_keys/-", "value": ""}])",
      { "key-empty /tenants/1/api_keys/1" } },
    { R"([{"op": "add", "path": "/tenants/1/api_keys/-", "value": "k2"}])",
      { "key-shared /tenants/1/api_keys/1" } },
    { R"([{"op": "add", "path": "/tenants/0/api_keys/-", "value": "k2"}])", {} },
    { R"([{"op": "remove", "path": "/tenants"}])", { "open-to-all /tenants" } },
    // Limits that contradict each other.
    { R"([{"op": "replace", "path": "/routes/1/slo_ms", "value": 1000}])", {} },
    { R"([{"op": "replace", "path": "/routes/1/slo_ms", "value": 1001}])",
      { "objective-over-timeout /routes/1/slo_ms" } },
    { R"([{"op": "replace", "path": "/routes/0/timeout_ms", "value": 30000}])", {} },
    { R"([{"op": "replace", "path": "/routes/0/timeout_ms", "value": 30001}])",
      { "timeout-over-wait /routes/0/timeout_ms" } },
    { R"([{"op": "replace", "path": "/routes/0/slo_ms", "value": 0}])",
      { "time-zero /routes/0/slo_ms" } },
    { R"([{"op": "replace", "path": "/limits/idle_timeout_ms", "value": 0}])",
      { "time-zero /limits/idle_timeout_ms" } },
    { R"([{"op": "replace", "path": "/tenants/0/uncached_tokens", "value": 6001}])",
      { "quota-under-request /tenants/0/burst" } },
    { R"([{"op": "add", "path": "/tenants/1/uncached_tokens", "value": 6001}])", {} },
    { R"([{"op": "replace", "path": "/tenants/1/burst", "value": 0}])",
      { "burst-under-rate /tenants/1/burst", "quota-under-request /tenants/1/burst" } },
    { R"([{"op": "replace", "path": "/tenants/0/burst", "value": 4999}])",
      { "burst-under-rate /tenants/0/burst" } },
    { R"([{"op": "replace", "path": "/tenants/0/rate_per_s", "value": 0}])",
      { "burst-without-rate /tenants/0/rate_per_s" } },
  };
  for (const Case& entry : cases) {
    const std::string patch = entry.m_patch;
    CAPTURE(patch);
    const Decoded decoded(Patched(entry.m_patch));
    CHECK(PlacesOf(CheckConfiguration(*decoded.m_table, decoded.Resolver())) == entry.m_expected);
  }
}

// Guards against a change that takes something from callers and passes unnoticed, and against
// findings in a change that takes nothing.
TEST_CASE("Check: what a version takes from callers of the version in force is found")
{
  const std::vector<Case> cases{
    { "[]", {} },
    { R"([{"op": "replace", "path": "/version", "value": 6}])", { "version-ignored /version" } },
    { R"([{"op": "replace", "path": "/version", "value": 7}])", { "version-ignored /version" } },
    { R"([{"op": "remove", "path": "/routes/1"}])", { "route-lost /routes" } },
    // The route below takes the requests, most of them in the same service.
    { R"([{"op": "remove", "path": "/routes/0"}])",
      { "route-limit-shrunk /routes/0/attempts",
        "route-limit-shrunk /routes/0/resumable",
        "route-limit-shrunk /routes/0/timeout_ms",
        "route-moved /routes/0/split" } },
    { R"([{"op": "replace", "path": "/routes/0/service", "value": "plain"}])",
      { "route-moved /routes/0/service" } },
    { R"([{"op": "replace", "path": "/routes/1/split/0/weight", "value": 50}])",
      { "route-moved /routes/1/split" } },
    // The same shares in other numbers.
    { R"([{"op": "replace", "path": "/routes/1/split/0/weight", "value": 9},
          {"op": "replace", "path": "/routes/1/split/1/weight", "value": 1}])",
      {} },
    // A new route takes requests from one in force.
    { R"([{"op": "add", "path": "/routes/-", "value":
           {"name": "n", "host": "H.example", "path_prefix": "/chat/new/", "route_kind": "stream",
            "timeout_ms": 8000, "service": "plain", "attempts": 2, "resumable": true}}])",
      { "route-moved /routes/2/service" } },
    { R"([{"op": "add", "path": "/routes/-", "value":
           {"name": "n", "host": "n.example", "path_prefix": "/", "route_kind": "safe",
            "service": "plain"}}])",
      {} },
    { R"([{"op": "add", "path": "/routes/0/public", "value": true}])",
      { "route-opened /routes/0/public" } },
    { R"([{"op": "remove", "path": "/tenants/0/api_keys/1"}])",
      { "key-lost /tenants/0/api_keys" } },
    { R"([{"op": "remove", "path": "/tenants/1"}])", { "key-lost /tenants" } },
    { R"([{"op": "replace", "path": "/tenants/1/name", "value": "c"}])",
      { "key-moved /tenants/1/api_keys" } },
    { R"([{"op": "replace", "path": "/routes/0/timeout_ms", "value": 7999}])",
      { "route-limit-shrunk /routes/0/timeout_ms" } },
    { R"([{"op": "replace", "path": "/routes/0/timeout_ms", "value": 8001}])", {} },
    { R"([{"op": "replace", "path": "/tenants/0/rate_per_s", "value": 4999}])",
      { "quota-shrunk /tenants/0/rate_per_s" } },
    { R"([{"op": "replace", "path": "/tenants/0/rate_per_s", "value": 0}])", {} },
    { R"([{"op": "replace", "path": "/tenants/0/burst", "value": 5999}])",
      { "quota-shrunk /tenants/0/burst" } },
    { R"([{"op": "replace", "path": "/tenants/0/unit", "value": "requests"}])",
      { "quota-shrunk /tenants/0/unit" } },
    { R"([{"op": "replace", "path": "/services/1/max_conns", "value": 8}])",
      { "service-limit-shrunk /services/1/max_conns" } },
    { R"([{"op": "replace", "path": "/services/1/max_conns", "value": 0}])", {} },
    { R"([{"op": "replace", "path": "/limits/max_body_bytes", "value": 4194303}])",
      { "caller-limit-shrunk /limits/max_body_bytes" } },
    { R"([{"op": "remove", "path": "/limits"}])", {} },
  };
  const Decoded in_force(Correct());
  for (const Case& entry : cases) {
    const std::string patch = entry.m_patch;
    CAPTURE(patch);
    const std::string next = R"([{"op": "replace", "path": "/version", "value": 8}])";
    const Decoded changed(Correct().patch(Json::parse(next)).patch(Json::parse(entry.m_patch)));
    CHECK(PlacesOf(CheckChanges(*changed.m_table, *in_force.m_table, changed.Resolver())) ==
          entry.m_expected);
  }
}

// Guards against an open configuration that is closed unnoticed, and the reverse.
TEST_CASE("Check: callers without a key that lose or get access are found")
{
  const Decoded closed(Correct());
  const Decoded open(Patched(R"([{"op": "remove", "path": "/tenants"},
                                 {"op": "replace", "path": "/version", "value": 8}])"));
  CHECK(
    PlacesOf(CheckChanges(*open.m_table, *closed.m_table, open.Resolver())) ==
    std::vector<std::string>{ "route-opened /routes/0/public", "route-opened /routes/1/public" });
  const Decoded later(Patched(R"([{"op": "replace", "path": "/version", "value": 9}])"));
  CHECK(PlacesOf(CheckChanges(*later.m_table, *open.m_table, later.Resolver())) ==
        std::vector<std::string>{ "key-now-needed /routes/0/public",
                                  "key-now-needed /routes/1/public" });
}

// Guards against values that daemons accept, but read as something else.
TEST_CASE("Check: the decoder states what it reads otherwise than it is written")
{
  const std::vector<Case> cases{
    { "[]", {} },
    { R"([{"op": "add", "path": "/routes/0/split", "value": {"service": "plain"}}])",
      { "/routes/0/split" } },
    { R"([{"op": "add", "path": "/routes/0/split", "value": []}])", {} },
    { R"([{"op": "add", "path": "/routes/1/service", "value": "llm"}])", {} },
    { R"([{"op": "add", "path": "/routes/1/service", "value": "other"}])",
      { "/routes/1/service" } },
    { R"([{"op": "replace", "path": "/services/0/engine", "value": true}])",
      { "/services/0/engine" } },
    { R"([{"op": "add", "path": "/tenants/0/priority", "value": "1"}])",
      { "/tenants/0/priority" } },
    { R"([{"op": "add", "path": "/tenants/0/priority", "value": null}])", {} },
    { R"([{"op": "replace", "path": "/tenants/0/unit", "value": "token"}])",
      { "/tenants/0/unit" } },
    { R"([{"op": "replace", "path": "/tenants/0/rate_per_s", "value": "5"}])",
      { "/tenants/0/rate_per_s" } },
    { R"([{"op": "replace", "path": "/tenants/0/rate_per_s", "value": 0.5}])",
      { "/tenants/0/rate_per_s" } },
    { R"([{"op": "replace", "path": "/tenants/0/rate_per_s", "value": 2.5}])", {} },
    { R"([{"op": "replace", "path": "/tenants/0/burst", "value": -1}])", { "/tenants/0/burst" } },
  };
  for (const Case& entry : cases) {
    const std::string patch = entry.m_patch;
    CAPTURE(patch);
    CHECK(PlacesOf(Decoded(Patched(entry.m_patch)).m_source.m_misread) == entry.m_expected);
  }
}

// Guards against keys of workspaces in the output, wherever a wrong document holds them.
TEST_CASE("Check: keys of workspaces are secret, other values of theirs are not")
{
  CHECK(IsSecretOfConfiguration("/tenants"));
  CHECK(IsSecretOfConfiguration("/tenants/0"));
  CHECK(IsSecretOfConfiguration("/tenants/0/api_keys"));
  CHECK(IsSecretOfConfiguration("/tenants/0/api_keys/3"));
  CHECK_FALSE(IsSecretOfConfiguration("/tenants/0/unit"));
  CHECK_FALSE(IsSecretOfConfiguration("/routes/0/slo_ms"));
}

// Guards against limits under which a host refuses every large request.
TEST_CASE("Check: limits of requests over a host's memory are found")
{
  const auto places = [](const char* aPatch, const char* aSettings) {
    const Decoded decoded(Patched(aPatch));
    return PlacesOf(CheckMemory(*decoded.m_table, SettingsWith(aSettings), decoded.Resolver()));
  };
  const std::vector<std::string> body{ "body-over-memory /limits/max_body_bytes" };
  CHECK(places("[]", "{}").empty());
  CHECK(places("[]", R"({"max_memory_mb": 160})").empty());
  const char* large = R"([{"op": "replace", "path": "/limits/max_body_bytes", "value": 41943041}])";
  CHECK(places(large, "{}").empty());
  CHECK(places(large, R"({"max_memory_mb": 160})") == body);
  const char* huge = R"([{"op": "replace", "path": "/limits/max_body_bytes", "value": 67108865}])";
  CHECK(places(huge, "{}") == body);
  const char* head = R"([{"op": "replace", "path": "/limits/max_header_bytes", "value": 1048576}])";
  CHECK(places(head, R"({"max_memory_mb": 160})") ==
        std::vector<std::string>{ "heads-over-memory /limits/max_header_bytes" });
  CHECK(places(head, "{}").empty());
}

// Guards against a gateway that cannot listen, writes no log or cuts its requests at once.
TEST_CASE("Check: contradictions in the settings of a gateway are found")
{
  const auto places = [](const char* aSettings) {
    return PlacesOf(CheckGatewaySettings(SettingsWith(aSettings)));
  };
  CHECK(places("{}").empty());
  CHECK(places(R"({"metrics_address": "127.0.0.1:1"})") ==
        std::vector<std::string>{ "address-taken /metrics_address" });
  CHECK(places(R"({"peer_address": "0.0.0.0:2"})") ==
        std::vector<std::string>{ "address-taken /peer_address" });
  CHECK(places(R"({"peer_address": "127.0.0.2:2"})").empty());
  CHECK(places(R"({"log_level": "verbose"})") ==
        std::vector<std::string>{ "log-level-unknown /log_level" });
  CHECK(places(R"({"bounds": {"stop_grace_s": 0}})") ==
        std::vector<std::string>{ "stop-without-time /bounds/stop_grace_s" });
}
