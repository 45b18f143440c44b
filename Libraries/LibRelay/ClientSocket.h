#pragma once

#include <cstdint>

namespace auburnhitch {

/// Sets the options of a connection to a peer that may become unreachable without notice. Options
/// that the system refuses keep their defaults. Precondition: a TCP socket. Thread-safe.
void
SetClientSocketOptions(int aSocket);

/// How many written bytes the peer's host has not acknowledged, also after the connection has
/// ended; 0 if the system does not say. Precondition: a TCP socket. Thread-safe.
std::uint64_t
UnacknowledgedBytes(int aSocket);

/// Takes the pending error of a socket; 0 if there is none. A reset leaves one also if the peer had
/// ended its direction of the connection in order before. Precondition: a socket. Thread-safe.
int
TakeError(int aSocket);

}
