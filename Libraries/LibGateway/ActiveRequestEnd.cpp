#include <LibGateway/ActiveRequest.h>

namespace auburnhitch {

namespace {

constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

}

void
ActiveRequest::OnCallerDisconnected()
{
  if (m_phase == Phase::Done) {
    return;
  }
  Abandon(SlotOutcome::Cancelled);
  if (const char* why = m_exchange->ClosedWhy()) {
    Finish("cut", 0, why);
    return;
  }
  Finish("caller-gone", 0, "the caller closed its connection");
}

void
ActiveRequest::OnDeadline()
{
  if (m_phase == Phase::Done) {
    return;
  }
  const bool is_connecting = m_attempt && !m_attempt->m_is_written;
  Abandon(is_connecting ? SlotOutcome::Unreachable : SlotOutcome::Cancelled);
  EndUnserved("the deadline has passed", ForwardedOutcome::NotRun);
}

void
ActiveRequest::Abandon(SlotOutcome aSlotOutcome)
{
  if (m_phase == Phase::Waiting && m_slot_request_id) {
    m_dependencies.m_broker->Withdraw(*std::exchange(m_slot_request_id, std::nullopt));
  }
  // Closing the connection signals the endpoint to stop.
  CancelCall();
  DropSecondWay("the request ends");
  ReleaseSlot(aSlotOutcome);
}

void
ActiveRequest::EndUnserved(const char* aReason, ForwardedOutcome aNotRun)
{
  if (m_exchange->HasStarted()) {
    AbortResponse(aReason);
  } else if (m_possible_runs > 0) {
    RespondOutcomeUnknown(kGatewayTimeout, aReason);
  } else {
    RespondNotRun(kServiceUnavailable, aReason, kShortRetryAfter, aNotRun);
  }
}

bool
ActiveRequest::StopsBefore(TimePoint aFirstByteAt) const
{
  const auto& stop = *m_dependencies.m_stop;
  // The caller of a response that has begun gets as much of it as can be forwarded.
  return stop && !m_exchange->HasStarted() && aFirstByteAt >= stop->RunsUntil();
}

TimePoint
ActiveRequest::EndOfStop(const StopSchedule& aStop) const
{
  if (m_exchange->HasStarted()) {
    return aStop.EndsAt();
  }
  const bool is_running = m_call != nullptr && m_attempt->m_is_written;
  return is_running ? aStop.RunsUntil() : aStop.WaitsUntil();
}

void
ActiveRequest::OnStopping()
{
  const auto& stop = *m_dependencies.m_stop;
  if (stop && m_phase != Phase::Done && Now() >= EndOfStop(*stop)) {
    EndForStop();
  }
}

void
ActiveRequest::EndForStop()
{
  Abandon(SlotOutcome::Cancelled);
  EndUnserved("this daemon stops", ForwardedOutcome::TryAnother);
}

}
