#pragma once

#include <LibCore/Time.h>
#include <absl/container/flat_hash_set.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <tuple>

namespace auburnhitch {

/// What memory is held for.
enum class MemoryAccount
{
  /// Start lines and fields of requests that are being received or have no complete response.
  Heads,
  /// Bodies of these requests, by the capacity of their buffers.
  Bodies,
  /// Input that was read ahead of the request in progress.
  ReadAhead,
  /// Bytes of responses that callers' sockets have not accepted.
  UnsentResponses,
  /// Bytes of endpoints' responses that are kept until the response may be passed on.
  PendingResponses,
};

constexpr std::size_t kMemoryAccounts = 5;

/// The name of an account, for logs and metrics.
const char*
NameOf(MemoryAccount aAccount);

class MemoryHolder;

/// Bounds the memory that a daemon holds for its callers, over all its ports. Responds to callers
/// that send much and stop, or read nothing. Beyond the limit, holders give their memory back:
/// first the one with the largest product of bytes and time, which is large for slow and for large
/// holders and small for an ordinary request that is being received. Holders that are not
/// reclaimable, such as complete requests, keep theirs, also beyond the limit. Not thread-safe.
class MemoryBudget
{
public:
  explicit MemoryBudget(std::size_t aLimit)
    : m_limit(aLimit)
  {
  }
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  std::size_t Limit() const { return m_limit; }
  /// Bytes held on all accounts.
  std::size_t Total() const { return m_total; }
  std::size_t BytesOf(MemoryAccount aAccount) const
  {
    return m_by_account.at(static_cast<std::size_t>(aAccount));
  }
  /// Makes reclaimable holders give their memory back until the total is within the limit or none
  /// of them holds any. They may be destroyed by this.
  void Reclaim(TimePoint aNow);
  /// How many holders had to give their memory back.
  std::uint64_t ReclaimedCount() const { return m_reclaimed; }

private:
  friend class MemoryHolder;

  /// The holder that gives its memory back first; null if there is none.
  MemoryHolder* FindFirst(TimePoint aNow) const;

  std::size_t m_limit;
  std::size_t m_total = 0;
  std::array<std::size_t, kMemoryAccounts> m_by_account{};
  absl::flat_hash_set<MemoryHolder*> m_holders;
  std::uint64_t m_next_number = 0;
  std::uint64_t m_reclaimed = 0;
};

/// The memory of one connection, registered with a budget until destruction. Not thread-safe.
class MemoryHolder
{
public:
  /// aGiveBack frees what is held and may destroy the holder. Precondition: the budget outlives the
  /// holder.
  MemoryHolder(MemoryBudget& aBudget, std::function<void()> aGiveBack);
  ~MemoryHolder();
  MemoryHolder(const MemoryHolder&) = delete;
  MemoryHolder& operator=(const MemoryHolder&) = delete;

  /// Sets how many bytes are held on an account.
  void Set(MemoryAccount aAccount, std::size_t aBytes);
  /// Since when the peer has kept the memory in use; nothing if the memory must not be reclaimed,
  /// as at first.
  void SetReclaimableSince(std::optional<TimePoint> aSince) { m_reclaimable_since = aSince; }
  std::size_t Total() const { return m_total; }
  MemoryBudget& Budget() const { return m_budget; }

private:
  friend class MemoryBudget;

  /// Greater for the holder that gives its memory back earlier.
  std::tuple<double, std::size_t, std::uint64_t> ReclaimOrder(TimePoint aNow) const;

  MemoryBudget& m_budget;
  std::function<void()> m_give_back;
  std::array<std::size_t, kMemoryAccounts> m_by_account{};
  std::size_t m_total = 0;
  std::optional<TimePoint> m_reclaimable_since;
  std::uint64_t m_number;
};

}
