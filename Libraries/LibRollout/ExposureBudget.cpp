#include <LibRollout/ExposureBudget.h>

namespace auburnhitch {

bool
ExposureBudget::Permits(double aPart, int aCount) const
{
  return static_cast<double>(m_sent) + aCount <=
         aPart * (m_bounds.m_share * static_cast<double>(m_arrived) + m_bounds.m_slack);
}

}
