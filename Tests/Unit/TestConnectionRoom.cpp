#include <LibRelay/ConnectionRoom.h>
#include <doctest.h>

using namespace auburnhitch;

namespace {

ConnectionWithoutRequest
From(std::uint32_t aPeer, int aSinceSeconds)
{
  return { aPeer, TimePoint() + std::chrono::seconds(aSinceSeconds) };
}

}

// Guards against a crowd from one address that takes the connections of all others.
TEST_CASE("Connection room: the address with most connections loses its oldest")
{
  CHECK(ConnectionToClose({ From(1, 0), From(2, 7), From(2, 5), From(2, 6), From(1, 1) }) == 2);
}

// Guards against a proxy whose callers lose connections in another order than before.
TEST_CASE("Connection room: with one address, or equal ones, the oldest connection is closed")
{
  CHECK(ConnectionToClose({ From(1, 3), From(1, 2), From(1, 4) }) == 1);
  CHECK(ConnectionToClose({ From(1, 3), From(2, 2), From(3, 4) }) == 1);
  CHECK_FALSE(ConnectionToClose({}).has_value());
}
