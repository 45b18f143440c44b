#pragma once

#include <LibCheck/CheckFinding.h>
#include <LibGateway/GatewaySettings.h>

namespace auburnhitch {

/// Finds settings of a gateway that contradict each other or that it would misread. The pointers
/// are relative to the object of the gateway's settings. Thread-safe.
CheckFindings
CheckGatewaySettings(const GatewaySettings& aSettings);

}
