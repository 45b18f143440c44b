#include "GatewayCluster.h"
#include "HostileCrowd.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <doctest.h>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

// The smallest hosts have 160 MB and accept bodies of 4 MiB. These tests accept a quarter of such a
// body, so the daemon may use a quarter of such a host.
constexpr std::size_t kMaxBodyBytes = 1 << 20;
constexpr std::size_t kMaxResidentBytes = 40 << 20;
// The smallest number that the settings accept.
constexpr std::size_t kMaxDescriptors = 400;
constexpr std::size_t kCrowd = 80;
constexpr int kRounds = 2;
// Far above the limit of a body, as a caller that ignores its refusal sends.
constexpr std::size_t kOversizedBytes = 16 << 20;

class HostileCluster
{
public:
  HostileCluster()
    : m_cluster(Options())
  {
    m_cluster.Configure(
      [](nlohmann::json& aJson) { aJson["limits"]["max_body_bytes"] = kMaxBodyBytes; });
    REQUIRE(WaitFor([&] { return AnswersBodyOf(kMaxBodyBytes); }));
  }

  GatewayCluster& Gateway() { return m_cluster; }

  /// Sends a crowd of one shape to each address of the daemon in turn, and checks the daemon.
  void SendToAllAddresses(const CrowdShape& aShape)
  {
    for (const SocketAddress& address : { m_cluster.CallerAddress(0),
                                          m_cluster.ReadinessAddress(0),
                                          m_cluster.DirectoryAddress(0),
                                          m_cluster.MetricsAddress(0),
                                          m_cluster.PeerAddress(0) }) {
      Send(address, aShape);
    }
  }

  void Send(const SocketAddress& aAddress, const CrowdShape& aShape)
  {
    CAPTURE(aAddress.Value());
    for (int round = 0; round < kRounds; ++round) {
      HostileCrowd crowd(aAddress, aShape, kCrowd);
      crowd.SendUntilClosedOrStalled();
      CHECK(OpenDescriptorsOf(m_cluster.Daemon(0).Pid()) <= kMaxDescriptors);
    }
    CheckDaemon();
  }

  void CheckDaemon()
  {
    CHECK_FALSE(m_cluster.Daemon(0).ExitStatus().has_value());
    const std::size_t peak = PeakResidentBytesOf(m_cluster.Daemon(0).Pid());
    MESSAGE("peak resident memory: ", peak >> 10, " KiB");
#ifndef __SANITIZE_ADDRESS__
    // The quarantine of the address sanitizer keeps freed memory resident.
    CHECK(peak <= kMaxResidentBytes);
#endif
    CHECK(WaitFor([&] { return m_cluster.Call("/unsafe/x", "after").m_status == 200; }));
  }

private:
  static GatewayClusterOptions Options()
  {
    GatewayClusterOptions options;
    options.m_endpoints = 1;
    options.m_settings = { { "max_descriptors", kMaxDescriptors },
                           { "max_memory_mb", kMaxResidentBytes >> 20 } };
    return options;
  }

  bool AnswersBodyOf(std::size_t aBytes)
  {
    return ParseResponse(
             Exchange(
               m_cluster.CallerAddress(0),
               absl::StrCat(
                 "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: "
                 "Bearer key-1\r\nX-Request-Id: probe\r\nConnection: close\r\nContent-Length: ",
                 aBytes,
                 "\r\n\r\n",
                 std::string(aBytes, 'x'))))
             .m_status == 200;
  }

  GatewayCluster m_cluster;
};

std::string
HeadOf(const std::string& aPath, const std::string& aFields)
{
  return absl::StrCat(
    "POST ",
    aPath,
    " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\nX-Request-Id: crowd\r\n",
    aFields,
    "\r\n");
}

std::string
LengthOf(std::size_t aBytes)
{
  return absl::StrCat("Content-Length: ", aBytes, "\r\n");
}

std::string
ChunkOf(std::size_t aBytes)
{
  return absl::StrCat(absl::StrFormat("%x\r\n", aBytes), std::string(aBytes, 'x'), "\r\n");
}

constexpr const char* kChunked = "Transfer-Encoding: chunked\r\n";
constexpr std::size_t kBlock = 64 << 10;

}

