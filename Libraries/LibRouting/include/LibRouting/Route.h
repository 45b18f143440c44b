#pragma once

#include <LibCore/StrongString.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnhitch {

/// Time for which a caller waits for a response if its request does not state one.
constexpr Milliseconds kDefaultMaxWait{ 30'000 };

/// Determines whether a request may run more than once and how its response arrives.
enum class RequestKind
{
  /// Idempotent.
  Safe,
  /// Runs at most once.
  Unsafe,
  /// The response is an event stream; runs at most once unless the route is resumable.
  Stream,
};

const char*
NameOf(RequestKind aKind);

/// A service's share of the requests of a route.
struct ServiceShare
{
  ServiceName m_service;
  /// Relative to the sum of the weights of the route's services.
  std::int64_t m_weight = 1;

  auto operator<=>(const ServiceShare&) const = default;
};

/// Maps requests of a host and path prefix to services, with the limits and objectives that apply
/// to them.
struct Route
{
  std::string m_name;
  std::string m_host;
  /// Begins and ends with a slash.
  std::string m_path_prefix;
  RequestKind m_kind = RequestKind::Unsafe;
  /// Not empty.
  std::vector<ServiceShare> m_services;
  /// Maximum time from the arrival of a request to the end of its response.
  Milliseconds m_timeout{ 30'000 };
  /// Objective for the time to first byte.
  Milliseconds m_objective{ 1'000 };
  /// Objective for the pause between two events of a stream.
  Milliseconds m_target_gap{ 0 };
  /// 0 is served first.
  int m_priority = 0;
  /// Maximum number of endpoints that may run one request.
  int m_max_endpoints = 1;
  /// Requests need no key.
  bool m_is_public = false;
  /// Another endpoint can resume a stream after its last event.
  bool m_is_resumable = false;

  /// Whether a request may run more than once.
  bool IsIdempotent() const
  {
    return m_kind == RequestKind::Safe || (m_kind == RequestKind::Stream && m_is_resumable);
  }

  auto operator<=>(const Route&) const = default;
};

/// A service to which requests are routed.
struct RoutedService
{
  ServiceName m_name;
  /// Maximum number of connections that one endpoint accepts from all daemons together.
  int m_max_connections = 0;
  /// Whether its endpoints are engines that generate in batches.
  bool m_is_engine = false;

  auto operator<=>(const RoutedService&) const = default;
};

/// A customer with its keys and its quota, which applies across all daemons.
struct RoutedWorkspace
{
  WorkspaceName m_name;
  /// SHA-256 of each key, in hexadecimal. The keys themselves are not stored.
  std::vector<std::string> m_key_digests;
  /// Takes precedence over the priority of a route; 0 is served first.
  std::optional<int> m_priority;
  /// Refill rate of the quota; 0 for no limit.
  std::int64_t m_tokens_per_second = 0;
  std::int64_t m_burst_tokens = 0;
  /// Tokens charged for a request that does not state how many it takes.
  std::int64_t m_default_tokens = 1;
  /// Whether a request is charged by its tokens. Otherwise it is charged as one token.
  bool m_counts_tokens = true;

  auto operator<=>(const RoutedWorkspace&) const = default;
};

/// Limits on the size of a request and on how long a connection may be idle.
struct CallerLimits
{
  std::size_t m_max_head_bytes = 16 << 10;
  std::size_t m_max_body_bytes = 4 << 20;
  Milliseconds m_head_timeout{ 3'000 };
  Milliseconds m_idle_timeout{ 15'000 };

  auto operator<=>(const CallerLimits&) const = default;
};

}
