#include <LibBroker/SlotCoordinator.h>

#include <deque>
#include <doctest.h>
#include <random>

using namespace auburnhitch;

namespace {

constexpr TimePoint kStart{};
const WorkspaceName kWorkspace("w");
const ServiceName kService("s");

// The quota of the largest workspace in a deployment of 78 daemons, and the tolerance that the
// rules allow in each window of 8 s.
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

/// Daemons of which one at a time is the coordinator, and one workspace that sends six times its
/// quota. Daemons report their spending to the others every 200 ms. At random times the coordinator
/// changes; for 150 ms the daemons do not agree on it.
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
    constexpr int kTicksBetweenReports = 4;
    constexpr int kStepsBetweenChanges = 150;
    m_now += Milliseconds(50);
    if (++m_ticks % kTicksBetweenReports == 0) {
      ReportSpending();
    }
    if (m_random() % kStepsBetweenChanges == 0) {
      m_old_coordinator = std::exchange(m_coordinator, m_random() % kDaemons);
      m_changed_at = m_now;
    }
    const bool is_agreed = m_now - m_changed_at > Milliseconds(150);
    // Six times the quota.
    const std::int64_t tokens_to_request = 6 * kRate / 20;
    for (std::int64_t requested = 0; requested < tokens_to_request;) {
      const auto tokens = static_cast<std::int64_t>(500 + m_random() % 12'000);
      requested += tokens;
      const std::size_t coordinator =
        is_agreed || m_random() % 2 == 0 ? m_coordinator : m_old_coordinator;
      m_daemons[coordinator]->m_coordinator.RequestSlot(
        kService, RequestOf(Incarnation("caller"), ++m_last_number, tokens, m_now), m_now);
      m_requested[m_last_number] = tokens;
    }
    for (const auto& daemon : m_daemons) {
      daemon->m_coordinator.Decide(kService, m_now);
    }
    m_requested.clear();
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
    std::uint64_t m_reported = 0;
  };

  void OnDecisions(const SlotDecisions& aDecisions)
  {
    for (const SlotGrant& grant : aDecisions.m_grants) {
      const std::int64_t tokens = m_requested.at(grant.m_request_id.m_number);
      m_spent.emplace_back(m_now, tokens);
      m_in_window += tokens;
    }
  }

