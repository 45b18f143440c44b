#include "Metrics.h"

#include <prometheus/text_serializer.h>

namespace auburnhitch {

namespace {

const prometheus::Histogram::BucketBoundaries kLatencySeconds{ 0.001, 0.005, 0.01, 0.05, 0.1, 0.5,
                                                               1,     2,     5,    10,   60 };

prometheus::Gauge&
NewGauge(prometheus::Registry& aRegistry, const char* aName, const char* aHelp)
{
  return prometheus::BuildGauge().Name(aName).Help(aHelp).Register(aRegistry).Add({});
}

}

Metrics::Metrics()
  : m_finished(prometheus::BuildCounter()
                 .Name("auburnhitch_requests_finished_total")
                 .Help("Requests that were sent to an endpoint, by their outcome.")
                 .Register(m_registry))
  , m_abandoned(prometheus::BuildCounter()
                  .Name("auburnhitch_requests_given_up_total")
                  .Help("Requests that were given up before they were sent, by reason.")
                  .Register(m_registry))
  , m_latency(prometheus::BuildHistogram()
                .Name("auburnhitch_request_seconds")
                .Help("Time from a request's arrival to its outcome.")
                .Register(m_registry))
  , m_running(NewGauge(m_registry, "auburnhitch_requests_running", "Requests at endpoints."))
  , m_ledger_entries(
      NewGauge(m_registry, "auburnhitch_ledger_entries", "Identities that the ledger holds."))
  , m_cached_response_bytes(NewGauge(m_registry,
                                     "auburnhitch_kept_answer_bytes",
                                     "Bytes of answers kept for late questions."))
  , m_caller_connections(
      NewGauge(m_registry, "auburnhitch_caller_connections", "Open connections of callers."))
  , m_fresh_peers(
      NewGauge(m_registry, "auburnhitch_fresh_peers", "Peers that were heard of lately."))
  , m_document_position(NewGauge(m_registry,
                                 "auburnhitch_document_position",
                                 "Next offset to read in the stream of documents."))
{
}

Metrics::~Metrics() = default;

void
Metrics::OnFinished(const DispatchRequest& aRequest, Outcome aOutcome, Duration aTook)
{
  const prometheus::Labels labels{ { "service", aRequest.m_service.Value() },
                                   { "tier", aRequest.m_tier_name.Value() } };
  prometheus::Labels with_outcome = labels;
  with_outcome["outcome"] = NameOf(aOutcome);
  m_finished.Add(with_outcome).Increment();
  m_latency.Add(labels, kLatencySeconds).Observe(std::chrono::duration<double>(aTook).count());
}

void
Metrics::OnRejected(const DispatchRequest& aRequest, ErrorCode aCode)
{
  m_abandoned
    .Add({ { "service", aRequest.m_service.Value() },
           { "tier", aRequest.m_tier_name.Value() },
           { "reason", NameOf(aCode) } })
    .Increment();
}

std::string
Metrics::Serialize(const GaugeValues& aValues)
{
  m_running.Set(static_cast<double>(aValues.m_running));
  m_ledger_entries.Set(static_cast<double>(aValues.m_ledger_entries));
  m_cached_response_bytes.Set(static_cast<double>(aValues.m_cached_response_bytes));
  m_caller_connections.Set(static_cast<double>(aValues.m_caller_connections));
  m_fresh_peers.Set(static_cast<double>(aValues.m_fresh_peers));
  m_document_position.Set(static_cast<double>(aValues.m_document_position));
  return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

}
