#include "CaseSupport.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <iostream>
#include <thread>

using namespace auburnhitch;
using namespace auburnhitch::tests;
using namespace auburnhitch::review;

namespace {

constexpr std::size_t kEndpoints = 3;
constexpr std::size_t kDaemons = 2;
constexpr int kRounds = 40;
constexpr int kCallers = 12;
// Garble, at its largest dose: one of the three servers spoils 5 of 100 answers.
constexpr std::size_t kFaultyEndpoint = 0;
constexpr int kSpoiledOneOf = 20;
// As on the sheet of the small deployment.
constexpr std::chrono::milliseconds kWork{ 60 };
// Longer than a daemon keeps an idle connection to an endpoint.
constexpr std::chrono::milliseconds kPause{ 1'000 };
constexpr int kFirstSuccess = 200;
constexpr int kFirstFailure = 300;

// What a faulty server writes in place of an answer to a request that it has run. It is no answer
// of a server: it neither names the request nor has a seal.
constexpr const char* kForeignSuccess =
  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 9\r\n\r\nIt works!";
constexpr const char* kForeignRefusal =
  "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbusy";

/// Serves requests, and spoils some of its answers.
class FaultyService
{
public:
  FaultyService(Record& aRecord, const char* aSpoiledAnswer)
    : m_record(aRecord)
    , m_spoiled_answer(aSpoiledAnswer)
  {
  }

  bool Serve(RawConnection& aConnection, const RawRequest& aRequest, bool aIsFaulty)
  {
    std::this_thread::sleep_for(kWork);
    const bool is_spoiled = HasTrouble() && aIsFaulty && ++m_count % kSpoiledOneOf == 0;
    if (!is_spoiled) {
      return RespondWithSuccess(aConnection, aRequest);
    }
    m_record.Add(
      absl::StrCat("an endpoint spoils its answer to ", aRequest.Header("x-request-id")));
    aConnection.Write(m_spoiled_answer);
    return false;
  }

private:
  Record& m_record;
  const char* m_spoiled_answer;
  std::atomic<int> m_count = 0;
};

/// Whether callers take a status as a promise that the request has not run.
bool
PromisesNotRun(int aStatus)
{
  constexpr std::array kPromises{ 408, 421, 429, 503 };
  return std::find(kPromises.begin(), kPromises.end(), aStatus) != kPromises.end();
}

int
Run(Record& aRecord, bool aIsRefusal)
{
  FaultyService service(aRecord, aIsRefusal ? kForeignRefusal : kForeignSuccess);
  GatewayClusterOptions options;
  options.m_daemons = kDaemons;
  options.m_endpoints = kEndpoints;
  options.m_settings = SmallDeploymentSettings();
  GatewayCluster cluster(options);
  for (std::size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
    cluster.Endpoint(endpoint).SetBehaviour(
      [&service, is_faulty = endpoint == kFaultyEndpoint](RawConnection& aConnection,
                                                          const RawRequest& aRequest) {
        return service.Serve(aConnection, aRequest, is_faulty);
      });
  }
  std::atomic<int> broken = 0;
  std::atomic<int> broken_promises = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&, round, caller] {
        const std::string id = absl::StrCat("request-", round, "-", caller);
        const bool is_unsafe = aIsRefusal || caller % 2 != 0;
        const char* path = is_unsafe ? "/unsafe/x" : "/safe/x";
        const CallerResponse response =
          cluster.Call(path, id, "", static_cast<std::size_t>(caller) % kDaemons);
        const bool is_success =
          response.m_status >= kFirstSuccess && response.m_status < kFirstFailure;
        const std::string seal = response.Header("x-response-seal");
        const bool is_answer = !seal.empty() && response.m_body == "answer to " + id;
        broken += is_success && !is_answer ? 1 : 0;
        broken_promises +=
          is_unsafe && PromisesNotRun(response.m_status) && cluster.RunsOf(id) > 0 ? 1 : 0;
        if (!is_success || !is_answer) {
          aRecord.Add(absl::StrCat(path,
                                   " ",
                                   id,
                                   ": status ",
                                   response.m_status,
                                   ", seal \"",
                                   seal,
                                   "\", body \"",
                                   response.m_body,
                                   "\", runs ",
                                   cluster.RunsOf(id)));
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    std::this_thread::sleep_for(kPause);
  }
  aRecord.Add(absl::StrCat(kRounds * kCallers,
                           " requests, successes without a seal or with another body: ",
                           broken.load()));
  aRecord.Add(absl::StrCat("unsafe requests that ran and were answered as not run: ",
                           broken_promises.load()));
  return broken > 0 || broken_promises > 0 ? kBroken : kHeld;
}

}

int
main(int aCount, char** aArguments)
{
  if (aCount < 2) {
    std::cerr << "usage: spoiled-answers RECORD [refusal]\n";
    return kCouldNotRun;
  }
  Record record(aArguments[1]);
  try {
    const int status = Run(record, aCount > 2 && std::string(aArguments[2]) == "refusal");
    record.Add(absl::StrCat("exit status ", status));
    return status;
  } catch (const std::exception& error) {
    record.Add(absl::StrCat("could not run: ", error.what()));
    return kCouldNotRun;
  }
}
