#include <LibHttp/BlockedSignals.h>

namespace auburnhitch {

BlockedSignals::BlockedSignals(std::initializer_list<int> aSignals)
{
  sigset_t blocked;
  sigemptyset(&blocked);
  for (const int signal : aSignals) {
    sigaddset(&blocked, signal);
  }
  pthread_sigmask(SIG_BLOCK, &blocked, &m_previous);
}

BlockedSignals::~BlockedSignals()
{
  pthread_sigmask(SIG_SETMASK, &m_previous, nullptr);
}

}
