#include <LibGateway/EventSplitter.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <utility>

namespace auburnhitch {

absl::StatusOr<std::string>
EventSplitter::Feed(absl::string_view aBytes)
{
  const std::size_t end = m_scanner.Scan(aBytes);
  std::string complete;
  if (end > 0) {
    complete = std::exchange(m_incomplete_event, std::string());
    complete.append(aBytes.data(), end);
    RecordEventIds(complete);
  }
  m_incomplete_event.append(aBytes.data() + end, aBytes.size() - end);
  if (m_incomplete_event.size() > kMaxEventBytes) {
    DiscardIncompleteEvent();
    return absl::ResourceExhaustedError(
      absl::StrCat("an event of the response is longer than ", kMaxEventBytes, " bytes"));
  }
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
