#pragma once

#include <LibDispatch/Dispatcher.h>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace auburnhitch {

/// The daemon's metrics, in the Prometheus text format. Not thread-safe.
class Metrics : public DispatchObserver
{
public:
  /// Values of the gauges, sampled when the metrics are requested.
  struct GaugeValues
  {
    std::size_t m_running = 0;
    std::size_t m_ledger_entries = 0;
    std::size_t m_cached_response_bytes = 0;
    std::size_t m_caller_connections = 0;
    std::size_t m_fresh_peers = 0;
    std::int64_t m_document_position = 0;
  };

  Metrics();
  ~Metrics() override;

  void OnFinished(const DispatchRequest& aRequest, Outcome aOutcome, Duration aTook) override;
  void OnRejected(const DispatchRequest& aRequest, ErrorCode aCode) override;

  std::string Serialize(const GaugeValues& aValues);

private:
  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Counter>& m_finished;
  prometheus::Family<prometheus::Counter>& m_abandoned;
  prometheus::Family<prometheus::Histogram>& m_latency;
  prometheus::Gauge& m_running;
  prometheus::Gauge& m_ledger_entries;
  prometheus::Gauge& m_cached_response_bytes;
  prometheus::Gauge& m_caller_connections;
  prometheus::Gauge& m_fresh_peers;
  prometheus::Gauge& m_document_position;
};

}
