#include "GatewayCluster.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <csignal>
#include <doctest.h>
#include <set>
#include <thread>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

constexpr const char* kFirstEvent = "id: 1\ndata: a\n\n";
constexpr const char* kLastEvent = "id: 2\ndata: b\n\n";
constexpr std::size_t kMaxEndpoints = 4;

/// Daemons before endpoints of several software versions, which break off each new stream after its
/// first event and complete the streams that continue.
class VersionedCluster
{
public:
  VersionedCluster(std::size_t aDaemons,
                   std::vector<std::string> aVersions,
                   bool aHasProxies = false)
    : m_versions(std::move(aVersions))
    , m_cluster(GatewayClusterOptions{ aDaemons, m_versions.size(), 1, aHasProxies, m_versions })
  {
    for (std::size_t i = 0; i < m_versions.size(); ++i) {
      m_cluster.Endpoint(i).SetBehaviour(
        [this, i](RawConnection& aConnection, const RawRequest& aRequest) {
          return Serve(i, aConnection, aRequest);
        });
    }
  }

  GatewayCluster& Daemons() { return m_cluster; }
  /// Whether streams that continue are broken off as well.
  void SetBreaksAll(bool aBreaksAll) { m_breaks_all = aBreaksAll; }

  /// Lets an endpoint reset the connection of each request until Restart() is called.
  void Crash(std::size_t aEndpoint) { m_is_down[aEndpoint] = true; }
  /// Starts an endpoint again, which is not registered yet.
  void Restart(std::size_t aEndpoint, std::string aVersion)
  {
    const std::lock_guard lock(m_mutex);
    m_versions[aEndpoint] = std::move(aVersion);
    m_is_down[aEndpoint] = false;
  }

  /// Sets how long an endpoint works on each request.
  void SetWorkTime(std::chrono::milliseconds aTime) { m_work_time = aTime; }

  /// The versions of the endpoints that sent events of a stream, in order. A stream is named by the
  /// request that began it.
  std::vector<std::string> VersionsOf(const std::string& aStream)
  {
    const std::lock_guard lock(m_mutex);
    return m_served[aStream];
  }

  /// The endpoints that sent events of a stream, in order.
  std::vector<std::size_t> EndpointsOf(const std::string& aStream)
  {
    const std::lock_guard lock(m_mutex);
    return m_served_by[aStream];
  }

  /// Resumes a stream after its first event, as a caller does.
  CallerResponse Resume(const std::string& aStream,
                        const std::string& aRequestId,
                        std::size_t aDaemon)
  {
    return m_cluster.Call("/resumable/x",
                          aRequestId,
                          absl::StrCat("Resumes: ", aStream, "\r\nLast-Event-Id: 1\r\n"),
                          aDaemon);
  }

  /// The same, repeated while it is refused: another daemon than the one that began the stream may
  /// not have learned yet which version sent its first event.
  CallerResponse ResumeUntilAdmitted(const std::string& aStream, std::size_t aDaemon)
  {
    CallerResponse response;
    int attempts = 0;
    WaitFor([&] {
      response = Resume(aStream, absl::StrCat("again-", aStream, "-", ++attempts), aDaemon);
      return response.m_status != 503;
    });
    return response;
  }

private:
  bool Serve(std::size_t aEndpoint, RawConnection& aConnection, const RawRequest& aRequest)
  {
    const bool is_continued = !aRequest.Header("last-event-id").empty();
    const std::string resumed_stream = aRequest.Header("resumes");
    const std::string stream =
      resumed_stream.empty() ? aRequest.Header("x-request-id") : resumed_stream;
    const bool is_complete = is_continued && !m_breaks_all;
    if (m_is_down[aEndpoint]) {
      aConnection.Reset();
      return false;
    }
    {
      const std::lock_guard lock(m_mutex);
      m_served[stream].push_back(m_versions[aEndpoint]);
      m_served_by[stream].push_back(aEndpoint);
    }
    std::this_thread::sleep_for(m_work_time.load());
    aConnection.Write(WithIdOf(aRequest,
                               absl::StrCat("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                            "Connection: close\r\nX-Response-Seal: s\r\n\r\n",
                                            is_continued ? "" : kFirstEvent,
                                            is_complete ? kLastEvent : "id: 2\nda")));
    return false;
  }

