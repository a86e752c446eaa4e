#include "oleander/membership.h"

#include <gtest/gtest.h>

#include "bench/control_network.h"
#include "oleander/zones.h"

namespace oleander {
namespace {

ControlOptions Options(int hosts, std::uint64_t seed) {
  ControlOptions options;
  options.hosts = hosts;
  options.seed = seed;
  return options;
}

const Member& MemberAt(const ControlNetwork& network, int at, int subject) {
  return network.hosts[static_cast<std::size_t>(at)]
      .membership.members.at(ControlNetwork::IdOf(subject))
      .member;
}
bool GetsNewWork(const ControlHost& host, const HostId& id) {
  for (const Member& it : LiveMembers(host.membership))
    if (it.id == id) return true;
  return false;
}

TEST(Membership, DeathIsDetectedAtEveryHostAndNobodyElseIsSuspected) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    ControlNetwork network(Options(24, seed));
    network.Run(absl::Seconds(5));
    ASSERT_TRUE(network.AllSee(3, MemberState::kAlive));
    network.hosts[3].up = false;
    const absl::Duration took =
        network.Run(absl::Seconds(30), [&] { return network.AllSee(3, MemberState::kDead); });
    EXPECT_LT(took, absl::Seconds(12)) << seed;
    EXPECT_EQ(network.FalseSuspicions(), 0);
  }
}

// Guards against declaring a live host dead because some of its messages were lost.
TEST(Membership, SuspicionOfALiveHostIsRefuted) {
  ControlNetwork network(Options(12, 4));
  network.Run(absl::Seconds(5));
  // Host 5 receives no message for 2 s, less than the suspicion time.
  network.cut = [](int, int to) { return to == 5; };
  const auto suspected = [&] {
    return !network.AllOthers(5, [](const ControlHost& host) {
      return host.membership.members.at("host-5").member.state != MemberState::kSuspect;
    });
  };
  network.Run(absl::Seconds(10), suspected);
  ASSERT_TRUE(suspected());
  network.cut = nullptr;
  network.Run(absl::Seconds(2));
  network.Run(absl::Seconds(8));
  EXPECT_TRUE(network.AllSee(5, MemberState::kAlive));
  EXPECT_GT(network.hosts[5].membership.self.refutation, 0);
  EXPECT_GT(network.FalseSuspicions(), 0);
}

// Guards against a restarted host that counts as dead because its previous incarnation died.
TEST(Membership, RestartedHostReplacesItsDeadIncarnation) {
  ControlNetwork network(Options(12, 5));
  network.Run(absl::Seconds(5));
  const std::int64_t before = network.hosts[2].membership.self.incarnation;
  network.hosts[2].up = false;
  network.Run(absl::Seconds(20));
  ASSERT_TRUE(network.AllSee(2, MemberState::kDead));
  network.StartHost(2);
  network.Run(absl::Seconds(20));
  EXPECT_TRUE(network.AllSee(2, MemberState::kAlive));
  EXPECT_GT(MemberAt(network, 7, 2).incarnation, before);
}

// Guards against suspecting a new incarnation because the previous one did not answer a ping.
TEST(Membership, RestartCausesNoSuspicionOfTheNewIncarnation) {
  ControlNetwork network(Options(24, 9));
  network.Run(absl::Seconds(5));
  for (int it = 0; it < 12; ++it) {
    network.hosts[static_cast<std::size_t>(it)].up = false;
    network.Run(absl::Seconds(20));  // dead, and still pinged because it is in the platform's list
    network.StartHost(it);
    network.Run(absl::Seconds(5));
  }
  EXPECT_EQ(network.FalseSuspicions(), 0);
}

// Guards against new work for a leaving host, also after it was suspected and refuted the suspicion.
TEST(Membership, LeavingSpreadsWithinThreeSecondsAndStays) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    ControlNetwork network(Options(48, seed));
    network.Run(absl::Seconds(5));
    AnnounceLeaving(network.hosts[9].membership);
    const auto all_know = [&] {
      return network.AllOthers(9, [](const ControlHost& host) { return !GetsNewWork(host, "host-9"); });
    };
    EXPECT_LT(network.Run(absl::Seconds(10), all_know), absl::Seconds(3)) << seed;
    EXPECT_FALSE(GetsNewWork(network.hosts[9], "host-9"));
    network.cut = [](int, int to) { return to == 9; };
    network.Run(absl::Seconds(3));
    network.cut = nullptr;
    network.Run(absl::Seconds(10));
    EXPECT_TRUE(all_know()) << seed;
  }
}

// Guards against lost, duplicated and reordered messages that mark live members dead or dead ones live.
TEST(Membership, SurvivesLossDuplicationAndReordering) {
  ControlOptions options = Options(24, 6);
  options.loss = 0.1;
  options.duplicate = 0.2;
  options.max_delay = absl::Milliseconds(120);
  ControlNetwork network(options);
  network.Run(absl::Seconds(5));
  network.hosts[1].up = false;
  network.Run(absl::Seconds(60));
  EXPECT_TRUE(network.AllSee(1, MemberState::kDead));
  for (int it = 2; it < 24; ++it) {
    EXPECT_TRUE(network.AllOthers(it, [&](const ControlHost& host) {
      return GetsNewWork(host, ControlNetwork::IdOf(it));
    })) << it;
  }
}

