#pragma once

#include <LibAllowance/RetryBudget.h>
#include <LibBroker/SlotBroker.h>
#include <LibGateway/BodyCompleteness.h>
#include <LibGateway/Dialect.h>
#include <LibGateway/EndpointReach.h>
#include <LibGateway/EventSplitter.h>
#include <LibGateway/ForwardTargets.h>
#include <LibGateway/ForwardedRequest.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibGateway/RefusedRequests.h>
#include <LibGateway/StopSchedule.h>
#include <LibRelay/RelayClient.h>
#include <LibRelay/RelayExchange.h>

namespace auburnhitch {

/// The services of the daemon that active requests use. All outlive the active requests.
struct ActiveRequestDependencies
{
  EventLoop* m_loop = nullptr;
  RelayClient* m_client = nullptr;
  SlotBroker* m_broker = nullptr;
  const EndpointRegistry* m_registry = nullptr;
  RetryBudget* m_retry_budget = nullptr;
  RefusedRequests* m_refused = nullptr;
  EndpointReach* m_reach = nullptr;
  ForwardTargets* m_targets = nullptr;
  const Dialect* m_dialect = nullptr;
  GatewayMetrics* m_metrics = nullptr;
  DataCenterName m_data_center;
  /// Set while the daemon stops.
  const std::optional<StopSchedule>* m_stop = nullptr;
};

/// A request with what was determined on admission. Immutable.
struct AdmittedRequest
{
  CallerRequestHead m_head;
  /// Keeps the route alive.
  RoutingTablePtr m_table;
  const Route* m_route = nullptr;
  ServiceName m_service;
  std::optional<WorkspaceName> m_workspace;
  /// Set if another daemon sent the request on.
  std::optional<ForwardedRequest> m_forwarded;
  /// See RequestDigest().
  std::string m_digest;
  /// Combines the priority of the workspace with that of the route; 0 is served first.
  int m_priority = 0;
  /// Tokens charged to the workspace's quota.
  std::int64_t m_quota_tokens = 0;
  TimePoint m_arrived_at;
  /// The caller's deadline or the route's timeout, whichever is first.
  TimePoint m_deadline;
};

/// A caller's request while this daemon handles it: waits for a slot, sends the request to the
/// endpoint of that slot and forwards the response. Sends the request through another daemon while
/// this one cannot reach the endpoints. Retries only if the request provably did not
/// run, or if it may run more than once. Ends exactly once: with a complete response, an aborted
/// one, or a disconnected caller. Not thread-safe.
class ActiveRequest
{
public:
  using DoneHandler = std::function<void(ActiveRequest*)>;

  /// aOnDone is called once, from the event loop; it may destroy the active request.
  ActiveRequest(const ActiveRequestDependencies& aDependencies,
                RelayExchangePtr aExchange,
                AdmittedRequest aRequest,
                DoneHandler aOnDone);
  ~ActiveRequest();
  ActiveRequest(const ActiveRequest&) = delete;
  ActiveRequest& operator=(const ActiveRequest&) = delete;

  void Begin();
  TimePoint Deadline() const { return m_request.m_deadline; }
  /// Called when the deadline has passed.
  void OnDeadline();
  /// Called repeatedly while the daemon stops. Ends the request if its time is over.
  void OnStopping();
  /// Called when an endpoint has said that it leaves or rests. Requests another slot if the present
  /// one is there and the request has not been written yet.
  void OnEndpointUnavailable(const EndpointIncarnation& aEndpoint);
  /// Called while this daemon is cut off from all endpoints. Ends a call that has not been written;
  /// begins a second way beside one that has, if the request may run again.
  void OnCutOff();
  /// Called when other daemons may have stopped. Does the same for a call to one that may have.
  void OnDaemonsChanged();
  /// Tells the reach which endpoint owes bytes of a response. Returns whether one does for at least
  /// this time.
  bool RecordAwaited(Milliseconds aMinSilence) const;

private:
  /// Retry-After for a request that this daemon fails late: another daemon can serve it at once.
  static constexpr Milliseconds kShortRetryAfter{ 100 };
  /// Daemons through which one request is sent.
  static constexpr std::size_t kMaxForwards = 3;

  enum class Phase
  {
    Waiting,
    Sending,
    /// The head of the response has been sent to the caller.
    Relaying,
    Done,
  };

