#include <LibCore/RetryAfter.h>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <cmath>

namespace auburnhitch {

std::optional<Milliseconds>
ParseRetryAfter(absl::string_view aText)
{
  double seconds = 0;
  if (!absl::SimpleAtod(absl::StripAsciiWhitespace(aText), &seconds) || !std::isfinite(seconds) ||
      seconds < 0) {
    return std::nullopt;
  }
  constexpr double kMillisecondsPerSecond = 1'000;
  const double milliseconds = std::ceil(seconds * kMillisecondsPerSecond);
  return Milliseconds(
    static_cast<std::int64_t>(std::min(milliseconds, static_cast<double>(kMaxRetryAfter.count()))));
}

}