  void ReportSpending()
  {
    constexpr int kReportsPerLostReport = 50;
    for (const auto& from : m_daemons) {
      if (std::exchange(from->m_reported, from->m_ledger.Changes()) == from->m_ledger.Changes()) {
        continue;
      }
      for (const auto& to : m_daemons) {
        if (to != from && m_random() % kReportsPerLostReport != 0) {
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
  std::map<std::uint64_t, std::int64_t> m_requested;
  std::deque<std::pair<TimePoint, std::int64_t>> m_spent;
  std::int64_t m_in_window = 0;
};

}

TEST_CASE(
  "A workspace that sends six times its quota to 78 daemons stays within it while the coordinator "
  "changes")
{
  const double bound =
    static_cast<double>(kRate) * (kWindowSeconds + 1) * (1 + kOverage) + kSlackTokens;
  constexpr unsigned kSeeds = 10;
  constexpr int kSteps = 600;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    Fleet fleet(seed);
    double max_in_window = 0;
    for (int step = 0; step < kSteps; ++step) {
      fleet.Step();
      max_in_window = std::max(max_in_window, static_cast<double>(fleet.InWindow()));
    }
    CHECK_MESSAGE(max_in_window <= bound, "seed ", seed);
    // What the quota allows is granted.
    CHECK_MESSAGE(max_in_window >= static_cast<double>(kRate) * kWindowSeconds, "seed ", seed);
  }
}

TEST_CASE(
  "A request over its quota is refused at once, with the time until the quota would allow it")
{
  QuotaLedger ledger{ QuotaTolerance() };
  ledger.SetDaemonCount(1, 1);
  ledger.SetWorkspaces({ Workspace() }, kStart);
  const TimePoint now = kStart + Milliseconds(5'000);
  std::vector<SlotDecisions> decided;
  SlotCoordinator coordinator(
    SlotSchedulerLimits(),
    ledger,
    [](const ServiceName&) { return Endpoints(); },
    [&](const ServiceName&, const SlotDecisions& aDecisions) { decided.push_back(aDecisions); });
  const Incarnation daemon("d");
  coordinator.RequestSlot(kService, RequestOf(daemon, 1, kRate, now), now);
  coordinator.RequestSlot(kService, RequestOf(daemon, 2, kRate / 2, now), now);
  coordinator.Decide(kService, now);
  REQUIRE(decided.size() == 1);
  REQUIRE(decided[0].m_grants.size() == 1);
  CHECK(decided[0].m_grants[0].m_request_id.m_number == 1);
  REQUIRE(decided[0].m_refusals.size() == 1);
  CHECK(decided[0].m_refusals[0].m_request_id.m_number == 2);
  CHECK(decided[0].m_refusals[0].m_reason == SlotRefusalReason::OverQuota);
  CHECK(decided[0].m_refusals[0].m_retry_after > Milliseconds(400));
  CHECK(decided[0].m_refusals[0].m_retry_after < Milliseconds(600));
}

TEST_CASE("The quota charge of a request that got no slot is refunded")
{
  const TimePoint now = kStart + Milliseconds(5'000);
  for (const char* reason : { "withdrawn", "daemon removed", "no endpoint" }) {
    QuotaLedger ledger{ QuotaTolerance() };
    ledger.SetDaemonCount(1, 1);
    ledger.SetWorkspaces({ Workspace() }, kStart);
    // The only slot is held by another daemon, so that the request waits.
    auto endpoints = Endpoints();
    endpoints[0].m_slots = 1;
    SlotCoordinator coordinator(
      SlotSchedulerLimits(),
      ledger,
      [&](const ServiceName&) { return endpoints; },
      [](const ServiceName&, const SlotDecisions&) {});
    const Incarnation daemon("d");
    coordinator.RequestSlot(kService, RequestOf(Incarnation("other"), 1, 0, now), now);
    coordinator.Decide(kService, now);
    coordinator.RequestSlot(kService, RequestOf(daemon, 1, kRate, now), now);
    coordinator.Decide(kService, now);
    REQUIRE(coordinator.WaitingCount() == 1);
    if (std::string(reason) == "withdrawn") {
      coordinator.Withdraw(kService, { daemon, 1 }, now);
    } else if (std::string(reason) == "daemon removed") {
      coordinator.ForgetDaemon(daemon);
    } else {
      endpoints.clear();
      coordinator.UpdateEndpoints(now);
      coordinator.Decide(kService, now);
    }
    CHECK_MESSAGE(coordinator.WaitingCount() == 0, reason);
    CHECK_MESSAGE(ledger.TrySpend(kWorkspace, kRate, now), reason);
  }
}

TEST_CASE("A coordinator that has granted no slot yet applies the limits that are reported to it")
{
  QuotaLedger quotas(Tolerance());
  std::vector<SlotGrant> grants;
  SlotCoordinator coordinator(
    SlotSchedulerLimits(),
    quotas,
    [](const ServiceName&) { return Endpoints(); },
    [&](const ServiceName&, const SlotDecisions& aDecisions) {
      grants.insert(grants.end(), aDecisions.m_grants.begin(), aDecisions.m_grants.end());
    });
  coordinator.RecordStatedLimit(
    kService, { EndpointId("e"), 1 }, RequestRate{ 2 }, std::nullopt, kStart);
  for (std::uint64_t number = 1; number <= 20; ++number) {
    coordinator.RequestSlot(kService, RequestOf(Incarnation("d"), number, 0, kStart), kStart);
  }
  coordinator.Decide(kService, kStart);
  CHECK(grants.empty());
  coordinator.Decide(kService, kStart + Milliseconds(600));
  CHECK(grants.size() == 1);
}
