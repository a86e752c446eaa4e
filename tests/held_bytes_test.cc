// Tests of the account of held bytes: who may hold more, who waits, and who is refused.
#include "serving/held_bytes.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace oleander::serving {
namespace {

constexpr std::size_t kKilobyte = 1 << 10;
constexpr std::size_t kMegabyte = 1 << 20;
constexpr std::size_t kLargestBody = 32 * kMegabyte;
constexpr std::size_t kLookup = 3 * kKilobyte;
constexpr std::size_t kTrainingJob = 400 * kKilobyte;
const absl::Time kStart = absl::UnixEpoch();

// Guards against a limit that calm callers meet: on the smallest host of any deployment, 88 MB, a body at
// the limit is received, and so are 40 jobs of a training step that are submitted at the same time.
TEST(HeldBytesTest, CallersInsideTheLimitsFindRoom) {
  for (const std::size_t memory : {88 * kMegabyte, 120 * kMegabyte, 150 * kMegabyte, 512 * kMegabyte}) {
    HeldBytes account(HeldLimitsFor(memory));
    HeldCharge body(&account, HeldKind::kRequests);
    EXPECT_TRUE(body.TryResize(kLargestBody)) << memory;
    body.Resize(0);
    std::vector<HeldCharge> jobs;
    for (int it = 0; it < 40; ++it) {
      jobs.emplace_back(&account, HeldKind::kRequests);
      EXPECT_TRUE(jobs.back().TryResize(kTrainingJob)) << memory << " " << it;
    }
  }
}

// Guards against large bodies that take the room of ordinary requests: however many come, in whatever order
// they grow, a few hundred lookups and the jobs of some trainers still find room. A body that exceeds the
// share of its kind, because it is the only large one, takes it neither.
TEST(HeldBytesTest, SmallRequestsFindRoomBesideACrowdOfLargeOnes) {
  std::mt19937_64 random(20261207);
  for (int round = 0; round < 200; ++round) {
    HeldBytes account(HeldLimitsFor(64 * kMegabyte));
    std::vector<HeldCharge> crowd;
    for (int it = 0; it < 60; ++it) crowd.emplace_back(&account, HeldKind::kRequests);
    for (int step = 0; step < 400; ++step) {
      HeldCharge& grown = crowd[random() % crowd.size()];
      grown.TryResize(std::max<std::size_t>(2 * kMegabyte, grown.Bytes() * 2));
      if (random() % 10 == 0) crowd[random() % crowd.size()].Resize(0);
    }
    EXPECT_LE(account.Held(HeldKind::kRequests), HeldLimitsFor(64 * kMegabyte).total);
    std::vector<HeldCharge> jobs;
    for (int it = 0; it < 8; ++it) {
      jobs.emplace_back(&account, HeldKind::kRequests);
      EXPECT_TRUE(jobs.back().TryResize(kTrainingJob)) << it;
    }
    std::vector<HeldCharge> lookups;
    for (int it = 0; it < 300; ++it) {
      lookups.emplace_back(&account, HeldKind::kRequests);
      EXPECT_TRUE(lookups.back().TryResize(kLookup)) << it;
    }
  }
}

// Guards against one kind that fills the memory of the others: answers must find room while requests wait for
// them.
TEST(HeldBytesTest, KindsDoNotTakeEachOthersRoom) {
  HeldBytes account(HeldLimitsFor(64 * kMegabyte));
  std::vector<HeldCharge> requests;
  for (int it = 0; it < 100; ++it) {
    requests.emplace_back(&account, HeldKind::kRequests);
    requests.back().TryResize(4 * kMegabyte);
  }
  HeldCharge answer(&account, HeldKind::kAnswers);
  EXPECT_TRUE(answer.TryResize(8 * kMegabyte));
}

// Guards against an account that drifts: what is held is what its holders hold, through all ways to change
// it, and nothing is left when they have gone.
TEST(HeldBytesTest, TheAccountHoldsWhatItsHoldersHold) {
  std::mt19937_64 random(7);
  HeldBytes account(HeldLimitsFor(64 * kMegabyte));
  {
    std::vector<HeldCharge> holders;
    for (int step = 0; step < 20000; ++step) {
      if (holders.empty() || random() % 3 == 0)
        holders.emplace_back(&account, static_cast<HeldKind>(random() % kHeldKindCount));
      HeldCharge& holder = holders[random() % holders.size()];
      const std::size_t before = holder.Bytes();
      if (random() % 2 == 0) {
        const bool resized = holder.TryResize(random() % (4 * kMegabyte));
        EXPECT_TRUE(resized || holder.Bytes() == before);
      } else {
        holder.Resize(random() % kMegabyte);
      }
      if (random() % 4 == 0) {
        HeldCharge moved = std::move(holders[random() % holders.size()]);
        holders.push_back(std::move(moved));
      }
      if (random() % 3 == 0)
        holders.erase(holders.begin() + static_cast<std::ptrdiff_t>(random() % holders.size()));
    }
    std::size_t held = 0;
    for (const HeldCharge& it : holders) held += it.Bytes();
    std::size_t counted = 0;
    for (std::size_t it = 0; it < kHeldKindCount; ++it) counted += account.Held(static_cast<HeldKind>(it));
    EXPECT_EQ(counted, held);
  }
  for (std::size_t it = 0; it < kHeldKindCount; ++it) EXPECT_EQ(account.Held(static_cast<HeldKind>(it)), 0u);
}

// Guards against bodies that wait for each other: once one has waited for too long, the one that has received
// the least goes, and the largest part gets its room.
TEST(HeldBytesTest, TheSmallestPartGivesWay) {
  const absl::Duration max_wait = absl::Milliseconds(600);
  std::vector<RoomWaiter> waiters = {
      {1, 4000, kStart}, {2, 1000, kStart + absl::Milliseconds(100)}, {3, 0, kStart}};
  EXPECT_EQ(ChooseRefused(waiters, max_wait, kStart + absl::Milliseconds(599)), 0u);
  EXPECT_EQ(ChooseRefused(waiters, max_wait, kStart + max_wait), 2u);
  waiters.erase(waiters.begin() + 1);
  EXPECT_EQ(ChooseRefused(waiters, max_wait, kStart + max_wait), 1u);
  waiters.erase(waiters.begin());
  EXPECT_EQ(ChooseRefused(waiters, max_wait, kStart + max_wait), 3u);
  EXPECT_EQ(ChooseRefused({}, max_wait, kStart), 0u);
}

}  // namespace
}  // namespace oleander::serving
