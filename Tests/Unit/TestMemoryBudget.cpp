#include <LibRelay/MemoryBudget.h>
#include <doctest.h>
#include <memory>
#include <vector>

using namespace auburnhitch;

namespace {

/// Holders with numbers, and the order in which they gave their memory back.
struct Holders
{
  explicit Holders(std::size_t aLimit)
    : m_budget(aLimit)
  {
  }

  MemoryHolder& Add(MemoryAccount aAccount, std::size_t aBytes, std::optional<int> aSinceSeconds)
  {
    const std::size_t number = m_holders.size();
    m_holders.push_back(std::make_unique<MemoryHolder>(m_budget, [this, number] {
      m_given_back.push_back(number);
      m_holders[number] = nullptr;
    }));
    m_holders.back()->Set(aAccount, aBytes);
    if (aSinceSeconds) {
      m_holders.back()->SetReclaimableSince(At(*aSinceSeconds));
    }
    return *m_holders.back();
  }

  static TimePoint At(int aSeconds) { return TimePoint() + std::chrono::seconds(aSeconds); }

  MemoryBudget m_budget;
  std::vector<std::unique_ptr<MemoryHolder>> m_holders;
  std::vector<std::size_t> m_given_back;
};

using Numbers = std::vector<std::size_t>;

}

// Guards against memory that is counted on no account, or still counted when it has been freed.
TEST_CASE("Memory budget: what is held is counted by account")
{
  Holders holders(1'000);
  MemoryHolder& holder = holders.Add(MemoryAccount::Heads, 100, std::nullopt);
  holder.Set(MemoryAccount::Bodies, 300);
  holder.Set(MemoryAccount::Bodies, 200);
  holders.Add(MemoryAccount::UnsentResponses, 50, std::nullopt);
  CHECK(holders.m_budget.Total() == 350);
  CHECK(holders.m_budget.BytesOf(MemoryAccount::Heads) == 100);
  CHECK(holders.m_budget.BytesOf(MemoryAccount::Bodies) == 200);
  CHECK(holders.m_budget.BytesOf(MemoryAccount::UnsentResponses) == 50);
  holders.m_holders.clear();
  CHECK(holders.m_budget.Total() == 0);
  CHECK(holders.m_budget.BytesOf(MemoryAccount::Bodies) == 0);
}

// Guards against holders that lose their memory although the limit is kept.
TEST_CASE("Memory budget: nobody gives memory back within the limit")
{
  Holders holders(200);
  holders.Add(MemoryAccount::Bodies, 200, 0);
  holders.m_budget.Reclaim(Holders::At(100));
  CHECK(holders.m_given_back.empty());
}

// Guards against ordinary requests that are refused before the slowest and largest holders.
TEST_CASE("Memory budget: the slowest and largest give their memory back first")
{
  Holders holders(350);
  holders.Add(MemoryAccount::Bodies, 300, 9);
  holders.Add(MemoryAccount::Bodies, 100, 0);
  holders.Add(MemoryAccount::UnsentResponses, 200, 4);
  // At 10 s: 300, 1,000 and 1,200 byte seconds.
  holders.m_budget.Reclaim(Holders::At(10));
  CHECK(holders.m_given_back == Numbers{ 2, 1 });
  CHECK(holders.m_budget.Total() == 300);
  CHECK(holders.m_budget.ReclaimedCount() == 2);
}

// Guards against complete requests that lose their memory, and against a loop without an end.
TEST_CASE("Memory budget: complete requests keep their memory also beyond the limit")
{
  Holders holders(100);
  holders.Add(MemoryAccount::Bodies, 500, std::nullopt);
  holders.Add(MemoryAccount::Bodies, 10, 0);
  holders.Add(MemoryAccount::Bodies, 0, 0);
  holders.m_budget.Reclaim(Holders::At(1));
  CHECK(holders.m_given_back == Numbers{ 1 });
  CHECK(holders.m_budget.Total() == 500);
}

// Guards against a holder that is asked again and again because it frees nothing.
TEST_CASE("Memory budget: a holder that frees nothing is asked once")
{
  MemoryBudget budget(10);
  int asked = 0;
  MemoryHolder holder(budget, [&] { ++asked; });
  holder.Set(MemoryAccount::Heads, 20);
  holder.SetReclaimableSince(TimePoint());
  budget.Reclaim(Holders::At(1));
  budget.Reclaim(Holders::At(2));
  CHECK(asked == 1);
}
