#include <LibDispatch/EventStreamParser.h>

#include <doctest.h>
#include <vector>

using namespace auburnhitch;

// Guards against events that are lost, split or reported early when a network read ends inside an
// event or its separator.
TEST_CASE("Events are parsed whole wherever the byte stream is split")
{
  const std::string bytes = "id: 1\ndata: {\"a\":1}\n\nid: 2\ndata: [DONE]\n\nid: 3\nda";
  for (std::size_t split = 1; split < bytes.size(); ++split) {
    EventStreamParser parser;
    std::vector<StreamEvent> events;
    const auto collect = [&](const StreamEvent& aEvent) { events.push_back(aEvent); };
    CHECK(parser.Feed(bytes.substr(0, split), collect));
    CHECK(parser.Feed(bytes.substr(split), collect));
    REQUIRE(events.size() == 2);
    CHECK(events[0].m_id == 1);
    CHECK_FALSE(events[0].m_is_end);
    CHECK(events[1].m_id == 2);
    CHECK(events[1].m_is_end);
    CHECK(events[0].m_text + events[1].m_text == bytes.substr(0, bytes.rfind("\n\n") + 2));
  }
}

// Guards against unbounded memory use by an endpoint that never ends an event.
TEST_CASE("An unterminated event larger than the limit is rejected")
{
  EventStreamParser parser;
  CHECK_FALSE(parser.Feed(std::string(EventStreamParser::kMaxEventBytes + 1, 'x'),
                          [](const StreamEvent&) { FAIL("event reported before its end"); }));
}
