#pragma once

#include <LibCore/Time.h>
#include <absl/strings/string_view.h>
#include <optional>

namespace auburnhitch {

/// The longest time that ParseRetryAfter() returns. Bounds the effect of one wrong value.
constexpr Milliseconds kMaxRetryAfter{ 300'000 };

/// Parses the value of a Retry-After field: seconds, possibly with a fraction. Rounds up, and
/// returns kMaxRetryAfter for longer times; nothing if the value is a date, negative or not a
/// number. Thread-safe.
std::optional<Milliseconds>
ParseRetryAfter(absl::string_view aText);

}
