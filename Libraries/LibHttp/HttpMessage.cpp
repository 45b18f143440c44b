#include <LibHttp/HttpMessage.h>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <algorithm>

namespace auburnhitch {

absl::string_view
FindHeader(const HttpHeaders& aHeaders, absl::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (absl::EqualsIgnoreCase(name, aName)) {
      return value;
    }
  }
  return {};
}

bool
IsValidStatus(int aNumber)
{
  constexpr int kFirst = 100;
  constexpr int kLast = 599;
  return aNumber >= kFirst && aNumber <= kLast;
}

const char*
FindFramingError(const HttpHeaders& aHeaders)
{
  int statements = 0;
  for (const auto& [name, value] : aHeaders) {
    // A receiver that ignores the space sees another field.
    if (name.empty() || name.find_first_of(" \t") != std::string::npos) {
      return "a header name is empty or contains a space";
    }
    if (absl::EqualsIgnoreCase(name, "Content-Length")) {
      ++statements;
      if (value.empty() || !std::all_of(value.begin(), value.end(), absl::ascii_isdigit)) {
        return "the length is not a decimal number";
      }
    } else if (absl::EqualsIgnoreCase(name, "Transfer-Encoding")) {
      ++statements;
      // Other codings are not decoded, so the body would not be the one that the sender encoded.
      if (!absl::EqualsIgnoreCase(value, "chunked") && !absl::EqualsIgnoreCase(value, "identity")) {
        return "the transfer coding is not chunked";
      }
    }
  }
  return statements > 1 ? "more than one header field states where the body ends" : nullptr;
}

}
