#include <LibDispatch/EventStreamParser.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace auburnhitch {

namespace {

constexpr absl::string_view kEventEnd = "\n\n";

StreamEvent
ReadEvent(absl::string_view aText)
{
  StreamEvent event;
  event.m_text = std::string(aText);
  for (absl::string_view line : absl::StrSplit(aText, '\n')) {
    if (absl::ConsumePrefix(&line, "id:")) {
      std::int64_t id = 0;
      if (absl::SimpleAtoi(line, &id)) {
        event.m_id = id;
      }
    } else if (absl::ConsumePrefix(&line, "data:")) {
      event.m_is_end |= absl::StripAsciiWhitespace(line) == "[DONE]";
    }
  }
  return event;
}

}

bool
EventStreamParser::Feed(absl::string_view aBytes, const EventHandler& aHandler)
{
  absl::StrAppend(&m_incomplete_event, aBytes);
  std::string pending = std::move(m_incomplete_event);
  m_incomplete_event.clear();
  std::size_t begin = 0;
  while (true) {
    const auto end = absl::string_view(pending).find(kEventEnd, begin);
    if (end == std::string::npos) {
      break;
    }
    const std::size_t next = end + kEventEnd.size();
    aHandler(ReadEvent(absl::string_view(pending).substr(begin, next - begin)));
    begin = next;
  }
  m_incomplete_event = pending.substr(begin);
  return m_incomplete_event.size() <= kMaxEventBytes;
}

}
