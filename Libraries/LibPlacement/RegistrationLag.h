#pragma once

#include <LibCore/Time.h>

namespace auburnhitch {

/// A registration that is read may have been written this long before: daemons that do not
/// long-poll the store read it when a heartbeat tells them of it.
inline constexpr Milliseconds kRegistrationLag{ 1'000 };

}
