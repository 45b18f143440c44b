#pragma once

#include <LibCore/Time.h>
#include <functional>
#include <list>
#include <memory>

struct event;
struct event_base;

namespace auburnhitch {

/// The event loop of a process, on top of libevent. All callbacks run on the thread that calls
/// Run(). Not thread-safe.
class EventLoop
{
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until Stop() is called.
  void Run();
  /// Makes Run() return when the callback that is running has returned.
  void Stop();
  /// Time since the machine's boot, read at the call and not when the iteration began. It includes
  /// the time for which the machine was suspended, so that deadlines expire during a suspension.
  TimePoint Now() const;
  event_base* Base() const { return m_base; }

  /// Runs the callback once, in a later iteration. If the loop is destroyed before that, the
  /// callback is freed without being run.
  void Defer(std::function<void()> aCallback);
  /// Runs the callback once, in a later iteration or when the loop is destroyed. For freeing
  /// objects that must not be freed at the time of the call. Precondition: everything that the
  /// callback refers to outlives the loop.
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

/// Runs a callback after a delay, either once or periodically. Destroying the timer cancels it; a
/// timer that runs once may be destroyed by its own callback. Not thread-safe.
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

/// Runs a callback on the loop each time the process receives a signal. Not thread-safe.
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
