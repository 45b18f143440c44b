#include <LibGateway/EventSplitter.h>
#include <LibGateway/ForwardedHeaders.h>
#include <LibGateway/GatewaySettings.h>

#include <doctest.h>

using namespace auburnhitch;

namespace {

Json
CorrectSettings()
{
  return Json::parse(R"({
    "host": "h", "data_center": "d",
    "caller_address": "127.0.0.1:1", "readiness_address": "127.0.0.1:2",
    "directory_address": "127.0.0.1:3", "metrics_address": "127.0.0.1:4",
    "peer_address": "127.0.0.1:5", "store_address": "127.0.0.1:6"
  })");
}

}

TEST_CASE("A stream is passed on event by event, and its last id is known")
{
  const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c";
  for (const std::size_t step : { std::size_t{ 1 }, std::size_t{ 5 }, stream.size() }) {
    EventSplitter splitter;
    std::string whole;
    for (std::size_t at = 0; at < stream.size(); at += step) {
      whole += splitter.Feed(absl::string_view(stream).substr(at, step));
    }
    CHECK(whole == stream.substr(0, stream.find("id: 3")));
    CHECK(splitter.LastEventId() == "2");
    CHECK(splitter.TakeIncompleteEvent() == "id: 3\ndata: c");
  }
}

TEST_CASE("An event that was not finished is dropped before another endpoint goes on")
{
  EventSplitter splitter;
  CHECK(splitter.Feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  splitter.DiscardIncompleteEvent();
  CHECK(splitter.Feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(splitter.LastEventId() == "2");
}

TEST_CASE("Header fields of one connection and those that are dropped do not pass")
{
  const HttpHeaders headers{ { "Host", "h" },
                             { "Connection", "keep-alive, X-Secret" },
                             { "X-Secret", "1" },
                             { "Keep-Alive", "timeout=5" },
                             { "Transfer-Encoding", "chunked" },
                             { "Content-Length", "3" },
                             { "X-Own", "2" },
                             { "X-Kept", "3" },
                             { "Set-Cookie", "a" },
                             { "Set-Cookie", "b" } };
  const HttpHeaders passed = ForwardedHeaders(headers, { "x-own" });
  const HttpHeaders expected{
    { "Host", "h" }, { "X-Kept", "3" }, { "Set-Cookie", "a" }, { "Set-Cookie", "b" }
  };
  CHECK(passed == expected);
}

TEST_CASE("Correct gateway settings are taken, with defaults")
{
  Findings findings;
  Json json = CorrectSettings();
  json["bounds"] = { { "drain_ms", 1'500.0 },
                     { "stop_grace_s", 8.5 },
                     { "retry_ratio", 0.2 },
                     { "directory_lifetime_s", 5 } };
  const auto settings = GatewaySettings::FromJson(json, findings);
  REQUIRE(settings);
  CHECK(settings->m_drain_bound == Milliseconds(1'500));
  CHECK(settings->m_stop_grace == Milliseconds(8'500));
  CHECK(settings->m_directory_lifetime == Milliseconds(1'000));
}

TEST_CASE("Every fault in gateway settings is reported with its place")
{
  Json json = CorrectSettings();
  json["caller_address"] = "nowhere";
  json["max_descriptors"] = 3;
  json["surprise"] = 1;
  json["seed_addresses"] = { "127.0.0.1:7", 5 };
  json["bounds"] = { { "stop_grace_s", -1 }, { "retry_slack", "many" } };
  json.erase("host");
  Findings findings;
  CHECK_FALSE(GatewaySettings::FromJson(json, findings));
  const std::string text = findings.Describe("f");
  for (const char* place : { "/caller_address",
                             "/max_descriptors",
                             "/surprise",
                             "/seed_addresses/1",
                             "/bounds/stop_grace_s",
                             "/bounds/retry_slack",
                             "/host" }) {
    CHECK_MESSAGE(text.find(place) != std::string::npos, place);
  }
}
