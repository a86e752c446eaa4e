// Gossip with suspicion in the manner of SWIM (Das, Gupta, Motivala, 2002): random pings in rounds, indirect
// pings on silence, suspicion that the suspect can refute, updates carried by the pings themselves.
//
// Updates about a member are ordered by (incarnation, refutation, rank of the state). A dead member of the
// same incarnation may come back with a higher refutation: it was paused or cut off, not restarted.
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

// Limits of one message and of the state that messages can create. A faulty peer must not fill the memory.
constexpr std::size_t kMaxRumours = 64;
constexpr std::size_t kMaxPools = 256;
constexpr std::size_t kMaxIdBytes = 128;
constexpr std::size_t kMaxMembers = 4096;
constexpr std::size_t kMaxObservations = 32768;
constexpr std::int64_t kMaxCounter = std::int64_t{1} << 53;
// Observations from further in the future are a fault of the observer's clock and would hide later ones.
constexpr std::int64_t kMaxClockSkewMs = 3600 * 1000;
// Times that an update is passed on, per power of two of the number of hosts.
constexpr int kRumourRepeats = 3;

// ---- Codec ----

Json ToRow(const Member& member) {
  return Json::array({member.id, member.zone, member.peer.address, member.peer.port, member.incarnation,
                      member.refutation, static_cast<int>(member.state), member.leaving,
                      member.config_version, member.store_contact});
}

// Throws Json::exception or std::out_of_range; DecodeGossip reports both.
std::int64_t TakeNumber(const Json& json, std::int64_t high) {
  const std::optional<std::int64_t> number = IntegerOf(json);
  if (!number.has_value() || *number < 0 || *number > high) throw std::out_of_range("number out of range");
  return *number;
}

std::string TakeId(const Json& json, bool may_be_empty = false) {
  const std::string& text = json.get_ref<const std::string&>();
  if (text.size() > kMaxIdBytes || (text.empty() && !may_be_empty))
    throw std::out_of_range("id of bad length");
  return text;
}

Member MemberFromRow(const Json& row) {
  if (!row.is_array() || row.size() != 10) throw std::out_of_range("member row of bad length");
  Member member;
  member.id = TakeId(row[0]);
  member.zone = TakeId(row[1]);
  member.peer.address = TakeId(row[2]);
  member.peer.port = static_cast<int>(TakeNumber(row[3], 65535));
  member.incarnation = TakeNumber(row[4], kMaxCounter);
  member.refutation = TakeNumber(row[5], kMaxCounter);
  member.state = static_cast<MemberState>(TakeNumber(row[6], 3));
  member.leaving = row[7].get_ref<const bool&>();
  member.config_version = TakeNumber(row[8], kMaxCounter);
  member.store_contact = row[9].get_ref<const bool&>();
  return member;
}

const Json& TakeArray(const Json& json, std::size_t max_size) {
  if (!json.is_array() || json.size() > max_size) throw std::out_of_range("list of bad length");
  return json;
}

GossipMessage MessageFromJson(const Json& json) {
  if (!json.is_array() || json.size() != 8) throw std::out_of_range("message of bad length");
  GossipMessage message;
  message.kind = static_cast<GossipKind>(TakeNumber(json[0], 3));
  message.sequence = static_cast<std::uint64_t>(TakeNumber(json[1], kMaxCounter));
  message.sender = MemberFromRow(json[2]);
  message.target = TakeId(json[3], true);
  for (const Json& it : TakeArray(json[4], kMaxRumours)) message.rumours.push_back(MemberFromRow(it));
  for (const Json& it : TakeArray(json[5], kMaxRumours)) {
    TakeArray(it, 3);
    message.upstreams.push_back({TakeId(it.at(0)), static_cast<UpstreamState>(TakeNumber(it.at(1), 2)),
                                 TakeNumber(it.at(2), kMaxCounter)});
  }
  for (const Json& it : TakeArray(json[6], kMaxPools)) {
    TakeArray(it, 2);
    message.weights[TakeId(it.at(0))] = TakeNumber(it.at(1), kMaxCounter);
  }
  // Sent plus one, since numbers are not negative.
  message.store_age_ms = TakeNumber(json[7], kMaxCounter) - 1;
  return message;
}

// ---- Members ----

