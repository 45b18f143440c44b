#include <LibGateway/GatewayMetrics.h>

#include <absl/strings/str_cat.h>
#include <prometheus/text_serializer.h>

namespace auburnhitch {

namespace {

// Cover the configured objectives, 0.15 to 0.8 s, and extend to the longest deadline.
const prometheus::Histogram::BucketBoundaries kLatencySeconds{ 0.01, 0.03, 0.1, 0.15, 0.3, 0.5,
                                                               0.8,  1.5,  3,   5,    8 };

double
SecondsOf(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

}

GatewayMetrics::GatewayMetrics()
  : m_requests_ended(prometheus::BuildCounter()
                       .Name("auburnhitch_attempts_ended_total")
                       .Help("Requests of callers, by service and outcome.")
                       .Register(m_registry))
  , m_refused_before_admission(prometheus::BuildCounter()
                                 .Name("auburnhitch_requests_refused_total")
                                 .Help("Requests refused before they had a service, by reason.")
                                 .Register(m_registry))
  , m_slots_refused(prometheus::BuildCounter()
                      .Name("auburnhitch_places_refused_total")
                      .Help("Requests that got no place, by service and reason.")
                      .Register(m_registry))
  , m_attempts_sent(prometheus::BuildCounter()
                      .Name("auburnhitch_sends_total")
                      .Help("Requests written to endpoints, by service, the first or once more.")
                      .Register(m_registry))
  , m_responses_ended(
      prometheus::BuildCounter()
        .Name("auburnhitch_endpoint_responses_total")
        .Help("Responses of endpoints, by service, framing and how the call to the endpoint ended.")
        .Register(m_registry))
  , m_malformed_notices(
      prometheus::BuildCounter()
        .Name("auburnhitch_malformed_notices_total")
        .Help("Statements of endpoints about themselves that cannot be understood, by service.")
        .Register(m_registry))
  , m_responses_discarded(
      prometheus::BuildCounter()
        .Name("auburnhitch_endpoint_responses_discarded_total")
        .Help("Responses that prove nothing about their request, by service and reason.")
        .Register(m_registry))
  , m_forwarded(prometheus::BuildCounter()
                  .Name("auburnhitch_forwarded_total")
                  .Help("Requests sent through another daemon, by service.")
                  .Register(m_registry))
  , m_calls_given_up(
      prometheus::BuildCounter()
        .Name("auburnhitch_calls_given_up_total")
        .Help("Calls that this daemon gave up before they ended, by service and reason.")
        .Register(m_registry))
  , m_paths_probed(prometheus::BuildCounter()
                     .Name("auburnhitch_path_probes_total")
                     .Help("Rounds of probes whether a path leads to the endpoints, by outcome.")
                     .Register(m_registry))
  , m_store_calls(prometheus::BuildCounter()
                    .Name("auburnhitch_store_calls_total")
                    .Help("Calls to the store, by call and outcome.")
                    .Register(m_registry))
  , m_forwarded_records(prometheus::BuildCounter()
                          .Name("auburnhitch_forwarded_records_total")
                          .Help("Records forwarded by store readers, by topic and outcome.")
                          .Register(m_registry))
  , m_rollout_stage(
      prometheus::BuildGauge()
        .Name("auburnhitch_rollout_stage")
        .Help("Stage of a rollout, by service: 0 waiting, 1 probe, 2 share, 3 load, 4 "
              "drain, 5 completed, 6 rolled back.")
        .Register(m_registry))
  , m_rollout_requests(
      prometheus::BuildCounter()
        .Name("auburnhitch_rollout_requests_total")
        .Help("Requests during rollouts, by service: arrived, or sent to the target.")
        .Register(m_registry))
  , m_rollout_bad(prometheus::BuildCounter()
                    .Name("auburnhitch_rollout_bad_responses_total")
                    .Help("Bad responses of targets of rollouts, by service.")
                    .Register(m_registry))
  , m_latency(prometheus::BuildHistogram()
                .Name("auburnhitch_attempt_seconds")
                .Help("Time from a request's arrival to its last byte.")
                .Register(m_registry))
  , m_time_to_first_byte(prometheus::BuildHistogram()
                           .Name("auburnhitch_first_part_seconds")
                           .Help("Time from a request's arrival to the first part of its answer.")
                           .Register(m_registry))
  , m_gauges(prometheus::BuildGauge()
               .Name("auburnhitch_level")
               .Help("Present levels, by name.")
               .Register(m_registry))
{
}

void
GatewayMetrics::OnRequestEnded(const ServiceName& aService, const char* aOutcome, Duration aTook)
{
  auto& counter = m_requests_ended_cache[Key(aService.Value(), aOutcome)];
  if (counter == nullptr) {
    counter = &m_requests_ended.Add({ { "service", aService.Value() }, { "outcome", aOutcome } });
  }
  counter->Increment();
  auto& histogram = m_latency_cache[Key(aService.Value(), aOutcome)];
  if (histogram == nullptr) {
    histogram =
      &m_latency.Add({ { "service", aService.Value() }, { "outcome", aOutcome } }, kLatencySeconds);
  }
  histogram->Observe(SecondsOf(aTook));
}

void
GatewayMetrics::OnSlotRefused(const ServiceName& aService, const char* aReason)
{
  auto& counter = m_slots_refused_cache[Key(aService.Value(), aReason)];
  if (counter == nullptr) {
    counter = &m_slots_refused.Add({ { "service", aService.Value() }, { "reason", aReason } });
  }
  counter->Increment();
}

void
GatewayMetrics::OnFirstByte(const ServiceName& aService, Duration aTook)
{
  auto& histogram = m_time_to_first_byte_cache[Key(aService.Value(), "")];
  if (histogram == nullptr) {
    histogram = &m_time_to_first_byte.Add({ { "service", aService.Value() } }, kLatencySeconds);
  }
  histogram->Observe(SecondsOf(aTook));
}

void
GatewayMetrics::OnRefusedBeforeAdmission(const char* aReason)
{
  m_refused_before_admission.Add({ { "reason", aReason } }).Increment();
}

void
GatewayMetrics::OnAttemptSent(const ServiceName& aService, bool aIsRetry)
{
  const char* kind = aIsRetry ? "repeat" : "first";
  auto& counter = m_attempts_sent_cache[Key(aService.Value(), kind)];
  if (counter == nullptr) {
    counter = &m_attempts_sent.Add({ { "service", aService.Value() }, { "send", kind } });
  }
  counter->Increment();
}

void
GatewayMetrics::OnResponseEnded(const ServiceName& aService, const char* aFraming, const char* aEnd)
{
  auto& counter = m_responses_ended_cache[Key(aService.Value(), absl::StrCat(aFraming, " ", aEnd))];
  if (counter == nullptr) {
    counter = &m_responses_ended.Add(
      { { "service", aService.Value() }, { "framing", aFraming }, { "end", aEnd } });
  }
  counter->Increment();
}

void
GatewayMetrics::OnForwarded(const ServiceName& aService)
{
  m_forwarded.Add({ { "service", aService.Value() } }).Increment();
}

void
GatewayMetrics::OnCallGivenUp(const ServiceName& aService, const char* aWhy)
{
  m_calls_given_up.Add({ { "service", aService.Value() }, { "why", aWhy } }).Increment();
}

void
GatewayMetrics::OnPathProbed(const char* aOutcome)
{
  m_paths_probed.Add({ { "outcome", aOutcome } }).Increment();
}

void
GatewayMetrics::OnMalformedNotice(const ServiceName& aService)
{
  m_malformed_notices.Add({ { "service", aService.Value() } }).Increment();
}

void
GatewayMetrics::OnResponseDiscarded(const ServiceName& aService, const char* aWhy)
{
  m_responses_discarded.Add({ { "service", aService.Value() }, { "why", aWhy } }).Increment();
}

void
GatewayMetrics::OnStoreCall(const char* aCall, const char* aOutcome)
{
  m_store_calls.Add({ { "call", aCall }, { "outcome", aOutcome } }).Increment();
}

void
GatewayMetrics::OnForwardedRecords(const std::string& aTopic,
                                   const char* aOutcome,
                                   std::size_t aCount)
{
  if (aCount > 0) {
    m_forwarded_records.Add({ { "topic", aTopic }, { "outcome", aOutcome } })
      .Increment(static_cast<double>(aCount));
  }
}

void
GatewayMetrics::OnRollout(const RolloutView& aRollout)
{
  const std::string& service = aRollout.m_service.Value();
  RolloutView& counted = m_rollouts[aRollout.m_service];
  if (counted == aRollout) {
    return;
  }
  m_rollout_stage.Add({ { "service", service } }).Set(static_cast<double>(aRollout.m_stage));
  // A rollout that begins, or whose count another daemon continues, may count from less than
  // before.
  const auto add = [](prometheus::Counter& aCounter, std::uint64_t aNow, std::uint64_t aBefore) {
    aCounter.Increment(aNow > aBefore ? static_cast<double>(aNow - aBefore) : 0);
  };
  add(m_rollout_requests.Add({ { "service", service }, { "kind", "arrived" } }),
      aRollout.m_arrived,
      counted.m_arrived);
  add(m_rollout_requests.Add({ { "service", service }, { "kind", "sent" } }),
      aRollout.m_sent,
      counted.m_sent);
  add(m_rollout_bad.Add({ { "service", service } }), aRollout.m_bad, counted.m_bad);
  counted = aRollout;
}

std::string
GatewayMetrics::Serialize(const GatewayGauges& aGauges)
{
  const auto set = [this](const char* aName, double aValue) {
    m_gauges.Add({ { "name", aName } }).Set(aValue);
  };
  set("attempts", static_cast<double>(aGauges.m_active_requests));
  set("waiting_at_home", static_cast<double>(aGauges.m_waiting_at_coordinator));
  set("places_held_at_home", static_cast<double>(aGauges.m_slots_held_at_coordinator));
  set("caller_connections", static_cast<double>(aGauges.m_caller_connections));
  set("endpoint_connections_idle", static_cast<double>(aGauges.m_endpoint_connections_idle));
  set("endpoint_connections_active", static_cast<double>(aGauges.m_endpoint_connections_active));
  set("peers_heard", static_cast<double>(aGauges.m_peers_alive));
  set("daemons_for_shares", static_cast<double>(aGauges.m_daemons_for_shares));
  set("endpoints", static_cast<double>(aGauges.m_endpoints));
  set("cannot_connect", aGauges.m_cannot_connect ? 1 : 0);
  set("configuration_version", static_cast<double>(aGauges.m_configuration_version));
  set("log_lines_dropped", static_cast<double>(aGauges.m_log_lines_dropped));
  set("refused_for_memory", static_cast<double>(aGauges.m_refused_for_memory));
  set("closed_for_room", static_cast<double>(aGauges.m_closed_for_room));
  set("closed_for_memory", static_cast<double>(aGauges.m_closed_for_memory));
  set("refused_by_head", static_cast<double>(aGauges.m_refused_by_head));
  set("closed_unread", static_cast<double>(aGauges.m_closed_unread));
  set("memory_limit_bytes", static_cast<double>(aGauges.m_memory_limit));
  for (const auto& [account, bytes] : aGauges.m_memory_bytes) {
    const std::string name = absl::StrCat("memory_", account, "_bytes");
    set(name.c_str(), static_cast<double>(bytes));
  }
  return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

}
