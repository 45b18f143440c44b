#include "TestCaller.h"

#include <LibDispatch/CallerError.h>
#include <LibDispatch/EventStreamParser.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace auburnhitch::tests {

namespace {

constexpr Milliseconds kHangBound{ 20'000 };
constexpr Milliseconds kPollInterval{ 2 };

}

std::string
TestCall::Header(const char* aName) const
{
  return std::string(FindHeader(m_headers, aName));
}

bool
TestCall::IsEventStream() const
{
  return m_status == 200 && absl::StartsWith(Header("Content-Type"), "text/event-stream");
}

std::int64_t
TestCall::LastEvent() const
{
  std::int64_t last = 0;
  EventStreamParser().Feed(m_body,
                           [&](const StreamEvent& aEvent) { last = aEvent.m_id.value_or(last); });
  return last;
}

bool
TestCall::IsCompleteStream() const
{
  bool has_end = false;
  EventStreamParser().Feed(m_body, [&](const StreamEvent& aEvent) { has_end |= aEvent.m_is_end; });
  return IsComplete() && has_end;
}

std::string
TestCall::Outcome() const
{
  if (IsEventStream()) {
    if (IsCompleteStream()) {
      return "done";
    }
    return absl::StrContains(m_body, "event: error") ? "unknown" : "";
  }
  return IsComplete() ? Header(headers::kOutcome) : "";
}

TestCaller::TestCaller()
  : m_client(m_loop)
{
}

TestCallPtr
TestCaller::Send(const SocketAddress& aTo, const HttpRequest& aRequest)
{
  auto attempt = std::make_shared<TestCall>();
  attempt->m_daemon = aTo;
  HttpCallLimits limits;
  limits.m_connect_timeout = Milliseconds(2'000);
  limits.m_total_timeout = kHangBound;
  limits.m_reuse_connection = false;
  HttpCallHandlers handlers;
  const std::weak_ptr<TestCall> weak = attempt;
  handlers.m_on_headers = [weak](int aStatus, const HttpHeaders& aHeaders) {
    if (const auto self = weak.lock()) {
      self->m_status = aStatus;
      self->m_headers = aHeaders;
    }
  };
  handlers.m_on_bytes = [weak](absl::string_view aBytes) {
    if (const auto self = weak.lock()) {
      absl::StrAppend(&self->m_body, aBytes);
    }
  };
  handlers.m_on_end = [weak](const HttpOutcome& aOutcome) {
    if (const auto self = weak.lock()) {
      self->m_end = aOutcome.m_end;
    }
  };
  attempt->m_call = m_client.Send(aTo, aRequest, limits, std::move(handlers));
  return attempt;
}

bool
TestCaller::RunUntil(const std::function<bool()>& aCondition)
{
  const TimePoint until = m_loop.Now() + kHangBound;
  // The condition may itself send requests, so it is looked at between runs of the loop.
  while (!aCondition()) {
    if (m_loop.Now() > until) {
      return false;
    }
    const Timer poll(m_loop, kPollInterval, Timer::Repeat::Once, [this] { m_loop.Stop(); });
    m_loop.Run();
  }
  return true;
}

TestCallPtr
TestCaller::Call(const SocketAddress& aTo, const HttpRequest& aRequest)
{
  auto attempt = Send(aTo, aRequest);
  RunUntil([&] { return attempt->HasEnded(); });
  return attempt;
}

Json
TestCaller::CallJson(const SocketAddress& aTo,
                     const std::string& aMethod,
                     const std::string& aPath,
                     const Json& aBody)
{
  const auto attempt =
    Call(aTo, HttpRequest{ aMethod, aPath, {}, aBody.is_null() ? "" : aBody.dump() });
  if (!attempt->IsComplete()) {
    return nullptr;
  }
  Json json = Json::parse(attempt->m_body, nullptr, false);
  return json.is_discarded() ? Json(nullptr) : json;
}

}
