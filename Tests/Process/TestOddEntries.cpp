#include "Cluster.h"
#include "GatewayCluster.h"

#include <LibCluster/Heartbeat.h>
#include <LibHttp/HttpServer.h>
#include <absl/strings/str_cat.h>
#include <csignal>
#include <doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

std::string
NestedArrays(std::size_t aLevels)
{
  return std::string(aLevels, '[') + std::string(aLevels, ']');
}

/// Sends one datagram to a UDP port.
void
SendDatagram(const SocketAddress& aTo, const std::string& aBytes)
{
  const sockaddr_in name = ToSockaddr(aTo).value();
  const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  CHECK(sendto(descriptor,
               aBytes.data(),
               aBytes.size(),
               0,
               reinterpret_cast<const sockaddr*>(&name),
               sizeof(name)) == static_cast<ssize_t>(aBytes.size()));
  close(descriptor);
}

bool
HasLogged(const GatewayCluster& aCluster, const std::string& aText)
{
  return aCluster.LogOfDaemon(0).find(aText) != std::string::npos;
}

}

TEST_CASE("Odd entries: a deeply nested document, by an operator or in the log, ends no daemon")
{
  ClusterOptions options;
  options.m_daemons = 1;
  Cluster cluster(options);
  const std::string nested =
    absl::StrCat(R"({"type":"publication","id":"x","service":"desk","base":1,"document":)",
                 NestedArrays(1'000'000),
                 "}");
  cluster.Caller().Call(cluster.OperatorAddress(0), { "POST", "/publications", {}, nested });
  const auto appended = cluster.Caller().Call(
    cluster.StandInAddress("log"), { "POST", "/v1/streams/documents/records", {}, nested });
  CHECK(appended->m_status == 200);
  cluster.Publish(0, cluster.DocumentOf("desk", 2), 1);
  CHECK(cluster.Caller().RunUntil([&] { return cluster.IsInForceEverywhere("desk", 2); }));
  CHECK_FALSE(cluster.Process(0).ExitStatus().has_value());
}

