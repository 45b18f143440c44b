#pragma once

#include <LibHttp/HttpMessage.h>
#include <absl/container/flat_hash_set.h>
#include <string>

namespace auburnhitch {

/// The fields that may pass through a gateway: without those that concern one connection, those
/// that Connection names, the framing, and those in aDropped, which are in lower case.
HttpHeaders
ForwardedHeaders(const HttpHeaders& aHeaders, const absl::flat_hash_set<std::string>& aDropped);

}
