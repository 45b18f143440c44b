#include <LibHttp/EventLoop.h>

#include <csignal>
#include <ctime>
#include <event2/event.h>
#include <utility>

namespace auburnhitch {

namespace {

void
RunCallback(evutil_socket_t, short, void* aContext)
{
  (*static_cast<std::function<void()>*>(aContext))();
}

timeval
ToTimeval(Duration aDuration)
{
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count();
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  return timeval{ micros / kMicrosPerSecond, micros % kMicrosPerSecond };
}

}

EventLoop::EventLoop()
{
  // A peer that closes its socket must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  m_base = event_base_new_with_config(config);
  event_config_free(config);
}

EventLoop::~EventLoop()
{
  while (!m_deferred.empty()) {
    const Deferred deferred = std::move(m_deferred.front());
    m_deferred.pop_front();
    if (deferred.m_runs_on_destruction) {
      deferred.m_callback();
    }
  }
  event_base_free(m_base);
}

void
EventLoop::Run()
{
  event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void
EventLoop::Stop()
{
  event_base_loopbreak(m_base);
}

TimePoint
EventLoop::Now() const
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

void
EventLoop::Defer(std::function<void()> aCallback)
{
  Schedule(std::move(aCallback), false);
}

void
EventLoop::DeferRelease(std::function<void()> aCallback)
{
  Schedule(std::move(aCallback), true);
}

void
EventLoop::Schedule(std::function<void()> aCallback, bool aRunsOnDestruction)
{
  m_deferred.push_back(Deferred{ this, std::move(aCallback), aRunsOnDestruction });
  const timeval immediately{ 0, 0 };
  event_base_once(m_base, -1, EV_TIMEOUT, RunDeferred, &m_deferred.back(), &immediately);
}

void
EventLoop::RunDeferred(int, short, void* aDeferred)
{
  auto* deferred = static_cast<Deferred*>(aDeferred);
  EventLoop* loop = deferred->m_loop;
  const auto callback = std::move(deferred->m_callback);
  loop->m_deferred.remove_if([deferred](const Deferred& aEntry) { return &aEntry == deferred; });
  callback();
}

Timer::Timer(EventLoop& aLoop, Duration aDelay, Repeat aRepeat, std::function<void()> aCallback)
  : m_event(nullptr)
  , m_repeat(aRepeat)
  , m_callback(std::move(aCallback))
{
  const short flags = aRepeat == Repeat::Always ? EV_PERSIST : 0;
  m_event = event_new(aLoop.Base(), -1, flags, Run, this);
  const timeval delay = ToTimeval(aDelay < Duration::zero() ? Duration::zero() : aDelay);
  event_add(m_event, &delay);
}

void
Timer::Run(int, short, void* aTimer)
{
  auto* timer = static_cast<Timer*>(aTimer);
  if (timer->m_repeat == Repeat::Always) {
    timer->m_callback();
    return;
  }
  // Outlives the timer, which the callback may destroy.
  const auto callback = std::move(timer->m_callback);
  callback();
}

Timer::~Timer()
{
  event_free(m_event);
}

SignalWatcher::SignalWatcher(EventLoop& aLoop, int aSignal, std::function<void()> aCallback)
  : m_event(nullptr)
  , m_callback(std::move(aCallback))
{
  m_event = evsignal_new(aLoop.Base(), aSignal, RunCallback, &m_callback);
  event_add(m_event, nullptr);
}

SignalWatcher::~SignalWatcher()
{
  event_free(m_event);
}

}
