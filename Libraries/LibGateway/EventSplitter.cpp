#include <LibGateway/EventSplitter.h>

#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <utility>

namespace auburnhitch {

std::string
EventSplitter::Feed(absl::string_view aBytes)
{
  const std::size_t end = m_scanner.Scan(aBytes);
  if (end == 0) {
    m_incomplete_event.append(aBytes.data(), aBytes.size());
    return "";
  }
  std::string complete = std::exchange(m_incomplete_event, std::string(aBytes.substr(end)));
  complete.append(aBytes.data(), end);
  RecordEventIds(complete);
  return complete;
}

std::string
EventSplitter::TakeIncompleteEvent()
{
  m_scanner.Restart();
  return std::exchange(m_incomplete_event, std::string());
}

void
EventSplitter::RecordEventIds(absl::string_view aEvents)
{
  for (absl::string_view line : absl::StrSplit(aEvents, absl::ByAnyChar("\r\n"))) {
    if (absl::ConsumePrefix(&line, "id:")) {
      absl::ConsumePrefix(&line, " ");
      m_last_id = std::string(line);
    }
  }
}

}