  std::vector<std::string> m_versions;
  std::array<std::atomic<bool>, kMaxEndpoints> m_is_down{};
  std::atomic<bool> m_breaks_all = false;
  std::atomic<std::chrono::milliseconds> m_work_time{ std::chrono::milliseconds(0) };
  std::mutex m_mutex;
  std::map<std::string, std::vector<std::string>> m_served;
  std::map<std::string, std::vector<std::size_t>> m_served_by;
  GatewayCluster m_cluster;
};

/// Whether all events of a stream came from one software version.
bool
HasOneVersion(const std::vector<std::string>& aVersions)
{
  return std::all_of(aVersions.begin(), aVersions.end(), [&](const std::string& aVersion) {
    return aVersion == aVersions.front();
  });
}

}

TEST_CASE("A stream does not continue at another software version within its response")
{
  VersionedCluster cluster(1, { "v1", "v2", "v2" });
  int completed = 0;
  for (int number = 0; number < 12; ++number) {
    const std::string id = absl::StrCat("stream-", number);
    const CallerResponse response = cluster.Daemons().Call("/resumable/x", id);
    const std::vector<std::string> versions = cluster.VersionsOf(id);
    REQUIRE_FALSE(versions.empty());
    CHECK(HasOneVersion(versions));
    CHECK(response.m_is_complete == (versions.size() == 2));
    completed += response.m_is_complete ? 1 : 0;
  }
  // Streams of the version with two endpoints continue.
  CHECK(completed > 0);
}

TEST_CASE("A stream that its caller resumes does not continue at another software version")
{
  VersionedCluster cluster(3, { "v1", "v1", "v2", "v2" });
  int completed = 0;
  for (std::size_t number = 0; number < 12; ++number) {
    const std::string id = absl::StrCat("stream-", number);
    cluster.SetBreaksAll(true);
    CHECK_FALSE(cluster.Daemons().Call("/resumable/x", id, "", number % 3).m_is_complete);
    cluster.SetBreaksAll(false);
    // At the daemon that began it, and at another one.
    const std::size_t daemon = number % 2;
    const CallerResponse response = daemon == number % 3
                                      ? cluster.Resume(id, absl::StrCat("again-", number), daemon)
                                      : cluster.ResumeUntilAdmitted(id, daemon);
    CHECK(HasOneVersion(cluster.VersionsOf(id)));
    completed += response.m_is_complete && response.m_body == kLastEvent ? 1 : 0;
  }
  CHECK(completed == 12);
}

TEST_CASE("A stream whose daemon was killed does not continue at another software version")
{
  VersionedCluster cluster(3, { "v1", "v1", "v2", "v2" });
  int completed = 0;
  for (std::size_t killed = 0; killed < 3; ++killed) {
    cluster.SetBreaksAll(true);
    std::vector<std::string> ids;
    for (int number = 0; number < 4; ++number) {
      ids.push_back(absl::StrCat("stream-", killed, "-", number));
      CHECK_FALSE(cluster.Daemons().Call("/resumable/x", ids.back(), "", killed).m_is_complete);
    }
    cluster.SetBreaksAll(false);
    cluster.Daemons().Daemon(killed).Signal(SIGKILL);
    for (const std::string& id : ids) {
      const CallerResponse response = cluster.Resume(id, "again-" + id, (killed + 1) % 3);
      completed += response.m_is_complete && response.m_body == kLastEvent ? 1 : 0;
      CHECK(HasOneVersion(cluster.VersionsOf(id)));
    }
    cluster.Daemons().StartDaemon(killed);
    cluster.Daemons().WaitUntilReady(killed);
  }
  // Includes the streams of the coordinator, which its successor knows.
  CHECK(completed == 12);
}

