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

struct TestHolder {
  TestHolder(MemoryBudget* budget, HolderKind kind) : share(budget, kind, [this] { End(); }) {}
  void End() {
    ended = true;
    share.Record(0);
  }

  bool ended = false;
  MemoryBudget::ReclaimableShare share;
};

// Guards against an unbounded sum of unfinished requests: their holders do not grow any more, so others must end them.
TEST_CASE("growth over the limit ends the holders that stand still") {
  const TimePoint start = TimePoint::FromMilliseconds(1000);
  MemoryBudget budget(1000);
  TestHolder stopped(&budget, HolderKind::kClient);
  TestHolder small(&budget, HolderKind::kClient);
  TestHolder growing(&budget, HolderKind::kClient);
  for (TestHolder* holder : {&stopped, &small, &growing}) {
    holder->share.MarkProgress(start);
  }
  REQUIRE(stopped.share.Resize(500, start));
  REQUIRE(small.share.Resize(100, start));
  const TimePoint now = start + Duration::Seconds(3);
  growing.share.MarkProgress(now);
  CHECK(growing.share.Resize(700, now));
  CHECK(stopped.ended);
  CHECK_FALSE(small.ended);
  CHECK(budget.used() == 800);
  CHECK(budget.holders_ended() == 1);
  // No holder that stands still is left after this one.
  CHECK(growing.share.Resize(950, now));
  CHECK(small.ended);
  CHECK_FALSE(growing.share.Resize(1100, now));
  CHECK(budget.rejections() == 1);
}

// Guards against requests that are ended while this service works on them.
TEST_CASE("protected holders are not ended, and a holder without another to end is refused") {
  const TimePoint start = TimePoint::FromMilliseconds(1000);
  MemoryBudget budget(1000);
  TestHolder handled(&budget, HolderKind::kClient);
  REQUIRE(handled.share.Resize(900, start));
  handled.share.SetProtected(true);
  TestHolder other(&budget, HolderKind::kClient);
  CHECK_FALSE(other.share.Resize(200, start + Duration::Seconds(5)));
  CHECK_FALSE(handled.ended);
  other.share.Record(0);
  handled.share.SetProtected(false);
  CHECK(other.share.Resize(200, start + Duration::Seconds(6)));
  CHECK(handled.ended);
}

// Guards against instances that cannot reach each other while clients hold all memory, and against other instances that
// take memory without bound.
TEST_CASE("other instances may exceed the limit by an eighth, and jobs take half of it") {
  const TimePoint now = TimePoint::FromMilliseconds(1000);
  MemoryBudget budget(8000);
  TestHolder handled(&budget, HolderKind::kClient);
  REQUIRE(handled.share.Resize(8000, now));
  handled.share.SetProtected(true);
  TestHolder peer(&budget, HolderKind::kPeer);
  CHECK(peer.share.Resize(1000, now));
  CHECK_FALSE(peer.share.Resize(1001, now));
  peer.share.Record(0);
  handled.share.Record(0);
  TestHolder job(&budget, HolderKind::kJob);
  job.share.Record(3000);
  CHECK(budget.used(HolderKind::kJob) == 3000);
  CHECK(budget.HasRoom(HolderKind::kJob, 1000));
  CHECK_FALSE(budget.HasRoom(HolderKind::kJob, 1001));
  // A job that is alone may take all of it, one beside another may not.
  CHECK(budget.HasRoom(HolderKind::kJob, 8000, 3000));
  CHECK_FALSE(budget.HasRoom(HolderKind::kJob, 8001, 3000));
  TestHolder other(&budget, HolderKind::kJob);
  other.share.Record(1);
  CHECK(budget.HasRoom(HolderKind::kJob, 3999, 3000));
  CHECK_FALSE(budget.HasRoom(HolderKind::kJob, 4000, 3000));
}

// Guards against a second holder that is ended while the memory of the first is about to be freed.
TEST_CASE("memory that is about to be freed counts as free for others") {
  const TimePoint start = TimePoint::FromMilliseconds(1000);
  MemoryBudget budget(1000);
  bool told = false;
  {
    MemoryBudget::ReclaimableShare slow(&budget, HolderKind::kClient, [&told] { told = true; });
    TestHolder second(&budget, HolderKind::kClient);
    REQUIRE(slow.Resize(600, start));
    REQUIRE(second.share.Resize(300, start));
    TestHolder growing(&budget, HolderKind::kClient);
    CHECK(growing.share.Resize(300, start + Duration::Seconds(2)));
    CHECK(told);
    CHECK_FALSE(second.ended);
    CHECK(budget.used() == 1200);
    CHECK(growing.share.Resize(400, start + Duration::Seconds(2)));
    CHECK_FALSE(second.ended);
  }
  CHECK(budget.used() == 0);
  CHECK(budget.peak() == 1300);
}

// Guards against a sum that drifts from what the holders have when they are ended in any order.
TEST_CASE("the sum stays within the limit when holders grow, stop and are ended at random") {
  constexpr size_t kLimit = 100'000;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    Random random(seed);
    MemoryBudget budget(kLimit);
    TimePoint now = TimePoint::FromMilliseconds(1000);
    std::vector<std::unique_ptr<TestHolder>> holders;
    for (int step = 0; step < 2000; ++step) {
      now = now + Duration::Milliseconds(static_cast<int64_t>(random.Below(20)));
      if (holders.size() < 50 && random.Chance(0.1)) {
        holders.push_back(std::make_unique<TestHolder>(&budget, HolderKind::kClient));
      }
      if (holders.empty()) {
        continue;
      }
      const size_t index = random.Below(holders.size());
      TestHolder* holder = holders[index].get();
      holder->share.MarkProgress(now);
      if (holder->ended || !holder->share.Resize(holder->share.bytes() + random.Below(20'000), now)) {
        holders.erase(holders.begin() + static_cast<std::ptrdiff_t>(index));
      }
      size_t sum = 0;
      for (const auto& entry : holders) {
        sum += entry->share.bytes();
      }
      REQUIRE(budget.used() == sum);
      REQUIRE(sum <= kLimit);
    }
  }
}

}  // namespace
}  // namespace quetzalridge
