#pragma once

#include <absl/strings/string_view.h>
#include <cstddef>

namespace auburnhitch {

/// Maximum length of one event. An event holds a few tokens, at most a whole document.
constexpr std::size_t kMaxEventBytes = 1 << 20;

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
  /// Whether a line began like the head of an HTTP response, which no event contains.
  bool HasStatusLine() const { return m_has_status_line; }
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
  void MatchStatusLine(char aByte);

  Line m_line = Line::Empty;
  bool m_event_has_fields = false;
  bool m_has_event = false;
  /// Bytes of the current line that match the beginning of a status line, while all of them do.
  std::size_t m_status_line_bytes = 0;
  bool m_may_be_status_line = true;
  bool m_has_status_line = false;
  /// Whether the last byte was a CR: a LF that follows belongs to the same line end.
  bool m_is_after_cr = false;
};

}
