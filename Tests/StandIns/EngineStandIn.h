#pragma once

#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpServer.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnhitch::standins {

/// How fast an engine works.
struct EngineSpeed
{
  /// Time for one token of each running request when the batch is small.
  Milliseconds m_decode{ 5 };
  /// Prompt bytes processed per millisecond.
  double m_prefill_bytes_per_ms = 200;
  /// Batch size at which a decode step takes twice as long.
  double m_batch_slowdown = 16;
};

/// A model engine with continuous batching. It admits requests as they arrive, keeps answers for a
/// while, takes streams up again at an offset, and counts how often each request was started.
class EngineStandIn
{
public:
  EngineStandIn(EventLoop& aLoop, const SocketAddress& aAddress, const EngineSpeed& aSpeed);

private:
  struct Subscriber
  {
    HttpExchangePtr m_exchange;
    std::size_t m_next_event;
  };

  struct Work
  {
    std::string m_id;
    std::string m_model;
    std::size_t m_tokens = 0;
    TimePoint m_prefilled_at;
    std::vector<std::string> m_events;
    std::string m_text;
    bool m_is_done = false;
    bool m_is_cancelled = false;
    std::vector<Subscriber> m_streams;
    std::vector<HttpExchangePtr> m_waiting_exchanges;
  };
  using WorkPtr = std::shared_ptr<Work>;

  void OnRequest(const HttpExchangePtr& aExchange);
  void OnControl(HttpExchange& aExchange);
  void OnCompletion(const HttpExchangePtr& aExchange);
  void OnExistingRequest(const HttpExchangePtr& aExchange, const std::string& aId);
  void Subscribe(const WorkPtr& aWork, const HttpExchangePtr& aExchange, std::size_t aFrom);
  void Step();
  void AddToken(Work& aWork);
  void SendNewEvents(Work& aWork);
  void ReplyIfDone(Work& aWork);
  void ScheduleStep();

  EventLoop& m_loop;
  EngineSpeed m_speed;
  double m_slowdown = 1;
  bool m_refuses = false;
  /// Whether decoding stands still until told otherwise.
  bool m_is_paused = false;
  std::map<std::string, WorkPtr> m_work;
  std::vector<WorkPtr> m_active;
  std::map<std::string, int> m_executions;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<Timer> m_step;
};

}
