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

constexpr absl::Duration kHandOverGap = absl::Seconds(3);

struct WeightsHost {
  WeightsHost(FakeLoop& the_loop, FakeStore& the_store, FakeEngines& the_engines, const std::string& name,
              const std::string& zone)
      : loop(the_loop), engines(the_engines), store(the_store), link(the_loop, the_engines) {
    directory.ApplyPolicy(fakes::MakePolicy());
    DutyLeaseSettings lease_settings;
    lease_settings.incarnation = name;
    lease_settings.hand_over_gap = kHandOverGap;
    leases = std::make_unique<DutyLeases>(loop, store, lease_settings);
    WeightsSettings settings;
    settings.incarnation = name;
    settings.zone = zone;
    control = std::make_unique<WeightsControl>(loop, *leases, link, directory, settings);
    Tick();
  }
  void Tick() {
    if (!paused) {
      if (registrations_current) engines.ApplyRegistrations(directory);
      leases->Tick();
      control->Tick();
    }
    loop.After(absl::Milliseconds(100), [this] { Tick(); });
  }

  FakeLoop& loop;
  FakeEngines& engines;
  StorePort store;
  EnginePort link;
  Directory directory;
  std::unique_ptr<DutyLeases> leases;
  std::unique_ptr<WeightsControl> control;
  bool paused = false;
  bool registrations_current = true;  // the directory follows the versions that the engines hold
};

struct WeightsControlTest : testing::Test {
  WeightsControlTest() {
    for (const char* zone : {"a", "b"}) {
      for (int it = 0; it < 4; ++it) {
        engines.Add(absl::StrCat(zone, it), "engines", zone, 4).weights["words"] = 1;
      }
    }
  }
  WeightsHost& AddHost(const std::string& name, const std::string& zone) {
    hosts.push_back(std::make_unique<WeightsHost>(loop, store, engines, name, zone));
    return *hosts.back();
  }
  void SetAnnouncedVersion(std::int64_t version) {
    for (const std::unique_ptr<WeightsHost>& it : hosts)
      it->directory.RecordAnnouncedVersion("words", version);
  }
  int CountEnginesWith(std::int64_t min_version) const {
    int n = 0;
    for (const std::pair<const std::string, FakeEngine>& it : engines.engines) {
      n += it.second.weights.at("words") >= min_version ? 1 : 0;
    }
    return n;
  }
  // Checks that no engine gets orders of two holders within the hand-over gap, or a lower fence after a
  // higher one.
  void ExpectOneHolder() const {
    std::map<std::string, OrderRecord> last;
    for (const OrderRecord& it : engines.orders) {
      const auto before = last.find(it.engine);
      if (before != last.end()) {
        EXPECT_GE(it.order.fence, before->second.order.fence);
        if (it.order.holder != before->second.order.holder) {
          EXPECT_GE(it.at - before->second.at, kHandOverGap);
        }
      }
      last.insert_or_assign(it.engine, it);
    }
  }

  FakeLoop loop;
  FakeStore store{loop};
  FakeEngines engines{loop};
  std::vector<std::unique_ptr<WeightsHost>> hosts;
};

// Guards against engines whose weights are too old for the next step. A step accepts the announced version
// and the one before it.
TEST_F(WeightsControlTest, HalfOfTheEnginesLoadEachVersionInTurn) {
  AddHost("h1", "a");
  AddHost("h2", "b");
  loop.RunFor(absl::Seconds(1));
  for (std::int64_t version = 2; version < 8; ++version) {
    SetAnnouncedVersion(version);
    loop.RunFor(absl::Seconds(5));
    EXPECT_EQ(CountEnginesWith(version - 1), 8) << version;
    EXPECT_GE(CountEnginesWith(version), 4) << version;
  }
  // Half of the eight engines for each version, and one more at most when two zones choose at the same time.
  EXPECT_LE(engines.orders.size(), 6u * 5u);
  ExpectOneHolder();
}

