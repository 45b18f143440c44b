#pragma once

#include <LibCore/Time.h>
#include <LibHttp/HttpMessage.h>
#include <LibRegistry/EndpointRegistry.h>
#include <optional>
#include <string>

namespace auburnhitch {

/// A request that another daemon sends on because it cannot reach the endpoints. It is not sent on
/// again, runs once at most, and its first attempt does not count as a new request of a caller. A
/// caller that claims to be a daemon gains nothing by that.
struct ForwardedRequest
{
  /// The request in whose response the stream began that is to be continued; empty if the caller's
  /// request names it, or if nothing is continued.
  std::string m_stream;
  /// Version of the configuration under which the other daemon has admitted the request: an older
  /// one may send it to another service. 0 if that daemon is of a version that does not state it.
  std::int64_t m_configuration_version = 0;

  auto operator<=>(const ForwardedRequest&) const = default;
};

/// What a daemon states in a response of its own to a request that was forwarded to it.
enum class ForwardedOutcome
{
  /// The request has not run and never will.
  NotRun,
  /// As NotRun, and the reason lies with this daemon: another one may serve the request.
  TryAnother,
  /// The request may have run.
  Unknown,
};

/// The name of an outcome, as it is sent and logged.
const char*
NameOf(ForwardedOutcome aOutcome);

struct ForwardedReply
{
  ForwardedOutcome m_outcome = ForwardedOutcome::Unknown;
  std::optional<Milliseconds> m_retry_after;

  auto operator<=>(const ForwardedReply&) const = default;
};

void
AppendForwardedRequest(const ForwardedRequest& aRequest, HttpHeaders& aHeaders);
/// Nothing if the request was not forwarded.
std::optional<ForwardedRequest>
ParseForwardedRequest(const HttpHeaders& aHeaders);

void
AppendForwardedReply(const ForwardedReply& aReply, HttpHeaders& aHeaders);
/// Nothing if the response is that of an endpoint, or of a daemon of an earlier version.
std::optional<ForwardedReply>
ParseForwardedReply(const HttpHeaders& aHeaders);

/// Adds to the header fields of an endpoint's response which endpoint that is, so that what it
/// states binds the daemon to which the response goes as well.
void
AppendForwardedEndpoint(const EndpointIncarnation& aEndpoint, HttpHeaders& aHeaders);
/// Nothing if the fields name none, or are malformed.
std::optional<EndpointIncarnation>
ParseForwardedEndpoint(const HttpHeaders& aHeaders);

/// Whether a header field is for the hop between two daemons only. aLowerName is in lower case.
bool
IsForwardingField(const std::string& aLowerName);

}
