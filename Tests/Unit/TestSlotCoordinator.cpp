#include <LibBroker/SlotCoordinator.h>

#include <deque>
#include <doctest.h>
#include <random>

using namespace auburnhitch;

namespace {

constexpr TimePoint kStart{};
const WorkspaceName kWorkspace("w");
const ServiceName kService("s");

// The largest workspace of the association's grown deployment: its quota, and the tolerance of the
// users' rules in each window of 8 s.
constexpr std::int64_t kRate = 887'000;
constexpr double kOverage = 0.1;
constexpr double kSlackTokens = 190'000;
constexpr Milliseconds kWindow{ 8'000 };
constexpr int kWindowSeconds = 8;
constexpr std::size_t kDaemons = 78;

QuotaTolerance
Tolerance()
{
  QuotaTolerance tolerance;
  tolerance.m_overage = kOverage;
  tolerance.m_slack_tokens = kSlackTokens;
  tolerance.m_window = kWindow;
  return tolerance;
}

RoutedWorkspace
Workspace()
{
  RoutedWorkspace workspace;
  workspace.m_name = kWorkspace;
  workspace.m_tokens_per_second = kRate;
  workspace.m_burst_tokens = kRate;
  return workspace;
}

std::vector<SlotEndpointInfo>
Endpoints()
{
  constexpr int kMany = 1'000'000;
  return { SlotEndpointInfo{ EndpointId("e"), DataCenterName("dc"), kMany, 1 } };
}

SlotRequest
RequestOf(const Incarnation& aDaemon, std::uint64_t aNumber, std::int64_t aTokens, TimePoint aNow)
{
  SlotRequest request;
  request.m_request_id = { aDaemon, aNumber };
  request.m_arrived_at = aNow;
  request.m_objective_at = aNow + Milliseconds(800);
  request.m_abandoned_at = aNow + Milliseconds(3'000);
  request.m_workspace = kWorkspace;
  request.m_quota_tokens = aTokens;
  return request;
}

/// Daemons of which one at a time is home, and whose requests of one workspace all press. A daemon
/// that has spent tells the others after 200 ms. Now and then the home changes; for a moment the
/// daemons don't agree on it.
class Fleet
{
public:
  explicit Fleet(unsigned aSeed)
    : m_random(aSeed)
  {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      m_daemons.push_back(std::make_unique<Daemon>(*this, i));
    }
  }

  void Step()
  {
    constexpr int kTicksBetweenNews = 4;
    constexpr int kStepsBetweenChanges = 150;
    m_now += Milliseconds(50);
    if (++m_ticks % kTicksBetweenNews == 0) {
      Tell();
    }
    if (m_random() % kStepsBetweenChanges == 0) {
      m_old_coordinator = std::exchange(m_coordinator, m_random() % kDaemons);
      m_changed_at = m_now;
    }
    const bool is_agreed = m_now - m_changed_at > Milliseconds(150);
    // Six times the quota.
    const std::int64_t pressed = 6 * kRate / 20;
    for (std::int64_t asked = 0; asked < pressed;) {
      const auto tokens = static_cast<std::int64_t>(500 + m_random() % 12'000);
      asked += tokens;
      const std::size_t home = is_agreed || m_random() % 2 == 0 ? m_coordinator : m_old_coordinator;
      m_daemons[home]->m_coordinator.RequestSlot(
        kService, RequestOf(Incarnation("caller"), ++m_last_number, tokens, m_now), m_now);
      m_asked[m_last_number] = tokens;
    }
    for (const auto& daemon : m_daemons) {
      daemon->m_coordinator.Decide(kService, m_now);
    }
    m_asked.clear();
    while (!m_spent.empty() && m_now - m_spent.front().first > kWindow) {
      m_in_window -= m_spent.front().second;
      m_spent.pop_front();
    }
  }

  std::int64_t InWindow() const { return m_in_window; }

private:
  struct Daemon
  {
    Daemon(Fleet& aFleet, std::size_t aNumber)
      : m_incarnation("i" + std::to_string(aNumber))
      , m_ledger(Tolerance())
      , m_coordinator(
          SlotSchedulerLimits(),
          m_ledger,
          [](const ServiceName&) { return Endpoints(); },
          [&aFleet](const ServiceName&, const SlotDecisions& aDecisions) {
            aFleet.OnDecisions(aDecisions);
          })
    {
      m_ledger.SetDaemonCount(kDaemons, kDaemons);
      m_ledger.SetWorkspaces({ Workspace() }, kStart);
    }

    Incarnation m_incarnation;
    QuotaLedger m_ledger;
    SlotCoordinator m_coordinator;
    std::uint64_t m_told = 0;
  };

  void OnDecisions(const SlotDecisions& aDecisions)
  {
    for (const SlotGrant& grant : aDecisions.m_grants) {
      const std::int64_t tokens = m_asked.at(grant.m_request_id.m_number);
      m_spent.emplace_back(m_now, tokens);
      m_in_window += tokens;
    }
  }

  void Tell()
  {
    constexpr int kOneIsLostIn = 50;
    for (const auto& from : m_daemons) {
      if (std::exchange(from->m_told, from->m_ledger.Changes()) == from->m_ledger.Changes()) {
        continue;
      }
      for (const auto& to : m_daemons) {
        if (to != from && m_random() % kOneIsLostIn != 0) {
          to->m_ledger.RecordPeerSpending(from->m_incarnation, from->m_ledger.OwnSpending(), m_now);
        }
      }
    }
  }

  std::mt19937 m_random;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
  TimePoint m_now = kStart;
  TimePoint m_changed_at = kStart;
  int m_ticks = 0;
  std::size_t m_coordinator = 0;
  std::size_t m_old_coordinator = 0;
  std::uint64_t m_last_number = 0;
  std::map<std::uint64_t, std::int64_t> m_asked;
  std::deque<std::pair<TimePoint, std::int64_t>> m_spent;
  std::int64_t m_in_window = 0;
};

}

TEST_CASE(
  "A workspace that presses with six times its quota at 78 daemons stays within it, through "
  "changes of the home")
{
  const double bound =
    static_cast<double>(kRate) * (kWindowSeconds + 1) * (1 + kOverage) + kSlackTokens;
  constexpr unsigned kSeeds = 10;
  constexpr int kSteps = 600;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    Fleet fleet(seed);
    double most = 0;
    for (int step = 0; step < kSteps; ++step) {
      fleet.Step();
      most = std::max(most, static_cast<double>(fleet.InWindow()));
    }
    CHECK_MESSAGE(most <= bound, "seed ", seed);
    // What the quota allows is granted.
    CHECK_MESSAGE(most >= static_cast<double>(kRate) * kWindowSeconds, "seed ", seed);
  }
}

TEST_CASE("A request over its quota is refused at once, with the time until it would be served")
{
  QuotaLedger ledger{ QuotaTolerance() };
  ledger.SetDaemonCount(1, 1);
  ledger.SetWorkspaces({ Workspace() }, kStart);
  const TimePoint now = kStart + Milliseconds(5'000);
  std::vector<SlotDecisions> decided;
  SlotCoordinator home(
    SlotSchedulerLimits(),
    ledger,
    [](const ServiceName&) { return Endpoints(); },
    [&](const ServiceName&, const SlotDecisions& aDecisions) { decided.push_back(aDecisions); });
  const Incarnation daemon("d");
  home.RequestSlot(kService, RequestOf(daemon, 1, kRate, now), now);
  home.RequestSlot(kService, RequestOf(daemon, 2, kRate / 2, now), now);
  home.Decide(kService, now);
  REQUIRE(decided.size() == 1);
  REQUIRE(decided[0].m_grants.size() == 1);
  CHECK(decided[0].m_grants[0].m_request_id.m_number == 1);
  REQUIRE(decided[0].m_refusals.size() == 1);
  CHECK(decided[0].m_refusals[0].m_request_id.m_number == 2);
  CHECK(decided[0].m_refusals[0].m_reason == SlotRefusalReason::OverQuota);
  CHECK(decided[0].m_refusals[0].m_retry_after > Milliseconds(400));
  CHECK(decided[0].m_refusals[0].m_retry_after < Milliseconds(600));
}

TEST_CASE("What was charged for a request that got no place is given back")
{
  const TimePoint now = kStart + Milliseconds(5'000);
  for (const char* way : { "withdrawn", "daemon gone", "no endpoint" }) {
    QuotaLedger ledger{ QuotaTolerance() };
    ledger.SetDaemonCount(1, 1);
    ledger.SetWorkspaces({ Workspace() }, kStart);
    // The one place is taken, so that the request waits.
    auto endpoints = Endpoints();
    endpoints[0].m_slots = 1;
    SlotCoordinator home(
      SlotSchedulerLimits(),
      ledger,
      [&](const ServiceName&) { return endpoints; },
      [](const ServiceName&, const SlotDecisions&) {});
    const Incarnation daemon("d");
    home.RequestSlot(kService, RequestOf(Incarnation("other"), 1, 0, now), now);
    home.Decide(kService, now);
    home.RequestSlot(kService, RequestOf(daemon, 1, kRate, now), now);
    home.Decide(kService, now);
    REQUIRE(home.WaitingCount() == 1);
    if (std::string(way) == "withdrawn") {
      home.Withdraw(kService, { daemon, 1 }, now);
    } else if (std::string(way) == "daemon gone") {
      home.ForgetDaemon(daemon);
    } else {
      endpoints.clear();
      home.UpdateEndpoints(now);
      home.Decide(kService, now);
    }
    CHECK_MESSAGE(home.WaitingCount() == 0, way);
    CHECK_MESSAGE(ledger.TrySpend(kWorkspace, kRate, now), way);
  }
}
