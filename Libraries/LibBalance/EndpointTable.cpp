#include <LibBalance/EndpointTable.h>

#include <algorithm>
#include <array>
#include <cmath>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace auburnhitch {

namespace {

/// Weight of the newest observation in the moving average (EWMA) of an endpoint's slowness.
constexpr double kSlownessEwmaWeight = 0.2;
constexpr double kMinWork = 0.1;
/// Number of engines that share the requests of one prefix.
constexpr std::size_t kPreferredEndpointsPerPrefix = 2;
/// Share of a request's work that remains where its prefix is cached.
constexpr double kCachedPrefixWorkShare = 0.5;

/// Share of an endpoint's concurrency limit that each tier and the tiers below it may take
/// together.
constexpr std::array kTierSlotShares{ 1.0, 0.6, 0.3, 0.15, 0.08 };

/// Share of all endpoints that each tier may use.
constexpr std::array kTierEndpointShares{ 1.0, 0.8, 0.4, 0.3, 0.2 };
/// As kTierSlotShares, for the versions in which lower tiers use only some of the endpoints.
constexpr std::array kTierSlotSharesOnOwnEndpoints{ 1.0, 0.6, 0.6, 0.5, 0.5 };
constexpr std::size_t kLowestTier = 2;
/// Factor by which a top-tier request is expected to take longer at an endpoint that also serves
/// lower tiers.
constexpr double kLowerTierEndpointPenalty = 2;

std::uint64_t
HashOf(const std::string& aText, const HostName& aHost)
{
  const std::string mixed = aText + "/" + aHost.Value();
  return XXH3_64bits(mixed.data(), mixed.size());
}

using FractionalMilliseconds = std::chrono::duration<double, std::milli>;

}

void
EndpointTable::Update(const std::vector<Endpoint>& aEndpoints)
{
  std::map<HostName, EndpointState> next;
  for (const Endpoint& endpoint : aEndpoints) {
    EndpointState& state = next[endpoint.m_host];
    auto previous = m_states.find(endpoint.m_host);
    if (previous != m_states.end()) {
      state = previous->second;
    }
    state.m_endpoint = endpoint;
  }
  m_states = std::move(next);
  RankAll();
}

void
EndpointTable::SetDaemons(const std::vector<HostName>& aDaemons, const HostName& aOwn)
{
  if (aDaemons == m_daemons && aOwn == m_own) {
    return;
  }
  m_daemons = aDaemons;
  m_own = aOwn;
  RankAll();
}

// Ranks by a hash of daemon and endpoint, so that all daemons compute the same order without
// exchanging messages.
void
EndpointTable::RankAll()
{
  std::vector<std::pair<std::uint64_t, HostName>> order;
  for (const auto& [host, state] : m_states) {
    order.emplace_back(HashOf("order", host), host);
  }
  std::sort(order.begin(), order.end());
  for (std::size_t index = 0; index < order.size(); ++index) {
    m_states[order[index].second].m_tier_order = index;
  }
  std::size_t best = SIZE_MAX;
  for (auto& [host, state] : m_states) {
    const auto score = [&, host = host](const HostName& aDaemon) {
      return std::pair(HashOf(aDaemon.Value(), host), aDaemon);
    };
    const auto own = score(m_own);
    state.m_rank = static_cast<std::size_t>(
      std::count_if(m_daemons.begin(), m_daemons.end(), [&](const HostName& aDaemon) {
        return score(aDaemon) < own;
      }));
    if (state.m_rank < best) {
      best = state.m_rank;
      m_guaranteed_slot_host = host;
    }
  }
}

std::size_t
EndpointTable::SlotsOf(const EndpointState& aState, std::size_t aTier) const
{
  const std::size_t daemons = std::max<std::size_t>(1, m_daemons.size());
  const auto limit = static_cast<std::size_t>(aState.m_endpoint.m_concurrency_limit);
  if (m_policy < BalancePolicy::TierSlotShares) {
    return std::max<std::size_t>(1, limit / daemons);
  }
  const auto& shares =
    m_policy < BalancePolicy::TierEndpoints ? kTierSlotShares : kTierSlotSharesOnOwnEndpoints;
  const double share = shares[std::min(aTier, shares.size() - 1)];
  const auto tier_slots = std::max<std::size_t>(
    1, static_cast<std::size_t>(std::lround(static_cast<double>(limit) * share)));
  const std::size_t own = tier_slots / daemons + (aState.m_rank < tier_slots % daemons ? 1 : 0);
  const bool is_guaranteed = aState.m_endpoint.m_host == m_guaranteed_slot_host;
  return is_guaranteed ? std::max<std::size_t>(1, own) : own;
}

bool
EndpointTable::MayServeTier(const EndpointState& aState, std::size_t aTier) const
{
  if (m_policy < BalancePolicy::TierEndpoints || aTier == 0) {
    return true;
  }
  const double share = kTierEndpointShares[std::min(aTier, kTierEndpointShares.size() - 1)];
  const double tier_endpoints = std::ceil(static_cast<double>(m_states.size()) * share);
  return static_cast<double>(aState.m_tier_order) < tier_endpoints;
}

// A tier is limited by its own share of the concurrency limit and by those of all tiers above it.
bool
EndpointTable::HasFreeSlot(const EndpointState& aState, std::size_t aTier) const
{
  if (m_policy < BalancePolicy::TierSlotShares) {
    return aState.m_in_flight.size() < SlotsOf(aState, 0);
  }
  if (!MayServeTier(aState, aTier)) {
    return false;
  }
  for (std::size_t level = 0; level <= aTier; ++level) {
    const auto used =
      std::count_if(aState.m_in_flight.begin(),
                    aState.m_in_flight.end(),
                    [level](const auto& aEntry) { return aEntry.second.m_tier >= level; });
    if (static_cast<std::size_t>(used) >= SlotsOf(aState, level)) {
      return false;
    }
  }
  return true;
}

