#pragma once

#include <LibCore/StrongString.h>

namespace auburnhitch {

/// Identifies a part of a prompt that several requests may share. Two parts with the same id have
/// the same content.
using PromptPart = StrongString<struct PromptPartTag>;

}
