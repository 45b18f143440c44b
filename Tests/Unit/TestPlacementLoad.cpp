#include <LibPlacement/SlotScheduler.h>

#include <doctest.h>
#include <functional>
#include <map>
#include <queue>
#include <random>

using namespace auburnhitch;

namespace {

constexpr TimePoint kStart{};

TimePoint
At(double aMs)
{
  return kStart +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(aMs));
}

/// A kind of request as on the users' sheets.
struct Kind
{
  int m_priority = 0;
  double m_per_second = 0;
  double m_prompt_tokens = 0;
  double m_output_tokens = 0;
  double m_objective_ms = 0;
  double m_patience_ms = 3'200;
};

/// What the callers of one kind got.
struct Served
{
  int m_asked = 0;
  int m_in_time = 0;
  int m_late = 0;
  int m_refused = 0;

  double InTime() const { return m_asked == 0 ? 1 : static_cast<double>(m_in_time) / m_asked; }
  double Answered() const
  {
    return m_asked == 0 ? 1 : static_cast<double>(m_in_time + m_late) / m_asked;
  }
};

// The association's engines: nine with four places each, of which a third is slower by a factor
// of 4.4, and its three kinds of generations.
const std::vector<Kind> kKinds{ { 0, 12.9, 3'720, 120, 800 },
                                { 1, 9.34, 2'890, 54, 800 },
                                { 2, 15.6, 1'110, 172, 500 } };
constexpr int kEngines = 9;
constexpr int kPlaces = 4;
constexpr double kFast = 0.68;
constexpr double kSlow = 3.0;
constexpr double kSeconds = 30;

/// Plays arrivals against a scheduler and engines whose times it has to learn.
class LoadPlay
{
public:
  explicit LoadPlay(unsigned aSeed)
    : m_random(aSeed)
    , m_scheduler(SlotSchedulerLimits())
  {
    std::vector<SlotEndpointInfo> infos;
    for (int i = 0; i < kEngines; ++i) {
      const EndpointId id("e" + std::to_string(i));
      infos.push_back(SlotEndpointInfo{ id, DataCenterName("dc"), kPlaces, 1 });
      m_slowness[id] = i % 3 == 2 ? kSlow : kFast;
    }
    m_scheduler.SetEndpoints(infos, kStart);
  }

  using Factor = std::function<double(int aKind, double aSecond)>;

  /// Plays the load times a factor that may depend on kind and time.
  void Run(const Factor& aFactor)
  {
    for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
      PlanArrival(kind, 0, aFactor);
    }
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      event.m_run();
      Decide();
    }
  }

  const Served& Of(std::size_t aKind) { return m_served[aKind]; }

private:
  struct Event
  {
    double m_at;
    std::uint64_t m_order;
    std::function<void()> m_run;

    bool operator<(const Event& aOther) const
    {
      return std::pair(m_at, m_order) > std::pair(aOther.m_at, aOther.m_order);
    }
  };

  struct Request
  {
    std::size_t m_kind;
    double m_arrived;
    RequestWork m_real;
  };

  void Plan(double aAt, std::function<void()> aRun)
  {
    m_events.push(Event{ aAt, ++m_last_event, std::move(aRun) });
  }

  void PlanArrival(std::size_t aKind, double aFrom, const Factor& aFactor)
  {
    const double per_second =
      kKinds[aKind].m_per_second * aFactor(static_cast<int>(aKind), aFrom / 1'000);
    const double at = aFrom + std::exponential_distribution<double>(per_second)(m_random) * 1'000;
    if (at > kSeconds * 1'000) {
      return;
    }
    Plan(at, [this, aKind, at, aFactor] {
      Arrive(aKind);
      PlanArrival(aKind, at, aFactor);
    });
  }

  double Spread(double aMean, double aSigma)
  {
    return aMean * std::lognormal_distribution<double>(-aSigma * aSigma / 2, aSigma)(m_random);
  }

  void Arrive(std::size_t aKind)
  {
    const Kind& kind = kKinds[aKind];
    const std::uint64_t number = ++m_last_number;
    SlotRequest request;
    request.m_request_id = SlotRequestId{ Incarnation("d"), number };
    request.m_priority = kind.m_priority;
    Request& kept = m_requests[number];
    kept = Request{ aKind,
                    m_now,
                    { Spread(kind.m_prompt_tokens, 1.0), Spread(kind.m_output_tokens, 1.2) } };
    // The caller's estimate of its output is right at the median and often far off.
    request.m_work = { kept.m_real.m_prompt_tokens, Spread(kept.m_real.m_output_tokens, 0.5) };
    request.m_arrived_at = At(m_now);
    request.m_objective_at = At(m_now + kind.m_objective_ms);
    request.m_abandoned_at = At(m_now + kind.m_patience_ms);
    request.m_data_center = DataCenterName("dc");
    ++m_served[aKind].m_asked;
    m_scheduler.RequestSlot(request, At(m_now));
    // Requests that wait are looked at again, as the daemon's tick does.
    Plan(m_now + kind.m_patience_ms, [] {});
  }

  void Decide()
  {
    const SlotDecisions decisions = m_scheduler.Decide(At(m_now));
    for (const SlotRefusal& refusal : decisions.m_refusals) {
      ++m_served[m_requests.at(refusal.m_request_id.m_number).m_kind].m_refused;
    }
    for (const SlotGrant& grant : decisions.m_grants) {
      Serve(grant);
    }
  }

  void Serve(const SlotGrant& aGrant)
  {
    const Request request = m_requests.at(aGrant.m_request_id.m_number);
    const double slowness = m_slowness.at(aGrant.m_endpoint);
    const double first = slowness * (16 + request.m_real.m_prompt_tokens / 48);
    const double rest = slowness * request.m_real.m_output_tokens * 3;
    const double begins = m_now + first;
    Plan(begins, [this, aGrant, request, begins] {
      const bool is_in_time = begins - request.m_arrived <= kKinds[request.m_kind].m_objective_ms;
      Served& served = m_served[request.m_kind];
      ++(is_in_time ? served.m_in_time : served.m_late);
      m_scheduler.RecordStarted(aGrant.m_request_id, aGrant.m_endpoint, At(m_now));
    });
    Plan(begins + rest, [this, aGrant] {
      m_scheduler.RecordEnded(
        aGrant.m_request_id, aGrant.m_endpoint, SlotOutcome::Complete, At(m_now));
    });
  }

  std::mt19937 m_random;
  SlotScheduler m_scheduler;
  double m_now = 0;
  std::uint64_t m_last_event = 0;
  std::uint64_t m_last_number = 0;
  std::priority_queue<Event> m_events;
  std::map<std::uint64_t, Request> m_requests;
  std::map<EndpointId, double> m_slowness;
  std::map<std::size_t, Served> m_served;
};

constexpr unsigned kSeeds = 5;

}

TEST_CASE("On a day of usual load callers of every kind are served in time")
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    LoadPlay play(seed);
    play.Run([](int, double) { return 1.0; });
    for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
      CHECK_MESSAGE(play.Of(kind).InTime() >= 0.95, "seed ", seed, " kind ", kind);
    }
  }
}

