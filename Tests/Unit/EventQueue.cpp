#include "EventQueue.h"

namespace auburnhitch::tests {

void
EventQueue::Schedule(double aAt, std::function<void()> aRun)
{
  m_events.push(Event{ aAt, ++m_last_event, std::move(aRun) });
}

bool
EventQueue::RunNext()
{
  if (m_events.empty()) {
    return false;
  }
  const Event event = m_events.top();
  m_events.pop();
  m_now = event.m_at;
  event.m_run();
  return true;
}

}
