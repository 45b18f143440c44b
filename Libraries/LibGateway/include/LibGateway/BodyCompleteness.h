#pragma once

#include <LibGateway/EventScanner.h>
#include <LibRelay/RelayClient.h>
#include <absl/status/status.h>
#include <absl/strings/string_view.h>

namespace auburnhitch {

/// Whether a response can continue an event stream that another endpoint has begun.
bool
ContinuesEventStream(const MessageHead& aHead);

/// Decides whether the body of one response is complete. Framing proves that the sender has ended
/// the body; a connection that was closed in order does not, since the connections of a process
/// that crashes are closed in the same way. An event stream that ends inside an event is truncated
/// in either case: its sender may itself have relayed a truncated stream. Not thread-safe.
class BodyCompleteness
{
public:
  /// aIsStreamExpected: whether a successful response that declares no content type and no end is
  /// an event stream.
  BodyCompleteness(const MessageHead& aHead, bool aIsStreamExpected);

  /// Follows the next bytes of the body. Returns ResourceExhausted if an event exceeds the
  /// maximum length.
  absl::Status Follow(absl::string_view aBytes);
  /// Returns DataLoss with the reason if the body is incomplete. Precondition: the call has ended,
  /// with Complete or Closed.
  absl::Status Check(RelayCallEnd aEnd) const;

private:
  bool m_is_event_stream;
  EventScanner m_events;
  /// Bytes of the event that has not ended.
  std::size_t m_event_bytes = 0;
};

}
