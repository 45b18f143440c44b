#pragma once

#include <absl/strings/string_view.h>
#include <string>

namespace auburnhitch {

/// The SHA-256 digest of the text as 64 lower-case hexadecimal digits. Thread-safe.
std::string
Sha256Hex(absl::string_view aText);

/// Compares two strings in time that depends only on their lengths. Thread-safe.
bool
EqualsInConstantTime(absl::string_view aLeft, absl::string_view aRight);

/// A random name of 16 hexadecimal digits; a collision is unlikely. Not thread-safe.
std::string
RandomName();

}
