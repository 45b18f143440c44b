#include "GatewayCluster.h"

#include <absl/strings/str_cat.h>
#include <doctest.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

std::string
HeadOf(const char* aPath, const char* aKey, std::size_t aBodyBytes)
{
  return absl::StrCat("POST ",
                      aPath,
                      " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer ",
                      aKey,
                      "\r\nX-Request-Id: early\r\nContent-Length: ",
                      aBodyBytes,
                      "\r\n\r\n");
}

}

// Guards against bodies that are received although their heads already decide the refusal.
TEST_CASE("Early refusals: a head decides before the body comes")
{
  GatewayCluster cluster(1, 1);
  constexpr std::size_t kBodyBytes = 1'000;
  const auto status_of = [&](const char* aPath, const char* aKey) {
    const CallerResponse response =
      ParseResponse(Exchange(cluster.CallerAddress(0), HeadOf(aPath, aKey, kBodyBytes)));
    CHECK(response.m_is_complete);
    CHECK(response.Header("x-request-id") == "early");
    CHECK(response.Header("connection") == "close");
    return response.m_status;
  };
  CHECK(status_of("/no-route", "key-1") == 404);
  CHECK(status_of("/unsafe/x", "no-key") == 401);
  CHECK(cluster.RunsOf("early") == 0);
  // One that is not refused is served when its body has come.
  const std::string request =
    absl::StrCat(HeadOf("/unsafe/x", "key-1", kBodyBytes), std::string(kBodyBytes, 'x'));
  const int socket = ConnectTo(cluster.CallerAddress(0));
  REQUIRE(send(socket, request.data(), request.size() - 1, MSG_NOSIGNAL) > 0);
  CHECK(cluster.Call("/no-route", "between").m_status == 404);
  REQUIRE(send(socket, &request.back(), 1, MSG_NOSIGNAL) == 1);
  cluster.Endpoint(0).WaitForRun("early");
  close(socket);
}

// Guards against a refusal that is lost because the connection closes while a caller, which writes
// its whole request before it reads, still sends a body of legal size: its write then fails.
TEST_CASE("Early refusals: a caller that writes its whole body first reads the refusal")
{
  GatewayCluster cluster(1, 1);
  constexpr std::size_t kBodyBytes = 4 << 20;
  cluster.Configure([&](nlohmann::json& aJson) { aJson["limits"]["max_body_bytes"] = kBodyBytes; });
  const std::string request =
    absl::StrCat(HeadOf("/no-route", "key-1", kBodyBytes), std::string(kBodyBytes, 'x'));
  CHECK(WaitFor(
    [&] { return cluster.LogOfDaemon(0).find("event=in-force version=2") != std::string::npos; }));
  constexpr int kCallers = 5;
  for (int caller = 0; caller < kCallers; ++caller) {
    const int socket = ConnectTo(cluster.CallerAddress(0));
    // The kernel does not take the whole request on behalf of the caller.
    const int buffer_bytes = 64 << 10;
    setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &buffer_bytes, sizeof(buffer_bytes));
    CHECK(send(socket, request.data(), request.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(request.size()));
    std::string received;
    char buffer[4096];
    for (ssize_t size = 0; (size = recv(socket, buffer, sizeof(buffer), 0)) > 0;) {
      received.append(buffer, static_cast<std::size_t>(size));
    }
    close(socket);
    CHECK(ParseResponse(received).m_status == 404);
  }
}
