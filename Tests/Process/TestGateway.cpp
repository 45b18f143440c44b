#include "GatewayCluster.h"

#include <absl/strings/str_cat.h>
#include <csignal>
#include <doctest.h>
#include <fstream>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

bool
SendEvents(RawConnection& aConnection, const RawRequest& aRequest, int aFirst, int aLast)
{
  if (aFirst == 1 || !aRequest.Header("last-event-id").empty()) {
    aConnection.Write(WithIdOf(aRequest,
                               absl::StrCat("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                            "X-Response-Seal: s",
                                            aFirst,
                                            "\r\nTransfer-Encoding: chunked\r\n\r\n")));
  }
  for (int id = aFirst; id <= aLast; ++id) {
    const std::string event = absl::StrCat("id: ", id, "\ndata: piece-", id, "\n\n");
    aConnection.Write(absl::StrCat(absl::Hex(event.size()), "\r\n", event, "\r\n"));
  }
  return true;
}

std::string
EventsThrough(int aLast)
{
  std::string events;
  for (int id = 1; id <= aLast; ++id) {
    absl::StrAppend(&events, "id: ", id, "\ndata: piece-", id, "\n\n");
  }
  return events;
}

std::string
RequestText(const std::string& aHeaders, const std::string& aBody)
{
  return "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\nConnection: close\r\n" +
         aHeaders + "\r\n" + aBody;
}

}

