#include <LibHosts/HostTable.h>

#include <doctest.h>

using namespace auburnhitch;

namespace {

const HostName kHost("h-1");
constexpr TimePoint kStart{};
constexpr Milliseconds kSettle{ 1'000 };

std::vector<HostEntry>
ListWith(HostState aState)
{
  return { HostEntry{ kHost, aState, {} } };
}

}

TEST_CASE("A host receives work only while it is live on the host list")
{
  HostTable table(kSettle);
  CHECK_FALSE(table.MayReceiveWork(kHost, kStart));
  table.Update(ListWith(HostState::Live), kStart);
  CHECK(table.MayReceiveWork(kHost, kStart));
  const auto stopped = table.Update(ListWith(HostState::Leaving), kStart);
  CHECK(stopped == std::vector{ kHost });
  CHECK_FALSE(table.MayReceiveWork(kHost, kStart));
}

TEST_CASE("A host that returns to the list receives work only after the settle time")
{
  HostTable table(kSettle);
  table.Update(ListWith(HostState::Live), kStart);
  CHECK(table.Update({}, kStart) == std::vector{ kHost });
  CHECK_FALSE(table.MayReceiveWork(kHost, kStart));
  table.Update(ListWith(HostState::Live), kStart);
  CHECK_FALSE(table.MayReceiveWork(kHost, kStart));
  table.Update(ListWith(HostState::Live), kStart + kSettle);
  CHECK(table.MayReceiveWork(kHost, kStart + kSettle));
}

TEST_CASE("A malformed host list is rejected as a whole")
{
  for (const char* wrong : { "[]",
                             "{}",
                             R"({"hosts":3})",
                             R"({"hosts":[{"host":"a"}]})",
                             R"({"hosts":[{"host":"a","state":"odd"}]})" }) {
    Findings findings;
    CHECK_FALSE(ReadHostList(Json::parse(wrong), findings));
    CHECK_FALSE(findings.IsEmpty());
  }
}
