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
  // Time between two batches of statuses.
  Duration status_interval = Duration::Seconds(1);
  // Number of statuses sent in one interval. This limits the traffic: if each of 360 instances sent a status of 100
  // bytes to every other one in each second, each would send 36 KB/s.
  int fan_out = 8;
  // How long the status of a peer may be relied on. The same as the validity of the serving permission.
  Duration permission_validity = Duration::Seconds(3);
  // Of the random order in which members get statuses.
  uint64_t seed = 0;
};

// Exchanges messages with the other instances: statuses at regular intervals, configuration changes on request, and
// load reports. Determines which instances are members and what the configuration log may conclude from their statuses.
class Membership : public ConfigPeers {
 public:
  // Provide and receive the summaries of other modules that statuses carry.
  using DigestSource = std::function<PeerDigest()>;
  using DigestReceiver = std::function<void(const std::string& incarnation, const PeerDigest& digest)>;

  Membership(Scheduler* scheduler, PeerChannel* channel, const PeerCodec* codec, Roster* roster, ConfigLog* config,
             MembershipOptions options);

  void SetDigestSource(DigestSource source) { m_digest_source = std::move(source); }
  void SetDigestReceiver(DigestReceiver receiver) { m_digest_receiver = std::move(receiver); }
  void SetLoadReceiver(std::function<void(const PeerLoad& load)> receiver) { m_load_receiver = std::move(receiver); }
  // Sends the counts of requests in flight to all members, or to none if there are so many members that the traffic
  // would be too high.
  void SendLoad(const std::vector<EndpointCount>& counts);
  // Incarnations of the members that are not known to be gone.
  std::vector<std::string> OtherIncarnations() const;
  // Announces in further statuses that this instance is shutting down.
  void SetLeaving() { m_leaving = true; }
  void Start();
  const PeerTable& peers() const { return m_peers; }
  // The time in which this instance sends one status to every member.
  Duration RoundDuration() const;
  // Number of received datagrams that were malformed, or came from another deployment.
  int64_t malformed_datagrams() const { return m_malformed_datagrams; }

  std::optional<std::string> RefusalReason() const override;
  std::optional<TableCheck> OwnRowCheck() const override;
  bool AllPeersApplied(int64_t version) const override;
  bool AllReportStoreUnreachable(TimePoint now, Duration validity) const override;

 private:
  // A process of another instance that is in the roster or has sent a status. At most one process of each instance is a
  // member.
  struct Member {
    std::string instance;
    std::string incarnation;
    std::string address;
    // The platform no longer lists the instance; see Roster::IsGone.
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
  // Members that have not got a status in this round yet. The next one is at the back.
  std::vector<Member> m_round_remaining;
  size_t m_member_count = 0;
  // When an immediate reply or changes were last sent to each address. Limits the traffic that a peer can cause.
  std::map<std::string, TimePoint> m_replied_at;
  std::map<std::string, TimePoint> m_changes_sent_at;
  TimePoint m_changes_requested_at;
  bool m_leaving = false;
  int64_t m_malformed_datagrams = 0;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace quetzalridge
