// Fuzz test of gossip with mutated messages: malformed messages are rejected, and messages that decode do not
// violate the invariants of the membership.
#include <gtest/gtest.h>

#include "bench/control_network.h"
#include "fuzz/mutate.h"

namespace oleander {
namespace {

constexpr std::uint64_t kSeed = 20240612;
constexpr int kRounds = 20000;

GossipMessage Sample() {
  GossipMessage message;
  message.sequence = 7;
  message.sender.id = "host-1";
  message.sender.zone = "zone-1";
  message.sender.peer = {"10.0.0.1", 1001};
  message.sender.incarnation = 1'700'000'000'000;
  message.member_updates = {message.sender, message.sender};
  message.member_updates[1].id = "host-2";
  message.member_updates[1].state = MemberState::kSuspect;
  message.upstreams = {{"engine-1", UpstreamState::kLeaving, 1'700'000'000'000}};
  message.weights = {{"model", 3}};
  return message;
}
Outcome<GossipMessage> Decode(const std::string& bytes) {
  return Capture<GossipMessage>([&] { return DecodeGossip(bytes); });
}

TEST(GossipFuzz, DecoderRefusesOrRoundTrips) {
  std::mt19937_64 random(kSeed);
  const std::string seed_bytes = EncodeGossip(Sample());
  ASSERT_TRUE(Ok(Decode(seed_bytes)));
  int accepted = 0;
  for (int it = 0; it < kRounds; ++it) {
    const Outcome<GossipMessage> message = Decode(Mutate(seed_bytes, random));
    if (!Ok(message)) {
      EXPECT_EQ(ErrorOf(message).kind, ErrorKind::kPeerProtocol);
      continue;
    }
    ++accepted;
    const Outcome<GossipMessage> same = Decode(EncodeGossip(Value(message)));
    ASSERT_TRUE(Ok(same));
    EXPECT_EQ(EncodeGossip(Value(same)), EncodeGossip(Value(message)));
  }
  EXPECT_GT(accepted, 0);
}

// Guards against stack overflow: nlohmann-json parses nested MessagePack recursively.
TEST(GossipFuzz, DeepNestingIsRefused) {
  EXPECT_FALSE(Ok(Decode(std::string(8 << 20, '\x91'))));
  EXPECT_FALSE(Ok(Decode(std::string("\xdd\xff\xff\xff\xff", 5))));
}

// Guards against a faulty peer that permanently removes live hosts, changes this host's id, or exhausts its
// memory.
TEST(GossipFuzz, MutatedMessagesDoNotBreakTheMembership) {
  ControlOptions options;
  options.hosts = 8;
  options.seed = kSeed;
  ControlNetwork network(options);
  network.Run(absl::Seconds(5));
  std::mt19937_64 random(kSeed);
  const std::string seed_bytes = EncodeGossip(Sample());
  Membership& membership = network.hosts[0].membership;
  for (int it = 0; it < kRounds; ++it) {
    const Outcome<GossipMessage> message = Decode(Mutate(seed_bytes, random));
    if (!Ok(message)) continue;
    for (const Outgoing& out : ReceiveGossip(membership, Value(message), network.now, random))
      EXPECT_TRUE(Ok(Decode(EncodeGossip(out.message))));
    EXPECT_EQ(membership.self.id, "host-0");
    EXPECT_EQ(membership.self.state, MemberState::kAlive);
    EXPECT_LE(membership.members.size(), 4096u);
    EXPECT_LE(membership.pending.size(), static_cast<std::size_t>(kRounds));
  }
  network.Run(absl::Minutes(1));
  EXPECT_TRUE(membership.pending.size() < 100) << membership.pending.size();
  std::size_t alive = 0;
  for (int it = 3; it < 8; ++it)
    alive += membership.members.at(ControlNetwork::IdOf(it)).member.state == MemberState::kAlive ? 1 : 0;
  EXPECT_EQ(alive, 5u);
}

}  // namespace
}  // namespace oleander
