#include <LibGateway/RefusedRequests.h>

namespace auburnhitch {

void
RefusedRequests::Record(const std::string& aRequestId,
                        const SocketAddress& aAddress,
                        TimePoint aNow)
{
  while (!m_order.empty() && (m_entries.size() >= m_limits.m_max_entries ||
                              aNow - m_order.front().first > m_limits.m_retention)) {
    m_entries.erase(m_order.front().second);
    m_order.pop_front();
  }
  Entry entry = MakeEntry(aRequestId, aAddress);
  if (m_entries.insert(entry).second) {
    m_order.emplace_back(aNow, std::move(entry));
  }
}

bool
RefusedRequests::Contains(const std::string& aRequestId, const SocketAddress& aAddress) const
{
  return m_entries.contains(MakeEntry(aRequestId, aAddress));
}

}
