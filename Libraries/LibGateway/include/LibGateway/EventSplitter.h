#pragma once

#include <absl/strings/string_view.h>
#include <string>

namespace auburnhitch {

/// Passes on a stream of events whole event by whole event, and knows the id of the last one, so
/// that another endpoint can go on where this one stopped. Not thread-safe.
class EventSplitter
{
public:
  /// Takes bytes of the stream. Returns the whole events among all that was taken so far.
  std::string Feed(absl::string_view aBytes);
  /// What is left when the stream ends as whole.
  std::string TakeIncompleteEvent();
  /// Drops an event that was not finished: another endpoint sends it again.
  void DiscardIncompleteEvent() { m_incomplete_event.clear(); }
  /// Empty before the first event with an id.
  const std::string& LastEventId() const { return m_last_id; }

private:
  void RecordEventId(absl::string_view aEvent);

  std::string m_incomplete_event;
  std::string m_last_id;
};

}
