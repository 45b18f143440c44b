#pragma once

#include <LibCluster/Membership.h>

namespace auburnhitch {

/// The share of the rate limits of a service's endpoints that a daemon may grant. The coordinator
/// grants all of it while a majority of the daemons is alive, and the part of those that are alive
/// otherwise; any other daemon an even part.
double
RateShareOf(const ServiceName& aService,
            const Member& aSelf,
            const Membership& aMembership,
            TimePoint aNow);

}
