#include <LibBalance/EndpointTable.h>

#include <algorithm>
#include <array>
#include <cmath>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace auburnhitch {

namespace {

/// Weight of the newest observation in the moving average of an endpoint's slowness.
constexpr double kSlownessEwmaWeight = 0.2;
constexpr double kMinWork = 0.1;
/// Engines that share the requests of one prefix.
constexpr std::size_t kPreferredEndpointsPerPrefix = 2;
/// Part of a request's work that is left where its prefix is cached.
constexpr double kCachedPrefixWorkShare = 0.5;

/// Part of an endpoint's window that each tier and those below it may take together.
constexpr std::array kTierSlotShares{ 1.0, 0.6, 0.3, 0.15, 0.08 };

/// Part of all endpoints that each tier may use.
constexpr std::array kTierEndpointShares{ 1.0, 0.8, 0.4, 0.3, 0.2 };
/// As kTierSlotShares, where lower tiers keep to their own endpoints.
constexpr std::array kTierSlotSharesOnOwnEndpoints{ 1.0, 0.6, 0.6, 0.5, 0.5 };
constexpr std::size_t kLowestTier = 2;
/// How much longer a top-tier request is expected to take among lower work.
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
    auto before = m_states.find(endpoint.m_host);
    if (before != m_states.end()) {
      state = before->second;
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

// Ranks by a hash of daemon and endpoint: all daemons agree on the order without asking.
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
  const auto window = static_cast<std::size_t>(aState.m_endpoint.m_concurrency_limit);
  if (m_policy < BalancePolicy::TierSlotShares) {
    return std::max<std::size_t>(1, window / daemons);
  }
  const auto& parts =
    m_policy < BalancePolicy::TierEndpoints ? kTierSlotShares : kTierSlotSharesOnOwnEndpoints;
  const double part = parts[std::min(aTier, parts.size() - 1)];
  const auto all = std::max<std::size_t>(
    1, static_cast<std::size_t>(std::lround(static_cast<double>(window) * part)));
  const std::size_t own = all / daemons + (aState.m_rank < all % daemons ? 1 : 0);
  const bool is_sure = aState.m_endpoint.m_host == m_guaranteed_slot_host;
  return is_sure ? std::max<std::size_t>(1, own) : own;
}

bool
EndpointTable::MayServeTier(const EndpointState& aState, std::size_t aTier) const
{
  if (m_policy < BalancePolicy::TierEndpoints || aTier == 0) {
    return true;
  }
  const double part = kTierEndpointShares[std::min(aTier, kTierEndpointShares.size() - 1)];
  const double homes = std::ceil(static_cast<double>(m_states.size()) * part);
  return static_cast<double>(aState.m_tier_order) < homes;
}

// A tier is bounded by its own part of the window and by those of all tiers above it.
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
    const auto held =
      std::count_if(aState.m_in_flight.begin(),
                    aState.m_in_flight.end(),
                    [level](const auto& aEntry) { return aEntry.second.m_tier >= level; });
    if (static_cast<std::size_t>(held) >= SlotsOf(aState, level)) {
      return false;
    }
  }
  return true;
}

// Every daemon finds the same homes without asking: those that rank first by a hash of prefix and
// host.
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
  std::vector<HostName> homes;
  for (std::size_t index = 0; index < count; ++index) {
    homes.push_back(ranked[index].second);
  }
  return homes;
}

// An engine that has slowed down or stalled shows it first by what does not end.
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
  std::vector<HostName> homes;
  if (aRequest.m_prefix != 0 && m_policy >= BalancePolicy::PrefixAffinity) {
    homes = PreferredEndpointsOf(aRequest.m_prefix, aMayUse);
  }
  const EndpointState* best = nullptr;
  double best_expected = 0;
  std::size_t candidates = 0;
  for (const auto& [host, state] : m_states) {
    if (!HasFreeSlot(state, aRequest.m_tier) || !aMayUse(state.m_endpoint)) {
      continue;
    }
    ++candidates;
    const bool is_home = std::find(homes.begin(), homes.end(), host) != homes.end();
    const WorkUnits own =
      std::max(aRequest.m_work, kMinWork) * (is_home ? kCachedPrefixWorkShare : 1);
    const bool is_lower_home =
      m_policy >= BalancePolicy::TierEndpoints && MayServeTier(state, kLowestTier);
    const double burden = aRequest.m_tier == 0 && is_lower_home ? kLowerTierEndpointPenalty : 1;
    const double expected = (state.m_work_in_flight + own) * SlownessOf(state, aNow) * burden;
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
