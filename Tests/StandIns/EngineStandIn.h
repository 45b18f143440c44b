#pragma once

#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpServer.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnhitch::standins {

/// The speed of a simulated engine.
struct EngineSpeed
{
  /// Time of a decode step, which produces one token per running request, if the batch is small.
  Milliseconds m_decode{ 5 };
  /// Prompt bytes processed per millisecond.
  double m_prefill_bytes_per_ms = 200;
  /// Batch size at which a decode step takes twice as long as with an empty batch. The time grows
  /// linearly with the size.
  double m_batch_slowdown = 16;
};

/// A stand-in of a model engine with continuous batching. It starts requests as they arrive, keeps
/// each result until it receives a request with "forget", resumes streams after a given event, and
/// counts how often each request was started.
class EngineStandIn
{
public:
  EngineStandIn(EventLoop& aLoop, const SocketAddress& aAddress, const EngineSpeed& aSpeed);

private:
  /// A caller that receives the events of a request as a stream.
  struct Subscriber
  {
    HttpExchangePtr m_exchange;
    std::size_t m_next_event;
  };

  /// One request and the tokens generated for it so far.
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
    /// Calls that wait for the complete result.
    std::vector<HttpExchangePtr> m_waiting_exchanges;
  };
  using WorkPtr = std::shared_ptr<Work>;

  void OnRequest(const HttpExchangePtr& aExchange);
  void OnControl(HttpExchange& aExchange);
  /// Handles a new request.
  void OnCompletion(const HttpExchangePtr& aExchange);
  /// Handles a call about a request that was started before: resume, fetch or cancel.
  void OnExistingRequest(const HttpExchangePtr& aExchange, const std::string& aId);
  void Subscribe(const WorkPtr& aWork, const HttpExchangePtr& aExchange, std::size_t aFrom);
  /// Performs one decode step: one token for each request whose prefill is over.
  void Step();
  void AddToken(Work& aWork);
  void SendNewEvents(Work& aWork);
  void ReplyIfDone(Work& aWork);
  void ScheduleStep();

  EventLoop& m_loop;
  EngineSpeed m_speed;
  /// Factor on the times of prefill and decode.
  double m_slowdown = 1;
  /// Whether new requests get status 503 and are not run.
  bool m_refuses = false;
  /// Whether decoding is suspended, until a command resumes it.
  bool m_is_paused = false;
  std::map<std::string, WorkPtr> m_work;
  std::vector<WorkPtr> m_active;
  std::map<std::string, int> m_executions;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<Timer> m_step;
};

}
