#pragma once

#include <LibCheck/CheckFinding.h>
#include <LibGateway/GatewaySettings.h>
#include <LibRouting/RoutingTable.h>

namespace auburnhitch {

/// Finds entries of a configuration that can never match, and limits that contradict each other.
/// The table must come from a document without errors. Thread-safe.
CheckFindings
CheckConfiguration(const RoutingTable& aTable, const PlaceResolver& aResolver);

/// Finds limits of a configuration that the memory of a daemon with these settings cannot hold.
/// Thread-safe.
CheckFindings
CheckMemory(const RoutingTable& aTable,
            const GatewaySettings& aSettings,
            const PlaceResolver& aResolver);

}
