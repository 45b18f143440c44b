#include <LibGateway/BodyCompleteness.h>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace auburnhitch {

namespace {

constexpr absl::string_view kEventStream = "text/event-stream";

absl::string_view
MediaType(const MessageHead& aHead)
{
  const absl::string_view type = FindHeader(aHead.m_headers, "Content-Type");
  return absl::StripAsciiWhitespace(type.substr(0, type.find(';')));
}

bool
IsEventStream(const MessageHead& aHead, bool aIsStreamExpected)
{
  constexpr int kFirstErrorStatus = 400;
  const absl::string_view type = MediaType(aHead);
  if (!type.empty()) {
    return absl::EqualsIgnoreCase(type, kEventStream);
  }
  return aIsStreamExpected && aHead.m_status < kFirstErrorStatus &&
         aHead.m_framing == BodyFraming::UntilClose;
}

}

bool
ContinuesEventStream(const MessageHead& aHead)
{
  constexpr int kOk = 200;
  const absl::string_view type = MediaType(aHead);
  return aHead.m_status == kOk && (type.empty() || absl::EqualsIgnoreCase(type, kEventStream));
}

BodyCompleteness::BodyCompleteness(const MessageHead& aHead, bool aIsStreamExpected)
  : m_is_event_stream(IsEventStream(aHead, aIsStreamExpected))
{
}

absl::Status
BodyCompleteness::Follow(absl::string_view aBytes)
{
  if (!m_is_event_stream) {
    return absl::OkStatus();
  }
  const std::size_t outside = m_events.Scan(aBytes);
  m_event_bytes = outside == 0 ? m_event_bytes + aBytes.size() : aBytes.size() - outside;
  if (m_events.HasStatusLine()) {
    return absl::DataLossError("the endpoint wrote another response into the event stream");
  }
  if (m_event_bytes > kMaxEventBytes) {
    return absl::ResourceExhaustedError(
      absl::StrCat("an event of the response is longer than ", kMaxEventBytes, " bytes"));
  }
  return absl::OkStatus();
}

absl::Status
BodyCompleteness::Check(RelayCallEnd aEnd) const
{
  // FIXME: Content other than an event stream is complete when its connection was closed in order.
  //        Nothing else marks its end, so a sender that crashes in the middle is not noticed.
  if (!m_is_event_stream) {
    return absl::OkStatus();
  }
  if (m_events.IsInsideEvent()) {
    return absl::DataLossError("the response ended in the middle of an event");
  }
  if (aEnd == RelayCallEnd::Closed && !m_events.HasEvent()) {
    return absl::DataLossError("the connection closed before the first event");
  }
  return absl::OkStatus();
}

}
