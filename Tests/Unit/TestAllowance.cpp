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

// The users' figures: a window of 8 s, a tenth above the quota, and 190,000 tokens besides.
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

/// Some daemons that tell each other their spending, of which some are cut off or start anew.
class Fleet
{
public:
  Fleet(std::size_t aDaemons, unsigned aSeed)
    : m_random(aSeed)
  {
    for (std::size_t i = 0; i < aDaemons; ++i) {
      m_daemons.push_back(Fresh(aDaemons));
    }
  }

  /// One tick of 50 ms. Daemons press far beyond the quota.
  void Step()
  {
    m_now += Milliseconds(50);
    for (Daemon& daemon : m_daemons) {
      if (m_random() % 200 == 0) {
        daemon.m_is_cut = !daemon.m_is_cut;
      }
      if (m_random() % 400 == 0) {
        daemon = Fresh(m_daemons.size());
      }
    }
    if (++m_ticks % 4 == 0) {
      Tell();
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
    while (m_now - m_spent.front().first > kWindow) {
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
    bool m_is_cut = false;
  };

  Daemon Fresh(std::size_t aKnown)
  {
    Daemon daemon;
    daemon.m_ledger = std::make_unique<QuotaLedger>(Tolerance());
    // A daemon that starts has heard of the others in the list and hears none of them yet.
    daemon.m_ledger->SetDaemonCount(1, aKnown);
    daemon.m_ledger->SetWorkspaces({ Workspace() }, m_now);
    daemon.m_incarnation = Incarnation("i" + std::to_string(++m_last_incarnation));
    return daemon;
  }

  void Tell()
  {
    for (Daemon& to : m_daemons) {
      std::size_t heard = 1;
      for (const Daemon& from : m_daemons) {
        const bool is_lost = m_random() % 50 == 0;
        if (&from != &to && !from.m_is_cut && !to.m_is_cut) {
          ++heard;
          if (!is_lost) {
            to.m_ledger->RecordPeerSpending(
              from.m_incarnation, from.m_ledger->OwnSpending(), m_now);
          }
        }
      }
      to.m_ledger->SetDaemonCount(heard, m_daemons.size());
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

TEST_CASE("Daemons that press at once, are cut off and start anew stay within a workspace's quota")
{
  const double bound =
    (static_cast<double>(kRate) * 8 + static_cast<double>(kBurst)) * (1 + kOverage) + kSlackTokens;
  constexpr int kSeeds = 300;
  constexpr int kSteps = 600;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    Fleet fleet(2 + seed % 11, seed);
    double most = 0;
    for (int step = 0; step < kSteps; ++step) {
      fleet.Step();
      most = std::max(most, static_cast<double>(fleet.InWindow()));
    }
    CHECK_MESSAGE(most <= bound, "seed ", seed);
    // It is no answer to refuse everything.
    CHECK_MESSAGE(most >= 0.5 * static_cast<double>(kRate) * 8, "seed ", seed);
  }
}

TEST_CASE("What one daemon spends the others no longer grant")
{
  // Long enough after the start for full buckets.
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

TEST_CASE("A daemon that starts does not count what the others spent before")
{
  QuotaLedger ledger{ QuotaTolerance() };
  ledger.SetDaemonCount(2, 2);
  ledger.SetWorkspaces({ Workspace() }, kStart);
  ledger.RecordPeerSpending(
    Incarnation("f"), { { kWorkspace, 100 * kRate } }, kStart + Milliseconds(200));
  CHECK(ledger.TrySpend(kWorkspace, 1'000, kStart + Milliseconds(300)));
}

TEST_CASE("Workspaces without a quota are never refused, and what did not run is given back")
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

TEST_CASE("The repeats of all daemons stay within a service's budget")
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
    std::deque<TimePoint> repeats;
    for (int ms = 0; ms < 40'000; ms += 20) {
      const TimePoint now = kStart + Milliseconds(ms);
      RetryBudget& budget = budgets[random() % kDaemons];
      if (random() % 3 == 0) {
        budget.RecordRequest(kService, now);
        requests.push_back(now);
      }
      if (budget.TryRetry(kService, now)) {
        repeats.push_back(now);
      }
      for (auto* times : { &requests, &repeats }) {
        while (!times->empty() && now - times->front() > limits.m_window) {
          times->pop_front();
        }
      }
      CHECK_MESSAGE(static_cast<double>(repeats.size()) <=
                      limits.m_ratio * static_cast<double>(requests.size()) +
                        limits.m_slack_retries,
                    "seed ",
                    seed);
    }
    CHECK_FALSE(repeats.empty());
  }
}
