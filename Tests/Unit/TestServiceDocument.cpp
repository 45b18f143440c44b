#include "TestDocuments.h"

#include <algorithm>
#include <doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

std::vector<std::string>
JsonPointersFoundIn(const Json& aDocument)
{
  Findings findings;
  CheckServiceDocument(aDocument, findings);
  std::vector<std::string> pointers;
  for (const Finding& finding : findings.All()) {
    pointers.push_back(finding.m_json_pointer);
  }
  return pointers;
}

bool
Has(const std::vector<std::string>& aPointers, const std::string& aPointer)
{
  return std::find(aPointers.begin(), aPointers.end(), aPointer) != aPointers.end();
}

}

TEST_CASE("All parts of a valid document are parsed")
{
  Findings findings;
  const auto document = CheckServiceDocument(DocumentOf("desk"), findings);
  REQUIRE(document != nullptr);
  CHECK(findings.IsEmpty());
  CHECK(document->TierIndexOf(TierName("trial")) == 1);
  CHECK_FALSE(document->FindKind(KindName("bid"))->m_is_idempotent);
  CHECK(document->FindWorkspaceByKey("mill-key")->m_name.Value() == "mill");
  CHECK(document->FindWorkspaceByKey("mill-kez") == nullptr);
}

TEST_CASE("All findings of a document are reported together, each with its JSON pointer")
{
  Json document = DocumentOf("desk");
  document["type"] = "robot";
  document["kinds"][1]["tier"] = "nowhere";
  document["workspaces"][1]["key_sha256"] = "secret";
  document["endpoints"][0]["windw"] = 3;
  document["tiers"][1]["name"] = "live";
  document.erase("service");
  const auto pointers = JsonPointersFoundIn(document);
  for (const char* pointer : { "/service",
                               "/type",
                               "/kinds/1/tier",
                               "/workspaces/1/key_sha256",
                               "/endpoints/0/windw",
                               "/tiers/1/name" }) {
    CHECK_MESSAGE(Has(pointers, pointer), pointer);
  }
}

// Replaces each value of a valid document by values of other types. None of them may cause an
// exception, and a document is rejected exactly if it has findings.
TEST_CASE("Values of a wrong type give findings and no exception")
{
  const std::vector<Json> wrong{
    nullptr, 7, -1, 1e300, "text", Json::array(), Json::object(), true
  };
  const Json correct = DocumentOf("desk");
  for (const Json& flat = correct.flatten(); const auto& entry : flat.items()) {
    for (const Json& value : wrong) {
      Json document = correct;
      document[Json::json_pointer(entry.key())] = value;
      Findings findings;
      const auto checked = CheckServiceDocument(document, findings);
      CHECK((checked == nullptr) == !findings.IsEmpty());
    }
  }
  for (const Json& value : wrong) {
    CHECK_FALSE(JsonPointersFoundIn(value).empty());
  }
}

TEST_CASE("A number out of range gives a finding")
{
  Findings findings;
  CHECK_FALSE(ParseJson("{\"deadline_ms\":1e999}", findings));
  CHECK_FALSE(findings.IsEmpty());
}

TEST_CASE("The example documents are valid")
{
  std::size_t count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(EXAMPLES "/documents")) {
    std::ifstream file(entry.path());
    std::stringstream text;
    text << file.rdbuf();
    Findings findings;
    const auto json = ParseJson(text.str(), findings);
    REQUIRE(json);
    CHECK(CheckServiceDocument(*json, findings) != nullptr);
    CHECK(findings.Describe(entry.path().string()).empty());
    ++count;
  }
  CHECK(count == 4);
}

TEST_CASE(
  "JSON and MessagePack that are nested too deeply are malformed, brackets in texts don't count")
{
  const auto nested = [](std::size_t aLevels) {
    return std::string(aLevels, '[') + std::string(aLevels, ']');
  };
  Findings findings;
  CHECK(ParseJson(nested(kMaxJsonLevels), findings));
  CHECK(ParseJson("{\"a\":\"" + std::string(1'000, '[') + "\\\"" + nested(500) + "\"}", findings));
  CHECK(findings.IsEmpty());
  CHECK_FALSE(ParseJson(nested(kMaxJsonLevels + 1), findings));
  CHECK_FALSE(ParseJson(std::string(8'000'000, '{'), findings));
  CHECK(findings.All().size() == 2);
  CHECK(ParseMessagePack("\x91\x91\x01"));
  CHECK_FALSE(ParseMessagePack(std::string(8'000'000, '\x91')));
  CHECK_FALSE(ParseMessagePack(std::string(8'000'000, '\x91') + "\x01"));
  std::string wide("\xdd\x00\x00\x10\x00", 5);
  CHECK(ParseMessagePack(wide + std::string(4'096, '\x01')));
}

TEST_CASE("Text that is not UTF-8 and single surrogates are replaced, everything else is kept")
{
  const std::string replaced = "\xEF\xBF\xBD";
  for (const std::string kept : { "{\"a\": \"\\ud83d\\ude00 \\\\ud800 \\n\"}",
                                  "plain",
                                  "\xC3\xA1 \xE2\x82\xAC \xF0\x9F\x98\x80",
                                  "\\" }) {
    CHECK(ReplaceMalformedText(kept) == kept);
  }
  CHECK(ReplaceMalformedText("a\xff\xfe!") == "a" + replaced + replaced + "!");
  CHECK(ReplaceMalformedText("\xC0\x80") == replaced + replaced);
  CHECK(ReplaceMalformedText("\xED\xA0\x80") == replaced + replaced + replaced);
  CHECK(ReplaceMalformedText("\xE2\x82") == replaced + replaced);
  CHECK(ReplaceMalformedText("\\ud800x") == replaced + "x");
  CHECK(ReplaceMalformedText("\\udc00\\ud83d\\ude00") == replaced + "\\ud83d\\ude00");
  CHECK(ReplaceMalformedText("\\ud800\\ud83d\\ude00") == replaced + "\\ud83d\\ude00");
}
