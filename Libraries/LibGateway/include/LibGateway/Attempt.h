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
struct AttemptSurroundings
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
  TimePoint m_end_at;
};

/// One request of a caller on its way through the system: it waits for a place, is sent, and its
/// answer is passed on. It is sent once more only if it is proved that it did not run, or if it may
/// run more than once. Every attempt ends with exactly one final answer. Not thread-safe.
class Attempt
{
public:
  using DoneHandler = std::function<void(Attempt*)>;

  /// aOnDone is called once, from the loop; it may destroy the attempt.
  Attempt(const AttemptSurroundings& aSurroundings,
          RelayExchangePtr aExchange,
          AdmittedRequest aRequest,
          DoneHandler aOnDone);
  ~Attempt();
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  void Begin();
  TimePoint EndAt() const { return m_request.m_end_at; }
  /// The deadline or the route's timeout has passed.
  void OnTimeUp();

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
    bool m_has_begun = false;
    MessageHead m_answer;
  };

  TimePoint Now() const;
  void AskForPlace();
  SlotRequest MakePlaceRequest() const;
  void OnGranted(const SlotGrant& aGrant, const HostName& aHome);
  void OnRefused(const SlotRefusal& aRefusal, const HostName& aHome);
  void SendTo(const EndpointEntry& aEndpoint);
  void OnWritten();
  void OnAnswerHead(const MessageHead& aHead);
  void OnAnswerBytes(std::string aBytes);
  void OnAnswerEnd(const RelayResult& aResult);
  void OnWholeAnswer();
  /// Passes on what follows the last whole event. False when it may be part of one.
  bool TakeRestOfEvents();
  void OnFailedSend(SlotOutcome aEnd, const std::string& aWhy);
  /// Whether another send can follow one that may have run.
  bool MayRunAgain() const;
  /// Whether another send may follow now; takes it from the retry budget if so.
  bool MaySendAgain();
  void SendAgain(SlotOutcome aEnd);
  bool IsStream() const { return m_request.m_route->m_kind == RequestKind::Stream; }
  bool IsResumableStream() const { return IsStream() && m_request.m_route->m_is_resumable; }
  void PassOn(absl::string_view aBytes);
  void StartAnswer(BodyFraming aFraming);
  void EndPlace(SlotOutcome aEnd);
  void OnCallerGone();
  /// The request has not run and never will.
  void AnswerNotRun(int aStatus, const char* aReason, Milliseconds aRetryAfter);
  /// The request may have run.
  void AnswerUnknown(int aStatus, const char* aReason);
  void CutAnswer(const char* aReason);
  void Finish(const char* aOutcome, int aStatus, const std::string& aReason);

  AttemptSurroundings m_surroundings;
  RelayExchangePtr m_exchange;
  AdmittedRequest m_request;
  DoneHandler m_on_done;
  Phase m_phase = Phase::Waiting;
  std::optional<std::uint64_t> m_ticket;
  std::unique_ptr<RelayCall> m_call;
  std::optional<Send> m_send;
  std::vector<EndpointId> m_tried;
  /// Sends that may have run the request.
  int m_runs = 0;
  /// Sends of which something reached an endpoint.
  int m_arrivals = 0;
  int m_places_asked = 0;
  EventSplitter m_events;
  /// Body of an answer that is passed on when it is whole.
  std::string m_held_body;
  std::optional<Milliseconds> m_first_part_after;
};

}
