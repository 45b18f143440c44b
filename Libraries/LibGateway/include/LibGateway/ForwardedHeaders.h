#pragma once

#include <LibHttp/HttpMessage.h>
#include <absl/container/flat_hash_set.h>
#include <string>

namespace auburnhitch {

/// The header fields that a gateway forwards: all but hop-by-hop fields, the fields named by
/// Connection, the framing fields, those between daemons, and the fields in aDropped, whose names
/// are in lower case.
HttpHeaders
ForwardedHeaders(const HttpHeaders& aHeaders, const absl::flat_hash_set<std::string>& aDropped);

}
