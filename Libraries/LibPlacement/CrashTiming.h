#pragma once

#include <LibCore/Time.h>

namespace auburnhitch {

/// How long the requests that an endpoint ran when it crashed are remembered.
inline constexpr Milliseconds kCrashRetention{ 10'000 };
/// What happened before a crash, at a daemon that has not noticed it yet, may be reported this much
/// after it.
inline constexpr Milliseconds kReportDelay{ 100 };
/// An endpoint that has crashed does not respond again before this time.
inline constexpr Milliseconds kMinRestartTime{ 1'000 };

}
