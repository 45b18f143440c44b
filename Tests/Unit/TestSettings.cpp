#include <Settings.h>

#include <doctest.h>

using namespace auburnhitch;

namespace {

Json
CorrectSettings()
{
  return Json{ { "host", "entry-1" },
               { "data_center", "khomas-a" },
               { "caller_address", "127.0.0.1:1" },
               { "peer_address", "127.0.0.1:2" },
               { "operator_address", "127.0.0.1:3" },
               { "log_service", "127.0.0.1:4" },
               { "host_list", "127.0.0.1:5" } };
}

}

TEST_CASE("Valid settings are read")
{
  Json json = CorrectSettings();
  json["ledger"] = Json{ { "period_ms", 500 } };
  Findings findings;
  const auto settings = Settings::FromJson(json, findings);
  REQUIRE(settings);
  CHECK(settings->m_ledger.m_period == Milliseconds(500));
}

TEST_CASE("All findings in invalid settings are reported at once")
{
  Json json = CorrectSettings();
  json["caller_address"] = "localhost:80";
  json["peer_address"] = "127.0.0.1:99999";
  json["log_level"] = "loud";
  json["ledger"] = Json{ { "kept_periods", 0 }, { "color", 1 } };
  json["callers"] = 3;
  json.erase("host");
  Findings findings;
  CHECK_FALSE(Settings::FromJson(json, findings));
  const std::string text = findings.Describe("settings.json");
  for (const char* place : { "/host:",
                             "/caller_address:",
                             "/peer_address:",
                             "/log_level:",
                             "/ledger/kept_periods:",
                             "/ledger/color:",
                             "/callers:" }) {
    CHECK_MESSAGE(text.find(place) != std::string::npos, place);
  }
}
