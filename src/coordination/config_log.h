#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "coordination/config_peers.h"
#include "coordination/config_proposer.h"
#include "coordination/config_reader.h"
#include "coordination/config_replica.h"
#include "coordination/config_view.h"
#include "coordination/object_store.h"
#include "coordination/scheduler.h"
#include "coordination/table_store.h"

namespace quetzalridge {

struct ConfigLogOptions {
  // Interval at which the head is read from the store.
  Duration poll_interval = Duration::Seconds(1);
  // How long a confirmation of the head, or a peer's report about the store, allows this instance to serve keyed
  // routes.
  Duration permission_validity = Duration::Seconds(3);
  // See ConfigProposer::Options.
  Duration accept_wait = Duration::Seconds(4);
  Duration outcome_timeout = Duration::Seconds(10);
  // The random identity of this process, generated at each start.
  std::string incarnation;
};

// The configuration of the deployment as this instance knows it. The log in the table service holds one row for each
// change and a head row with the newest version. This class polls the head, applies changes from the store and from
// peers, proposes changes, writes snapshots, and decides whether this instance may serve keyed routes (the routes that
// need an API key).
class ConfigLog : public ConfigView {
 public:
  ConfigLog(TableStore* store, ObjectStore* objects, Scheduler* scheduler, ConfigLogOptions options);

  // Starts polling the store.
  void Start();
  void SetPeers(const ConfigPeers* peers);

  const ConfigDocument& document() const override { return m_replica.document(); }
  bool MayServeKeyedRoutes(TimePoint now) const override;
  void AddListener(Listener listener) override { m_replica.AddListener(std::move(listener)); }

  // Since the process started, the configuration was read from the store, or two peers confirmed that it is current.
  bool loaded() const { return m_loaded; }
  // Since the process started, the whole configuration was read from the store.
  bool has_read_store() const { return m_has_read_store; }
  int64_t newest_known_version() const { return m_replica.newest_known_version(); }
  std::optional<HeadConfirmation> confirmation() const { return m_replica.confirmation(); }
  // The most recently started of the finished polls succeeded.
  bool store_reachable() const { return m_store_reachable; }
  // What this instance tells its peers. False only when the store is unreachable and no proposal of this instance can
  // still be reported as accepted; peers may go on serving only as long as no change can be accepted.
  bool ReportsStoreReachable() const { return m_store_reachable || m_proposer.HasUnreportedProposal(); }

  void Propose(ConfigProposal proposal, ConfigProposer::Callback callback);

  // Handle confirmations, changes and status updates that arrive from peers.
  void OnPeerConfirmation(const HeadConfirmation& confirmation);
  void OnPeerChanges(const std::vector<ConfigChange>& changes);
  void OnPeerProgress() { m_proposer.OnPeerProgress(); }
  // Two peers have applied the same version as this instance and know of no newer one.
  void OnPeersAgree();
  std::vector<ConfigChange> ChangesSince(int64_t version) const { return m_replica.ChangesSince(version); }

 private:
  void Poll();
  void OnPollFinished(uint64_t poll, const ConfigReader::Result& result);
  void LogPermissionChange();
  void WriteSnapshot(int64_t version);

  ObjectStore* m_objects;
  Scheduler* m_scheduler;
  ConfigLogOptions m_options;
  ConfigReplica m_replica;
  ConfigReader m_reader;
  ConfigProposer m_proposer;
  const ConfigPeers* m_peers = nullptr;
  bool m_loaded = false;
  bool m_has_read_store = false;
  bool m_store_reachable = false;
  bool m_last_logged_permission = false;
  uint64_t m_last_started_poll = 0;
  // The most recently started poll among those that finished. Polls overlap, and a late failure of an older poll must
  // not override the success of a newer one.
  uint64_t m_last_finished_poll = 0;
  std::unique_ptr<Timer> m_poll_timer;
};

}  // namespace quetzalridge
