#include "oleander/lease.h"

#include <gtest/gtest.h>

#include "tests/matrix/fakes.h"

namespace oleander {
namespace {

using matrix::Call;
using matrix::Effect;
using matrix::FakeTable;
using matrix::ManualClock;

struct LeaseTest : testing::Test {
  FakeTable table;
  ManualClock clock;

  static Lease MakeLease(const HostId& self) {
    Lease lease;
    lease.key = "leases/clues";
    lease.self = self;
    lease.incarnation = 1;
    return lease;
  }
  LeaseState Tick(Lease& lease) {
    static_cast<void>(
        Capture<LeaseState>([&] { return TickLease(lease, table.Port(lease.self), true, clock.now); }));
    return lease.state;
  }
  bool Write(const Lease& lease, const std::string& write_id) {
    const TableTxn txn = {{LeaseCompare(lease)}, {{"progress/clues", RowValue({{"n", 1}}, write_id)}}};
    const Outcome<TxnOutcome> outcome =
        Capture<TxnOutcome>([&] { return CommitWithReadBack(table.Port(lease.self), txn); });
    return Ok(outcome) && Value(outcome).committed;
  }
};

// Guards against a takeover before the lease has expired, and against one that never happens.
TEST_F(LeaseTest, ContenderWaitsAFullLifetimeOnItsOwnClock) {
  Lease a = MakeLease("a");
  Lease b = MakeLease("b");
  ASSERT_EQ(Tick(a), LeaseState::kHeld);
  const absl::Time first_read = clock.now;
  while (Tick(b) == LeaseState::kNotHeld) clock.now += absl::Milliseconds(500);
  EXPECT_EQ(clock.now - first_read, b.limits.lifetime);
  EXPECT_EQ(b.row.fence, a.row.fence + 1);
}

// Guards against a holder that was paused past its lease and writes after another host took over.
TEST_F(LeaseTest, WritesOfAPausedHolderFailTheCompare) {
  Lease a = MakeLease("a");
  Lease b = MakeLease("b");
  Tick(a);
  Tick(b);
  clock.now += a.limits.lifetime;
  ASSERT_EQ(Tick(b), LeaseState::kHeld);
  EXPECT_FALSE(LeaseSafe(a, clock.now));
  EXPECT_FALSE(Write(a, "a.1"));
  EXPECT_TRUE(Write(b, "b.1"));
  EXPECT_EQ(Tick(a), LeaseState::kNotHeld);
}

// Guards against a holder that mistakes its own renewal for another host's after the response was lost.
TEST_F(LeaseTest, LeaseIsKeptAfterLostResponses) {
  Lease a = MakeLease("a");
  table.lose_answers = 1;
  ASSERT_EQ(Tick(a), LeaseState::kHeld);
  // The responses to the commit and to each read-back are lost, so the outcome is unknown until the next
  // renewal.
  table.fault_hook = [](const Call&) { return Effect::kLoseAnswer; };
  clock.now += a.limits.renew_every;
  EXPECT_EQ(Tick(a), LeaseState::kHeld);
  table.fault_hook = nullptr;
  clock.now += a.limits.renew_every;
  EXPECT_EQ(Tick(a), LeaseState::kHeld);
  EXPECT_TRUE(LeaseSafe(a, clock.now));
  EXPECT_EQ(a.row.fence, 1);
  EXPECT_TRUE(Write(a, "a.1"));
}

// Guards against a contender that counts a store outage towards the holder's lease lifetime.
TEST_F(LeaseTest, StoreOutageRestartsTheContendersWait) {
  Lease a = MakeLease("a");
  Lease b = MakeLease("b");
  Tick(a);
  Tick(b);
  table.down = true;
  clock.now += absl::Seconds(60);
  Tick(b);
  table.down = false;
  clock.now += absl::Seconds(1);
  EXPECT_EQ(Tick(b), LeaseState::kNotHeld);
  EXPECT_EQ(Tick(a), LeaseState::kHeld);
  clock.now += absl::Seconds(9);
  EXPECT_EQ(Tick(b), LeaseState::kNotHeld);
}

// Guards against a new holder that waits for a full lifetime after a graceful shutdown.
TEST_F(LeaseTest, ReleasedLeaseIsAcquiredAtOnce) {
  Lease a = MakeLease("a");
  Lease b = MakeLease("b");
  Tick(a);
  ASSERT_TRUE(Ok(Capture<std::monostate>([&] { return ReleaseLease(a, table.Port("a")); })));
  EXPECT_EQ(Tick(b), LeaseState::kHeld);
  EXPECT_EQ(b.row.fence, 2);
}

// Guards against a fence that decreases after the table was restored.
TEST_F(LeaseTest, RestoredTableDoesNotLowerTheFence) {
  Lease a = MakeLease("a");
  Lease b = MakeLease("b");
  Tick(a);
  table.Save();
  static_cast<void>(Capture<std::monostate>([&] { return ReleaseLease(a, table.Port("a")); }));
  ASSERT_EQ(Tick(b), LeaseState::kHeld);
  const std::int64_t fence = b.row.fence;
  table.Restore();
  clock.now += b.limits.renew_every;
  EXPECT_EQ(Tick(b), LeaseState::kNotHeld);
  while (Tick(b) == LeaseState::kNotHeld) clock.now += absl::Seconds(1);
  EXPECT_GT(b.row.fence, fence);
}

// Guards against a repeated write with the same write id that is reported as failed or applied twice.
TEST_F(LeaseTest, UnknownCommitOutcomeIsResolvedByWriteId) {
  Lease a = MakeLease("a");
  Tick(a);
  const std::int64_t commits = table.commits;
  table.lose_answers = 1;
  EXPECT_TRUE(Write(a, "a.1"));
  EXPECT_EQ(table.commits, commits + 1);
  table.down = true;
  EXPECT_FALSE(Write(a, "a.2"));
  table.down = false;
  EXPECT_TRUE(Write(a, "a.2"));
}

}  // namespace
}  // namespace oleander
