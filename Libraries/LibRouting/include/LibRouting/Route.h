#pragma once

#include <LibCore/StrongString.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnhitch {

/// What may be repeated, and how an answer arrives.
enum class RequestKind
{
  /// Idempotent.
  Safe,
  /// Runs at most once.
  Unsafe,
  /// Answered by events; runs at most once unless its route is resumable.
  Stream,
};

const char*
NameOf(RequestKind aKind);

/// A service's part of the requests of a route.
struct ServiceShare
{
  ServiceName m_service;
  std::int64_t m_weight = 1;

  auto operator<=>(const ServiceShare&) const = default;
};

/// Which requests go to which service, and what they are promised.
struct Route
{
  std::string m_name;
  std::string m_host;
  /// Begins and ends with a slash.
  std::string m_path_prefix;
  RequestKind m_kind = RequestKind::Unsafe;
  /// Not empty.
  std::vector<ServiceShare> m_services;
  /// Longest time to the end of an answer.
  Milliseconds m_timeout{ 30'000 };
  /// Time to the first part of an answer that counts as in time.
  Milliseconds m_objective{ 1'000 };
  /// Longest pause between two events that counts as in time.
  Milliseconds m_target_gap{ 0 };
  /// 0 is served first.
  int m_priority = 0;
  /// Most endpoints that may run one request.
  int m_max_endpoints = 1;
  /// Needs no key.
  bool m_is_public = false;
  /// Another endpoint can go on after the last event.
  bool m_is_resumable = false;

  /// Whether a request may run more than once.
  bool IsIdempotent() const
  {
    return m_kind == RequestKind::Safe || (m_kind == RequestKind::Stream && m_is_resumable);
  }

  auto operator<=>(const Route&) const = default;
};

/// A service that requests are routed to.
struct RoutedService
{
  ServiceName m_name;
  /// Most connections that one endpoint accepts from all daemons together.
  int m_max_connections = 0;
  /// Whether its endpoints are engines that generate in batches.
  bool m_is_engine = false;

  auto operator<=>(const RoutedService&) const = default;
};

/// A customer, its keys and its quota over all daemons.
struct RoutedWorkspace
{
  WorkspaceName m_name;
  /// SHA-256 of each key, in hexadecimal. Keys themselves are not kept.
  std::vector<std::string> m_key_digests;
  /// Goes before the priority of a route.
  std::optional<int> m_priority;
  /// Tokens a second; 0 for no limit.
  std::int64_t m_tokens_per_second = 0;
  std::int64_t m_burst_tokens = 0;
  /// What a request counts that does not say how many tokens it takes.
  std::int64_t m_default_tokens = 1;
  /// Whether a request counts by its tokens, or as one.
  bool m_counts_tokens = true;

  auto operator<=>(const RoutedWorkspace&) const = default;
};

/// What a caller may send and how long it may stay idle.
struct CallerLimits
{
  std::size_t m_max_head_bytes = 16 << 10;
  std::size_t m_max_body_bytes = 4 << 20;
  Milliseconds m_head_timeout{ 3'000 };
  Milliseconds m_idle_timeout{ 15'000 };

  auto operator<=>(const CallerLimits&) const = default;
};

}
