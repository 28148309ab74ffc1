#include "state/peer_load_table.h"

#include <catch2/catch.hpp>

namespace quetzalridge {
namespace {

const TimePoint kStart = TimePoint::FromMilliseconds(1'000'000);

// Guards against a late datagram whose old counts replace newer ones, and against a report that is added to the
// previous one of the same peer.
TEST_CASE("only the newest report of each peer is used") {
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

// Guards against endpoints that look full forever because the instance that reported the requests has stopped, and
// against an estimate that is used as complete although a peer does not report.
TEST_CASE("the counts of a peer that stops reporting expire") {
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
