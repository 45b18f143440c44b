#pragma once

#include <LibPlacement/EndpointNotice.h>
#include <LibPlacement/PromptPart.h>
#include <string>
#include <vector>

namespace auburnhitch {

// What a request and the statements of its endpoint look like in log lines.

/// The limit in an endpoint's notice.
std::string
DescribeLimit(const EndpointNotice& aNotice);

/// Whether an endpoint's notice says that it leaves.
const char*
DescribeLeaving(const EndpointNotice& aNotice);

/// For how many milliseconds an endpoint's notice asks for rest.
std::string
DescribeRest(const EndpointNotice& aNotice);

/// The text, or "none" if it is empty.
const char*
OrNone(const std::string& aText);

/// The first parts of a prompt.
std::string
DescribeParts(const std::vector<PromptPart>& aParts);

}