// One case runs at a time: Meta/run-tests.sh gives the suite a part of its own.
TEST_SUITE("hostile callers")
{
  // Guards against memory that is kept for a body after its refusal.
  TEST_CASE("Hostile callers: bodies far over the limit by their length, sent on after the refusal")
  {
    HostileCluster cluster;
    for (const char* path : { "/unsafe/x", "/no-route" }) {
      cluster.SendToAllAddresses({ HeadOf(path, LengthOf(std::size_t(400) << 20)),
                                   std::string(kBlock, 'x'),
                                   kOversizedBytes });
    }
  }

  // Guards against a refusal that is lost because the connection closes on unread bytes.
  TEST_CASE("Hostile callers: a caller that writes its whole request first reads its refusal")
  {
    HostileCluster cluster;
    constexpr std::size_t kDeclaredBytes = 2 << 20;
    constexpr std::size_t kBytesSent = 200 << 10;
    const GatewayCluster& gateway = cluster.Gateway();
    for (const SocketAddress& address : { gateway.CallerAddress(0),
                                          gateway.ReadinessAddress(0),
                                          gateway.DirectoryAddress(0),
                                          gateway.MetricsAddress(0) }) {
      CAPTURE(address.Value());
      const std::string request =
        absl::StrCat(HeadOf("/unsafe/x", LengthOf(kDeclaredBytes)), std::string(kBytesSent, 'x'));
      CHECK(ParseResponse(Exchange(address, request)).m_status == 413);
    }
  }

  // Guards against memory that is kept for chunks after their refusal.
  TEST_CASE("Hostile callers: bodies far over the limit in chunks, sent on after the refusal")
  {
    HostileCluster cluster;
    cluster.SendToAllAddresses({ HeadOf("/unsafe/x", kChunked), ChunkOf(kBlock), kOversizedBytes });
  }

  // Guards against incomplete bodies of legal size that together fill the memory.
  TEST_CASE("Hostile callers: bodies that stop one byte short of their length")
  {
    HostileCluster cluster;
    for (const char* path : { "/unsafe/x", "/no-route" }) {
      const std::string head = HeadOf(path, LengthOf(kMaxBodyBytes));
      cluster.Send(cluster.Gateway().CallerAddress(0),
                   { absl::StrCat(head, std::string(kMaxBodyBytes - 1, 'x')), "", 0 });
      cluster.Send(cluster.Gateway().CallerAddress(0),
                   { head, std::string(1'000, 'x'), kMaxBodyBytes - 1'000 });
    }
  }

  // Guards against incomplete chunked bodies of legal size that together fill the memory.
  TEST_CASE("Hostile callers: chunked bodies that stop short of their end")
  {
    HostileCluster cluster;
    cluster.Send(cluster.Gateway().CallerAddress(0),
                 { HeadOf("/unsafe/x", kChunked), ChunkOf(1'000), kMaxBodyBytes - 20'000 });
  }

  // Guards against the overhead of very small chunks.
  TEST_CASE("Hostile callers: chunks of 8 bytes without end")
  {
    HostileCluster cluster;
    std::string chunks;
    for (int chunk = 0; chunk < 1'000; ++chunk) {
      chunks += ChunkOf(8);
    }
    cluster.SendToAllAddresses({ HeadOf("/unsafe/x", kChunked), chunks, kOversizedBytes / 4 });
  }

  // Guards against the overhead of very many header fields.
  TEST_CASE("Hostile callers: heads of very many short fields")
  {
    HostileCluster cluster;
    std::string fields;
    for (int field = 0; field < 2'000; ++field) {
      fields += "a:b\r\n";
    }
    cluster.SendToAllAddresses({ HeadOf("/unsafe/x", fields + LengthOf(1)), "", 0 });
  }

  // Guards against requests, or their responses, that are kept while nobody reads a response.
  TEST_CASE("Hostile callers: many requests sent ahead on a connection that is not read")
  {
    HostileCluster cluster;
    const std::string request = HeadOf("/no-route", LengthOf(0));
    cluster.SendToAllAddresses({ "", request, request.size() * 3'000 });
    cluster.SendToAllAddresses({ "", "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 100'000 });
  }

  // Guards against responses that are kept for callers that do not read them.
  TEST_CASE("Hostile callers: responses that nobody reads")
  {
    HostileCluster cluster;
    cluster.Gateway().Endpoint(0).SetBehaviour(
      [](RawConnection& aConnection, const RawRequest& aRequest) {
        if (aRequest.Header("x-request-id") == "after") {
          return RespondWithSuccess(aConnection, aRequest);
        }
        constexpr std::size_t kResponseBytes = 2 << 20;
        aConnection.Write(absl::StrCat("HTTP/1.1 200 OK\r\n", LengthOf(kResponseBytes), "\r\n"));
        aConnection.Write(std::string(kResponseBytes, 'x'));
        return true;
      });
    cluster.Send(cluster.Gateway().CallerAddress(0), { HeadOf("/unsafe/x", LengthOf(0)), "", 0 });
  }

  // Guards against connections that send little, or stop halfway.
  TEST_CASE("Hostile callers: requests that stop halfway or arrive in single bytes")
  {
    HostileCluster cluster;
    const std::string head = HeadOf("/unsafe/x", LengthOf(100));
    cluster.SendToAllAddresses({ head.substr(0, head.size() / 2), "", 0 });
    cluster.SendToAllAddresses({ head, "x", 50 });
    cluster.SendToAllAddresses({ "", "", 0 });
  }
}
