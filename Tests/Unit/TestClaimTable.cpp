#include <LibClaims/ClaimTable.h>

#include <doctest.h>

using namespace auburnhitch;

namespace {

const WorkspaceName kMill("mill");

std::string
RecordOf(const char* aKey, const char* aIdentity, const WorkspaceName& aWorkspace = kMill)
{
  return ClaimRecord{
    { Claim{ aWorkspace, *IdempotencyKey::Parse(aKey), *RequestIdentity::Parse(aIdentity) } }
  }.ToText();
}

void
Apply(ClaimTable& aTable, LogOffset aOffset, const std::string& aRecord)
{
  Findings findings;
  aTable.Apply(aOffset, aRecord, findings);
  CHECK(findings.IsEmpty());
}

}

TEST_CASE("The first claim by offset wins, for every reader and every repetition")
{
  ClaimTable table;
  Apply(table, 0, RecordOf("0-order", "a-0-x"));
  Apply(table, 1, RecordOf("0-order", "b-0-y"));
  Apply(table, 0, RecordOf("0-order", "c-0-z"));
  CHECK(table.WinnerOf(kMill, *IdempotencyKey::Parse("0-order"))->ToString() == "a-0-x");
  CHECK_FALSE(table.WinnerOf(WorkspaceName("guest"), *IdempotencyKey::Parse("0-order")));
}

TEST_CASE("A key is decidable only where all claims for it can have been read")
{
  ClaimTable table;
  table.SetFirstRetained(10);
  CHECK_FALSE(table.IsDecidable(*IdempotencyKey::Parse("9-order")));
  CHECK(table.IsDecidable(*IdempotencyKey::Parse("10-order")));
  Apply(table, 10, RecordOf("10-order", "a-0-x"));
  // Expiry takes the claim and with it the key.
  table.SetFirstRetained(11);
  CHECK_FALSE(table.WinnerOf(kMill, *IdempotencyKey::Parse("10-order")));
  CHECK_FALSE(table.IsDecidable(*IdempotencyKey::Parse("10-order")));
  CHECK(table.Size() == 0);
}

TEST_CASE("A claim for a key from the future binds nothing")
{
  ClaimTable table;
  Apply(table, 0, RecordOf("5-order", "a-0-x"));
  CHECK_FALSE(table.WinnerOf(kMill, *IdempotencyKey::Parse("5-order")));
}

TEST_CASE("Malformed keys and records are refused")
{
  for (const char* wrong : { "", "-", "x", "x-y", "1", "1-", "01-x", "-1-x", "1-x y", "1-\x01" }) {
    CHECK_MESSAGE(!IdempotencyKey::Parse(wrong), wrong);
  }
  ClaimTable table;
  LogOffset offset = 0;
  for (const char* wrong :
       { "", "{}", R"({"claims":[]})", R"({"claims":[{"workspace":"m","key":"1-x"}]})" }) {
    Findings findings;
    table.Apply(offset++, wrong, findings);
    CHECK_FALSE(findings.IsEmpty());
  }
  CHECK(table.Size() == 0);
}
