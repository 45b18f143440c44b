#pragma once

#include <LibGateway/EventScanner.h>
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <string>

namespace auburnhitch {

/// Splits a server-sent event stream into complete events and records the id of the last one, so
/// that another endpoint can resume the stream after it. Not thread-safe.
class EventSplitter
{
public:
  /// Appends bytes of the stream. Returns the events that are complete and not yet returned, or
  /// ResourceExhausted if the incomplete event is longer than kMaxEventBytes; its bytes are dropped
  /// then.
  absl::StatusOr<std::string> Feed(absl::string_view aBytes);
  /// Removes and returns the bytes after the last complete event.
  std::string TakeIncompleteEvent();
  /// Discards an incomplete event, since the endpoint that resumes the stream sends it again.
  void DiscardIncompleteEvent() { TakeIncompleteEvent(); }
  /// Empty until an event with an id is complete.
  const std::string& LastEventId() const { return m_last_id; }

private:
  void RecordEventIds(absl::string_view aEvents);

  EventScanner m_scanner;
  std::string m_incomplete_event;
  std::string m_last_id;
};

}
