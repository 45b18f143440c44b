#include <LibAllowance/QuotaLedger.h>
#include <LibAllowance/RetryBudget.h>

#include <deque>
#include <doctest.h>
#include <random>

using namespace auburnhitch;

namespace {

constexpr TimePoint kStart{};
const WorkspaceName kWorkspace("w");
const ServiceName kService("s");

// The tolerance allows a tenth above the quota and 190,000 tokens more in each window of 8 s.
constexpr std::int64_t kRate = 105'000;
constexpr std::int64_t kBurst = 105'000;
constexpr double kOverage = 0.1;
constexpr double kSlackTokens = 190'000;
constexpr Milliseconds kWindow{ 8'000 };

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
  workspace.m_burst_tokens = kBurst;
  return workspace;
}

/// Daemons that report their spending to each other. At random times, daemons are partitioned from
/// the others or restart.
class Fleet
{
public:
  Fleet(std::size_t aDaemons, unsigned aSeed)
    : m_random(aSeed)
  {
    for (std::size_t i = 0; i < aDaemons; ++i) {
      m_daemons.push_back(StartDaemon(aDaemons));
    }
  }

  /// Advances the time by 50 ms. All daemons together request far more than the quota.
  void Step()
  {
    m_now += Milliseconds(50);
    for (Daemon& daemon : m_daemons) {
      if (m_random() % 200 == 0) {
        daemon.m_is_partitioned = !daemon.m_is_partitioned;
      }
      if (m_random() % 400 == 0) {
        daemon = StartDaemon(m_daemons.size());
      }
    }
    if (++m_ticks % 4 == 0) {
      ExchangeReports();
    }
    for (Daemon& daemon : m_daemons) {
      for (int i = 0; i < 4; ++i) {
        const auto tokens = static_cast<std::int64_t>(500 + m_random() % 12'000);
        if (daemon.m_ledger->TrySpend(kWorkspace, tokens, m_now)) {
          m_spent.emplace_back(m_now, tokens);
          m_in_window += tokens;
        }
      }
    }
    while (!m_spent.empty() && m_now - m_spent.front().first > kWindow) {
      m_in_window -= m_spent.front().second;
      m_spent.pop_front();
    }
  }

  std::int64_t InWindow() const { return m_in_window; }

private:
  struct Daemon
  {
    std::unique_ptr<QuotaLedger> m_ledger;
    Incarnation m_incarnation;
    bool m_is_partitioned = false;
  };

  Daemon StartDaemon(std::size_t aKnown)
  {
    Daemon daemon;
    daemon.m_ledger = std::make_unique<QuotaLedger>(Tolerance());
    // A starting daemon knows the others from the list of daemons, and none of them is alive to it
    // yet.
    daemon.m_ledger->SetDaemonCount(1, aKnown);
    daemon.m_ledger->SetWorkspaces({ Workspace() }, m_now);
    daemon.m_incarnation = Incarnation("i" + std::to_string(++m_last_incarnation));
    return daemon;
  }

  void ExchangeReports()
  {
    for (Daemon& to : m_daemons) {
      std::size_t alive = 1;
      for (const Daemon& from : m_daemons) {
        const bool is_lost = m_random() % 50 == 0;
        if (&from != &to && !from.m_is_partitioned && !to.m_is_partitioned) {
          ++alive;
          if (!is_lost) {
            to.m_ledger->RecordPeerSpending(
              from.m_incarnation, from.m_ledger->OwnSpending(), m_now);
          }
        }
      }
      to.m_ledger->SetDaemonCount(alive, m_daemons.size());
    }
  }

  std::mt19937 m_random;
  std::vector<Daemon> m_daemons;
  TimePoint m_now = kStart;
  int m_ticks = 0;
  int m_last_incarnation = 0;
  std::deque<std::pair<TimePoint, std::int64_t>> m_spent;
  std::int64_t m_in_window = 0;
};

}

TEST_CASE("Overloaded daemons that are partitioned or restart stay within a workspace's quota")
{
  const double bound =
    (static_cast<double>(kRate) * 8 + static_cast<double>(kBurst)) * (1 + kOverage) + kSlackTokens;
  constexpr int kSeeds = 300;
  constexpr int kSteps = 600;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    Fleet fleet(2 + seed % 11, seed);
    double max_in_window = 0;
    for (int step = 0; step < kSteps; ++step) {
      fleet.Step();
      max_in_window = std::max(max_in_window, static_cast<double>(fleet.InWindow()));
    }
    CHECK_MESSAGE(max_in_window <= bound, "seed ", seed);
    // At least half of the quota is granted: refusing everything must not pass.
    CHECK_MESSAGE(max_in_window >= 0.5 * static_cast<double>(kRate) * 8, "seed ", seed);
  }
}

