#pragma once

#include <LibCheck/CheckFinding.h>
#include <LibRouting/RoutingTable.h>

namespace auburnhitch {

/// Finds what a configuration takes from callers, compared with the one in force: by its effect,
/// not by its text. Also finds a version that daemons would ignore. Thread-safe.
CheckFindings
CheckChanges(const RoutingTable& aTable,
             const RoutingTable& aInForce,
             const PlaceResolver& aResolver);

}
