#pragma once

#include <LibCore/StrongString.h>
#include <LibPlacement/PromptPart.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace auburnhitch {

/// Something that a request has in common with others and that may crash the endpoints that run it:
/// a part of its prompt, or all that it asks for.
using CrashTrait = StrongString<struct CrashTraitTag>;

/// Begins the traits of whole requests. Ids of parts are hexadecimal.
inline constexpr absl::string_view kWholeRequestPrefix = "request/";

inline CrashTrait
TraitOfPart(const PromptPart& aPart)
{
  return CrashTrait(aPart.Value());
}

/// aDigest: the same whenever the request comes again.
inline CrashTrait
TraitOfRequest(const std::string& aDigest)
{
  return CrashTrait(absl::StrCat(kWholeRequestPrefix, aDigest));
}

inline bool
IsWholeRequest(const CrashTrait& aTrait)
{
  return absl::StartsWith(aTrait.Value(), kWholeRequestPrefix);
}

}
