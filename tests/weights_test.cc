#include "oleander/weights.h"

#include <gtest/gtest.h>

#include "absl/strings/str_cat.h"
#include "tests/matrix/fakes.h"

namespace oleander {
namespace {

using matrix::Call;
using matrix::Effect;
using matrix::FakeEngine;
using matrix::FakeEngines;
using matrix::FakeTable;
using matrix::ManualClock;

struct WeightsTest : testing::Test {
  FakeTable table;
  FakeEngines engines;
  ManualClock clock;
  Policy policy;
  WeightsState state;
  std::mt19937_64 random{1};
  std::vector<PoolId> needs_read;

  WeightTarget Announce(Version version, const std::string& write_id) {
    Outcome<WeightTarget> target =
        Capture<WeightTarget>([&] { return AnnounceWeights(table.Port("a"), "small", version, write_id); });
    EXPECT_TRUE(Ok(target));
    if (!Ok(target)) return {};
    Value(target).read_at = clock.now;
    return Value(target);
  }
  std::vector<Upstream> All() {
    std::vector<Upstream> all;
    for (const auto& [id, engine] : engines.engines) all.push_back(engine.upstream);
    return all;
  }
  std::vector<PlannedOrder> Plan() {
    needs_read.clear();
    return PlanOrders(state, All(), policy, clock.now, random, needs_read);
  }
  void Send(const PlannedOrder& order) {
    const Outcome<std::monostate> outcome = Capture<std::monostate>(
        [&] { return engines.Port("a").order(engines.engines.at(order.engine).upstream, order.order); });
    FinishOrder(state, order, outcome, clock.now, random);
  }
  void Report() {
    for (const auto& [id, engine] : engines.engines) ReportVersion(state, id, engine.active, clock.now);
  }
  void Run(int rounds) {
    for (int it = 0; it < rounds; ++it) {
      for (const PlannedOrder& order : Plan()) Send(order);
      clock.now += absl::Seconds(1);
      Report();
    }
  }
  int CountActive(Version version) {
    int n = 0;
    for (const auto& [id, engine] : engines.engines) n += engine.active == version;
    return n;
  }
};

// Guards against a target that decreases and a fence that differs from the table row's.
TEST_F(WeightsTest, TargetNeverDecreases) {
  EXPECT_EQ(Announce(5, "w1").fence, 1);
  EXPECT_EQ(Announce(5, "w2").fence, 1);
  EXPECT_EQ(Announce(4, "w3").version, 5);
  table.lose_answers = 1;
  EXPECT_EQ(Announce(6, "w4").fence, 2);
  const WeightTarget read =
      Value(Capture<WeightTarget>([&] { return ReadWeightTarget(table.Port("a"), "small"); }));
  EXPECT_EQ(read.version, 6);
  UpdateTarget(state, read);
  EXPECT_FALSE(UpdateTarget(state, {"small", 5, 1, clock.now}));
  EXPECT_EQ(state.targets["small"].version, 6);
}

// Guards against a restored table with a lower target than the hosts know, whose next announcement they would
// ignore.
TEST_F(WeightsTest, RestoredTargetIsWrittenBack) {
  Announce(5, "w1");
  table.Save();
  const WeightTarget known = Announce(6, "w2");
  table.Restore();
  const Outcome<WeightTarget> back =
      Capture<WeightTarget>([&] { return RestoreTarget(table.Port("a"), known, "w3"); });
  ASSERT_TRUE(Ok(back));
  EXPECT_EQ(Value(back).version, 6);
  EXPECT_GT(Value(back).fence, known.fence);
  EXPECT_GT(Announce(7, "w4").fence, Value(back).fence);
}

// Guards against a host that ignores a new target because its fence was already used before the table was
// restored.
TEST_F(WeightsTest, HigherVersionWithTheSameFenceIsAccepted) {
  UpdateTarget(state, {"small", 2, 1, clock.now});
  EXPECT_TRUE(UpdateTarget(state, {"small", 3, 1, clock.now}));
  EXPECT_FALSE(UpdateTarget(state, {"small", 2, 1, clock.now}));
  EXPECT_EQ(state.targets["small"].version, 3);
}

// Guards against a whole pool that loads at the same time, and against engines that never get an order.
TEST_F(WeightsTest, AtMostAFractionOfThePoolLoadsAtATime) {
  for (int it = 0; it < 8; ++it) engines.Add(absl::StrCat("e", it), "small", "a", true);
  UpdateTarget(state, Announce(2, "w1"));
  const std::vector<PlannedOrder> first = Plan();
  EXPECT_EQ(first.size(), 4U);
  // Nothing is ordered twice while the first orders are in flight.
  EXPECT_TRUE(Plan().empty());
  for (const PlannedOrder& order : first) Send(order);
  Run(6);
  EXPECT_EQ(CountActive(2), 8);
  EXPECT_TRUE(Plan().empty());
}

// Guards against failed orders that are retried without backoff or given up.
TEST_F(WeightsTest, FailedOrdersBackOffWithJitter) {
  engines.Add("e1", "small", "a", true);
  UpdateTarget(state, Announce(2, "w1"));
  int failures = 0;
  engines.fault_hook = [&](const Call&) {
    return failures < 5 ? (++failures, Effect::kFail) : Effect::kPass;
  };
  absl::Duration last;
  for (int it = 0; it < 5; ++it) {
    const std::vector<PlannedOrder> orders = Plan();
    ASSERT_EQ(orders.size(), 1U);
    Send(orders.front());
    EXPECT_TRUE(Plan().empty());
    const absl::Duration pause = state.engines["e1"].next_try - clock.now;
    EXPECT_GE(pause, absl::Milliseconds(250));
    EXPECT_LE(pause, absl::Seconds(4));
    EXPECT_NE(pause, last);
    last = pause;
    clock.now += pause;
  }
  Run(3);
  EXPECT_EQ(CountActive(2), 1);
  EXPECT_EQ(state.orders_failed, 5);
}

// Guards against an engine without fence check that stays on an old version after a late order.
TEST_F(WeightsTest, EngineThatRegressedGetsANewOrder) {
  policy.engines_check_fence = false;
  engines.Add("e1", "small", "a", false);
  UpdateTarget(state, Announce(3, "w1"));
  Run(3);
  ASSERT_EQ(CountActive(3), 1);
  FakeEngine& engine = engines.engines.at("e1");
  engine.loaded.insert(2);
  static_cast<void>(Capture<std::monostate>([&] {
    return engines.Apply(engine, {OrderKind::kActivate, "small", 2, 0});
  }));
  ASSERT_EQ(engine.active, 2);
  Report();
  EXPECT_EQ(state.regressions, 1);
  // The target is older than 2 s: it is read again before the order.
  EXPECT_TRUE(Plan().empty());
  EXPECT_EQ(needs_read, std::vector<PoolId>{"small"});
  state.targets["small"].read_at = clock.now;
  for (int it = 0; it < 2; ++it) {
    for (const PlannedOrder& order : Plan()) Send(order);
  }
  EXPECT_EQ(engine.active, 3);
}

// Guards against an engine with fence check that accepts an order with an old fence, and against a host that
// repeats that order forever.
TEST_F(WeightsTest, OrderWithAnOldFenceIsRefusedAndNotRepeated) {
  engines.Add("e1", "small", "a", true);
  const WeightTarget old = Announce(2, "w1");
  UpdateTarget(state, old);
  engines.engines.at("e1").fence = 2;
  Run(1);
  EXPECT_EQ(CountActive(2), 0);
  EXPECT_TRUE(Plan().empty());
  clock.now += absl::Seconds(5);
  EXPECT_TRUE(Plan().empty());
  EXPECT_EQ(needs_read, std::vector<PoolId>{"small"});
  UpdateTarget(state, Announce(3, "w2"));
  Run(4);
  EXPECT_EQ(CountActive(3), 1);
}

// Guards against orders to engines that are up to date, or ahead because another host knows a newer target.
TEST_F(WeightsTest, NoOrderToAnEngineThatIsNotBehind) {
  engines.Add("e1", "small", "a", true);
  UpdateTarget(state, Announce(2, "w1"));
  for (const Version version : {2, 3}) {
    ReportVersion(state, "e1", version, clock.now);
    EXPECT_TRUE(Plan().empty());
  }
}

// Guards against a regression counted for a report that was made before an activation and arrives after it.
TEST_F(WeightsTest, DelayedReportIsNotARegression) {
  engines.Add("e1", "small", "a", true);
  UpdateTarget(state, Announce(2, "w1"));
  for (int it = 0; it < 2; ++it) {
    for (const PlannedOrder& order : Plan()) Send(order);
  }
  ReportVersion(state, "e1", 1, clock.now + absl::Milliseconds(300));
  EXPECT_EQ(state.regressions, 0);
  EXPECT_TRUE(Plan().empty());
}

// Guards against a second order if an engine leaves a host's responsibility and returns while an order is in
// flight.
TEST_F(WeightsTest, OrderInFlightSurvivesAChangeOfResponsibility) {
  engines.Add("e1", "small", "a", true);
  UpdateTarget(state, Announce(2, "w1"));
  const std::vector<PlannedOrder> orders = Plan();
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_TRUE(PlanOrders(state, {}, policy, clock.now, random, needs_read).empty());
  EXPECT_TRUE(Plan().empty());
  Send(orders.front());
  EXPECT_EQ(Plan().size(), 1U);
}

}  // namespace
}  // namespace oleander
