#include <LibGateway/GatewaySettings.h>

#include <LibHttp/HttpServer.h>
#include <LibRelay/RelayServer.h>
#include <set>

namespace auburnhitch {

namespace {

constexpr Milliseconds kHour{ 60 * 60 * 1'000 };
constexpr std::int64_t kMaxDescriptors = 1'000'000;
// Descriptors reserved for files, the log and libraries.
constexpr std::int64_t kOtherDescriptors = 200;
constexpr double kMillisecondsPerSecond = 1'000;
// Less does not hold the process itself and the body of one request of the usual limit.
constexpr std::int64_t kMinMemoryMib = 32;
constexpr std::int64_t kMaxMemoryMib = 1 << 20;
// Callers may use one socket of this many; the rest is for endpoints, peers and the store.
constexpr std::size_t kCallerSocketDivisor = 2;
// Callers' requests and their responses may take one byte of this many of the process's memory. The
// rest is for the sockets, copies of bodies that are being sent, other connections and the process
// itself.
constexpr std::size_t kCallerMemoryDivisor = 4;
// Without a stated memory of the host.
constexpr std::size_t kDefaultCallerMemoryBytes = 64 << 20;
// A deployment with this contract has more load at times than its endpoints can serve in time.
constexpr const char* kPressureContract = "pressure";
// Of deployments with pools of many endpoints.
constexpr const char* kPoolContract = "pool";

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

/// Reads a number of seconds, which may have a fraction.
Milliseconds
ReadSeconds(JsonObjectReader& aReader, const char* aKey, Milliseconds aDefault, Findings& aFindings)
{
  const Json* value = aReader.Member(aKey);
  if (value == nullptr || value->is_null()) {
    return aDefault;
  }
  const double seconds = value->is_number() ? value->get<double>() : -1;
  if (seconds < 0 || seconds * kMillisecondsPerSecond > static_cast<double>(kHour.count())) {
    aFindings.Add(aReader.JsonPointerOf(aKey), "must be a number of seconds from 0 to 3600");
    return aDefault;
  }
  return Milliseconds(static_cast<std::int64_t>(seconds * kMillisecondsPerSecond));
}

double
ReadNumber(JsonObjectReader& aReader, const char* aKey, double aDefault, Findings& aFindings)
{
  const Json* value = aReader.Member(aKey);
  if (value == nullptr || value->is_null()) {
    return aDefault;
  }
  constexpr double kMaxNumber = 1e9;
  if (!value->is_number() || value->get<double>() < 0 || value->get<double>() > kMaxNumber) {
    aFindings.Add(aReader.JsonPointerOf(aKey), "must be a number from 0 to 1000000000");
    return aDefault;
  }
  return value->get<double>();
}

/// Returns nothing unless all bounds are set.
std::optional<RolloutBounds>
ReadRolloutBounds(JsonObjectReader& aReader, Findings& aFindings)
{
  constexpr double kUnset = -1;
  const double share = ReadNumber(aReader, "exposure_share", kUnset, aFindings);
  const double slack = ReadNumber(aReader, "exposure_slack", kUnset, aFindings);
  const double rollback_ms = ReadNumber(aReader, "rollback_ms", kUnset, aFindings);
  if (share < 0 || slack < 0 || rollback_ms < 0) {
    return std::nullopt;
  }
  return RolloutBounds{ { share, slack }, Milliseconds(static_cast<std::int64_t>(rollback_ms)) };
}

/// Returns the processor time that this process may use, in thousandths of a core: its share of the
/// processor times the number of cores.
int
ReadProcessor(JsonObjectReader& aReader, Findings& aFindings)
{
  constexpr double kMillicores = 1'000;
  constexpr double kMaxCores = 1'000;
  const double share = ReadNumber(aReader, "processor_share", 1, aFindings);
  const double cores = ReadNumber(aReader, "processor_cores", 1, aFindings);
  if (share * cores > kMaxCores) {
    aFindings.Add(aReader.JsonPointerOf("processor_share"),
                  "times processor_cores must be at most 1000 cores");
    return 0;
  }
  return static_cast<int>(share * cores * kMillicores);
}

/// Returns the contracts of the deployment. Contracts that this build does not know are kept; an
/// absent list is an empty one.
std::set<std::string>
ReadContracts(JsonObjectReader& aReader, Findings& aFindings)
{
  std::set<std::string> contracts;
  const Json* value = aReader.Member("contracts");
  if (value == nullptr || value->is_null()) {
    return contracts;
  }
  aReader.ForEach("contracts", 0, [&](const Json& aElement, const std::string& aPath) {
    if (!aElement.is_string()) {
      aFindings.Add(aPath, "must be a string");
      return;
    }
    contracts.insert(aElement.get<std::string>());
  });
  return contracts;
}

void
ReadBounds(const Json& aJson, GatewaySettings& aSettings, Findings& aFindings)
{
  JsonObjectReader reader(aJson, "/bounds", aFindings);
  const auto milliseconds = [&](const char* aKey, Milliseconds& aValue) {
    const double number = ReadNumber(reader, aKey, static_cast<double>(aValue.count()), aFindings);
    aValue = Milliseconds(static_cast<std::int64_t>(number));
  };
  milliseconds("drain_ms", aSettings.m_drain_bound);
  aSettings.m_stop_grace = ReadSeconds(reader, "stop_grace_s", aSettings.m_stop_grace, aFindings);
  aSettings.m_max_retry_after =
    ReadSeconds(reader, "most_retry_after_s", aSettings.m_max_retry_after, aFindings);
  aSettings.m_directory_lifetime = std::min(
    aSettings.m_directory_lifetime,
    ReadSeconds(reader, "directory_lifetime_s", aSettings.m_directory_lifetime, aFindings));
  RetryBudgetLimits& budget = aSettings.m_retry_budget;
  budget.m_ratio = ReadNumber(reader, "retry_ratio", budget.m_ratio, aFindings);
  budget.m_slack_retries = ReadNumber(reader, "retry_slack", budget.m_slack_retries, aFindings);
  budget.m_window = ReadSeconds(reader, "retry_window_s", budget.m_window, aFindings);
  QuotaTolerance& tolerance = aSettings.m_quota_tolerance;
  tolerance.m_overage = ReadNumber(reader, "quota_overage", tolerance.m_overage, aFindings);
  tolerance.m_slack_tokens =
    ReadNumber(reader, "quota_slack_tokens", tolerance.m_slack_tokens, aFindings);
  tolerance.m_window = ReadSeconds(reader, "quota_window_s", tolerance.m_window, aFindings);
  aSettings.m_rollout_bounds = ReadRolloutBounds(reader, aFindings);
}

}

std::size_t
GatewaySettings::MaxCallerMemoryBytes() const
{
  return m_max_memory_mib > 0
           ? (static_cast<std::size_t>(m_max_memory_mib) << 20) / kCallerMemoryDivisor
           : kDefaultCallerMemoryBytes;
}

std::size_t
GatewaySettings::MaxCallerConnections() const
{
  return m_max_sockets / kCallerSocketDivisor;
}

std::optional<GatewaySettings>
GatewaySettings::FromJson(const Json& aJson, Findings& aFindings)
{
  GatewaySettings settings;
  JsonObjectReader reader(aJson, "", aFindings);
  settings.m_host = HostName(reader.RequiredString("host"));
  settings.m_data_center = DataCenterName(reader.RequiredString("data_center"));
  settings.m_caller_address = ReadAddress(reader, "caller_address", aFindings);
  settings.m_readiness_address = ReadAddress(reader, "readiness_address", aFindings);
  settings.m_directory_address = ReadAddress(reader, "directory_address", aFindings);
  settings.m_metrics_address = ReadAddress(reader, "metrics_address", aFindings);
  settings.m_peer_address = ReadAddress(reader, "peer_address", aFindings);
  settings.m_advertised_peer_address = reader.Member("advertised_peer_address") != nullptr
                                         ? ReadAddress(reader, "advertised_peer_address", aFindings)
                                         : settings.m_peer_address;
  settings.m_store_address = ReadAddress(reader, "store_address", aFindings);
  settings.m_log_level = reader.OptionalString("log_level", settings.m_log_level);
  reader.ForEach("seed_addresses", 0, [&](const Json& aElement, const std::string& aPath) {
    const SocketAddress address(aElement.is_string() ? aElement.get<std::string>() : "");
    const auto parsed = SplitSocketAddress(address);
    if (!parsed.ok()) {
      aFindings.Add(aPath, std::string(parsed.status().message()));
      return;
    }
    settings.m_seed_addresses.push_back(address);
  });
  const std::int64_t descriptors =
    reader.OptionalInteger("max_descriptors",
                           static_cast<std::int64_t>(settings.m_max_sockets) + kOtherDescriptors,
                           2 * kOtherDescriptors,
                           kMaxDescriptors);
  settings.m_max_sockets = static_cast<std::size_t>(descriptors - kOtherDescriptors);
  settings.m_max_memory_mib =
    reader.OptionalInteger("max_memory_mb", 0, kMinMemoryMib, kMaxMemoryMib);
  settings.m_processor_millicores = ReadProcessor(reader, aFindings);
  const std::set<std::string> contracts = ReadContracts(reader, aFindings);
  settings.m_learn_concurrency =
    reader.OptionalBool("learn_concurrency", contracts.contains(kPressureContract));
  settings.m_is_contended = reader.OptionalBool("contended", contracts.contains(kPoolContract));
  settings.m_forward_records = reader.OptionalBool("forward_records", settings.m_forward_records);
  if (const Json* bounds = reader.Member("bounds")) {
    ReadBounds(*bounds, settings, aFindings);
  }
  reader.RejectUnknownMembers();
  if (!aFindings.IsEmpty()) {
    return std::nullopt;
  }
  return settings;
}

}