// Guards against alternating orders of two hosts when a holder is suspended and resumes without noticing it.
TEST_F(WeightsControlTest, AResumedHolderDoesNotOrderAfterItsOrderWindow) {
  WeightsHost& first = AddHost("h1", "a");
  AddHost("h2", "a");
  AddHost("h3", "b");
  loop.RunFor(absl::Seconds(1));
  SetAnnouncedVersion(2);
  loop.RunFor(absl::Seconds(2));
  ASSERT_TRUE(first.control->HoldsLease("engines", "a"));
  for (int round = 0; round < 4; ++round) {
    first.paused = true;
    loop.RunFor(absl::Milliseconds(700 + 900 * round));
    SetAnnouncedVersion(3 + round);
    first.paused = false;
    loop.RunFor(absl::Seconds(6));
  }
  ExpectOneHolder();
  EXPECT_EQ(CountEnginesWith(5), 8);
}

// Guards against a zone whose loads stop forever when its holder fails, and against a successor that starts
// before the hand-over gap is over.
TEST_F(WeightsControlTest, AnotherHostTakesOverWhenTheHolderIsCutOff) {
  WeightsHost& first = AddHost("h1", "a");
  WeightsHost& second = AddHost("h2", "a");
  AddHost("h3", "b");
  loop.RunFor(absl::Seconds(1));
  SetAnnouncedVersion(2);
  loop.RunFor(absl::Seconds(3));
  ASSERT_TRUE(first.control->HoldsLease("engines", "a"));
  first.store.disconnected = true;
  SetAnnouncedVersion(3);
  loop.RunFor(absl::Seconds(8));
  EXPECT_TRUE(second.control->HoldsLease("engines", "a"));
  EXPECT_EQ(CountEnginesWith(2), 8);
  ExpectOneHolder();
}

// Guards against engines that get no orders because their zone has no hosts.
TEST_F(WeightsControlTest, HostsOfAnotherZoneTakeOverAZoneWithoutHosts) {
  AddHost("h1", "a");
  loop.RunFor(absl::Seconds(4));
  SetAnnouncedVersion(2);
  SetAnnouncedVersion(3);
  loop.RunFor(absl::Seconds(8));
  EXPECT_EQ(CountEnginesWith(2), 8);
}

// Guards against an engine that applies an old order after newer ones.
TEST_F(WeightsControlTest, ALateOrderIsRefusedByTheEngine) {
  AddHost("h1", "a");
  AddHost("h2", "b");
  loop.RunFor(absl::Seconds(1));
  engines.engines["a0"].delays_orders = true;
  SetAnnouncedVersion(2);
  SetAnnouncedVersion(3);
  loop.RunFor(absl::Seconds(8));  // one load at a time in the zone; a0 may be the last
  ASSERT_FALSE(engines.delayed_orders.empty());
  engines.engines["a0"].delays_orders = false;
  loop.RunFor(absl::Seconds(4));
  SetAnnouncedVersion(4);
  SetAnnouncedVersion(5);
  loop.RunFor(absl::Seconds(6));
  ASSERT_GE(engines.engines["a0"].weights["words"], 4);
  const std::int64_t held = engines.engines["a0"].weights["words"];
  for (const std::pair<std::string, WeightsOrder>& it : engines.delayed_orders)
    engines.ApplyOrder(it.first, it.second);
  loop.RunFor(absl::Seconds(2));
  EXPECT_GE(engines.engines["a0"].weights["words"], held);
}

// Guards against two holders after a planned shutdown.
TEST_F(WeightsControlTest, AReleasedLeaseIsTakenAfterTheHandOverGap) {
  WeightsHost& first = AddHost("h1", "a");
  AddHost("h2", "a");
  loop.RunFor(absl::Seconds(1));
  SetAnnouncedVersion(2);
  SetAnnouncedVersion(3);
  loop.RunFor(absl::Milliseconds(500));
  first.leases->Release();
  loop.RunFor(absl::Seconds(12));
  ExpectOneHolder();
  EXPECT_EQ(CountEnginesWith(2), 8);
}

}  // namespace
}  // namespace oleander::serving
