#include <LibDispatch/DecisionLog.h>

#include <LibCore/Log.h>

namespace auburnhitch {

void
DecisionLog::Add(const char* aCategory, const std::string& aRequest, std::string aDescription)
{
  LogOf(aCategory).info("{}: {}", aRequest, aDescription);
  m_decisions.push_back(Decision{ aRequest, std::move(aDescription) });
  if (m_decisions.size() > m_capacity) {
    m_decisions.pop_front();
  }
}

std::vector<DecisionLog::Decision>
DecisionLog::Find(const std::string& aText) const
{
  std::vector<Decision> found;
  for (const Decision& decision : m_decisions) {
    if (decision.m_request.find(aText) != std::string::npos) {
      found.push_back(decision);
    }
  }
  return found;
}

}
