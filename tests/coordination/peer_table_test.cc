#include "coordination/peer_table.h"

#include <catch2/catch.hpp>
#include <string>

namespace quetzalridge {
namespace {

const TimePoint kStart = TimePoint::FromMilliseconds(1'000'000);

PeerStatus StatusOf(const std::string& incarnation, uint32_t sequence) {
  PeerStatus status;
  status.sender = "instance-" + incarnation;
  status.incarnation = incarnation;
  status.sequence = sequence;
  return status;
}

// Guards against a status without an acknowledgement for its receiver, because many other peers sent statuses later.
// Without the acknowledgement, the receiver cannot date the status and loses its serving permission.
TEST_CASE("a status acknowledges its receiver among any number of peers") {
  PeerTable table("own");
  constexpr int kPeers = 360;
  for (int i = 0; i < kPeers; ++i) {
    const std::string id = std::to_string(i);
    REQUIRE(
        table.Update(StatusOf(id, static_cast<uint32_t>(i + 1)), "address-" + id, kStart + Duration::Milliseconds(i)));
  }
  const std::vector<PeerAck> acks = table.AcksFor("0", "address-0");
  REQUIRE(acks.size() == 1);
  CHECK(acks[0].incarnation_hash == PeerNameHash("0"));
  CHECK(acks[0].sequence == 1);
}

// Guards against a receiver that gets no acknowledgement because the roster has another address than the one that its
// datagrams come from, or another incarnation than the one that runs. Also guards against a list of acknowledgements
// that grows with each restart at one address.
TEST_CASE("a receiver is found by its incarnation and by its address") {
  PeerTable table("own");
  table.Update(StatusOf("named", 5), "address-of-its-socket", kStart);
  CHECK(table.AcksFor("named", "address-in-the-roster").size() == 1);
  CHECK(table.AcksFor("gone", "address-of-its-socket").size() == 1);
  CHECK(table.AcksFor("gone", "address-in-the-roster").empty());
  for (int i = 0; i < 10; ++i) {
    table.Update(StatusOf("next-" + std::to_string(i), 1), "address-of-its-socket", kStart + Duration::Seconds(i + 1));
  }
  const std::vector<PeerAck> acks = table.AcksFor("named", "address-of-its-socket");
  REQUIRE(acks.size() == 4);
  CHECK(acks[0].incarnation_hash == PeerNameHash("named"));
  CHECK(acks[1].incarnation_hash == PeerNameHash("next-9"));
}

}  // namespace
}  // namespace quetzalridge
