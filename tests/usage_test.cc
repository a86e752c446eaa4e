// Tests of usage reports: what is counted, when a window is reported, and that each window has one report
// whatever happens to hosts, clocks, the store and the platform.
#include "serving/usage.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

#include "absl/strings/str_cat.h"
#include "serving/usage_counter.h"
#include "serving/usage_reporter.h"
#include "tests/duty_fakes.h"

namespace oleander::serving {
namespace {

using fakes::FakeDutyPlatform;
using fakes::FakeLoop;
using fakes::FakeStore;
using fakes::HostLoop;
using fakes::StoreFault;
using fakes::StorePort;

constexpr absl::Duration kWindow = absl::Seconds(5);

UsageRow MakeRow(std::int64_t window, const std::string& host, bool closed, UsageCounts counts = {}) {
  UsageRow row;
  row.window = window;
  row.incarnation = host;
  row.closed = closed;
  row.counts = std::move(counts);
  return row;
}

TEST(Usage, RowsAreStoredAndReadBack) {
  UsageRow row = MakeRow(357010113, "h-1/a", true, {{"cafe", 3}});
  row.wall_offset = absl::Milliseconds(1700000000123);
  const RowWrite written = EncodeUsageRow(row, "z1");
  const std::optional<UsageRow> read = DecodeUsageRow({written.id, written.value, 1, false});
  ASSERT_TRUE(read);
  EXPECT_EQ(read->window, row.window);
  EXPECT_EQ(read->incarnation, row.incarnation);
  EXPECT_EQ(read->wall_offset, row.wall_offset);
  EXPECT_EQ(read->counts, row.counts);
  const RowRange range = UsageRows("z1", row.window, row.window);
  EXPECT_LT(range.from, written.id.key);
  EXPECT_GT(range.to, written.id.key);
  for (const char* bytes : {"", "x", "\x93\x01", "\xff"}) {
    EXPECT_FALSE(DecodeUsageRow({written.id, bytes, 1, false}));
    EXPECT_FALSE(DecodeUsageReport(bytes));
    EXPECT_FALSE(DecodeFleetRow(bytes));
  }
}

// Load pattern: the time of day of a third of 69 hosts jumps by two seconds. Guards against windows that
// move.
TEST(Usage, ClocksThatJumpDoNotMoveTheWindows) {
  std::vector<absl::Duration> offsets;
  for (int it = 0; it < 69; ++it) offsets.push_back(absl::Milliseconds(it % 7 + (it % 3 == 0 ? 2000 : 0)));
  EXPECT_LE(AgreeOnOffset(offsets).value(), absl::Milliseconds(7));
  EXPECT_FALSE(AgreeOnOffset({}));
}

// Load pattern: a sixth of the hosts is killed shortly before the end of a window. The report waits for them
// as long as it may, and then goes without.
TEST(Usage, AReportWaitsForHostsButIsNotLateForThem) {
  UsageSettings settings;
  std::vector<UsageRow> rows = {MakeRow(7, "a", true), MakeRow(7, "b", true),
                                MakeRow(8, "a", true, {{"cafe", 2}}), MakeRow(8, "c", true, {{"cafe", 1}})};
  GatheredUsage gathered = GatherUsage(rows, 8);
  EXPECT_EQ(gathered.missing, (std::set<std::string>{"b"}));
  EXPECT_EQ(gathered.counts, (UsageCounts{{"cafe", 3}}));
  EXPECT_FALSE(ShouldReportNow(gathered, absl::Seconds(2), settings));
  EXPECT_TRUE(ShouldReportNow(gathered, absl::Seconds(6), settings));
  rows.push_back(MakeRow(8, "b", false, {{"shop", 1}}));
  EXPECT_EQ(GatherUsage(rows, 8).missing, (std::set<std::string>{"b"}));
  rows.back().closed = true;
  gathered = GatherUsage(rows, 8);
  EXPECT_TRUE(gathered.missing.empty());
  EXPECT_FALSE(ShouldReportNow(gathered, absl::Seconds(1), settings));  // late answers are still expected
  EXPECT_TRUE(ShouldReportNow(gathered, absl::Milliseconds(1600), settings));
}

TEST(Usage, RepeatedCallsBackOffWithJitter) {
  EXPECT_GE(DutyBackoff(1, "a"), absl::Milliseconds(100));
  EXPECT_LE(DutyBackoff(20, "a"), absl::Seconds(2));
  EXPECT_GE(DutyBackoff(20, "a"), absl::Seconds(1));
  EXPECT_NE(DutyBackoff(3, "a"), DutyBackoff(3, "b"));
}

// ---- Hosts ------------------------------------------------------------------------------------------------

struct UsageHost {
  UsageHost(FakeLoop& the_loop, FakeStore& the_store, FakeDutyPlatform& platform, const std::string& the_name,
            const std::string& zone)
      : name(the_name), shared_loop(the_loop), loop(the_loop), store(the_store) {
    DutyLeaseSettings lease_settings;
    lease_settings.incarnation = name;
    lease_settings.hand_over_gap = fakes::kHandOverGap;
    leases = std::make_unique<DutyLeases>(loop, store, lease_settings);
    UsageSettings settings;
    settings.host = settings.incarnation = name;
    settings.zone = zone;
    counter = std::make_unique<UsageCounter>(loop, store, settings);
    reporter = std::make_unique<UsageReporter>(loop, store, *leases, platform, pacer, settings);
    Tick();
  }
  void Tick() {
    if (dead) return;
    if (!frozen) {
      leases->Tick();
      counter->Tick();
      reporter->Tick();
    }
    shared_loop.After(absl::Milliseconds(100), [this] { Tick(); });
  }
  void Kill() { dead = store.dead = store.disconnected = true; }
  bool HoldsDuty() const { return leases->Holds(kUsageDuty); }

