#include <LibRelay/MessageParser.h>

#include <absl/strings/str_cat.h>
#include <doctest.h>

using namespace auburnhitch;

namespace {

constexpr std::size_t kMaxHeadBytes = 4'096;

/// Feeds the text in pieces of aStep bytes until the parser is done. Returns how many bytes the
/// parser consumed.
std::size_t
FeedAll(MessageParser& aParser, absl::string_view aText, std::size_t aStep)
{
  std::size_t taken = 0;
  while (taken < aText.size() && aParser.State() == MessageParser::Progress::NeedMore) {
    const std::size_t used = aParser.Feed(aText.substr(taken, aStep));
    if (used == 0) {
      break;
    }
    taken += used;
  }
  return taken;
}

MessageParser::Progress
StateAfter(MessageParser::Kind aKind, absl::string_view aText)
{
  MessageParser parser(aKind, kMaxHeadBytes);
  FeedAll(parser, aText, aText.size());
  return parser.State();
}

using Progress = MessageParser::Progress;

}

// A parser that depends on how TCP splits the bytes would truncate a request or read the next one
// as part of it.
TEST_CASE("A request ends where its framing says, however its bytes are split")
{
  const std::string first = "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
  const std::string second = "GET /d HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const std::size_t step : { std::size_t{ 1 }, std::size_t{ 7 }, std::size_t{ 1'000 } }) {
    MessageParser parser(MessageParser::Kind::Request, kMaxHeadBytes);
    CHECK(FeedAll(parser, first + second, step) == first.size());
    REQUIRE(parser.State() == Progress::Complete);
    CHECK(parser.Head().m_method == "POST");
    CHECK(parser.Head().m_target == "/a/b?c=1");
    CHECK(parser.Head().m_keeps_alive);
    CHECK(parser.TakeBody() == "hello");
    parser.Restart();
    CHECK(FeedAll(parser, second, step) == second.size());
    REQUIRE(parser.State() == Progress::Complete);
    CHECK(parser.Head().m_target == "/d");
    CHECK(parser.Head().m_headers.size() == 1);
  }
}

