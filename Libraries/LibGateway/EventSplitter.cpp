#include <LibGateway/EventSplitter.h>

#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <algorithm>
#include <utility>

namespace auburnhitch {

namespace {

/// Where the first event ends, past its empty line; npos when it is not whole.
std::size_t
EndOfEvent(absl::string_view aBytes, std::size_t aFrom)
{
  const auto lf = aBytes.find("\n\n", aFrom);
  const auto crlf = aBytes.find("\r\n\r\n", aFrom);
  constexpr std::size_t kLfBytes = 2;
  constexpr std::size_t kCrlfBytes = 4;
  const auto lf_end = lf == absl::string_view::npos ? lf : lf + kLfBytes;
  const auto crlf_end = crlf == absl::string_view::npos ? crlf : crlf + kCrlfBytes;
  return std::min(lf_end, crlf_end);
}

}

std::string
EventSplitter::Feed(absl::string_view aBytes)
{
  m_incomplete_event.append(aBytes.data(), aBytes.size());
  std::size_t end = 0;
  for (auto next = EndOfEvent(m_incomplete_event, 0); next != std::string::npos;
       next = EndOfEvent(m_incomplete_event, end)) {
    RecordEventId(absl::string_view(m_incomplete_event).substr(end, next - end));
    end = next;
  }
  std::string whole = m_incomplete_event.substr(0, end);
  m_incomplete_event.erase(0, end);
  return whole;
}

std::string
EventSplitter::TakeIncompleteEvent()
{
  return std::exchange(m_incomplete_event, std::string());
}

void
EventSplitter::RecordEventId(absl::string_view aEvent)
{
  for (absl::string_view line : absl::StrSplit(aEvent, '\n')) {
    absl::ConsumeSuffix(&line, "\r");
    if (absl::ConsumePrefix(&line, "id:")) {
      absl::ConsumePrefix(&line, " ");
      m_last_id = std::string(line);
    }
  }
}

}
