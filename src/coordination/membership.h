#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "coordination/config_log.h"
#include "coordination/config_peers.h"
#include "coordination/peer_channel.h"
#include "coordination/peer_message.h"
#include "coordination/peer_table.h"
#include "coordination/roster.h"
#include "coordination/scheduler.h"

namespace quetzalridge {

struct MembershipOptions {
  std::string instance;
  std::string incarnation;
  Duration status_interval = Duration::Seconds(1);
  // Statuses sent in one interval. 100-byte heartbeats among all of 360 nodes would cost 36 KB/s a node.
  int fan_out = 8;
  // Validity of what a peer said, as for the serving permission.
  Duration permission_validity = Duration::Seconds(3);
  uint64_t seed = 0;
};

// Exchanges statuses and configuration changes with the other instances.
class Membership : public ConfigPeers {
 public:
  using DigestSource = std::function<PeerDigest()>;
  using DigestReceiver = std::function<void(const std::string& incarnation, const PeerDigest& digest)>;

  Membership(Scheduler* scheduler, PeerChannel* channel, const PeerCodec* codec, Roster* roster, ConfigLog* config,
             MembershipOptions options);

  void SetDigestSource(DigestSource source) { m_digest_source = std::move(source); }
  void SetDigestReceiver(DigestReceiver receiver) { m_digest_receiver = std::move(receiver); }
  void SetLoadReceiver(std::function<void(const PeerLoad& load)> receiver) { m_load_receiver = std::move(receiver); }
  // Sends the counts to all members; to none when there are more of them than the traffic allows.
  void SendLoad(const std::vector<EndpointCount>& counts);
  // Incarnations of the members that are not known to be gone.
  std::vector<std::string> OtherIncarnations() const;
  void SetLeaving() { m_leaving = true; }
  void Start();
  const PeerTable& peers() const { return m_peers; }
  // The time in which each peer gets a status once.
  Duration RoundDuration() const;
  // Datagrams that were malformed or of another deployment.
  int64_t malformed_datagrams() const { return m_malformed_datagrams; }

  std::optional<std::string> RefusalReason() const override;
  std::optional<TableCheck> OwnRowCheck() const override;
  bool AllPeersApplied(int64_t version) const override;
  bool AllReportStoreUnreachable(TimePoint now, Duration validity) const override;

 private:
  // A process that this instance must reckon with: in the roster, or heard of and not yet known to be gone.
  struct Member {
    std::string instance;
    std::string incarnation;
    std::string address;
    // The platform says that it is gone.
    bool gone = false;
  };

  void Tick();
  void OnDatagram(const std::string& from, std::string_view datagram);
  void OnStatus(const std::string& from, const PeerStatus& status);
  void OnChangesRequest(const std::string& from, const ChangesRequest& request);
  void OnRosterRead();
  void CheckAgreement();
  std::vector<Member> Members() const;
  std::vector<Member> NextRecipients();
  void StartRound(const std::vector<Member>& members);
  PeerStatus MakeStatus(const std::string& to, const std::string& incarnation, bool wants_reply);
  bool NeedsFreshStatuses() const;
  void SendStatus(const std::string& to, const std::string& incarnation, bool wants_reply);
  void Send(const std::string& to, const PeerMessage& message);

  Scheduler* m_scheduler;
  PeerChannel* m_channel;
  const PeerCodec* m_codec;
  Roster* m_roster;
  ConfigLog* m_config;
  MembershipOptions m_options;
  PeerTable m_peers;
  Random m_random;
  DigestSource m_digest_source;
  DigestReceiver m_digest_receiver;
  std::function<void(const PeerLoad& load)> m_load_receiver;
  uint32_t m_load_sequence = 0;
  // Members still to be sent to in this round.
  std::vector<Member> m_round_remaining;
  size_t m_member_count = 0;
  // When each address last got an immediate reply or changes, to bound what a peer can make this instance send.
  std::map<std::string, TimePoint> m_replied_at;
  std::map<std::string, TimePoint> m_changes_sent_at;
  TimePoint m_changes_requested_at;
  bool m_leaving = false;
  int64_t m_malformed_datagrams = 0;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace quetzalridge
