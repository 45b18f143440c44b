#pragma once

#include <LibDispatch/DecisionLog.h>
#include <LibDispatch/EndpointProtocol.h>
#include <LibDispatch/StreamRelay.h>
#include <LibDocument/ServiceDocument.h>
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpClient.h>
#include <LibLedger/Ledger.h>
#include <LibScheduling/ServiceScheduler.h>
#include <absl/container/flat_hash_map.h>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace auburnhitch {

/// A request that this daemon may dispatch, with all rules of its document applied.
struct DispatchRequest
{
  RequestKey m_key;
  ServiceName m_service;
  ServiceType m_type = ServiceType::Plain;
  TierName m_tier_name;
  std::size_t m_tier = 0;
  bool m_is_sheddable = false;
  std::int64_t m_share = 1;
  WorkUnits m_work = 0;
  /// See WaitingRequest.
  std::uint64_t m_prefix = 0;
  TimePoint m_deadline;
  bool m_wants_stream = false;
  /// Tells two requests of one identity apart.
  std::string m_digest;
  HttpRequest m_http;
};

/// A caller that waits for a request's answer.
struct Waiter
{
  HttpExchangePtr m_exchange;
  bool m_wants_stream = false;
  std::int64_t m_after_event = 0;
};

/// Counts what became of requests.
class DispatchObserver
{
public:
  virtual ~DispatchObserver() = default;
  /// aTook counts from the request's arrival.
  virtual void OnFinished(const DispatchRequest& aRequest, Outcome aOutcome, Duration aTook) = 0;
  virtual void OnRejected(const DispatchRequest& aRequest, ErrorCode aCode) = 0;
};

/// Carries requests from the ledger through the scheduler to endpoints, and answers to callers.
/// Not thread-safe; everything it is given must outlive it.
class Dispatcher
{
public:
  struct Dependencies
  {
    EventLoop& m_loop;
    HttpClient& m_client;
    Ledger& m_ledger;
    DecisionLog& m_decisions;
    DispatchObserver& m_observer;
  };
  /// Tells what the hosts and peers slices know for a service.
  using SchedulerContextProvider = std::function<SchedulerContext(const ServiceName&)>;

  Dispatcher(Dependencies aDependencies,
             const SchedulerLimits& aLimits,
             SchedulerContextProvider aContextProvider);
  ~Dispatcher();

  /// Takes over a document's endpoints.
  void UpdateService(const ServiceDocument& aDocument);
  void SetDaemons(const std::vector<HostName>& aDaemons, const HostName& aOwnHost);

  /// Runs a request, or joins the one that has this identity already.
  /// Precondition: the ledger found the identity valid.
  void Submit(const DispatchRequest& aRequest, const Waiter& aWaiter);

  /// From now on new identities are refused; requests that were taken go on.
  void StopAccepting(std::string aUseInstead);

  /// Gives up what is overdue and starts what can start. Call every few milliseconds.
  void Tick();

  bool IsIdle() const { return m_calls.empty() && m_relays.empty(); }
  std::size_t WaitingCount(const ServiceName& aService) const;
  std::vector<std::size_t> WaitingByTier(const ServiceName& aService, std::size_t aTiers) const;
  std::size_t RunningCount() const { return m_running; }

private:
  /// A request that waits or runs.
  struct Call
  {
    DispatchRequest m_request;
    std::vector<Waiter> m_waiters;
    TimePoint m_arrived;
    TimePoint m_started;
    /// Since when nobody has waited for it; nothing while somebody does.
    std::optional<TimePoint> m_abandoned_since;
    std::optional<StartDecision> m_start;
    std::unique_ptr<HttpCall> m_http_call;
    std::shared_ptr<StreamRelay> m_relay;
  };
  using CallPtr = std::shared_ptr<Call>;

  void SubmitNew(const DispatchRequest& aRequest, const Waiter& aWaiter);
  void JoinExistingCall(const CallPtr& aCall, const Waiter& aWaiter);
  void RespondFromLedger(const DispatchRequest& aRequest, const LedgerEntry& aEntry, const Waiter&);
  void ResumeStream(const DispatchRequest& aRequest, const HostName& aHost, const Waiter& aWaiter);
  void AddWaiter(const CallPtr& aCall, const Waiter& aWaiter);

  void DispatchWaiting(const ServiceName& aService);
  void StartCall(const CallPtr& aCall, const StartDecision& aDecision);
  void StartBufferedCall(const CallPtr& aCall);
  void StartStream(const CallPtr& aCall);
  void OnBufferedCallEnd(const CallPtr& aCall, const HttpOutcome& aOutcome);
  void FetchResponse(const CallPtr& aCall, ErrorCode aCode);
  void FinishAttempt(const CallPtr& aCall, const RelayEnd& aEnd);
  void ReturnUnsent(const CallPtr& aCall);
  void FinishSuccessfully(const CallPtr& aCall, const CachedResponsePtr& aAnswer);
  void FinishWithError(const CallPtr& aCall, Outcome aOutcome, ErrorCode aCode);
  void RejectUnsent(const RejectedRequest& aGiveUp);
  void CancelAtEndpoint(const CallPtr& aCall);
  void CancelAbandoned(TimePoint aNow);
  void ReleaseEndpoint(const CallPtr& aCall, std::optional<Duration> aTook);

  CallerError MakeError(const Call& aCall, Outcome aOutcome, ErrorCode aCode) const;
  Milliseconds AddJitter(Milliseconds aDelay) const;
  ServiceScheduler& SchedulerOf(const ServiceName& aService);

  Dependencies m_dependencies;
  SchedulerLimits m_limits;
  SchedulerContextProvider m_context_provider;
  std::map<ServiceName, std::unique_ptr<ServiceScheduler>> m_schedulers;
  std::map<ServiceName, std::vector<Endpoint>> m_endpoints;
  absl::flat_hash_map<RequestKey, CallPtr> m_calls;
  /// Relays for callers that joined later.
  std::map<std::int64_t, std::shared_ptr<StreamRelay>> m_relays;
  std::map<std::int64_t, std::unique_ptr<HttpCall>> m_cancels;
  std::int64_t m_next_id = 0;
  std::size_t m_running = 0;
  std::vector<HostName> m_sharers;
  HostName m_own_host;
  bool m_is_accepting = true;
  std::string m_use_instead;
};

}