// Guards against the two sides of a partition that consider each other dead after it has healed.
TEST(Membership, SidesOfAHealedPartitionReconnect) {
  ControlNetwork network(Options(24, 7));
  network.Run(absl::Seconds(5));
  network.cut = [](int from, int to) { return from % 2 != to % 2; };
  network.Run(absl::Minutes(15));  // longer than dead_retention
  ASSERT_EQ(LiveMembers(network.hosts[0].membership).size(), 12u);
  EXPECT_TRUE(
      DetectIsolation(network.hosts[0].membership, network.now, network.now).other_zones_unreachable ==
      false);
  network.cut = nullptr;
  const auto whole = [&] {
    return network.AllOthers(
        -1, [](const ControlHost& host) { return LiveMembers(host.membership).size() == 24; });
  };
  EXPECT_LT(network.Run(absl::Minutes(2), whole), absl::Seconds(30));
}

// ---- Upstreams

Membership OneHost(absl::Time now) {
  Membership membership;
  membership.self.id = "a1";
  membership.self.zone = "a";
  PlatformList list;
  list.upstreams = {{"e1", UpstreamKind::kEngine, "m", "a", {"10.0.0.1", 1}, UpstreamState::kLive}};
  ApplyPlatformList(membership, list, now);
  return membership;
}

TEST(Upstreams, LateListDoesNotReviveALeavingUpstream) {
  absl::Time now = absl::FromUnixSeconds(1000);
  Membership membership = OneHost(now);
  PlatformList list;
  list.upstreams = {{"e1", UpstreamKind::kEngine, "m", "a", {"10.0.0.1", 1}, UpstreamState::kLive}};
  ObserveUpstream(membership, "e1", UpstreamState::kLeaving, now);
  EXPECT_EQ(membership.upstreams.at("e1").state, UpstreamState::kLeaving);
  for (int it = 0; it < 5; ++it) {
    now += absl::Seconds(10);
    ApplyPlatformList(membership, list, now);
    EXPECT_EQ(membership.upstreams.at("e1").state, UpstreamState::kLeaving);
  }
}

// Guards against a platform list that returns to an earlier state after it has shown the upstream as leaving:
// in fault_matrix, seed 14, upstream_leaves+list_lags/hosts:160:232, the upstream then got new work. Also
// guards against an upstream that is live again and stays excluded for longer than the list's maximum lag.
TEST(Upstreams, ListThatReturnsToAnEarlierStateDoesNotReviveALeavingUpstream) {
  const absl::Time start = absl::FromUnixSeconds(1000);
  Membership membership = OneHost(start);
  PlatformList live;
  live.upstreams = {{"e1", UpstreamKind::kEngine, "m", "a", {"10.0.0.1", 1}, UpstreamState::kLive}};
  PlatformList leaving = live;
  leaving.upstreams[0].state = UpstreamState::kLeaving;
  const PlatformList gone;
  ObserveUpstream(membership, "e1", UpstreamState::kLeaving, start);
  for (const PlatformList& caught_up : {leaving, gone}) {
    ApplyPlatformList(membership, caught_up, start + absl::Seconds(2));
    ApplyPlatformList(membership, live, start + membership.limits.max_list_lag - absl::Seconds(1));
    EXPECT_EQ(membership.upstreams.at("e1").state, UpstreamState::kLeaving);
  }
  ApplyPlatformList(membership, live, start + membership.limits.max_list_lag);
  EXPECT_EQ(membership.upstreams.at("e1").state, UpstreamState::kLive);
}

// Guards against an upstream that restarted in place and stays excluded because the platform's list never
// showed the restart.
TEST(Upstreams, UpstreamStillListedAsLiveAfterTheMaximumLagIsLive) {
  const absl::Time now = absl::FromUnixSeconds(1000);
  Membership membership = OneHost(now);
  ObserveUpstream(membership, "e1", UpstreamState::kRemoved, now);
  PlatformList list;
  list.upstreams = {{"e1", UpstreamKind::kEngine, "m", "a", {"10.0.0.1", 1}, UpstreamState::kLive}};
  ApplyPlatformList(membership, list, now + membership.limits.max_list_lag);
  EXPECT_EQ(membership.upstreams.at("e1").state, UpstreamState::kLive);
}

TEST(Upstreams, LeavingSpreadsWithinThreeSeconds) {
  ControlNetwork network(Options(48, 8));
  network.Run(absl::Seconds(5));
  ObserveUpstream(network.hosts[0].membership, "engine-3", UpstreamState::kLeaving, network.now);
  EXPECT_LT(network.Run(absl::Seconds(10),
                        [&] {
                          return network.AllOthers(-1, [](const ControlHost& host) {
                            return host.membership.upstreams.at("engine-3").state == UpstreamState::kLeaving;
                          });
                        }),
            absl::Seconds(3));
}

