#include "LogText.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace auburnhitch {

const char*
OrNone(const std::string& aText)
{
  return aText.empty() ? "none" : aText.c_str();
}

std::string
DescribeLimit(const EndpointNotice& aNotice)
{
  if (aNotice.m_is_limit_malformed) {
    return "malformed";
  }
  return aNotice.m_limit ? absl::StrCat(aNotice.m_limit->m_per_second) : "none";
}

const char*
DescribeLeaving(const EndpointNotice& aNotice)
{
  if (aNotice.m_is_leaving) {
    return "yes";
  }
  return aNotice.m_is_leaving_malformed ? "malformed" : "no";
}

std::string
DescribeRest(const EndpointNotice& aNotice)
{
  if (aNotice.m_rest) {
    return absl::StrCat(aNotice.m_rest->count());
  }
  return aNotice.m_is_rest_malformed ? "malformed" : "none";
}

std::string
DescribeParts(const std::vector<PromptPart>& aParts)
{
  constexpr std::size_t kMaxLogged = 8;
  std::string text;
  for (std::size_t i = 0; i < std::min(aParts.size(), kMaxLogged); ++i) {
    absl::StrAppend(&text, i == 0 ? "" : "/", aParts[i].Value());
  }
  return text.empty() ? "none" : text;
}

}
