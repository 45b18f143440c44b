#include <LibGateway/EventSplitter.h>
#include <LibGateway/ForwardedHeaders.h>
#include <LibGateway/GatewaySettings.h>
#include <LibGateway/RefusedRequests.h>
#include <LibGateway/RequestDigest.h>
#include <LibGateway/StopSchedule.h>

#include <LibGateway/RefusedRequests.h>
#include <absl/strings/str_cat.h>
#include <doctest.h>

using namespace auburnhitch;

namespace {

Json
ValidSettings()
{
  return Json::parse(R"({
    "host": "h", "data_center": "d",
    "caller_address": "127.0.0.1:1", "readiness_address": "127.0.0.1:2",
    "directory_address": "127.0.0.1:3", "metrics_address": "127.0.0.1:4",
    "peer_address": "127.0.0.1:5", "store_address": "127.0.0.1:6"
  })");
}

}

TEST_CASE("A stream is split into complete events, and the id of the last one is recorded")
{
  const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c";
  for (const std::size_t step : { std::size_t{ 1 }, std::size_t{ 5 }, stream.size() }) {
    EventSplitter splitter;
    std::string complete;
    for (std::size_t at = 0; at < stream.size(); at += step) {
      complete += *splitter.Feed(absl::string_view(stream).substr(at, step));
    }
    CHECK(complete == stream.substr(0, stream.find("id: 3")));
    CHECK(splitter.LastEventId() == "2");
    CHECK(splitter.TakeIncompleteEvent() == "id: 3\ndata: c");
  }
}

