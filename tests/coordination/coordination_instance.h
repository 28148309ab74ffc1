#pragma once

#include <memory>
#include <string>

#include "coordination/config_log.h"
#include "coordination/membership.h"
#include "coordination/roster.h"
#include "protocol/peer_codec.h"
#include "tests/fakes/fake_peer_network.h"
#include "tests/fakes/fake_table_store.h"
#include "tests/fakes/in_memory_object_store.h"

namespace quetzalridge {

// What all simulated instances of one test share: the clock, the table service, the object store and the network.
struct SimulatedEnvironment {
  explicit SimulatedEnvironment(uint64_t seed)
      : table(&scheduler, seed), objects(&scheduler), network(&scheduler, seed) {}

  ManualScheduler scheduler;
  FakeTable table;
  InMemoryObjectStore objects;
  FakePeerNetwork network;
  CerealPeerCodec codec{"test"};
};

// Passes on what the membership tells the configuration log. Each flag switches one check off, so that a test can show
// which failures the check prevents.
class SwitchableConfigPeers : public ConfigPeers {
 public:
  explicit SwitchableConfigPeers(const ConfigPeers* peers) : m_peers(peers) {}

  // Changes are refused until messages were exchanged with every member.
  bool checks_exchange = true;
  // Transactions of proposals check the instance's roster row.
  bool checks_own_row = true;
  // Serving without the store requires that all members report the store as unreachable.
  bool checks_peers_store = true;

  std::optional<std::string> RefusalReason() const override {
    return checks_exchange ? m_peers->RefusalReason() : std::nullopt;
  }
  std::optional<TableCheck> OwnRowCheck() const override {
    return checks_own_row ? m_peers->OwnRowCheck() : std::nullopt;
  }
  bool AllPeersApplied(int64_t version) const override { return m_peers->AllPeersApplied(version); }
  bool AllReportStoreUnreachable(TimePoint now, Duration validity) const override {
    return !checks_peers_store || m_peers->AllReportStoreUnreachable(now, validity);
  }

 private:
  const ConfigPeers* m_peers;
};

// One simulated process of an instance, with its configuration log, roster and membership.
struct CoordinationInstance {
  CoordinationInstance(SimulatedEnvironment* environment, const std::string& id, const std::string& incarnation,
                       ConfigLogOptions config_options = {})
      : process(&environment->scheduler),
        store(&environment->table, &process),
        channel(&environment->network, &process, AddressOf(id)),
        config(&store, &environment->objects, &process, WithIncarnation(std::move(config_options), incarnation)),
        roster(&store, &process, RosterOptionsOf(id, incarnation)),
        membership(&process, &channel, &environment->codec, &roster, &config, MembershipOptionsOf(id, incarnation)),
        switchable_peers(&membership) {
    config.SetPeers(&switchable_peers);
    config.Start();
    roster.Start();
    membership.Start();
  }

  static std::string AddressOf(const std::string& id) { return "address-" + id; }
  static ConfigLogOptions WithIncarnation(ConfigLogOptions options, const std::string& incarnation) {
    options.incarnation = incarnation;
    return options;
  }
  static RosterOptions RosterOptionsOf(const std::string& id, const std::string& incarnation) {
    RosterOptions options;
    options.instance = id;
    options.incarnation = incarnation;
    options.zone = "zone";
    options.peer_address = AddressOf(id);
    return options;
  }
  static MembershipOptions MembershipOptionsOf(const std::string& id, const std::string& incarnation) {
    MembershipOptions options;
    options.instance = id;
    options.incarnation = incarnation;
    return options;
  }

  bool MayServe() const { return config.MayServeKeyedRoutes(process.clock().Now()); }
  int64_t version() const { return config.document().version(); }

  PausableScheduler process;
  FakeTableStore store;
  FakePeerChannel channel;
  ConfigLog config;
  Roster roster;
  Membership membership;
  SwitchableConfigPeers switchable_peers;
};

}  // namespace quetzalridge
