#pragma once

#include <cstddef>

namespace auburnhitch {

/// The share of a rate limit that a daemon may grant. aFollowers: how many daemons, possibly
/// including itself, request the slots of the service from it. aKnown: the number of known daemons,
/// including itself. With a majority of followers it grants the whole limit, otherwise the part of
/// its followers. Each daemon follows one other at a time, so the shares of all daemons add up to
/// at most one and a half, whichever connections between them fail.
double
RateShare(std::size_t aFollowers, std::size_t aKnown);

}