// A trailer that became a header could replace a header of the request, such as X-Request-Id.
TEST_CASE("A chunked body is reassembled and its trailer dropped")
{
  MessageParser parser(MessageParser::Kind::Request, kMaxHeadBytes);
  const std::string text = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-Request-Id: other\r\n\r\n";
  CHECK(FeedAll(parser, text + "extra", 1'000) == text.size());
  REQUIRE(parser.State() == Progress::Complete);
  CHECK(parser.TakeBody() == "abcde");
  CHECK(parser.Head().m_framing == BodyFraming::Chunked);
  CHECK(parser.Head().m_headers.size() == 2);
}

// Two parsers that read such framing differently see different requests in the same bytes (request
// smuggling).
TEST_CASE("Requests with ambiguous framing are malformed")
{
  const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
  for (const char* framing : {
         "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
         "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
         "Content-Length: 3, 4\r\n\r\nabcd",
         "Content-Length: -1\r\n\r\n",
         "Content-Length: +3\r\n\r\nabc",
         "Content-Length : 3\r\n\r\nabc",
         "Transfer-Encoding: chunked, identity\r\n\r\nabc",
         "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
       }) {
    CHECK_MESSAGE(StateAfter(MessageParser::Kind::Request, start + framing) == Progress::Malformed,
                  std::string(framing));
  }
}

TEST_CASE("Bytes that are not an HTTP/1.1 message are malformed")
{
  for (const char* text : {
         "nonsense\r\n\r\n",
         "GET / HTTP/9.9\r\n\r\n",
         "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
         "GET / HTTP/1.1\r\nBad Header: x\r\n\r\n",
       }) {
    CHECK_MESSAGE(StateAfter(MessageParser::Kind::Request, text) == Progress::Malformed,
                  std::string(text));
  }
  CHECK(StateAfter(MessageParser::Kind::Response, "HELLO\r\n\r\n") == Progress::Malformed);
}

TEST_CASE("A head larger than the limit is reported as HeadTooLarge")
{
  const std::string text =
    "GET / HTTP/1.1\r\nHost: h\r\nX-Large: " + std::string(kMaxHeadBytes, 'x') + "\r\n\r\n";
  MessageParser parser(MessageParser::Kind::Request, kMaxHeadBytes);
  FeedAll(parser, text.substr(0, text.size() - 4), 100);
  CHECK(parser.State() == Progress::HeadTooLarge);
}

TEST_CASE("A response without a length is complete only when its connection closes")
{
  MessageParser parser(MessageParser::Kind::Response, kMaxHeadBytes);
  FeedAll(parser, "HTTP/1.1 200 OK\r\n\r\nabc", 1'000);
  CHECK(parser.State() == Progress::NeedMore);
  CHECK(parser.Head().m_framing == BodyFraming::UntilClose);
  parser.FeedEnd();
  CHECK(parser.State() == Progress::Complete);
}

// A truncated response must not pass for a complete one.
TEST_CASE("A response that ends before its length or last chunk is malformed")
{
  for (const char* text : { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
                            "HTTP/1.1 20" }) {
    MessageParser parser(MessageParser::Kind::Response, kMaxHeadBytes);
    FeedAll(parser, text, 1'000);
    parser.FeedEnd();
    CHECK_MESSAGE(parser.State() == Progress::Malformed, text);
  }
}

TEST_CASE("Bytes after a complete response are not consumed")
{
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
  MessageParser parser(MessageParser::Kind::Response, kMaxHeadBytes);
  CHECK(FeedAll(parser, response + "HTTP/1.1 200 OK\r\n\r\n", 1'000) == response.size());
  CHECK(parser.State() == Progress::Complete);
}

TEST_CASE("A message with a transfer coding other than chunked is malformed")
{
  for (const char* coding : { "gzip", "gzip, chunked", "chunked, gzip", "chunked, " }) {
    CAPTURE(coding);
    const std::string field = std::string("Transfer-Encoding: ") + coding + "\r\n\r\n";
    const std::string body = "1\r\na\r\n0\r\n\r\n";
    CHECK(StateAfter(MessageParser::Kind::Response,
                     absl::StrCat("HTTP/1.1 200 OK\r\n", field, body)) == Progress::Malformed);
    CHECK(StateAfter(MessageParser::Kind::Request,
                     absl::StrCat("POST / HTTP/1.1\r\nHost: h\r\n", field, body)) ==
          Progress::Malformed);
  }
  CHECK(StateAfter(MessageParser::Kind::Response,
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: "
                   "gzip\r\n\r\n1\r\na\r\n0\r\n\r\n") == Progress::Malformed);
  CHECK(StateAfter(MessageParser::Kind::Response,
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\na\r\n0\r\n\r\n") ==
        Progress::Complete);
}

TEST_CASE("A response whose status is not between 100 and 599 is malformed")
{
  for (const std::string status : { "000", "0", "099", "20", "-200", "2000", "600", "999" }) {
    CAPTURE(status);
    CHECK(StateAfter(MessageParser::Kind::Response,
                     absl::StrCat("HTTP/1.1 ", status, " X\r\nContent-Length: 0\r\n\r\n")) ==
          Progress::Malformed);
  }
  for (const std::string status : { "100", "200", "599" }) {
    CHECK(StateAfter(MessageParser::Kind::Response,
                     absl::StrCat("HTTP/1.1 ", status, " X\r\nContent-Length: 0\r\n\r\n")) ==
          Progress::Complete);
  }
}

TEST_CASE("A response that never has a body ends with its head, whatever length it states")
{
  for (const char* head : { "HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\n",
                            "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n",
                            "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n" }) {
    MessageParser parser(MessageParser::Kind::Response, kMaxHeadBytes);
    CHECK(FeedAll(parser, std::string(head) + "abc", 1'000) == std::string(head).size());
    CHECK(parser.State() == Progress::Complete);
    CHECK(parser.Head().m_framing == BodyFraming::None);
    CHECK(parser.TakeBody().empty());
  }
}
