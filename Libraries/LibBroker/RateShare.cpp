#include <LibBroker/RateShare.h>

namespace auburnhitch {

double
RateShareOf(const ServiceName& aService,
            const Member& aSelf,
            const Membership& aMembership,
            TimePoint aNow)
{
  const double known = static_cast<double>(aMembership.KnownMembers().size()) + 1;
  if (aMembership.CoordinatorOf(aService, aSelf, aNow).m_host != aSelf.m_host) {
    return 1 / known;
  }
  const double alive_share =
    (static_cast<double>(aMembership.AliveMembers(aNow).size()) + 1) / known;
  constexpr double kMajority = 0.5;
  return alive_share > kMajority ? 1 : alive_share;
}

}
