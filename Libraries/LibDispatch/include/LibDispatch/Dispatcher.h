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

/// A request that this daemon may dispatch, with all rules of its service's document applied.
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
  /// Digest of the beginning of the prompt; see WaitingRequest.
  std::uint64_t m_prefix = 0;
  TimePoint m_deadline;
  bool m_wants_stream = false;
  /// Digest of the content, to tell apart two requests that use one identity.
  std::string m_digest;
  HttpRequest m_http;
};

/// A caller that waits for the response to a request.
struct Waiter
{
  HttpExchangePtr m_exchange;
  bool m_wants_stream = false;
  std::int64_t m_after_event = 0;
};

/// Receives the end of each request, for metrics.
class DispatchObserver
{
public:
  virtual ~DispatchObserver() = default;
  /// aTook is the time since the request arrived.
  virtual void OnFinished(const DispatchRequest& aRequest, Outcome aOutcome, Duration aTook) = 0;
  virtual void OnRejected(const DispatchRequest& aRequest, ErrorCode aCode) = 0;
};

/// Passes requests from the ledger through the scheduler to endpoints, and responses to callers.
/// Not thread-safe; all dependencies must outlive it.
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
  /// Returns what the scheduler needs to know about a service's hosts and peers.
  using SchedulerContextProvider = std::function<SchedulerContext(const ServiceName&)>;

  Dispatcher(Dependencies aDependencies,
             const SchedulerLimits& aLimits,
             SchedulerContextProvider aContextProvider);
  ~Dispatcher();

  /// Replaces the endpoints of a service by those of its document.
  void UpdateService(const ServiceDocument& aDocument);
  void SetDaemons(const std::vector<HostName>& aDaemons, const HostName& aOwnHost);

  /// Runs a request. If one with this identity was submitted before, the caller joins that one or
  /// receives its result. Precondition: Ledger::Check() found the identity valid.
  void Submit(const DispatchRequest& aRequest, const Waiter& aWaiter);

  /// Refuses new identities from now on; requests accepted before continue.
  void StopAccepting(std::string aUseInstead);

  /// Rejects waiting requests that are overdue, cancels abandoned ones and starts those that can
  /// start. Call every few milliseconds.
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
    /// Since when it has had no waiter; nothing while it has one.
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
  /// Sends the endpoint of a call no further requests for a while, as it has asked.
  void RecordRest(const CallPtr& aCall, Milliseconds aRest);
  void FinishAttempt(const CallPtr& aCall, const RelayEnd& aEnd);
  void ReturnUnsent(const CallPtr& aCall);
  void FinishSuccessfully(const CallPtr& aCall, const CachedResponsePtr& aResponse);
  void FinishWithError(const CallPtr& aCall, Outcome aOutcome, ErrorCode aCode);
  void RejectUnsent(const RejectedRequest& aRejected);
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
  /// Relays for callers that joined a stream after its first caller, by id.
  std::map<std::int64_t, std::shared_ptr<StreamRelay>> m_relays;
  std::map<std::int64_t, std::unique_ptr<HttpCall>> m_cancels;
  std::int64_t m_next_id = 0;
  std::size_t m_running = 0;
  std::vector<HostName> m_sharing_daemons;
  HostName m_own_host;
  bool m_is_accepting = true;
  std::string m_use_instead;
};

}
