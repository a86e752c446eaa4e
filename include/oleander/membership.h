// Membership of the fleet: SWIM gossip between hosts, and the list of upstreams with observed states.
//
// The functions do no I/O: they process a message or a tick and return the messages to send. Used by the
// host's control thread only; other threads read snapshots.
#ifndef OLEANDER_MEMBERSHIP_H_
#define OLEANDER_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "oleander/platform.h"
#include "oleander/types.h"

namespace oleander {

struct MembershipLimits {
  absl::Duration period = absl::Seconds(1);  // between pings
  absl::Duration ping_timeout = absl::Milliseconds(300);
  absl::Duration suspicion = absl::Seconds(3);  // a suspect is declared dead after this, unless it refutes
  // Dead members and observations of upstreams are removed after this time, unless in the platform's list.
  absl::Duration dead_retention = absl::Minutes(10);
  int indirect_pings = 3;       // peers asked to ping a member that does not answer
  int updates_per_message = 8;  // maximum, for members and for upstreams each
  int push_fanout = 4;          // peers that receive each push; reaches 98% of the hosts (1 - e^-4)
  // Maximum lag of the platform's list. If the list still shows an upstream as live this long after the
  // upstream was observed leaving, the list is right. The actual lag is seconds. Without this rule, an
  // upstream that restarted in place would stay excluded.
  absl::Duration max_list_lag = absl::Minutes(1);
};

enum class MemberState { kAlive, kSuspect, kLeaving, kDead };
std::string_view NameOf(MemberState state);

struct Member {
  HostId id;                                //
  ZoneId zone;                              //
  Endpoint peer;                            //
  std::int64_t incarnation = 0;             // start time in ms; a restarted host has a higher one
  std::int64_t refutation = 0;              // incremented by the member itself to refute a suspicion
  MemberState state = MemberState::kAlive;  //
  bool leaving = false;                     // gets no new work; never reset within an incarnation
  std::int64_t config_version = 0;          // newest version confirmed by this member
  bool table_reachable = false;             // this member reached the table within the last 4 s
};

// A push sends urgent updates at once and gets no reply. With pings alone, an update takes 5 to 6 s to reach
// all of 370 hosts (each host informs about two others a second), but every host must know within 3 s that a
// host or an upstream is leaving.
enum class GossipKind { kPing, kAck, kPingRequest, kPush };
std::string_view NameOf(GossipKind kind);
struct UpstreamObservation {
  UpstreamId id;
  UpstreamState state = UpstreamState::kLeaving;
  std::int64_t observed_ms = 0;  // Unix time by the observer's clock
};
struct GossipMessage {
  GossipKind kind = GossipKind::kPing;  //
  std::uint64_t sequence = 0;           // an ack carries that of its ping
  Member sender;                        //
  HostId target;                        // of a ping request: host to ping; of its ack: host that answered
  std::vector<Member> member_updates;   //
  std::vector<UpstreamObservation> upstreams;  //
  std::map<PoolId, Version> weights;           // target versions known to the sender
  std::int64_t table_answer_age_ms = -1;  // time since the newest table answer known to the sender; -1: none
};
std::string EncodeGossip(const GossipMessage& message);              // MessagePack
leaf::result<GossipMessage> DecodeGossip(const std::string& bytes);  // errors: kPeerProtocol

struct Outgoing {
  HostId to;
  GossipMessage message;
};

struct MemberRecord {
  Member member;
  absl::Time state_since;
  int sends_left = 0;                     // remaining sends of this update
  bool in_platform_list = false;          // as of the last list
  bool leaving_in_platform_list = false;  // not gossiped, since the list lags
};
struct PendingPing {
  HostId target;
  absl::Time sent;
  bool indirect = false;
  HostId requester;  // set if the ping was requested by another host
  std::uint64_t requester_sequence = 0;
  std::int64_t incarnation = 0;  // of the target; a missing ack causes no suspicion of a later one
};

struct Membership {
  MembershipLimits limits;
  Member self;
  std::map<HostId, MemberRecord> members;  // excluding self
  std::map<std::uint64_t, PendingPing> pending;
  std::map<UpstreamId, Upstream> upstreams;                // from the platform's list, with observed states
  std::map<UpstreamId, UpstreamObservation> observations;  // newest one of each upstream
  std::map<UpstreamId, int> observation_sends_left;
  std::map<UpstreamId, absl::Time> observed_at;  // when this host received the observation
  std::map<PoolId, Version> weights;             // highest known target versions
  // Time of the newest answer from the table that this host knows of: its own, or that of a peer whose
  // configuration version is not above this host's. The host sets it after each answer from the table. It is
  // gossiped because with 370 hosts each host polls the table only every 18.5 s.
  absl::Time newest_table_answer = absl::InfinitePast();
  absl::Time next_ping = absl::InfinitePast();
  absl::Time next_check = absl::InfinitePast();  // of all members for expiry, 4 times per period
  std::vector<HostId> ping_order;  // rest of this round, shuffled; each member is pinged once a round
  std::uint64_t next_sequence = 1;
  // Urgent updates, pushed by the next tick or at the end of ReceiveGossip: members that are leaving, dead or
  // refuted a suspicion, and observations of upstreams.
  std::vector<HostId> push_members;
  std::vector<UpstreamId> push_upstreams;
  // Last member sent in the spare room of messages, which carries all members in turn.
  HostId round_robin_last;
  std::int64_t false_suspicions = 0;  // suspicions and death reports refuted by the member itself
};

// Merges the platform's list. An upstream that was observed leaving does not become live again because the
// list lags.
void ApplyPlatformList(Membership& membership, const PlatformList& list, absl::Time now);
// Returns a ping for a seed whose host id is not known yet. ReceiveGossip handles its ack.
GossipMessage MakeJoinPing(Membership& membership, absl::Time now);
// Returns the pings that are due, requests indirect pings of members that did not answer in time, suspects
// members that did not answer at all, declares suspects dead, and expires old records.
std::vector<Outgoing> TickMembership(Membership& membership, absl::Time now, std::mt19937_64& random);
std::vector<Outgoing> ReceiveGossip(Membership& membership, const GossipMessage& message, absl::Time now,
                                    std::mt19937_64& random);
// Records the state of an upstream that this host observed itself: the upstream refused a request, reported
// that it is leaving, or closed its port.
void ObserveUpstream(Membership& membership, const UpstreamId& id, UpstreamState state, absl::Time now);
// Marks this host as leaving and queues the update for the next messages.
void AnnounceLeaving(Membership& membership);

// Members that get new work: alive or suspect, and not leaving. Includes self unless it is leaving.
std::vector<Member> LiveMembers(const Membership& membership);
// The host that queues requests for the upstream, by rendezvous hashing over the live hosts of the upstream's
// zone. Empty if the zone has no live host.
HostId ResponsibleHost(const std::vector<Member>& live, const Upstream& upstream);

}  // namespace oleander

#endif  // OLEANDER_MEMBERSHIP_H_
