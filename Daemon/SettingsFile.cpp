#include "SettingsFile.h"

#include <algorithm>
#include <array>

namespace auburnhitch {

std::optional<AnySettings>
DecodeSettings(const Json& aJson, Findings& aFindings)
{
  const auto gateway = aJson.find(kGatewayKey);
  if (gateway == aJson.end()) {
    auto settings = Settings::FromJson(aJson, aFindings);
    return settings ? std::optional<AnySettings>(*std::move(settings)) : std::nullopt;
  }
  Findings findings;
  auto settings = GatewaySettings::FromJson(*gateway, findings);
  for (const Finding& finding : findings.All()) {
    aFindings.Add(std::string("/") + kGatewayKey + finding.m_json_pointer, finding.m_message);
  }
  return settings ? std::optional<AnySettings>(*std::move(settings)) : std::nullopt;
}

bool
IsSettings(const Json& aJson)
{
  constexpr std::array kKeys{ kGatewayKey, "operator_address", "log_service", "host_list" };
  return std::any_of(
    kKeys.begin(), kKeys.end(), [&](const char* aKey) { return aJson.contains(aKey); });
}

}
