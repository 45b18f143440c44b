#include <LibHttp/EventLoop.h>

#include <doctest.h>
#include <memory>

using namespace auburnhitch;

TEST_CASE("Destroying a loop frees all deferred callbacks and runs only those of DeferRelease()")
{
  bool has_run = false;
  bool is_released = false;
  std::weak_ptr<int> held;
  {
    EventLoop loop;
    auto owned = std::make_shared<int>(1);
    held = owned;
    loop.Defer([owned = std::move(owned), &has_run] { has_run = true; });
    loop.DeferRelease([&is_released] { is_released = true; });
  }
  CHECK(held.expired());
  CHECK_FALSE(has_run);
  CHECK(is_released);
}

TEST_CASE("Deferred callbacks run once, in the order of registration, in a later iteration")
{
  EventLoop loop;
  std::string order;
  loop.Defer([&] {
    order += "a";
    loop.Defer([&] {
      order += "c";
      loop.Stop();
    });
    CHECK(order == "a");
  });
  loop.DeferRelease([&] { order += "b"; });
  loop.Run();
  CHECK(order == "abc");
}
