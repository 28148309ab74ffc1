#include "coordination/concurrency_limiter.h"

#include <catch2/catch.hpp>
#include <vector>

namespace quetzalridge {
namespace {

// Guards against one large read in memory for each caller that asks for one.
TEST_CASE("a bounded number of operations runs at a time, and a bounded number waits, in order") {
  ConcurrencyLimiter limiter(2, 3);
  std::vector<int> started;
  std::vector<std::function<void()>> running;
  const auto run = [&](int number) {
    return limiter.Run([&, number](std::function<void()> done) {
      started.push_back(number);
      running.push_back(std::move(done));
    });
  };
  for (int number = 0; number < 5; ++number) {
    CHECK(run(number));
  }
  CHECK_FALSE(run(5));
  CHECK(started == std::vector<int>{0, 1});
  for (size_t i = 0; i < 5; ++i) {
    running[i]();
  }
  CHECK(started == std::vector<int>{0, 1, 2, 3, 4});
  CHECK(run(6));
  CHECK(started.back() == 6);
}

}  // namespace
}  // namespace quetzalridge
