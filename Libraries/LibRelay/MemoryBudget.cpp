#include <LibRelay/MemoryBudget.h>

#include <utility>

namespace auburnhitch {

const char*
NameOf(MemoryAccount aAccount)
{
  switch (aAccount) {
    case MemoryAccount::Heads:
      return "heads";
    case MemoryAccount::Bodies:
      return "bodies";
    case MemoryAccount::ReadAhead:
      return "read_ahead";
    case MemoryAccount::UnsentResponses:
      return "unsent_responses";
    case MemoryAccount::PendingResponses:
      return "pending_responses";
  }
  return "unknown";
}

MemoryHolder*
MemoryBudget::FindFirst(TimePoint aNow) const
{
  MemoryHolder* first = nullptr;
  for (MemoryHolder* holder : m_holders) {
    if (holder->m_reclaimable_since && holder->m_total > 0 &&
        (first == nullptr || holder->ReclaimOrder(aNow) > first->ReclaimOrder(aNow))) {
      first = holder;
    }
  }
  return first;
}

void
MemoryBudget::Reclaim(TimePoint aNow)
{
  while (m_total > m_limit) {
    MemoryHolder* holder = FindFirst(aNow);
    if (holder == nullptr) {
      return;
    }
    ++m_reclaimed;
    // Not asked again, whatever it still holds.
    holder->m_reclaimable_since = std::nullopt;
    // A copy, since the call may destroy the holder.
    const auto give_back = holder->m_give_back;
    give_back();
  }
}

MemoryHolder::MemoryHolder(MemoryBudget& aBudget, std::function<void()> aGiveBack)
  : m_budget(aBudget)
  , m_give_back(std::move(aGiveBack))
  , m_number(aBudget.m_next_number++)
{
  m_budget.m_holders.insert(this);
}

MemoryHolder::~MemoryHolder()
{
  for (std::size_t account = 0; account < kMemoryAccounts; ++account) {
    Set(static_cast<MemoryAccount>(account), 0);
  }
  m_budget.m_holders.erase(this);
}

void
MemoryHolder::Set(MemoryAccount aAccount, std::size_t aBytes)
{
  const auto account = static_cast<std::size_t>(aAccount);
  const std::size_t before = std::exchange(m_by_account.at(account), aBytes);
  m_total = m_total - before + aBytes;
  m_budget.m_total = m_budget.m_total - before + aBytes;
  m_budget.m_by_account.at(account) = m_budget.m_by_account.at(account) - before + aBytes;
}

std::tuple<double, std::size_t, std::uint64_t>
MemoryHolder::ReclaimOrder(TimePoint aNow) const
{
  const double seconds = std::chrono::duration<double>(aNow - *m_reclaimable_since).count();
  return { seconds * static_cast<double>(m_total), m_total, m_number };
}

}
