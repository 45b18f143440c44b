#pragma once

#include <LibCore/StrongString.h>
#include <absl/status/statusor.h>

namespace auburnhitch {

/// Creates an incarnation name from the address where peers reach the daemon and a random part, so
/// that any daemon can determine from an identity alone which daemon issued it. Fails if the
/// address is not IP:PORT.
absl::StatusOr<Incarnation>
NewIncarnation(const SocketAddress& aPeerAddress);

/// The peer address in an incarnation name. The name comes from callers and is not trusted: check
/// that the address is that of an entry host before connecting to it.
absl::StatusOr<SocketAddress>
PeerAddressOf(const Incarnation& aIncarnation);

}
