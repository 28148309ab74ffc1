#include "coordination/membership.h"

#include <algorithm>
#include <utility>

namespace quetzalridge {

namespace {

// Number of peers that must agree on the head before a restarted instance may use its configuration without having read
// the store.
constexpr int kMinAgreeingPeers = 2;
// Minimum time between immediate replies to one address. It is shorter than the interval between statuses, so that the
// loss of one datagram does not cost an instance its serving permission.
constexpr Duration kMinReplyInterval = Duration::Milliseconds(200);
// Minimum time between requests for changes, and between replies with changes to one address.
constexpr Duration kMinChangesInterval = Duration::Milliseconds(100);
// With more peers than this, no load reports are sent, to limit the traffic. Both deployments have at most 9 instances.
// In larger deployments, the reports should go only to instances that use the same endpoints; this is not implemented.
constexpr size_t kMaxLoadPeers = 16;
// Bounds the memory for the send times of PassesRateLimit. There are few addresses unless datagrams are forged.
constexpr size_t kMaxRateLimitEntries = 2048;

// Returns whether a datagram may be sent to the address now. If so, records this time as the last one in `last`.
bool PassesRateLimit(std::map<std::string, TimePoint>* last, const std::string& address, TimePoint now,
                     Duration interval) {
  if (last->size() > kMaxRateLimitEntries) {
    last->clear();
  }
  const auto [it, inserted] = last->emplace(address, now);
  if (!inserted && now - it->second < interval) {
    return false;
  }
  it->second = now;
  return true;
}

}  // namespace

Membership::Membership(Scheduler* scheduler, PeerChannel* channel, const PeerCodec* codec, Roster* roster,
                       ConfigLog* config, MembershipOptions options)
    : m_scheduler(scheduler),
      m_channel(channel),
      m_codec(codec),
      m_roster(roster),
      m_config(config),
      m_options(std::move(options)),
      m_peers(m_options.incarnation),
      m_random(m_options.seed) {
  m_channel->SetReceiver([this](const std::string& from, std::string_view datagram) { OnDatagram(from, datagram); });
  m_roster->SetLastReceivedSource(
      [this](const std::string& incarnation) { return m_peers.LastReceivedAt(incarnation); });
  m_roster->SetScannedCallback([this] { OnRosterRead(); });
  m_config->SetPeers(this);
}

void Membership::Start() {
  Tick();
}

void Membership::Tick() {
  m_timer = m_scheduler->After(m_options.status_interval, [this] { Tick(); });
  const bool wants_reply = NeedsFreshStatuses();
  for (const Member& member : NextRecipients()) {
    SendStatus(member.address, member.incarnation, wants_reply);
  }
  m_config->OnPeerProgress();
}

// True when the configuration is not loaded, when the head was never confirmed, or when the latest confirmation is past
// half of its validity, which does not happen while polls of the store succeed. Replies of peers can bring a newer one.
bool Membership::NeedsFreshStatuses() const {
  const std::optional<HeadConfirmation> confirmation = m_config->confirmation();
  const TimePoint now = m_scheduler->clock().Now();
  return !m_config->loaded() || !confirmation.has_value() ||
         (now - confirmation->at) * 2 > m_options.permission_validity;
}

// Returns the members that get a status in this interval. In each round, every member gets one status, in random order.
std::vector<Membership::Member> Membership::NextRecipients() {
  const std::vector<Member> members = Members();
  m_member_count = members.size();
  const size_t count = std::min(members.size(), static_cast<size_t>(m_options.fan_out));
  std::vector<Member> recipients;
  while (recipients.size() < count) {
    if (m_round_remaining.empty()) {
      StartRound(members);
    }
    Member next = std::move(m_round_remaining.back());
    m_round_remaining.pop_back();
    const bool is_new = std::none_of(recipients.begin(), recipients.end(),
                                     [&](const Member& recipient) { return recipient.address == next.address; });
    if (is_new) {
      recipients.push_back(std::move(next));
    } else if (m_round_remaining.empty()) {
      break;
    }
  }
  return recipients;
}

void Membership::StartRound(const std::vector<Member>& members) {
  m_round_remaining = members;
  for (size_t n = m_round_remaining.size(); n > 1; --n) {
    std::swap(m_round_remaining[n - 1], m_round_remaining[m_random.Below(n)]);
  }
}

// A process that sent a status counts as a member even if no roster row names it, since it may have joined after the
// roster was read. It replaces an earlier process with the same instance id.
std::vector<Membership::Member> Membership::Members() const {
  std::map<std::string, Member> by_instance;
  for (const auto& [instance, entry] : m_roster->others()) {
    by_instance[instance] = {instance, entry.record.incarnation, entry.record.peer_address, m_roster->IsGone(entry)};
  }
  for (const auto& [incarnation, peer] : m_peers.peers()) {
    Member& member = by_instance[peer.status.sender];
    const PeerState* listed = m_peers.Find(member.incarnation);
    const bool is_newer = listed == nullptr || listed->received_at < peer.received_at;
    if (member.incarnation.empty() || (member.incarnation != incarnation && is_newer)) {
      member = {peer.status.sender, incarnation, peer.address, false};
    }
  }
  std::vector<Member> members;
  members.reserve(by_instance.size());
  for (const auto& entry : by_instance) {
    members.push_back(entry.second);
  }
  return members;
}

// Removes from the peer table the processes that the roster no longer names and that have stopped sending statuses.
void Membership::OnRosterRead() {
  const TimePoint now = m_scheduler->clock().Now();
  std::set<std::string> roster_incarnations;
  for (const auto& [instance, entry] : m_roster->others()) {
    roster_incarnations.insert(entry.record.incarnation);
  }
  std::vector<std::string> to_remove;
  for (const auto& [incarnation, peer] : m_peers.peers()) {
    const bool is_silent = now - peer.received_at > m_options.permission_validity * 2;
    if (roster_incarnations.count(incarnation) == 0 && is_silent) {
      to_remove.push_back(incarnation);
    }
  }
  for (const std::string& incarnation : to_remove) {
    m_peers.Remove(incarnation);
  }
  m_config->OnPeerProgress();
}

Duration Membership::RoundDuration() const {
  const size_t fan_out = static_cast<size_t>(m_options.fan_out);
  const size_t intervals = std::max<size_t>((m_member_count + fan_out - 1) / fan_out, 1);
  return m_options.status_interval * static_cast<int64_t>(intervals);
}

PeerStatus Membership::MakeStatus(const std::string& to, const std::string& incarnation, bool wants_reply) {
  const TimePoint now = m_scheduler->clock().Now();
  PeerStatus status;
  status.sender = m_options.instance;
  status.incarnation = m_options.incarnation;
  status.sequence = m_peers.NextSequence(now);
  status.applied_version = m_config->document().version();
  status.newest_known_version = m_config->newest_known_version();
  const std::optional<HeadConfirmation> confirmation = m_config->confirmation();
  if (confirmation.has_value()) {
    status.confirmed_version = confirmation->version;
    status.confirmation_age_ms = (now - confirmation->at).ms();
  }
  status.has_read_store = m_config->has_read_store();
  status.store_reachable = m_config->ReportsStoreReachable();
  status.leaving = m_leaving;
  status.wants_reply = wants_reply;
  status.acks = m_peers.AcksFor(incarnation, to);
  if (m_digest_source) {
    status.digest = m_digest_source();
  }
  return status;
}

void Membership::SendStatus(const std::string& to, const std::string& incarnation, bool wants_reply) {
  PeerMessage message;
  message.status = MakeStatus(to, incarnation, wants_reply);
  Send(to, message);
}

void Membership::Send(const std::string& to, const PeerMessage& message) {
  m_channel->Send(to, m_codec->Encode(message));
}

void Membership::OnDatagram(const std::string& from, std::string_view datagram) {
  const std::optional<PeerMessage> message = m_codec->Decode(datagram);
  if (!message.has_value()) {
    ++m_malformed_datagrams;
    return;
  }
  if (message->status.has_value()) {
    OnStatus(from, *message->status);
  } else if (message->changes_request.has_value()) {
    OnChangesRequest(from, *message->changes_request);
  } else if (message->changes_reply.has_value()) {
    m_config->OnPeerChanges(message->changes_reply->changes);
    CheckAgreement();
  } else if (message->load.has_value() && m_load_receiver && message->load->incarnation != m_options.incarnation) {
    m_load_receiver(*message->load);
  }
}

void Membership::SendLoad(const std::vector<EndpointCount>& counts) {
  const std::vector<Member> members = Members();
  if (members.size() > kMaxLoadPeers) {
    return;
  }
  PeerMessage message;
  message.load = PeerLoad{m_options.instance, m_options.incarnation, ++m_load_sequence, counts};
  for (const Member& member : members) {
    if (!member.gone) {
      Send(member.address, message);
    }
  }
}

std::vector<std::string> Membership::OtherIncarnations() const {
  std::vector<std::string> incarnations;
  for (const Member& member : Members()) {
    if (!member.gone) {
      incarnations.push_back(member.incarnation);
    }
  }
  return incarnations;
}

void Membership::OnStatus(const std::string& from, const PeerStatus& status) {
  const TimePoint now = m_scheduler->clock().Now();
  const bool is_new = m_peers.Find(status.incarnation) == nullptr;
  if (status.incarnation == m_options.incarnation || !m_peers.Update(status, from, now)) {
    return;
  }
  // A new instance does not know which requests have crashed endpoints before it started. The digest of this status
  // tells it; with the regular statuses, it might have to wait for one interval.
  if (is_new) {
    SendStatus(from, status.incarnation, false);
  }
  const PeerState& peer = *m_peers.Find(status.incarnation);
  if (peer.made_after.has_value() && status.confirmation_age_ms >= 0) {
    const Duration age = Duration::Milliseconds(status.confirmation_age_ms);
    m_config->OnPeerConfirmation({status.confirmed_version, *peer.made_after - age});
  }
  if (status.applied_version > m_config->document().version() && now - m_changes_requested_at >= kMinChangesInterval) {
    m_changes_requested_at = now;
    PeerMessage request;
    request.changes_request = ChangesRequest{m_config->document().version()};
    Send(from, request);
  }
  if (status.wants_reply && PassesRateLimit(&m_replied_at, from, now, kMinReplyInterval)) {
    SendStatus(from, status.incarnation, false);
  }
  if (m_digest_receiver) {
    m_digest_receiver(status.incarnation, status.digest);
  }
  CheckAgreement();
  m_config->OnPeerProgress();
}

// Sends nothing when this instance no longer keeps the changes; the peer then reads them from the store.
void Membership::OnChangesRequest(const std::string& from, const ChangesRequest& request) {
  PeerMessage reply;
  reply.changes_reply = ChangesReply{m_config->ChangesSince(request.from_version)};
  if (reply.changes_reply->changes.empty() ||
      !PassesRateLimit(&m_changes_sent_at, from, m_scheduler->clock().Now(), kMinChangesInterval)) {
    return;
  }
  Send(from, reply);
}

// Lets a restarted instance use its configuration without the store, once enough peers that have read the store report
// the same version as applied and as the newest one.
void Membership::CheckAgreement() {
  if (m_config->loaded()) {
    return;
  }
  const TimePoint now = m_scheduler->clock().Now();
  const int64_t version = m_config->document().version();
  std::set<std::string> agreeing;
  for (const auto& [incarnation, peer] : m_peers.peers()) {
    const PeerStatus& status = peer.status;
    const bool is_fresh = peer.made_after.has_value() && now - *peer.made_after <= m_options.permission_validity;
    if (is_fresh && status.has_read_store && status.applied_version == version &&
        status.newest_known_version == version) {
      agreeing.insert(status.sender);
    }
  }
  if (static_cast<int>(agreeing.size()) >= kMinAgreeingPeers) {
    m_config->OnPeersAgree();
  }
}

std::optional<std::string> Membership::RefusalReason() const {
  if (!m_roster->joined()) {
    return "this instance is not in the roster yet; send the change again in a few seconds";
  }
  for (const Member& member : Members()) {
    const PeerState* peer = m_peers.Find(member.incarnation);
    if (!member.gone && (peer == nullptr || !peer->made_after.has_value())) {
      return "instance " + member.instance +
             " has not exchanged messages with this one; send the change to another instance, or again when it is "
             "reachable or gone";
    }
  }
  return std::nullopt;
}

std::optional<TableCheck> Membership::OwnRowCheck() const {
  return m_roster->OwnRowCheck();
}

bool Membership::AllPeersApplied(int64_t version) const {
  for (const Member& member : Members()) {
    const PeerState* peer = m_peers.Find(member.incarnation);
    if (!member.gone && (peer == nullptr || peer->status.applied_version < version)) {
      return false;
    }
  }
  return true;
}

// Returns false if a peer knows of a newer version, since the peer may have accepted that change before it lost the
// store. Also returns false if a peer has not read the store since it started: before the restart, its instance may
// have accepted a change that no other instance knows of.
bool Membership::AllReportStoreUnreachable(TimePoint now, Duration validity) const {
  if (!m_roster->joined()) {
    return false;
  }
  for (const Member& member : Members()) {
    const PeerState* peer = m_peers.Find(member.incarnation);
    const bool is_fresh = peer != nullptr && peer->made_after.has_value() && now - *peer->made_after <= validity;
    if (!is_fresh || !peer->status.has_read_store || peer->status.store_reachable ||
        peer->status.newest_known_version > m_config->document().version()) {
      return false;
    }
  }
  return true;
}

}  // namespace quetzalridge