// Returns the endpoints that rank first by a hash of prefix and host, so that all daemons compute
// the same ones without exchanging messages.
std::vector<HostName>
EndpointTable::PreferredEndpointsOf(std::uint64_t aPrefix, const Filter& aMayUse) const
{
  std::vector<std::pair<std::uint64_t, HostName>> ranked;
  for (const auto& [host, state] : m_states) {
    if (aMayUse(state.m_endpoint)) {
      ranked.emplace_back(HashOf(std::to_string(aPrefix), host), host);
    }
  }
  const std::size_t count = std::min(kPreferredEndpointsPerPrefix, ranked.size());
  std::partial_sort(
    ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
  std::vector<HostName> preferred;
  for (std::size_t index = 0; index < count; ++index) {
    preferred.push_back(ranked[index].second);
  }
  return preferred;
}

// When an engine slows down or stalls, the first sign is that requests in flight stay longer than
// expected, so their time so far counts as well.
double
EndpointTable::SlownessOf(const EndpointState& aState, TimePoint aNow) const
{
  double slowness = aState.m_slowness;
  if (m_policy < BalancePolicy::OverdueEvidence) {
    return slowness;
  }
  for (const auto& [key, started] : aState.m_in_flight) {
    const double waited = FractionalMilliseconds(aNow - started.m_at).count();
    slowness = std::max(slowness, waited / std::max(started.m_ahead, kMinWork));
  }
  return slowness;
}

std::optional<EndpointChoice>
EndpointTable::Choose(const WaitingRequest& aRequest, const Filter& aMayUse, TimePoint aNow) const
{
  std::vector<HostName> preferred;
  if (aRequest.m_prefix != 0 && m_policy >= BalancePolicy::PrefixAffinity) {
    preferred = PreferredEndpointsOf(aRequest.m_prefix, aMayUse);
  }
  const EndpointState* best = nullptr;
  double best_expected = 0;
  std::size_t candidates = 0;
  for (const auto& [host, state] : m_states) {
    if (!HasFreeSlot(state, aRequest.m_tier) || !aMayUse(state.m_endpoint)) {
      continue;
    }
    ++candidates;
    const bool is_preferred =
      std::find(preferred.begin(), preferred.end(), host) != preferred.end();
    const WorkUnits own =
      std::max(aRequest.m_work, kMinWork) * (is_preferred ? kCachedPrefixWorkShare : 1);
    const bool serves_lower_tiers =
      m_policy >= BalancePolicy::TierEndpoints && MayServeTier(state, kLowestTier);
    const double penalty =
      aRequest.m_tier == 0 && serves_lower_tiers ? kLowerTierEndpointPenalty : 1;
    const double expected = (state.m_work_in_flight + own) * SlownessOf(state, aNow) * penalty;
    if (best == nullptr || expected < best_expected) {
      best = &state;
      best_expected = expected;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const double alone = std::max(aRequest.m_work, kMinWork) * SlownessOf(*best, aNow);
  return EndpointChoice{ best->m_endpoint,
                         Milliseconds(static_cast<std::int64_t>(best_expected)),
                         Milliseconds(static_cast<std::int64_t>(alone)),
                         candidates };
}

bool
EndpointTable::HasFreeSlotFor(std::size_t aTier, const Filter& aMayUse) const
{
  return std::any_of(m_states.begin(), m_states.end(), [&](const auto& aEntry) {
    return HasFreeSlot(aEntry.second, aTier) && aMayUse(aEntry.second.m_endpoint);
  });
}

bool
EndpointTable::HasUsableEndpoint(const Filter& aMayUse) const
{
  return std::any_of(m_states.begin(), m_states.end(), [&](const auto& aEntry) {
    return aMayUse(aEntry.second.m_endpoint);
  });
}

void
EndpointTable::RecordStarted(const HostName& aHost, const WaitingRequest& aRequest, TimePoint aNow)
{
  auto found = m_states.find(aHost);
  if (found == m_states.end()) {
    return;
  }
  EndpointState& state = found->second;
  state.m_work_in_flight += aRequest.m_work;
  state.m_in_flight[aRequest.m_key] =
    StartedRequest{ aNow, aRequest.m_work, aRequest.m_tier, state.m_work_in_flight };
}

void
EndpointTable::RecordEnded(const HostName& aHost,
                           const RequestKey& aKey,
                           std::optional<Duration> aTook)
{
  auto found = m_states.find(aHost);
  if (found == m_states.end()) {
    return;
  }
  EndpointState& state = found->second;
  const auto ended = state.m_in_flight.extract(aKey);
  if (ended.empty()) {
    return;
  }
  const WorkUnits work = ended.mapped().m_work;
  state.m_work_in_flight = state.m_in_flight.empty() ? 0 : state.m_work_in_flight - work;
  if (aTook) {
    const double slowness = FractionalMilliseconds(*aTook).count() / std::max(work, kMinWork);
    state.m_slowness += kSlownessEwmaWeight * (slowness - state.m_slowness);
  }
}

Milliseconds
EndpointTable::ExpectedDrain(WorkUnits aWork, std::size_t aTier, const Filter& aMayUse) const
{
  double rate = 0;
  WorkUnits ahead = aWork;
  for (const auto& [host, state] : m_states) {
    if (!aMayUse(state.m_endpoint)) {
      continue;
    }
    rate += static_cast<double>(SlotsOf(state, aTier)) / std::max(state.m_slowness, 1e-6);
    ahead += state.m_work_in_flight;
  }
  if (rate <= 0) {
    return Milliseconds::max();
  }
  return Milliseconds(static_cast<std::int64_t>(ahead / rate));
}

}
