#pragma once

#include <absl/strings/string_view.h>
#include <string>
#include <utility>
#include <vector>

namespace auburnhitch {

/// Header fields, in the order in which they are sent or were received.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A request to be sent by HttpClient.
struct HttpRequest
{
  std::string m_method = "GET";
  std::string m_path;
  HttpHeaders m_headers;
  std::string m_body;
};

/// Returns the value of the first header field with the name, which is compared case-insensitively.
/// Returns an empty string if there is none.
absl::string_view
FindHeader(const HttpHeaders& aHeaders, absl::string_view aName);

/// Whether a number is a valid status of a response (RFC 9110, section 15): 100 to 599.
/// Thread-safe.
bool
IsValidStatus(int aNumber);

/// Why receivers could disagree about where the body of a message with these header fields ends
/// (RFC 9112, section 6.3), or nullptr if they could not: at most one field states a decimal length
/// or the chunked coding.
const char*
FindFramingError(const HttpHeaders& aHeaders);

}
