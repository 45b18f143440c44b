#pragma once

#include <absl/strings/string_view.h>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace auburnhitch {

/// One server-sent event.
struct StreamEvent
{
  /// The event's number in its stream, from its "id" field.
  std::optional<std::int64_t> m_id;
  /// The event as received, with the blank line that ends it.
  std::string m_text;
  /// Whether this is the "[DONE]" that ends a whole answer.
  bool m_is_end = false;
};

/// Splits a byte stream into server-sent events. Not thread-safe.
class EventStreamParser
{
public:
  using EventHandler = std::function<void(const StreamEvent&)>;

  /// Takes bytes in and hands out the events that they complete. Returns false when an event is
  /// larger than kMaxEventBytes; the stream is then of no more use.
  bool Feed(absl::string_view aBytes, const EventHandler& aHandler);
  /// Forgets an incomplete event.
  void Reset() { m_incomplete_event.clear(); }

  static constexpr std::size_t kMaxEventBytes = 1 << 20;

private:
  std::string m_incomplete_event;
};

}
