#pragma once

#include <LibAllowance/QuotaLedger.h>
#include <LibAllowance/RetryBudget.h>
#include <LibCore/JsonObjectReader.h>
#include <LibCore/StrongString.h>
#include <optional>
#include <vector>

namespace auburnhitch {

/// What a gateway daemon is told when it starts. Immutable once checked.
struct GatewaySettings
{
  HostName m_host;
  DataCenterName m_data_center;
  SocketAddress m_caller_address;
  SocketAddress m_readiness_address;
  SocketAddress m_directory_address;
  SocketAddress m_metrics_address;
  /// Datagrams and links of other daemons.
  SocketAddress m_peer_address;
  /// Peer addresses of daemons to ask first; they may be gone.
  std::vector<SocketAddress> m_seed_addresses;
  SocketAddress m_store_address;
  std::string m_log_level = "info";

  /// Longest time for which a caller may use an answer of the directory.
  Milliseconds m_directory_lifetime{ 1'000 };
  /// Time from SIGTERM to SIGKILL.
  Milliseconds m_stop_grace{ 8'000 };
  /// Time within which the store's word about an endpoint must be obeyed.
  Milliseconds m_drain_bound{ 2'000 };
  /// Longest time that a refused caller is told to wait.
  Milliseconds m_max_retry_after{ 10'000 };
  RetryBudgetLimits m_retry_budget;
  QuotaTolerance m_quota_tolerance;
  /// Processor that this process may use, in thousandths of a core.
  int m_processor_millicores = 1'000;
  /// Descriptors that this process may use for sockets.
  std::size_t m_max_sockets = 3'900;

  /// Reads settings; returns nothing and records findings if any part is wrong.
  static std::optional<GatewaySettings> FromJson(const Json& aJson, Findings& aFindings);

  bool operator==(const GatewaySettings&) const = default;
};

}
