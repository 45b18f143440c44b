#include "GatewayCluster.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <csignal>
#include <doctest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

/// Time from SIGTERM to SIGKILL that the daemons are told. Shorter than the default, so that a stop
/// with requests that do not end takes less time.
constexpr double kStopGraceS = 3;

/// Daemons before endpoints that run one request at a time and respond only when they are told to.
class BusyService
{
public:
  explicit BusyService(GatewayClusterOptions aOptions)
    : m_cluster(WithGrace(std::move(aOptions)))
  {
    // The objective is long, so that requests wait instead of being refused as late.
    m_cluster.Configure([](nlohmann::json& aJson) {
      for (nlohmann::json& route : aJson["routes"]) {
        route["slo_ms"] = 8'000;
      }
    });
    for (std::size_t endpoint = 0; endpoint < m_endpoints; ++endpoint) {
      m_cluster.Register(endpoint, "ready", { { "slots", 1 } });
      m_cluster.Endpoint(endpoint).SetBehaviour(
        [this](RawConnection& aConnection, const RawRequest& aRequest) {
          WaitFor([this] { return m_may_respond.load(); });
          return RespondWithSuccess(aConnection, aRequest);
        });
    }
    for (std::size_t daemon = 0; daemon < m_daemons; ++daemon) {
      CHECK(AwaitInLog(daemon, "event=in-force version=2"));
      for (std::size_t endpoint = 0; endpoint < m_endpoints; ++endpoint) {
        CHECK(AwaitInLog(daemon, absl::StrCat("event=changed endpoint=i-", endpoint, " ")));
      }
      if (m_daemons > 1) {
        CHECK(AwaitInLog(daemon, absl::StrCat("event=peers-heard count=", m_daemons - 1, " ")));
      }
    }
  }

  ~BusyService()
  {
    Release();
    for (std::thread& caller : m_callers) {
      if (caller.joinable()) {
        caller.join();
      }
    }
  }

  GatewayCluster& Cluster() { return m_cluster; }
  void Release() { m_may_respond = true; }
  void Hold() { m_may_respond = false; }

  /// Cuts a daemon off from the endpoint and sends requests through it until it has found that.
  void CutFromEndpoints(std::size_t aDaemon)
  {
    Release();
    m_cluster.CutFromEndpoints(aDaemon, EndpointCut::Reset);
    std::atomic<bool> is_found = false;
    std::vector<std::thread> callers;
    for (std::size_t caller = 0; caller < m_endpoints + 2; ++caller) {
      callers.emplace_back([&, caller] {
        for (int count = 0; !is_found; ++count) {
          m_cluster.Call("/safe/x", absl::StrCat("cut-", caller, "-", count), "", aDaemon);
        }
      });
    }
    CHECK(AwaitInLog(aDaemon, "event=cannot-connect"));
    is_found = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
  }

  /// The daemon to which another one has forwarded a request.
  std::size_t DaemonThatGot(const std::string& aId, std::size_t aFrom)
  {
    const std::string line = "event=forwarded request=" + aId + " service=s to=gateway-";
    std::size_t at = std::string::npos;
    CHECK(WaitFor([&] {
      at = m_cluster.LogOfDaemon(aFrom).find(line);
      return at != std::string::npos;
    }));
    return std::stoul(m_cluster.LogOfDaemon(aFrom).substr(at + line.size()));
  }

  /// Sends a request to a daemon from a thread of its own.
  void Send(const std::string& aId, std::size_t aDaemon, const char* aPath = "/unsafe/x")
  {
    m_callers.emplace_back([this, aId, aDaemon, aPath] {
      CallerResponse response = m_cluster.Call(aPath, aId, "", aDaemon);
      const std::lock_guard lock(m_mutex);
      m_responses[aId] = std::move(response);
    });
  }

  /// Sends requests that take all slots.
  void Occupy(std::size_t aDaemon)
  {
    for (std::size_t slot = 0; slot < m_endpoints; ++slot) {
      const std::string id = RunningId(slot);
      Send(id, aDaemon);
      CHECK(WaitFor([&] { return m_cluster.RunsOf(id) == 1; }));
    }
  }

