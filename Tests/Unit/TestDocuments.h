#pragma once

#include <LibCore/Digest.h>
#include <LibDocument/DocumentFold.h>
#include <string>

namespace auburnhitch::tests {

/// A small valid document. aMarker is the share of its first workspace, to distinguish documents.
inline Json
DocumentOf(const std::string& aService, int aMarker = 1)
{
  return Json{ { "service", aService },
               { "type", "plain" },
               { "tiers",
                 { { { "name", "live" }, { "deadline_ms", 2000 } },
                   { { "name", "trial" }, { "deadline_ms", 9000 }, { "sheddable", true } } } },
               { "kinds",
                 { { { "name", "query" }, { "tier", "live" } },
                   { { "name", "bid" }, { "tier", "live" }, { "idempotent", false } },
                   { { "name", "look" }, { "tier", "trial" } } } },
               { "workspaces",
                 { { { "name", "mill" },
                     { "key_sha256", Sha256Hex("mill-key") },
                     { "tiers", { "live", "trial" } },
                     { "share", aMarker } },
                   { { "name", "guest" },
                     { "key_sha256", Sha256Hex("guest-key") },
                     { "tiers", { "trial" } } } } },
               { "endpoints", { { { "host", "s-1" }, { "address", "127.0.0.1:9" } } } } };
}

inline std::string
PublicationRecord(const std::string& aId, const std::string& aService, Revision aBase, int aMarker)
{
  return Publication{ aId, ServiceName(aService), aBase, DocumentOf(aService, aMarker) }
    .ToJson()
    .dump();
}

}
