#include <LibGateway/ForwardedHeaders.h>

#include <LibGateway/ForwardedRequest.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace auburnhitch {

namespace {

/// The hop-by-hop fields of RFC 9110, section 7.6.1, and the framing fields, which each connection
/// sets for itself.
bool
IsHopByHopOrFraming(const std::string& aLowerName)
{
  static const absl::flat_hash_set<std::string> s_names{
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
  };
  return s_names.contains(aLowerName);
}

}

HttpHeaders
ForwardedHeaders(const HttpHeaders& aHeaders, const absl::flat_hash_set<std::string>& aDropped)
{
  absl::flat_hash_set<std::string> named;
  for (const auto& [name, value] : aHeaders) {
    if (absl::AsciiStrToLower(name) != "connection") {
      continue;
    }
    for (const absl::string_view token : absl::StrSplit(value, ',')) {
      named.insert(absl::AsciiStrToLower(absl::StripAsciiWhitespace(token)));
    }
  }
  HttpHeaders forwarded;
  forwarded.reserve(aHeaders.size());
  std::copy_if(
    aHeaders.begin(), aHeaders.end(), std::back_inserter(forwarded), [&](const auto& aField) {
      const std::string name = absl::AsciiStrToLower(aField.first);
      return !IsHopByHopOrFraming(name) && !IsForwardingField(name) && !named.contains(name) &&
             !aDropped.contains(name);
    });
  return forwarded;
}

}