TEST_CASE("A stream that no daemon knows is refused while several software versions serve")
{
  VersionedCluster cluster(2, { "v1", "v2" });
  for (std::size_t daemon = 0; daemon < 2; ++daemon) {
    const std::string id = absl::StrCat("unknown-", daemon);
    const CallerResponse response = cluster.Resume(id, "again-" + id, daemon);
    CHECK(response.m_status == 503);
    CHECK_FALSE(response.Header("retry-after").empty());
    CHECK(cluster.VersionsOf(id).empty());
  }
}

TEST_CASE("A stream whose software version serves no more is refused at once")
{
  VersionedCluster cluster(2, { "v1", "v2" });
  cluster.SetBreaksAll(true);
  CHECK_FALSE(cluster.Daemons().Call("/resumable/x", "stream").m_is_complete);
  cluster.SetBreaksAll(false);
  const std::string version = cluster.VersionsOf("stream").front();
  const std::size_t endpoint = version == "v1" ? 0 : 1;
  cluster.Daemons().Deregister(endpoint);
  for (std::size_t daemon = 0; daemon < 2; ++daemon) {
    REQUIRE(WaitFor([&] {
      return cluster.Daemons().LogOfDaemon(daemon).find(
               absl::StrCat("event=removed endpoint=i-", endpoint)) != std::string::npos;
    }));
    const CallerResponse response =
      cluster.Resume("stream", absl::StrCat("again-", daemon), daemon);
    CHECK(response.m_status == 503);
    CHECK_FALSE(response.Header("retry-after").empty());
  }
  CHECK(cluster.VersionsOf("stream").size() == 1);
}

TEST_CASE("A stream that its caller resumes continues in the service in which it began")
{
  VersionedCluster cluster(2, { "v1", "v1", "v1", "v1" });
  GatewayCluster& daemons = cluster.Daemons();
  for (const std::size_t endpoint : { 2, 3 }) {
    daemons.Register(endpoint, "ready", { { "service", "other" } });
  }
  daemons.Configure([](nlohmann::json& aConfiguration) {
    aConfiguration["services"].push_back({ { "name", "other" }, { "max_conns", 100 } });
    for (nlohmann::json& route : aConfiguration["routes"]) {
      route.erase("service");
      route["split"] = { { { "service", "s" }, { "weight", 50 } },
                         { { "service", "other" }, { "weight", 50 } } };
    }
  });
  for (std::size_t daemon = 0; daemon < 2; ++daemon) {
    REQUIRE(WaitFor([&] {
      const std::string log = daemons.LogOfDaemon(daemon);
      return log.find("in-force version=2") != std::string::npos &&
             log.find("event=changed endpoint=i-3 service=other") != std::string::npos;
    }));
  }
  for (int number = 0; number < 12; ++number) {
    const std::string id = absl::StrCat("stream-", number);
    cluster.SetBreaksAll(true);
    CHECK_FALSE(daemons.Call("/resumable/x", id).m_is_complete);
    cluster.SetBreaksAll(false);
    CHECK(cluster.Resume(id, "again-" + id, 1).m_body == kLastEvent);
    const std::vector<std::size_t> endpoints = cluster.EndpointsOf(id);
    CHECK(endpoints.front() / 2 == endpoints.back() / 2);
  }
}

