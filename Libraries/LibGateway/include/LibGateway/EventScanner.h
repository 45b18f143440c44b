#pragma once

#include <absl/strings/string_view.h>
#include <cstddef>

namespace auburnhitch {

/// Follows the lines of a server-sent event stream and tells whether it is inside an event. Lines
/// end with LF, CR or CRLF; an empty line ends an event; a comment is part of no event. Keeps no
/// bytes. Not thread-safe.
class EventScanner
{
public:
  /// Scans further bytes. Returns the length of the longest prefix of aBytes after which the stream
  /// is not inside an event; 0 if there is none.
  std::size_t Scan(absl::string_view aBytes);
  /// Whether an event or a line has begun and not ended.
  bool IsInsideEvent() const { return m_event_has_fields || m_line != Line::Empty; }
  /// Whether an event has ended.
  bool HasEvent() const { return m_has_event; }
  /// Prepares for a new stream.
  void Restart() { *this = EventScanner(); }

private:
  /// What the current line contains so far.
  enum class Line
  {
    Empty,
    Comment,
    Field,
  };

  void Scan(char aByte);
  void EndLine();

  Line m_line = Line::Empty;
  bool m_event_has_fields = false;
  bool m_has_event = false;
  /// Whether the last byte was a CR: a LF that follows belongs to the same line end.
  bool m_is_after_cr = false;
};

}
