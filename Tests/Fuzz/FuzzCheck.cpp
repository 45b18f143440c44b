#include <LibCheck/ConfigurationChanges.h>
#include <LibCheck/ConfigurationRules.h>
#include <LibCheck/SettingsRules.h>
#include <cstdlib>
#include <platform/ConfigurationDecoder.h>

using namespace auburnhitch;

namespace {

constexpr const char* kInForce = R"({
  "version": 7,
  "routes": [{"name": "r", "host": "h", "path_prefix": "/", "route_kind": "safe", "service": "s"},
             {"name": "q", "host": "h", "path_prefix": "/a/", "route_kind": "stream",
              "split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]}],
  "services": [{"name": "s", "max_conns": 9}, {"name": "t"}],
  "tenants": [{"name": "w", "api_keys": ["k"], "rate_per_s": 5, "burst": 9}]})";

void
Require(bool aCondition)
{
  if (!aCondition) {
    std::abort();
  }
}

void
CheckAsConfiguration(const Json& aJson)
{
  Findings errors;
  ConfigurationSource source;
  const auto table = DecodeConfiguration(aJson, errors, source);
  Require((table == nullptr) == !errors.IsEmpty());
  if (table == nullptr) {
    return;
  }
  static const RoutingTablePtr s_in_force = [] {
    Findings findings;
    return DecodeConfiguration(kInForce, findings);
  }();
  const PlaceResolver resolver = [&](const ConfigurationPlace& aPlace) {
    return source.JsonPointerOf(aPlace);
  };
  CheckConfiguration(*table, resolver);
  CheckMemory(*table, GatewaySettings(), resolver);
  CheckChanges(*table, *s_in_force, resolver);
  CheckChanges(*s_in_force, *table, resolver);
  // A configuration takes nothing from itself; only its version is not a new one.
  Require(CheckChanges(*table, *table, resolver).size() == 1);
}

}

/// Decodes the input as a configuration and as the settings of a gateway, and applies all checks to
/// what is valid. Aborts if one is rejected without a finding or accepted with one, or if a
/// configuration differs from itself.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  Findings findings;
  const auto json = ParseJson({ reinterpret_cast<const char*>(aData), aSize }, findings);
  if (!json) {
    return 0;
  }
  CheckAsConfiguration(*json);
  Findings errors;
  const auto settings = GatewaySettings::FromJson(*json, errors);
  Require(settings.has_value() == errors.IsEmpty());
  if (settings) {
    CheckGatewaySettings(*settings);
  }
  return 0;
}
