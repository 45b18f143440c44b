#pragma once

#include <LibCore/Time.h>
#include <LibGateway/Dialect.h>
#include <LibRouting/RoutingTable.h>
#include <optional>

namespace auburnhitch {

/// Why a request is refused before it has a service. Such a request has not run and never will.
struct RequestRefusal
{
  int m_status = 0;
  /// One of a small fixed set, since it becomes a label of a metric.
  const char* m_reason = "";
  std::optional<Milliseconds> m_retry_after;

  /// The daemon stops.
  static RequestRefusal Leaving();
  /// The daemon has no configuration.
  static RequestRefusal WithoutConfiguration();
  /// The daemon that forwarded the request has a newer configuration.
  static RequestRefusal OlderConfiguration();
};

/// Why the caller has no access, as far as the head shows it: no route (404), or no known key where
/// the route needs one (401). Nothing if the request may go on.
std::optional<RequestRefusal>
FindAccessRefusal(const RoutingTable& aTable, const CallerRequestHead& aHead);

}
