#include <LibGateway/EndpointReach.h>
#include <LibGateway/ForwardTargets.h>
#include <LibGateway/ForwardedHeaders.h>
#include <LibGateway/ForwardedRequest.h>

#include <doctest.h>

using namespace auburnhitch;

namespace {

constexpr EndpointReach::Limits kLimits;

TimePoint
At(int aMs)
{
  return TimePoint() + Milliseconds(100'000 + aMs);
}

EndpointReach
ReachAfterFailures(std::initializer_list<const char*> aEndpoints)
{
  EndpointReach reach{ kLimits };
  reach.RecordHeard(true, At(0));
  for (const char* endpoint : aEndpoints) {
    reach.RecordConnectFailure(EndpointId(endpoint), At(0));
  }
  return reach;
}

Member
DaemonOf(const char* aHost, const char* aDataCenter)
{
  Member member;
  member.m_host = HostName(aHost);
  member.m_data_center = DataCenterName(aDataCenter);
  member.m_is_ready = true;
  return member;
}

}

TEST_CASE("One endpoint that refuses connections does not show that a daemon is cut off")
{
  const EndpointReach reach = ReachAfterFailures({ "a", "a", "a" });
  CHECK_FALSE(reach.CannotConnect(At(0)));
  CHECK_FALSE(reach.IsCutOff(At(2'000)));
}

TEST_CASE("A daemon that cannot connect is cut off only once open connections are silent too")
{
  EndpointReach reach = ReachAfterFailures({ "a", "b" });
  CHECK(reach.CannotConnect(At(0)));
  CHECK_FALSE(reach.IsCutOff(At(0)));
  CHECK(reach.IsCutOff(At(500)));
  CHECK(reach.IsRefusedByAll(At(500)));
  reach.RecordHeard(false, At(600));
  CHECK(reach.CannotConnect(At(600)));
  CHECK_FALSE(reach.IsCutOff(At(600)));
}

TEST_CASE("A daemon that cannot connect tries at intervals, and the first response on a new "
          "connection ends that")
{
  EndpointReach reach = ReachAfterFailures({});
  reach.RecordUnanswered(EndpointId("a"), At(0));
  reach.RecordUnanswered(EndpointId("b"), At(0));
  CHECK(reach.ShouldAvoid(false, At(10)));
  CHECK_FALSE(reach.ShouldAvoid(true, At(10)));
  CHECK(reach.ShouldAvoid(true, At(20)));
  CHECK(reach.ShouldAvoid(true, At(509)));
  CHECK_FALSE(reach.ShouldAvoid(true, At(510)));
  reach.RecordConnected();
  CHECK(reach.CannotConnect(At(515)));
  reach.RecordHeard(true, At(520));
  CHECK_FALSE(reach.CannotConnect(At(520)));
  CHECK_FALSE(reach.ShouldAvoid(false, At(530)));
}

TEST_CASE("Endpoints that refuse connections do not make a daemon cut off that connects to others")
{
  EndpointReach reach = ReachAfterFailures({ "a", "b" });
  // A request that is refused is not lost, whether or not it may run again.
  CHECK_FALSE(reach.ShouldAvoid(false, At(10)));
  CHECK(reach.ShouldAvoid(false, At(20)));
  reach.RecordConnected();
  CHECK_FALSE(reach.CannotConnect(At(30)));
  CHECK_FALSE(reach.ShouldAvoid(false, At(30)));
  // What has accepted the connection breaks it.
  reach.RecordUnanswered(EndpointId("c"), At(40));
  CHECK_FALSE(reach.CannotConnect(At(40)));
}

TEST_CASE("Failures to connect lapse, so that a daemon without requests does not stay cut off")
{
  EndpointReach reach = ReachAfterFailures({ "a", "b" });
  CHECK(reach.CannotConnect(At(2'999)));
  CHECK_FALSE(reach.CannotConnect(At(3'000)));
  reach.RecordConnectFailure(EndpointId("c"), At(4'000));
  CHECK_FALSE(reach.CannotConnect(At(4'000)));
}

TEST_CASE("Open connections are not used while several endpoints are silent at once")
{
  EndpointReach reach = ReachAfterFailures({});
  const auto await = [&](const char* aEndpoint, int aSilenceMs, int aMs) {
    reach.RecordAwaited(EndpointId(aEndpoint), Milliseconds(aSilenceMs), At(aMs));
  };
  await("a", 499, 499);
  await("b", 499, 499);
  CHECK(reach.MayReuseConnections(At(499)));
  await("a", 1'000, 1'000);
  CHECK(reach.MayReuseConnections(At(1'000)));
  await("b", 1'000, 1'000);
  CHECK_FALSE(reach.MayReuseConnections(At(1'000)));
  reach.RecordHeard(false, At(1'010));
  CHECK(reach.MayReuseConnections(At(1'010)));
  CHECK_FALSE(reach.CannotConnect(At(1'010)));
}

TEST_CASE("A connection that is established and breaks without a byte reaches no endpoint")
{
  EndpointReach reach = ReachAfterFailures({});
  reach.RecordUnanswered(EndpointId("a"), At(10));
  reach.RecordUnanswered(EndpointId("a"), At(20));
  CHECK_FALSE(reach.CannotConnect(At(20)));
  reach.RecordUnanswered(EndpointId("b"), At(30));
  CHECK(reach.CannotConnect(At(30)));
  CHECK(reach.IsCutOff(At(500)));
  CHECK_FALSE(reach.IsRefusedByAll(At(500)));
  reach.RecordHeard(false, At(510));
  CHECK(reach.CannotConnect(At(510)));
  reach.RecordHeard(true, At(520));
  CHECK_FALSE(reach.CannotConnect(At(520)));
}

TEST_CASE("Connections that fail in different ways show together that no endpoint is reached")
{
  EndpointReach reach = ReachAfterFailures({ "a" });
  reach.RecordUnanswered(EndpointId("b"), At(10));
  CHECK(reach.CannotConnect(At(10)));
  CHECK(reach.IsCutOff(At(600)));
  CHECK_FALSE(reach.IsRefusedByAll(At(600)));
  reach.RecordConnectFailure(EndpointId("b"), At(610));
  CHECK(reach.IsRefusedByAll(At(620)));
}

TEST_CASE("Silence alone never shows that no endpoint is reached, probes without an answer do")
{
  EndpointReach reach = ReachAfterFailures({});
  const auto await = [&](const char* aEndpoint, int aSilenceMs, int aMs) {
    reach.RecordAwaited(EndpointId(aEndpoint), Milliseconds(aSilenceMs), At(aMs));
  };
  await("a", 60'000, 60'000);
  CHECK_FALSE(reach.ShouldProbe(At(60'000)));
  await("b", 60'000, 60'000);
  CHECK_FALSE(reach.CannotConnect(At(60'000)));
  CHECK_FALSE(reach.IsCutOff(At(60'000)));
  CHECK(reach.ShouldProbe(At(60'000)));
  CHECK(reach.InQuestion() == std::set<EndpointId>{ EndpointId("a"), EndpointId("b") });
  reach.RecordUnanswered(EndpointId("a"), At(60'500));
  CHECK_FALSE(reach.CannotConnect(At(60'500)));
  reach.RecordUnanswered(EndpointId("b"), At(60'500));
  CHECK(reach.CannotConnect(At(60'500)));
  CHECK(reach.IsCutOff(At(60'500)));
}

TEST_CASE("Endpoints are probed once several have been silent for a while, and at intervals")
{
  EndpointReach reach = ReachAfterFailures({});
  const auto await = [&](const char* aEndpoint, int aSilenceMs, int aMs) {
    reach.RecordAwaited(EndpointId(aEndpoint), Milliseconds(aSilenceMs), At(aMs));
  };
  await("a", 400, 600);
  await("b", 400, 600);
  CHECK_FALSE(reach.ShouldProbe(At(600)));
  await("a", 500, 700);
  await("b", 500, 700);
  CHECK(reach.ShouldProbe(At(700)));
  CHECK_FALSE(reach.ShouldProbe(At(1'699)));
  CHECK(reach.ShouldProbe(At(1'700)));
  reach.RecordHeard(false, At(1'800));
  CHECK_FALSE(reach.ShouldProbe(At(3'000)));
}

TEST_CASE("An answered probe ends a cut, and open connections stay unused until one responds")
{
  EndpointReach reach = ReachAfterFailures({ "c" });
  reach.RecordAwaited(EndpointId("a"), Milliseconds(700), At(700));
  reach.RecordAwaited(EndpointId("b"), Milliseconds(700), At(700));
  reach.RecordUnanswered(EndpointId("a"), At(700));
  REQUIRE(reach.IsCutOff(At(700)));
  reach.RecordProbeAnswered();
  CHECK_FALSE(reach.CannotConnect(At(700)));
  CHECK_FALSE(reach.ShouldProbe(At(5'000)));
  CHECK_FALSE(reach.MayReuseConnections(At(700)));
  reach.RecordHeard(false, At(800));
  CHECK(reach.MayReuseConnections(At(800)));
}

TEST_CASE("Endpoints that refuse connections are probed, since others may be reached")
{
  EndpointReach reach = ReachAfterFailures({ "a" });
  CHECK_FALSE(reach.ShouldProbe(At(10)));
  reach.RecordConnectFailure(EndpointId("b"), At(10));
  CHECK(reach.ShouldProbe(At(10)));
  CHECK(reach.InQuestion() == std::set<EndpointId>{ EndpointId("a"), EndpointId("b") });
}

TEST_CASE("Time in which a daemon stood still is no silence of the endpoints")
{
  EndpointReach reach = ReachAfterFailures({ "a", "b" });
  reach.RecordAwaited(EndpointId("a"), Milliseconds(1'300), At(1'300));
  reach.RecordAwaited(EndpointId("b"), Milliseconds(1'300), At(1'300));
  reach.RecordPaused(At(1'300));
  CHECK_FALSE(reach.IsCutOff(At(1'300)));
  CHECK(reach.MayReuseConnections(At(1'300)));
  CHECK(reach.IsCutOff(At(1'800)));
}

TEST_CASE(
  "A request is forwarded to daemons in turn, near ones first, and to none that cannot serve")
{
  Membership membership(Membership::Limits(), HostName("own"));
  Member leaving = DaemonOf("leaving", "near");
  leaving.m_is_leaving = true;
  Member unready = DaemonOf("unready", "near");
  unready.m_is_ready = false;
  Member cut_off = DaemonOf("cut-off", "near");
  cut_off.m_reaches_endpoints = false;
  for (const Member& member : { DaemonOf("n1", "near"),
                                DaemonOf("n2", "near"),
                                DaemonOf("f1", "far"),
                                leaving,
                                unready,
                                cut_off }) {
    membership.RecordHeartbeat(member, At(0));
  }
  ForwardTargets targets(membership, DataCenterName("near"));
  const auto choose = [&](const std::vector<HostName>& aTried, int aMs) {
    const auto chosen = targets.Choose(aTried, 0, At(aMs));
    return chosen ? chosen->m_host.Value() : "none";
  };
  const std::string first = choose({}, 0);
  const std::string second = choose({}, 0);
  CHECK(std::set<std::string>{ first, second } == std::set<std::string>{ "n1", "n2" });
  CHECK(choose({ HostName("n1"), HostName("n2") }, 0) == "f1");
  CHECK(choose({ HostName("n1"), HostName("n2"), HostName("f1") }, 0) == "none");
  targets.RecordUnable(HostName("n1"), At(100));
  targets.RecordUnable(HostName("n2"), At(100));
  CHECK(choose({}, 200) == "f1");
  // No heartbeat of any daemon since.
  CHECK(choose({}, 5'000) == "none");
}

// Guards against requests that an older configuration sends to another service.
TEST_CASE("A request is forwarded only to daemons whose configuration is at least as new")
{
  Membership membership(Membership::Limits(), HostName("own"));
  Member older = DaemonOf("older", "near");
  older.m_configuration_version = 14;
  Member current = DaemonOf("current", "far");
  current.m_configuration_version = 15;
  membership.RecordHeartbeat(older, At(0));
  membership.RecordHeartbeat(current, At(0));
  ForwardTargets targets(membership, DataCenterName("near"));
  CHECK(targets.Choose({}, 14, At(0))->m_host == older.m_host);
  CHECK(targets.Choose({}, 15, At(0))->m_host == current.m_host);
  CHECK_FALSE(targets.Choose({}, 16, At(0)));
}

TEST_CASE(
  "What daemons state on the hop between them is read as it was written, and goes no further")
{
  HttpHeaders headers{ { "Host", "h" } };
  CHECK_FALSE(ParseForwardedRequest(headers));
  AppendForwardedRequest({ "stream-1", 7 }, headers);
  CHECK(ParseForwardedRequest(headers) == ForwardedRequest{ "stream-1", 7 });
  CHECK(ForwardedHeaders(headers, {}) == HttpHeaders{ { "Host", "h" } });
  for (const ForwardedOutcome outcome :
       { ForwardedOutcome::NotRun, ForwardedOutcome::TryAnother, ForwardedOutcome::Unknown }) {
    const ForwardedReply reply{ outcome, Milliseconds(120) };
    HttpHeaders response;
    AppendForwardedReply(reply, response);
    CHECK(ParseForwardedReply(response) == reply);
    CHECK(ForwardedHeaders(response, {}).empty());
  }
  HttpHeaders named;
  AppendForwardedEndpoint({ EndpointId("i-1"), 1'234 }, named);
  CHECK(ParseForwardedEndpoint(named) == EndpointIncarnation{ EndpointId("i-1"), 1'234 });
  CHECK(ForwardedHeaders(named, {}).empty());
  CHECK_FALSE(ParseForwardedEndpoint({ { "Auburnhitch-Endpoint", "i-1" } }));
  CHECK_FALSE(ParseForwardedReply({ { "X-Response-Seal", "s" } }));
  CHECK(ParseForwardedReply({ { "Auburnhitch-Outcome", "other" } }) == ForwardedReply());
  CHECK(ParseForwardedReply(
          { { "Auburnhitch-Outcome", "not-run" }, { "Auburnhitch-Retry-After-Ms", "-5" } }) ==
        ForwardedReply{ ForwardedOutcome::NotRun, std::nullopt });
}
