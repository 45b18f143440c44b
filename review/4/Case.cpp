// The store is away for a moment and comes back from a copy some seconds old. Afterwards a server
// leaves and a key is withdrawn, and clients call all daemons.

#include "../stand-in/Deployment.h"

#include <algorithm>
#include <atomic>
#include <unistd.h>

namespace review {

namespace {

constexpr int kDaemons = 8;
constexpr int kDrainMs = 2'000;
constexpr int kContactMs = 3'000;
constexpr int kAwayMs = 300;
// Without records, so that all daemons have read what there is.
constexpr int kQuietMs = 1'500;
constexpr int kHeartbeatMs = 1'200;
// A request that is sent this long after the bound is surely beyond it.
constexpr int kMarginMs = 300;
constexpr int kLingerMs = 5'000;
constexpr int kWorkMs = 30;
// Three heartbeat intervals of silence.
constexpr int kLapseMs = 3 * kHeartbeatMs;

std::string
Configuration(int aVersion, int aTimeoutMs)
{
  const auto route = [aTimeoutMs](const std::string& aName, const std::string& aService) {
    return R"({"name":")" + aName + R"(","host":"h.example","path_prefix":"/)" + aName +
           R"(/","route_kind":"unsafe","timeout_ms":)" + std::to_string(aTimeoutMs) +
           R"(,"slo_ms":300,"priority":0,"service":")" + aService + R"(","attempts":1})";
  };
  return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" +
         route("pujas", "mesa-subasta") + "," + route("lotes", "mesa-lotes") +
         R"(],"services":[{"name":"mesa-subasta"},{"name":"mesa-lotes"}],)" +
         R"("tenants":[{"name":"ejido","api_keys":["key-1"]}],)" +
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,)" +
         R"("header_timeout_ms":5000,"idle_timeout_ms":10000}})";
}