  std::string name;
  FakeLoop& shared_loop;
  HostLoop loop;
  StorePort store;
  CallPacer pacer;
  std::unique_ptr<DutyLeases> leases;
  std::unique_ptr<UsageCounter> counter;
  std::unique_ptr<UsageReporter> reporter;
  bool dead = false;
  bool frozen = false;  // does not tick
};

struct UsageTest : testing::Test {
  UsageTest() {
    for (int it = 0; it < 6; ++it) {
      hosts.push_back(
          std::make_unique<UsageHost>(loop, store, platform, absl::StrCat("h", it), it % 2 == 0 ? "a" : "b"));
    }
    loop.RunFor(absl::Seconds(2));
    // Begin in the first half of a window, so that a test knows what falls into it.
    loop.RunFor(UsageWindowEnd(WindowNow(), kWindow) - loop.WallNow() + absl::Milliseconds(200));
  }
  std::int64_t WindowNow() const { return UsageWindowAt(loop.WallNow(), kWindow); }
  UsageHost& Holder() {
    for (const std::unique_ptr<UsageHost>& it : hosts) {
      if (it->HoldsDuty()) return *it;
    }
    ADD_FAILURE() << "no holder";
    return *hosts[0];
  }
  UsageHost& Other() { return hosts[0]->HoldsDuty() ? *hosts[1] : *hosts[0]; }
  // Each living host sends `n` requests of each of two workspaces, spread over `duration`.
  void SendRequests(int n, absl::Duration duration) {
    for (int it = 0; it < n; ++it) {
      for (const std::unique_ptr<UsageHost>& host : hosts) {
        if (host->dead || host->frozen) continue;
        for (const char* workspace : {"cafe", "shop"}) {
          host->counter->Record(workspace, loop.Now());
          ++truth[WindowNow()][workspace];
        }
      }
      loop.RunFor(duration / n);
    }
  }
  UsageCounts Reported(std::int64_t window) const {
    for (const fakes::DutyCall& it : platform.calls) {
      if (it.window == window) return it.counts;
    }
    return {};
  }
  int ReportsOf(std::int64_t window) const {
    return static_cast<int>(
        std::count_if(platform.calls.begin(), platform.calls.end(),
                      [window](const fakes::DutyCall& it) { return it.window == window; }));
  }
  void ExpectTruth() const {
    for (const std::pair<const std::int64_t, UsageCounts>& it : truth)
      EXPECT_EQ(Reported(it.first), it.second) << it.first;
    platform.ExpectOneHolderAndOneReport();
  }
  absl::Duration LatenessOf(std::int64_t window) const {
    for (const fakes::DutyCall& it : platform.calls) {
      if (it.window == window) return it.at - UsageWindowEnd(window, kWindow);
    }
    return absl::InfiniteDuration();
  }

