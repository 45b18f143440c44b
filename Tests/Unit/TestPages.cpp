#include <Settings.h>

#include <doctest.h>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace auburnhitch;

namespace {

std::string
TextOf(const std::filesystem::path& aPath)
{
  std::stringstream text;
  text << std::ifstream(aPath).rdbuf();
  return text.str();
}

std::string
Sources()
{
  std::string text;
  for (const char* folder : { "Libraries", "Daemon", "Command", "platform" }) {
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(std::string(SOURCE_ROOT "/") + folder)) {
      if (entry.path().extension() == ".cpp" || entry.path().extension() == ".h") {
        text += TextOf(entry.path());
      }
    }
  }
  return text;
}

std::set<std::string>
AllMatches(const std::string& aText, const std::string& aPattern)
{
  std::set<std::string> found;
  const std::regex pattern(aPattern);
  for (auto match = std::sregex_iterator(aText.begin(), aText.end(), pattern);
       match != std::sregex_iterator();
       ++match) {
    found.insert((*match)[1]);
  }
  return found;
}

}

TEST_CASE("The operators' page documents exactly the settings keys of the own interface")
{
  const std::string page = TextOf(SOURCE_ROOT "/docs/OPERATIONS.md");
  const auto start = page.find("## Settings of the own interface");
  const std::string table = page.substr(start, page.find("## Documents") - start);
  const std::string code = TextOf(SOURCE_ROOT "/Daemon/Settings.cpp");
  auto documented = AllMatches(table, "`(?:ledger\\.|scheduler\\.|callers\\.)?([a-z_]+)`");
  for (const char* value : { "info", "trace", "off" }) {
    documented.erase(value);
  }
  auto known = AllMatches(code, "\"([a-z]+(?:_[a-z]+)+|host|[a-z]+_ms)\"");
  for (const std::string& key : known) {
    CHECK_MESSAGE(documented.contains(key), key);
  }
  for (const std::string& key : documented) {
    CHECK_MESSAGE(known.contains(key), key);
  }
  CHECK(known.size() > 15);
}

TEST_CASE("The operators' page documents exactly the settings keys of a gateway")
{
  const std::string page = TextOf(SOURCE_ROOT "/docs/OPERATIONS.md");
  const auto start = page.find("## Settings of a gateway");
  const std::string table =
    page.substr(start, page.find("## Settings of the own interface") - start);
  const std::string code = TextOf(SOURCE_ROOT "/Libraries/LibGateway/GatewaySettings.cpp");
  auto documented = AllMatches(table, "`(?:bounds\\.)?([a-z_]+)`");
  for (const char* value : { "info", "trace", "off", "gateway" }) {
    documented.erase(value);
  }
  auto known = AllMatches(code, "[Rr]eader, \"([a-z_]+)\"|[a-z]\\(\"([a-z_]+)\"");
  known.merge(AllMatches(code, "\\(\"([a-z_]+)\""));
  known.erase("");
  known.erase("bounds");
  CHECK(known == documented);
  CHECK(known.size() > 15);
}

TEST_CASE("The pages document exactly the metrics and log prefixes, and every error code")
{
  const std::string sources = Sources();
  const std::string operating = TextOf(SOURCE_ROOT "/docs/OPERATIONS.md");
  CHECK(AllMatches(sources, "\"(auburnhitch_[a-z_]+)\"") ==
        AllMatches(operating, "`(auburnhitch_[a-z_]+)`"));

  auto prefixes = AllMatches(sources, "LogOf\\(\"([a-z]+)\"\\)");
  prefixes.merge(AllMatches(sources, "m_decisions\\.Add\\(\\s*\"([a-z]+)\""));
  const auto start = operating.find("## Log prefixes");
  const std::string table = operating.substr(start, operating.find("## Metrics") - start);
  CHECK(prefixes == AllMatches(table, "\\| `([a-z]+)` \\|"));

  const std::string protocols = TextOf(SOURCE_ROOT "/docs/PROTOCOLS.md");
  for (const std::string& code :
       AllMatches(TextOf(SOURCE_ROOT "/Libraries/LibDispatch/CallerError.cpp"),
                  "ErrorCode::[A-Za-z]+,\\s*\"([a-z_]+)\"")) {
    CHECK_MESSAGE(protocols.find("`" + code + "`") != std::string::npos, code);
  }
}