  /// The id of a request that takes a slot.
  static std::string RunningId(std::size_t aSlot) { return absl::StrCat("running-", aSlot); }

  /// Waits until this many requests wait for a slot, over all coordinators.
  bool AwaitWaiting(int aCount)
  {
    return WaitFor([&] {
      int waiting = 0;
      for (std::size_t daemon = 0; daemon < m_daemons; ++daemon) {
        waiting += Gauge(daemon, "waiting_at_home");
      }
      return waiting == aCount;
    });
  }

  /// Stops a daemon and waits until its process has ended.
  void Stop(std::size_t aDaemon)
  {
    m_cluster.Daemon(aDaemon).Signal(SIGTERM);
    CHECK(WaitFor([&] { return m_cluster.Daemon(aDaemon).ExitStatus().has_value(); }));
    CHECK(m_cluster.Daemon(aDaemon).ExitStatus() == 0);
  }

  /// The response to a request, once it is there or its connection has ended.
  CallerResponse ResponseTo(const std::string& aId)
  {
    CallerResponse response;
    CHECK(WaitFor([&] {
      const std::lock_guard lock(m_mutex);
      const auto found = m_responses.find(aId);
      if (found != m_responses.end()) {
        response = found->second;
      }
      return found != m_responses.end();
    }));
    return response;
  }

  /// Checks that a request was answered with the promise that it has not run, and that it has not.
  void CheckNotRun(const std::string& aId)
  {
    CAPTURE(aId);
    const CallerResponse response = ResponseTo(aId);
    CHECK(response.m_status == 503);
    CHECK(response.m_is_complete);
    CHECK_FALSE(response.Header("Retry-After").empty());
    CHECK(m_cluster.RunsOf(aId) == 0);
  }

private:
  bool AwaitInLog(std::size_t aDaemon, const std::string& aText)
  {
    return WaitFor([&] { return m_cluster.LogOfDaemon(aDaemon).find(aText) != std::string::npos; });
  }

  GatewayClusterOptions WithGrace(GatewayClusterOptions aOptions)
  {
    aOptions.m_stop_grace_s = kStopGraceS;
    m_daemons = aOptions.m_daemons;
    m_endpoints = aOptions.m_endpoints;
    return aOptions;
  }

  int Gauge(std::size_t aDaemon, const std::string& aName)
  {
    const std::string text =
      ParseResponse(Exchange(m_cluster.MetricsAddress(aDaemon),
                             "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
        .m_body;
    const std::string label = "{name=\"" + aName + "\"} ";
    const auto at = text.find(label);
    return at == std::string::npos ? 0 : std::stoi(text.substr(at + label.size()));
  }

  std::size_t m_daemons = 0;
  std::size_t m_endpoints = 0;
  std::atomic<bool> m_may_respond = false;
  GatewayCluster m_cluster;
  std::mutex m_mutex;
  std::map<std::string, CallerResponse> m_responses;
  std::vector<std::thread> m_callers;
};

GatewayClusterOptions
DaemonsBefore(std::size_t aEndpoints, std::size_t aDaemons)
{
  GatewayClusterOptions options;
  options.m_daemons = aDaemons;
  options.m_endpoints = aEndpoints;
  return options;
}

/// Connects with a small receive buffer.
int
ConnectSlowly(const SocketAddress& aAddress)
{
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(
    static_cast<std::uint16_t>(std::stoi(aAddress.Value().substr(aAddress.Value().find(':') + 1))));
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  // Segments as on a network: those of the loopback interface would let the sender buffer more.
  const int segment = 1'460;
  setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
  const int size = 16 << 10;
  setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) != 0) {
    throw std::runtime_error("cannot connect to " + aAddress.Value());
  }
  return descriptor;
}