TEST_CASE("An incomplete event is discarded before another endpoint resumes the stream")
{
  EventSplitter splitter;
  CHECK(*splitter.Feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  splitter.DiscardIncompleteEvent();
  CHECK(*splitter.Feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(splitter.LastEventId() == "2");
}

TEST_CASE("An event is forwarded as soon as it ends, whichever line ends its stream uses")
{
  for (const std::string end : { "\r", "\n\r\n", "\r\n\n" }) {
    CAPTURE(end);
    const std::string event = absl::StrCat("id: 1", end.substr(0, 1), "data: a", end, end);
    EventSplitter splitter;
    std::string complete;
    for (const char byte : event + "id: 2") {
      complete += *splitter.Feed(absl::string_view(&byte, 1));
    }
    CHECK(complete == event);
    CHECK(splitter.LastEventId() == "1");
    CHECK(splitter.TakeIncompleteEvent() == "id: 2");
  }
  EventSplitter splitter;
  CHECK(*splitter.Feed(": still running\n") == ": still running\n");
}

// Guards against a response of any type that fills the memory of a daemon.
TEST_CASE("An event without an end is bounded, whatever its bytes are")
{
  for (const std::string& block : { std::string(1'000, 'x'), std::string("data: x\n") }) {
    EventSplitter splitter;
    REQUIRE(splitter.Feed("id: 1\ndata: a\n\n").ok());
    std::size_t fed = 0;
    absl::Status status;
    while (status.ok() && fed <= 2 * kMaxEventBytes) {
      status = splitter.Feed(block).status();
      fed += block.size();
    }
    CHECK(absl::IsResourceExhausted(status));
    CHECK(fed <= kMaxEventBytes + block.size());
    CHECK(splitter.TakeIncompleteEvent().empty());
    CHECK(splitter.LastEventId() == "1");
  }
}

TEST_CASE("Hop-by-hop fields, framing fields and dropped fields are not forwarded")
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
  const HttpHeaders forwarded = ForwardedHeaders(headers, { "x-own" });
  const HttpHeaders expected{
    { "Host", "h" }, { "X-Kept", "3" }, { "Set-Cookie", "a" }, { "Set-Cookie", "b" }
  };
  CHECK(forwarded == expected);
}

TEST_CASE("Valid gateway settings are accepted, with defaults for absent members")
{
  Findings findings;
  Json json = ValidSettings();
  json["bounds"] = { { "drain_ms", 1'500.0 },
                     { "stop_grace_s", 8.5 },
                     { "retry_ratio", 0.2 },
                     { "directory_lifetime_s", 5 } };
  const auto settings = GatewaySettings::FromJson(json, findings);
  REQUIRE(settings);
  CHECK(settings->m_drain_bound == Milliseconds(1'500));
  CHECK(settings->m_stop_grace == Milliseconds(8'500));
  CHECK(settings->m_directory_lifetime == Milliseconds(1'000));
  CHECK(settings->m_advertised_peer_address == settings->m_peer_address);
  json["advertised_peer_address"] = "127.0.0.1:7";
  CHECK(GatewaySettings::FromJson(json, findings)->m_advertised_peer_address ==
        SocketAddress("127.0.0.1:7"));
}

TEST_CASE("Only a setting or the contract pressure turns on learned concurrency")
{
  // Guards against new placement on earlier deployments, whose settings have neither.
  const auto learns = [](const Json& aContracts, const Json& aSetting) {
    Findings findings;
    Json json = ValidSettings();
    json["contracts"] = aContracts;
    if (!aSetting.is_null()) {
      json["learn_concurrency"] = aSetting;
    }
    const auto settings = GatewaySettings::FromJson(json, findings);
    REQUIRE(settings);
    return settings->m_learn_concurrency;
  };
  CHECK_FALSE(learns(nullptr, nullptr));
  CHECK_FALSE(learns(Json::array({ "other" }), nullptr));
  CHECK(learns(Json::array({ "other", "pressure" }), nullptr));
  CHECK(learns(nullptr, true));
  CHECK_FALSE(learns(Json::array({ "pressure" }), false));
}

// Guards against rollouts that are in force where the platform states no bounds for them.
TEST_CASE("Rollouts are in force only if all of their bounds are set")
{
  Findings findings;
  Json json = ValidSettings();
  CHECK_FALSE(GatewaySettings::FromJson(json, findings)->m_rollout_bounds);
  json["bounds"] = { { "exposure_share", nullptr },
                     { "exposure_slack", nullptr },
                     { "rollback_ms", nullptr } };
  CHECK_FALSE(GatewaySettings::FromJson(json, findings)->m_rollout_bounds);
  json["bounds"] = { { "exposure_share", 0.1 }, { "exposure_slack", 50 } };
  CHECK_FALSE(GatewaySettings::FromJson(json, findings)->m_rollout_bounds);
  json["bounds"]["rollback_ms"] = 5'000;
  CHECK(GatewaySettings::FromJson(json, findings)->m_rollout_bounds ==
        RolloutBounds{ { 0.1, 50 }, Milliseconds(5'000) });
}

TEST_CASE("Every error in gateway settings is reported with its path")
{
  Json json = ValidSettings();
  json["caller_address"] = "nowhere";
  json["advertised_peer_address"] = "127.0.0.1";
  json["max_descriptors"] = 3;
  json["surprise"] = 1;
  json["contracts"] = { 5 };
  json["learn_concurrency"] = "yes";
  json["seed_addresses"] = { "127.0.0.1:7", 5 };
  json["bounds"] = { { "stop_grace_s", -1 }, { "retry_slack", "many" } };
  json.erase("host");
  Findings findings;
  CHECK_FALSE(GatewaySettings::FromJson(json, findings));
  const std::string text = findings.Describe("f");
  for (const char* path : { "/caller_address",
                            "/advertised_peer_address",
                            "/max_descriptors",
                            "/surprise",
                            "/contracts/0",
                            "/learn_concurrency",
                            "/seed_addresses/1",
                            "/bounds/stop_grace_s",
                            "/bounds/retry_slack",
                            "/host" }) {
    CHECK_MESSAGE(text.find(path) != std::string::npos, path);
  }
}

TEST_CASE("A request that comes again has the same digest, and another request another one")
{
  MessageHead head;
  head.m_method = "POST";
  head.m_target = "/a/b?c=1";
  head.m_headers = { { "X-Request-Id", "1" }, { "Content-Length", "4" } };
  const std::string digest = RequestDigest(head, "caller", "body");
  CHECK(digest.size() == 40);
  MessageHead again = head;
  again.m_headers = { { "X-Request-Id", "2" },
                      { "X-Deadline-Ms", "9" },
                      { "Last-Event-Id", "3" },
                      { "Transfer-Encoding", "chunked" } };
  CHECK(RequestDigest(again, "caller", "body") == digest);
  CHECK(RequestDigest(head, "other", "body") != digest);
  CHECK(RequestDigest(head, "calleR", "body") != digest);
  CHECK(RequestDigest(head, "caller", "other") != digest);
  CHECK(RequestDigest(head, "caller", "") != digest);
  CHECK(RequestDigest(head, "callerbody", "") != RequestDigest(head, "caller", "body"));
  again.m_method = "PUT";
  CHECK(RequestDigest(again, "caller", "body") != digest);
  again = head;
  again.m_target = "/a/b?c=2";
  CHECK(RequestDigest(again, "caller", "body") != digest);
}

TEST_CASE("Refused requests are remembered for each endpoint, for a while, and not without bound")
{
  RefusedRequests refused(RefusedRequests::Limits{ Milliseconds(1'000), 3, 8 });
  const TimePoint start{};
  const SocketAddress endpoint("127.0.0.1:1");
  refused.Record("one", endpoint, start);
  refused.Record("one", endpoint, start + Milliseconds(10));
  CHECK(refused.Size() == 1);
  CHECK(refused.Contains("one", endpoint));
  CHECK_FALSE(refused.Contains("one", SocketAddress("127.0.0.1:2")));
  CHECK_FALSE(refused.Contains("two", endpoint));
  refused.Record("123456789", endpoint, start);
  CHECK(refused.Contains("12345678", endpoint));
  refused.Record("three", endpoint, start);
  refused.Record("four", endpoint, start);
  CHECK(refused.Size() == 3);
  CHECK_FALSE(refused.Contains("one", endpoint));
  refused.Record("late", endpoint, start + Milliseconds(2'000));
  CHECK(refused.Size() == 1);
  CHECK(refused.Contains("late", endpoint));
}

TEST_CASE("Stop: what a daemon still has ends in order before the process does, at any grace")
{
  const TimePoint begin{ std::chrono::seconds(100) };
  for (const int grace_ms : { 0, 400, 1'000, 3'000, 8'000, 60'000 }) {
    CAPTURE(grace_ms);
    const StopSchedule stop(begin, Milliseconds(grace_ms));
    CHECK(stop.BegunAt() == begin);
    CHECK(stop.AcceptsUntil() >= begin);
    CHECK(stop.WaitsUntil() >= stop.AcceptsUntil());
    CHECK(stop.RunsUntil() >= stop.WaitsUntil());
    CHECK(stop.EndsAt() >= stop.RunsUntil());
    CHECK(stop.EndsAt() <= std::max(begin, begin + Milliseconds(grace_ms)));
  }
  const StopSchedule stop(begin, Milliseconds(8'000));
  CHECK(stop.RunsUntil() - begin > Milliseconds(8'000) * 5 / 6);
  CHECK(stop.EndsAt() - stop.RunsUntil() > Milliseconds(500));
}