int RankOf(MemberState state) {
  // Leaving is weaker than a suspicion: a host that leaves can die as well.
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

bool IsNewer(const Member& news, const Member& known) {
  return std::make_tuple(news.incarnation, news.refutation, RankOf(news.state)) >
         std::make_tuple(known.incarnation, known.refutation, RankOf(known.state));
}

int RumourBudget(const Membership& membership) {
  const double hosts = static_cast<double>(membership.members.size()) + 2;
  return kRumourRepeats * static_cast<int>(std::ceil(std::log2(hosts)));
}

bool IsReachable(const MemberRecord& record) { return record.member.state != MemberState::kDead; }

void SetState(Membership& membership, MemberRecord& record, MemberState state, absl::Time now) {
  record.member.state = state;
  record.state_since = now;
  record.rumours_left = RumourBudget(membership);
}

// A rumour about this host itself. A suspicion is refuted by a higher refutation number.
void LearnAboutSelf(Membership& membership, const Member& news) {
  Member& self = membership.self;
  if (news.incarnation > self.incarnation && news.incarnation < kMaxCounter) {
    // The clock was set back before this start; without this the host would look like its predecessor.
    self.incarnation = news.incarnation + 1;
    return;
  }
  const bool accused = news.state == MemberState::kSuspect || news.state == MemberState::kDead;
  if (news.incarnation != self.incarnation || !accused || news.refutation < self.refutation) return;
  if (news.refutation >= kMaxCounter) return;
  self.refutation = news.refutation + 1;
  membership.push_members.push_back(self.id);
}

// A host that has just started knows only the platform's list, which lags: the observations are passed on
// again.
void RepeatObservations(Membership& membership) {
  for (const auto& it : membership.observations)
    membership.observation_rumours_left[it.first] = RumourBudget(membership);
}

void LearnMember(Membership& membership, const Member& news, bool direct, absl::Time now) {
  if (news.id == membership.self.id) {
    if (!direct) LearnAboutSelf(membership, news);
    return;
  }
  const auto it = membership.members.find(news.id);
  if (it == membership.members.end()) {
    // A dead member that is not known needs no entry.
    if (news.state == MemberState::kDead || membership.members.size() >= kMaxMembers) return;
    MemberRecord record;
    record.member = news;
    record.member.store_contact = direct && news.store_contact;
    MemberRecord& added = membership.members.emplace(news.id, record).first->second;
    SetState(membership, added, news.state, now);
    RepeatObservations(membership);
    return;
  }
  MemberRecord& record = it->second;
  const Member known = record.member;
  const bool same_life = news.incarnation == known.incarnation;
  if (IsNewer(news, known)) {
    const bool was_accused = known.state == MemberState::kSuspect || known.state == MemberState::kDead;
    if (same_life && was_accused && RankOf(news.state) <= RankOf(MemberState::kLeaving)) {
      ++membership.false_suspicions;
      membership.push_members.push_back(news.id);
    }
    if (news.state == MemberState::kDead) membership.push_members.push_back(news.id);
    if (!same_life) RepeatObservations(membership);
    record.member = news;
    record.member.leaving = news.leaving || (same_life && known.leaving);
    if (news.leaving && !(same_life && known.leaving)) membership.push_members.push_back(news.id);
    record.member.store_contact = known.store_contact;
    record.member.config_version =
        same_life ? std::max(news.config_version, known.config_version) : news.config_version;
    SetState(membership, record, news.state, now);
  }
  if (news.incarnation != record.member.incarnation) return;
  if (news.leaving && !record.member.leaving) {
    record.member.leaving = true;
    membership.push_members.push_back(news.id);
    record.rumours_left = RumourBudget(membership);
  }
  record.member.config_version = std::max(record.member.config_version, news.config_version);
  if (direct) record.member.store_contact = news.store_contact;
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

// Ignores an observation that is not newer than the known one.
void LearnObservation(Membership& membership, const UpstreamRumour& news, absl::Time now) {
  if (news.observed_ms > absl::ToUnixMillis(now) + kMaxClockSkewMs) return;
  const auto it = membership.observations.find(news.id);
  if (it == membership.observations.end()) {
    if (membership.observations.size() >= kMaxObservations) return;
  } else if (std::make_tuple(news.observed_ms, news.state) <=
             std::make_tuple(it->second.observed_ms, it->second.state)) {
    return;
  }
  membership.observations[news.id] = news;
  membership.observed_at[news.id] = now;
  membership.observation_rumours_left[news.id] = RumourBudget(membership);
  membership.push_upstreams.push_back(news.id);
  // The next list decides whether an upstream that was seen live again is live.
  if (news.state != UpstreamState::kLive) ApplyObservation(membership, news.id);
}

// ---- Messages ----

void AddRumours(Membership& membership, const HostId& to, GossipMessage& message) {
  const std::size_t room = static_cast<std::size_t>(membership.limits.rumours_per_message);
  std::set<HostId> added;
  const auto add = [&](MemberRecord& record) {
    if (message.rumours.size() >= room || !added.insert(record.member.id).second) return;
    message.rumours.push_back(record.member);
    if (record.rumours_left > 0) --record.rumours_left;
  };
  // A suspected receiver can refute only what it knows.
  const auto receiver = membership.members.find(to);
  if (receiver != membership.members.end() && RankOf(receiver->second.member.state) >= 2)
    add(receiver->second);
  std::vector<MemberRecord*> urgent;
  for (auto& it : membership.members)
    if (it.second.rumours_left > 0) urgent.push_back(&it.second);
  // What ends or limits a member's work goes first: after a start or a rack's return the joins alone would
  // fill the messages for seconds.
  const auto is_join = [](const MemberRecord* record) {
    return record->member.state == MemberState::kAlive && !record->member.leaving;
  };
  std::stable_sort(urgent.begin(), urgent.end(), [&](const MemberRecord* a, const MemberRecord* b) {
    return std::make_tuple(is_join(a), -a->rumours_left) < std::make_tuple(is_join(b), -b->rumours_left);
  });
  for (MemberRecord* it : urgent) add(*it);
  // Free room carries the other members in turn: it repairs lost updates and spreads confirmed versions.
  auto it = membership.members.upper_bound(membership.next_fill);
  for (std::size_t n = membership.members.size(); n > 0 && message.rumours.size() < room; --n, ++it) {
    if (it == membership.members.end()) it = membership.members.begin();
    membership.next_fill = it->first;
    if (it->second.member.state == MemberState::kAlive && it->second.member.incarnation > 0) add(it->second);
  }
}

void AddObservations(Membership& membership, GossipMessage& message) {
  std::vector<std::pair<int, UpstreamId>> urgent;
  for (const auto& it : membership.observation_rumours_left) urgent.emplace_back(-it.second, it.first);
  const std::size_t room =
      std::min(urgent.size(), static_cast<std::size_t>(membership.limits.rumours_per_message));
  std::partial_sort(urgent.begin(), urgent.begin() + static_cast<std::ptrdiff_t>(room), urgent.end());
  for (std::size_t it = 0; it < room; ++it) {
    const UpstreamId& id = urgent[it].second;
    message.upstreams.push_back(membership.observations.at(id));
    if (--membership.observation_rumours_left.at(id) <= 0) membership.observation_rumours_left.erase(id);
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
  if (membership.store_heard != absl::InfinitePast())
    outgoing.message.store_age_ms =
        std::max<std::int64_t>(absl::ToInt64Milliseconds(now - membership.store_heard), 0);
  AddRumours(membership, to, outgoing.message);
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

// Sends the urgent news to a few random members. They push it on when it is new to them.
void FlushPush(Membership& membership, std::mt19937_64& random, std::vector<Outgoing>& out) {
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
    if (record != membership.members.end() && message.rumours.size() < kMaxRumours)
      message.rumours.push_back(record->second.member);
  }
  for (const UpstreamId& it : upstreams) {
    const auto seen = membership.observations.find(it);
    if (seen != membership.observations.end() && message.upstreams.size() < kMaxRumours)
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

// Asks other members to ping `target`, whose own connection to this host may be what fails.
void AskOthers(Membership& membership, std::uint64_t sequence, const HostId& target, absl::Time now,
               std::mt19937_64& random, std::vector<Outgoing>& out) {
  std::vector<HostId> helpers;
  for (const auto& it : membership.members)
    if (it.first != target && it.second.member.state == MemberState::kAlive) helpers.push_back(it.first);
  std::vector<HostId> chosen;
  std::sample(helpers.begin(), helpers.end(), std::back_inserter(chosen), membership.limits.indirect_pings,
              random);
  for (const HostId& it : chosen)
    out.push_back(MakeMessage(membership, GossipKind::kPingRequest, sequence, it, now, target));
}

void CheckPending(Membership& membership, absl::Time now, std::mt19937_64& random,
                  std::vector<Outgoing>& out) {
  for (auto it = membership.pending.begin(); it != membership.pending.end();) {
    PendingPing& ping = it->second;
    if (now - ping.sent >= membership.limits.period) {
      if (ping.asked_by.empty()) Suspect(membership, ping, now);
      it = membership.pending.erase(it);
      continue;
    }
    if (ping.asked_by.empty() && !ping.indirect && now - ping.sent >= membership.limits.ping_timeout) {
      ping.indirect = true;
      const auto record = membership.members.find(ping.target);
      if (record != membership.members.end() && IsReachable(record->second))
        AskOthers(membership, it->first, ping.target, now, random, out);
    }
    ++it;
  }
}

void CheckMembers(Membership& membership, absl::Time now) {
  for (auto it = membership.members.begin(); it != membership.members.end();) {
    MemberRecord& record = it->second;
    const absl::Duration age = now - record.state_since;
    if (record.member.state == MemberState::kSuspect && age >= membership.limits.suspicion) {
      SetState(membership, record, MemberState::kDead, now);
      membership.push_members.push_back(record.member.id);
    }
    // A listed dead member is kept: it may be cut off, and is still pinged now and then.
    const bool forget = record.member.state == MemberState::kDead && !record.listed;
    if (forget && now - record.state_since >= membership.limits.forget_dead) {
      it = membership.members.erase(it);
    } else {
      ++it;
    }
  }
}

void CheckObservations(Membership& membership, absl::Time now) {
  for (auto it = membership.observations.begin(); it != membership.observations.end();) {
    const absl::Duration age = now - membership.observed_at[it->first];
    if (membership.upstreams.count(it->first) != 0 || age < membership.limits.forget_dead) {
      ++it;
      continue;
    }
    membership.observed_at.erase(it->first);
    membership.observation_rumours_left.erase(it->first);
    it = membership.observations.erase(it);
  }
}

// The next member of the round, or empty. Each member is pinged once in a round, in random order, which
// bounds the time to the first ping after a death.
HostId NextTarget(Membership& membership, std::mt19937_64& random) {
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

// A dead member that the list still has. Without these pings two halves of a partition would never find each
// other again.
HostId DeadTarget(const Membership& membership, std::mt19937_64& random) {
  std::vector<HostId> dead;
  for (const auto& it : membership.members)
    if (!IsReachable(it.second) && it.second.listed) dead.push_back(it.first);
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
  if (ping.asked_by.empty()) return;
  // Passes the ack on with the number that the asker waits for, and with the target's own latest state.
  Outgoing ack =
      MakeMessage(membership, GossipKind::kAck, ping.asked_sequence, ping.asked_by, now, message.sender.id);
  ack.message.rumours.push_back(message.sender);
  out.push_back(std::move(ack));
}

void HandlePingRequest(Membership& membership, const GossipMessage& message, absl::Time now,
                       std::vector<Outgoing>& out) {
  const auto it = membership.members.find(message.target);
  if (it == membership.members.end()) return;
  Outgoing ping = MakePing(membership, message.target, now);
  PendingPing& pending = membership.pending.at(ping.message.sequence);
  pending.asked_by = message.sender.id;
  pending.asked_sequence = message.sequence;
  out.push_back(std::move(ping));
}

// ---- Rendezvous ----

// FNV-1a with a final mix. absl::Hash differs from process to process and would give each host another
// answer.
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

void ListHost(Membership& membership, const ListedHost& host, absl::Time now) {
  if (host.id == membership.self.id) return;
  const auto it = membership.members.find(host.id);
  if (it == membership.members.end()) {
    MemberRecord record;
    record.member.id = host.id;
    record.member.zone = host.zone;
    record.member.peer = host.peer;
    record.state_since = now;
    record.listed = true;
    record.listed_leaving = host.leaving;
    membership.members.emplace(host.id, record);
    return;
  }
  it->second.listed = true;
  it->second.listed_leaving = host.leaving;
  if (it->second.member.incarnation != 0) return;
  // The member itself has not been heard yet.
  it->second.member.zone = host.zone;
  it->second.member.peer = host.peer;
}

}  // namespace

std::string_view NameOf(MemberState state) { return kMemberStateNames[static_cast<int>(state)]; }

std::string_view NameOf(GossipKind kind) { return kGossipKindNames[static_cast<int>(kind)]; }

// [kind, sequence, sender, target, rumours, upstreams, weights, store age]; arrays instead of objects keep it
// short.
std::string EncodeGossip(const GossipMessage& message) {
  Json rumours = Json::array();
  for (const Member& it : message.rumours) rumours.push_back(ToRow(it));
  Json upstreams = Json::array();
  for (const UpstreamRumour& it : message.upstreams)
    upstreams.push_back(Json::array({it.id, static_cast<int>(it.state), it.observed_ms}));
  Json weights = Json::array();
  for (const auto& it : message.weights) weights.push_back(Json::array({it.first, it.second}));
  const Json json =
      Json::array({static_cast<int>(message.kind), message.sequence, ToRow(message.sender), message.target,
                   std::move(rumours), std::move(upstreams), std::move(weights), message.store_age_ms + 1});
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
    it.second.listed = false;
    it.second.listed_leaving = false;
  }
  for (const ListedHost& it : list.hosts) ListHost(membership, it, now);
  std::map<UpstreamId, Upstream> upstreams;
  for (const Upstream& it : list.upstreams) upstreams.emplace(it.id, it);
  for (auto& it : membership.observations) {
    if (it.second.state == UpstreamState::kLive) continue;
    const auto listed = upstreams.find(it.first);
    const bool live = listed != upstreams.end() && listed->second.state == UpstreamState::kLive;
    // A list that has shown the upstream as leaving may go back to an earlier state, so that a live row is
    // no proof of a new life before the list's lag is over.
    const bool believed = now - membership.observed_at[it.first] >= membership.limits.list_lag;
    if (live && believed) it.second.state = UpstreamState::kLive;
  }
  membership.upstreams = std::move(upstreams);
  for (const auto& it : membership.observations) ApplyObservation(membership, it.first);
}

GossipMessage MakeJoinPing(Membership& membership, absl::Time now) {
  return MakeMessage(membership, GossipKind::kPing, membership.next_sequence++, "", now).message;
}

std::vector<Outgoing> TickMembership(Membership& membership, absl::Time now, std::mt19937_64& random) {
  std::vector<Outgoing> out;
  CheckPending(membership, now, random, out);
  if (now >= membership.next_check) {
    membership.next_check = now + membership.limits.period / 4;
    CheckMembers(membership, now);
  }
  FlushPush(membership, random, out);
  if (now < membership.next_ping) return out;
  CheckObservations(membership, now);
  // Keeps the phase, so that ticks that come late do not lower the rate.
  const absl::Duration period = membership.limits.period;
  membership.next_ping = now - membership.next_ping < period ? membership.next_ping + period : now + period;
  const HostId target = NextTarget(membership, random);
  if (!target.empty()) out.push_back(MakePing(membership, target, now));
  const HostId dead = DeadTarget(membership, random);
  if (!dead.empty()) out.push_back(MakePing(membership, dead, now));
  return out;
}

std::vector<Outgoing> ReceiveGossip(Membership& membership, const GossipMessage& message, absl::Time now,
                                    std::mt19937_64& random) {
  std::vector<Outgoing> out;
  if (message.sender.id == membership.self.id) return out;
  LearnMember(membership, message.sender, true, now);
  for (const Member& it : message.rumours) LearnMember(membership, it, false, now);
  for (const UpstreamRumour& it : message.upstreams) LearnObservation(membership, it, now);
  for (const auto& it : message.weights) {
    if (membership.weights.size() >= kMaxPools && membership.weights.count(it.first) == 0) continue;
    Version& known = membership.weights[it.first];
    known = std::max(known, it.second);
  }
  const bool confirms =
      message.store_age_ms >= 0 && message.sender.config_version <= membership.self.config_version;
  if (confirms)
    membership.store_heard = std::max(membership.store_heard, now - absl::Milliseconds(message.store_age_ms));
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
  FlushPush(membership, random, out);
  return out;
}

void ObserveUpstream(Membership& membership, const UpstreamId& id, UpstreamState state, absl::Time now) {
  const auto it = membership.observations.find(id);
  // Repeats of what is known would spread again with each refused request.
  if (it != membership.observations.end() && it->second.state == state) return;
  const bool unknown = it == membership.observations.end();
  if (unknown && state == UpstreamState::kLive) return;
  std::int64_t observed_ms = absl::ToUnixMillis(now);
  // Clocks of observers differ; this observation is the newer one because this host knew the other.
  if (!unknown) observed_ms = std::max(observed_ms, it->second.observed_ms + 1);
  LearnObservation(membership, {id, state, observed_ms}, now);
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
    if (!record.member.leaving && !record.listed_leaving) live.push_back(record.member);
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