// Guards against a host that starts after gossip of a leaving upstream has ended, and gives that upstream new
// work because the platform's list still shows it as live. Seen in fault_matrix --seed 7,
// upstream_leaves+list_lags.
TEST(Upstreams, HostThatStartsLaterIsToldOfALeavingUpstream) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    ControlNetwork network(Options(6, seed));
    network.Run(absl::Seconds(5));
    network.hosts[4].up = false;
    ObserveUpstream(network.hosts[0].membership, "engine-3", UpstreamState::kLeaving, network.now);
    network.Run(absl::Seconds(20));
    ASSERT_TRUE(network.hosts[0].membership.observation_sends_left.empty());
    network.StartHost(4);
    const auto knows = [&] {
      return network.hosts[4].membership.upstreams.count("engine-3") != 0 &&
             network.hosts[4].membership.upstreams.at("engine-3").state == UpstreamState::kLeaving;
    };
    EXPECT_LT(network.Run(absl::Seconds(10), knows), absl::Seconds(3)) << seed;
  }
}

// ---- Rendezvous

// Guards against the death of a host moving engines between live hosts.
TEST(Rendezvous, MovesOnlyTheDeadHostsUpstreams) {
  std::vector<Member> live;
  for (int it = 0; it < 40; ++it) {
    Member member;
    member.id = ControlNetwork::IdOf(it);
    member.zone = it % 2 == 0 ? "a" : "b";
    live.push_back(member);
  }
  std::vector<Member> fewer = live;
  fewer.erase(fewer.begin() + 4);
  std::map<HostId, int> load;
  int moved = 0;
  for (int it = 0; it < 2000; ++it) {
    Upstream upstream;
    upstream.id = absl::StrCat("engine-", it);
    upstream.zone = "a";
    const HostId before = ResponsibleHost(live, upstream);
    const HostId after = ResponsibleHost(fewer, upstream);
    ++load[before];
    if (before == after) continue;
    ++moved;
    EXPECT_EQ(before, "host-4");
  }
  EXPECT_EQ(moved, load["host-4"]);
  EXPECT_EQ(load.size(), 20u);
  for (const auto& it : load) EXPECT_NEAR(it.second, 100, 50) << it.first;
  Upstream foreign;
  foreign.id = "x";
  foreign.zone = "c";
  EXPECT_EQ(ResponsibleHost(live, foreign), "");
}

TEST(Rendezvous, IsTheSameInEveryProcess) {
  Member a, b;
  a.id = "a1";
  b.id = "a2";
  a.zone = b.zone = "a";
  Upstream upstream;
  upstream.zone = "a";
  std::string owners;
  for (const char* id : {"e1", "e2", "e3", "e4", "e5", "e6"}) {
    upstream.id = id;
    owners += ResponsibleHost({a, b}, upstream) + " ";
  }
  EXPECT_EQ(owners, "a1 a1 a2 a1 a2 a2 ");
}

// ---- Isolation

TEST(Isolation, DetectsIsolationAndRefusesOnlyOperationsThatNeedTheTable) {
  Membership membership;
  membership.self.id = "a1";
  membership.self.zone = "a";
  const absl::Time now = absl::FromUnixSeconds(1000);
  EXPECT_FALSE(DetectIsolation(membership, now, now).other_zones_unreachable);
  PlatformList list;
  list.hosts = {{"b1", "b", {"10.0.0.2", 1}, false}};
  ApplyPlatformList(membership, list, now);
  EXPECT_FALSE(DetectIsolation(membership, now, now).other_zones_unreachable);
  membership.members.at("b1").member.state = MemberState::kDead;
  const Isolation cut_off = DetectIsolation(membership, now, now + absl::Seconds(5));
  EXPECT_TRUE(cut_off.other_zones_unreachable);
  EXPECT_TRUE(cut_off.table_unreachable);
  const auto allowed = [](const Isolation& isolation, WorkKind kind) {
    return Ok(Capture<std::monostate>([&] { return CheckAllowed(isolation, kind); }));
  };
  const std::vector<WorkKind> without_platform = {WorkKind::kLookup, WorkKind::kInteractiveGeneration,
                                                  WorkKind::kRollout, WorkKind::kTicketCall,
                                                  WorkKind::kWeightRollout};
  for (const WorkKind it : without_platform) EXPECT_TRUE(allowed(cut_off, it));
  for (const WorkKind it : {WorkKind::kJobTakeover, WorkKind::kKeyedCall, WorkKind::kConfigChange}) {
    EXPECT_FALSE(allowed(cut_off, it));
    EXPECT_TRUE(allowed({true, false}, it));
  }
}

}  // namespace
}  // namespace oleander
