#pragma once

#include <LibCore/Time.h>
#include <compare>
#include <optional>

namespace auburnhitch {

/// A rate of requests.
struct RequestRate
{
  double m_per_second = 0;

  auto operator<=>(const RequestRate&) const = default;
};

/// What an endpoint states about itself in the head of a response.
struct EndpointNotice
{
  /// The requests that it accepts from all daemons together; nothing if it states no limit.
  std::optional<RequestRate> m_limit;
  /// Whether its statement of a limit cannot be understood, so that nothing follows from it.
  bool m_is_limit_malformed = false;
  /// Whether it shuts down: it completes what it has and wants no further requests. Holds for the
  /// rest of its incarnation.
  bool m_is_leaving = false;
  /// Whether its statement that it leaves cannot be understood, so that nothing follows from it.
  bool m_is_leaving_malformed = false;
  /// For how long it wants no further requests from the daemon that it refuses; nothing if it does
  /// not say so.
  std::optional<Milliseconds> m_rest;
  /// Whether a statement of a rest cannot be understood, so that nothing follows from it.
  bool m_is_rest_malformed = false;
  /// Whether it came with the response to another request, which may be an old one: nothing follows
  /// from its limit, since that may have ended.
  bool m_may_be_old = false;

  bool IsMalformed() const
  {
    return m_is_limit_malformed || m_is_leaving_malformed || m_is_rest_malformed;
  }

  auto operator<=>(const EndpointNotice&) const = default;
};

}
