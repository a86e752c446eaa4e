// SWIM gossip (Das, Gupta, Motivala, 2002): pings in random order in rounds, indirect pings if there is no
// ack, suspicions that the suspect can refute, updates piggybacked on pings and acks.
//
// Updates about a member are ordered by (incarnation, refutation, rank of the state). A dead member may
// return in the same incarnation with a higher refutation number: it was paused or cut off, not restarted.
#include "oleander/membership.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <set>
#include <string_view>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "contracts/strict_json.h"

namespace oleander {
namespace {

constexpr std::array<std::string_view, 4> kMemberStateNames = {"alive", "suspect", "leaving", "dead"};
constexpr std::array<std::string_view, 4> kGossipKindNames = {"ping", "ack", "ping-req", "push"};

// Limits of one message and of the state that messages can create, so that a faulty peer cannot exhaust the
// memory.
constexpr std::size_t kMaxUpdatesPerMessage = 64;
constexpr std::size_t kMaxPools = 256;
constexpr std::size_t kMaxIdBytes = 128;
constexpr std::size_t kMaxMembers = 4096;
constexpr std::size_t kMaxObservations = 32768;
constexpr std::int64_t kMaxCounter = std::int64_t{1} << 53;
// An observation further in the future comes from an observer with a wrong clock and would override later
// ones.
constexpr std::int64_t kMaxClockSkewMs = 3600 * 1000;
// Number of times an update is sent, per doubling of the number of hosts.
constexpr int kSendsPerHostDoubling = 3;

// ---- Codec ----

Json ToRow(const Member& member) {
  return Json::array({member.id, member.zone, member.peer.address, member.peer.port, member.incarnation,
                      member.refutation, static_cast<int>(member.state), member.leaving,
                      member.config_version, member.table_reachable});
}

// Throws Json::exception or std::out_of_range. DecodeGossip turns both into kPeerProtocol.
std::int64_t ReadNumber(const Json& json, std::int64_t high) {
  const std::optional<std::int64_t> number = IntegerOf(json);
  if (!number.has_value() || *number < 0 || *number > high)
    throw std::out_of_range("not an integer, or out of range");
  return *number;
}

std::string ReadId(const Json& json, bool allow_empty = false) {
  const std::string& text = json.get_ref<const std::string&>();
  if (text.size() > kMaxIdBytes || (text.empty() && !allow_empty))
    throw std::out_of_range("id empty or longer than 128 bytes");
  return text;
}

Member MemberFromRow(const Json& row) {
  if (!row.is_array() || row.size() != 10)
    throw std::out_of_range("member record is not an array of 10 elements");
  Member member;
  member.id = ReadId(row[0]);
  member.zone = ReadId(row[1]);
  member.peer.address = ReadId(row[2]);
  member.peer.port = static_cast<int>(ReadNumber(row[3], 65535));
  member.incarnation = ReadNumber(row[4], kMaxCounter);
  member.refutation = ReadNumber(row[5], kMaxCounter);
  member.state = static_cast<MemberState>(ReadNumber(row[6], 3));
  member.leaving = row[7].get_ref<const bool&>();
  member.config_version = ReadNumber(row[8], kMaxCounter);
  member.table_reachable = row[9].get_ref<const bool&>();
  return member;
}

const Json& ReadArray(const Json& json, std::size_t max_size) {
  if (!json.is_array() || json.size() > max_size)
    throw std::out_of_range("not an array, or too many elements");
  return json;
}

GossipMessage MessageFromJson(const Json& json) {
  if (!json.is_array() || json.size() != 8) throw std::out_of_range("not an array of 8 elements");
  GossipMessage message;
  message.kind = static_cast<GossipKind>(ReadNumber(json[0], 3));
  message.sequence = static_cast<std::uint64_t>(ReadNumber(json[1], kMaxCounter));
  message.sender = MemberFromRow(json[2]);
  message.target = ReadId(json[3], true);
  for (const Json& it : ReadArray(json[4], kMaxUpdatesPerMessage))
    message.member_updates.push_back(MemberFromRow(it));
  for (const Json& it : ReadArray(json[5], kMaxUpdatesPerMessage)) {
    ReadArray(it, 3);
    message.upstreams.push_back({ReadId(it.at(0)), static_cast<UpstreamState>(ReadNumber(it.at(1), 2)),
                                 ReadNumber(it.at(2), kMaxCounter)});
  }
  for (const Json& it : ReadArray(json[6], kMaxPools)) {
    ReadArray(it, 2);
    message.weights[ReadId(it.at(0))] = ReadNumber(it.at(1), kMaxCounter);
  }
  // Encoded as age plus one, because ReadNumber rejects negative numbers.
  message.table_answer_age_ms = ReadNumber(json[7], kMaxCounter) - 1;
  return message;
}

// ---- Members ----

int RankOf(MemberState state) {
  // Leaving ranks below suspect, because a leaving host can also die.
  switch (state) {
    case MemberState::kAlive:
      return 0;
    case MemberState::kLeaving:
      return 1;
    case MemberState::kSuspect:
      return 2;
    case MemberState::kDead:
      return 3;
  }
  return 0;
}

bool IsNewer(const Member& update, const Member& known) {
  return std::make_tuple(update.incarnation, update.refutation, RankOf(update.state)) >
         std::make_tuple(known.incarnation, known.refutation, RankOf(known.state));
}

int SendsPerUpdate(const Membership& membership) {
  const double hosts = static_cast<double>(membership.members.size()) + 2;
  return kSendsPerHostDoubling * static_cast<int>(std::ceil(std::log2(hosts)));
}

bool IsReachable(const MemberRecord& record) { return record.member.state != MemberState::kDead; }

void SetState(Membership& membership, MemberRecord& record, MemberState state, absl::Time now) {
  record.member.state = state;
  record.state_since = now;
  record.sends_left = SendsPerUpdate(membership);
}

// Merges an update about this host. Refutes a suspicion by raising the refutation number.
void MergeUpdateOfSelf(Membership& membership, const Member& update) {
  Member& self = membership.self;
  if (update.incarnation > self.incarnation && update.incarnation < kMaxCounter) {
    // The clock was set back before this start. Without a higher incarnation, peers would take this host for
    // its previous incarnation.
    self.incarnation = update.incarnation + 1;
    return;
  }
  const bool suspected = update.state == MemberState::kSuspect || update.state == MemberState::kDead;
  if (update.incarnation != self.incarnation || !suspected || update.refutation < self.refutation) return;
  if (update.refutation >= kMaxCounter) return;
  self.refutation = update.refutation + 1;
  membership.push_members.push_back(self.id);
}

// Sends all observations again, because a host that has just started knows only the platform's list, which
// lags.
void RepeatObservations(Membership& membership) {
  for (const auto& it : membership.observations)
    membership.observation_sends_left[it.first] = SendsPerUpdate(membership);
}

void MergeMemberUpdate(Membership& membership, const Member& update, bool direct, absl::Time now) {
  if (update.id == membership.self.id) {
    if (!direct) MergeUpdateOfSelf(membership, update);
    return;
  }
  const auto it = membership.members.find(update.id);
  if (it == membership.members.end()) {
    // An unknown member that is dead needs no record.
    if (update.state == MemberState::kDead || membership.members.size() >= kMaxMembers) return;
    MemberRecord record;
    record.member = update;
    record.member.table_reachable = direct && update.table_reachable;
    MemberRecord& added = membership.members.emplace(update.id, record).first->second;
    SetState(membership, added, update.state, now);
    RepeatObservations(membership);
    return;
  }
  MemberRecord& record = it->second;
  const Member known = record.member;
  const bool same_incarnation = update.incarnation == known.incarnation;
  if (IsNewer(update, known)) {
    const bool was_suspected = known.state == MemberState::kSuspect || known.state == MemberState::kDead;
    if (same_incarnation && was_suspected && RankOf(update.state) <= RankOf(MemberState::kLeaving)) {
      ++membership.false_suspicions;
      membership.push_members.push_back(update.id);
    }
    if (update.state == MemberState::kDead) membership.push_members.push_back(update.id);
    if (!same_incarnation) RepeatObservations(membership);
    record.member = update;
    record.member.leaving = update.leaving || (same_incarnation && known.leaving);
    if (update.leaving && !(same_incarnation && known.leaving)) membership.push_members.push_back(update.id);
    record.member.table_reachable = known.table_reachable;
    record.member.config_version =
        same_incarnation ? std::max(update.config_version, known.config_version) : update.config_version;
    SetState(membership, record, update.state, now);
  }
  if (update.incarnation != record.member.incarnation) return;
  if (update.leaving && !record.member.leaving) {
    record.member.leaving = true;
    membership.push_members.push_back(update.id);
    record.sends_left = SendsPerUpdate(membership);
  }
  record.member.config_version = std::max(record.member.config_version, update.config_version);
  if (direct) record.member.table_reachable = update.table_reachable;
}

void Suspect(Membership& membership, const PendingPing& ping, absl::Time now) {
  const auto it = membership.members.find(ping.target);
  if (it == membership.members.end() || it->second.member.incarnation != ping.incarnation) return;
  const MemberState state = it->second.member.state;
  if (state == MemberState::kAlive || state == MemberState::kLeaving)
    SetState(membership, it->second, MemberState::kSuspect, now);
}

// ---- Upstreams ----

void ApplyObservation(Membership& membership, const UpstreamId& id) {
  const auto upstream = membership.upstreams.find(id);
  const auto seen = membership.observations.find(id);
  if (upstream == membership.upstreams.end() || seen == membership.observations.end()) return;
  upstream->second.state = std::max(upstream->second.state, seen->second.state);
}

// Ignores the update unless it is newer than the stored observation.
void MergeObservation(Membership& membership, const UpstreamObservation& update, absl::Time now) {
  if (update.observed_ms > absl::ToUnixMillis(now) + kMaxClockSkewMs) return;
  const auto it = membership.observations.find(update.id);
  if (it == membership.observations.end()) {
    if (membership.observations.size() >= kMaxObservations) return;
  } else if (std::make_tuple(update.observed_ms, update.state) <=
             std::make_tuple(it->second.observed_ms, it->second.state)) {
    return;
  }
  membership.observations[update.id] = update;
  membership.observed_at[update.id] = now;
  membership.observation_sends_left[update.id] = SendsPerUpdate(membership);
  membership.push_upstreams.push_back(update.id);
  // If the upstream was observed live again, the platform's next list sets its state.
  if (update.state != UpstreamState::kLive) ApplyObservation(membership, update.id);
}

// ---- Messages ----

void AddMemberUpdates(Membership& membership, const HostId& to, GossipMessage& message) {
  const std::size_t room = static_cast<std::size_t>(membership.limits.updates_per_message);
  std::set<HostId> added;
  const auto add = [&](MemberRecord& record) {
    if (message.member_updates.size() >= room || !added.insert(record.member.id).second) return;
    message.member_updates.push_back(record.member);
    if (record.sends_left > 0) --record.sends_left;
  };
  // Tells a suspected receiver about the suspicion, so that it can refute it.
  const auto receiver = membership.members.find(to);
  if (receiver != membership.members.end() && RankOf(receiver->second.member.state) >= 2)
    add(receiver->second);
  std::vector<MemberRecord*> urgent;
  for (auto& it : membership.members)
    if (it.second.sends_left > 0) urgent.push_back(&it.second);
  // Updates that end or limit a member's work come first. After the start of the fleet or the return of a
  // rack, joins would otherwise fill the messages for seconds.
  const auto is_join = [](const MemberRecord* record) {
    return record->member.state == MemberState::kAlive && !record->member.leaving;
  };
  std::stable_sort(urgent.begin(), urgent.end(), [&](const MemberRecord* a, const MemberRecord* b) {
    return std::make_tuple(is_join(a), -a->sends_left) < std::make_tuple(is_join(b), -b->sends_left);
  });
  for (MemberRecord* it : urgent) add(*it);
  // Spare room carries the other members by turns, which repairs lost updates and spreads confirmed
  // configuration versions.
  auto it = membership.members.upper_bound(membership.round_robin_last);
  for (std::size_t n = membership.members.size(); n > 0 && message.member_updates.size() < room; --n, ++it) {
    if (it == membership.members.end()) it = membership.members.begin();
    membership.round_robin_last = it->first;
    if (it->second.member.state == MemberState::kAlive && it->second.member.incarnation > 0) add(it->second);
  }
}

void AddObservations(Membership& membership, GossipMessage& message) {
  std::vector<std::pair<int, UpstreamId>> urgent;
  for (const auto& it : membership.observation_sends_left) urgent.emplace_back(-it.second, it.first);
  const std::size_t room =
      std::min(urgent.size(), static_cast<std::size_t>(membership.limits.updates_per_message));
  std::partial_sort(urgent.begin(), urgent.begin() + static_cast<std::ptrdiff_t>(room), urgent.end());
  for (std::size_t it = 0; it < room; ++it) {
    const UpstreamId& id = urgent[it].second;
    message.upstreams.push_back(membership.observations.at(id));
    if (--membership.observation_sends_left.at(id) <= 0) membership.observation_sends_left.erase(id);
  }
}

Outgoing MakeMessage(Membership& membership, GossipKind kind, std::uint64_t sequence, const HostId& to,
                     absl::Time now, const HostId& target = "") {
  Outgoing outgoing;
  outgoing.to = to;
  outgoing.message.kind = kind;
  outgoing.message.sequence = sequence;
  outgoing.message.sender = membership.self;
  outgoing.message.target = target;
  outgoing.message.weights = membership.weights;
  if (membership.newest_table_answer != absl::InfinitePast())
    outgoing.message.table_answer_age_ms =
        std::max<std::int64_t>(absl::ToInt64Milliseconds(now - membership.newest_table_answer), 0);
  AddMemberUpdates(membership, to, outgoing.message);
  AddObservations(membership, outgoing.message);
  return outgoing;
}

Outgoing MakePing(Membership& membership, const HostId& target, absl::Time now) {
  const std::uint64_t sequence = membership.next_sequence++;
  const auto it = membership.members.find(target);
  const std::int64_t incarnation = it == membership.members.end() ? 0 : it->second.member.incarnation;
  membership.pending[sequence] = PendingPing{target, now, false, "", 0, incarnation};
  return MakeMessage(membership, GossipKind::kPing, sequence, target, now);
}

// Sends the urgent updates to a few random members, which push them on if they are new to them.
void SendPushes(Membership& membership, std::mt19937_64& random, std::vector<Outgoing>& out) {
  std::vector<HostId> members;
  std::vector<UpstreamId> upstreams;
  members.swap(membership.push_members);
  upstreams.swap(membership.push_upstreams);
  if (members.empty() && upstreams.empty()) return;
  GossipMessage message;
  message.kind = GossipKind::kPush;
  message.sender = membership.self;
  for (const HostId& it : members) {
    const auto record = membership.members.find(it);
    if (record != membership.members.end() && message.member_updates.size() < kMaxUpdatesPerMessage)
      message.member_updates.push_back(record->second.member);
  }
  for (const UpstreamId& it : upstreams) {
    const auto seen = membership.observations.find(it);
    if (seen != membership.observations.end() && message.upstreams.size() < kMaxUpdatesPerMessage)
      message.upstreams.push_back(seen->second);
  }
  std::vector<HostId> reachable;
  for (const auto& it : membership.members)
    if (IsReachable(it.second)) reachable.push_back(it.first);
  std::vector<HostId> chosen;
  std::sample(reachable.begin(), reachable.end(), std::back_inserter(chosen), membership.limits.push_fanout,
              random);
  for (const HostId& it : chosen) out.push_back({it, message});
}

// ---- Tick ----

// Asks other members to ping `target`, because only the link between `target` and this host may have failed.
void RequestIndirectPings(Membership& membership, std::uint64_t sequence, const HostId& target,
                          absl::Time now, std::mt19937_64& random, std::vector<Outgoing>& out) {
  std::vector<HostId> candidates;
  for (const auto& it : membership.members)
    if (it.first != target && it.second.member.state == MemberState::kAlive) candidates.push_back(it.first);
  std::vector<HostId> chosen;
  std::sample(candidates.begin(), candidates.end(), std::back_inserter(chosen),
              membership.limits.indirect_pings, random);
  for (const HostId& it : chosen)
    out.push_back(MakeMessage(membership, GossipKind::kPingRequest, sequence, it, now, target));
}

void HandlePingTimeouts(Membership& membership, absl::Time now, std::mt19937_64& random,
                        std::vector<Outgoing>& out) {
  for (auto it = membership.pending.begin(); it != membership.pending.end();) {
    PendingPing& ping = it->second;
    if (now - ping.sent >= membership.limits.period) {
      if (ping.requester.empty()) Suspect(membership, ping, now);
      it = membership.pending.erase(it);
      continue;
    }
    if (ping.requester.empty() && !ping.indirect && now - ping.sent >= membership.limits.ping_timeout) {
      ping.indirect = true;
      const auto record = membership.members.find(ping.target);
      if (record != membership.members.end() && IsReachable(record->second))
        RequestIndirectPings(membership, it->first, ping.target, now, random, out);
    }
    ++it;
  }
}

void ExpireMembers(Membership& membership, absl::Time now) {
  for (auto it = membership.members.begin(); it != membership.members.end();) {
    MemberRecord& record = it->second;
    const absl::Duration age = now - record.state_since;
    if (record.member.state == MemberState::kSuspect && age >= membership.limits.suspicion) {
      SetState(membership, record, MemberState::kDead, now);
      membership.push_members.push_back(record.member.id);
    }
    // A dead member in the platform's list is kept, because it may only be cut off. RandomDeadMember selects
    // it for pings.
    const bool removable = record.member.state == MemberState::kDead && !record.in_platform_list;
    if (removable && now - record.state_since >= membership.limits.dead_retention) {
      it = membership.members.erase(it);
    } else {
      ++it;
    }
  }
}

void ExpireObservations(Membership& membership, absl::Time now) {
  for (auto it = membership.observations.begin(); it != membership.observations.end();) {
    const absl::Duration age = now - membership.observed_at[it->first];
    if (membership.upstreams.count(it->first) != 0 || age < membership.limits.dead_retention) {
      ++it;
      continue;
    }
    membership.observed_at.erase(it->first);
    membership.observation_sends_left.erase(it->first);
    it = membership.observations.erase(it);
  }
}

// The next member to ping, or empty. Each member is pinged once a round, in random order, which bounds the
// time from a death to the first ping.
HostId NextPingTarget(Membership& membership, std::mt19937_64& random) {
  for (int round = 0; round < 2; ++round) {
    while (!membership.ping_order.empty()) {
      const HostId id = membership.ping_order.back();
      membership.ping_order.pop_back();
      const auto it = membership.members.find(id);
      if (it != membership.members.end() && IsReachable(it->second)) return id;
    }
    for (const auto& it : membership.members)
      if (IsReachable(it.second)) membership.ping_order.push_back(it.first);
    std::shuffle(membership.ping_order.begin(), membership.ping_order.end(), random);
  }
  return "";
}

// A random dead member that is still in the platform's list, or empty. Without pings to dead members, the two
// sides of a healed partition would never reconnect.
HostId RandomDeadMember(const Membership& membership, std::mt19937_64& random) {
  std::vector<HostId> dead;
  for (const auto& it : membership.members)
    if (!IsReachable(it.second) && it.second.in_platform_list) dead.push_back(it.first);
  if (dead.empty()) return "";
  return dead[std::uniform_int_distribution<std::size_t>(0, dead.size() - 1)(random)];
}

// ---- Receive ----

void HandleAck(Membership& membership, const GossipMessage& message, absl::Time now,
               std::vector<Outgoing>& out) {
  const auto it = membership.pending.find(message.sequence);
  if (it == membership.pending.end()) return;
  const PendingPing ping = it->second;
  const bool answers = message.sender.id == ping.target || message.target == ping.target;
  if (!answers) return;
  membership.pending.erase(it);
  if (ping.requester.empty()) return;
  // Forwards the ack with the requester's sequence number and the target's own latest state.
  Outgoing ack = MakeMessage(membership, GossipKind::kAck, ping.requester_sequence, ping.requester, now,
                             message.sender.id);
  ack.message.member_updates.push_back(message.sender);
  out.push_back(std::move(ack));
}

void HandlePingRequest(Membership& membership, const GossipMessage& message, absl::Time now,
                       std::vector<Outgoing>& out) {
  const auto it = membership.members.find(message.target);
  if (it == membership.members.end()) return;
  Outgoing ping = MakePing(membership, message.target, now);
  PendingPing& pending = membership.pending.at(ping.message.sequence);
  pending.requester = message.sender.id;
  pending.requester_sequence = message.sequence;
  out.push_back(std::move(ping));
}

// ---- Rendezvous ----

// FNV-1a with a final mix. absl::Hash is seeded per process, so hosts would compute different results.
std::uint64_t HashPair(const HostId& host, const UpstreamId& upstream) {
  std::uint64_t hash = 0xcbf29ce484222325;
  const auto add = [&](const std::string& text) {
    for (const char it : text) hash = (hash ^ static_cast<unsigned char>(it)) * 0x100000001b3;
    hash = (hash ^ 0xff) * 0x100000001b3;
  };
  add(host);
  add(upstream);
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccd;
  hash ^= hash >> 33;
  hash *= 0xc4ceb9fe1a85ec53;
  return hash ^ (hash >> 33);
}

void ApplyListedHost(Membership& membership, const ListedHost& host, absl::Time now) {
  if (host.id == membership.self.id) return;
  const auto it = membership.members.find(host.id);
  if (it == membership.members.end()) {
    MemberRecord record;
    record.member.id = host.id;
    record.member.zone = host.zone;
    record.member.peer = host.peer;
    record.state_since = now;
    record.in_platform_list = true;
    record.leaving_in_platform_list = host.leaving;
    membership.members.emplace(host.id, record);
    return;
  }
  it->second.in_platform_list = true;
  it->second.leaving_in_platform_list = host.leaving;
  if (it->second.member.incarnation != 0) return;
  // No message from or about the member has arrived yet.
  it->second.member.zone = host.zone;
  it->second.member.peer = host.peer;
}

}  // namespace

std::string_view NameOf(MemberState state) { return kMemberStateNames[static_cast<int>(state)]; }

std::string_view NameOf(GossipKind kind) { return kGossipKindNames[static_cast<int>(kind)]; }

// [kind, sequence, sender, target, member updates, upstream observations, weights, table answer age + 1].
// Arrays instead of objects keep messages short.
std::string EncodeGossip(const GossipMessage& message) {
  Json member_updates = Json::array();
  for (const Member& it : message.member_updates) member_updates.push_back(ToRow(it));
  Json upstreams = Json::array();
  for (const UpstreamObservation& it : message.upstreams)
    upstreams.push_back(Json::array({it.id, static_cast<int>(it.state), it.observed_ms}));
  Json weights = Json::array();
  for (const auto& it : message.weights) weights.push_back(Json::array({it.first, it.second}));
  const Json json = Json::array({static_cast<int>(message.kind), message.sequence, ToRow(message.sender),
                                 message.target, std::move(member_updates), std::move(upstreams),
                                 std::move(weights), message.table_answer_age_ms + 1});
  std::string bytes;
  Json::to_msgpack(json, nlohmann::detail::output_adapter<char>(bytes));
  return bytes;
}

leaf::result<GossipMessage> DecodeGossip(const std::string& bytes) {
  BOOST_LEAF_AUTO(json, ParseMessagePack(bytes, ErrorKind::kPeerProtocol));
  try {
    return MessageFromJson(json);
  } catch (const std::exception& ex) {
    return Fail(ErrorKind::kPeerProtocol, absl::StrCat("gossip message: ", ex.what()));
  }
}

void ApplyPlatformList(Membership& membership, const PlatformList& list, absl::Time now) {
  for (auto& it : membership.members) {
    it.second.in_platform_list = false;
    it.second.leaving_in_platform_list = false;
  }
  for (const ListedHost& it : list.hosts) ApplyListedHost(membership, it, now);
  std::map<UpstreamId, Upstream> upstreams;
  for (const Upstream& it : list.upstreams) upstreams.emplace(it.id, it);
  for (auto& it : membership.observations) {
    if (it.second.state == UpstreamState::kLive) continue;
    const auto listed = upstreams.find(it.first);
    const bool live = listed != upstreams.end() && listed->second.state == UpstreamState::kLive;
    // The list may return to an earlier state even after it has shown the upstream as leaving. Until the
    // maximum lag has passed, a live entry does not show that the upstream is live again.
    const bool lag_passed = now - membership.observed_at[it.first] >= membership.limits.max_list_lag;
    if (live && lag_passed) it.second.state = UpstreamState::kLive;
  }
  membership.upstreams = std::move(upstreams);
  for (const auto& it : membership.observations) ApplyObservation(membership, it.first);
}

GossipMessage MakeJoinPing(Membership& membership, absl::Time now) {
  return MakeMessage(membership, GossipKind::kPing, membership.next_sequence++, "", now).message;
}

std::vector<Outgoing> TickMembership(Membership& membership, absl::Time now, std::mt19937_64& random) {
  std::vector<Outgoing> out;
  HandlePingTimeouts(membership, now, random, out);
  if (now >= membership.next_check) {
    membership.next_check = now + membership.limits.period / 4;
    ExpireMembers(membership, now);
  }
  SendPushes(membership, random, out);
  if (now < membership.next_ping) return out;
  ExpireObservations(membership, now);
  // Keeps the phase, so that late ticks do not lower the ping rate.
  const absl::Duration period = membership.limits.period;
  membership.next_ping = now - membership.next_ping < period ? membership.next_ping + period : now + period;
  const HostId target = NextPingTarget(membership, random);
  if (!target.empty()) out.push_back(MakePing(membership, target, now));
  const HostId dead = RandomDeadMember(membership, random);
  if (!dead.empty()) out.push_back(MakePing(membership, dead, now));
  return out;
}

std::vector<Outgoing> ReceiveGossip(Membership& membership, const GossipMessage& message, absl::Time now,
                                    std::mt19937_64& random) {
  std::vector<Outgoing> out;
  if (message.sender.id == membership.self.id) return out;
  MergeMemberUpdate(membership, message.sender, true, now);
  for (const Member& it : message.member_updates) MergeMemberUpdate(membership, it, false, now);
  for (const UpstreamObservation& it : message.upstreams) MergeObservation(membership, it, now);
  for (const auto& it : message.weights) {
    if (membership.weights.size() >= kMaxPools && membership.weights.count(it.first) == 0) continue;
    Version& known = membership.weights[it.first];
    known = std::max(known, it.second);
  }
  const bool confirms =
      message.table_answer_age_ms >= 0 && message.sender.config_version <= membership.self.config_version;
  if (confirms)
    membership.newest_table_answer =
        std::max(membership.newest_table_answer, now - absl::Milliseconds(message.table_answer_age_ms));
  switch (message.kind) {
    case GossipKind::kPing:
      out.push_back(MakeMessage(membership, GossipKind::kAck, message.sequence, message.sender.id, now));
      break;
    case GossipKind::kAck:
      HandleAck(membership, message, now, out);
      break;
    case GossipKind::kPingRequest:
      HandlePingRequest(membership, message, now, out);
      break;
    case GossipKind::kPush:
      break;
  }
  SendPushes(membership, random, out);
  return out;
}

void ObserveUpstream(Membership& membership, const UpstreamId& id, UpstreamState state, absl::Time now) {
  const auto it = membership.observations.find(id);
  // Without this check, every refused request would spread the same state again.
  if (it != membership.observations.end() && it->second.state == state) return;
  const bool unknown = it == membership.observations.end();
  if (unknown && state == UpstreamState::kLive) return;
  std::int64_t observed_ms = absl::ToUnixMillis(now);
  // Clocks of observers differ. This observation is newer, because this host already knew the stored one.
  if (!unknown) observed_ms = std::max(observed_ms, it->second.observed_ms + 1);
  MergeObservation(membership, {id, state, observed_ms}, now);
}

void AnnounceLeaving(Membership& membership) {
  if (membership.self.leaving) return;
  membership.self.leaving = true;
  membership.self.state = MemberState::kLeaving;
  ++membership.self.refutation;
  membership.push_members.push_back(membership.self.id);
}

std::vector<Member> LiveMembers(const Membership& membership) {
  std::vector<Member> live;
  if (!membership.self.leaving && membership.self.state != MemberState::kLeaving)
    live.push_back(membership.self);
  for (const auto& it : membership.members) {
    const MemberRecord& record = it.second;
    const MemberState state = record.member.state;
    if (state != MemberState::kAlive && state != MemberState::kSuspect) continue;
    if (!record.member.leaving && !record.leaving_in_platform_list) live.push_back(record.member);
  }
  return live;
}

HostId ResponsibleHost(const std::vector<Member>& live, const Upstream& upstream) {
  HostId best;
  std::uint64_t best_hash = 0;
  for (const Member& it : live) {
    if (it.zone != upstream.zone) continue;
    const std::uint64_t hash = HashPair(it.id, upstream.id);
    if (!best.empty() && std::make_tuple(hash, it.id) <= std::make_tuple(best_hash, best)) continue;
    best = it.id;
    best_hash = hash;
  }
  return best;
}

}  // namespace oleander
