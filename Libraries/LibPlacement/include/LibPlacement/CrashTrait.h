#pragma once

#include <LibCore/StrongString.h>
#include <LibPlacement/PromptPart.h>

namespace auburnhitch {

/// Something that a request has in common with others and that may crash the endpoints that run it:
/// a part of its prompt.
using CrashTrait = StrongString<struct CrashTraitTag>;

inline CrashTrait
TraitOfPart(const PromptPart& aPart)
{
  return CrashTrait(aPart.Value());
}

}
