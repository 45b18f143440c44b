#pragma once

#include "Settings.h"

#include <LibGateway/GatewaySettings.h>
#include <variant>

namespace auburnhitch {

/// The key of a settings file below which the settings of a gateway lie.
constexpr const char* kGatewayKey = "gateway";

/// The settings of either kind of daemon: with its own interface, or as a gateway.
using AnySettings = std::variant<Settings, GatewaySettings>;

/// Decodes the content of a settings file. Returns nothing and records findings if any setting is
/// invalid. Thread-safe.
std::optional<AnySettings>
DecodeSettings(const Json& aJson, Findings& aFindings);

/// Whether a JSON text is a settings file, valid or not, rather than another kind of document.
/// Thread-safe.
bool
IsSettings(const Json& aJson);

}
