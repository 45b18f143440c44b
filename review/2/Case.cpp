// A service is busy, so requests wait in the queue. The daemon that took them is stopped as
// planned. Requests that have not been passed on must get an answer before the daemon ends.

#include "../stand-in/Deployment.h"

#include <algorithm>
#include <csignal>
#include <unistd.h>

namespace review {

namespace {

constexpr int kDaemons = 2;
constexpr int kClients = 8;
constexpr int kGraceMs = 8'000;
constexpr int kDeadlineMs = 20'000;
constexpr int kWorkMs = 3'000;
// From the requests to SIGTERM.
constexpr int kStopAfterMs = 500;

std::string
Configuration()
{
  return R"({"version":10,"routes":[{"name":"actas","host":"h.example","path_prefix":"/actas/",)"
         R"("route_kind":"unsafe","timeout_ms":20000,"slo_ms":15000,"priority":0,)"
         R"("service":"mesa-subasta","attempts":1}],"services":[{"name":"mesa-subasta"}],)"
         R"("tenants":[{"name":"ejido","api_keys":["key-1"]}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,)"
         R"("header_timeout_ms":5000,"idle_timeout_ms":10000}})";
}

int
Play(const std::string& aProgram, const std::string& aDirectory)
{
  Store store("127.0.0.1");
  store.Put("keyed.op", "config", Configuration());
  AppServer server("127.0.0.1", "i-mesa-1", "mesa-subasta");
  server.SetWork([](const Message&) {
    SleepMs(kWorkMs);
    return std::string("registered");
  });
  std::string entry = server.Entry("ready");
  entry.replace(entry.find(R"("slots":6)"), 9, R"("slots":2)");
  store.Put("keyed.servers", server.Id(), entry);
  std::vector<std::unique_ptr<DaemonProcess>> daemons;
  for (int i = 1; i <= kDaemons; ++i) {
    daemons.push_back(std::make_unique<DaemonProcess>(
      aProgram,
      aDirectory,
      DaemonOptions{ "edge-zona-a-" + std::to_string(i), "zona-a", "127.0.0.1", store.Address() }));
    daemons.back()->Start();
  }
  if (!WaitUntilReady(daemons)) {
    Record("the daemons did not become ready");
    return kCouldNotRun;
  }
  SleepMs(3'000);

  std::mutex mutex;
  std::map<std::string, Answer> answers;
  std::vector<std::thread> clients;
  for (int i = 1; i <= kClients; ++i) {
    clients.emplace_back([&, i] {
      Call call;
      call.m_path = "/actas/" + std::to_string(i);
      call.m_request_id = "acta-" + std::to_string(i);
      call.m_key = "key-1";
      call.m_deadline_ms = kDeadlineMs;
      Record("client sends " + call.m_request_id + " to " + daemons[0]->Host());
      const Answer answer = Send(daemons[0]->CallerAddress(), call);
      const std::lock_guard lock(mutex);
      answers[call.m_request_id] = answer;
      Record("client " + call.m_request_id + ": " +
             (answer.m_status == 0 ? "the connection has ended without an answer"
                                   : "status " + std::to_string(answer.m_status)));
    });
    SleepMs(10);
  }
  SleepMs(kStopAfterMs);
  const std::int64_t stopped_at = NowMs();
  if (HasTrouble()) {
    Record("SIGTERM to " + daemons[0]->Host());
    daemons[0]->Signal(SIGTERM);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  Record("all clients are done " + std::to_string(NowMs() - stopped_at) +
         " ms after the moment of the SIGTERM; the grace is " + std::to_string(kGraceMs) + " ms");
  int lost = 0;
  int served = 0;
  for (const auto& [id, answer] : answers) {
    served += answer.m_status == 200 ? 1 : 0;
    // Requests at which the server was still at work may be cut.
    if (answer.m_status == 0 && server.RunsOf(id) == 0) {
      ++lost;
      Record("LOST broken: " + id + " has been read, never passed on, and got no answer");
    }
  }
  Record("served " + std::to_string(served) + ", lost in the queue " + std::to_string(lost) +
         " of " + std::to_string(kClients));
  if (served == 0) {
    return kCouldNotRun;
  }
  return lost > 0 ? kRuleBroken : kRuleHeld;
}

}

}

int
main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    return review::kCouldNotRun;
  }
  review::OpenRecord(aArguments[3]);
  _exit(review::Play(aArguments[1], aArguments[2]));
}
