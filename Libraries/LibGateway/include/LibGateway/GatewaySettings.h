#pragma once

#include <LibAllowance/QuotaLedger.h>
#include <LibAllowance/RetryBudget.h>
#include <LibCore/JsonObjectReader.h>
#include <LibCore/StrongString.h>
#include <LibRollout/ExposureBudget.h>
#include <optional>
#include <vector>

namespace auburnhitch {

/// Bounds on a bad version in a rollout.
struct RolloutBounds
{
  ExposureBounds m_exposure;
  /// Maximum time from the 50th bad response of a version to its last request.
  Milliseconds m_rollback{ 0 };

  auto operator<=>(const RolloutBounds&) const = default;
};

/// The start-up configuration of a gateway daemon. Immutable once validated.
struct GatewaySettings
{
  HostName m_host;
  DataCenterName m_data_center;
  SocketAddress m_caller_address;
  SocketAddress m_readiness_address;
  SocketAddress m_directory_address;
  SocketAddress m_metrics_address;
  /// Where the daemon receives heartbeats and links from other daemons.
  SocketAddress m_peer_address;
  /// The address under which other daemons reach m_peer_address; it differs behind an address
  /// translation.
  SocketAddress m_advertised_peer_address;
  /// Peer addresses of the daemons to contact first; some may no longer exist.
  std::vector<SocketAddress> m_seed_addresses;
  SocketAddress m_store_address;
  std::string m_log_level = "info";

  /// Longest time for which a caller may use a response of the directory.
  Milliseconds m_directory_lifetime{ 1'000 };
  /// Time from SIGTERM to SIGKILL.
  Milliseconds m_stop_grace{ 8'000 };
  /// Time from the store's notice that an endpoint drains or is removed until the endpoint must
  /// receive no more requests.
  Milliseconds m_drain_bound{ 2'000 };
  /// Upper limit of the Retry-After sent to a refused caller.
  Milliseconds m_max_retry_after{ 10'000 };
  RetryBudgetLimits m_retry_budget;
  QuotaTolerance m_quota_tolerance;
  /// Rollouts are in force only where all of these bounds are set.
  std::optional<RolloutBounds> m_rollout_bounds;
  /// Processor time that this process may use, in thousandths of a core.
  int m_processor_millicores = 1'000;
  /// Whether store readers forward the records that they have read to this daemon, and this daemon
  /// forwards records to others while it is a store reader.
  bool m_forward_records = false;
  /// File descriptors that this process may use for sockets.
  std::size_t m_max_sockets = 3'900;
  /// Memory that this process may use, in MiB; 0 if it is not known.
  std::int64_t m_max_memory_mib = 0;
  /// Whether requests are placed by idle connections and by the slots that endpoints are expected
  /// to have soon.
  bool m_learn_concurrency = false;
  /// See SlotSchedulerLimits::m_is_contended.
  bool m_is_contended = false;

  /// Parses and validates settings. Returns nullopt and records a finding for each invalid member.
  static std::optional<GatewaySettings> FromJson(const Json& aJson, Findings& aFindings);

  /// Bytes that callers' requests and their responses may take together.
  std::size_t MaxCallerMemoryBytes() const;
  /// Connections that callers may have open together.
  std::size_t MaxCallerConnections() const;

  bool operator==(const GatewaySettings&) const = default;
};

}
