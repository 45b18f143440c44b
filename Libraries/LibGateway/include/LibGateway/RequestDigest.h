#pragma once

#include <LibRelay/MessageParser.h>
#include <absl/strings/string_view.h>
#include <string>

namespace auburnhitch {

/// A digest of what a request asks for: 40 hexadecimal digits that are the same if the request
/// comes again, at any daemon, with the same method, target, caller and body. Its id, its deadline,
/// the framing of its body and the position in a stream do not matter. aCaller: the workspace or,
/// without one, the key. Thread-safe.
std::string
RequestDigest(const MessageHead& aHead, absl::string_view aCaller, absl::string_view aBody);

}