TEST_CASE("A stream does not continue at an endpoint that has started again unregistered")
{
  VersionedCluster cluster(3, { "v1", "v1", "v1" });
  GatewayCluster& daemons = cluster.Daemons();
  cluster.Crash(1);
  int number = 0;
  REQUIRE(WaitFor([&] {
    daemons.Call("/safe/x", absl::StrCat("safe-", ++number));
    return !daemons.Endpoint(1).Requests().empty();
  }));
  cluster.Restart(1, "v2");
  const std::size_t received = daemons.Endpoint(1).Requests().size();
  int completed = 0;
  // Until the endpoint is no longer avoided for its failure.
  REQUIRE(WaitFor([&] {
    const std::string id = absl::StrCat("stream-", ++number);
    const auto daemon = static_cast<std::size_t>(number) % 3;
    completed += daemons.Call("/resumable/x", id, "", daemon).m_is_complete ? 1 : 0;
    cluster.Resume(id, "again-" + id, daemon);
    CHECK(HasOneVersion(cluster.VersionsOf(id)));
    return daemons.Endpoint(1).Requests().size() >= received + 6;
  }));
  CHECK(completed > 0);
}

/// Lets an endpoint refuse connections until a request could not be sent there, and starts it again
/// with a software version that is not registered.
void
RestartUnreachable(VersionedCluster& aCluster, std::size_t aEndpoint, const std::string& aVersion)
{
  GatewayCluster& daemons = aCluster.Daemons();
  daemons.CommandEndpointProxy(aEndpoint,
                               { { "fault", "refuse" }, { "cut_open", true }, { "reset", true } });
  int number = 0;
  REQUIRE(WaitFor([&] {
    daemons.Call("/safe/x", absl::StrCat("safe-", ++number));
    return daemons.LogOfDaemon(0).find(
             absl::StrCat("endpoint=i-", aEndpoint, " end=unreachable")) != std::string::npos;
  }));
  aCluster.Restart(aEndpoint, aVersion);
  daemons.CommandEndpointProxy(aEndpoint, { { "fault", "none" } });
}

