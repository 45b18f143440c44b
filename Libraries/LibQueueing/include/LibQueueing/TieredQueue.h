#pragma once

#include <LibCore/StrongString.h>
#include <LibCore/Time.h>
#include <LibLedger/RequestIdentity.h>
#include <absl/container/flat_hash_map.h>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace auburnhitch {

/// Expected work of a request, in milliseconds of an endpoint of slowness 1.
using WorkUnits = double;

/// A request that waits for an endpoint.
struct WaitingRequest
{
  RequestKey m_key;
  /// Index in the document's order of tiers; 0 is the highest tier.
  std::size_t m_tier = 0;
  bool m_is_sheddable = false;
  std::int64_t m_share = 1;
  WorkUnits m_work = 0;
  TimePoint m_deadline;
  /// Digest of the prompt prefix, equal for requests that an inference engine can serve from the
  /// same cache entry; 0 for none.
  std::uint64_t m_prefix = 0;

  auto operator<=>(const WaitingRequest&) const = default;
};

/// Orders waiting requests by tier, then between the workspaces of a tier by served work divided by
/// the workspace's share, then by deadline. Not thread-safe.
class TieredQueue
{
public:
  void Push(const WaitingRequest& aRequest);
  /// Returns a request that was popped but not served, and undoes its charge to the workspace.
  void PushBack(const WaitingRequest& aRequest);

  /// Removes the request to serve next. Precondition: Size() > 0.
  WaitingRequest Pop();
  /// Removes and returns a request if it is waiting.
  std::optional<WaitingRequest> Remove(const RequestKey& aKey);
  /// Removes all requests whose deadline has passed.
  std::vector<WaitingRequest> TakeOverdue(TimePoint aNow);
  /// Removes the sheddable request with the latest deadline from the lowest tier below aTier that
  /// has one. Returns nothing if there is none.
  std::optional<WaitingRequest> ShedBelow(std::size_t aTier);

  std::size_t Size() const { return m_index.size(); }
  /// The tier that Pop() would take from, or nothing when the queue is empty.
  std::optional<std::size_t> HighestTier() const;
  /// Work that waits in aTier and higher tiers.
  WorkUnits WorkThrough(std::size_t aTier) const;
  std::vector<std::size_t> CountByTier(std::size_t aTiers) const;

private:
  struct ByDeadline
  {
    bool operator()(const WaitingRequest& aLeft, const WaitingRequest& aRight) const
    {
      return std::tie(aLeft.m_deadline, aLeft.m_key) < std::tie(aRight.m_deadline, aRight.m_key);
    }
  };

  struct WorkspaceQueue
  {
    std::set<WaitingRequest, ByDeadline> m_requests;
    /// Work served, divided by the share.
    double m_served = 0;
  };

  struct TierQueue
  {
    std::map<WorkspaceName, WorkspaceQueue> m_workspaces;
    /// Minimum m_served of a workspace whose queue was empty: idle time earns no credit.
    double m_served_floor = 0;
    std::size_t m_size = 0;
    WorkUnits m_work = 0;
  };

  void Erase(const WaitingRequest& aRequest);

  std::map<std::size_t, TierQueue> m_tiers;
  absl::flat_hash_map<RequestKey, WaitingRequest> m_index;
};

}
