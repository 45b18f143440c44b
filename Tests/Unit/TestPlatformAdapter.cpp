#include <platform/ConfigurationDecoder.h>
#include <platform/PlatformDialect.h>
#include <platform/RegistrationDecoder.h>
#include <platform/StoreClient.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <doctest.h>
#include <random>

using namespace auburnhitch;

namespace {

constexpr const char* kConfiguration = R"({
  "version": 7, "surprise": {"new": 1},
  "routes": [
    {"name": "r1", "host": "h.example", "path_prefix": "/a/", "route_kind": "stream",
     "timeout_ms": 4000, "slo_ms": 800.0, "priority": 1, "service": "s1", "attempts": 2,
     "public": false, "sticky": true, "resumable": true, "target_gap_ms": 400},
    {"name": "r2", "host": "h.example", "path_prefix": "/b/", "route_kind": "safe",
     "timeout_ms": 1000, "slo_ms": 150, "priority": 2, "attempts": 2,
     "split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}]}],
  "services": [{"name": "s1", "max_conns": 360, "engine": {"slots": 4}}, {"name": "s2", "max_conns": 9}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4096, "header_timeout_ms": 3000,
             "idle_timeout_ms": 15000},
  "tenants": [{"name": "w", "api_keys": ["k1", "k2"], "priority": 1, "unit": "tokens",
               "uncached_tokens": 200, "rate_per_s": 105154, "burst": 105154}]})";

constexpr const char* kRegistration =
  R"({"service": "s", "address": "127.0.0.1:80", "zone": "z", "version": "v1", "slots": 4,
      "state": "ready", "cold_left_ms": 0, "seq": 4, "born": 1700000000000})";

std::string
With(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  return aText.replace(aText.find(aFrom), aFrom.size(), aTo);
}

HttpHeaders
CallerHeaders()
{
  return { { "Host", "h.example" },        { "X-Request-Id", "id-1" },
           { "X-Deadline-Ms", "8000" },    { "Authorization", "Bearer k1" },
           { "X-Token-Count", "1460,80" }, { "X-Model", "m" },
           { "X-Prefix-Hash", "5c:800" } };
}

MessageHead
AnswerOf(int aStatus, HttpHeaders aHeaders)
{
  MessageHead head;
  head.m_status = aStatus;
  head.m_headers = std::move(aHeaders);
  return head;
}

}

