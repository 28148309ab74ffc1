#include "protocol/peer_codec.h"

#include <catch2/catch.hpp>

#include "base/random.h"
#include "tests/fakes/property.h"

namespace quetzalridge {
namespace {

PeerMessage FullStatus(int entries) {
  PeerStatus status;
  status.sender = "entry-1";
  status.incarnation = "0123456789abcdef";
  status.sequence = 77;
  status.applied_version = 5;
  status.newest_known = 6;
  status.confirmed_version = 5;
  status.confirmation_age_ms = 250;
  status.has_read_store = true;
  status.wants_reply = true;
  for (int i = 0; i < entries; ++i) {
    const auto n = static_cast<uint32_t>(i);
    status.heard.push_back({n, n + 1});
    status.digest.demand.push_back({n, n, 1, 2, 3});
    status.digest.quarantine.push_back({n, 2});
  }
  PeerMessage message;
  message.status = status;
  return message;
}

// Guards against fields that are lost or swapped on the way.
TEST_CASE("messages survive encoding and decoding") {
  const CerealPeerCodec codec("prod");
  const std::optional<PeerMessage> status = codec.Decode(codec.Encode(FullStatus(3)));
  REQUIRE(status.has_value());
  CHECK(status->status->sender == "entry-1");
  CHECK(status->status->sequence == 77);
  CHECK(status->status->newest_known == 6);
  CHECK(status->status->confirmation_age_ms == 250);
  CHECK(status->status->wants_reply);
  CHECK(status->status->heard.at(2).sequence == 3);
  CHECK(status->status->digest.demand.at(1).waiting == 3);
  CHECK(status->status->digest.quarantine.at(2).crashes == 2);
  PeerMessage reply;
  reply.changes_reply = ChangesReply{
      {{4, ConfigKind::kKey, "digest", std::nullopt}, {5, ConfigKind::kWorkspace, "w", std::string("{}")}}};
  const std::optional<PeerMessage> decoded = codec.Decode(codec.Encode(reply));
  REQUIRE(decoded.has_value());
  CHECK_FALSE(decoded->changes_reply->changes.at(0).value.has_value());
  CHECK(decoded->changes_reply->changes.at(1).value == "{}");
  PeerMessage load;
  load.load = PeerLoad{"entry-1", "0123", 9, {{77, 5, 2}, {78, 1, 0}}};
  const std::optional<PeerMessage> counts = codec.Decode(codec.Encode(load));
  REQUIRE(counts.has_value());
  REQUIRE(counts->load.has_value());
  CHECK(counts->load->incarnation == "0123");
  CHECK(counts->load->sequence == 9);
  CHECK(counts->load->counts.at(0).in_flight == 5);
  CHECK(counts->load->counts.at(0).starting == 2);
  CHECK(counts->load->counts.at(1).endpoint_hash == 78);
}

// Guards against a load report that is fragmented, or lost as a whole, where an instance has very many endpoints.
TEST_CASE("a load report is shortened to one datagram") {
  const CerealPeerCodec codec("prod");
  PeerMessage message;
  message.load = PeerLoad{"entry-1", "0123", 9, {}};
  for (uint32_t i = 0; i < 1000; ++i) {
    message.load->counts.push_back({i, 3, 1});
  }
  const std::string datagram = codec.Encode(message);
  CHECK(datagram.size() <= kMaxPeerDatagramBytes);
  const std::optional<PeerMessage> decoded = codec.Decode(datagram);
  REQUIRE(decoded.has_value());
  CHECK(decoded->load->counts.size() >= 100);
}

// Guards against datagrams that the network would fragment, and against dropping what matters most: who was heard.
TEST_CASE("a full status is shortened to one datagram") {
  const CerealPeerCodec codec("prod");
  const std::string datagram = codec.Encode(FullStatus(200));
  CHECK(datagram.size() <= kMaxPeerDatagramBytes);
  const std::optional<PeerMessage> decoded = codec.Decode(datagram);
  REQUIRE(decoded.has_value());
  CHECK(decoded->status->heard.size() == 40);
  CHECK(decoded->status->digest.demand.size() >= 20);
}

// Guards against instances of two deployments that hear each other.
TEST_CASE("datagrams of another cluster are dropped") {
  const CerealPeerCodec one("one");
  const CerealPeerCodec two("two");
  CHECK_FALSE(two.Decode(one.Encode(FullStatus(1))).has_value());
}

// Guards against crashes and huge allocations on malformed input: valid datagrams with random bytes changed, cut off or
// added, and random bytes. What is accepted must survive another round.
TEST_CASE("malformed datagrams are dropped without harm") {
  const CerealPeerCodec codec("prod");
  Random random(PropertySeed(5));
  constexpr int kRounds = 200'000;
  int accepted = 0;
  for (int i = 0; i < kRounds; ++i) {
    std::string datagram = codec.Encode(FullStatus(static_cast<int>(random.Below(6))));
    const uint64_t changes = random.Below(6);
    for (uint64_t change = 0; change < changes; ++change) {
      datagram[random.Below(datagram.size())] = static_cast<char>(random.Next());
    }
    if (random.Chance(0.3)) {
      datagram.resize(random.Below(2 * kMaxPeerDatagramBytes), static_cast<char>(random.Next()));
    }
    const std::optional<PeerMessage> message = codec.Decode(datagram);
    if (message.has_value()) {
      ++accepted;
      REQUIRE(codec.Encode(*message).size() <= kMaxPeerDatagramBytes);
    }
  }
  CHECK(accepted > 0);
  CHECK(accepted < kRounds);
}

}  // namespace
}  // namespace quetzalridge
