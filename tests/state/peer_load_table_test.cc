#include "state/peer_load_table.h"

#include <catch2/catch.hpp>

namespace quetzalridge {
namespace {

const TimePoint kStart = TimePoint::FromMilliseconds(1'000'000);

// Guards against a datagram that was overtaken and brings back old counts, and against counts that are added up.
TEST_CASE("the newest report of each peer counts") {
  PeerLoadTable table;
  table.OnReport("a", 2, {{1, 5, 2}, {2, 1, 0}}, kStart);
  table.OnReport("b", 9, {{1, 3, 1}}, kStart);
  CHECK(table.Sum(1, kStart).in_flight == 8);
  CHECK(table.Sum(1, kStart).awaiting_first_token == 3);
  table.OnReport("a", 1, {{1, 50, 20}}, kStart);
  CHECK(table.Sum(1, kStart).in_flight == 8);
  table.OnReport("a", 3, {{1, 4, 0}}, kStart);
  CHECK(table.Sum(1, kStart).in_flight == 7);
  CHECK(table.Sum(2, kStart).in_flight == 0);
}

// Guards against endpoints that look full for ever because the instance that filled them is gone, and against an
// estimate that leaves out a silent peer.
TEST_CASE("the counts of a silent peer run out") {
  PeerLoadTable table;
  CHECK(table.HasReportsFrom({}, kStart));
  CHECK_FALSE(table.HasReportsFrom({"a"}, kStart));
  table.OnReport("a", 1, {{1, 5, 0}}, kStart);
  table.OnReport("b", 1, {{1, 2, 0}}, kStart);
  CHECK(table.HasReportsFrom({"a", "b"}, kStart));
  const TimePoint later = kStart + Duration::Milliseconds(3001);
  table.OnReport("b", 2, {{1, 2, 0}}, later);
  CHECK(table.Sum(1, later).in_flight == 2);
  CHECK_FALSE(table.HasReportsFrom({"a", "b"}, later));
  CHECK(table.HasReportsFrom({"b"}, later));
}

}  // namespace
}  // namespace quetzalridge
