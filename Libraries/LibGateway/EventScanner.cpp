#include <LibGateway/EventScanner.h>

namespace auburnhitch {

namespace {

constexpr absl::string_view kStatusLine = "HTTP/1.";

}

std::size_t
EventScanner::Scan(absl::string_view aBytes)
{
  std::size_t outside = 0;
  for (std::size_t at = 0; at < aBytes.size(); ++at) {
    Scan(aBytes[at]);
    if (!IsInsideEvent()) {
      outside = at + 1;
    }
  }
  return outside;
}

void
EventScanner::Scan(char aByte)
{
  const bool ends_crlf = m_is_after_cr && aByte == '\n';
  m_is_after_cr = aByte == '\r';
  if (ends_crlf) {
    return;
  }
  if (aByte == '\n' || aByte == '\r') {
    EndLine();
    return;
  }
  if (m_line == Line::Empty) {
    m_line = aByte == ':' ? Line::Comment : Line::Field;
  }
  if (m_may_be_status_line) {
    MatchStatusLine(aByte);
  }
}

void
EventScanner::MatchStatusLine(char aByte)
{
  m_may_be_status_line = aByte == kStatusLine[m_status_line_bytes];
  if (m_may_be_status_line && ++m_status_line_bytes == kStatusLine.size()) {
    m_has_status_line = true;
    m_may_be_status_line = false;
  }
}

void
EventScanner::EndLine()
{
  if (m_line == Line::Field) {
    m_event_has_fields = true;
  } else if (m_line == Line::Empty && m_event_has_fields) {
    m_event_has_fields = false;
    m_has_event = true;
  }
  m_line = Line::Empty;
  m_status_line_bytes = 0;
  m_may_be_status_line = true;
}

}
