#pragma once

#include <LibAllowance/RetryBudget.h>
#include <LibBroker/SlotBroker.h>
#include <LibGateway/Dialect.h>
#include <LibGateway/EventSplitter.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibRelay/RelayClient.h>
#include <LibRelay/RelayExchange.h>

namespace auburnhitch {

/// What attempts need of the daemon around them. All outlive the attempts.
struct ActiveRequestDependencies
{
  EventLoop* m_loop = nullptr;
  RelayClient* m_client = nullptr;
  SlotBroker* m_broker = nullptr;
  const EndpointRegistry* m_registry = nullptr;
  RetryBudget* m_retry_budget = nullptr;
  const Dialect* m_dialect = nullptr;
  GatewayMetrics* m_metrics = nullptr;
  DataCenterName m_data_center;
};

/// What was decided about a request when it was admitted. Immutable.
struct AdmittedRequest
{
  CallerRequestHead m_head;
  /// Keeps the route alive.
  RoutingTablePtr m_table;
  const Route* m_route = nullptr;
  ServiceName m_service;
  std::optional<WorkspaceName> m_workspace;
  /// The workspace's, then the route's; 0 is served first.
  int m_priority = 0;
  /// What it takes from the workspace's quota.
  std::int64_t m_quota_tokens = 0;
  TimePoint m_arrived_at;
  /// The caller's deadline or the route's timeout, whichever is first.
  TimePoint m_deadline;
};

/// One request of a caller on its way through the system: it waits for a place, is sent, and its
/// answer is passed on. It is sent once more only if it is proved that it did not run, or if it may
/// run more than once. Every attempt ends with exactly one final answer. Not thread-safe.
class ActiveRequest
{
public:
  using DoneHandler = std::function<void(ActiveRequest*)>;

  /// aOnDone is called once, from the loop; it may destroy the attempt.
  ActiveRequest(const ActiveRequestDependencies& aSurroundings,
                RelayExchangePtr aExchange,
                AdmittedRequest aRequest,
                DoneHandler aOnDone);
  ~ActiveRequest();
  ActiveRequest(const ActiveRequest&) = delete;
  ActiveRequest& operator=(const ActiveRequest&) = delete;

  void Begin();
  TimePoint Deadline() const { return m_request.m_deadline; }
  /// The deadline or the route's timeout has passed.
  void OnDeadline();

private:
  enum class Phase
  {
    Waiting,
    Sending,
    /// Part of the answer has been passed on.
    Relaying,
    Done,
  };

  /// A request that was or is being sent to one endpoint.
  struct Send
  {
    EndpointEntry m_endpoint;
    TimePoint m_granted_at;
    bool m_is_written = false;
    bool m_has_first_byte = false;
    MessageHead m_response_head;
  };

  TimePoint Now() const;
  void RequestSlot();
  SlotRequest MakeSlotRequest() const;
  void OnGranted(const SlotGrant& aGrant, const HostName& aCoordinator);
  void OnRefused(const SlotRefusal& aRefusal, const HostName& aCoordinator);
  void StartAttempt(const EndpointEntry& aEndpoint);
  void OnRequestWritten();
  void OnResponseHead(const MessageHead& aHead);
  void OnResponseBytes(std::string aBytes);
  void OnResponseEnd(const RelayResult& aResult);
  void OnResponseComplete();
  /// Passes on what follows the last whole event. False when it may be part of one.
  bool ForwardTrailingEvent();
  void OnAttemptFailed(SlotOutcome aEnd, const std::string& aWhy);
  /// Whether another send can follow one that may have run.
  bool MayRunAgain() const;
  /// Whether another send may follow now; takes it from the retry budget if so.
  bool TryReserveRetry();
  void Retry(SlotOutcome aEnd);
  bool IsStream() const { return m_request.m_route->m_kind == RequestKind::Stream; }
  bool IsResumableStream() const { return IsStream() && m_request.m_route->m_is_resumable; }
  void Forward(absl::string_view aBytes);
  void StartResponse(BodyFraming aFraming);
  void ReleaseSlot(SlotOutcome aEnd);
  void OnCallerDisconnected();
  /// The request has not run and never will.
  void RespondNotRun(int aStatus, const char* aReason, Milliseconds aRetryAfter);
  /// The request may have run.
  void RespondOutcomeUnknown(int aStatus, const char* aReason);
  void AbortResponse(const char* aReason);
  void Finish(const char* aOutcome, int aStatus, const std::string& aReason);

  ActiveRequestDependencies m_dependencies;
  RelayExchangePtr m_exchange;
  AdmittedRequest m_request;
  DoneHandler m_on_done;
  Phase m_phase = Phase::Waiting;
  std::optional<std::uint64_t> m_slot_request_id;
  std::unique_ptr<RelayCall> m_call;
  std::optional<Send> m_attempt;
  std::vector<EndpointId> m_tried_endpoints;
  /// Sends that may have run the request.
  int m_possible_runs = 0;
  /// Sends of which something reached an endpoint.
  int m_written_attempts = 0;
  int m_slot_request_count = 0;
  EventSplitter m_event_splitter;
  /// Body of an answer that is passed on when it is whole.
  std::string m_buffered_body;
  std::optional<Milliseconds> m_first_byte_after;
};

}
