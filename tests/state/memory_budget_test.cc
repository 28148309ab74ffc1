#include "state/memory_budget.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "base/random.h"

namespace quetzalridge {
namespace {

TEST_CASE("a holder within the limit grows, and its memory is free again at its end") {
  MemoryBudget budget(1000);
  {
    MemoryBudget::Share share(&budget);
    CHECK(share.Resize(1000));
    CHECK(budget.used() == 1000);
  }
  CHECK(budget.used() == 0);
  MemoryBudget::Share unlimited(nullptr);
  CHECK(unlimited.Resize(1 << 30));
}

// Guards against small responses that are cut because a faulty endpoint has filled the memory.
TEST_CASE("the holder of more than an equal part stops growing before the others") {
  MemoryBudget budget(1000);
  MemoryBudget::Share large(&budget);
  REQUIRE(large.Resize(990));
  MemoryBudget::Share small(&budget);
  CHECK(small.Resize(20));
  CHECK_FALSE(large.Resize(991));
  large.Release();
  CHECK(small.Resize(21));
  CHECK(budget.rejections() == 1);
}

// Guards against a sum without bound when many holders grow in turn, some of which stop growing at any size.
TEST_CASE("the sum never exceeds twice the limit by more than one piece, in any order of growth") {
  constexpr size_t kLimit = 100'000;
  constexpr size_t kPiece = 700;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    Random random(seed);
    MemoryBudget budget(kLimit);
    std::vector<std::unique_ptr<MemoryBudget::Share>> shares;
    std::vector<size_t> sizes;
    for (int step = 0; step < 20'000; ++step) {
      if (shares.size() < 200 && random.Chance(0.05)) {
        shares.push_back(std::make_unique<MemoryBudget::Share>(&budget));
        sizes.push_back(0);
      }
      if (shares.empty()) {
        continue;
      }
      const size_t index = random.Below(shares.size());
      sizes[index] += 1 + random.Below(kPiece);
      if (!shares[index]->Resize(sizes[index])) {
        REQUIRE(budget.used() <= 2 * kLimit + kPiece);
        shares[index]->Release();
        sizes[index] = 0;
      }
    }
  }
}

}  // namespace
}  // namespace quetzalridge