/// Reads in small steps, with a pause after each, until a condition holds or the peer closes.
void
ReadUntil(int aSocket,
          std::string& aReceived,
          std::chrono::milliseconds aPause,
          const std::function<bool()>& aCondition)
{
  std::array<char, 4'096> buffer{};
  while (!aCondition()) {
    const ssize_t size = recv(aSocket, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
      return;
    }
    aReceived.append(buffer.data(), static_cast<std::size_t>(size));
    std::this_thread::sleep_for(aPause);
  }
}

}

// Guards against requests in the queue whose connections end without a response in a planned stop.
TEST_CASE("Stop: requests that wait for a slot are answered before the daemon ends")
{
  BusyService service(DaemonsBefore(1, 1));
  service.Occupy(0);
  const std::vector<std::string> waiting{ "waits-0", "waits-1", "waits-2", "waits-3" };
  for (const std::string& id : waiting) {
    service.Send(id, 0);
  }
  CHECK(service.AwaitWaiting(static_cast<int>(waiting.size())));
  service.Stop(0);
  for (const std::string& id : waiting) {
    service.CheckNotRun(id);
  }
}

// Guards against running requests whose connections end without a response in a planned stop.
TEST_CASE("Stop: a request that still runs at the end of the grace is told that it may have run")
{
  BusyService service(DaemonsBefore(1, 1));
  service.Occupy(0);
  service.Stop(0);
  const CallerResponse response = service.ResponseTo(BusyService::RunningId(0));
  CHECK(response.m_status == 504);
  CHECK(response.m_is_complete);
  CHECK(service.Cluster().RunsOf(BusyService::RunningId(0)) == 1);
}

// Guards against requests that are lost with the coordinator in whose queue they wait.
TEST_CASE("Stop: requests that wait at other daemons are served when their coordinator stops")
{
  for (const std::size_t stopped : { std::size_t{ 0 }, std::size_t{ 1 } }) {
    CAPTURE(stopped);
    const std::size_t other = 1 - stopped;
    BusyService service(DaemonsBefore(1, 2));
    service.Occupy(other);
    service.Send("waits-here", stopped);
    service.Send("waits-there", other);
    CHECK(service.AwaitWaiting(2));
    service.Stop(stopped);
    // Its new coordinator may have granted it a slot before it knew of the request that runs.
    const int status = service.ResponseTo("waits-here").m_status;
    CHECK((status == 503 || status == 504));
    CHECK(service.Cluster().RunsOf("waits-here") == (status == 503 ? 0 : 1));
    service.Release();
    for (const std::string& id : { BusyService::RunningId(0), std::string("waits-there") }) {
      const CallerResponse response = service.ResponseTo(id);
      CHECK(response.m_status == 200);
      CHECK(response.m_is_complete);
      CHECK(service.Cluster().RunsOf(id) == 1);
    }
  }
}

// Guards against a forwarded request that is lost with either of its two daemons.
TEST_CASE("Stop: a request that was forwarded is answered whichever of its two daemons stops")
{
  for (const bool is_taker_stopped : { false, true }) {
    CAPTURE(is_taker_stopped);
    GatewayClusterOptions options = DaemonsBefore(2, 3);
    options.m_has_endpoint_paths = true;
    BusyService service(options);
    service.CutFromEndpoints(0);
    service.Hold();
    service.Occupy(2);
    service.Send("forwarded", 0);
    CHECK(service.AwaitWaiting(1));
    const std::size_t forwarded_to = service.DaemonThatGot("forwarded", 0);
    service.Stop(is_taker_stopped ? 0 : forwarded_to);
    service.Release();
    const CallerResponse response = service.ResponseTo("forwarded");
    CHECK(response.m_status == (is_taker_stopped ? 504 : 200));
    CHECK(response.m_is_complete);
    CHECK(service.Cluster().RunsOf("forwarded") <= 1);
  }
}

