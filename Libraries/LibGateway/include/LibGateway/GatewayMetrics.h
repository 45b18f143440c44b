#pragma once

#include <LibBroker/ServiceRollout.h>
#include <LibCore/StrongString.h>
#include <LibCore/Time.h>
#include <absl/container/flat_hash_map.h>
#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace auburnhitch {

/// Gauges, sampled when the metrics are requested.
struct GatewayGauges
{
  std::size_t m_active_requests = 0;
  std::size_t m_waiting_at_coordinator = 0;
  std::size_t m_slots_held_at_coordinator = 0;
  std::size_t m_caller_connections = 0;
  std::size_t m_endpoint_connections_idle = 0;
  std::size_t m_endpoint_connections_active = 0;
  std::size_t m_peers_alive = 0;
  /// See Membership::CountForShares().
  std::size_t m_daemons_for_shares = 0;
  std::size_t m_endpoints = 0;
  /// Whether this daemon can establish no connection to an endpoint.
  bool m_cannot_connect = false;
  std::int64_t m_configuration_version = 0;
  std::uint64_t m_log_lines_dropped = 0;
  /// Requests refused before they were handled because the memory budget was exceeded.
  std::uint64_t m_refused_for_memory = 0;
  /// Callers' connections closed so that new ones could be accepted.
  std::uint64_t m_closed_for_room = 0;
  /// Callers' connections closed for the memory budget because their callers read nothing.
  std::uint64_t m_closed_for_memory = 0;
  /// Requests refused by their heads, before their bodies were received.
  std::uint64_t m_refused_by_head = 0;
  /// Callers' connections closed because their callers read nothing of a response in progress.
  std::uint64_t m_closed_unread = 0;
  /// The memory budget, and what is held on each of its accounts.
  std::size_t m_memory_limit = 0;
  std::map<std::string, std::size_t> m_memory_bytes;

  auto operator<=>(const GatewayGauges&) const = default;
};

/// Counters and histograms of the request path. Not thread-safe.
class GatewayMetrics
{
public:
  GatewayMetrics();

  /// A request has ended. aOutcome is one of a small fixed set, since it becomes a label.
  void OnRequestEnded(const ServiceName& aService, const char* aOutcome, Duration aTook);
  /// The first byte of a response has been forwarded.
  void OnFirstByte(const ServiceName& aService, Duration aTook);
  /// A request was refused before a service was chosen for it.
  void OnRefusedBeforeAdmission(const char* aReason);
  /// A request was refused a slot. aReason is one of a small fixed set, since it becomes a label.
  void OnSlotRefused(const ServiceName& aService, const char* aReason);
  void OnAttemptSent(const ServiceName& aService, bool aIsRetry);
  /// A call to an endpoint has ended after the head of its response. aFraming and aEnd are each one
  /// of a small fixed set, since they become labels.
  void OnResponseEnded(const ServiceName& aService, const char* aFraming, const char* aEnd);
  /// A request was sent through another daemon.
  void OnForwarded(const ServiceName& aService);
  /// A call that had not ended was given up while its caller waited. aWhy is one of a small fixed
  /// set, since it becomes a label.
  void OnCallGivenUp(const ServiceName& aService, const char* aWhy);
  /// A round of probes has ended. aOutcome is one of a small fixed set, since it becomes a label.
  void OnPathProbed(const char* aOutcome);
  /// An endpoint stated something about itself that cannot be understood.
  void OnMalformedNotice(const ServiceName& aService);
  /// aWhy: see NameOf(ResponseMeaning).
  void OnResponseDiscarded(const ServiceName& aService, const char* aWhy);
  void OnStoreCall(const char* aCall, const char* aOutcome);
  /// Records were forwarded by a store reader, or should have been. aTopic and aOutcome are each
  /// one of a small fixed set, since they become labels.
  void OnForwardedRecords(const std::string& aTopic, const char* aOutcome, std::size_t aCount);

  /// Sets the metrics of a rollout that this daemon decides or whose verdict it knows.
  void OnRollout(const RolloutView& aRollout);

  /// All metrics in the Prometheus text format.
  std::string Serialize(const GatewayGauges& aGauges);

private:
  using Key = std::pair<std::string, std::string>;

  template<typename Metric>
  using Cache = absl::flat_hash_map<Key, Metric*>;

  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Counter>& m_requests_ended;
  prometheus::Family<prometheus::Counter>& m_refused_before_admission;
  prometheus::Family<prometheus::Counter>& m_slots_refused;
  prometheus::Family<prometheus::Counter>& m_attempts_sent;
  prometheus::Family<prometheus::Counter>& m_responses_ended;
  prometheus::Family<prometheus::Counter>& m_malformed_notices;
  prometheus::Family<prometheus::Counter>& m_responses_discarded;
  prometheus::Family<prometheus::Counter>& m_forwarded;
  prometheus::Family<prometheus::Counter>& m_calls_given_up;
  prometheus::Family<prometheus::Counter>& m_paths_probed;
  prometheus::Family<prometheus::Counter>& m_store_calls;
  prometheus::Family<prometheus::Counter>& m_forwarded_records;
  prometheus::Family<prometheus::Gauge>& m_rollout_stage;
  prometheus::Family<prometheus::Counter>& m_rollout_requests;
  prometheus::Family<prometheus::Counter>& m_rollout_bad;
  prometheus::Family<prometheus::Histogram>& m_latency;
  prometheus::Family<prometheus::Histogram>& m_time_to_first_byte;
  prometheus::Family<prometheus::Gauge>& m_gauges;
  /// What the counters of rollouts contain already.
  std::map<ServiceName, RolloutView> m_rollouts;
  Cache<prometheus::Counter> m_requests_ended_cache;
  Cache<prometheus::Counter> m_slots_refused_cache;
  Cache<prometheus::Counter> m_attempts_sent_cache;
  Cache<prometheus::Counter> m_responses_ended_cache;
  Cache<prometheus::Histogram> m_latency_cache;
  Cache<prometheus::Histogram> m_time_to_first_byte_cache;
};

}
