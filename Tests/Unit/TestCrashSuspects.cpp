#include <LibPlacement/CrashSuspects.h>
#include <LibPlacement/SlotScheduler.h>

#include <doctest.h>

using namespace auburnhitch;

namespace {

using Admission = CrashSuspects::Admission;

const CrashTrait kCommon("c0");
const CrashTrait kHarmful("bad0");
const HostName kOther("other");

TimePoint
At(int aMilliseconds)
{
  return TimePoint() + Milliseconds(aMilliseconds);
}

SlotRequestId
IdOf(std::uint64_t aNumber, const char* aDaemon = "d")
{
  return { Incarnation(aDaemon), aNumber };
}

CrashTrait
Session(int aNumber)
{
  return CrashTrait("5e" + std::to_string(aNumber));
}

/// Requests that begin and end one after the other.
class Trace
{
public:
  explicit Trace(CrashSuspects::Limits aLimits = CrashSuspects::Limits())
    : m_suspects(aLimits)
  {
  }

  /// Complete responses to requests with the common trait and that of a session.
  void RunHarmless(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Run({ kCommon, Session(i % 4) }, SlotOutcome::Complete);
    }
  }

  void Run(const std::vector<CrashTrait>& aTraits, SlotOutcome aOutcome)
  {
    const SlotRequestId id = IdOf(++m_number);
    m_suspects.Begin(id, EndpointId("e" + std::to_string(m_number)), aTraits, m_now);
    m_now += Milliseconds(100);
    m_suspects.RecordEnded(id, aOutcome, false, m_now);
  }

  /// An endpoint crashes under a request with these traits and under others beside it.
  void Crash(const std::vector<std::vector<CrashTrait>>& aRequests)
  {
    const EndpointId endpoint("e" + std::to_string(++m_number));
    std::vector<SlotRequestId> ids;
    for (const auto& traits : aRequests) {
      ids.push_back(IdOf(++m_number));
      m_suspects.Begin(ids.back(), endpoint, traits, m_now);
    }
    m_now += Milliseconds(100);
    for (const SlotRequestId& id : ids) {
      m_suspects.RecordEnded(id, SlotOutcome::Broken, false, m_now);
    }
  }

  /// A request is granted an endpoint, and breaks off 20 ms later; 20 ms pass.
  void Break(const char* aEndpoint, const CrashTrait& aTrait)
  {
    const SlotRequestId id = IdOf(++m_number);
    m_suspects.Begin(id, EndpointId(aEndpoint), { aTrait }, m_now);
    m_now += Milliseconds(20);
    m_suspects.RecordEnded(id, SlotOutcome::Broken, false, m_now);
    m_now += Milliseconds(20);
  }

  Admission AdmissionOf(const CrashTrait& aTrait) const
  {
    return m_suspects.AdmissionOf({ aTrait }, m_now);
  }
  /// The number of crashes until requests like the first are refused, at most aMax.
  int CrashesUntilRefused(const std::vector<std::vector<CrashTrait>>& aRequests, int aMax = 20)
  {
    int crashes = 0;
    while (crashes < aMax &&
           m_suspects.AdmissionOf(aRequests.front(), m_now) != Admission::Refuse) {
      Crash(aRequests);
      ++crashes;
    }
    return crashes;
  }

  CrashSuspects m_suspects;
  TimePoint m_now = At(0);
  std::uint64_t m_number = 0;
};

}