// Guards against a caller without a response because its request has not arrived completely.
TEST_CASE("Stop: a request that is still being received is answered before the daemon ends")
{
  BusyService service(DaemonsBefore(1, 1));
  const int socket = ConnectTo(service.Cluster().CallerAddress(0));
  const std::string part = "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: part\r\n"
                           "Authorization: Bearer key-1\r\nContent-Length: 10\r\n\r\nbody";
  REQUIRE(send(socket, part.data(), part.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(part.size()));
  service.Occupy(0);
  service.Cluster().Daemon(0).Signal(SIGTERM);
  std::string received;
  char buffer[4096];
  for (ssize_t size = 0; (size = recv(socket, buffer, sizeof(buffer), 0)) > 0;) {
    received.append(buffer, static_cast<std::size_t>(size));
  }
  close(socket);
  const CallerResponse response = ParseResponse(received);
  CHECK(response.m_status == 503);
  CHECK(response.m_is_complete);
  CHECK_FALSE(response.Header("Retry-After").empty());
  CHECK(service.Cluster().RunsOf("part") == 0);
}

// Guards against responses that are cut while a slow caller reads the rest of them.
TEST_CASE("Stop: a slow caller gets the whole of a response after which its connection closes")
{
  GatewayCluster cluster(1, 1);
  cluster.Endpoint(0).SetBehaviour([](RawConnection& aConnection, const RawRequest& aRequest) {
    const std::string body(std::stoul(aRequest.Header("x-size")), 'x');
    return aConnection.Write(absl::StrCat("HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Request-Id: ",
                                          aRequest.Header("x-request-id"),
                                          "\r\nContent-Length: ",
                                          body.size(),
                                          "\r\n\r\n",
                                          body));
  });
  std::vector<std::thread> callers;
  std::atomic<int> complete = 0;
  constexpr int kCallers = 8;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      // More than the buffers of the sockets hold; what is left in the process differs with the
      // size.
      const std::string id = absl::StrCat("slow-", caller);
      const int socket = ConnectSlowly(cluster.CallerAddress(0));
      const std::string request =
        absl::StrCat("POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\n"
                     "Authorization: Bearer key-1\r\nX-Request-Id: ",
                     id,
                     "\r\nX-Size: ",
                     400'000 + caller * 30'000,
                     "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
      send(socket, request.data(), request.size(), MSG_NOSIGNAL);
      std::string received;
      ReadUntil(socket, received, std::chrono::milliseconds(50), [&] {
        return cluster.LogOfDaemon(0).find("event=ended request=" + id) != std::string::npos;
      });
      // Longer than the daemon waits for a caller that has the whole response.
      std::this_thread::sleep_for(std::chrono::milliseconds(2'000));
      ReadUntil(socket, received, std::chrono::milliseconds(0), [] { return false; });
      close(socket);
      complete += ParseResponse(received).m_is_complete ? 1 : 0;
    });
  }
  for (std::thread& thread : callers) {
    thread.join();
  }
  CHECK(complete == kCallers);
}

// Guards against a response that is cut by the stop and looks complete to a caller of HTTP/1.0.
TEST_CASE("Stop: a response that the stop cuts looks incomplete")
{
  for (const std::string& version : { std::string("1.0"), std::string("1.1") }) {
    CAPTURE(version);
    GatewayClusterOptions options = DaemonsBefore(1, 1);
    options.m_stop_grace_s = kStopGraceS;
    GatewayCluster cluster(options);
    cluster.Endpoint(0).SetBehaviour([](RawConnection& aConnection, const RawRequest& aRequest) {
      aConnection.Write(
        WithIdOf(aRequest,
                 "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Response-Seal: s\r\n"
                 "Connection: close\r\n\r\nid: 1\ndata: a\n\n"));
      aConnection.WaitForClose();
      return false;
    });
    std::thread stopper([&] {
      cluster.Endpoint(0).WaitForRun("cut");
      cluster.Daemon(0).Signal(SIGTERM);
    });
    const ExchangeResult result = ExchangeUntilEnd(
      cluster.CallerAddress(0),
      absl::StrCat("POST /stream/x HTTP/",
                   version,
                   "\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n"
                   "X-Request-Id: cut\r\nX-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n"));
    stopper.join();
    CHECK(result.m_bytes.find("data: a") != std::string::npos);
    CHECK(
      (result.m_is_reset || (version == "1.1" && !ParseResponse(result.m_bytes).m_is_complete)));
  }
}
