#include <LibLedger/Ledger.h>

#include <utility>

namespace auburnhitch {

const char*
NameOf(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Done:
      return "done";
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

Ledger::Ledger(Incarnation aIncarnation, TimePoint aStart, const LedgerLimits& aLimits)
  : m_incarnation(std::move(aIncarnation))
  , m_start(aStart)
  , m_limits(aLimits)
{
}

GrantPeriod
Ledger::PeriodAt(TimePoint aNow) const
{
  return (aNow - m_start) / m_limits.m_period;
}

Permit
Ledger::CurrentPermit(TimePoint aNow) const
{
  return Permit{ m_incarnation, PeriodAt(aNow) };
}

IdentityStatus
Ledger::Check(const RequestIdentity& aIdentity, TimePoint aNow) const
{
  if (aIdentity.m_permit.m_incarnation != m_incarnation) {
    return IdentityStatus::IssuedElsewhere;
  }
  const GrantPeriod present = PeriodAt(aNow);
  if (aIdentity.m_permit.m_period > present) {
    return IdentityStatus::NeverIssued;
  }
  if (aIdentity.m_permit.m_period < present - m_limits.m_kept_periods) {
    return IdentityStatus::Expired;
  }
  return IdentityStatus::Valid;
}

std::pair<LedgerEntry*, bool>
Ledger::Begin(const RequestKey& aKey, const std::string& aDigest)
{
  auto& entries = m_periods[aKey.m_identity.m_permit.m_period];
  auto [entry, is_new] = entries.try_emplace(aKey);
  if (is_new) {
    entry->second = std::make_unique<LedgerEntry>();
    entry->second->m_digest = aDigest;
  }
  return { entry->second.get(), is_new };
}

LedgerEntry*
Ledger::Find(const RequestKey& aKey)
{
  auto period = m_periods.find(aKey.m_identity.m_permit.m_period);
  if (period == m_periods.end()) {
    return nullptr;
  }
  auto entry = period->second.find(aKey);
  return entry == period->second.end() ? nullptr : entry->second.get();
}

bool
Ledger::TryMarkSent(const RequestKey& aKey, const HostName& aEndpoint, TimePoint aNow)
{
  LedgerEntry* entry = Find(aKey);
  if (entry == nullptr || entry->m_state != RequestState::Waiting) {
    return false;
  }
  if (Check(aKey.m_identity, aNow) != IdentityStatus::Valid) {
    return false;
  }
  entry->m_state = RequestState::Sent;
  entry->m_endpoint = aEndpoint;
  return true;
}

void
Ledger::MarkUnsent(const RequestKey& aKey)
{
  LedgerEntry* entry = Find(aKey);
  if (entry != nullptr && entry->m_state == RequestState::Sent) {
    entry->m_state = RequestState::Waiting;
    entry->m_endpoint = HostName();
  }
}

bool
Ledger::TryCloseUnsent(const RequestKey& aKey, const std::string& aCode)
{
  LedgerEntry* entry = Find(aKey);
  if (entry == nullptr || entry->m_state != RequestState::Waiting) {
    return false;
  }
  entry->m_state = RequestState::NotRun;
  entry->m_code = aCode;
  return true;
}

void
Ledger::Close(const RequestKey& aKey,
              Outcome aOutcome,
              const std::string& aCode,
              CachedResponsePtr aResponse)
{
  LedgerEntry* entry = Find(aKey);
  if (entry == nullptr || entry->m_state != RequestState::Sent) {
    return;
  }
  entry->m_code = aCode;
  switch (aOutcome) {
    case Outcome::Done:
      entry->m_state = RequestState::Done;
      break;
    case Outcome::NotRun:
      entry->m_state = RequestState::NotRun;
      break;
    case Outcome::Unknown:
      entry->m_state = RequestState::Unknown;
      break;
  }
  if (aResponse != nullptr) {
    CacheResponse(aKey, *entry, std::move(aResponse));
  }
}

void
Ledger::CacheResponse(const RequestKey& aKey, LedgerEntry& aEntry, CachedResponsePtr aResponse)
{
  m_cached_response_bytes += aResponse->m_body.size();
  aEntry.m_cached_response = std::move(aResponse);
  m_cache_order.push_back(aKey);
  while (m_cached_response_bytes > m_limits.m_max_cached_response_bytes && !m_cache_order.empty()) {
    LedgerEntry* oldest = Find(m_cache_order.front());
    m_cache_order.pop_front();
    if (oldest != nullptr && oldest->m_cached_response != nullptr) {
      m_cached_response_bytes -= oldest->m_cached_response->m_body.size();
      oldest->m_cached_response = nullptr;
    }
  }
}

void
Ledger::DropExpired(TimePoint aNow)
{
  const GrantPeriod oldest = PeriodAt(aNow) - m_limits.m_kept_periods;
  while (!m_periods.empty() && m_periods.begin()->first < oldest) {
    for (const auto& [key, entry] : m_periods.begin()->second) {
      if (entry->m_cached_response != nullptr) {
        m_cached_response_bytes -= entry->m_cached_response->m_body.size();
      }
    }
    m_periods.erase(m_periods.begin());
  }
  while (!m_cache_order.empty() && m_cache_order.front().m_identity.m_permit.m_period < oldest) {
    m_cache_order.pop_front();
  }
}

std::size_t
Ledger::Size() const
{
  std::size_t total = 0;
  for (const auto& [period, entries] : m_periods) {
    total += entries.size();
  }
  return total;
}

}
