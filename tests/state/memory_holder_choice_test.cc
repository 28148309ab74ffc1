#include "state/memory_holder_choice.h"

#include <catch2/catch.hpp>

namespace quetzalridge {
namespace {

constexpr size_t kMb = 1 << 20;

TimePoint At(int64_t ms) {
  return TimePoint::FromMilliseconds(1'000'000 + ms);
}

TEST_CASE("no holder is chosen when none holds anything") {
  CHECK_FALSE(ChooseHolderToEnd({}, At(0)).has_value());
  CHECK_FALSE(ChooseHolderToEnd({{HolderKind::kClient, 0, At(0)}}, At(10)).has_value());
}

// Guards against a large upload in progress that is ended in favour of small ones that stand still.
TEST_CASE("a holder that stands still is ended before one that makes progress") {
  const TimePoint now = At(20'000);
  CHECK(ChooseHolderToEnd({{HolderKind::kClient, 30 * kMb, now - Duration::Milliseconds(900)},
                           {HolderKind::kClient, 10'000, now - kHolderStallTime}},
                          now) == 1);
}

TEST_CASE("the holder of most for the longest time is ended first") {
  const TimePoint now = At(20'000);
  const TimePoint earlier = now - Duration::Seconds(4);
  const TimePoint later = now - Duration::Seconds(2);
  CHECK(ChooseHolderToEnd({{HolderKind::kClient, 2 * kMb, earlier}, {HolderKind::kClient, 8 * kMb, later}}, now) == 1);
  CHECK(ChooseHolderToEnd({{HolderKind::kClient, 3 * kMb, earlier}, {HolderKind::kClient, 4 * kMb, later}}, now) == 0);
  CHECK(ChooseHolderToEnd({{HolderKind::kClient, 3 * kMb, now}, {HolderKind::kClient, 4 * kMb, now}}, now) == 1);
}

// Guards against calls between instances that are ended while clients hold memory.
TEST_CASE("holders of clients are ended before those of other instances") {
  const TimePoint now = At(20'000);
  const MemoryHolder peer = {HolderKind::kPeer, 30 * kMb, now - Duration::Seconds(15)};
  CHECK(ChooseHolderToEnd({peer, {HolderKind::kClient, 1, now}}, now) == 1);
  CHECK(ChooseHolderToEnd({peer, {HolderKind::kClient, 0, now}}, now) == 0);
}

}  // namespace
}  // namespace quetzalridge
