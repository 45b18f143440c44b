#pragma once

#include <LibCore/Time.h>
#include <LibRegistry/EndpointRegistry.h>
#include <deque>
#include <set>
#include <string>
#include <utility>

namespace auburnhitch {

/// Which requests were refused at which addresses lately. If one of them is sent there again, under
/// the same id, only a new connection shows that a refusal is not the earlier one, written once
/// more. The endpoint may have another id by then: one that took over an address refuses what was
/// meant for the one before. Its size is bounded: the oldest entries are dropped first. Owns no
/// clock. Not thread-safe.
class RefusedRequests
{
public:
  struct Limits
  {
    /// A caller does not repeat a request under the same id after this time.
    Milliseconds m_retention{ 30'000 };
    std::size_t m_max_entries = 10'000;
    /// Longer ids are truncated. Two that agree so far count as the same.
    std::size_t m_max_id_bytes = 128;
  };

  explicit RefusedRequests(Limits aLimits)
    : m_limits(aLimits)
  {
  }

  void Record(const std::string& aRequestId, const SocketAddress& aAddress, TimePoint aNow);
  bool Contains(const std::string& aRequestId, const SocketAddress& aAddress) const;
  std::size_t Size() const { return m_entries.size(); }

private:
  using Entry = std::pair<std::string, SocketAddress>;

  Entry MakeEntry(const std::string& aRequestId, const SocketAddress& aAddress) const
  {
    return { aRequestId.substr(0, m_limits.m_max_id_bytes), aAddress };
  }

  Limits m_limits;
  std::set<Entry> m_entries;
  /// Entries in the order in which they were recorded first.
  std::deque<std::pair<TimePoint, Entry>> m_order;
};

}