TEST_CASE("A stream does not continue at an endpoint that was down and has not registered again")
{
  VersionedCluster cluster(3, { "v1", "v1", "v1" }, true);
  GatewayCluster& daemons = cluster.Daemons();
  RestartUnreachable(cluster, 1, "v2");
  // Long enough for all endpoints to be in use at once.
  cluster.SetWorkTime(std::chrono::milliseconds(30));
  constexpr std::size_t kCallers = 16;
  const std::size_t received = daemons.Endpoint(1).Requests().size();
  std::atomic<int> completed = 0;
  std::atomic<int> number = 0;
  std::vector<std::thread> callers;
  for (std::size_t caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, daemon = caller % 3] {
      WaitFor([&] {
        const std::string id = absl::StrCat("stream-", ++number);
        completed += daemons.Call("/resumable/x", id, "", daemon).m_is_complete ? 1 : 0;
        cluster.Resume(id, "again-" + id, daemon);
        return daemons.Endpoint(1).Requests().size() >= received + kCallers;
      });
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(daemons.Endpoint(1).Requests().size() >= received + kCallers);
  CHECK(completed > 0);
  for (int stream = 1; stream <= number; ++stream) {
    CHECK(HasOneVersion(cluster.VersionsOf(absl::StrCat("stream-", stream))));
  }
}

TEST_CASE("Streams continue again at an endpoint that renews its registration after it was down")
{
  VersionedCluster cluster(1, { "v1", "v1" }, true);
  GatewayCluster& daemons = cluster.Daemons();
  RestartUnreachable(cluster, 1, "v1");
  int number = 0;
  for (const std::vector<std::size_t>& endpoints :
       { std::vector<std::size_t>{ 0, 1 }, std::vector<std::size_t>{ 1, 0 } }) {
    CHECK(WaitFor([&] {
      daemons.Register(1);
      const std::string id = absl::StrCat("stream-", ++number);
      return daemons.Call("/resumable/x", id).m_is_complete && cluster.EndpointsOf(id) == endpoints;
    }));
  }
}

namespace {

using Ms = std::chrono::milliseconds;

constexpr std::size_t kDaemons = 3;
// Longer than callers wait for a stream that they resume.
constexpr Ms kRejoinTime{ 8'000 };

/// Begins streams that break off after their first event, some at each daemon, and returns their
/// ids.
std::vector<std::string>
BeginStreams(VersionedCluster& aCluster, const std::string& aPrefix, int aCount)
{
  aCluster.SetBreaksAll(true);
  std::vector<std::string> ids;
  for (int number = 0; number < aCount; ++number) {
    ids.push_back(absl::StrCat(aPrefix, "-", number));
    const auto daemon = static_cast<std::size_t>(number) % kDaemons;
    CHECK_FALSE(aCluster.Daemons().Call("/resumable/x", ids.back(), "", daemon).m_is_complete);
  }
  aCluster.SetBreaksAll(false);
  return ids;
}

void
KillDaemons(VersionedCluster& aCluster, const std::vector<std::size_t>& aDaemons)
{
  for (const std::size_t daemon : aDaemons) {
    aCluster.Daemons().Daemon(daemon).Signal(SIGKILL);
  }
  for (const std::size_t daemon : aDaemons) {
    REQUIRE(WaitFor([&] { return aCluster.Daemons().Daemon(daemon).ExitStatus().has_value(); }));
  }
}

void
StartDaemons(VersionedCluster& aCluster, const std::vector<std::size_t>& aDaemons)
{
  for (const std::size_t daemon : aDaemons) {
    aCluster.Daemons().StartDaemon(daemon);
  }
}

const std::vector<std::size_t> kAllDaemons{ 0, 1, 2 };

/// Lets callers resume streams again and again, at all daemons in turn, until each went on or
/// kRejoinTime has passed. Requires that no stream has events of two versions. Returns how many
/// went on.
int
RejoinStreams(VersionedCluster& aCluster, const std::vector<std::string>& aStreams)
{
  std::set<std::string> left(aStreams.begin(), aStreams.end());
  const auto until = std::chrono::steady_clock::now() + kRejoinTime;
  int attempt = 0;
  while (!left.empty() && std::chrono::steady_clock::now() < until) {
    ++attempt;
    std::erase_if(left, [&](const std::string& aStream) {
      const auto daemon = static_cast<std::size_t>(attempt) % kDaemons;
      const CallerResponse response =
        aCluster.Resume(aStream, absl::StrCat("re-", aStream, "-", attempt), daemon);
      return response.m_status == 200 && response.m_is_complete;
    });
    std::this_thread::sleep_for(Ms(100));
  }
  for (const std::string& stream : aStreams) {
    CHECK(HasOneVersion(aCluster.VersionsOf(stream)));
  }
  return static_cast<int>(aStreams.size() - left.size());
}

}

TEST_CASE("Rejoined: streams of several versions are not mixed after all daemons were killed")
{
  VersionedCluster cluster(kDaemons, { "v1", "v1", "v2", "v2" });
  const auto streams = BeginStreams(cluster, "stream", 12);
  KillDaemons(cluster, kAllDaemons);
  StartDaemons(cluster, kAllDaemons);
  MESSAGE("went on: ", RejoinStreams(cluster, streams), " of 12");
}

TEST_CASE("Rejoined: streams of a version that left while no daemon lived do not go on at another")
{
  VersionedCluster cluster(kDaemons, { "v1", "v1", "v2", "v2" });
  const auto streams = BeginStreams(cluster, "stream", 12);
  KillDaemons(cluster, kAllDaemons);
  cluster.Daemons().Deregister(0);
  cluster.Daemons().Deregister(1);
  StartDaemons(cluster, kAllDaemons);
  MESSAGE("went on: ", RejoinStreams(cluster, streams), " of 12");
}

TEST_CASE("Rejoined: streams are not mixed when daemons are killed and come back one by one")
{
  VersionedCluster cluster(kDaemons, { "v1", "v1", "v2", "v2" });
  std::vector<std::string> streams;
  for (std::size_t round = 0; round < kDaemons; ++round) {
    const auto begun = BeginStreams(cluster, absl::StrCat("stream-", round), 6);
    streams.insert(streams.end(), begun.begin(), begun.end());
    KillDaemons(cluster, { round });
    StartDaemons(cluster, { round });
    cluster.Daemons().WaitUntilReady(round);
  }
  MESSAGE("went on: ", RejoinStreams(cluster, streams), " of 18");
}

TEST_CASE("Rejoined: streams are not mixed while restarted daemons can't read the registrations")
{
  VersionedCluster cluster(kDaemons, { "v1", "v1", "v2", "v2" });
  const auto streams = BeginStreams(cluster, "stream", 12);
  KillDaemons(cluster, kAllDaemons);
  cluster.Daemons().Store().SetSilent("keyed.servers", true);
  StartDaemons(cluster, kAllDaemons);
  std::thread late([&] {
    std::this_thread::sleep_for(Ms(3'000));
    cluster.Daemons().Store().SetSilent("keyed.servers", false);
  });
  MESSAGE("went on: ", RejoinStreams(cluster, streams), " of 12");
  late.join();
}

TEST_CASE("Rejoined: streams are not mixed when the store comes back without one of the versions")
{
  VersionedCluster cluster(kDaemons, { "v1", "v1", "v2", "v2" });
  const auto streams = BeginStreams(cluster, "stream", 12);
  KillDaemons(cluster, kAllDaemons);
  cluster.Daemons().Deregister(2);
  cluster.Daemons().Deregister(3);
  cluster.Daemons().Store().Compact("keyed.servers");
  StartDaemons(cluster, kAllDaemons);
  std::thread late([&] {
    std::this_thread::sleep_for(Ms(2'000));
    cluster.Daemons().Register(2);
    cluster.Daemons().Register(3);
  });
  MESSAGE("went on: ", RejoinStreams(cluster, streams), " of 12");
  late.join();
}

TEST_CASE("Rejoined: streams of the only version are not mixed after all daemons were killed")
{
  VersionedCluster cluster(kDaemons, { "v1", "v1" });
  const auto streams = BeginStreams(cluster, "stream", 12);
  KillDaemons(cluster, kAllDaemons);
  StartDaemons(cluster, kAllDaemons);
  MESSAGE("went on: ", RejoinStreams(cluster, streams), " of 12");
}

TEST_CASE("Rejoined: a stream does not go on at another version than that of an endpoint which "
          "started again under its id while no daemon lived")
{
  VersionedCluster cluster(kDaemons, { "v1", "v1", "v1" });
  GatewayCluster& daemons = cluster.Daemons();
  KillDaemons(cluster, kAllDaemons);
  // Its registration follows later.
  cluster.Restart(1, "v2");
  StartDaemons(cluster, kAllDaemons);
  for (const std::size_t daemon : kAllDaemons) {
    daemons.WaitUntilReady(daemon);
  }
  for (int number = 0; number < 12; ++number) {
    const std::string id = absl::StrCat("stream-", number);
    const auto daemon = static_cast<std::size_t>(number) % kDaemons;
    daemons.Call("/resumable/x", id, "", daemon);
    cluster.Resume(id, "again-" + id, daemon);
    CHECK(HasOneVersion(cluster.VersionsOf(id)));
  }
  daemons.SetVersion(1, "v2");
  daemons.Register(1, "ready", { { "born", 2 } });
  // Streams go on again at endpoints whose registrations have been known for a while.
  int number = 0;
  CHECK(WaitFor([&] {
    const std::string id = absl::StrCat("later-", ++number);
    const CallerResponse response = daemons.Call("/resumable/x", id);
    CHECK(HasOneVersion(cluster.VersionsOf(id)));
    return response.m_status == 200 && response.m_is_complete;
  }));
}
