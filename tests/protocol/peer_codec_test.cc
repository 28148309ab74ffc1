#include "protocol/peer_codec.h"

#include <catch2/catch.hpp>
#include <cstdint>

#include "base/random.h"
#include "tests/fakes/property.h"

namespace quetzalridge {
namespace {

PeerMessage MakeStatus(int entries) {
  PeerStatus status;
  status.sender = "entry-1";
  status.incarnation = "0123456789abcdef";
  status.sequence = 77;
  status.applied_version = 5;
  status.newest_known_version = 6;
  status.confirmed_version = 5;
  status.confirmation_age_ms = 250;
  status.has_read_store = true;
  status.wants_reply = true;
  for (int i = 0; i < entries; ++i) {
    const auto n = static_cast<uint32_t>(i);
    status.acks.push_back({n, n + 1});
    status.digest.demand.push_back({n, n, 1, 2, 3});
    status.digest.quarantine.push_back({n, 2});
  }
  PeerMessage message;
  message.status = status;
  return message;
}

// Guards against fields that are lost or swapped by encoding and decoding.
TEST_CASE("messages survive encoding and decoding") {
  const CerealPeerCodec codec("prod");
  const std::optional<PeerMessage> status = codec.Decode(codec.Encode(MakeStatus(3)));
  REQUIRE(status.has_value());
  CHECK(status->status->sender == "entry-1");
  CHECK(status->status->sequence == 77);
  CHECK(status->status->newest_known_version == 6);
  CHECK(status->status->confirmation_age_ms == 250);
  CHECK(status->status->wants_reply);
  CHECK(status->status->acks.at(2).sequence == 3);
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
  CHECK(counts->load->counts.at(0).awaiting_first_token == 2);
  CHECK(counts->load->counts.at(1).endpoint_hash == 78);
}

// Guards against a load report that is larger than a datagram, because the instance has requests on very many
// endpoints. The network would fragment such a datagram, and lose it as a whole.
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

// Guards against datagrams that the network would fragment, and against a status that loses its acknowledgements when
// it is shortened: they are its most important entries.
TEST_CASE("a full status is shortened to one datagram") {
  const CerealPeerCodec codec("prod");
  const std::string datagram = codec.Encode(MakeStatus(200));
  CHECK(datagram.size() <= kMaxPeerDatagramBytes);
  const std::optional<PeerMessage> decoded = codec.Decode(datagram);
  REQUIRE(decoded.has_value());
  CHECK(decoded->status->acks.size() == 40);
  CHECK(decoded->status->digest.demand.size() >= 20);
}

// Guards against demand entries that are decoded with the hash of another service, since the hash is written only once
// for several entries, and against numbers that are truncated because their length varies.
TEST_CASE("demand of several services and numbers of every length survive encoding and decoding") {
  const CerealPeerCodec codec("prod");
  PeerMessage message = MakeStatus(0);
  PeerStatus& sent = *message.status;
  sent.sequence = UINT32_MAX;
  sent.applied_version = INT64_MAX / 2;
  sent.newest_known_version = INT64_MAX / 2 + 1;
  sent.confirmed_version = 127;
  sent.confirmation_age_ms = -1;
  sent.leaving = true;
  sent.store_reachable = false;
  sent.digest.demand = {{1, 10, 0, UINT16_MAX, 0}, {1, 10, 1, 127, UINT16_MAX}, {2, 10, 0, 63, 128}, {1, 11, 1, 0, 1}};
  const std::optional<PeerMessage> decoded = codec.Decode(codec.Encode(message));
  REQUIRE(decoded.has_value());
  const PeerStatus& received = *decoded->status;
  CHECK(received.sequence == sent.sequence);
  CHECK(received.applied_version == sent.applied_version);
  CHECK(received.newest_known_version == sent.newest_known_version);
  CHECK(received.confirmed_version == sent.confirmed_version);
  CHECK(received.confirmation_age_ms == sent.confirmation_age_ms);
  CHECK(received.has_read_store);
  CHECK(received.leaving);
  CHECK(received.wants_reply);
  CHECK_FALSE(received.store_reachable);
  REQUIRE(received.digest.demand.size() == sent.digest.demand.size());
  for (size_t i = 0; i < sent.digest.demand.size(); ++i) {
    CHECK(received.digest.demand[i].service_hash == sent.digest.demand[i].service_hash);
    CHECK(received.digest.demand[i].workspace_hash == sent.digest.demand[i].workspace_hash);
    CHECK(received.digest.demand[i].work_class == sent.digest.demand[i].work_class);
    CHECK(received.digest.demand[i].running == sent.digest.demand[i].running);
    CHECK(received.digest.demand[i].waiting == sent.digest.demand[i].waiting);
  }
}

// Guards against statuses that use up the limit of 2 KB for control traffic of a node: it sends eight statuses each
// second, besides its other messages.
TEST_CASE("eight statuses with demand of eight workspaces fit into half of 2 KB") {
  const CerealPeerCodec codec("cluster");
  PeerMessage message = MakeStatus(0);
  PeerStatus& status = *message.status;
  status.sender = "instance-359";
  status.sequence = 1'000'000;
  status.applied_version = 1'000'000;
  status.newest_known_version = 1'000'000;
  status.confirmed_version = 1'000'000;
  status.acks = {{PeerNameHash("receiver"), 1'000'000}};
  for (uint32_t workspace = 0; workspace < 8; ++workspace) {
    status.digest.demand.push_back({PeerNameHash("service"), workspace, 0, 3, 1});
  }
  CHECK(codec.Encode(message).size() * 8 <= 1024);
}

// Guards against instances of two clusters that accept each other's messages.
TEST_CASE("datagrams of another cluster are dropped") {
  const CerealPeerCodec one("one");
  const CerealPeerCodec two("two");
  CHECK_FALSE(two.Decode(one.Encode(MakeStatus(1))).has_value());
}

// Guards against crashes and huge allocations on malformed input: valid datagrams in which random bytes are changed,
// cut off or added. A message that is accepted must fit into a datagram when it is encoded again.
TEST_CASE("malformed datagrams are dropped without a crash") {
  const CerealPeerCodec codec("prod");
  Random random(PropertySeed(5));
  constexpr int kRounds = 200'000;
  int accepted = 0;
  for (int i = 0; i < kRounds; ++i) {
    std::string datagram = codec.Encode(MakeStatus(static_cast<int>(random.Below(6))));
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
