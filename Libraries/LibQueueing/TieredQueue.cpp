#include <LibQueueing/TieredQueue.h>

#include <algorithm>

namespace auburnhitch {

void
TieredQueue::Push(const WaitingRequest& aRequest)
{
  if (!m_index.emplace(aRequest.m_key, aRequest).second) {
    return;
  }
  TierQueue& tier = m_tiers[aRequest.m_tier];
  auto [entry, is_new] = tier.m_workspaces.try_emplace(aRequest.m_key.m_workspace);
  WorkspaceQueue& workspace = entry->second;
  if (workspace.m_requests.empty()) {
    workspace.m_served = std::max(workspace.m_served, tier.m_served_floor);
  }
  workspace.m_requests.insert(aRequest);
  ++tier.m_size;
  tier.m_work += aRequest.m_work;
}

void
TieredQueue::PushBack(const WaitingRequest& aRequest)
{
  Push(aRequest);
  WorkspaceQueue& workspace = m_tiers[aRequest.m_tier].m_workspaces[aRequest.m_key.m_workspace];
  workspace.m_served -= aRequest.m_work / static_cast<double>(aRequest.m_share);
}

WaitingRequest
TieredQueue::Pop()
{
  for (auto& [index, tier] : m_tiers) {
    if (tier.m_size == 0) {
      continue;
    }
    WorkspaceQueue* next = nullptr;
    for (auto& [name, workspace] : tier.m_workspaces) {
      if (!workspace.m_requests.empty() &&
          (next == nullptr || workspace.m_served < next->m_served)) {
        next = &workspace;
      }
    }
    WaitingRequest request = *next->m_requests.begin();
    tier.m_served_floor = next->m_served;
    next->m_served += request.m_work / static_cast<double>(request.m_share);
    Erase(request);
    return request;
  }
  return {};
}

void
TieredQueue::Erase(const WaitingRequest& aRequest)
{
  TierQueue& tier = m_tiers[aRequest.m_tier];
  tier.m_workspaces[aRequest.m_key.m_workspace].m_requests.erase(aRequest);
  --tier.m_size;
  tier.m_work = tier.m_size == 0 ? 0 : tier.m_work - aRequest.m_work;
  m_index.erase(aRequest.m_key);
}

std::optional<WaitingRequest>
TieredQueue::Remove(const RequestKey& aKey)
{
  auto found = m_index.find(aKey);
  if (found == m_index.end()) {
    return std::nullopt;
  }
  WaitingRequest request = found->second;
  Erase(request);
  return request;
}

std::vector<WaitingRequest>
TieredQueue::TakeOverdue(TimePoint aNow)
{
  std::vector<WaitingRequest> overdue;
  for (const auto& [index, tier] : m_tiers) {
    for (const auto& [name, workspace] : tier.m_workspaces) {
      for (const WaitingRequest& request : workspace.m_requests) {
        if (request.m_deadline > aNow) {
          break;
        }
        overdue.push_back(request);
      }
    }
  }
  for (const WaitingRequest& request : overdue) {
    Erase(request);
  }
  return overdue;
}

std::optional<WaitingRequest>
TieredQueue::ShedBelow(std::size_t aTier)
{
  for (auto tier = m_tiers.rbegin(); tier != m_tiers.rend() && tier->first > aTier; ++tier) {
    const WaitingRequest* latest = nullptr;
    for (const auto& [name, workspace] : tier->second.m_workspaces) {
      if (workspace.m_requests.empty()) {
        continue;
      }
      const WaitingRequest& last = *workspace.m_requests.rbegin();
      if (last.m_is_sheddable && (latest == nullptr || latest->m_deadline < last.m_deadline)) {
        latest = &last;
      }
    }
    if (latest != nullptr) {
      WaitingRequest request = *latest;
      Erase(request);
      return request;
    }
  }
  return std::nullopt;
}

std::optional<std::size_t>
TieredQueue::HighestTier() const
{
  for (const auto& [index, tier] : m_tiers) {
    if (tier.m_size > 0) {
      return index;
    }
  }
  return std::nullopt;
}

WorkUnits
TieredQueue::WorkThrough(std::size_t aTier) const
{
  WorkUnits work = 0;
  for (const auto& [index, tier] : m_tiers) {
    if (index <= aTier) {
      work += tier.m_work;
    }
  }
  return work;
}

std::vector<std::size_t>
TieredQueue::CountByTier(std::size_t aTiers) const
{
  std::vector<std::size_t> counts(aTiers, 0);
  for (const auto& [index, tier] : m_tiers) {
    if (index < aTiers) {
      counts[index] = tier.m_size;
    }
  }
  return counts;
}

}