TEST_CASE("A configuration is decoded into this project's types")
{
  Findings findings;
  const auto table = DecodeConfiguration(kConfiguration, findings);
  REQUIRE_MESSAGE(table != nullptr, findings.Describe("c"));
  CHECK(table->Version() == 7);
  const Route* route = table->Match("h.example", "/a/x");
  REQUIRE(route != nullptr);
  CHECK(route->m_kind == RequestKind::Stream);
  CHECK(route->m_objective == Milliseconds(800));
  CHECK(route->m_target_gap == Milliseconds(400));
  CHECK(route->m_max_endpoints == 2);
  CHECK(route->IsIdempotent());
  REQUIRE(table->Match("h.example", "/b/x") != nullptr);
  CHECK(table->Match("h.example", "/b/x")->m_services.size() == 2);
  CHECK(table->FindService(ServiceName("s1"))->m_is_engine);
  CHECK_FALSE(table->FindService(ServiceName("s2"))->m_is_engine);
  const RoutedWorkspace* workspace = table->FindByKey("k2");
  REQUIRE(workspace != nullptr);
  CHECK(workspace->m_tokens_per_second == 105'154);
  CHECK(workspace->m_default_tokens == 200);
  CHECK(workspace->m_counts_tokens);
  CHECK(table->Limits().m_max_body_bytes == 4'096);
}

TEST_CASE("A configuration with an invalid field is rejected with findings")
{
  for (const auto& change : std::vector<std::pair<std::string, std::string>>{
         { "\"version\": 7", "\"version\": \"7\"" },
         { "\"service\": \"s1\", \"attempts\"", "\"attempts\"" },
         { "\"safe\"", "\"sometimes\"" },
         { "\"timeout_ms\": 4000", "\"timeout_ms\": -1" },
         { "\"k1\"", "5" },
         { "{", "[" } }) {
    Findings findings;
    CHECK_MESSAGE(
      DecodeConfiguration(With(kConfiguration, change.first, change.second), findings) == nullptr,
      change.first);
    CHECK_FALSE(findings.IsEmpty());
  }
}

TEST_CASE("A registration is decoded, and an incomplete or invalid one is rejected with findings")
{
  Findings findings;
  const auto entry = DecodeRegistration("i-1", kRegistration, findings);
  REQUIRE(entry);
  CHECK(entry->m_id == EndpointId("i-1"));
  CHECK(entry->m_slots == 4);
  CHECK_FALSE(entry->m_is_draining);
  CHECK(entry->m_software_version == SoftwareVersion("v1"));
  CHECK(entry->m_started_at_ms == 1'700'000'000'000);
  for (const auto& change : std::vector<std::pair<std::string, std::string>>{
         { "\"service\": \"s\",", "" },
         { "\"ready\"", "\"asleep\"" },
         { "\"ready\"", "1" },
         { "127.0.0.1:80", "nowhere" },
         { "127.0.0.1:80", "127.0.0.1:99999" },
         { "\"version\": \"v1\",", "" },
         { "\"v1\"", "\"\"" },
         { "\"v1\"", "1" },
         { "\"slots\": 4", "\"slots\": \"4\"" },
         { "\"slots\": 4", "\"slots\": 0" },
         { "\"slots\": 4", "\"slots\": 1e999" },
         { "\"born\": 1700000000000", "\"born\": \"x\"" },
         { "\"born\": 1700000000000", "\"born\": 1.5" },
         { ", \"born\": 1700000000000", "" },
         { "{", "\xff\xfe" } }) {
    Findings wrong;
    CHECK_MESSAGE(
      !DecodeRegistration("i-1", With(kRegistration, change.first, change.second), wrong),
      change.first);
    CHECK_FALSE(wrong.IsEmpty());
  }
}

// Guards against requests that go to a service which another writer names for an endpoint.
TEST_CASE("A registration that lacks a count which each server states is rejected")
{
  for (const auto& change : std::vector<std::pair<std::string, std::string>>{
         { "\"seq\": 4, ", "" },
         { "\"seq\": 4", "\"seq\": \"4\"" },
         { "\"seq\": 4", "\"seq\": -1" },
         { "\"cold_left_ms\": 0, ", "" },
         { "\"cold_left_ms\": 0", "\"cold_left_ms\": null" } }) {
    CAPTURE(change.second);
    Findings findings;
    CHECK_FALSE(
      DecodeRegistration("i-1", With(kRegistration, change.first, change.second), findings));
    CHECK_FALSE(findings.IsEmpty());
  }
}

TEST_CASE("A registration whose id is no header value, or whose names break a line, is rejected")
{
  for (const std::string& id : { std::string(),
                                 std::string("a b"),
                                 std::string("a\r\nX: y"),
                                 std::string("\xff"),
                                 std::string("a\0b", 3),
                                 std::string(129, 'a') }) {
    Findings findings;
    CHECK_FALSE(DecodeRegistration(id, kRegistration, findings));
    CHECK_FALSE(findings.IsEmpty());
  }
  for (const char* name : { "\"s\"", "\"z\"", "\"v1\"" }) {
    Findings findings;
    CHECK_FALSE(DecodeRegistration("i-1", With(kRegistration, name, "\"a\\nb\""), findings));
    CHECK_FALSE(findings.IsEmpty());
  }
}

TEST_CASE("An address whose port has a space or a sign is not taken for one")
{
  for (const char* port : { " 80", "+80", "80 ", "-80", "8 0", "0", "65536", "1e3", "" }) {
    CAPTURE(port);
    Findings findings;
    CHECK_FALSE(DecodeRegistration(
      "i-1", With(kRegistration, ":80\"", absl::StrCat(":", port, "\"")), findings));
    REQUIRE_FALSE(findings.IsEmpty());
    CHECK(findings.All().front().m_json_pointer == "/address");
  }
}

TEST_CASE("Records of a keyed topic survive encoding; truncated ones are refused, damaged ones do "
          "not crash")
{
  const KeyedRecord value{ "key", "value" };
  const KeyedRecord dropped{ "gone", std::nullopt };
  const std::string bytes = EncodeKeyedRecord(value) + EncodeKeyedRecord(dropped);
  const auto records = DecodeKeyedRecords(bytes);
  REQUIRE(records);
  CHECK(*records == std::vector<KeyedRecord>{ value, dropped });
  CHECK(DecodeKeyedRecords("")->empty());
  CHECK_FALSE(DecodeKeyedRecords(absl::string_view(bytes).substr(0, bytes.size() - 1)));
  std::mt19937 random(1);
  for (int i = 0; i < 10'000; ++i) {
    std::string damaged = bytes;
    damaged[random() % damaged.size()] = static_cast<char>(random());
    DecodeKeyedRecords(damaged);
  }
}

TEST_CASE(
  "The head of a caller's request is decoded, and a missing id or malformed deadline is rejected")
{
  const PlatformDialect dialect;
  MessageHead head;
  head.m_method = "POST";
  head.m_target = "/a/x?y=1";
  head.m_headers = CallerHeaders();
  const auto decoded = dialect.Decode(head);
  REQUIRE(decoded.ok());
  CHECK(decoded->m_request_id == "id-1");
  CHECK(decoded->m_path == "/a/x");
  CHECK(decoded->m_key == "k1");
  CHECK(decoded->m_max_wait == Milliseconds(8'000));
  CHECK(decoded->m_quota_tokens == 1'540);
  CHECK(decoded->m_work.m_prompt_tokens == 1'460);
  head.m_headers.erase(head.m_headers.begin() + 1);
  CHECK_FALSE(dialect.Decode(head).ok());
  head.m_headers = { { "X-Request-Id", "id-1" }, { "X-Deadline-Ms", "soon" } };
  CHECK_FALSE(dialect.Decode(head).ok());
  head.m_headers = { { "X-Request-Id", "id-1" }, { "X-Token-Count", "-5,nan,1e999" } };
  REQUIRE(dialect.Decode(head).ok());
  CHECK(dialect.Decode(head)->m_work.m_prompt_tokens == 0);
}

TEST_CASE("Header fields that only this system may set, and the caller's key, are not forwarded")
{
  const PlatformDialect dialect;
  MessageHead head;
  head.m_headers = CallerHeaders();
  for (const char* name : { "X-Hold",
                            "X-Pin-Ms",
                            "X-Kv-Backup",
                            "Kv-From",
                            "kv-fetch",
                            "X-Tenant",
                            "x-expect-instance",
                            "X-Expect-Version" }) {
    head.m_headers.emplace_back(name, "forged");
  }
  EndpointInstructions instructions;
  instructions.m_endpoint = EndpointId("i-1");
  instructions.m_workspace = WorkspaceName("w");
  instructions.m_time_left = Milliseconds(1'234);
  instructions.m_last_event_id = "9";
  const HttpHeaders headers = dialect.EndpointHeaders(head, instructions);
  CHECK(std::none_of(
    headers.begin(), headers.end(), [](const auto& aField) { return aField.second == "forged"; }));
  CHECK(FindHeader(headers, "Authorization").empty());
  CHECK(FindHeader(headers, "X-Tenant") == "w");
  CHECK(FindHeader(headers, "X-Expect-Instance") == "i-1");
  CHECK(FindHeader(headers, "X-Deadline-Ms") == "1234");
  CHECK(FindHeader(headers, "Last-Event-Id") == "9");
  CHECK(FindHeader(headers, "X-Request-Id") == "id-1");
  CHECK(FindHeader(headers, "X-Prefix-Hash") == "5c:800");
}

TEST_CASE("A success counts only if it names the request and has the endpoint's signature")
{
  const PlatformDialect dialect;
  const auto meaning = [&](int aStatus, HttpHeaders aHeaders) {
    return dialect.ClassifyResponse(AnswerOf(aStatus, std::move(aHeaders)), "id-1");
  };
  for (const int status : { 200, 201, 204, 206 }) {
    CHECK(meaning(status, { { "X-Request-Id", "id-1" }, { "X-Response-Seal", "s" } }) ==
          ResponseMeaning::Success);
    CHECK(meaning(status,
                  { { "X-Request-Id", "id-1" },
                    { "X-Response-Seal", "s" },
                    { "Content-Encoding", "gzip" } }) == ResponseMeaning::Encoded);
    CHECK(meaning(status, { { "X-Request-Id", "id-1" } }) == ResponseMeaning::Unsigned);
    CHECK(meaning(status, { { "X-Request-Id", "id-1" }, { "X-Response-Seal", "" } }) ==
          ResponseMeaning::Unsigned);
    CHECK(meaning(status, { { "X-Response-Seal", "s" } }) == ResponseMeaning::Unnamed);
    CHECK(meaning(status, {}) == ResponseMeaning::Unnamed);
    CHECK(meaning(status, { { "X-Request-Id", "id-2" }, { "X-Response-Seal", "s" } }) ==
          ResponseMeaning::Mismatched);
  }
}

TEST_CASE("Only an endpoint's own statement proves that it did not run a request")
{
  const PlatformDialect dialect;
  const auto meaning = [&](int aStatus, HttpHeaders aHeaders) {
    return dialect.ClassifyResponse(AnswerOf(aStatus, std::move(aHeaders)), "id-1");
  };
  for (const int status : { 400, 408, 421, 429, 500, 503 }) {
    CAPTURE(status);
    const bool is_promise = status != 400 && status != 500;
    CHECK(meaning(status, { { "X-Request-Id", "id-1" } }) ==
          (is_promise ? ResponseMeaning::Contradictory : ResponseMeaning::Failure));
    CHECK(meaning(status, {}) == ResponseMeaning::Unnamed);
    CHECK(meaning(status, { { "X-Not-Executed", "1" } }) == ResponseMeaning::Unnamed);
    CHECK(meaning(status, { { "X-Not-Executed", "1" }, { "X-Request-Id", "id-1" } }) ==
          ResponseMeaning::NotRun);
    CHECK(meaning(status, { { "X-Not-Executed", "1" }, { "X-Request-Id", "id-2" } }) ==
          ResponseMeaning::Mismatched);
    CHECK(meaning(status, { { "X-Request-Id", "id-1" }, { "X-Instance-Id", "i-2" } }) ==
          meaning(status, { { "X-Request-Id", "id-1" } }));
    CHECK(meaning(status, { { "X-Instance-Id", "i-2" } }) == ResponseMeaning::Unnamed);
  }
  for (const HttpHeaders& also : { HttpHeaders{}, HttpHeaders{ { "X-Response-Seal", "s" } } }) {
    HttpHeaders headers = also;
    headers.emplace_back("X-Not-Executed", "1");
    CHECK(meaning(200, headers) == ResponseMeaning::Unnamed);
    headers.emplace_back("X-Request-Id", "id-1");
    CHECK(meaning(200, headers) == ResponseMeaning::Contradictory);
  }
  CHECK(FindHeader(dialect.GatewayResponseHeaders("id-1", Milliseconds(250)), "Retry-After") ==
        "0.250");
}

TEST_CASE("The parts of a prompt are decoded without the last, and malformed ones are ignored")
{
  const PlatformDialect dialect;
  const auto parts = [&](const std::string& aValue) {
    MessageHead head;
    head.m_target = "/a/x";
    head.m_headers = { { "X-Request-Id", "id-1" }, { "x-prefix-hash", aValue } };
    const CallerRequestHead decoded = dialect.Decode(head).value();
    std::string text;
    for (const PromptPart& part : decoded.m_prompt_parts) {
      text += part.Value() + " ";
    }
    return text;
  };
  CHECK(parts("5c1e07a2:800,91BD3f06:410,e4402b7d:250") == "5c1e07a2 91bd3f06 ");
  CHECK(parts("5c:800, 5C:410 ,e4:250") == "5c ");
  CHECK(parts("5c:800") == "");
  CHECK(parts("") == "");
  CHECK(parts("xy:800,:5,5c,-1:2," + std::string(65, 'a') + ":1,e4:250") == "5c ");
  std::string many;
  for (int i = 0; i < 1'000; ++i) {
    many += std::to_string(i) + ":1,";
  }
  CHECK(parts(many).starts_with("0 1 2 "));
  CHECK(parts(many).ends_with(" 63 "));
}

TEST_CASE("The limit that an endpoint states is decoded, and a malformed one is reported as such")
{
  const PlatformDialect dialect;
  const auto notice = [&](HttpHeaders aHeaders) {
    return dialect.DecodeNotice(AnswerOf(200, std::move(aHeaders)));
  };
  CHECK(notice({}) == EndpointNotice{});
  CHECK(notice({ { "server-limit", " 1.3 " } }).m_limit == RequestRate{ 1.3 });
  CHECK(notice({ { "Server-Limit", "0" } }).m_limit == RequestRate{ 0 });
  CHECK(notice({ { "Server-Limit", "3" }, { "Server-Limit", "2" } }).m_limit == RequestRate{ 2 });
  for (const char* value : { "", "-1", "nan", "inf", "1e400", "2, 3", "two", "2 per second" }) {
    CAPTURE(value);
    CHECK(notice({ { "Server-Limit", value } }) == EndpointNotice{ std::nullopt, true });
    CHECK(notice({ { "Server-Limit", "2" }, { "Server-Limit", value } }) ==
          EndpointNotice{ std::nullopt, true });
  }
}

TEST_CASE("An endpoint's statement that it leaves is decoded, whatever else it states")
{
  const PlatformDialect dialect;
  const auto notice = [&](HttpHeaders aHeaders, int aStatus = 200) {
    return dialect.DecodeNotice(AnswerOf(aStatus, std::move(aHeaders)));
  };
  for (const int status : { 200, 400, 421, 429, 500, 503 }) {
    CHECK(notice({ { "server-leaving", " 1 " } }, status).m_is_leaving);
  }
  CHECK(notice({ { "Server-Leaving", "0" } }) == EndpointNotice{});
  for (const char* value : { "", "yes", "true", "2", "1, 1", "-1" }) {
    CAPTURE(value);
    const EndpointNotice malformed = notice({ { "Server-Leaving", value } });
    CHECK_FALSE(malformed.m_is_leaving);
    CHECK(malformed.m_is_leaving_malformed);
    CHECK(notice({ { "Server-Leaving", value }, { "Server-Leaving", "1" } }).m_is_leaving);
  }
  const EndpointNotice both = notice({ { "Server-Limit", "two" }, { "Server-Leaving", "1" } });
  CHECK(both.m_is_leaving);
  CHECK(both.m_is_limit_malformed);
  CHECK(notice({ { "Server-Limit", "2" }, { "Server-Leaving", "x" } }).m_limit == RequestRate{ 2 });
}

TEST_CASE("An endpoint's request for rest is decoded from its refusals alone")
{
  const PlatformDialect dialect;
  const auto notice = [&](HttpHeaders aHeaders, int aStatus = 503) {
    return dialect.DecodeNotice(AnswerOf(aStatus, std::move(aHeaders)));
  };
  CHECK(notice({ { "retry-after", " 2 " } }).m_rest == Milliseconds(2'000));
  CHECK(notice({ { "Retry-After", "0.2501" } }).m_rest == Milliseconds(251));
  CHECK(notice({ { "Retry-After", "1e9" } }).m_rest == Milliseconds(300'000));
  CHECK(notice({ { "Retry-After", "3" }, { "Retry-After", "1" } }).m_rest == Milliseconds(3'000));
  CHECK(notice({ { "Retry-After", "0" } }) == EndpointNotice{});
  CHECK(notice({}) == EndpointNotice{});
  for (const int status : { 200, 429, 500, 502, 504 }) {
    CHECK(notice({ { "Retry-After", "2" } }, status) == EndpointNotice{});
  }
  for (const char* value :
       { "", "-1", "nan", "inf", "1e400", "2, 3", "two", "Fri, 04 Dec 2026 16:00:00 GMT" }) {
    CAPTURE(value);
    const EndpointNotice malformed = notice({ { "Retry-After", value } });
    CHECK_FALSE(malformed.m_rest);
    CHECK(malformed.IsMalformed());
    CHECK(notice({ { "Retry-After", value }, { "Retry-After", "2" } }).m_rest ==
          Milliseconds(2'000));
  }
  const EndpointNotice all =
    notice({ { "Retry-After", "2" }, { "Server-Limit", "3" }, { "Server-Leaving", "1" } });
  CHECK(all.m_rest == Milliseconds(2'000));
  CHECK(all.m_limit == RequestRate{ 3 });
  CHECK(all.m_is_leaving);
}