TEST_CASE("Odd entries: a deeply nested message from a peer's address ends no daemon")
{
  GatewayCluster cluster(1, 1);
  // 0x91 begins a MessagePack array of one element.
  const std::string nested(64'000, '\x91');
  const std::string length{ '\0', '\0', '\xfa', '\0' };
  Exchange(cluster.PeerAddress(0), length + nested);
  SendDatagram(cluster.PeerAddress(0), std::string(1'400, '\x91'));
  CHECK(cluster.Call("/unsafe/x", "r1").m_status == 200);
  CHECK_FALSE(cluster.Daemon(0).ExitStatus().has_value());
}

TEST_CASE("Odd entries: a heartbeat with an address that is no address ends no daemon")
{
  GatewayCluster cluster(1, 1);
  for (const char* address : { "\xff\xfe", "127.0.0.1:99999", "" }) {
    Heartbeat heartbeat;
    heartbeat.m_member = Member{ HostName("odd"),
                                 Incarnation("1"),
                                 DataCenterName("dc"),
                                 SocketAddress("127.0.0.1:9"),
                                 SocketAddress(address),
                                 false,
                                 true };
    SendDatagram(cluster.PeerAddress(0), EncodeHeartbeat(heartbeat));
    const std::string directory =
      Exchange(cluster.DirectoryAddress(0), "GET /resolve HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(ParseResponse(directory).m_status == 200);
  }
  CHECK(WaitFor([&] { return HasLogged(cluster, "event=beacon-malformed"); }));
  CHECK_FALSE(HasLogged(cluster, "peer=odd"));
  CHECK_FALSE(cluster.Daemon(0).ExitStatus().has_value());
}

TEST_CASE("Odd entries: a malformed record of the store does not hide those after it")
{
  GatewayCluster cluster(1, 2);
  // Empty, and a key that is longer than the record.
  cluster.Store().PutRecord("keyed.servers", "");
  cluster.Store().PutRecord("keyed.servers", "\x50i-9");
  cluster.Store().PutRecord("keyed.op", "");
  cluster.Register(0, "draining");
  CHECK(WaitFor([&] { return HasLogged(cluster, "event=draining endpoint=i-0"); }));
  cluster.Configure();
  CHECK(WaitFor([&] { return HasLogged(cluster, "in-force version=2"); }));
}

TEST_CASE("Odd entries: a malformed item in the store's list does not keep a daemon from starting")
{
  GatewayCluster cluster(1, 2);
  for (const char* item : { R"({"key": "\ud800", "value": "e30="})",
                            "{\"key\": \"\xff\xfe\", \"value\": \"e30=\"}",
                            R"({"key": 5, "value": "e30="})",
                            R"({"key": "i-9", "value": "!"})",
                            R"({"value": "e30="})",
                            "[]" }) {
    CAPTURE(item);
    cluster.Store().SetOddItem("keyed.servers", item);
    cluster.Daemon(0).Signal(SIGKILL);
    REQUIRE(WaitFor([&] { return cluster.Daemon(0).ExitStatus().has_value(); }));
    cluster.StartDaemon(0);
    cluster.WaitUntilReady(0);
    CHECK(cluster.Call("/unsafe/x", absl::StrCat("r-", item)).m_status == 200);
  }
}

TEST_CASE("Odd entries: an id that is no header value names no endpoint")
{
  GatewayCluster cluster(1, 1);
  const std::string entry = cluster.Store().Newest("keyed.servers", "i-0").value();
  for (const std::string id : { "i-9\r\nX-Tenant: other", "i-9\nevent=forged", "\xff\xfe", "" }) {
    cluster.Store().Put("keyed.servers", id, entry);
  }
  cluster.Deregister(0);
  CHECK(WaitFor([&] { return HasLogged(cluster, "event=removed endpoint=i-0"); }));
  CHECK(cluster.Call("/unsafe/x", "r1").m_status == 503);
  CHECK(cluster.Endpoint(0).Requests().empty());
  CHECK_FALSE(HasLogged(cluster, "\nevent=forged"));
}

// Guards against requests that go to a service which another writer names for a former endpoint.
TEST_CASE(
  "Odd entries: one without a start time, under the id of an endpoint that left, names none")
{
  GatewayCluster cluster(1, 2);
  nlohmann::json entry =
    nlohmann::json::parse(cluster.Store().Newest("keyed.servers", "i-0").value());
  entry.erase("born");
  cluster.Deregister(0);
  REQUIRE(WaitFor([&] { return HasLogged(cluster, "event=removed endpoint=i-0"); }));
  cluster.Store().Put("keyed.servers", cluster.IdOf(0), entry.dump());
  // Records are applied in order.
  cluster.Register(1, "draining");
  REQUIRE(WaitFor([&] { return HasLogged(cluster, "event=draining endpoint=i-1"); }));
  CHECK(cluster.Call("/unsafe/x", "r1").m_status == 503);
  CHECK(cluster.Endpoint(0).Requests().empty());
}

TEST_CASE("Odd entries: a thousand of them do not flood the log")
{
  GatewayCluster cluster(1, 1);
  constexpr int kEntries = 1'000;
  for (int i = 0; i < kEntries; ++i) {
    cluster.Store().Put("keyed.servers", absl::StrCat("odd-", i), "{}");
  }
  cluster.Register(0, "draining");
  CHECK(WaitFor([&] { return HasLogged(cluster, "event=draining endpoint=i-0"); }));
  const std::string log = cluster.LogOfDaemon(0);
  int lines = 0;
  for (auto at = log.find("event=record-malformed"); at != std::string::npos;
       at = log.find("event=record-malformed", at + 1)) {
    ++lines;
  }
  CHECK(lines > 0);
  CHECK(lines < kEntries / 10);
}