  /// One try to have an endpoint run the request.
  struct SendAttempt
  {
    EndpointEntry m_endpoint;
    TimePoint m_granted_at;
    /// See SlotGrant.
    bool m_may_have_restarted = false;
    /// Set if the attempt goes through another daemon; m_endpoint is then empty.
    std::optional<HostName> m_forwarded_to;
    bool m_is_written = false;
    /// When the request was written, or bytes of the response arrived last.
    TimePoint m_heard_at;
    bool m_has_first_byte = false;
    MessageHead m_response_head;
    EndpointNotice m_notice;
    /// Set once the head of the response has arrived.
    std::optional<BodyCompleteness> m_completeness;
    std::size_t m_response_bytes = 0;
    /// How the call ended; "open" until then.
    const char* m_end = "open";
  };

  /// A call through another daemon beside one whose response may never come. The call whose body
  /// arrives first is kept; one that fails or is refused changes nothing for the other.
  struct SecondWay
  {
    /// For logs and metrics; outlives the request.
    const char* m_why = "";
    SendAttempt m_attempt;
    std::unique_ptr<RelayCall> m_call;
    /// The head of a success, once it has arrived.
    std::optional<MessageHead> m_head;
  };

  TimePoint Now() const;
  /// Whether the caller resumes a stream that began with an earlier request.
  bool ResumesStream() const;
  void FindStreamVersion();
  void OnStreamVersion(const std::optional<SoftwareVersion>& aVersion);
  /// Binds a resumable stream to the software version that sends its first event.
  void BindToVersion();
  /// Begins the next attempt: at an endpoint, or through another daemon.
  void Proceed();
  void StartForwarding(const Member& aTarget);
  /// Counts an attempt through another daemon and returns it.
  SendAttempt BeginForwardedAttempt(const Member& aTarget);
  /// Sends the request, from its last event on if it is a stream that has begun.
  std::unique_ptr<RelayCall> SendThrough(const Member& aTarget, RelayCallHandlers aHandlers);
  /// Begins a second way if the request may run again and another daemon takes it.
  void StartSecondWay(const char* aWhy);
  void OnSecondWayWritten();
  void OnSecondWayHead(const MessageHead& aHead);
  void OnSecondWayBytes(std::string aBytes);
  void OnSecondWayEnd(const RelayResult& aResult);
  /// Makes the second way the present attempt. aSlotOutcome: how the other attempt has ended.
  void AdoptSecondWay(SlotOutcome aSlotOutcome);
  void DropSecondWay(const char* aWhy);
  void OnForwardedResponseHead(const MessageHead& aHead);
  /// Records what an endpoint states in a response that another daemon has passed on.
  void RecordForwardedNotice(const MessageHead& aHead);
  /// Responds that this daemon reaches no endpoint.
  void RespondCutOff();
  void RequestSlot();
  SlotRequest MakeSlotRequest() const;
  void OnGranted(const SlotGrant& aGrant, const HostName& aCoordinator);
  void OnRefused(const SlotRefusal& aRefusal, const HostName& aCoordinator);
  /// Why an endpoint must get no request, by its own statements; null if it may get one.
  const char* WhyUnavailable(const EndpointIncarnation& aEndpoint) const;
  void StartAttempt(const EndpointEntry& aEndpoint, bool aMayHaveRestarted);
  void OnRequestWritten();
  void OnResponseHead(const MessageHead& aHead);
  /// Handle the head of a response by its meaning.
  void OnNotRun();
  void OnFailure();
  void OnSuccess();
  /// Closes the connection of a response that proves nothing about the request, without forwarding
  /// any of it.
  void DiscardResponse(ResponseMeaning aMeaning);
  /// Reports to the coordinator that the response has begun, if this daemon holds a slot.
  void RecordStarted();
  /// Bytes of the response have arrived.
  void RecordHeard();
  /// Records that the new connection of the attempt led to no endpoint.
  void RecordNotReached(bool aWasEstablished);
  /// Logs and counts that this daemon gives up a call that has not ended, with the evidence.
  void RecordGivenUp(const char* aWhy);
  /// Records what the endpoint states about itself.
  void RecordNotice(ResponseMeaning aMeaning, const MessageHead& aHead);
  void OnResponseBytes(std::string aBytes);
  /// Handles bytes of a response that is not streamed.
  void BufferResponse(absl::string_view aBytes);
  void OnResponseEnd(const RelayResult& aResult);
  /// Called when the endpoint has ended its response in order. aEnd is Complete or Closed.
  void OnResponseReceived(RelayCallEnd aEnd);
  /// Forwards the bytes of a resumable stream that follow its last complete event.
  void ForwardRemainder();
  void OnAttemptFailed(SlotOutcome aSlotOutcome, const std::string& aReason);
  /// Whether the request may be sent again although an earlier attempt may have run it.
  bool MayRunAgain() const;
  /// Whether another response may follow what the caller has received.
  bool MayResume() const;
  /// Returns whether another attempt may follow now. Charges the retry budget if an earlier attempt
  /// was written to an endpoint.
  bool TryReserveRetry();
  /// The endpoint of the present attempt, for logs; "none" if it goes through another daemon.
  std::string NameOfEndpoint() const;
  /// How many attempts may run the request.
  int MaxRuns() const;
  void Retry(SlotOutcome aSlotOutcome);
  bool IsStream() const { return m_request.m_route->m_kind == RequestKind::Stream; }
  bool IsResumableStream() const { return IsStream() && m_request.m_route->m_is_resumable; }
  void Forward(absl::string_view aBytes);
  void StartResponse(BodyFraming aFraming);
  /// The header fields of the endpoint's response as this daemon passes them on.
  HttpHeaders EndpointResponseHeaders() const;
  void ReleaseSlot(SlotOutcome aSlotOutcome);
  /// Gives up the place in the queue or the slot, and the call to the endpoint.
  void Abandon(SlotOutcome aSlotOutcome);
  /// Ends the request before it has a complete response: its caller is told whether it may have
  /// run, or sees that the response is truncated. The outcome is what a daemon that forwarded the
  /// request is told if it has not run.
  void EndUnserved(const char* aReason, ForwardedOutcome aNotRun);
  /// Whether the daemon stops before an endpoint would begin its response.
  bool StopsBefore(TimePoint aFirstByteAt) const;
  /// When the stop of the daemon ends the request, in its present state.
  TimePoint EndOfStop(const StopSchedule& aStop) const;
  /// Abandons the request and ends it unserved.
  void EndForStop();
  void OnCallerDisconnected();
  /// Ends the call to the endpoint early, but still records what the endpoint states about itself
  /// in a response that is on its way.
  void CancelCall();
  /// Responds that the request has not run and never will.
  void RespondNotRun(int aStatus,
                     const char* aReason,
                     Milliseconds aRetryAfter,
                     ForwardedOutcome aOutcome = ForwardedOutcome::NotRun);
  /// The header fields of a response of this daemon.
  HttpHeaders OwnResponseHeaders(const ForwardedReply& aReply) const;
  /// Responds that the request may or may not have run.
  void RespondOutcomeUnknown(int aStatus, const char* aReason);
  void AbortResponse(const char* aReason);
  void Finish(const char* aOutcome, int aStatus, const std::string& aReason);