  FakeLoop loop;
  FakeStore store{loop};
  FakeDutyPlatform platform{loop};
  std::vector<std::unique_ptr<UsageHost>> hosts;
  std::map<std::int64_t, UsageCounts> truth;  // by window
};

TEST_F(UsageTest, EachWindowIsReportedOnceWithTheRequestsOfAllHosts) {
  const std::int64_t first = WindowNow();
  SendRequests(40, absl::Seconds(17));
  loop.RunFor(absl::Seconds(8));
  EXPECT_EQ(truth.size(), 4u);
  ExpectTruth();
  for (std::int64_t it = first; it < first + 4; ++it) {
    EXPECT_EQ(ReportsOf(it), 1);
    EXPECT_LT(LatenessOf(it), absl::Seconds(3));
  }
}

// Guards against a window that nobody reports, or that two hosts report differently.
TEST_F(UsageTest, TheSuccessorOfAKilledHolderReportsTheWindow) {
  for (const absl::Duration after_end :
       {absl::Milliseconds(100), absl::Milliseconds(1610), absl::Seconds(2)}) {
    const std::int64_t window = WindowNow();
    SendRequests(4, absl::Seconds(2));
    loop.RunFor(UsageWindowEnd(window, kWindow) - loop.WallNow() + after_end);
    Holder().Kill();
    loop.RunFor(absl::Seconds(11) - after_end);
    EXPECT_EQ(Reported(window), truth[window]);
    EXPECT_LT(LatenessOf(window), absl::Seconds(10));
    loop.RunFor(UsageWindowEnd(WindowNow(), kWindow) - loop.WallNow() + absl::Milliseconds(200));
  }
  ExpectTruth();
}

// Guards against a holder that wakes and reports what another host has reported meanwhile, and against turns
// of two holders.
TEST_F(UsageTest, AHolderThatWakesDoesNothingMore) {
  for (const absl::Duration frozen : {absl::Milliseconds(900), absl::Seconds(2), absl::Seconds(8)}) {
    const std::int64_t window = WindowNow();
    SendRequests(4, absl::Seconds(2));
    UsageHost& holder = Holder();
    loop.RunFor(UsageWindowEnd(window, kWindow) - loop.WallNow() + absl::Milliseconds(1500));
    holder.frozen = true;
    loop.RunFor(frozen);
    holder.frozen = false;
    loop.RunFor(absl::Seconds(12));
    EXPECT_EQ(Reported(window), truth[window]);
    loop.RunFor(UsageWindowEnd(WindowNow(), kWindow) - loop.WallNow() + absl::Milliseconds(200));
  }
  ExpectTruth();
}

// Guards against a second report with other counts when the platform's answer was lost and late counts have
// arrived since.
TEST_F(UsageTest, AReportWithoutAnAnswerIsRepeatedUnchanged) {
  const std::int64_t window = WindowNow();
  SendRequests(4, absl::Seconds(2));
  int lost = 2;
  platform.fault = [&lost](const fakes::DutyCall&) {
    return lost-- > 0 ? StoreFault::kLoseAnswer : StoreFault::kNone;
  };
  loop.RunFor(UsageWindowEnd(window, kWindow) - loop.WallNow() + absl::Milliseconds(1900));
  Other().counter->Record("late", loop.Now() - absl::Seconds(3));
  loop.RunFor(absl::Seconds(10));
  EXPECT_EQ(ReportsOf(window), 3);
  ExpectTruth();
}

// Guards against counts that are lost with their host. At most what was counted since the last write is.
TEST_F(UsageTest, CountsOfAHostThatDiedAreReported) {
  const std::int64_t window = WindowNow();
  SendRequests(4, absl::Seconds(2));
  loop.RunFor(absl::Milliseconds(400));
  Other().Kill();
  loop.RunFor(absl::Seconds(12));
  EXPECT_EQ(Reported(window), truth[window]);
  EXPECT_LT(LatenessOf(window), absl::Seconds(7));
  ExpectTruth();
}

TEST_F(UsageTest, AHostCutOffFromTheStoreIsWaitedFor) {
  const std::int64_t window = WindowNow();
  UsageHost& cut = Other();
  loop.RunFor(absl::Seconds(2));
  cut.store.disconnected = true;
  SendRequests(4, absl::Seconds(1));
  loop.RunFor(absl::Seconds(5));
  cut.store.disconnected = false;
  loop.RunFor(absl::Seconds(10));
  EXPECT_EQ(Reported(window), truth[window]);
  ExpectTruth();
}

TEST_F(UsageTest, WindowsStayWhenClocksJump) {
  for (const std::size_t it : {1u, 4u}) hosts[it]->loop.wall_error = absl::Seconds(2);
  SendRequests(40, absl::Seconds(10));
  for (const std::size_t it : {1u, 4u}) hosts[it]->loop.wall_error = -absl::Seconds(3);
  SendRequests(40, absl::Seconds(6));
  loop.RunFor(absl::Seconds(8));
  ExpectTruth();
}

// Guards against counts that an old write, applied late, resets to an earlier state, and against two contents
// of one report.
TEST_F(UsageTest, LostAnswersOfTheStoreChangeNoCounts) {
  int n = 0;
  for (const std::unique_ptr<UsageHost>& it : hosts) {
    it->store.commit_fault = [&n](const Transaction&) {
      ++n;
      return n % 3 == 0 ? StoreFault::kLoseAnswer : n % 7 == 0 ? StoreFault::kRefuse : StoreFault::kNone;
    };
  }
  SendRequests(30, absl::Seconds(9));
  loop.RunFor(absl::Seconds(20));
  ExpectTruth();
}

TEST_F(UsageTest, ReportsWaitForAPlatformThatIsDown) {
  bool down = true;
  int tried = 0;
  platform.fault = [&](const fakes::DutyCall&) {
    ++tried;
    return down ? StoreFault::kRefuse : StoreFault::kNone;
  };
  SendRequests(30, absl::Seconds(9));
  loop.RunFor(absl::Seconds(16));
  EXPECT_TRUE(platform.calls.empty());
  EXPECT_LT(tried, 100);  // several windows for 20 s, each at most twice a second in the end
  down = false;
  loop.RunFor(absl::Seconds(4));
  ExpectTruth();
}

// Guards against a duty that rests for the length of a lease, and counts that stay behind, at a shutdown.
TEST_F(UsageTest, AShutdownHandsTheDutyOver) {
  const std::int64_t window = WindowNow();
  SendRequests(4, absl::Seconds(1));
  UsageHost& holder = Holder();
  holder.leases->Release();
  loop.RunFor(absl::Milliseconds(600));
  EXPECT_TRUE(holder.counter->Saved());
  holder.Kill();
  loop.RunFor(absl::Seconds(4));
  EXPECT_NE(&Holder(), &holder);
  loop.RunFor(absl::Seconds(10));
  EXPECT_EQ(Reported(window), truth[window]);
  ExpectTruth();
}

// Guards against rows that pile up in the store.
TEST_F(UsageTest, ReportedCountsAreRemoved) {
  SendRequests(20, absl::Seconds(40));
  loop.RunFor(absl::Minutes(2));
  std::size_t rows = 0;
  for (const std::pair<const std::string, std::map<std::string, Row>>& it : store.rows) {
    if (it.first.starts_with("usage/")) rows += it.second.size();
  }
  EXPECT_LE(rows, 3 * hosts.size());
}

}  // namespace
}  // namespace oleander::serving
