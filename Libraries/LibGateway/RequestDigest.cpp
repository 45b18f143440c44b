#include <LibGateway/RequestDigest.h>

#include <LibCore/Digest.h>
#include <absl/strings/str_cat.h>

namespace auburnhitch {

std::string
RequestDigest(const MessageHead& aHead, absl::string_view aCaller, absl::string_view aBody)
{
  // Callers can't find two requests with the same digest.
  constexpr std::size_t kDigits = 40;
  // The lengths keep the fields apart.
  return Sha256Hex(absl::StrCat(aHead.m_method,
                                " ",
                                aHead.m_target.size(),
                                " ",
                                aHead.m_target,
                                " ",
                                aCaller.size(),
                                " ",
                                aCaller,
                                " ",
                                aBody))
    .substr(0, kDigits);
}

}
