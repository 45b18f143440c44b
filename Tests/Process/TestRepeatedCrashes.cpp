#include "CrashingCluster.h"

#include <absl/strings/str_cat.h>
#include <doctest.h>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

using Ms = std::chrono::milliseconds;

constexpr std::size_t kFewEndpoints = 3;
constexpr std::size_t kMoreEndpoints = 9;
constexpr std::size_t kHarmlessCallers = 6;
constexpr std::size_t kCrashesUntilBound = 3;

/// A request that crashes each endpoint that runs it.
struct HarmfulRequest
{
  const char* m_target;
  const char* m_body;
};

constexpr HarmfulRequest kSafe{ "/safe/x?lot=7", "bad-0" };
constexpr HarmfulRequest kUnsafe{ "/unsafe/x", "bad-1" };
constexpr HarmfulRequest kResumable{ "/resumable/x", "bad-2" };

CrashingClusterOptions
OptionsOf(std::size_t aEndpoints, bool aHasPeerNetwork = false, bool aKeepsIds = false)
{
  return { aEndpoints, kHarmlessCallers, aHasPeerNetwork, aKeepsIds, kCrashesUntilBound };
}

/// A cluster whose endpoints crash under whole requests, which come again and again from the same
/// caller, with a length or in chunks. Among the harmless ones are a popular one that many send,
/// others with the same target, and the harmful bodies at other targets.
class RequestCluster
{
public:
  RequestCluster(std::vector<HarmfulRequest> aHarmful, CrashingClusterOptions aOptions)
    : m_harmful(std::move(aHarmful))
    , m_cluster(aOptions,
                { [this](const RawRequest& aRequest) { return HarmOf(aRequest); },
                  [](RawConnection& aConnection, const RawRequest& aRequest, bool aCrashes) {
                    return !aCrashes && RespondWithSuccess(aConnection, aRequest);
                  } })
  {
  }

  CrashingCluster& operator*() { return m_cluster; }
  CrashingCluster* operator->() { return &m_cluster; }

  void Run(const std::function<void()>& aAction = {})
  {
    CrashingCluster::Load load;
    load.m_send_harmless = [this](std::size_t aDaemon) {
      const int number = ++m_last_number;
      switch (number % 4) {
        case 0:
          return Call(aDaemon, "/safe/popular", "", false) == 200;
        case 1:
          return Call(aDaemon, kSafe.m_target, absl::StrCat("lot ", number), false) == 200;
        case 2:
          return Call(aDaemon, "/safe/other", kSafe.m_body, true) == 200;
        default:
          return Call(aDaemon, "/unsafe/x", absl::StrCat("bid ", number), true) == 200;
      }
    };
    for (const HarmfulRequest& harmful : m_harmful) {
      load.m_send_harmful.emplace_back([this, harmful](std::size_t aDaemon, int aNumber) {
        Call(aDaemon, harmful.m_target, harmful.m_body, aNumber % 2 == 0);
      });
    }
    m_cluster.Run(load, aAction);
  }

  std::size_t Crashes()
  {
    std::size_t crashes = 0;
    for (const HarmfulRequest& harmful : m_harmful) {
      crashes += m_cluster.Checker().CrashesOf(NameOf(harmful));
    }
    return crashes;
  }

private:
  static std::string NameOf(const HarmfulRequest& aHarmful)
  {
    return absl::StrCat(aHarmful.m_target, " ", aHarmful.m_body);
  }

  std::string HarmOf(const RawRequest& aRequest) const
  {
    for (const HarmfulRequest& harmful : m_harmful) {
      if (aRequest.m_target == harmful.m_target && aRequest.m_body == harmful.m_body) {
        return NameOf(harmful);
      }
    }
    return "";
  }

  int Call(std::size_t aDaemon,
           const std::string& aTarget,
           const std::string& aBody,
           bool aIsChunked)
  {
    const std::string chunks =
      aBody.empty() ? "0\r\n\r\n"
                    : absl::StrCat(absl::Hex(aBody.size()), "\r\n", aBody, "\r\n0\r\n\r\n");
    const std::string body = aIsChunked
                               ? absl::StrCat("Transfer-Encoding: chunked\r\n\r\n", chunks)
                               : absl::StrCat("Content-Length: ", aBody.size(), "\r\n\r\n", aBody);
    return ParseResponse(
             Exchange(m_cluster.Daemons().CallerAddress(aDaemon),
                      absl::StrCat("POST ",
                                   aTarget,
                                   " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: ",
                                   m_cluster.NewRequestId(aDaemon),
                                   "\r\nAuthorization: Bearer key-1\r\nX-Deadline-Ms: 3000\r\n"
                                   "Connection: close\r\n",
                                   body)))
      .m_status;
  }

