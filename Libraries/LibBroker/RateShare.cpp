#include <LibBroker/RateShare.h>

#include <algorithm>

namespace auburnhitch {

double
RateShare(std::size_t aFollowers, std::size_t aKnown)
{
  const std::size_t followers = std::max(aFollowers, std::size_t{ 1 });
  const bool is_majority = 2 * followers > aKnown;
  return is_majority ? 1 : static_cast<double>(followers) / static_cast<double>(aKnown);
}

}
