#include <LibLedger/Ledger.h>

#include <doctest.h>

using namespace auburnhitch;

namespace {

const Incarnation kOwn("own");
constexpr TimePoint kStart{};

LedgerLimits
ShortPeriods()
{
  LedgerLimits limits;
  limits.m_period = Milliseconds(1'000);
  limits.m_kept_periods = 2;
  return limits;
}

RequestKey
KeyOf(GrantPeriod aPeriod, const char* aSuffix, const char* aWorkspace = "mill")
{
  return RequestKey{ WorkspaceName(aWorkspace),
                     RequestIdentity{ Permit{ kOwn, aPeriod }, aSuffix } };
}

const HostName kEndpoint("s-1");

}

// A second spelling of an identity would let one request run under two identities.
TEST_CASE("Only the canonical spelling of a request identity is parsed")
{
  const auto identity = RequestIdentity::Parse("abc-7-x-y_z");
  REQUIRE(identity);
  CHECK(identity->m_permit.m_period == 7);
  CHECK(identity->m_suffix == "x-y_z");
  CHECK(identity->ToString() == "abc-7-x-y_z");
  for (const char* wrong : { "",
                             "-",
                             "abc",
                             "abc-7",
                             "abc-7-",
                             "abc-07-x",
                             "abc-+7-x",
                             "abc- 7-x",
                             "abc--7-x",
                             "-7-x",
                             "abc-7-x y",
                             "abc-7-x.y",
                             "abc-99999999999999999999-x",
                             "a/c-7-x" }) {
    CHECK_MESSAGE(!RequestIdentity::Parse(wrong), wrong);
  }
  CHECK_FALSE(RequestIdentity::Parse("abc-7-" + std::string(65, 'x')));
}

TEST_CASE("A request is marked sent at most once, also after it was closed")
{
  Ledger ledger(kOwn, kStart, ShortPeriods());
  const RequestKey key = KeyOf(0, "a");
  CHECK(ledger.Begin(key, "d").second);
  CHECK_FALSE(ledger.Begin(key, "d").second);
  CHECK(ledger.TryMarkSent(key, kEndpoint, kStart));
  CHECK_FALSE(ledger.TryMarkSent(key, kEndpoint, kStart));
  ledger.Close(key, Outcome::Unknown, "x", nullptr);
  CHECK_FALSE(ledger.TryMarkSent(key, kEndpoint, kStart));
}

// The caller may retry a request that was reported as not run; sending it later would run it
// twice.
TEST_CASE("A request that was closed as not run is never sent")
{
  Ledger ledger(kOwn, kStart, ShortPeriods());
  const RequestKey key = KeyOf(0, "a");
  ledger.Begin(key, "d");
  CHECK(ledger.TryCloseUnsent(key, "shed"));
  CHECK_FALSE(ledger.TryMarkSent(key, kEndpoint, kStart));
  CHECK_FALSE(ledger.TryCloseUnsent(key, "shed"));
}

TEST_CASE("A request that was sent is not closed as not run unless it was marked unsent")
{
  Ledger ledger(kOwn, kStart, ShortPeriods());
  const RequestKey key = KeyOf(0, "a");
  ledger.Begin(key, "d");
  ledger.TryMarkSent(key, kEndpoint, kStart);
  CHECK_FALSE(ledger.TryCloseUnsent(key, "shed"));
  ledger.MarkUnsent(key);
  CHECK(ledger.TryCloseUnsent(key, "shed"));
}

// A daemon that was paused may still hold entries of periods that have expired. It must not send
// them: expiry depends only on its own clock, not on whether DropExpired() has run.
TEST_CASE("A request of an expired period is not sent, even before its entry is dropped")
{
  Ledger ledger(kOwn, kStart, ShortPeriods());
  const RequestKey key = KeyOf(0, "a");
  ledger.Begin(key, "d");
  const TimePoint late = kStart + Milliseconds(3'000);
  CHECK(ledger.Check(key.m_identity, kStart + Milliseconds(2'999)) == IdentityStatus::Valid);
  CHECK(ledger.Check(key.m_identity, late) == IdentityStatus::Expired);
  // The daemon was paused and has not dropped anything yet.
  CHECK_FALSE(ledger.TryMarkSent(key, kEndpoint, late));
  ledger.DropExpired(late);
  CHECK(ledger.Size() == 0);
  CHECK(ledger.Check(KeyOf(4, "a").m_identity, late) == IdentityStatus::NeverIssued);
  CHECK(ledger.Check(RequestIdentity{ Permit{ Incarnation("other"), 3 }, "a" }, late) ==
        IdentityStatus::IssuedElsewhere);
}

// A caller that presents the identity of another workspace must not receive its response.
TEST_CASE("The same identity in another workspace is a different request")
{
  Ledger ledger(kOwn, kStart, ShortPeriods());
  ledger.Begin(KeyOf(0, "a", "mill"), "d");
  ledger.TryMarkSent(KeyOf(0, "a", "mill"), kEndpoint, kStart);
  ledger.Close(KeyOf(0, "a", "mill"),
               Outcome::Done,
               "",
               std::make_shared<const CachedResponse>(CachedResponse{ 200, {}, "secret" }));
  auto [entry, is_new] = ledger.Begin(KeyOf(0, "a", "guest"), "d");
  CHECK(is_new);
  CHECK(entry->m_cached_response == nullptr);
}

TEST_CASE("Cached responses are evicted at the memory limit, but their outcomes are retained")
{
  LedgerLimits limits = ShortPeriods();
  limits.m_max_cached_response_bytes = 100;
  Ledger ledger(kOwn, kStart, limits);
  for (const char* suffix : { "a", "b", "c" }) {
    ledger.Begin(KeyOf(0, suffix), "d");
    ledger.TryMarkSent(KeyOf(0, suffix), kEndpoint, kStart);
    ledger.Close(
      KeyOf(0, suffix),
      Outcome::Done,
      "",
      std::make_shared<const CachedResponse>(CachedResponse{ 200, {}, std::string(40, 'x') }));
  }
  CHECK(ledger.CachedResponseBytes() == 80);
  CHECK(ledger.Find(KeyOf(0, "a"))->m_state == RequestState::Done);
  CHECK(ledger.Find(KeyOf(0, "a"))->m_cached_response == nullptr);
  CHECK(ledger.Find(KeyOf(0, "c"))->m_cached_response != nullptr);
  ledger.DropExpired(kStart + Milliseconds(60'000));
  CHECK(ledger.CachedResponseBytes() == 0);
}
