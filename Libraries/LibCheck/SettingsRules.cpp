#include <LibCheck/SettingsRules.h>

#include <LibHttp/HttpServer.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>

namespace auburnhitch {

namespace {

constexpr const char* kAnyAddress = "0.0.0.0";

struct ListeningAddress
{
  const char* m_key;
  SocketAddress GatewaySettings::*m_address;
};

constexpr std::array kListeningAddresses{
  ListeningAddress{ "caller_address", &GatewaySettings::m_caller_address },
  ListeningAddress{ "readiness_address", &GatewaySettings::m_readiness_address },
  ListeningAddress{ "directory_address", &GatewaySettings::m_directory_address },
  ListeningAddress{ "metrics_address", &GatewaySettings::m_metrics_address },
  ListeningAddress{ "peer_address", &GatewaySettings::m_peer_address },
};

/// Whether a process cannot listen on both addresses.
bool
Collide(const SocketAddress& aLeft, const SocketAddress& aRight)
{
  const auto left = SplitSocketAddress(aLeft);
  const auto right = SplitSocketAddress(aRight);
  if (!left.ok() || !right.ok() || left->second != right->second || left->second == 0) {
    return false;
  }
  return left->first == right->first || left->first == kAnyAddress || right->first == kAnyAddress;
}

void
FindCollidingAddresses(const GatewaySettings& aSettings, CheckFindings& aFindings)
{
  for (std::size_t i = 0; i < kListeningAddresses.size(); ++i) {
    const auto& [key, address] = kListeningAddresses[i];
    for (std::size_t j = 0; j < i; ++j) {
      if (Collide(aSettings.*address, aSettings.*kListeningAddresses[j].m_address)) {
        aFindings.push_back({ "address-taken",
                              absl::StrCat("/", key),
                              absl::StrCat("must differ from ", kListeningAddresses[j].m_key),
                              (aSettings.*address).Value() });
      }
    }
  }
}

// The log treats an unknown level as "off".
void
FindUnknownLogLevel(const GatewaySettings& aSettings, CheckFindings& aFindings)
{
  constexpr std::array kLevels{ "trace", "debug", "info",     "warning", "warn",
                                "error", "err",   "critical", "off" };
  if (std::find(kLevels.begin(), kLevels.end(), aSettings.m_log_level) == kLevels.end()) {
    aFindings.push_back({ "log-level-unknown",
                          "/log_level",
                          "must be trace, debug, info, warning, error, critical or off",
                          absl::StrCat(aSettings.m_log_level, ", which writes no log") });
  }
}

void
FindStopWithoutTime(const GatewaySettings& aSettings, CheckFindings& aFindings)
{
  if (aSettings.m_stop_grace == Milliseconds(0)) {
    aFindings.push_back({ "stop-without-time",
                          "/bounds/stop_grace_s",
                          "must be above 0, so that running requests end",
                          "0" });
  }
}

constexpr std::array kRules{ FindCollidingAddresses, FindUnknownLogLevel, FindStopWithoutTime };

}

CheckFindings
CheckGatewaySettings(const GatewaySettings& aSettings)
{
  CheckFindings findings;
  for (const auto rule : kRules) {
    rule(aSettings, findings);
  }
  return findings;
}

}
