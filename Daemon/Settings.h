#pragma once

#include <LibCore/Findings.h>
#include <LibCore/JsonObjectReader.h>
#include <LibCore/StrongString.h>
#include <LibHttp/HttpServer.h>
#include <LibLedger/Ledger.h>
#include <LibScheduling/ServiceScheduler.h>
#include <optional>
#include <string>

namespace auburnhitch {

/// The settings with which a daemon starts. Immutable once checked.
struct Settings
{
  HostName m_host;
  DataCenterName m_data_center;
  SocketAddress m_caller_address;
  SocketAddress m_peer_address;
  SocketAddress m_operator_address;
  SocketAddress m_log_service;
  SocketAddress m_host_list;
  std::string m_log_level = "info";
  Milliseconds m_host_list_interval{ 500 };
  Milliseconds m_host_settle_time{ 1'000 };
  Milliseconds m_peer_interval{ 1'000 };
  std::size_t m_peer_fan_out = 8;
  std::size_t m_log_readers_per_data_center = 3;
  Milliseconds m_address_lifetime{ 1'500 };
  Milliseconds m_snapshot_interval{ 600'000 };
  LedgerLimits m_ledger;
  SchedulerLimits m_scheduler;
  HttpServerLimits m_callers;

  /// Reads settings. Returns nothing and records findings if any of them is invalid.
  static std::optional<Settings> FromJson(const Json& aJson, Findings& aFindings);
};

}