  ActiveRequestDependencies m_dependencies;
  RelayExchangePtr m_exchange;
  AdmittedRequest m_request;
  DoneHandler m_on_done;
  Phase m_phase = Phase::Waiting;
  std::optional<std::uint64_t> m_slot_request_id;
  std::optional<std::uint64_t> m_stream_lookup;
  /// The request in whose response the first event of this stream arrived.
  std::string m_stream;
  /// The only software version at which the stream may continue; nothing before its first event.
  std::optional<SoftwareVersion> m_required_version;
  std::unique_ptr<RelayCall> m_call;
  std::optional<SendAttempt> m_attempt;
  std::optional<SecondWay> m_second_way;
  std::vector<EndpointId> m_tried_endpoints;
  /// Attempts that may have run the request.
  int m_possible_runs = 0;
  /// Attempts whose request was written to a connection to an endpoint.
  int m_written_attempts = 0;
  /// Slots requested and daemons to which the request was forwarded.
  int m_slot_request_count = 0;
  /// Endpoints to which no connection could be established.
  int m_unreached_count = 0;
  /// Whether the next attempt may use a connection that is open.
  bool m_may_reuse_connection = true;
  std::vector<HostName> m_forwarded_to;
  EventSplitter m_event_splitter;
  /// Body of a response that is forwarded once it is complete.
  std::string m_buffered_body;
  std::optional<Milliseconds> m_first_byte_after;
};

}
