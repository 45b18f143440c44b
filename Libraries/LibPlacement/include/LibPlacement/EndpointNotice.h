#pragma once

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
  /// Whether it states something that cannot be understood, so that nothing follows from it.
  bool m_is_malformed = false;

  auto operator<=>(const EndpointNotice&) const = default;
};

}
