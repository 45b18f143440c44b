#include <LibQueueing/TieredQueue.h>

#include <doctest.h>

using namespace auburnhitch;

namespace {

constexpr TimePoint kStart{};

WaitingRequest
RequestOf(const char* aWorkspace,
          const std::string& aSuffix,
          std::size_t aTier,
          int aDeadlineMs,
          std::int64_t aShare = 1)
{
  WaitingRequest request;
  request.m_key = RequestKey{ WorkspaceName(aWorkspace),
                              RequestIdentity{ Permit{ Incarnation("i"), 0 }, aSuffix } };
  request.m_tier = aTier;
  request.m_is_sheddable = aTier > 0;
  request.m_share = aShare;
  request.m_work = 1;
  request.m_deadline = kStart + Milliseconds(aDeadlineMs);
  return request;
}

}

TEST_CASE("Requests are served by tier, then by deadline")
{
  TieredQueue queue;
  queue.Push(RequestOf("m", "night", 1, 1));
  queue.Push(RequestOf("m", "late", 0, 20));
  queue.Push(RequestOf("m", "early", 0, 10));
  CHECK(queue.Pop().m_key.m_identity.m_suffix == "early");
  CHECK(queue.Pop().m_key.m_identity.m_suffix == "late");
  CHECK(queue.Pop().m_key.m_identity.m_suffix == "night");
  CHECK(queue.Size() == 0);
}

TEST_CASE("A workspace with many requests does not delay one with few")
{
  TieredQueue queue;
  for (int index = 0; index < 100; ++index) {
    queue.Push(RequestOf("large", "l" + std::to_string(index), 0, 10));
  }
  queue.Pop();
  queue.Pop();
  queue.Push(RequestOf("small", "s", 0, 1'000));
  CHECK(queue.Pop().m_key.m_workspace.Value() == "small");
}

TEST_CASE("Workspaces are served in proportion to their shares")
{
  TieredQueue queue;
  for (int index = 0; index < 80; ++index) {
    queue.Push(RequestOf("three", "a" + std::to_string(index), 0, 10, 3));
    queue.Push(RequestOf("one", "b" + std::to_string(index), 0, 10, 1));
  }
  int served = 0;
  for (int index = 0; index < 40; ++index) {
    served += queue.Pop().m_key.m_workspace.Value() == "three" ? 1 : 0;
  }
  CHECK(served == 30);
}

TEST_CASE(
  "Shedding takes the latest deadline of the lowest tier, and only tiers below the given one")
{
  TieredQueue queue;
  queue.Push(RequestOf("m", "mid", 1, 10));
  queue.Push(RequestOf("m", "low-early", 2, 10));
  queue.Push(RequestOf("m", "low-late", 2, 20));
  CHECK(queue.ShedBelow(0)->m_key.m_identity.m_suffix == "low-late");
  CHECK(queue.ShedBelow(1)->m_key.m_identity.m_suffix == "low-early");
  CHECK_FALSE(queue.ShedBelow(1));
  CHECK(queue.Size() == 1);
}

TEST_CASE("Only overdue requests are removed, and waiting work is counted by tier")
{
  TieredQueue queue;
  queue.Push(RequestOf("m", "a", 0, 10));
  queue.Push(RequestOf("n", "b", 1, 30));
  CHECK(queue.WorkThrough(0) == 1);
  CHECK(queue.WorkThrough(1) == 2);
  const auto overdue = queue.TakeOverdue(kStart + Milliseconds(10));
  REQUIRE(overdue.size() == 1);
  CHECK(overdue[0].m_key.m_identity.m_suffix == "a");
  CHECK(queue.CountByTier(2) == std::vector<std::size_t>{ 0, 1 });
  CHECK(queue.Remove(RequestOf("n", "b", 1, 30).m_key));
  CHECK_FALSE(queue.Remove(RequestOf("n", "b", 1, 30).m_key));
}
