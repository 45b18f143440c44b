#pragma once

#include <string>

namespace auburnhitch::tests {

/// How an endpoint responds that wants no further requests, and what the daemon then says.
struct EndpointStatement
{
  std::string m_status_line;
  /// Header fields, each with its line end.
  std::string m_fields;
  std::string m_body;
  /// The reason for which the daemon does not send a request there.
  std::string m_reason;

  /// The response to a request.
  std::string ResponseTo(const std::string& aRequestId) const;
};

/// Checks that the daemon which heard a statement hands back the grants of a coordinator that
/// ignores it, and that its requests are served elsewhere.
void
CheckGrantsAreHandedBack(const EndpointStatement& aStatement);

/// Checks that a request which still connects to the endpoint when the statement is heard is not
/// sent there.
void
CheckConnectingRequestIsNotSent(const EndpointStatement& aStatement);

}
