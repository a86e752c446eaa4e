#include "serving/weights_control.h"

#include <gtest/gtest.h>

#include "absl/strings/str_cat.h"
#include "tests/serving_fakes.h"

namespace oleander::serving {
namespace {

using fakes::EnginePort;
using fakes::FakeEngine;
using fakes::FakeEngines;
using fakes::FakeLoop;
using fakes::FakeStore;
using fakes::OrderRecord;
using fakes::StorePort;

constexpr absl::Duration kLeaseGap = absl::Seconds(3);

struct Controller {
  Controller(FakeLoop& the_loop, FakeStore& the_store, FakeEngines& the_engines, const std::string& name,
             const std::string& zone)
      : loop(the_loop), engines(the_engines), store(the_store), link(the_loop, the_engines) {
    directory.ApplyPolicy(fakes::MakePolicy());
    WeightsSettings settings;
    settings.incarnation = name;
    settings.zone = zone;
    settings.hand_over_gap = kLeaseGap;
    control = std::make_unique<WeightsControl>(loop, store, link, directory, settings);
    Tick();
  }
  void Tick() {
    if (!paused) {
      if (listing) engines.List(directory);
      control->Tick();
    }
    loop.After(absl::Milliseconds(100), [this] { Tick(); });
  }

  FakeLoop& loop;
  FakeEngines& engines;
  StorePort store;
  EnginePort link;
  Directory directory;
  std::unique_ptr<WeightsControl> control;
  bool paused = false;
  bool listing = true;  // the registrations show what the engines hold
};

struct WeightsControlTest : testing::Test {
  WeightsControlTest() {
    for (const char* zone : {"a", "b"}) {
      for (int it = 0; it < 4; ++it) {
        engines.Add(absl::StrCat(zone, it), "engines", zone, 4).weights["words"] = 1;
      }
    }
  }
  Controller& AddHost(const std::string& name, const std::string& zone) {
    hosts.push_back(std::make_unique<Controller>(loop, store, engines, name, zone));
    return *hosts.back();
  }
  void Name(std::int64_t version) {
    for (const std::unique_ptr<Controller>& it : hosts) it->directory.NameVersion("words", version);
  }
  int Holding(std::int64_t at_least) const {
    int n = 0;
    for (const std::pair<const std::string, FakeEngine>& it : engines.engines) {
      n += it.second.weights.at("words") >= at_least ? 1 : 0;
    }
    return n;
  }
  // No engine gets orders of two holders within the gap, nor a lower fence after a higher one.
  void ExpectOneHolder() const {
    std::map<std::string, OrderRecord> last;
    for (const OrderRecord& it : engines.orders) {
      const auto before = last.find(it.engine);
      if (before != last.end()) {
        EXPECT_GE(it.order.fence, before->second.order.fence);
        if (it.order.holder != before->second.order.holder) {
          EXPECT_GE(it.at - before->second.at, kLeaseGap);
        }
      }
      last.insert_or_assign(it.engine, it);
    }
  }

  FakeLoop loop;
  FakeStore store{loop};
  FakeEngines engines{loop};
  std::vector<std::unique_ptr<Controller>> hosts;
};

// Guards against engines that are too old for the next step: a step accepts the version before the named one.
TEST_F(WeightsControlTest, HalfOfTheEnginesLoadEachVersionInTurn) {
  AddHost("h1", "a");
  AddHost("h2", "b");
  loop.RunFor(absl::Seconds(1));
  for (std::int64_t version = 2; version < 8; ++version) {
    Name(version);
    loop.RunFor(absl::Seconds(5));
    EXPECT_EQ(Holding(version - 1), 8) << version;
    EXPECT_GE(Holding(version), 4) << version;
  }
  // Half of eight engines a version, and at the most one more where two zones choose at the same moment.
  EXPECT_LE(engines.orders.size(), 6u * 5u);
  ExpectOneHolder();
}

// Guards against orders of two hosts in turns when a holder is suspended and wakes up without knowing.
TEST_F(WeightsControlTest, ASuspendedHolderDoesNotOrderAfterItsWindow) {
  Controller& first = AddHost("h1", "a");
  AddHost("h2", "a");
  AddHost("h3", "b");
  loop.RunFor(absl::Seconds(1));
  Name(2);
  loop.RunFor(absl::Seconds(2));
  ASSERT_TRUE(first.control->Holds("engines", "a"));
  for (int round = 0; round < 4; ++round) {
    first.paused = true;
    loop.RunFor(absl::Milliseconds(700 + 900 * round));
    Name(3 + round);
    first.paused = false;
    loop.RunFor(absl::Seconds(6));
  }
  ExpectOneHolder();
  EXPECT_EQ(Holding(5), 8);
}

// Guards against a zone whose loads stop for good with its holder, and against a successor that comes too
// early.
TEST_F(WeightsControlTest, AnotherHostTakesOverWhenTheHolderIsCutOff) {
  Controller& first = AddHost("h1", "a");
  Controller& second = AddHost("h2", "a");
  AddHost("h3", "b");
  loop.RunFor(absl::Seconds(1));
  Name(2);
  loop.RunFor(absl::Seconds(3));
  ASSERT_TRUE(first.control->Holds("engines", "a"));
  first.store.cut = true;
  Name(3);
  loop.RunFor(absl::Seconds(8));
  EXPECT_TRUE(second.control->Holds("engines", "a"));
  EXPECT_EQ(Holding(2), 8);
  ExpectOneHolder();
}

// Guards against engines of a zone without hosts that nobody orders.
TEST_F(WeightsControlTest, HostsOfAnotherZoneTakeOverAZoneWithoutHosts) {
  AddHost("h1", "a");
  loop.RunFor(absl::Seconds(4));
  Name(2);
  Name(3);
  loop.RunFor(absl::Seconds(8));
  EXPECT_EQ(Holding(2), 8);
}

// Guards against an old order that an engine carries out after newer ones.
TEST_F(WeightsControlTest, ALateOrderIsRefusedByTheEngine) {
  AddHost("h1", "a");
  AddHost("h2", "b");
  loop.RunFor(absl::Seconds(1));
  engines.engines["a0"].ignores_orders = true;
  Name(2);
  Name(3);
  loop.RunFor(absl::Seconds(8));  // one load at a time in the zone; a0 may be the last
  ASSERT_FALSE(engines.unanswered.empty());
  engines.engines["a0"].ignores_orders = false;
  loop.RunFor(absl::Seconds(4));
  Name(4);
  Name(5);
  loop.RunFor(absl::Seconds(6));
  ASSERT_GE(engines.engines["a0"].weights["words"], 4);
  const std::int64_t held = engines.engines["a0"].weights["words"];
  for (const std::pair<std::string, WeightsOrder>& it : engines.unanswered)
    engines.Carry(it.first, it.second);
  loop.RunFor(absl::Seconds(2));
  EXPECT_GE(engines.engines["a0"].weights["words"], held);
}

// Guards against two holders after a planned stop.
TEST_F(WeightsControlTest, AReleasedLeaseIsTakenAfterTheGap) {
  Controller& first = AddHost("h1", "a");
  AddHost("h2", "a");
  loop.RunFor(absl::Seconds(1));
  Name(2);
  Name(3);
  loop.RunFor(absl::Milliseconds(500));
  first.control->Release();
  loop.RunFor(absl::Seconds(12));
  ExpectOneHolder();
  EXPECT_EQ(Holding(2), 8);
}

}  // namespace
}  // namespace oleander::serving