TEST_CASE("Crashes: a trait is refused after two or three, and those beside it are not")
{
  for (const int harmless : { 0, 30, 1'000 }) {
    CAPTURE(harmless);
    Trace trace;
    trace.RunHarmless(harmless);
    const int crashes =
      trace.CrashesUntilRefused({ { kCommon, kHarmful, Session(1) }, { kCommon, Session(2) } });
    CHECK(crashes >= 2);
    CHECK(crashes <= 3);
    if (harmless > 0) {
      CHECK(trace.AdmissionOf(kCommon) == Admission::Admit);
      CHECK(trace.AdmissionOf(Session(1)) == Admission::Admit);
      CHECK(trace.AdmissionOf(Session(2)) == Admission::Admit);
    }
  }
}

TEST_CASE("Crashes: the trait is found wherever it stands in the prompt, and two at once")
{
  Trace trace;
  trace.RunHarmless(300);
  const CrashTrait other("bad1");
  for (int i = 0; i < 4; ++i) {
    trace.Crash({ { kHarmful, kCommon, Session(i) } });
    trace.Crash({ { kCommon, Session(i), other } });
    trace.RunHarmless(4);
  }
  CHECK(trace.AdmissionOf(kHarmful) == Admission::Refuse);
  CHECK(trace.AdmissionOf(other) == Admission::Refuse);
  CHECK(trace.AdmissionOf(kCommon) == Admission::Admit);
  for (int i = 0; i < 4; ++i) {
    CHECK(trace.AdmissionOf(Session(i)) == Admission::Admit);
  }
}

TEST_CASE("Crashes: the more of them no trait explains, the more it takes to refuse one")
{
  Trace calm;
  calm.RunHarmless(1'000);
  const int in_calm = calm.CrashesUntilRefused({ { kCommon, kHarmful } });
  Trace stormy;
  for (int i = 0; i < 200; ++i) {
    stormy.RunHarmless(2);
    stormy.Crash({ { kCommon, CrashTrait("f" + std::to_string(i)) } });
  }
  CHECK(stormy.m_suspects.BaseRate() > 10 * calm.m_suspects.BaseRate());
  CHECK(stormy.CrashesUntilRefused({ { kCommon, kHarmful } }) > in_calm);
}

TEST_CASE("Crashes: no trait is refused under which responses are complete in between")
{
  Trace trace;
  for (int i = 0; i < 500; ++i) {
    trace.Crash({ { kCommon, Session(1) }, { kCommon, Session(2) } });
    CHECK(trace.AdmissionOf(kCommon) != Admission::Refuse);
    CHECK(trace.AdmissionOf(Session(1)) != Admission::Refuse);
    trace.Run({ kCommon, Session(1) }, SlotOutcome::Complete);
    trace.Run({ kCommon, Session(2) }, SlotOutcome::Complete);
  }
}

TEST_CASE(
  "Crashes: many endpoints that crash at once cast little suspicion on what their requests share")
{
  Trace trace;
  trace.RunHarmless(10'000);
  constexpr std::uint64_t kEndpoints = 20;
  for (std::uint64_t i = 0; i < kEndpoints; ++i) {
    trace.m_suspects.Begin(IdOf(i, "x"), EndpointId(std::to_string(i)), { kCommon }, trace.m_now);
  }
  trace.m_now += Milliseconds(50);
  for (std::uint64_t i = 0; i < kEndpoints; ++i) {
    trace.m_suspects.RecordEnded(IdOf(i, "x"), SlotOutcome::Broken, false, trace.m_now);
    trace.m_now += Milliseconds(1);
  }
  CHECK(trace.m_suspects.All(trace.m_now).empty());
}

TEST_CASE("Crashes: one that several daemons report is one piece of evidence")
{
  CrashSuspects suspects;
  for (int i = 0; i < 6; ++i) {
    const SlotRequestId id = IdOf(1, ("d" + std::to_string(i)).c_str());
    suspects.Begin(id, EndpointId("e"), { kHarmful }, At(0));
  }
  for (int i = 0; i < 6; ++i) {
    const SlotRequestId id = IdOf(1, ("d" + std::to_string(i)).c_str());
    suspects.RecordEnded(id, SlotOutcome::Broken, false, At(100 + i * 1'000));
  }
  REQUIRE(suspects.All(At(7'000)).size() == 1);
  CHECK(suspects.All(At(7'000)).front().m_crashes == 1);
  constexpr double kRateAfterOneCrash = 0.025;
  CHECK(suspects.BaseRate() < kRateAfterOneCrash);
}

TEST_CASE("Crashes: a connection that breaks while another request goes on there is none")
{
  CrashSuspects suspects;
  suspects.Begin(IdOf(1), EndpointId("e"), { kHarmful }, At(0));
  suspects.Begin(IdOf(2), EndpointId("e"), { kCommon }, At(0));
  suspects.RecordEnded(IdOf(1), SlotOutcome::Broken, false, At(100));
  CHECK(suspects.All(At(100)).size() == 2);
  // May have been sent before the crash.
  suspects.RecordStarted(IdOf(2), At(150));
  CHECK(suspects.All(At(150)).size() == 2);
  suspects.RecordEnded(IdOf(2), SlotOutcome::Complete, false, At(400));
  CHECK(suspects.All(At(400)).empty());
}

TEST_CASE("Crashes: one soon after another connection broke at the same endpoint counts")
{
  Trace trace;
  trace.RunHarmless(300);
  const EndpointId endpoint("e");
  int crashes = 0;
  for (; crashes < 6 && trace.AdmissionOf(kHarmful) != Admission::Refuse; ++crashes) {
    trace.m_suspects.Begin(IdOf(1, "x"), endpoint, { kCommon, Session(1) }, trace.m_now);
    trace.m_suspects.RecordEnded(IdOf(1, "x"), SlotOutcome::Broken, false, trace.m_now);
    trace.m_now += Milliseconds(300);
    trace.Run({ kCommon, Session(1) }, SlotOutcome::Complete);
    trace.m_suspects.Begin(IdOf(2, "x"), endpoint, { kCommon, kHarmful }, trace.m_now);
    trace.m_now += Milliseconds(50);
    trace.m_suspects.RecordEnded(IdOf(2, "x"), SlotOutcome::Broken, false, trace.m_now);
  }
  CHECK(crashes <= 5);
}

TEST_CASE("Crashes: one just after another connection broke counts against what ran only then")
{
  Trace trace;
  trace.RunHarmless(300);
  int crashes = 0;
  for (; crashes < 6 && trace.AdmissionOf(kHarmful) != Admission::Refuse; ++crashes) {
    trace.Break("f", kCommon);
    trace.Break("f", kHarmful);
    trace.m_now += Milliseconds(3'000);
    trace.Run({ kCommon, Session(1) }, SlotOutcome::Complete);
  }
  CHECK(crashes <= 3);
  CHECK(trace.AdmissionOf(kCommon) == Admission::Admit);
}

TEST_CASE("Crashes: a response that had begun long before, and an expected end, are no evidence")
{
  CrashSuspects suspects;
  suspects.Begin(IdOf(1), EndpointId("e"), { kCommon }, At(0));
  suspects.RecordStarted(IdOf(1), At(100));
  suspects.Begin(IdOf(2), EndpointId("e"), { kHarmful }, At(900));
  suspects.RecordEnded(IdOf(1), SlotOutcome::Broken, false, At(1'000));
  const auto suspected = suspects.All(At(1'000));
  REQUIRE(suspected.size() == 1);
  CHECK(suspected[0].m_trait == kHarmful);
  CrashSuspects others;
  for (const SlotOutcome outcome : { SlotOutcome::Failed,
                                     SlotOutcome::Refused,
                                     SlotOutcome::Unreachable,
                                     SlotOutcome::Cancelled,
                                     SlotOutcome::Broken }) {
    others.Begin(IdOf(1), EndpointId("e"), { kHarmful }, At(0));
    others.RecordEnded(IdOf(1), outcome, outcome == SlotOutcome::Broken, At(100));
  }
  CHECK(others.All(At(100)).empty());
}

TEST_CASE("Crashes: requests with a suspected trait run one at a time")
{
  Trace trace;
  trace.RunHarmless(300);
  trace.Crash({ { kCommon, kHarmful } });
  CHECK(trace.AdmissionOf(kHarmful) == Admission::Admit);
  trace.m_suspects.Begin(IdOf(1, "x"), EndpointId("e"), { kCommon, kHarmful }, trace.m_now);
  CHECK(trace.AdmissionOf(kHarmful) == Admission::Wait);
  CHECK(trace.AdmissionOf(kCommon) == Admission::Admit);
  trace.m_suspects.ForgetDaemon(Incarnation("x"));
  CHECK(trace.AdmissionOf(kHarmful) == Admission::Admit);
}

TEST_CASE("Crashes: a complete response clears a trait, one ended by its connection does not")
{
  Trace trace;
  trace.RunHarmless(300);
  trace.CrashesUntilRefused({ { kCommon, kHarmful } });
  const auto end = [&](bool aIsUnproven) {
    trace.m_suspects.Begin(IdOf(1, "x"), EndpointId("e"), { kCommon, kHarmful }, trace.m_now);
    if (aIsUnproven) {
      trace.m_suspects.MarkEndUnproven(IdOf(1, "x"));
    }
    trace.m_suspects.RecordEnded(IdOf(1, "x"), SlotOutcome::Complete, false, trace.m_now);
  };
  end(true);
  CHECK(trace.AdmissionOf(kHarmful) == Admission::Refuse);
  end(false);
  CHECK(trace.AdmissionOf(kHarmful) == Admission::Admit);
}

TEST_CASE("Crashes: a request whose end is unproven is a candidate for the crash that follows")
{
  for (const SlotOutcome next : { SlotOutcome::Broken, SlotOutcome::Unreachable }) {
    Trace trace;
    trace.RunHarmless(300);
    const EndpointId endpoint("x");
    trace.m_suspects.Begin(IdOf(1, "x"), endpoint, { kCommon, kHarmful }, trace.m_now);
    trace.m_suspects.Begin(IdOf(2, "x"), endpoint, { kCommon, Session(1) }, trace.m_now);
    trace.m_now += Milliseconds(100);
    trace.m_suspects.MarkEndUnproven(IdOf(1, "x"));
    trace.m_suspects.RecordEnded(IdOf(1, "x"), SlotOutcome::Complete, false, trace.m_now);
    CHECK(trace.m_suspects.All(trace.m_now).empty());
    trace.m_now += Milliseconds(50);
    trace.m_suspects.RecordEnded(IdOf(2, "x"), next, false, trace.m_now);
    const auto suspected = trace.m_suspects.All(trace.m_now);
    REQUIRE(suspected.size() == 1);
    CHECK(suspected[0].m_trait == kHarmful);
  }
  Trace trace;
  trace.RunHarmless(300);
  trace.m_suspects.Begin(IdOf(1, "x"), EndpointId("x"), { kHarmful }, trace.m_now);
  trace.m_suspects.MarkEndUnproven(IdOf(1, "x"));
  trace.m_suspects.RecordEnded(IdOf(1, "x"), SlotOutcome::Complete, false, trace.m_now);
  trace.m_now += Milliseconds(10'000);
  trace.m_suspects.Begin(IdOf(2, "x"), EndpointId("x"), { kCommon }, trace.m_now);
  trace.m_suspects.RecordEnded(IdOf(2, "x"), SlotOutcome::Unreachable, false, trace.m_now);
  CHECK(trace.m_suspects.All(trace.m_now).empty());
}

TEST_CASE("Crashes: a refused trait gets trials further and further apart, and at last none")
{
  Trace trace;
  trace.RunHarmless(300);
  int crashes = trace.CrashesUntilRefused({ { kCommon, kHarmful } });
  Milliseconds refused_for(0);
  for (; crashes < CrashSuspects::Limits().m_max_crashes; ++crashes) {
    const TimePoint refused_at = trace.m_now;
    while (trace.AdmissionOf(kHarmful) == Admission::Refuse) {
      trace.m_now += Milliseconds(1'000);
    }
    const Milliseconds waited(ToMilliseconds(trace.m_now - refused_at));
    CHECK(waited > refused_for);
    refused_for = waited;
    // While the trial runs there is no other.
    trace.m_suspects.Begin(IdOf(1, "x"), EndpointId("t"), { kHarmful }, trace.m_now);
    CHECK(trace.AdmissionOf(kHarmful) == Admission::Refuse);
    trace.m_now += Milliseconds(50);
    trace.m_suspects.RecordEnded(IdOf(1, "x"), SlotOutcome::Broken, false, trace.m_now);
    trace.m_now += Milliseconds(3'000);
  }
  trace.m_now += Milliseconds(100'000'000);
  CHECK(trace.AdmissionOf(kHarmful) == Admission::Refuse);
  trace.m_suspects.OnNewVersion(trace.m_now);
  CHECK(trace.AdmissionOf(kHarmful) == Admission::Trial);
}

TEST_CASE("Crashes: what one daemon knows of a trait, the others and the next coordinator apply")
{
  Trace trace;
  trace.RunHarmless(300);
  trace.CrashesUntilRefused({ { kCommon, kHarmful } });
  CrashSuspects other;
  for (const TraitSuspicion& suspicion : trace.m_suspects.TakeChanges(trace.m_now)) {
    other.Apply(suspicion, At(0));
  }
  CHECK(trace.m_suspects.TakeChanges(trace.m_now).empty());
  CHECK(other.AdmissionOf({ kHarmful }, At(0)) == Admission::Refuse);
  CHECK(other.AdmissionOf({ kCommon }, At(0)) == Admission::Admit);
  CrashSuspects next;
  for (const TraitSuspicion& suspicion : other.All(At(0))) {
    next.Merge(suspicion, kOther, At(10));
  }
  CHECK(next.AdmissionOf({ kHarmful }, At(10)) == Admission::Refuse);
  CHECK(next.TakeChanges(At(10)).size() == 1);
  // A weaker suspicion of another daemon does not replace a stronger one.
  next.Merge({ kHarmful, 0.3, 1, Milliseconds(0) }, HostName("third"), At(20));
  CHECK(next.AdmissionOf({ kHarmful }, At(20)) == Admission::Refuse);
  other.Apply({ kHarmful, 0.001, 0, Milliseconds(0) }, At(20));
  CHECK(other.AdmissionOf({ kHarmful }, At(20)) == Admission::Admit);
}

TEST_CASE("Crashes: the table is bounded, and a refused trait outlasts forged ones")
{
  CrashSuspects::Limits limits;
  limits.m_max_traits = 100;
  Trace trace(limits);
  trace.RunHarmless(300);
  trace.CrashesUntilRefused({ { kHarmful } });
  for (int i = 0; i < 1'000; ++i) {
    trace.Run({ CrashTrait("f" + std::to_string(i)) }, SlotOutcome::Complete);
  }
  const auto suspected = trace.m_suspects.All(trace.m_now);
  REQUIRE(suspected.size() == 1);
  CHECK(suspected[0].m_trait == kHarmful);
}

TEST_CASE("Crashes: a trait that is suspected already explains a crash for those beside it")
{
  Trace trace;
  trace.RunHarmless(300);
  trace.Crash({ { kCommon, kHarmful } });
  trace.Crash({ { kCommon, kHarmful }, { kCommon, Session(9) } });
  const auto suspected = trace.m_suspects.All(trace.m_now);
  REQUIRE(suspected.size() == 1);
  CHECK(suspected[0].m_trait == kHarmful);
}

// Guards against a shared part that stays refused for the crashes of one that came with it.
TEST_CASE("Crashes: parts that always occur together are refused together, one alone is tried")
{
  const CrashTrait companion("c1");
  for (const bool crashes : { false, true }) {
    CAPTURE(crashes);
    Trace trace;
    trace.RunHarmless(300);
    CHECK(trace.CrashesUntilRefused({ { kCommon, companion, kHarmful } }) <= 3);
    CHECK(trace.m_suspects.AdmissionOf({ companion, kHarmful }, trace.m_now) == Admission::Refuse);
    CHECK(trace.AdmissionOf(kCommon) == Admission::Admit);
    CHECK(trace.AdmissionOf(companion) == Admission::Trial);
    CHECK(trace.m_suspects.AdmissionOf({ kCommon, companion, Session(1) }, trace.m_now) ==
          Admission::Trial);
    if (crashes) {
      trace.Crash({ { companion, Session(1) } });
      CHECK(trace.AdmissionOf(companion) == Admission::Refuse);
      CHECK(trace.m_suspects.AdmissionOf({ companion, Session(2) }, trace.m_now) ==
            Admission::Refuse);
      continue;
    }
    trace.Run({ kCommon, companion, Session(1) }, SlotOutcome::Complete);
    trace.Run({ kCommon, companion, Session(2) }, SlotOutcome::Complete);
    CHECK(trace.AdmissionOf(companion) == Admission::Admit);
    CHECK(trace.AdmissionOf(kHarmful) == Admission::Refuse);
  }
}

// Guards against trials without end of a part whose responses prove nothing.
TEST_CASE(
  "Crashes: a part that came with another is tried three times at most if nothing is proved")
{
  Trace trace;
  trace.CrashesUntilRefused({ { kCommon, kHarmful } });
  int trials = 0;
  while (trials < 20 && trace.AdmissionOf(kHarmful) == Admission::Trial) {
    trace.Run({ kHarmful }, SlotOutcome::Cancelled);
    ++trials;
  }
  CHECK(trials == 3);
  CHECK(trace.AdmissionOf(kHarmful) == Admission::Refuse);
  CHECK(trace.AdmissionOf(kCommon) == Admission::Trial);
}

// Guards against a shared part that stays refused for the crashes of two that came with it in turn.
TEST_CASE("Crashes: a part that comes with two harmful ones in turn is tried alone, once")
{
  const CrashTrait other("bad1");
  for (const bool crashes : { false, true }) {
    CAPTURE(crashes);
    Trace trace;
    for (int i = 0; i < 3; ++i) {
      trace.Crash({ { kCommon, i == 1 ? other : kHarmful } });
    }
    CHECK(trace.m_suspects.AdmissionOf({ kCommon, kHarmful }, trace.m_now) == Admission::Refuse);
    CHECK(trace.m_suspects.AdmissionOf({ kCommon, other }, trace.m_now) == Admission::Refuse);
    CHECK(trace.AdmissionOf(kCommon) == Admission::Trial);
    if (crashes) {
      trace.Crash({ { kCommon } });
      CHECK(trace.AdmissionOf(kCommon) == Admission::Refuse);
      CHECK(trace.m_suspects.AdmissionOf({ kCommon, Session(1) }, trace.m_now) ==
            Admission::Refuse);
      continue;
    }
    trace.Run({ kCommon }, SlotOutcome::Complete);
    CHECK(trace.AdmissionOf(kCommon) != Admission::Refuse);
  }
}

// Guards against a next coordinator, or a daemon that asks none, that refuses what may be harmless.
TEST_CASE("Crashes: a daemon that takes a suspicion over knows with which parts it came")
{
  Trace trace;
  trace.CrashesUntilRefused({ { kCommon, kHarmful } });
  const std::vector<TraitSuspicion> all = trace.m_suspects.All(trace.m_now);
  for (const bool is_from_coordinator : { true, false }) {
    CrashSuspects other;
    for (const TraitSuspicion& suspicion : all) {
      if (is_from_coordinator) {
        other.Apply(suspicion, At(0));
      } else {
        other.Merge(suspicion, kOther, At(0));
      }
    }
    for (const TraitCrashes& crashes : trace.m_suspects.CrashesBehind(all)) {
      other.ApplyCrashes(crashes, kOther, is_from_coordinator, At(0));
    }
    CHECK(other.AdmissionOf({ kCommon, kHarmful }, At(0)) == Admission::Refuse);
    CHECK(other.AdmissionOf({ kCommon, Session(1) }, At(0)) == Admission::Trial);
  }
}

TEST_CASE("Crashes: a scheduler refuses harmful requests at once, and lets suspected ones wait")
{
  SlotScheduler scheduler{ SlotSchedulerLimits() };
  std::vector<SlotEndpointInfo> infos;
  for (const char* id : { "a", "b", "c", "d", "e" }) {
    infos.push_back({ EndpointId(id), DataCenterName("dc"), 4, 1, SoftwareVersion("v1"), {} });
  }
  scheduler.SetEndpoints(infos, At(0));
  std::uint64_t number = 0;
  const auto request = [&](const CrashTrait& aTrait, TimePoint aNow) {
    SlotRequest request;
    request.m_request_id = IdOf(++number);
    request.m_arrived_at = aNow;
    request.m_objective_at = aNow + Milliseconds(800);
    request.m_abandoned_at = aNow + Milliseconds(8'000);
    request.m_crash_traits = { kCommon, aTrait };
    scheduler.RequestSlot(request, aNow);
  };
  for (int i = 0; i < 300; ++i) {
    request(Session(1), At(0));
    const SlotGrant grant = scheduler.Decide(At(0)).m_grants.at(0);
    scheduler.RecordEnded(grant.m_request_id, grant.m_endpoint, SlotOutcome::Complete, At(0));
  }
  TimePoint now = At(0);
  SlotDecisions decisions;
  int crashes = 0;
  for (; crashes < 5 && decisions.m_refusals.empty(); ++crashes) {
    now += Milliseconds(3'000);
    request(kHarmful, now);
    request(kHarmful, now);
    request(Session(2), now);
    decisions = scheduler.Decide(now);
    if (!decisions.m_refusals.empty()) {
      break;
    }
    // After the first crash the second request with the trait waits for the end of the first.
    CHECK(decisions.m_grants.size() == (crashes == 0 ? 3 : 2));
    // The others end before the endpoint crashes.
    for (auto grant = decisions.m_grants.rbegin(); grant != decisions.m_grants.rend(); ++grant) {
      const bool is_harmless = grant->m_request_id.m_number == number;
      const bool is_second = grant->m_request_id.m_number + 1 == number;
      const SlotOutcome end = is_second ? SlotOutcome::Cancelled : SlotOutcome::Broken;
      scheduler.RecordEnded(
        grant->m_request_id, grant->m_endpoint, is_harmless ? SlotOutcome::Complete : end, now);
    }
    scheduler.Withdraw(IdOf(number - 1));
  }
  CHECK(crashes <= 3);
  REQUIRE(decisions.m_refusals.size() == 2);
  CHECK(decisions.m_refusals[0].m_reason == SlotRefusalReason::Harmful);
  CHECK(decisions.m_grants.size() == 1);
}

namespace {

const CrashTrait kRequest = TraitOfRequest("aa");
const CrashTrait kOtherRequest = TraitOfRequest("bb");

}

TEST_CASE("Repeated crashes: a request is refused after two crashes, and after three in any case")
{
  Trace stable;
  stable.RunHarmless(300);
  stable.Crash({ { kRequest } });
  CHECK(stable.AdmissionOf(kRequest) == Admission::Admit);
  stable.Crash({ { kRequest } });
  CHECK(stable.AdmissionOf(kRequest) == Admission::Refuse);
  CHECK(stable.AdmissionOf(kOtherRequest) == Admission::Admit);

  Trace unstable;
  for (int i = 0; i < 200; ++i) {
    unstable.Crash({});
    unstable.Crash({ { TraitOfRequest(std::to_string(i)) } });
    unstable.RunHarmless(1);
  }
  CHECK(unstable.m_suspects.BaseRate() > 0.2);
  for (int i = 0; i < 3; ++i) {
    CHECK(unstable.AdmissionOf(kRequest) == Admission::Admit);
    unstable.Crash({ { kRequest } });
  }
  CHECK(unstable.AdmissionOf(kRequest) == Admission::Refuse);
}

TEST_CASE("Repeated crashes: those that crashed with the request are cleared by running alone")
{
  Trace trace;
  trace.RunHarmless(300);
  trace.Crash({ { kRequest }, { kOtherRequest }, { TraitOfRequest("cc") } });
  // Suspected requests run one at a time, others do not wait for them.
  trace.m_suspects.Begin(IdOf(1, "x"), EndpointId("e"), { kOtherRequest }, trace.m_now);
  CHECK(trace.AdmissionOf(kRequest) == Admission::Wait);
  CHECK(trace.AdmissionOf(TraitOfRequest("dd")) == Admission::Admit);
  trace.m_now += Milliseconds(50);
  trace.m_suspects.RecordEnded(IdOf(1, "x"), SlotOutcome::Complete, false, trace.m_now);
  CHECK(trace.AdmissionOf(kRequest) == Admission::Admit);
  trace.Crash({ { kRequest } });
  CHECK(trace.AdmissionOf(kRequest) == Admission::Refuse);
  CHECK(trace.AdmissionOf(kOtherRequest) == Admission::Admit);
}

TEST_CASE("Repeated crashes: a suspected request whose response lasts does not hold up the others")
{
  Trace trace;
  trace.RunHarmless(300);
  trace.Crash({ { kRequest }, { kOtherRequest } });
  trace.m_suspects.Begin(IdOf(1, "x"), EndpointId("e"), { kOtherRequest }, trace.m_now);
  trace.m_suspects.RecordStarted(IdOf(1, "x"), trace.m_now);
  CHECK(trace.AdmissionOf(kRequest) == Admission::Wait);
  trace.m_now += Milliseconds(300);
  CHECK(trace.AdmissionOf(kRequest) == Admission::Admit);
}

TEST_CASE("Repeated crashes: one whose daemon has not reported the crash yet holds up nothing")
{
  Trace trace;
  trace.RunHarmless(300);
  trace.m_suspects.Begin(IdOf(1, "x"), EndpointId("e"), { kRequest }, trace.m_now);
  trace.m_suspects.Begin(IdOf(1, "y"), EndpointId("e"), { kOtherRequest }, trace.m_now);
  trace.m_now += Milliseconds(50);
  trace.m_suspects.RecordEnded(IdOf(1, "x"), SlotOutcome::Broken, false, trace.m_now);
  CHECK(trace.AdmissionOf(kRequest) == Admission::Admit);
}

TEST_CASE("Repeated crashes: a popular request that runs at every crash is not refused")
{
  Trace trace;
  for (int crash = 0; crash < 50; ++crash) {
    trace.Crash({ { kRequest }, { TraitOfRequest(std::to_string(crash)) } });
    CHECK(trace.AdmissionOf(kRequest) != Admission::Refuse);
    trace.Run({ kRequest }, SlotOutcome::Complete);
  }
  // All endpoints crash at once while it runs on each.
  for (int endpoint = 0; endpoint < 9; ++endpoint) {
    trace.m_suspects.Begin(IdOf(1, std::to_string(endpoint).c_str()),
                           EndpointId(std::to_string(endpoint)),
                           { kRequest },
                           trace.m_now);
  }
  trace.m_now += Milliseconds(50);
  for (int endpoint = 0; endpoint < 9; ++endpoint) {
    trace.m_suspects.RecordEnded(
      IdOf(1, std::to_string(endpoint).c_str()), SlotOutcome::Broken, false, trace.m_now);
  }
  CHECK(trace.AdmissionOf(kRequest) == Admission::Admit);
}

TEST_CASE("Repeated crashes: at most two trials follow the third crash, new versions included")
{
  Trace trace;
  trace.RunHarmless(300);
  int crashes = 0;
  for (int second = 0; second < 3'000; ++second) {
    if (second % 100 == 0) {
      trace.m_suspects.OnNewVersion(trace.m_now);
    }
    const Admission admission = trace.AdmissionOf(kRequest);
    if (admission == Admission::Admit || admission == Admission::Trial) {
      trace.Crash({ { kRequest } });
      ++crashes;
    }
    trace.m_now += Milliseconds(1'000);
  }
  CHECK(crashes == 5);
}

TEST_CASE("Repeated crashes: a trial does not take the last endpoint")
{
  SlotScheduler scheduler{ SlotSchedulerLimits() };
  const auto set_endpoints = [&](const std::vector<SlotEndpointInfo>& aInfos) {
    scheduler.SetEndpoints(aInfos, At(0));
  };
  const SlotEndpointInfo first{ EndpointId("e1"), DataCenterName("dc"), 4, 1, {}, {} };
  const SlotEndpointInfo second{ EndpointId("e2"), DataCenterName("dc"), 4, 1, {}, {} };
  set_endpoints({ first, second });
  SlotRequest request;
  request.m_crash_traits = { kRequest };
  std::uint64_t number = 0;
  const auto decide = [&](TimePoint aNow) {
    request.m_request_id = IdOf(++number);
    request.m_objective_at = aNow + Milliseconds(800);
    request.m_abandoned_at = aNow + Milliseconds(3'000);
    scheduler.RequestSlot(request, aNow);
    return scheduler.Decide(aNow);
  };
  int now_ms = 0;
  for (SlotDecisions decisions = decide(At(0)); !decisions.m_grants.empty();
       decisions = decide(At(now_ms))) {
    REQUIRE(number < 10);
    now_ms += 50;
    scheduler.RecordEnded(decisions.m_grants[0].m_request_id,
                          decisions.m_grants[0].m_endpoint,
                          SlotOutcome::Broken,
                          At(now_ms));
    now_ms += 10'000;
  }
  now_ms += 100'000;
  set_endpoints({ first });
  const SlotDecisions refused = decide(At(now_ms));
  REQUIRE(refused.m_refusals.size() == 1);
  CHECK(refused.m_refusals[0].m_reason == SlotRefusalReason::Harmful);
  set_endpoints({ first, second });
  CHECK(decide(At(now_ms)).m_grants.size() == 1);
}

TEST_CASE("Repeated crashes: whole requests do not drive parts from the table")
{
  CrashSuspects::Limits limits;
  limits.m_max_traits = 8;
  Trace trace(limits);
  trace.RunHarmless(300);
  trace.CrashesUntilRefused({ { kCommon, kHarmful } });
  for (int i = 0; i < 100; ++i) {
    trace.Run({ TraitOfRequest(std::to_string(i)) }, SlotOutcome::Complete);
    trace.Crash({ { TraitOfRequest("x" + std::to_string(i)) } });
  }
  CHECK(trace.AdmissionOf(kHarmful) == Admission::Refuse);
}

TEST_CASE("Repeated crashes: many endpoints that crash at once make no request suspected")
{
  Trace trace;
  trace.RunHarmless(300);
  constexpr int kEndpoints = 9;
  const auto request_at = [](int aEndpoint) { return TraitOfRequest(std::to_string(aEndpoint)); };
  const auto id_at = [](int aEndpoint) { return IdOf(1, std::to_string(aEndpoint).c_str()); };
  for (int endpoint = 0; endpoint < kEndpoints; ++endpoint) {
    // One request runs at two of them.
    const std::vector<CrashTrait> traits{ endpoint < 2 ? kRequest : request_at(endpoint) };
    trace.m_suspects.Begin(
      id_at(endpoint), EndpointId(std::to_string(endpoint)), traits, trace.m_now);
  }
  trace.m_now += Milliseconds(50);
  for (int endpoint = 0; endpoint < kEndpoints; ++endpoint) {
    trace.m_now += Milliseconds(1);
    trace.m_suspects.RecordEnded(id_at(endpoint), SlotOutcome::Broken, false, trace.m_now);
  }
  CHECK(trace.m_suspects.HasSuspectedRequest({ kRequest }));
  for (int endpoint = 2; endpoint < kEndpoints; ++endpoint) {
    CHECK_FALSE(trace.m_suspects.HasSuspectedRequest({ request_at(endpoint) }));
  }
}

TEST_CASE(
  "Repeated crashes: a request with complete responses is not refused after any three crashes")
{
  Trace trace;
  for (int i = 0; i < 60; ++i) {
    trace.Crash({});
    trace.Crash({ { TraitOfRequest(std::to_string(i)) } });
    trace.Run({ kRequest }, SlotOutcome::Complete);
    trace.RunHarmless(8);
  }
  CHECK(trace.m_suspects.BaseRate() > 0.02);
  for (int crash = 0; crash < 3; ++crash) {
    trace.Crash({ { kRequest } });
    CHECK(trace.AdmissionOf(kRequest) != Admission::Refuse);
  }
}

TEST_CASE("Repeated crashes: a new coordinator knows of the complete responses to its own requests")
{
  Trace follower;
  for (int i = 0; i < 3; ++i) {
    follower.m_suspects.RecordCompleteResponse({ kRequest }, follower.m_now);
  }
  const TraitSuspicion suspicion{ kRequest, 0.34, 1, Milliseconds(0) };
  follower.m_suspects.Apply(suspicion, follower.m_now);
  follower.m_suspects.Merge(suspicion, kOther, follower.m_now);
  follower.Crash({ { kRequest } });
  follower.Crash({ { kRequest } });
  CHECK(follower.AdmissionOf(kRequest) != Admission::Refuse);
  // What is refused elsewhere is refused here, and a complete response does not end that.
  follower.m_suspects.Apply({ kRequest, 0.99, 3, Milliseconds(5'000) }, follower.m_now);
  follower.m_suspects.RecordCompleteResponse({ kRequest }, follower.m_now);
  CHECK(follower.AdmissionOf(kRequest) == Admission::Refuse);
}

TEST_CASE("Repeated crashes: a connection that broke just before does not hide the crash")
{
  Trace trace;
  trace.RunHarmless(300);
  for (const char* endpoint : { "f0", "f1" }) {
    trace.Break(endpoint, kOtherRequest);
    trace.Break(endpoint, kRequest);
    trace.m_now += Milliseconds(3'000);
    trace.Run({ kOtherRequest }, SlotOutcome::Complete);
  }
  CHECK(trace.AdmissionOf(kRequest) == Admission::Refuse);
  CHECK(trace.AdmissionOf(kOtherRequest) == Admission::Admit);
}

TEST_CASE("Repeated crashes: an endpoint that breaks one connection after another has not crashed")
{
  Trace trace;
  trace.RunHarmless(300);
  for (int number = 0; number < 4; ++number) {
    trace.Break("f", kRequest);
    trace.Break("f", kRequest);
    trace.m_now += Milliseconds(300);
  }
  CHECK(trace.AdmissionOf(kRequest) != Admission::Refuse);
}

TEST_CASE("Repeated crashes: requests that break off in turn at one endpoint count once each")
{
  Trace trace;
  trace.RunHarmless(300);
  for (int number = 0; number < 6; ++number) {
    trace.Break("f", number % 2 == 0 ? kRequest : kOtherRequest);
  }
  CHECK(trace.AdmissionOf(kRequest) != Admission::Refuse);
  CHECK(trace.AdmissionOf(kOtherRequest) != Admission::Refuse);
}

TEST_CASE("Repeated crashes: a response that begins soon after shows that the endpoint lives")
{
  Trace trace;
  trace.RunHarmless(300);
  for (const char* endpoint : { "f0", "f1", "f2", "f3", "f4", "f5" }) {
    trace.Break(endpoint, kRequest);
    const SlotRequestId id = IdOf(++trace.m_number);
    trace.m_suspects.Begin(id, EndpointId(endpoint), { kOtherRequest }, trace.m_now);
    trace.m_now += Milliseconds(20);
    trace.m_suspects.RecordStarted(id, trace.m_now);
    trace.m_suspects.RecordEnded(id, SlotOutcome::Complete, false, trace.m_now);
  }
  CHECK(trace.AdmissionOf(kRequest) == Admission::Admit);
}

TEST_CASE("Repeated crashes: a kept connection that breaks just after does not hide the crash")
{
  Trace trace;
  trace.RunHarmless(300);
  for (const char* endpoint : { "f0", "f1" }) {
    trace.Break(endpoint, kRequest);
    trace.Break(endpoint, kOtherRequest);
    trace.m_now += Milliseconds(3'000);
    trace.Run({ kOtherRequest }, SlotOutcome::Complete);
  }
  CHECK(trace.AdmissionOf(kRequest) == Admission::Refuse);
  CHECK(trace.AdmissionOf(kOtherRequest) == Admission::Admit);
}

TEST_CASE("Cut off: breaks at endpoints that go on renewing their registrations are no evidence")
{
  for (const CrashTrait& trait : { kRequest, kHarmful }) {
    Trace trace;
    for (const char* endpoint : { "e1", "e2", "e3" }) {
      trace.Break(endpoint, trait);
    }
    CHECK(trace.AdmissionOf(trait) == Admission::Refuse);
    const auto renew_all = [&] {
      for (const char* endpoint : { "e1", "e2", "e3" }) {
        trace.m_suspects.RecordRenewed(EndpointId(endpoint), At(0), trace.m_now);
      }
    };
    // These may have been written before.
    trace.m_now += Milliseconds(800);
    renew_all();
    CHECK(trace.AdmissionOf(trait) == Admission::Refuse);
    trace.m_now += Milliseconds(400);
    renew_all();
    CHECK(trace.AdmissionOf(trait) == Admission::Admit);
  }
}

TEST_CASE("Cut off: evidence that one coordinator withdraws is withdrawn by the next one too")
{
  for (const CrashTrait& trait : { kRequest, kHarmful }) {
    Trace first;
    Trace next;
    const auto tell_next = [&] {
      for (const TraitSuspicion& suspicion : first.m_suspects.TakeChanges(first.m_now)) {
        next.m_suspects.Merge(suspicion, kOther, next.m_now);
      }
    };
    for (const char* endpoint : { "e1", "e2", "e3" }) {
      first.Break(endpoint, trait);
    }
    tell_next();
    REQUIRE(next.AdmissionOf(trait) == Admission::Refuse);
    first.m_now += Milliseconds(1'200);
    for (const char* endpoint : { "e1", "e2", "e3" }) {
      first.m_suspects.RecordRenewed(EndpointId(endpoint), At(0), first.m_now);
    }
    tell_next();
    CHECK(next.AdmissionOf(trait) == Admission::Admit);
  }
}

TEST_CASE("Cut off: a coordinator's own evidence stays when another daemon withdraws its own")
{
  Trace next;
  for (const char* endpoint : { "e1", "e2", "e3" }) {
    next.Break(endpoint, kRequest);
  }
  REQUIRE(next.AdmissionOf(kRequest) == Admission::Refuse);
  const auto state = [&](double aProbability, int aCrashes) {
    next.m_suspects.Merge(
      { kRequest, aProbability, aCrashes, Milliseconds(60'000) }, kOther, next.m_now);
  };
  state(0.9, 2);
  state(0.01, 0);
  CHECK(next.AdmissionOf(kRequest) == Admission::Refuse);
  state(0.9999, 5);
  state(0.01, 0);
  CHECK(next.AdmissionOf(kRequest) == Admission::Refuse);
}

TEST_CASE("Cut off: a restarted endpoint's renewals, and those read late, leave the evidence")
{
  const auto trace_after_breaks = [] {
    Trace trace;
    for (const char* endpoint : { "e1", "e2", "e3" }) {
      trace.Break(endpoint, kRequest);
    }
    trace.m_now += Milliseconds(2'000);
    return trace;
  };
  Trace restarted = trace_after_breaks();
  Trace late = trace_after_breaks();
  for (const char* endpoint : { "e1", "e2", "e3" }) {
    restarted.m_suspects.RecordRestarted(EndpointId(endpoint));
    restarted.m_suspects.RecordRenewed(EndpointId(endpoint), At(0), restarted.m_now);
    late.m_suspects.RecordRenewed(EndpointId(endpoint), late.m_now - Milliseconds(500), late.m_now);
  }
  CHECK(restarted.AdmissionOf(kRequest) == Admission::Refuse);
  CHECK(late.AdmissionOf(kRequest) == Admission::Refuse);
}
