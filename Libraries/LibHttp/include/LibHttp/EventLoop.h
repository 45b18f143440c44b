#pragma once

#include <LibCore/Time.h>
#include <functional>
#include <list>
#include <memory>

struct event;
struct event_base;

namespace auburnhitch {

/// The one loop of a process. All callbacks run on the thread that calls Run().
/// Not thread-safe.
class EventLoop
{
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until Stop() is called.
  void Run();
  /// Ends Run() after the callbacks of the present iteration.
  void Stop();
  /// Time since the machine's start, read now and not when the iteration began. It counts the time
  /// for which the machine was suspended, so that a deadline that passed meanwhile has passed.
  TimePoint Now() const;
  event_base* Base() const { return m_base; }

  /// Runs the callback once, in a later iteration; when the loop is destroyed before, the callback
  /// is freed without being run.
  void Defer(std::function<void()> aCallback);
  /// Runs the callback once, in a later iteration or when the loop is destroyed: for freeing what
  /// may not be freed now. Precondition: the callback refers to nothing that goes before the loop.
  void DeferRelease(std::function<void()> aCallback);

private:
  struct Deferred
  {
    EventLoop* m_loop;
    std::function<void()> m_callback;
    bool m_runs_on_destruction;
  };

  void Schedule(std::function<void()> aCallback, bool aRunsOnDestruction);
  static void RunDeferred(int aSocket, short aWhat, void* aDeferred);

  std::list<Deferred> m_deferred;
  event_base* m_base;
};

/// Calls back after a delay, once or again and again. Cancelled when destroyed; a timer that runs
/// once may be destroyed by its own callback. Not thread-safe.
class Timer
{
public:
  enum class Repeat
  {
    Once,
    Always,
  };

  /// Precondition: the loop outlives the timer.
  Timer(EventLoop& aLoop, Duration aDelay, Repeat aRepeat, std::function<void()> aCallback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

private:
  static void Run(int aSocket, short aWhat, void* aTimer);

  event* m_event;
  Repeat m_repeat;
  std::function<void()> m_callback;
};

/// Calls back on the loop when the process receives a signal. Not thread-safe.
class SignalWatcher
{
public:
  SignalWatcher(EventLoop& aLoop, int aSignal, std::function<void()> aCallback);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

private:
  event* m_event;
  std::function<void()> m_callback;
};

}
