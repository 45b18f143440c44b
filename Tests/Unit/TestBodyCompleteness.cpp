#include <LibGateway/BodyCompleteness.h>
#include <LibGateway/EventScanner.h>

#include <absl/strings/str_cat.h>
#include <doctest.h>
#include <string>
#include <vector>

using namespace auburnhitch;

namespace {

MessageHead
HeadOf(const char* aContentType, int aStatus = 200, BodyFraming aFraming = BodyFraming::UntilClose)
{
  MessageHead head;
  head.m_status = aStatus;
  head.m_framing = aFraming;
  if (*aContentType != '\0') {
    head.m_headers.emplace_back("content-type", aContentType);
  }
  return head;
}

bool
IsComplete(const MessageHead& aHead,
           const std::string& aBody,
           RelayCallEnd aEnd,
           bool aIsStreamExpected = true)
{
  BodyCompleteness whole(aHead, aIsStreamExpected);
  CHECK(whole.Follow(aBody).ok());
  BodyCompleteness by_bytes(aHead, aIsStreamExpected);
  for (const char byte : aBody) {
    CHECK(by_bytes.Follow(absl::string_view(&byte, 1)).ok());
  }
  CHECK(whole.Check(aEnd) == by_bytes.Check(aEnd));
  return whole.Check(aEnd).ok();
}

}

TEST_CASE("An event stream that closes in order is complete only after a whole event")
{
  for (const std::string line_end : { "\n", "\r\n", "\r" }) {
    CAPTURE(line_end);
    const std::string whole = absl::StrCat("id: 1", line_end, "data: a", line_end, line_end);
    for (const char* type : { "text/event-stream", "Text/Event-Stream ; charset=utf-8", "" }) {
      CAPTURE(type);
      const MessageHead head = HeadOf(type);
      for (std::size_t size = 0; size < 2 * whole.size(); ++size) {
        CAPTURE(size);
        // The LF of a CRLF belongs to the line that its CR has ended.
        const bool is_after_cr = line_end == "\r\n" && (size + 1) % whole.size() == 0;
        const bool is_whole = size > 0 && (size % whole.size() == 0 || is_after_cr);
        CHECK(IsComplete(head, (whole + whole).substr(0, size), RelayCallEnd::Closed) == is_whole);
      }
      CHECK(IsComplete(head, absl::StrCat(whole, ": comment", line_end), RelayCallEnd::Closed));
      CHECK_FALSE(IsComplete(head, whole + ": comm", RelayCallEnd::Closed));
      CHECK_FALSE(
        IsComplete(head, absl::StrCat(": comment", line_end, line_end), RelayCallEnd::Closed));
    }
  }
}

TEST_CASE("Content that is no event stream is complete when its connection closes in order")
{
  CHECK(IsComplete(HeadOf("application/json"), "{\"a\"", RelayCallEnd::Closed));
  CHECK(IsComplete(HeadOf(""), "plain", RelayCallEnd::Closed, false));
  CHECK(IsComplete(HeadOf("", 500), "failed", RelayCallEnd::Closed));
}

TEST_CASE("An event stream whose framing has ended is complete unless it ends inside an event")
{
  for (const auto framing : { BodyFraming::Length, BodyFraming::Chunked }) {
    const MessageHead head = HeadOf("text/event-stream", 200, framing);
    CHECK(IsComplete(head, "id: 1\ndata: a\n\n", RelayCallEnd::Complete));
    CHECK(IsComplete(head, "", RelayCallEnd::Complete));
    CHECK_FALSE(IsComplete(head, "id: 1\ndata: a\n\nid", RelayCallEnd::Complete));
    CHECK_FALSE(IsComplete(head, "id: 1\ndata: a\n", RelayCallEnd::Complete));
    CHECK(IsComplete(HeadOf("", 200, framing), "no event", RelayCallEnd::Complete));
  }
}

TEST_CASE("An event that does not end is reported as soon as it is too long")
{
  MessageHead head;
  head.m_status = 200;
  head.m_framing = BodyFraming::Chunked;
  head.m_headers = { { "Content-Type", "text/event-stream" } };
  BodyCompleteness stream(head, true);
  const std::string event = "data: " + std::string(400'000, 'x');
  CHECK(stream.Follow(event + "\n\n").ok());
  CHECK(stream.Follow(event).ok());
  CHECK(stream.Follow(event).ok());
  CHECK_FALSE(stream.Follow(event).ok());
  // Whole events may be longer in sum.
  BodyCompleteness whole(head, true);
  for (int i = 0; i < 10; ++i) {
    CHECK(whole.Follow(event + "\n\n").ok());
  }
}

TEST_CASE("A status line inside an event stream is noticed, wherever the bytes are divided")
{
  const std::string event = "id: 1\ndata: HTTP/1.1 503\n\n";
  const std::string refusal = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n\r\n";
  for (std::size_t size = 1; size < event.size() + refusal.size(); ++size) {
    EventScanner scanner;
    const std::string bytes = event + refusal;
    scanner.Scan(bytes.substr(0, size));
    CHECK(scanner.HasStatusLine() == (size >= event.size() + 7));
    scanner.Scan(bytes.substr(size));
    CHECK(scanner.HasStatusLine());
  }
  for (const char* harmless :
       { "data: a\nHTTP/2 x\n\n", ": HTTP/1.1\n\n", "xHTTP/1.1\n", "HTTP/1\n.1\n" }) {
    EventScanner scanner;
    scanner.Scan(harmless);
    CHECK_FALSE(scanner.HasStatusLine());
  }
}