TEST_CASE("A caller gets the complete response of the endpoint, which gets the complete request")
{
  GatewayCluster cluster;
  for (const char* path : { "/safe/a?b=c", "/unsafe/a", "/stream/a", "/resumable/a" }) {
    const std::string id = std::string("id-") + path;
    const CallerResponse response =
      cluster.Call(path, id, "X-Own: 1\r\nX-Tenant: forged\r\nX-Hold: h\r\n");
    CHECK(response.m_status == 200);
    CHECK(response.m_is_complete);
    CHECK(response.m_body == "answer to " + id);
    CHECK(response.Header("X-Response-Seal") == "seal-1");
    CHECK(cluster.RunsOf(id) == 1);
  }
  for (std::size_t endpoint = 0; endpoint < 2; ++endpoint) {
    for (const RawRequest& request : cluster.Endpoint(endpoint).Requests()) {
      CHECK(request.m_method == "POST");
      CHECK(request.m_body == "body");
      CHECK(request.Header("x-own") == "1");
      CHECK(request.Header("x-tenant") == "w");
      CHECK(request.Header("x-hold").empty());
      CHECK(request.Header("authorization").empty());
      CHECK(request.Header("x-expect-instance") == cluster.IdOf(endpoint));
      CHECK(std::stoi(request.Header("x-deadline-ms")) <= 8'000);
    }
  }
}

TEST_CASE("Malformed and unauthorized requests never reach an endpoint")
{
  GatewayCluster cluster;
  const auto status = [&](const std::string& aBytes) {
    return ParseResponse(Exchange(cluster.CallerAddress(0), aBytes)).m_status;
  };
  const std::string smuggled = "0\r\n\r\nPOST /unsafe/y HTTP/1.1\r\nHost: h.example\r\n\r\n";
  CHECK(status(RequestText("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", smuggled)) ==
        400);
  CHECK(status(RequestText("Content-Length: 4\r\nContent-Length: 5\r\n", "abcde")) == 400);
  CHECK(status(RequestText("Content-Length: 70000\r\n", std::string(70'000, 'x'))) == 413);
  CHECK(status(RequestText("X-Large: " + std::string(40'000, 'x') + "\r\n", "")) == 431);
  CHECK(status(RequestText("Authorization: Bearer other\r\n", "")) == 401);
  CHECK(status(RequestText("", "")) == 401);
  CHECK(cluster.Call("/nowhere/x", "n").m_status == 404);
  CHECK(status("POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n") == 400);
  CHECK(cluster.Endpoint(0).Requests().empty());
  CHECK(cluster.Endpoint(1).Requests().empty());
  CHECK(cluster.Call("/safe/x", "after").m_status == 200);
}

TEST_CASE("A streamed response is complete only if the endpoint ended it")
{
  GatewayCluster cluster(1, 1);
  cluster.Endpoint(0).SetBehaviour([](RawConnection& aConnection, const RawRequest& aRequest) {
    SendEvents(aConnection, aRequest, 1, 5);
    aConnection.Write("0\r\n\r\n");
    return true;
  });
  const CallerResponse complete = cluster.Call("/stream/x", "whole");
  CHECK(complete.m_is_complete);
  CHECK(complete.m_body == EventsThrough(5));
  cluster.Endpoint(0).SetBehaviour([](RawConnection& aConnection, const RawRequest& aRequest) {
    SendEvents(aConnection, aRequest, 1, 3);
    return false;
  });
  const CallerResponse truncated = cluster.Call("/stream/x", "cut");
  CHECK(truncated.m_status == 200);
  CHECK_FALSE(truncated.m_is_complete);
  CHECK(cluster.RunsOf("cut") == 1);
}

TEST_CASE(
  "A resumable stream that breaks off is resumed at another endpoint after its last complete event")
{
  GatewayCluster cluster;
  for (std::size_t i = 0; i < 2; ++i) {
    cluster.Endpoint(i).SetBehaviour([](RawConnection& aConnection, const RawRequest& aRequest) {
      if (aRequest.Header("last-event-id").empty()) {
        SendEvents(aConnection, aRequest, 1, 3);
        // Closes the connection within the fourth event.
        aConnection.Write("6\r\nid: 4\n\r\n");
        return false;
      }
      SendEvents(aConnection, aRequest, std::stoi(aRequest.Header("last-event-id")) + 1, 6);
      aConnection.Write("0\r\n\r\n");
      return true;
    });
  }
  const CallerResponse response = cluster.Call("/resumable/x", "resumed");
  CHECK(response.m_is_complete);
  CHECK(response.m_body == EventsThrough(6));
  CHECK(response.Header("X-Response-Seal") == "s1");
  CHECK(cluster.RunsOf("resumed") == 2);
}

TEST_CASE("The request to the endpoint is cancelled when its caller disconnects")
{
  GatewayCluster cluster(1, 1);
  std::atomic<bool> is_closed = false;
  cluster.Endpoint(0).SetBehaviour([&](RawConnection& aConnection, const RawRequest&) {
    aConnection.WaitForClose();
    is_closed = true;
    return false;
  });
  const int caller = ConnectTo(cluster.CallerAddress(0));
  const std::string text =
    RequestText("Authorization: Bearer key-1\r\nX-Deadline-Ms: 8000\r\nContent-Length: 0\r\n", "");
  REQUIRE(write(caller, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
  cluster.Endpoint(0).WaitForRun("r");
  CHECK_FALSE(is_closed);
  close(caller);
  CHECK(WaitFor([&] { return is_closed.load(); }));
}

TEST_CASE("A request without a response at the route's timeout ends with 504 and is not retried")
{
  GatewayCluster cluster(1, 1);
  cluster.Configure([](nlohmann::json& aJson) {
    for (auto& route : aJson["routes"]) {
      route["timeout_ms"] = 400;
    }
  });
  REQUIRE(WaitFor(
    [&] { return cluster.LogOfDaemon(0).find("in-force version=2") != std::string::npos; }));
  cluster.Endpoint(0).SetBehaviour([](RawConnection& aConnection, const RawRequest&) {
    aConnection.WaitForClose();
    return false;
  });
  CHECK(cluster.Call("/unsafe/x", "late").m_status == 504);
  CHECK(cluster.RunsOf("late") == 1);
}

TEST_CASE(
  "A new configuration changes routes and keys, and an older or malformed one changes nothing")
{
  GatewayCluster cluster;
  CHECK(cluster.Call("/safe/x", "a").m_status == 200);
  cluster.Configure([](nlohmann::json& aJson) { aJson["routes"].erase(0); });
  CHECK(WaitFor([&] { return cluster.Call("/safe/x", "b").m_status == 404; }));
  cluster.Configure([](nlohmann::json& aJson) { aJson["tenants"][0]["api_keys"] = { "other" }; });
  CHECK(WaitFor([&] { return cluster.Call("/unsafe/x", "c").m_status == 401; }));
  // A version that is older or malformed changes nothing.
  cluster.Store().Put("keyed.op", "config", R"({"version": 1, "routes": [], "tenants": []})");
  cluster.Store().Put("keyed.op", "config", R"({"version": 99, "routes": 5})");
  cluster.Configure([](nlohmann::json& aJson) { aJson["tenants"][0]["name"] = "renamed"; });
  CHECK(WaitFor([&] { return cluster.Call("/safe/x", "d").m_status == 200; }));
}

TEST_CASE("A daemon that stops finishes running requests, reports not ready, and exits with 0")
{
  GatewayCluster cluster(2, 1);
  std::atomic<bool> may_respond = false;
  cluster.Endpoint(0).SetBehaviour([&](RawConnection& aConnection, const RawRequest& aRequest) {
    WaitFor([&] { return may_respond.load(); });
    return RespondWithSuccess(aConnection, aRequest);
  });
  std::thread caller([&] {
    const CallerResponse response = cluster.Call("/unsafe/x", "running");
    CHECK(response.m_status == 200);
    CHECK(response.m_is_complete);
  });
  cluster.Endpoint(0).WaitForRun("running");
  cluster.Daemon(0).Signal(SIGTERM);
  const std::string readiness_request =
    "GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  CHECK(WaitFor([&] {
    return ParseResponse(Exchange(cluster.ReadinessAddress(0), readiness_request)).m_status == 503;
  }));
  CHECK(WaitFor([&] {
    const auto response = ParseResponse(
      Exchange(cluster.DirectoryAddress(1),
               "GET /resolve?name=h.example HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
    return response.m_status == 200 &&
           response.m_body.find(cluster.CallerAddress(0).Value()) == std::string::npos &&
           response.m_body.find(cluster.CallerAddress(1).Value()) != std::string::npos;
  }));
  may_respond = true;
  caller.join();
  CHECK(WaitFor([&] { return cluster.Daemon(0).ExitStatus().has_value(); }));
  CHECK(cluster.Daemon(0).ExitStatus() == 0);
  CHECK_FALSE(cluster.Store().Newest("keyed.hosts", "gateway-0"));
}

TEST_CASE("A daemon that stops turns away late requests, and running ones still end complete")
{
  GatewayCluster cluster(2, 1);
  std::atomic<bool> may_respond = false;
  cluster.Endpoint(0).SetBehaviour([&](RawConnection& aConnection, const RawRequest& aRequest) {
    if (aRequest.Header("x-request-id") == "running") {
      WaitFor([&] { return may_respond.load(); });
    }
    return RespondWithSuccess(aConnection, aRequest);
  });
  std::thread caller([&] { CHECK(cluster.Call("/unsafe/x", "running").m_is_complete); });
  cluster.Endpoint(0).WaitForRun("running");
  cluster.Daemon(0).Signal(SIGTERM);
  int number = 0;
  CallerResponse refused;
  CHECK(WaitFor([&] {
    refused = cluster.Call("/unsafe/x", "late-" + std::to_string(++number));
    return refused.m_status == 503;
  }));
  CHECK_FALSE(refused.Header("Retry-After").empty());
  CHECK(cluster.RunsOf("late-" + std::to_string(number)) == 0);
  may_respond = true;
  caller.join();
  CHECK(WaitFor([&] { return cluster.Daemon(0).ExitStatus().has_value(); }));
  CHECK(cluster.Daemon(0).ExitStatus() == 0);
}

TEST_CASE(
  "A request that comes before the configuration is served once the configuration is applied")
{
  GatewayCluster cluster(1, 1);
  cluster.Daemon(0).Signal(SIGKILL);
  CHECK(WaitFor([&] { return cluster.Daemon(0).ExitStatus().has_value(); }));
  cluster.StartDaemon(0);
  int status = 0;
  CHECK(WaitFor([&] {
    status = cluster.Call("/unsafe/x", "early").m_status;
    return status != 0;
  }));
  CHECK(status == 200);
}

TEST_CASE("SIGHUP reloads the settings and the daemon keeps serving")
{
  GatewayCluster cluster(1, 1);
  cluster.Daemon(0).Signal(SIGHUP);
  CHECK(
    WaitFor([&] { return cluster.LogOfDaemon(0).find("event=reloaded") != std::string::npos; }));
  CHECK(cluster.Call("/safe/x", "after").m_status == 200);
}

TEST_CASE("A daemon that gets SIGHUP while it reads its settings starts and then reloads them")
{
  GatewayCluster cluster(1, 1);
  cluster.Daemon(0).Signal(SIGKILL);
  REQUIRE(WaitFor([&] { return cluster.Daemon(0).ExitStatus().has_value(); }));
  const std::filesystem::path path = cluster.SettingsPath(0);
  const std::filesystem::path file = path.string() + ".file";
  std::filesystem::rename(path, file);
  std::stringstream settings;
  settings << std::ifstream(file).rdbuf();
  REQUIRE(mkfifo(path.c_str(), 0600) == 0);
  cluster.StartDaemonAsItIs(0);
  // Opens once the daemon has opened the other end.
  std::ofstream pipe(path);
  cluster.Daemon(0).Signal(SIGHUP);
  std::filesystem::rename(file, path);
  pipe << settings.str();
  pipe.close();
  cluster.WaitUntilReady(0);
  CHECK(
    WaitFor([&] { return cluster.LogOfDaemon(0).find("event=reloaded") != std::string::npos; }));
}

TEST_CASE("Metrics count attempts by their outcome")
{
  GatewayCluster cluster(1, 1);
  cluster.Call("/safe/x", "a");
  const auto metrics = ParseResponse(Exchange(
    cluster.MetricsAddress(0), "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
  CHECK(metrics.m_status == 200);
  CHECK(metrics.m_body.find("auburnhitch_attempts_ended_total{outcome=\"done\",service=\"s\"} 1") !=
        std::string::npos);
}
