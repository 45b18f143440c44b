#include <LibDispatch/Dispatcher.h>

#include <LibCore/Log.h>
#include <absl/random/random.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace auburnhitch {

namespace {

constexpr Milliseconds kConnectTimeout{ 500 };
constexpr Milliseconds kCancelTimeout{ 1'000 };
/// How long a request without a waiter is kept, so that its caller can reconnect.
constexpr Milliseconds kAbandonedGracePeriod{ 2'000 };
constexpr std::size_t kMaxBufferedResponseBytes = 4 << 20;

ErrorCode
CodeOf(RejectionReason aReason)
{
  switch (aReason) {
    case RejectionReason::NoEndpoint:
      return ErrorCode::NoEndpoint;
    case RejectionReason::DeadlineUnreachable:
      return ErrorCode::DeadlineUnreachable;
    case RejectionReason::Overloaded:
      return ErrorCode::Overloaded;
    case RejectionReason::Shed:
      return ErrorCode::Shed;
    case RejectionReason::DeadlinePassed:
      return ErrorCode::DeadlinePassed;
  }
  return ErrorCode::Overloaded;
}

WaitingRequest
ToWaiting(const DispatchRequest& aRequest)
{
  return WaitingRequest{ aRequest.m_key,   aRequest.m_tier, aRequest.m_is_sheddable,
                         aRequest.m_share, aRequest.m_work, aRequest.m_deadline,
                         aRequest.m_prefix };
}

}

Dispatcher::Dispatcher(Dependencies aDependencies,
                       const SchedulerLimits& aLimits,
                       SchedulerContextProvider aContextProvider)
  : m_dependencies(aDependencies)
  , m_limits(aLimits)
  , m_context_provider(std::move(aContextProvider))
{
}

Dispatcher::~Dispatcher()
{
  for (auto& [key, call] : m_calls) {
    if (call->m_relay != nullptr) {
      call->m_relay->Abandon();
    }
    for (const Waiter& waiter : call->m_waiters) {
      waiter.m_exchange->SetOnClosed(nullptr);
    }
  }
  for (auto& [id, relay] : m_relays) {
    relay->Abandon();
  }
}

ServiceScheduler&
Dispatcher::SchedulerOf(const ServiceName& aService)
{
  auto& scheduler = m_schedulers[aService];
  if (scheduler == nullptr) {
    scheduler = std::make_unique<ServiceScheduler>(m_limits);
    scheduler->SetDaemons(m_sharing_daemons, m_own_host);
  }
  return *scheduler;
}

void
Dispatcher::UpdateService(const ServiceDocument& aDocument)
{
  SchedulerOf(aDocument.m_service).UpdateEndpoints(aDocument.m_endpoints);
  m_endpoints[aDocument.m_service] = aDocument.m_endpoints;
}

void
Dispatcher::SetDaemons(const std::vector<HostName>& aDaemons, const HostName& aOwnHost)
{
  m_sharing_daemons = aDaemons;
  m_own_host = aOwnHost;
  for (auto& [service, scheduler] : m_schedulers) {
    scheduler->SetDaemons(aDaemons, aOwnHost);
  }
}

void
Dispatcher::StopAccepting(std::string aUseInstead)
{
  m_is_accepting = false;
  m_use_instead = std::move(aUseInstead);
}

std::size_t
Dispatcher::WaitingCount(const ServiceName& aService) const
{
  auto found = m_schedulers.find(aService);
  return found == m_schedulers.end() ? 0 : found->second->WaitingCount();
}

std::vector<std::size_t>
Dispatcher::WaitingByTier(const ServiceName& aService, std::size_t aTiers) const
{
  auto found = m_schedulers.find(aService);
  return found == m_schedulers.end() ? std::vector<std::size_t>(aTiers, 0)
                                     : found->second->WaitingByTier(aTiers);
}

CallerError
Dispatcher::MakeError(const Call& aCall, Outcome aOutcome, ErrorCode aCode) const
{
  CallerError error;
  error.m_code = aCode;
  error.m_outcome = aOutcome;
  error.m_identity = aCall.m_request.m_key.m_identity.ToString();
  return error;
}

// Jitter keeps callers that were refused at the same time from retrying at the same time.
Milliseconds
Dispatcher::AddJitter(Milliseconds aDelay) const
{
  static absl::BitGen s_generator;
  const auto extra = absl::Uniform<std::int64_t>(s_generator, 0, aDelay.count() / 2 + 1);
  return aDelay + Milliseconds(extra);
}

void
Dispatcher::Submit(const DispatchRequest& aRequest, const Waiter& aWaiter)
{
  auto [entry, is_new] = m_dependencies.m_ledger.Begin(aRequest.m_key, aRequest.m_digest);
  if (is_new) {
    SubmitNew(aRequest, aWaiter);
    return;
  }
  if (entry->m_digest != aRequest.m_digest) {
    CallerError error;
    error.m_code = ErrorCode::IdentityReused;
    error.m_identity = aRequest.m_key.m_identity.ToString();
    ReplyWithError(*aWaiter.m_exchange, error);
    return;
  }
  auto running = m_calls.find(aRequest.m_key);
  if (running != m_calls.end()) {
    JoinExistingCall(running->second, aWaiter);
    return;
  }
  RespondFromLedger(aRequest, *entry, aWaiter);
}

void
Dispatcher::SubmitNew(const DispatchRequest& aRequest, const Waiter& aWaiter)
{
  auto call = std::make_shared<Call>();
  call->m_request = aRequest;
  call->m_arrived = m_dependencies.m_loop.Now();
  if (!m_is_accepting) {
    m_dependencies.m_ledger.TryCloseUnsent(aRequest.m_key, NameOf(ErrorCode::Leaving));
    CallerError error = MakeError(*call, Outcome::NotRun, ErrorCode::Leaving);
    error.m_use_instead = m_use_instead;
    error.m_retry_after = Milliseconds(0);
    ReplyWithError(*aWaiter.m_exchange, error);
    m_dependencies.m_observer.OnRejected(aRequest, ErrorCode::Leaving);
    return;
  }
  m_calls.emplace(aRequest.m_key, call);
  AddWaiter(call, aWaiter);
  const auto rejected = SchedulerOf(aRequest.m_service)
                          .Admit(ToWaiting(aRequest),
                                 m_context_provider(aRequest.m_service),
                                 m_dependencies.m_loop.Now());
  for (const RejectedRequest& rejection : rejected) {
    RejectUnsent(rejection);
  }
  DispatchWaiting(aRequest.m_service);
}

void
Dispatcher::AddWaiter(const CallPtr& aCall, const Waiter& aWaiter)
{
  aCall->m_waiters.push_back(aWaiter);
  aCall->m_abandoned_since = std::nullopt;
  const std::weak_ptr<Call> weak = aCall;
  const HttpExchange* exchange = aWaiter.m_exchange.get();
  aWaiter.m_exchange->SetOnClosed([this, weak, exchange] {
    const CallPtr call = weak.lock();
    if (call == nullptr) {
      return;
    }
    std::erase_if(call->m_waiters,
                  [exchange](const Waiter& aOther) { return aOther.m_exchange.get() == exchange; });
    if (call->m_waiters.empty()) {
      call->m_abandoned_since = m_dependencies.m_loop.Now();
    }
  });
}

void
Dispatcher::JoinExistingCall(const CallPtr& aCall, const Waiter& aWaiter)
{
  m_dependencies.m_decisions.Add(
    "ledger", aCall->m_request.m_key.ToString(), "Joins a repeated request to the first.");
  if (aCall->m_relay == nullptr) {
    AddWaiter(aCall, aWaiter);
    return;
  }
  aCall->m_abandoned_since = std::nullopt;
  ResumeStream(aCall->m_request, aCall->m_start->m_choice.m_endpoint.m_host, aWaiter);
}

void
Dispatcher::RespondFromLedger(const DispatchRequest& aRequest,
                              const LedgerEntry& aEntry,
                              const Waiter& aWaiter)
{
  const std::string identity = aRequest.m_key.m_identity.ToString();
  if (aEntry.m_cached_response != nullptr) {
    m_dependencies.m_decisions.Add("ledger", aRequest.m_key.ToString(), "Repeats the kept answer.");
    ReplyWithResponse(*aWaiter.m_exchange, identity, *aEntry.m_cached_response, true);
    return;
  }
  CallerError error;
  error.m_identity = identity;
  error.m_code = ErrorCodeFromName(aEntry.m_code);
  if (aEntry.m_state == RequestState::NotRun) {
    error.m_outcome = Outcome::NotRun;
    error.m_retry_after = AddJitter(m_limits.m_min_retry_after);
    ReplyWithError(*aWaiter.m_exchange, error);
    return;
  }
  if (aWaiter.m_wants_stream && !aEntry.m_endpoint.IsEmpty()) {
    ResumeStream(aRequest, aEntry.m_endpoint, aWaiter);
    return;
  }
  const bool is_done = aEntry.m_state == RequestState::Done;
  error.m_outcome = is_done ? Outcome::Done : Outcome::Unknown;
  if (is_done) {
    error.m_code = ErrorCode::ResponseNotCached;
  }
  ReplyWithError(*aWaiter.m_exchange, error);
}

void
Dispatcher::ResumeStream(const DispatchRequest& aRequest,
                         const HostName& aHost,
                         const Waiter& aWaiter)
{
  const auto& endpoints = m_endpoints[aRequest.m_service];
  const auto endpoint = std::find_if(
    endpoints.begin(), endpoints.end(), [&](const Endpoint& aOne) { return aOne.m_host == aHost; });
  const std::string identity = aRequest.m_key.m_identity.ToString();
  if (endpoint == endpoints.end() || !endpoint->m_resumes) {
    CallerError error;
    error.m_identity = identity;
    error.m_code = ErrorCode::ResponseNotCached;
    error.m_outcome = Outcome::Unknown;
    ReplyWithError(*aWaiter.m_exchange, error);
    return;
  }
  StreamRelay::Source source;
  source.m_address = endpoint->m_address;
  source.m_request = endpoint_protocol::ResumeRequest(aRequest.m_key, aWaiter.m_after_event);
  source.m_resume_address = endpoint->m_address;
  source.m_checks_request_id = endpoint->m_echoes_identity;
  StreamRelay::Target target;
  target.m_exchange = aWaiter.m_exchange;
  target.m_after_event = aWaiter.m_after_event;
  target.m_headers = { { "Content-Type", "text/event-stream" },
                       { headers::kIdentity, identity },
                       { headers::kReplayed, "true" },
                       { headers::kResumeToken, aHost.Value() } };
  const std::int64_t id = m_next_id++;
  auto relay =
    StreamRelay::Create(m_dependencies.m_loop,
                        m_dependencies.m_client,
                        aRequest.m_key,
                        aRequest.m_deadline,
                        std::move(source),
                        std::move(target),
                        [this, id, identity, exchange = aWaiter.m_exchange](const RelayEnd& aEnd) {
                          const auto ended = m_relays.extract(id);
                          if (aEnd.m_end == AttemptEnd::Done && aEnd.m_response == nullptr) {
                            return;
                          }
                          CallerError error;
                          error.m_identity = identity;
                          error.m_code = ErrorCode::ResponseNotCached;
                          error.m_outcome = Outcome::Unknown;
                          ReplyWithError(*exchange, error);
                        });
  m_relays[id] = relay;
  aWaiter.m_exchange->SetOnClosed([this, id] {
    const auto ended = m_relays.extract(id);
    if (!ended.empty()) {
      ended.mapped()->Abandon();
    }
  });
  m_dependencies.m_decisions.Add(
    "dispatch",
    aRequest.m_key.ToString(),
    absl::StrCat(
      "Takes the stream up again at ", aHost.Value(), " after event ", aWaiter.m_after_event, "."));
  relay->Start();
}

void
Dispatcher::DispatchWaiting(const ServiceName& aService)
{
  ServiceScheduler& scheduler = SchedulerOf(aService);
  const SchedulerContext context = m_context_provider(aService);
  while (true) {
    const TimePoint now = m_dependencies.m_loop.Now();
    // Overdue requests are rejected before any is sent: if the process was paused, requests may
    // have passed their deadlines meanwhile.
    for (const RejectedRequest& rejection : scheduler.TakeOverdue(context, now)) {
      RejectUnsent(rejection);
    }
    const auto decision = scheduler.Next(context, now);
    if (!decision) {
      return;
    }
    auto found = m_calls.find(decision->m_request.m_key);
    if (found == m_calls.end()) {
      scheduler.RecordEnded(decision->m_choice.m_endpoint.m_host, decision->m_request.m_key, {});
      continue;
    }
    StartCall(found->second, *decision);
  }
}

void
Dispatcher::StartCall(const CallPtr& aCall, const StartDecision& aDecision)
{
  const HostName& host = aDecision.m_choice.m_endpoint.m_host;
  const TimePoint now = m_dependencies.m_loop.Now();
  aCall->m_start = aDecision;
  aCall->m_started = now;
  if (!m_dependencies.m_ledger.TryMarkSent(aCall->m_request.m_key, host, now)) {
    ReleaseEndpoint(aCall, std::nullopt);
    aCall->m_start = std::nullopt;
    // Either the identity expired, after which no request may be sent, or the request was sent
    // before.
    FinishWithError(aCall, Outcome::Unknown, ErrorCode::IdentityExpired);
    return;
  }
  ++m_running;
  m_dependencies.m_decisions.Add("route",
                                 aCall->m_request.m_key.ToString(),
                                 absl::StrCat("Sends tier ",
                                              aCall->m_request.m_tier_name.Value(),
                                              " to ",
                                              host.Value(),
                                              ", best of ",
                                              aDecision.m_choice.m_candidates,
                                              ", expected ",
                                              aDecision.m_choice.m_expected.count(),
                                              " ms, waited ",
                                              ToMilliseconds(now - aCall->m_arrived),
                                              " ms."));
  if (aCall->m_request.m_wants_stream) {
    StartStream(aCall);
  } else {
    StartBufferedCall(aCall);
  }
}

void
Dispatcher::StartBufferedCall(const CallPtr& aCall)
{
  const Endpoint& endpoint = aCall->m_start->m_choice.m_endpoint;
  const Milliseconds time_left = TimeLeft(aCall->m_request.m_deadline, m_dependencies.m_loop.Now());
  HttpCallLimits limits;
  limits.m_connect_timeout = kConnectTimeout;
  limits.m_total_timeout = time_left;
  limits.m_silence_timeout = limits.m_total_timeout;
  limits.m_max_body_bytes = kMaxBufferedResponseBytes;
  limits.m_reuse_connection = endpoint.m_echoes_identity;
  HttpCallHandlers handlers;
  handlers.m_on_end = [this, aCall](const HttpOutcome& aOutcome) {
    OnBufferedCallEnd(aCall, aOutcome);
  };
  aCall->m_http_call = m_dependencies.m_client.Send(
    endpoint.m_address,
    endpoint_protocol::WithRequestId(aCall->m_request.m_http, aCall->m_request.m_key),
    limits,
    std::move(handlers));
}

void
Dispatcher::StartStream(const CallPtr& aCall)
{
  const Endpoint& endpoint = aCall->m_start->m_choice.m_endpoint;
  StreamRelay::Source source;
  source.m_address = endpoint.m_address;
  source.m_request =
    endpoint_protocol::WithRequestId(aCall->m_request.m_http, aCall->m_request.m_key);
  source.m_checks_request_id = endpoint.m_echoes_identity;
  if (endpoint.m_resumes) {
    source.m_resume_address = endpoint.m_address;
  }
  StreamRelay::Target target;
  // The first caller receives the stream directly; callers that joined meanwhile resume it.
  if (aCall->m_waiters.empty()) {
    m_dependencies.m_ledger.MarkUnsent(aCall->m_request.m_key);
    --m_running;
    ReleaseEndpoint(aCall, std::nullopt);
    aCall->m_start = std::nullopt;
    m_dependencies.m_ledger.TryCloseUnsent(aCall->m_request.m_key, NameOf(ErrorCode::Cancelled));
    FinishWithError(aCall, Outcome::NotRun, ErrorCode::Cancelled);
    return;
  }
  const Waiter first = aCall->m_waiters.front();
  target.m_exchange = first.m_exchange;
  target.m_after_event = first.m_after_event;
  target.m_headers = { { "Content-Type", "text/event-stream" },
                       { "Cache-Control", "no-cache" },
                       { headers::kIdentity, aCall->m_request.m_key.m_identity.ToString() } };
  if (endpoint.m_resumes) {
    target.m_headers.emplace_back(headers::kResumeToken, endpoint.m_host.Value());
  }
  aCall->m_relay =
    StreamRelay::Create(m_dependencies.m_loop,
                        m_dependencies.m_client,
                        aCall->m_request.m_key,
                        aCall->m_request.m_deadline,
                        std::move(source),
                        std::move(target),
                        [this, aCall](const RelayEnd& aEnd) { FinishAttempt(aCall, aEnd); });
  aCall->m_relay->Start();
  while (aCall->m_waiters.size() > 1) {
    const Waiter joined = aCall->m_waiters.back();
    aCall->m_waiters.pop_back();
    joined.m_exchange->SetOnClosed(nullptr);
    ResumeStream(aCall->m_request, endpoint.m_host, joined);
  }
}

void
Dispatcher::OnBufferedCallEnd(const CallPtr& aCall, const HttpOutcome& aOutcome)
{
  const auto call = std::move(aCall->m_http_call);
  const Endpoint& endpoint = aCall->m_start->m_choice.m_endpoint;
  RelayEnd end;
  if (!aOutcome.m_any_byte_sent) {
    end.m_end = AttemptEnd::NothingSent;
    FinishAttempt(aCall, end);
    return;
  }
  if (aOutcome.m_end != HttpEnd::Complete) {
    FetchResponse(aCall, ErrorCode::EndpointBroken);
    return;
  }
  if (!endpoint_protocol::IsResponseTo(aCall->m_request.m_key, endpoint, aOutcome.m_headers)) {
    FetchResponse(aCall, ErrorCode::ResponseMismatched);
    return;
  }
  end.m_response = std::make_shared<const CachedResponse>(endpoint_protocol::ToResponse(aOutcome));
  end.m_time_to_first_event = m_dependencies.m_loop.Now() - aCall->m_started;
  end.m_end = endpoint_protocol::IsRefusedBeforeStart(aOutcome.m_status, aOutcome.m_headers)
                ? AttemptEnd::RefusedBeforeStart
                : AttemptEnd::Done;
  end.m_rest = endpoint_protocol::RestAfterRefusal(aOutcome.m_status, aOutcome.m_headers);
  FinishAttempt(aCall, end);
}

// Requests a response again after its transfer failed, if the endpoint can resume. Never starts the
// request.
void
Dispatcher::FetchResponse(const CallPtr& aCall, ErrorCode aCode)
{
  const Endpoint& endpoint = aCall->m_start->m_choice.m_endpoint;
  const Milliseconds time_left = TimeLeft(aCall->m_request.m_deadline, m_dependencies.m_loop.Now());
  RelayEnd unknown;
  unknown.m_end = AttemptEnd::Unknown;
  const bool is_late = m_dependencies.m_loop.Now() >= aCall->m_request.m_deadline;
  unknown.m_code = is_late ? ErrorCode::DeadlinePassed : aCode;
  if (!endpoint.m_resumes || is_late) {
    FinishAttempt(aCall, unknown);
    return;
  }
  HttpCallLimits limits;
  limits.m_connect_timeout = kConnectTimeout;
  limits.m_total_timeout = time_left;
  HttpCallHandlers handlers;
  handlers.m_on_end = [this, aCall, unknown](const HttpOutcome& aOutcome) {
    constexpr int kHttpOk = 200;
    const Endpoint& from = aCall->m_start->m_choice.m_endpoint;
    const bool is_response =
      aOutcome.m_end == HttpEnd::Complete && aOutcome.m_status == kHttpOk &&
      endpoint_protocol::IsResponseTo(aCall->m_request.m_key, from, aOutcome.m_headers);
    RelayEnd end = unknown;
    if (is_response) {
      end.m_end = AttemptEnd::Done;
      end.m_response =
        std::make_shared<const CachedResponse>(endpoint_protocol::ToResponse(aOutcome));
    }
    const auto ended = std::move(aCall->m_http_call);
    FinishAttempt(aCall, end);
  };
  m_dependencies.m_decisions.Add(
    "dispatch", aCall->m_request.m_key.ToString(), "Fetches the answer whose delivery broke.");
  aCall->m_http_call = m_dependencies.m_client.Send(
    endpoint.m_address, endpoint_protocol::FetchRequest(aCall->m_request.m_key), limits, handlers);
}

void
Dispatcher::ReleaseEndpoint(const CallPtr& aCall, std::optional<Duration> aTook)
{
  SchedulerOf(aCall->m_request.m_service)
    .RecordEnded(aCall->m_start->m_choice.m_endpoint.m_host, aCall->m_request.m_key, aTook);
}

void
Dispatcher::RecordRest(const CallPtr& aCall, Milliseconds aRest)
{
  const HostName& host = aCall->m_start->m_choice.m_endpoint.m_host;
  LogOf("dispatch")
    .info("event=rest-learned endpoint={} service={} identity={} rest_ms={}",
          host.Value(),
          aCall->m_request.m_service.Value(),
          aCall->m_request.m_key.ToString(),
          aRest.count());
  SchedulerOf(aCall->m_request.m_service).RecordRest(host, m_dependencies.m_loop.Now() + aRest);
}

void
Dispatcher::FinishAttempt(const CallPtr& aCall, const RelayEnd& aEnd)
{
  --m_running;
  if (aEnd.m_end == AttemptEnd::NothingSent) {
    ReturnUnsent(aCall);
    return;
  }
  std::optional<Duration> took;
  if (aEnd.m_end == AttemptEnd::Done) {
    took = m_dependencies.m_loop.Now() - aCall->m_started;
  }
  ReleaseEndpoint(aCall, took);
  if (aEnd.m_rest > Milliseconds(0)) {
    RecordRest(aCall, aEnd.m_rest);
  }
  const ServiceName service = aCall->m_request.m_service;
  switch (aEnd.m_end) {
    case AttemptEnd::Done:
      m_dependencies.m_ledger.Close(aCall->m_request.m_key, Outcome::Done, "", aEnd.m_response);
      FinishSuccessfully(aCall, aEnd.m_response);
      break;
    case AttemptEnd::RefusedBeforeStart:
      m_dependencies.m_ledger.Close(
        aCall->m_request.m_key, Outcome::NotRun, NameOf(ErrorCode::EndpointRefused), nullptr);
      FinishWithError(aCall, Outcome::NotRun, ErrorCode::EndpointRefused);
      break;
    default:
      m_dependencies.m_ledger.Close(
        aCall->m_request.m_key, Outcome::Unknown, NameOf(aEnd.m_code), nullptr);
      if (aEnd.m_code == ErrorCode::DeadlinePassed) {
        CancelAtEndpoint(aCall);
      }
      FinishWithError(aCall, Outcome::Unknown, aEnd.m_code);
      break;
  }
  DispatchWaiting(service);
}

void
Dispatcher::ReturnUnsent(const CallPtr& aCall)
{
  const StartDecision started = *aCall->m_start;
  m_dependencies.m_ledger.MarkUnsent(aCall->m_request.m_key);
  m_dependencies.m_decisions.Add(
    "route",
    aCall->m_request.m_key.ToString(),
    absl::StrCat("Takes it back unsent from ", started.m_choice.m_endpoint.m_host.Value(), "."));
  aCall->m_start = std::nullopt;
  aCall->m_relay = nullptr;
  SchedulerOf(aCall->m_request.m_service).ReturnUnsent(started, m_dependencies.m_loop.Now());
  DispatchWaiting(aCall->m_request.m_service);
}

void
Dispatcher::FinishSuccessfully(const CallPtr& aCall, const CachedResponsePtr& aResponse)
{
  const Duration took = m_dependencies.m_loop.Now() - aCall->m_arrived;
  m_dependencies.m_observer.OnFinished(aCall->m_request, Outcome::Done, took);
  m_dependencies.m_decisions.Add("dispatch",
                                 aCall->m_request.m_key.ToString(),
                                 absl::StrCat("Done after ", ToMilliseconds(took), " ms."));
  const auto waiters = std::move(aCall->m_waiters);
  m_calls.erase(aCall->m_request.m_key);
  aCall->m_relay = nullptr;
  if (aResponse == nullptr) {
    return;
  }
  const std::string identity = aCall->m_request.m_key.m_identity.ToString();
  for (const Waiter& waiter : waiters) {
    ReplyWithResponse(*waiter.m_exchange, identity, *aResponse, false);
  }
}

void
Dispatcher::FinishWithError(const CallPtr& aCall, Outcome aOutcome, ErrorCode aCode)
{
  const Duration took = m_dependencies.m_loop.Now() - aCall->m_arrived;
  m_dependencies.m_observer.OnFinished(aCall->m_request, aOutcome, took);
  m_dependencies.m_decisions.Add(
    "dispatch",
    aCall->m_request.m_key.ToString(),
    absl::StrCat("Ends as ", NameOf(aOutcome), ": ", NameOf(aCode), "."));
  const auto waiters = std::move(aCall->m_waiters);
  m_calls.erase(aCall->m_request.m_key);
  aCall->m_relay = nullptr;
  CallerError error = MakeError(*aCall, aOutcome, aCode);
  if (aOutcome == Outcome::NotRun) {
    error.m_retry_after = AddJitter(m_limits.m_min_retry_after);
  }
  for (const Waiter& waiter : waiters) {
    ReplyWithError(*waiter.m_exchange, error);
  }
}

void
Dispatcher::RejectUnsent(const RejectedRequest& aRejected)
{
  auto found = m_calls.find(aRejected.m_request.m_key);
  if (found == m_calls.end()) {
    return;
  }
  const CallPtr call = found->second;
  const ErrorCode code = CodeOf(aRejected.m_reason);
  // "Not run" is certain only if the ledger could close the identity before anything was sent.
  const bool is_closed =
    m_dependencies.m_ledger.TryCloseUnsent(call->m_request.m_key, NameOf(code));
  CallerError error = MakeError(*call, is_closed ? Outcome::NotRun : Outcome::Unknown, code);
  error.m_retry_after = AddJitter(aRejected.m_retry_after);
  m_dependencies.m_observer.OnRejected(call->m_request, code);
  m_dependencies.m_decisions.Add("queue",
                                 call->m_request.m_key.ToString(),
                                 absl::StrCat("Gives up tier ",
                                              call->m_request.m_tier_name.Value(),
                                              ": ",
                                              NameOf(code),
                                              ", come back after ",
                                              error.m_retry_after->count(),
                                              " ms."));
  const auto waiters = std::move(call->m_waiters);
  m_calls.erase(found);
  for (const Waiter& waiter : waiters) {
    ReplyWithError(*waiter.m_exchange, error);
  }
}

void
Dispatcher::CancelAtEndpoint(const CallPtr& aCall)
{
  if (!aCall->m_start || aCall->m_request.m_type != ServiceType::Engine) {
    return;
  }
  const std::int64_t id = m_next_id++;
  HttpCallLimits limits;
  limits.m_total_timeout = kCancelTimeout;
  HttpCallHandlers handlers;
  handlers.m_on_end = [this, id](const HttpOutcome&) { const auto ended = m_cancels.extract(id); };
  m_cancels[id] =
    m_dependencies.m_client.Send(aCall->m_start->m_choice.m_endpoint.m_address,
                                 endpoint_protocol::CancelRequest(aCall->m_request.m_key),
                                 limits,
                                 std::move(handlers));
}

void
Dispatcher::CancelAbandoned(TimePoint aNow)
{
  std::vector<CallPtr> abandoned;
  for (const auto& [key, call] : m_calls) {
    if (call->m_abandoned_since && aNow - *call->m_abandoned_since > kAbandonedGracePeriod) {
      abandoned.push_back(call);
    }
  }
  for (const CallPtr& call : abandoned) {
    const RequestKey& key = call->m_request.m_key;
    if (!call->m_start) {
      SchedulerOf(call->m_request.m_service).Remove(key);
      const bool is_closed =
        m_dependencies.m_ledger.TryCloseUnsent(key, NameOf(ErrorCode::Cancelled));
      FinishWithError(call, is_closed ? Outcome::NotRun : Outcome::Unknown, ErrorCode::Cancelled);
      continue;
    }
    // Of the running requests only model streams of a sheddable tier are cancelled; others run to
    // their end.
    if (call->m_relay != nullptr && call->m_request.m_is_sheddable) {
      call->m_relay->Abandon();
      CancelAtEndpoint(call);
      RelayEnd end;
      end.m_code = ErrorCode::Cancelled;
      FinishAttempt(call, end);
    }
  }
}

void
Dispatcher::Tick()
{
  CancelAbandoned(m_dependencies.m_loop.Now());
  std::vector<ServiceName> services;
  for (const auto& [service, scheduler] : m_schedulers) {
    services.push_back(service);
  }
  for (const ServiceName& service : services) {
    DispatchWaiting(service);
  }
}

}