class Case
{
public:
  Case(const std::string& aProgram, const std::string& aDirectory)
    : m_store("127.0.0.1")
  {
    m_store.Put("keyed.op", "config", Configuration(10, 3'000));
    for (const char* service : { "mesa-subasta", "mesa-lotes" }) {
      for (int i = 1; i <= 3; ++i) {
        m_servers.push_back(std::make_unique<AppServer>(
          "127.0.0.1", std::string("i-") + service + "-" + std::to_string(i), service));
        m_servers.back()->SetWork([](const Message&) {
          SleepMs(kWorkMs);
          return std::string("registered");
        });
        Register(*m_servers.back(), "ready");
      }
    }
    for (int i = 1; i <= kDaemons; ++i) {
      m_daemons.push_back(
        std::make_unique<DaemonProcess>(aProgram,
                                        aDirectory,
                                        DaemonOptions{ "edge-zona-a-" + std::to_string(i),
                                                       "zona-a",
                                                       "127.0.0.1",
                                                       m_store.Address(),
                                                       i == 1 ? "0.5" : "0.25" }));
      m_daemons.back()->Start();
    }
  }

  int Play()
  {
    if (!WaitUntilReady(m_daemons)) {
      Record("the daemons did not become ready");
      return kCouldNotRun;
    }
    SleepMs(kContactMs);
    if (!AreServedEverywhere()) {
      Record("requests failed before the disruption");
      return kCouldNotRun;
    }
    const Store::Copy copy = m_store.TakeCopy();
    Record("the copy is taken: keyed.servers ends at " + End());
    // One server of each service leaves as planned, within the seconds that the copy lacks.
    LeaveAndEnd({ m_servers[2].get(), m_servers[5].get() });
    SleepMs(kQuietMs);
    if (HasTrouble()) {
      m_store.RestoreFrom(copy, kAwayMs);
      Record("the store is back from the copy, with the next Store-Era: keyed.servers ends at " +
             End());
      // The servers that live write again; theirs are entries that the copy has already, so nothing
      // changes. Those that have left are silent, and their entries are removed once more.
      SleepMs(kLapseMs);
      for (const std::size_t gone : { 2U, 5U }) {
        Drop(*m_servers[gone]);
      }
    } else {
      m_store.GoAway(kAwayMs);
      Record("the store is back as it was: keyed.servers ends at " + End());
      SleepMs(kLapseMs);
    }
    SleepMs(kContactMs);
    return LeaveAndCall();
  }

private:
  std::string End() const { return std::to_string(m_store.End("keyed.servers")); }

  void Register(const AppServer& aServer, const std::string& aState)
  {
    m_store.Put("keyed.servers", aServer.Id(), aServer.Entry(aState));
    Record("the store has accepted " + aServer.Id() + " " + aState + ": keyed.servers ends at " +
           End());
  }

  void Drop(const AppServer& aServer)
  {
    m_store.Put("keyed.servers", aServer.Id(), "");
    Record("the store has removed " + aServer.Id() + ": keyed.servers ends at " + End());
  }

  void LeaveAndEnd(const std::vector<AppServer*>& aServers)
  {
    for (const AppServer* server : aServers) {
      Register(*server, "draining");
    }
    SleepMs(kDrainMs + 200);
    for (AppServer* server : aServers) {
      server->End();
      Drop(*server);
    }
  }

  int CallOnce(const std::string& aPrefix, const char* aPath, const DaemonProcess& aDaemon)
  {
    Call call;
    call.m_path = aPath;
    call.m_request_id = aPrefix + "-" + std::to_string(++m_last_id);
    call.m_key = "key-1";
    {
      const std::lock_guard lock(m_mutex);
      m_sent[call.m_request_id] = { NowMs(), aDaemon.Host() };
    }
    const Answer answer = Send(aDaemon.CallerAddress(), call);
    Record("client sent " + call.m_request_id + " " + aPath + " to " + aDaemon.Host() +
           ", answered " + std::to_string(answer.m_status));
    return answer.m_status;
  }

  bool AreServedEverywhere()
  {
    return std::all_of(m_daemons.begin(), m_daemons.end(), [this](const auto& aDaemon) {
      return CallOnce("before", "/pujas/1", *aDaemon) == 200 &&
             CallOnce("before", "/lotes/1", *aDaemon) == 200;
    });
  }

  /// Clients of all daemons call for a while.
  void CallFor(int aMs)
  {
    const std::int64_t until = NowMs() + aMs;
    std::vector<std::thread> clients;
    for (const auto& daemon : m_daemons) {
      for (const char* path : { "/pujas/1", "/lotes/1" }) {
        clients.emplace_back([this, until, path, called = daemon.get()] {
          while (NowMs() < until) {
            CallOnce("after", path, *called);
          }
        });
      }
    }
    for (std::thread& client : clients) {
      client.join();
    }
  }

  int LeaveAndCall()
  {
    AppServer* const leaving[] = { m_servers[0].get(), m_servers[3].get() };
    for (const AppServer* server : leaving) {
      Register(*server, "draining");
    }
    const std::int64_t acknowledged_at = NowMs();
    SleepMs(kDrainMs + kMarginMs);
    // The servers go on serving for a little longer than drain_ms.
    CallFor(kLingerMs);
    int late = 0;
    for (const AppServer* server : leaving) {
      for (const Run& run : server->Runs()) {
        const auto sent = m_sent.find(run.m_request_id);
        if (sent != m_sent.end() && sent->second.first > acknowledged_at + kDrainMs) {
          ++late;
          Record("DRAIN broken: " + run.m_request_id + " was sent to " + sent->second.second + " " +
                 std::to_string(sent->second.first - acknowledged_at) +
                 " ms after the store had accepted that " + server->Id() +
                 " is draining, and reached it");
        }
      }
    }
    Record("requests that reached a draining server too late: " + std::to_string(late) + " of " +
           std::to_string(m_last_id));
    return late > 0 ? kRuleBroken : kRuleHeld;
  }

  Store m_store;
  std::vector<std::unique_ptr<AppServer>> m_servers;
  std::vector<std::unique_ptr<DaemonProcess>> m_daemons;
  std::map<std::string, std::pair<std::int64_t, std::string>> m_sent;
  std::atomic<int> m_last_id = 0;
  std::mutex m_mutex;
};

}

}

int
main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    return review::kCouldNotRun;
  }
  review::OpenRecord(aArguments[3]);
  int status = review::kCouldNotRun;
  {
    review::Case played(aArguments[1], aArguments[2]);
    status = played.Play();
  }
  _exit(status);
}
