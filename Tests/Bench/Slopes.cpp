#include "Cluster.h"

#include <LibCore/Digest.h>
#include <LibDocument/DocumentFold.h>
#include <LibLedger/Ledger.h>
#include <LibPeers/PeerTable.h>
#include <LibScheduling/ServiceScheduler.h>
#include <absl/strings/str_cat.h>
#include <fstream>
#include <iostream>
#include <malloc.h>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

using Clock = std::chrono::steady_clock;

double
NanosecondsSince(TimePoint aBegin)
{
  return std::chrono::duration<double, std::nano>(Clock::now() - aBegin).count();
}

std::size_t
HeapBytes()
{
  return mallinfo2().uordblks;
}

SchedulerContext
AllUsable()
{
  SchedulerContext surroundings;
  surroundings.m_may_use = [](const Endpoint&) { return true; };
  return surroundings;
}

std::vector<Endpoint>
Endpoints(std::size_t aCount)
{
  std::vector<Endpoint> endpoints;
  for (std::size_t index = 0; index < aCount; ++index) {
    Endpoint endpoint;
    endpoint.m_host = HostName(absl::StrCat("engine-", index));
    endpoint.m_address = SocketAddress("127.0.0.1:1");
    endpoint.m_concurrency_limit = 16;
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

WaitingRequest
RequestOf(std::size_t aIndex, std::uint64_t aPrefix)
{
  WaitingRequest request;
  request.m_key =
    RequestKey{ WorkspaceName(absl::StrCat("w", aIndex % 100)),
                RequestIdentity{ Permit{ Incarnation("i"), 0 }, absl::StrCat(aIndex) } };
  request.m_work = 10;
  request.m_prefix = aPrefix;
  request.m_deadline = TimePoint{} + std::chrono::hours(1);
  return request;
}

void
MeasureDecisions(std::size_t aEndpoints, std::size_t aDaemons, std::uint64_t aPrefix)
{
  constexpr std::size_t kRounds = 500;
  ServiceScheduler scheduler{ SchedulerLimits{} };
  const std::size_t before = HeapBytes();
  scheduler.UpdateEndpoints(Endpoints(aEndpoints));
  std::vector<HostName> daemons;
  for (std::size_t index = 0; index < aDaemons; ++index) {
    daemons.emplace_back(absl::StrCat("daemon-", index));
  }
  scheduler.SetDaemons(daemons, daemons[0]);
  const std::size_t bytes = (HeapBytes() - before) / aEndpoints;
  const auto surroundings = AllUsable();
  const TimePoint begin = Clock::now();
  for (std::size_t round = 0; round < kRounds; ++round) {
    scheduler.Admit(RequestOf(round, aPrefix), surroundings, TimePoint{});
    if (const auto start = scheduler.Next(surroundings, TimePoint{})) {
      scheduler.RecordEnded(
        start->m_choice.m_endpoint.m_host, start->m_request.m_key, Milliseconds(10));
    }
  }
  std::cout << "decision: " << aEndpoints << " endpoints, " << aDaemons << " daemons, "
            << (aPrefix == 0 ? "no prefix" : "prefix") << ": " << NanosecondsSince(begin) / kRounds
            << " ns, state " << bytes << " bytes per endpoint" << std::endl;
}

void
MeasureQueue(std::size_t aWaiting)
{
  constexpr std::size_t kRounds = 2'000;
  TieredQueue queue;
  const std::size_t before = HeapBytes();
  for (std::size_t index = 0; index < aWaiting; ++index) {
    queue.Push(RequestOf(index, 0));
  }
  const std::size_t bytes = (HeapBytes() - before) / aWaiting;
  const TimePoint begin = Clock::now();
  for (std::size_t round = 0; round < kRounds; ++round) {
    queue.Push(queue.Pop());
  }
  std::cout << "queue: " << aWaiting << " waiting: " << NanosecondsSince(begin) / kRounds
            << " ns for a pop and a push, " << bytes << " bytes per waiting request" << std::endl;
}

void
MeasureFold(std::size_t aWorkspaces)
{
  Json document{ { "service", "model" },
                 { "type", "engine" },
                 { "tiers", { { { "name", "live" }, { "deadline_ms", 1'000 } } } },
                 { "kinds", { { { "name", "query" }, { "tier", "live" } } } },
                 { "workspaces", Json::array() },
                 { "endpoints", { { { "host", "e-1" }, { "address", "127.0.0.1:9" } } } } };
  for (std::size_t index = 0; index < aWorkspaces; ++index) {
    document["workspaces"].push_back(Json{ { "name", absl::StrCat("workspace-", index) },
                                           { "key_sha256", Sha256Hex(absl::StrCat("key-", index)) },
                                           { "tiers", { "live" } } });
  }
  const std::string record = Publication{ "p", ServiceName("model"), 0, document }.ToJson().dump();
  document = nullptr;
  const std::size_t before = HeapBytes();
  DocumentFold fold;
  Findings findings;
  const TimePoint begin = Clock::now();
  fold.Apply(0, record, findings);
  const double took = NanosecondsSince(begin);
  const std::size_t bytes = HeapBytes() - before;
  const auto lookup = Clock::now();
  constexpr int kLookups = 200;
  const auto& found = fold.Find(ServiceName("model"))->m_document;
  for (int index = 0; index < kLookups; ++index) {
    (void)found->FindWorkspaceByKey(absl::StrCat("key-", index));
  }
  std::cout << "fold: " << aWorkspaces << " workspaces, record of " << record.size()
            << " bytes: " << took / 1e6 << " ms, holds " << bytes << " bytes, key lookup "
            << NanosecondsSince(lookup) / kLookups << " ns" << std::endl;
}

void
MeasureLedger(std::size_t aEntries)
{
  const std::size_t before = HeapBytes();
  Ledger ledger(Incarnation("7f0000016aaf7b6405799a15ac2d"), TimePoint{}, LedgerLimits{});
  const Permit permit = ledger.CurrentPermit(TimePoint{});
  const std::string digest(64, 'd');
  const TimePoint begin = Clock::now();
  for (std::size_t index = 0; index < aEntries; ++index) {
    const RequestKey key{ WorkspaceName("workspace"),
                          RequestIdentity{ permit, absl::StrCat("suffix-", index) } };
    ledger.Begin(key, digest);
    ledger.TryMarkSent(key, HostName("engine-1"), TimePoint{});
    ledger.Close(key, Outcome::Done, "", nullptr);
  }
  std::cout << "ledger: " << aEntries
            << " entries: " << NanosecondsSince(begin) / static_cast<double>(aEntries)
            << " ns for one request, " << (HeapBytes() - before) / aEntries << " bytes per entry"
            << std::endl;
}

std::size_t
BytesMoved(const ChildProcess& aProcess)
{
  std::ifstream file(absl::StrCat("/proc/", aProcess.Pid(), "/io"));
  std::string name;
  std::size_t read = 0;
  std::size_t written = 0;
  file >> name >> read >> name >> written;
  return read + written;
}

void
MeasureControl(std::size_t aDaemons)
{
  constexpr Milliseconds kSpan{ 5'000 };
  ClusterOptions options;
  options.m_daemons = aDaemons;
  options.m_concurrency_limit = 64;
  options.m_waits_for_peers = false;
  // As shipped, not as other tests hurry it.
  options.m_settings = Json{ { "host_list_interval_ms", 500 }, { "peer_interval_ms", 1'000 } };
  Cluster cluster(options);
  std::vector<double> processor;
  std::vector<std::size_t> moved;
  for (std::size_t index = 0; index < aDaemons; ++index) {
    processor.push_back(cluster.Process(index).ProcessorSeconds());
    moved.push_back(BytesMoved(cluster.Process(index)));
  }
  const TimePoint until = cluster.Caller().Loop().Now() + kSpan;
  cluster.Caller().RunUntil([&] { return cluster.Caller().Loop().Now() >= until; });
  double used = 0;
  double bytes = 0;
  double resident = 0;
  for (std::size_t index = 0; index < aDaemons; ++index) {
    used += cluster.Process(index).ProcessorSeconds() - processor[index];
    bytes += static_cast<double>(BytesMoved(cluster.Process(index)) - moved[index]);
    resident += static_cast<double>(cluster.Process(index).ResidentBytes());
  }
  const double seconds = std::chrono::duration<double>(kSpan).count();
  const auto daemons = static_cast<double>(aDaemons);
  const TimePoint begin = cluster.Caller().Loop().Now();
  cluster.Publish(0, cluster.DocumentOf("desk", 7), 1);
  cluster.Caller().RunUntil([&] { return cluster.IsInForceEverywhere("desk", 2); });
  std::cout << "control: " << aDaemons << " daemons: " << 100 * used / seconds / daemons
            << "% of a core, " << bytes / seconds / daemons << " bytes/s read and written, "
            << resident / daemons / 1e6 << " MB resident each; publication in force on the last "
            << NanosecondsSince(begin) / 1e6 << " ms after it was sent" << std::endl;
}

void
MeasureAll(bool aWithProcesses)
{
  for (const std::size_t endpoints : { 10, 100, 1'000, 10'000 }) {
    MeasureDecisions(endpoints, 6, 0);
    MeasureDecisions(endpoints, 6, 1);
    MeasureDecisions(endpoints, 3'600, 1);
  }
  for (const std::size_t waiting : { 10, 1'000, 10'000, 100'000 }) {
    MeasureQueue(waiting);
  }
  for (const std::size_t workspaces : { 290, 2'900, 29'000 }) {
    MeasureFold(workspaces);
  }
  for (const std::size_t entries : { 1'000, 100'000 }) {
    MeasureLedger(entries);
  }
  if (aWithProcesses) {
    for (const std::size_t daemons : { 6, 12, 24, 48 }) {
      MeasureControl(daemons);
    }
  }
}

}

int
main(int aCount, char** aArguments)
{
  // An exception that ended the program at once would leave its processes behind.
  try {
    MeasureAll(aCount == 1 || std::string(aArguments[1]) != "alone");
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 1;
  }
  return 0;
}