  std::vector<HarmfulRequest> m_harmful;
  std::atomic<int> m_last_number = 0;
  CrashingCluster m_cluster;
};

}

TEST_CASE("Repeated crashes: a request that crashes endpoints is refused, others are served")
{
  for (const std::size_t endpoints : { kFewEndpoints, kMoreEndpoints }) {
    RequestCluster cluster({ kSafe }, OptionsOf(endpoints));
    cluster.Run();
    CHECK(cluster->FirstViolation() == "none");
    CHECK(cluster.Crashes() > 0);
    CHECK(cluster->HarmlessShareKept() >= 0.5);
  }
}

TEST_CASE("Repeated crashes: two requests, one of which must not run twice, are both refused")
{
  for (const std::size_t endpoints : { kFewEndpoints, kMoreEndpoints }) {
    RequestCluster cluster({ kSafe, kUnsafe }, OptionsOf(endpoints));
    cluster.Run();
    CHECK(cluster->FirstViolation() == "none");
    CHECK(cluster.Crashes() > 0);
    CHECK(cluster->HarmlessShareKept() >= 0.5);
  }
}

TEST_CASE("Repeated crashes: a request is known again at endpoints that start under the same id")
{
  RequestCluster cluster({ kResumable }, OptionsOf(kFewEndpoints, false, true));
  cluster.Run();
  CHECK(cluster->FirstViolation() == "none");
  CHECK(cluster.Crashes() > 0);
  CHECK(cluster->HarmlessShareKept() >= 0.5);
}

TEST_CASE("Repeated crashes: a request is found beside crashes for other reasons")
{
  RequestCluster cluster({ kSafe }, OptionsOf(kMoreEndpoints));
  cluster.Run([&] {
    for (std::size_t crash = 0; crash < 8; ++crash) {
      std::this_thread::sleep_for(Ms(1'500));
      cluster->Crash(crash % kMoreEndpoints);
    }
    std::this_thread::sleep_for(Ms(4'000));
  });
  CHECK(cluster->FirstViolation() == "none");
  CHECK(cluster->HarmlessShareKept() >= 0.5);
}

TEST_CASE("Repeated crashes: no request is refused when endpoints crash for other reasons")
{
  RequestCluster cluster({}, OptionsOf(kMoreEndpoints));
  cluster.Run([&] {
    for (std::size_t crash = 0; crash < 12; ++crash) {
      std::this_thread::sleep_for(Ms(700));
      cluster->Crash(crash % kMoreEndpoints);
      cluster->Crash(crash % 3 == 0 ? (crash + 4) % kMoreEndpoints : crash % kMoreEndpoints);
    }
    std::this_thread::sleep_for(Ms(4'000));
  });
  CHECK_FALSE(cluster->IsLogged("harmful-prompt"));
  CHECK(cluster->HarmlessShareKept() >= 0.5);
}

TEST_CASE("Repeated crashes: what is known of a request outlasts the coordinator")
{
  RequestCluster cluster({ kSafe }, OptionsOf(kFewEndpoints));
  cluster.Run([&] { cluster->RestartDaemonsInTurn(); });
  CHECK(cluster->FirstViolation() == "none");
  CHECK(cluster.Crashes() > 0);
}

TEST_CASE("Repeated crashes: daemons that are cut off from each other stop as well")
{
  constexpr Ms kCutTime{ 8'000 };
  for (const std::size_t isolated : { std::size_t{ 1 }, CrashingCluster::kDaemons }) {
    RequestCluster cluster({ kSafe }, OptionsOf(kMoreEndpoints, true));
    PeerNetwork& network = cluster->Daemons().Network();
    for (std::size_t daemon = 0; daemon < isolated; ++daemon) {
      network.SetIsolated(daemon, true);
    }
    cluster.Run([&] {
      std::this_thread::sleep_for(kCutTime);
      for (std::size_t daemon = 0; daemon < isolated; ++daemon) {
        network.SetIsolated(daemon, false);
      }
      std::this_thread::sleep_for(kCutTime);
    });
    CHECK(network.HeldBackCount() > 0);
    CHECK(cluster->FirstViolation() == "none");
    CHECK(cluster.Crashes() > 0);
    CHECK(cluster->HarmlessShareKept() >= 0.5);
  }
}
