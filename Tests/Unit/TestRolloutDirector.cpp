#include <LibBroker/RolloutDirector.h>
#include <LibPlacement/SlotScheduler.h>

#include <algorithm>
#include <deque>
#include <doctest.h>
#include <random>

using namespace auburnhitch;

namespace {

constexpr ExposureBounds kBounds{ 0.1, 50 };
constexpr Milliseconds kStep{ 10 };
constexpr Milliseconds kDuration{ 20'000 };
const ServiceName kService("s");
const SoftwareVersion kOld("1");
const SoftwareVersion kTarget("2");

/// What all daemons see of the store.
struct FakeLog
{
  std::optional<RolloutState> m_state;
  int m_version = 0;
  std::vector<RolloutStage> m_published;
  std::function<void(RolloutStage)> m_on_published;
};

/// One daemon's access to the store.
class FakeStore : public RolloutStore
{
public:
  enum class Mode
  {
    Up,
    Down,
    /// Does what it is asked to, and answers that it may have failed.
    LosesAnswers,
  };

  FakeStore(FakeLog& aLog, const TimePoint& aNow)
    : m_log(aLog)
    , m_now(aNow)
  {
  }

  void Load(const ServiceName& /*aService*/, LoadHandler aHandler) override
  {
    Enqueue([this, aHandler] {
      if (m_mode == Mode::Down) {
        aHandler(absl::UnavailableError("down"));
        return;
      }
      m_read_version = m_log.m_version;
      aHandler(m_log.m_state);
    });
  }
  void Save(const RolloutState& aState, StatusHandler aHandler) override
  {
    Enqueue([this, aState, aHandler] { aHandler(Write(aState)); });
  }
  void Publish(const RolloutState& aState, StatusHandler aHandler) override
  {
    Enqueue([this, aState, aHandler] {
      if (m_mode == Mode::Down) {
        aHandler(absl::UnavailableError("down"));
        return;
      }
      m_log.m_published.push_back(aState.m_stage);
      m_log.m_on_published(aState.m_stage);
      aHandler(absl::OkStatus());
    });
  }

  /// Answers the calls that are due.
  void Run()
  {
    while (!m_calls.empty() && m_calls.front().first <= m_now) {
      const auto call = std::move(m_calls.front().second);
      m_calls.pop_front();
      call();
    }
  }

  Mode m_mode = Mode::Up;
  Milliseconds m_delay{ 5 };
  int m_call_count = 0;

private:
  void Enqueue(std::function<void()> aCall)
  {
    REQUIRE(m_calls.empty());
    ++m_call_count;
    m_calls.emplace_back(m_now + m_delay, std::move(aCall));
  }

  absl::Status Write(const RolloutState& aState)
  {
    if (m_mode == Mode::Down) {
      return absl::UnavailableError("down");
    }
    if (m_log.m_state != aState) {
      if (m_read_version != m_log.m_version) {
        return absl::AbortedError("another decider has written");
      }
      m_log.m_state = aState;
      m_read_version = ++m_log.m_version;
    }
    return m_mode == Mode::LosesAnswers && ++m_lost % 2 == 1 ? absl::UnavailableError("lost")
                                                             : absl::OkStatus();
  }

  FakeLog& m_log;
  const TimePoint& m_now;
  int m_read_version = -1;
  int m_lost = 0;
  std::deque<std::pair<TimePoint, std::function<void()>>> m_calls;
};

struct Effect
{
  double m_failures = 0.01;
  double m_slowness = 1;
};

/// What an endpoint of a version does to a request.
using Shape = std::function<Effect(bool aIsTarget, int aEndpoint)>;

/// Daemons that may each coordinate the service, its endpoints, and callers. In steps of 10 ms.
class World
{
public:
  struct Daemon
  {
    Daemon(World& aWorld, int aNumber)
      : m_id("d" + std::to_string(aNumber))
      , m_store(aWorld.m_log, aWorld.m_now)
      , m_director({ kBounds },
                   { m_id,
                     [&aWorld] { return aWorld.m_now; },
                     [this](const ServiceName&) { return m_coordinates; },
                     [&aWorld](const ServiceName&) { return aWorld.m_endpoints; },
                     [this](const ServiceName&, const SoftwareVersion& aTarget) {
                       std::size_t held = 0;
                       for (const auto& view : m_scheduler.View(TimePoint())) {
                         held += view.m_software_version == aTarget ? 0 : view.m_held;
                       }
                       return held;
                     } })
      , m_scheduler(SlotSchedulerLimits())
    {
      m_director.SetStore(&m_store);
      m_scheduler.SetExposurePolicy(&m_director.PolicyOf(kService));
    }

    Incarnation m_id;
    bool m_coordinates = false;
    bool m_is_paused = false;
    FakeStore m_store;
    RolloutDirector m_director;
    SlotScheduler m_scheduler;
  };

  explicit World(
    unsigned aSeed,
    Shape aShape = [](bool, int) { return Effect(); })
    : m_random(aSeed)
    , m_shape(std::move(aShape))
  {
    for (int i = 0; i < 2; ++i) {
      m_daemons.push_back(std::make_unique<Daemon>(*this, i));
    }
    m_daemons[0]->m_coordinates = true;
    m_log.m_on_published = [this](RolloutStage aStage) {
      if (aStage == RolloutStage::Completed) {
        m_running_at_old_when_completed = std::count_if(
          m_running.begin(), m_running.end(), [](const Sent& aSent) { return !aSent.m_is_target; });
      }
    };
  }

  void SetEndpoints(int aOld, int aTargets, int aSlots = 4)
  {
    m_endpoints.clear();
    for (int i = 0; i < aOld + aTargets; ++i) {
      SlotEndpointInfo info;
      info.m_id = EndpointId("e" + std::to_string(i));
      info.m_slots = aSlots;
      info.m_started_at_ms = 1;
      info.m_software_version = i < aOld ? kOld : kTarget;
      m_endpoints.push_back(info);
    }
    for (const auto& daemon : m_daemons) {
      daemon->m_director.OnEndpointsChanged();
      daemon->m_scheduler.SetEndpoints(m_endpoints, m_now);
    }
  }

  void Order(const char* aId, const SoftwareVersion& aTarget = kTarget)
  {
    m_arrived = 0;
    m_sent = 0;
    m_retried_at_target = 0;
    for (const auto& daemon : m_daemons) {
      daemon->m_director.SetOrder({ aId, kService, aTarget, kDuration });
    }
  }
  void Withdraw()
  {
    for (const auto& daemon : m_daemons) {
      daemon->m_director.RemoveOrder(kService);
    }
  }

  void Step()
  {
    m_now += kStep;
    End();
    for (const auto& daemon : m_daemons) {
      if (daemon->m_is_paused) {
        continue;
      }
      daemon->m_store.Run();
      daemon->m_director.Tick();
      if (daemon->m_coordinates) {
        for (int i = Arrivals(); i > 0; --i) {
          ++m_arrived;
          Request(*daemon, {});
        }
      }
      for (const SlotGrant& grant : daemon->m_scheduler.Decide(m_now).m_grants) {
        Send(*daemon, grant);
      }
    }
  }

  void Run(int aMs)
  {
    for (int i = 0; i < aMs; i += static_cast<int>(kStep.count())) {
      Step();
    }
  }
  /// Runs until a condition holds, at most until the deadline of an order given at the start.
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    while (!aCondition() && m_now < TimePoint() + kDuration) {
      Step();
    }
    return aCondition();
  }
  bool HasPublished(RolloutStage aStage) const
  {
    return !m_log.m_published.empty() && m_log.m_published.back() == aStage;
  }
  bool HasStage(RolloutStage aStage) const
  {
    return m_log.m_state && m_log.m_state->m_stage == aStage;
  }
  bool IsWithinBounds() const
  {
    return m_sent <= kBounds.m_share * static_cast<double>(m_arrived) + kBounds.m_slack;
  }
  /// Leaves the coordination to the other daemon.
  void MoveCoordinator()
  {
    m_daemons[0]->m_coordinates = false;
    m_daemons[1]->m_coordinates = true;
  }

  TimePoint m_now;
  FakeLog m_log;
  std::vector<SlotEndpointInfo> m_endpoints;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
  double m_arrivals_per_step = 1.2;
  std::uint64_t m_arrived = 0;
  int m_sent = 0;
  int m_retried_at_target = 0;
  std::ptrdiff_t m_running_at_old_when_completed = -1;

private:
  struct Sent
  {
    Daemon* m_daemon = nullptr;
    SlotRequestId m_id;
    EndpointId m_endpoint;
    bool m_is_target = false;
    TimePoint m_ends_at;
    bool m_is_failure = false;
    bool m_is_retry = false;
  };

  int Arrivals()
  {
    return m_arrivals_per_step > 0 ? std::poisson_distribution<int>(m_arrivals_per_step)(m_random)
                                   : 0;
  }

  void Request(Daemon& aDaemon, std::vector<EndpointId> aAvoided)
  {
    SlotRequest request;
    request.m_request_id = { aDaemon.m_id, ++m_last_number };
    request.m_arrived_at = m_now;
    request.m_objective_at = m_now + Milliseconds(1'000);
    request.m_abandoned_at = m_now + Milliseconds(5'000);
    request.m_work = { 8'640, 0 };
    request.m_route = KindName("r" + std::to_string(m_last_number % 3));
    request.m_avoided = std::move(aAvoided);
    if (!request.m_avoided.empty()) {
      m_retries[m_last_number] = IsOfTarget(request.m_avoided.front());
    }
    aDaemon.m_scheduler.RequestSlot(request, m_now);
  }

  bool IsOfTarget(const EndpointId& aEndpoint) const
  {
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& aInfo) {
      return aInfo.m_id == aEndpoint && aInfo.m_software_version == kTarget;
    });
  }

  void Send(Daemon& aDaemon, const SlotGrant& aGrant)
  {
    const bool is_target = IsOfTarget(aGrant.m_endpoint);
    const Effect effect = m_shape(is_target, std::stoi(aGrant.m_endpoint.Value().substr(1)));
    const double took_ms =
      200 * effect.m_slowness * std::lognormal_distribution<double>(0, 0.3)(m_random);
    const auto retry = m_retries.find(aGrant.m_request_id.m_number);
    const bool is_retry = retry != m_retries.end();
    const bool is_bounded = !HasStage(RolloutStage::Drain) && !HasStage(RolloutStage::Completed);
    m_sent += is_target && is_bounded ? 1 : 0;
    m_retried_at_target += is_target && is_bounded && is_retry && retry->second ? 1 : 0;
    m_running.push_back({ &aDaemon,
                          aGrant.m_request_id,
                          aGrant.m_endpoint,
                          is_target,
                          m_now + Milliseconds(static_cast<int>(took_ms)),
                          std::bernoulli_distribution(effect.m_failures)(m_random),
                          is_retry });
  }

  void End()
  {
    std::vector<Sent> ended;
    std::erase_if(m_running, [&](const Sent& aSent) {
      if (aSent.m_ends_at > m_now || aSent.m_daemon->m_is_paused) {
        return false;
      }
      ended.push_back(aSent);
      return true;
    });
    for (const Sent& sent : ended) {
      SlotScheduler& scheduler = sent.m_daemon->m_scheduler;
      scheduler.RecordStarted(sent.m_id, sent.m_endpoint, m_now);
      scheduler.RecordEnded(sent.m_id,
                            sent.m_endpoint,
                            sent.m_is_failure ? SlotOutcome::Failed : SlotOutcome::Complete,
                            m_now);
      if (sent.m_is_failure && !sent.m_is_retry) {
        Request(*sent.m_daemon, { sent.m_endpoint });
      }
    }
  }

  std::mt19937 m_random;
  Shape m_shape;
  std::vector<Sent> m_running;
  /// Requests that are sent again, and whether their first attempt was at the target.
  std::map<std::uint64_t, bool> m_retries;
  std::uint64_t m_last_number = 0;
};

Shape
FailingTarget()
{
  return [](bool aIsTarget, int) { return Effect{ aIsTarget ? 0.3 : 0.01, 1 }; };
}

void
Begin(World& aWorld, int aSlots = 4)
{
  aWorld.SetEndpoints(20, 15, aSlots);
  aWorld.Run(1'000);
  aWorld.Order("1");
}

}

// Guards against old endpoints that stop while requests run there, and against a verdict that is
// published before it is saved.
TEST_CASE("Rollout director: a good version is completed once no request runs at the old one")
{
  World world(1);
  Begin(world);
  CHECK(world.RunUntil([&] { return world.HasPublished(RolloutStage::Completed); }));
  CHECK(world.HasStage(RolloutStage::Completed));
  CHECK(world.m_running_at_old_when_completed == 0);
  CHECK(world.m_log.m_published.front() != RolloutStage::Completed);
  CHECK(world.IsWithinBounds());
  CHECK(world.m_retried_at_target == 0);
  // About one save a second, and the calls at the start and at changes of the stage.
  CHECK(world.m_daemons[0]->m_store.m_call_count <= 30);
  CHECK(world.m_daemons[1]->m_store.m_call_count == 0);
}

// Guards against a bad version that keeps getting requests after its verdict.
TEST_CASE("Rollout director: a bad version is rolled back and gets no further requests")
{
  World world(2, FailingTarget());
  Begin(world);
  CHECK(world.RunUntil([&] { return world.HasPublished(RolloutStage::RolledBack); }));
  CHECK(world.IsWithinBounds());
  CHECK(world.m_retried_at_target == 0);
  // Found by its responses, not because the time was up.
  CHECK(world.m_now < TimePoint() + kDuration / 2);
  const int sent = world.m_sent;
  // A version that comes back after its rollback stays unused, at another coordinator as well.
  world.SetEndpoints(20, 0);
  world.Run(200);
  world.SetEndpoints(20, 15);
  world.Run(500);
  world.MoveCoordinator();
  world.Run(1'000);
  CHECK(world.m_sent == sent);
  world.Order("2");
  world.Run(2'000);
  CHECK(world.m_sent > 0);
}

// Guards against a rollout that stops, exceeds its bounds or gets two verdicts when its decider is
// lost, paused or cut off from the store at any step.
TEST_CASE("Rollout director: another daemon continues when the decider fails at any step")
{
  for (const bool is_bad : { false, true }) {
    for (const RolloutStage stage : { RolloutStage::Waiting,
                                      RolloutStage::Probe,
                                      RolloutStage::Share,
                                      RolloutStage::Load,
                                      RolloutStage::Drain,
                                      RolloutStage::Completed,
                                      RolloutStage::RolledBack }) {
      for (const std::string how : { "killed", "paused", "cut off", "two at once" }) {
        CAPTURE(is_bad);
        CAPTURE(NameOf(stage));
        CAPTURE(how);
        World world(
          3, is_bad ? FailingTarget() : [](bool, int) { return Effect(); });
        Begin(world);
        World::Daemon& first = *world.m_daemons[0];
        if (!world.RunUntil([&] { return world.HasStage(stage); })) {
          // A bad version does not reach all stages.
          continue;
        }
        first.m_is_paused = how == "killed" || how == "paused";
        if (how == "cut off") {
          first.m_store.m_mode = FakeStore::Mode::Down;
        }
        world.m_daemons[1]->m_coordinates = true;
        first.m_coordinates = how != "killed";
        world.Run(1'500);
        first.m_is_paused = how == "killed";
        first.m_coordinates = how == "two at once" || how == "cut off";
        const RolloutStage verdict = is_bad ? RolloutStage::RolledBack : RolloutStage::Completed;
        CHECK(world.RunUntil([&] { return world.HasPublished(verdict); }));
        CHECK(world.HasStage(verdict));
        CHECK(world.IsWithinBounds());
      }
    }
  }
}

// Guards against a decider that sends more than its last reserved block, or for longer than the
// stated age, without the store.
TEST_CASE("Rollout director: without the store the target gets the reserved requests at most")
{
  World world(4);
  Begin(world);
  world.RunUntil([&] { return world.HasStage(RolloutStage::Share); });
  world.Run(500);
  world.m_daemons[0]->m_store.m_mode = FakeStore::Mode::Down;
  const auto reserved = static_cast<int>(world.m_log.m_state->m_sent);
  world.Run(3'500);
  const int sent = world.m_sent;
  CHECK(sent <= reserved);
  world.Run(500);
  CHECK(world.m_sent == sent);
}

// Guards against a decider that has been replaced while it was paused or without requests, and uses
// what it had reserved before.
TEST_CASE("Rollout director: an unused reservation expires without the store")
{
  World world(4);
  Begin(world);
  world.RunUntil([&] { return world.HasStage(RolloutStage::Share); });
  world.m_arrivals_per_step = 0;
  world.Run(1'500);
  world.m_daemons[0]->m_store.m_mode = FakeStore::Mode::Down;
  const int sent = world.m_sent;
  CHECK(sent < static_cast<int>(world.m_log.m_state->m_sent));
  world.Run(3'500);
  world.m_arrivals_per_step = 1.2;
  world.Run(500);
  CHECK(world.m_sent == sent);
}

// Guards against a verdict that is lost, late or wrong because of the store.
TEST_CASE("Rollout director: a verdict is reached with a store that is down, slow or loses answers")
{
  for (const std::string how : { "down", "slow", "loses answers" }) {
    for (const bool is_bad : { false, true }) {
      CAPTURE(how);
      CAPTURE(is_bad);
      World world(
        5, is_bad ? FailingTarget() : [](bool, int) { return Effect(); });
      Begin(world);
      FakeStore& store = world.m_daemons[0]->m_store;
      store.m_delay = Milliseconds(how == "slow" ? 700 : 5);
      store.m_mode = how == "loses answers" ? FakeStore::Mode::LosesAnswers : FakeStore::Mode::Up;
      world.Run(2'000);
      if (how == "down") {
        store.m_mode = FakeStore::Mode::Down;
        world.Run(2'500);
        store.m_mode = FakeStore::Mode::Up;
      }
      const RolloutStage verdict = is_bad ? RolloutStage::RolledBack : RolloutStage::Completed;
      CHECK(world.RunUntil([&] { return world.HasPublished(verdict); }));
      CHECK(world.IsWithinBounds());
    }
  }
}

// Guards against rollbacks of versions because hosts are of uneven speed, and against versions
// whose slowness is taken for that of hosts.
TEST_CASE("Rollout director: a third of the endpoints of both versions may be slow")
{
  int rolled_back = 0;
  int found = 0;
  constexpr unsigned kSeeds = 20;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    for (const double slowness : { 1.0, 10.0 }) {
      World world(seed, [slowness](bool aIsTarget, int aEndpoint) {
        return Effect{ 0.01, (aEndpoint % 3 == 0 ? 4.4 : 1) * (aIsTarget ? slowness : 1) };
      });
      // With two slots for each endpoint, the slow ones are needed.
      Begin(world, 2);
      world.RunUntil([&] {
        return world.HasPublished(RolloutStage::Completed) ||
               world.HasPublished(RolloutStage::RolledBack);
      });
      rolled_back += slowness == 1 && !world.HasPublished(RolloutStage::Completed) ? 1 : 0;
      found += slowness > 1 && world.HasPublished(RolloutStage::RolledBack) ? 1 : 0;
      CHECK(world.IsWithinBounds());
    }
  }
  CHECK(rolled_back == 0);
  CHECK(found == kSeeds);
}

// Guards against endpoints that are withheld though no order concerns them, or used though one
// does.
TEST_CASE("Rollout director: endpoints register before, without and after an order")
{
  World world(6);
  SUBCASE("without an order, all versions serve")
  {
    world.SetEndpoints(5, 5);
    world.Run(500);
    CHECK(world.m_sent > 0);
    CHECK(world.m_daemons[0]->m_store.m_call_count == 0);
  }
  SUBCASE("after an order, the target is withheld until a daemon decides")
  {
    world.SetEndpoints(5, 0);
    world.m_daemons[0]->m_store.m_mode = FakeStore::Mode::Down;
    world.Order("1");
    world.Run(200);
    world.SetEndpoints(5, 5);
    world.Run(2'000);
    CHECK(world.m_sent == 0);
    world.m_daemons[0]->m_store.m_mode = FakeStore::Mode::Up;
    CHECK(world.RunUntil([&] { return world.HasPublished(RolloutStage::Completed); }));
  }
  SUBCASE("an order for the version that serves is completed at once")
  {
    world.SetEndpoints(0, 5);
    world.Run(500);
    world.Order("1");
    world.Run(500);
    CHECK(world.HasPublished(RolloutStage::Completed));
    CHECK(world.m_arrived > 0);
  }
  SUBCASE("an order for a service that is gone is rolled back before its deadline")
  {
    world.Order("1");
    CHECK(world.RunUntil([&] { return world.HasPublished(RolloutStage::RolledBack); }));
  }
  SUBCASE("a version with one endpoint is completed")
  {
    world.SetEndpoints(20, 1);
    world.Order("1");
    world.RunUntil([&] { return world.HasPublished(RolloutStage::Completed); });
    CHECK(world.HasPublished(RolloutStage::Completed));
  }
  SUBCASE("an endpoint of a third version is one of the others")
  {
    world.SetEndpoints(10, 10);
    world.m_endpoints[0].m_software_version = SoftwareVersion("0");
    world.Order("1");
    CHECK(world.RunUntil([&] { return world.HasPublished(RolloutStage::Completed); }));
    CHECK(world.m_running_at_old_when_completed == 0);
  }
}

// Guards against the target of an order that is no longer in force getting ordinary traffic.
TEST_CASE("Rollout director: a target that was not completed stays withheld")
{
  World world(7);
  Begin(world);
  world.RunUntil([&] { return world.HasStage(RolloutStage::Share); });
  SUBCASE("a second order during the first")
  {
    world.Order("2", SoftwareVersion("3"));
  }
  SUBCASE("the order is withdrawn")
  {
    world.Withdraw();
    world.Run(200);
    CHECK(world.HasPublished(RolloutStage::RolledBack));
  }
  SUBCASE("the order is withdrawn while the decider changes")
  {
    world.m_daemons[0]->m_is_paused = true;
    world.MoveCoordinator();
    world.Withdraw();
    world.Run(500);
    CHECK(world.HasPublished(RolloutStage::RolledBack));
  }
  const int sent = world.m_sent;
  world.Run(2'000);
  CHECK(world.m_sent == sent);
}

// Guards against a count of exposure that begins anew when the store has lost the state.
TEST_CASE("Rollout director: what was sent counts after the store has lost the state")
{
  World world(10);
  Begin(world);
  world.RunUntil([&] { return world.HasStage(RolloutStage::Load); });
  world.m_log.m_state = std::nullopt;
  ++world.m_log.m_version;
  CHECK(world.RunUntil([&] { return world.HasPublished(RolloutStage::Completed); }));
  CHECK(world.IsWithinBounds());
}

// Guards against an answer of the store that makes a daemon the decider after it has let go.
TEST_CASE("Rollout director: a daemon that stops coordinating does not become the decider")
{
  World world(8);
  world.m_daemons[0]->m_store.m_delay = Milliseconds(300);
  Begin(world);
  world.Run(100);
  world.m_daemons[0]->m_coordinates = false;
  world.Run(1'000);
  CHECK_FALSE(world.m_log.m_state);
  CHECK(world.m_daemons[0]->m_store.m_call_count == 1);
}

// Guards against a rollout that begins anew at a daemon that started during it.
TEST_CASE("Rollout director: a successor that reads the order late keeps to its deadline")
{
  World world(9);
  world.SetEndpoints(20, 0);
  world.Order("1");
  world.Run(10'000);
  world.m_daemons.push_back(std::make_unique<World::Daemon>(world, 2));
  World::Daemon& late = *world.m_daemons.back();
  late.m_director.SetOrder({ "1", kService, kTarget, kDuration });
  late.m_director.OnEndpointsChanged();
  late.m_scheduler.SetEndpoints(world.m_endpoints, world.m_now);
  world.m_daemons[0]->m_coordinates = false;
  late.m_coordinates = true;
  CHECK(world.RunUntil([&] { return world.HasPublished(RolloutStage::RolledBack); }));
}
