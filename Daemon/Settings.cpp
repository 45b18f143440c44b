#include "Settings.h"

#include <algorithm>
#include <array>

namespace auburnhitch {

namespace {

constexpr Milliseconds kHour{ 60 * 60 * 1'000 };
constexpr std::int64_t kMaxCount = 1'000'000;
constexpr std::int64_t kMaxBytes = std::int64_t{ 1 } << 30;

SocketAddress
ReadAddress(JsonObjectReader& aReader, const char* aKey, Findings& aFindings)
{
  SocketAddress address(aReader.RequiredString(aKey));
  if (!address.IsEmpty()) {
    const auto parsed = SplitSocketAddress(address);
    if (!parsed.ok()) {
      aFindings.Add(aReader.JsonPointerOf(aKey), std::string(parsed.status().message()));
    }
  }
  return address;
}

void
ReadLedger(const Json& aJson,
           const std::string& aJsonPointer,
           LedgerLimits& aLimits,
           Findings& aFindings)
{
  JsonObjectReader reader(aJson, aJsonPointer, aFindings);
  aLimits.m_period =
    reader.OptionalMilliseconds("period_ms", aLimits.m_period, Milliseconds(100), kHour);
  aLimits.m_kept_periods =
    reader.OptionalInteger("kept_periods", aLimits.m_kept_periods, 1, kMaxCount);
  aLimits.m_max_cached_response_bytes = static_cast<std::size_t>(
    reader.OptionalInteger("max_kept_answer_bytes",
                           static_cast<std::int64_t>(aLimits.m_max_cached_response_bytes),
                           0,
                           kMaxBytes));
  reader.RejectUnknownMembers();
}

void
ReadScheduler(const Json& aJson,
              const std::string& aJsonPointer,
              SchedulerLimits& aLimits,
              Findings& aFindings)
{
  JsonObjectReader reader(aJson, aJsonPointer, aFindings);
  aLimits.m_max_waiting = static_cast<std::size_t>(reader.OptionalInteger(
    "max_waiting", static_cast<std::int64_t>(aLimits.m_max_waiting), 1, kMaxCount));
  aLimits.m_min_retry_after = reader.OptionalMilliseconds(
    "least_retry_after_ms", aLimits.m_min_retry_after, Milliseconds(1), kHour);
  aLimits.m_max_retry_after = reader.OptionalMilliseconds(
    "most_retry_after_ms", aLimits.m_max_retry_after, Milliseconds(1), kHour);
  reader.RejectUnknownMembers();
  if (aLimits.m_min_retry_after > aLimits.m_max_retry_after) {
    aFindings.Add(aJsonPointer + "/least_retry_after_ms", "is larger than most_retry_after_ms");
  }
}

void
ReadCallers(const Json& aJson,
            const std::string& aJsonPointer,
            HttpServerLimits& aLimits,
            Findings& aFindings)
{
  JsonObjectReader reader(aJson, aJsonPointer, aFindings);
  const auto read_size = [&](const char* aKey, std::size_t& aSize, std::int64_t aMin) {
    aSize = static_cast<std::size_t>(
      reader.OptionalInteger(aKey, static_cast<std::int64_t>(aSize), aMin, kMaxBytes));
  };
  read_size("max_body_bytes", aLimits.m_max_body_bytes, 1);
  read_size("max_header_bytes", aLimits.m_max_header_bytes, 1'024);
  read_size("max_connections", aLimits.m_max_connections, 1);
  read_size("max_connections_per_address", aLimits.m_max_connections_per_address, 1);
  aLimits.m_read_timeout = reader.OptionalMilliseconds(
    "read_timeout_ms", aLimits.m_read_timeout, Milliseconds(100), kHour);
  aLimits.m_idle_timeout = reader.OptionalMilliseconds(
    "idle_timeout_ms", aLimits.m_idle_timeout, Milliseconds(100), kHour);
  reader.RejectUnknownMembers();
}

}

std::optional<Settings>
Settings::FromJson(const Json& aJson, Findings& aFindings)
{
  Settings settings;
  JsonObjectReader reader(aJson, "", aFindings);
  settings.m_host = HostName(reader.RequiredString("host"));
  settings.m_data_center = DataCenterName(reader.RequiredString("data_center"));
  settings.m_caller_address = ReadAddress(reader, "caller_address", aFindings);
  settings.m_peer_address = ReadAddress(reader, "peer_address", aFindings);
  settings.m_operator_address = ReadAddress(reader, "operator_address", aFindings);
  settings.m_log_service = ReadAddress(reader, "log_service", aFindings);
  settings.m_host_list = ReadAddress(reader, "host_list", aFindings);
  settings.m_log_level = reader.OptionalString("log_level", settings.m_log_level);
  constexpr std::array kLevels{ "trace", "debug", "info", "warning", "error", "off" };
  if (std::find(kLevels.begin(), kLevels.end(), settings.m_log_level) == kLevels.end()) {
    aFindings.Add("/log_level", "must be trace, debug, info, warning, error or off");
  }
  const auto read_span = [&](const char* aKey, Milliseconds& aSpan) {
    aSpan = reader.OptionalMilliseconds(aKey, aSpan, Milliseconds(10), kHour);
  };
  read_span("host_list_interval_ms", settings.m_host_list_interval);
  read_span("host_settle_ms", settings.m_host_settle_time);
  read_span("peer_interval_ms", settings.m_peer_interval);
  read_span("address_lifetime_ms", settings.m_address_lifetime);
  read_span("snapshot_interval_ms", settings.m_snapshot_interval);
  settings.m_peer_fan_out = static_cast<std::size_t>(reader.OptionalInteger(
    "peer_fan_out", static_cast<std::int64_t>(settings.m_peer_fan_out), 1, kMaxCount));
  settings.m_log_readers_per_data_center = static_cast<std::size_t>(
    reader.OptionalInteger("log_readers_per_data_center",
                           static_cast<std::int64_t>(settings.m_log_readers_per_data_center),
                           1,
                           kMaxCount));
  if (const Json* ledger = reader.Member("ledger")) {
    ReadLedger(*ledger, "/ledger", settings.m_ledger, aFindings);
  }
  if (const Json* scheduler = reader.Member("scheduler")) {
    ReadScheduler(*scheduler, "/scheduler", settings.m_scheduler, aFindings);
  }
  if (const Json* callers = reader.Member("callers")) {
    ReadCallers(*callers, "/callers", settings.m_callers, aFindings);
  }
  reader.RejectUnknownMembers();
  if (!aFindings.IsEmpty()) {
    return std::nullopt;
  }
  return settings;
}

}
