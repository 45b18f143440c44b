#include "Cluster.h"

#include <LibDispatch/CallerError.h>
#include <algorithm>
#include <iostream>
#include <vector>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

constexpr std::int64_t kLongDeadlineMs = 600'000;

ClusterOptions
BenchOptions(std::int64_t aWindow)
{
  ClusterOptions options;
  options.m_daemons = 1;
  options.m_deadline_ms = kLongDeadlineMs;
  options.m_concurrency_limit = aWindow;
  options.m_settings = Json{ { "scheduler", { { "max_waiting", 100'000 } } } };
  return options;
}

HttpRequest
SmallCall()
{
  return HttpRequest{ "POST",
                      "/v1/services/desk/stock",
                      { { "Authorization", "Bearer mill-key" } },
                      std::string(200, 'x') };
}

HttpRequest
StreamCall(int aTokens)
{
  return HttpRequest{
    "POST",
    "/v1/chat/completions",
    { { "Authorization", "Bearer mill-key" } },
    Json{ { "model", "model" }, { "stream", true }, { "max_tokens", aTokens } }.dump()
  };
}

double
Percentile(std::vector<double> aValues, double aPart)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[static_cast<std::size_t>(static_cast<double>(aValues.size() - 1) * aPart)];
}

/// Keeps a number of calls in flight until enough have ended. Returns how many ended whole.
std::size_t
RunClosedLoop(const SocketAddress& aTo,
              const HttpRequest& aRequest,
              std::size_t aInFlight,
              std::size_t aTotal)
{
  EventLoop loop;
  HttpClient client(loop);
  std::vector<std::unique_ptr<HttpCall>> calls(aInFlight);
  std::size_t started = 0;
  std::size_t ended = 0;
  std::size_t whole = 0;
  std::function<void(std::size_t)> start = [&](std::size_t aSlot) {
    if (started == aTotal) {
      return;
    }
    ++started;
    HttpCallLimits limits;
    limits.m_total_timeout = Milliseconds(kLongDeadlineMs);
    HttpCallHandlers handlers;
    handlers.m_on_bytes = [](absl::string_view) {};
    handlers.m_on_end = [&, aSlot](const HttpOutcome& aOutcome) {
      ++ended;
      whole += aOutcome.m_end == HttpEnd::Complete && aOutcome.m_status == 200 ? 1 : 0;
      if (ended == aTotal) {
        loop.Stop();
      }
      loop.Defer([&, aSlot] { start(aSlot); });
    };
    calls[aSlot] = client.Send(aTo, aRequest, limits, std::move(handlers));
  };
  for (std::size_t slot = 0; slot < aInFlight; ++slot) {
    start(slot);
  }
  loop.Run();
  return whole;
}

double
MillisecondsOf(TestCaller& aCaller, HttpClient& aClient, const SocketAddress& aTo)
{
  const TimePoint begin = aCaller.Loop().Now();
  HttpCallHandlers handlers;
  handlers.m_on_end = [&](const HttpOutcome&) { aCaller.Loop().Stop(); };
  const auto call = aClient.Send(aTo, SmallCall(), {}, std::move(handlers));
  aCaller.Loop().Run();
  return std::chrono::duration<double, std::milli>(aCaller.Loop().Now() - begin).count();
}

void
MeasureAddedLatency()
{
  constexpr int kRounds = 4'000;
  Cluster cluster(BenchOptions(64));
  HttpClient client(cluster.Caller().Loop());
  const SocketAddress direct = cluster.StandInAddress("desk");
  std::vector<double> alone;
  std::vector<double> through;
  for (int round = 0; round < kRounds; ++round) {
    alone.push_back(MillisecondsOf(cluster.Caller(), client, direct));
    through.push_back(MillisecondsOf(cluster.Caller(), client, cluster.CallerAddress(0)));
  }
  for (const double part : { 0.5, 0.99 }) {
    const double base = Percentile(alone, part);
    const double whole = Percentile(through, part);
    std::cout << "latency p" << part * 100 << ": direct " << base << " ms, through a proxy and a "
              << "daemon " << whole << " ms, added " << whole - base << " ms" << std::endl;
  }
}

void
MeasureSmallCalls()
{
  constexpr std::size_t kCalls = 60'000;
  constexpr std::size_t kInFlight = 64;
  Cluster cluster(BenchOptions(64));
  const TimePoint begin = std::chrono::steady_clock::now();
  const double processor = cluster.Process(0).ProcessorSeconds();
  const std::size_t whole = RunClosedLoop(cluster.CallerAddress(0), SmallCall(), kInFlight, kCalls);
  const double used = cluster.Process(0).ProcessorSeconds() - processor;
  const double took =
    std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
  std::cout << "small calls: " << whole << " of " << kCalls << " done, "
            << static_cast<double>(whole) / took << "/s here, daemon busy " << used / took
            << " of a core, " << static_cast<double>(whole) / used << " per core-second"
            << std::endl;
}

void
MeasureStreams()
{
  constexpr std::size_t kStreams = 400;
  constexpr std::size_t kInFlight = 100;
  constexpr int kTokens = 500;
  Cluster cluster(BenchOptions(1'000));
  const double processor = cluster.Process(0).ProcessorSeconds();
  const std::size_t whole =
    RunClosedLoop(cluster.CallerAddress(0), StreamCall(kTokens), kInFlight, kStreams);
  const double used = cluster.Process(0).ProcessorSeconds() - processor;
  std::cout << "streams of " << kTokens << " tokens: " << whole << " of " << kStreams << " done, "
            << static_cast<double>(whole) / used << " per core-second, "
            << static_cast<double>(whole) * kTokens / used << " tokens per core-second"
            << std::endl;
}

void
MeasureMemory(const char* aWhat, std::int64_t aWindow, std::size_t aRequests)
{
  Cluster cluster(BenchOptions(aWindow));
  cluster.Control("model", Json{ { "hold", true } });
  const std::size_t before = cluster.Process(0).ResidentBytes();
  std::vector<TestCallPtr> attempts;
  for (std::size_t index = 0; index < aRequests; ++index) {
    attempts.push_back(cluster.Caller().Send(cluster.CallerAddress(0), StreamCall(500)));
  }
  const bool is_reached = cluster.Caller().RunUntil([&] {
    const Json status = cluster.Caller().CallJson(cluster.OperatorAddress(0), "GET", "/status");
    return status.value("ledger_entries", std::size_t{ 0 }) == aRequests;
  });
  const std::size_t after = cluster.Process(0).ResidentBytes();
  std::cout << "memory per " << aWhat << " request: " << (after - before) / aRequests << " bytes"
            << (is_reached ? "" : " (not all arrived)") << std::endl;
}

}

int
main(int aCount, char** aArguments)
{
  const std::string only = aCount > 1 ? aArguments[1] : "";
  if (only.empty() || only == "latency") {
    MeasureAddedLatency();
  }
  if (only.empty() || only == "calls") {
    MeasureSmallCalls();
  }
  if (only.empty() || only == "streams") {
    MeasureStreams();
  }
  if (only.empty() || only == "memory") {
    MeasureMemory("waiting", 1, 2'000);
    MeasureMemory("streaming", 4'000, 2'000);
  }
  return 0;
}