TEST_CASE("Tokens that one daemon has spent are not granted by another")
{
  // Long enough after the start for the buckets to be full.
  const TimePoint now = kStart + Milliseconds(5'000);
  QuotaLedger first{ QuotaTolerance() };
  QuotaLedger second{ QuotaTolerance() };
  for (QuotaLedger* ledger : { &first, &second }) {
    ledger->SetDaemonCount(2, 2);
    ledger->SetWorkspaces({ Workspace() }, kStart);
  }
  REQUIRE(first.TrySpend(kWorkspace, kBurst, now));
  CHECK(second.TimeUntilAvailable(kWorkspace, 1'000, now) <= Milliseconds(1));
  second.RecordPeerSpending(Incarnation("f"), first.OwnSpending(), now);
  CHECK_FALSE(second.TrySpend(kWorkspace, 1'000, now));
  CHECK(second.TimeUntilAvailable(kWorkspace, kRate, now) > Milliseconds(900));
  CHECK(second.TrySpend(kWorkspace, kRate, now + Milliseconds(1'001)));
}

TEST_CASE("A starting daemon does not count what the others spent before its start")
{
  QuotaLedger ledger{ QuotaTolerance() };
  ledger.SetDaemonCount(2, 2);
  ledger.SetWorkspaces({ Workspace() }, kStart);
  ledger.RecordPeerSpending(
    Incarnation("f"), { { kWorkspace, 100 * kRate } }, kStart + Milliseconds(200));
  CHECK(ledger.TrySpend(kWorkspace, 1'000, kStart + Milliseconds(300)));
}

TEST_CASE("Workspaces without a quota are never refused, and refunded tokens can be spent again")
{
  const TimePoint now = kStart + Milliseconds(5'000);
  QuotaLedger ledger{ QuotaTolerance() };
  RoutedWorkspace unlimited;
  unlimited.m_name = WorkspaceName("u");
  ledger.SetWorkspaces({ Workspace(), unlimited }, kStart);
  CHECK(ledger.TrySpend(WorkspaceName("u"), INT64_MAX / 2, now));
  CHECK(ledger.TrySpend(WorkspaceName("unknown"), 1, now));
  REQUIRE(ledger.TrySpend(kWorkspace, kBurst, now));
  CHECK_FALSE(ledger.TrySpend(kWorkspace, kBurst, now));
  ledger.Refund(kWorkspace, kBurst);
  CHECK(ledger.TrySpend(kWorkspace, kBurst, now));
}

TEST_CASE("The retries of all daemons together stay within a service's retry budget")
{
  constexpr int kDaemons = 6;
  RetryBudgetLimits limits;
  limits.m_ratio = 0.2;
  limits.m_slack_retries = 52;
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    std::vector<RetryBudget> budgets(kDaemons, RetryBudget(limits));
    for (RetryBudget& budget : budgets) {
      budget.SetDaemonCount(kDaemons);
    }
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
    for (int ms = 0; ms < 40'000; ms += 20) {
      const TimePoint now = kStart + Milliseconds(ms);
      RetryBudget& budget = budgets[random() % kDaemons];
      if (random() % 3 == 0) {
        budget.RecordRequest(kService, now);
        requests.push_back(now);
      }
      if (budget.TryRetry(kService, now)) {
        retries.push_back(now);
      }
      for (auto* times : { &requests, &retries }) {
        while (!times->empty() && now - times->front() > limits.m_window) {
          times->pop_front();
        }
      }
      CHECK_MESSAGE(static_cast<double>(retries.size()) <=
                      limits.m_ratio * static_cast<double>(requests.size()) +
                        limits.m_slack_retries,
                    "seed ",
                    seed);
    }
    CHECK_FALSE(retries.empty());
  }
}
