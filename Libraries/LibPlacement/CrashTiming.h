#pragma once

#include <LibCore/Time.h>

namespace auburnhitch {

/// A request whose response had begun for longer than this does not crash its endpoint: a crash by
/// a prompt comes when the endpoint begins to respond.
inline constexpr Milliseconds kMaxTimeToCrash{ 250 };
/// How long the requests that an endpoint ran when it crashed are remembered.
inline constexpr Milliseconds kCrashRetention{ 10'000 };
/// What happened before a crash, at a daemon that has not noticed it yet, may be reported this much
/// after it.
inline constexpr Milliseconds kReportDelay{ 100 };
/// An endpoint that has crashed does not respond again before this time.
inline constexpr Milliseconds kMinRestartTime{ 1'000 };

}