TEST_CASE("Under bursts the most urgent kinds are in time, and none falls below the users' floor")
{
  // The users' floors on their heaviest days: 0.41 of each kind. What pays most comes first.
  constexpr double kFloor = 0.41;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    LoadPlay play(seed);
    play.Run([](int, double aSecond) { return aSecond > 5 && aSecond < 15 ? 2.2 : 1.2; });
    CHECK_MESSAGE(play.Of(0).InTime() >= 0.9, "seed ", seed);
    CHECK_MESSAGE(play.Of(1).InTime() >= 0.75, "seed ", seed);
    CHECK_MESSAGE(play.Of(2).Answered() >= kFloor, "seed ", seed);
    CHECK_MESSAGE(play.Of(0).InTime() >= play.Of(2).InTime(), "seed ", seed);
  }
}

TEST_CASE("When the least urgent kind floods in, the others keep their service")
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    LoadPlay play(seed);
    play.Run([](int aKind, double) { return aKind == 2 ? 6.0 : 1.0; });
    CHECK_MESSAGE(play.Of(0).InTime() >= 0.9, "seed ", seed);
    CHECK_MESSAGE(play.Of(1).InTime() >= 0.75, "seed ", seed);
    // It still gets what the others leave.
    CHECK_MESSAGE(play.Of(2).m_in_time > 0, "seed ", seed);
  }
}

TEST_CASE("Every request ends: served, late or refused")
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    LoadPlay play(seed);
    play.Run([](int, double aSecond) { return aSecond < 10 ? 4.0 : 0.5; });
    for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
      const Served& served = play.Of(kind);
      CHECK(served.m_asked == served.m_in_time + served.m_late + served.m_refused);
    }
  }
}
