// Checks control traffic and propagation times of a full-size deployment on a manual clock. The bounds are
// the targets of docs/design.md, section 5.
#include <gtest/gtest.h>

#include <memory>

#include "bench/control_network.h"

namespace oleander {
namespace {

constexpr int kHosts = 370;
constexpr int kUpstreams = 2900;
constexpr double kMaxBytesPerHost = 28000;  // per second
constexpr double kMaxTableReads = 1000;     // per second
constexpr double kMaxTableWrites = 300;     // per second
constexpr absl::Duration kMaxLeaving = absl::Seconds(3);
constexpr absl::Duration kMaxInForce = absl::Seconds(5);
// Allowance for HTTP/2 frames, headers and a connection that is opened for the message.
constexpr double kWireBytesPerMessage = 400;

struct Cost {
  double bytes_per_host_s = 0;  // including kWireBytesPerMessage
  double reads_per_s = 0;
  double writes_per_s = 0;
};

// The tests share one simulated deployment, because starting it takes longer than a test.
struct ControlCost : testing::Test {
  static void SetUpTestSuite() {
    ControlOptions options;
    options.hosts = kHosts;
    options.upstreams = kUpstreams;
    options.seed = 11;
    shared = std::make_unique<ControlNetwork>(options);
    shared->ChangeConfig(0, 1000);
    shared->Run(absl::Seconds(8));
  }
  static void TearDownTestSuite() { shared.reset(); }
  Cost Measure(absl::Duration duration, const std::function<void()>& run) {
    const std::array<TrafficCount, 5> before = network.Sent();
    const std::int64_t reads = network.platform.reads;
    const std::int64_t writes = network.platform.writes;
    run();
    const double seconds = absl::ToDoubleSeconds(duration);
    Cost cost;
    const std::array<TrafficCount, 5> after = network.Sent();
    for (std::size_t it = 0; it < after.size(); ++it) {
      const double messages = static_cast<double>(after[it].messages - before[it].messages);
      const double bytes = static_cast<double>(after[it].bytes - before[it].bytes);
      cost.bytes_per_host_s += (bytes + messages * kWireBytesPerMessage) / kHosts / seconds;
    }
    cost.reads_per_s = static_cast<double>(network.platform.reads - reads) / seconds;
    cost.writes_per_s = static_cast<double>(network.platform.writes - writes) / seconds;
    return cost;
  }
  // Finds a host that has the latest configuration, because a change must name the version that it replaces.
  int FindCurrentHost() {
    for (int it = kHosts - 1; it > 0; --it)
      if (network.hosts[static_cast<std::size_t>(it)].config.current.version == latest) return it;
    return 0;
  }
  static inline std::unique_ptr<ControlNetwork> shared;
  static inline std::int64_t latest = 1;
  ControlNetwork& network = *shared;
};

// Guards against traffic or polling that grows with the number of hosts.
TEST_F(ControlCost, IdleTrafficStaysWithinTheTargets) {
  const Cost cost = Measure(absl::Seconds(5), [&] { network.Run(absl::Seconds(5)); });
  EXPECT_LT(cost.bytes_per_host_s, kMaxBytesPerHost);
  EXPECT_LT(cost.reads_per_s, kMaxTableReads);
  EXPECT_LT(cost.writes_per_s, kMaxTableWrites);
  EXPECT_EQ(network.FalseSuspicions(), 0);
}

// Guards against a burst of configuration changes that exceeds the table's limits or reaches a host late.
TEST_F(ControlCost, BurstOfChangesIsInForceOnAllHostsInTime) {
  constexpr int changes = 30;
  const Cost cost = Measure(absl::Seconds(3), [&] {
    for (int it = 0; it < changes; ++it) {
      ASSERT_TRUE(network.ChangeConfig(FindCurrentHost(), 2000 + it));
      ++latest;
      network.Run(absl::Milliseconds(100));
    }
  });
  EXPECT_LT(cost.reads_per_s, kMaxTableReads);
  EXPECT_LT(cost.writes_per_s, kMaxTableWrites);
  const std::int64_t last = network.hosts[changes - 1].config.current.version;
  EXPECT_LT(network.Run(absl::Seconds(20), [&] { return network.LowestConfigVersion() == last; }),
            kMaxInForce);
}

// Guards against hosts that learn too late that an upstream or a host is leaving.
TEST_F(ControlCost, AllHostsLearnInTimeThatAnUpstreamOrHostIsLeaving) {
  ObserveUpstream(network.hosts[0].membership, "engine-7", UpstreamState::kLeaving, network.now);
  EXPECT_LT(network.Run(absl::Seconds(20),
                        [&] {
                          return network.AllOthers(-1, [](const ControlHost& host) {
                            return host.membership.upstreams.at("engine-7").state == UpstreamState::kLeaving;
                          });
                        }),
            kMaxLeaving);
  AnnounceLeaving(network.hosts[5].membership);
  EXPECT_LT(network.Run(absl::Seconds(20),
                        [&] {
                          return network.AllOthers(5, [](const ControlHost& host) {
                            return host.membership.members.at("host-5").member.leaving;
                          });
                        }),
            kMaxLeaving);
}

// Guards against all hosts reading the table at once after an outage.
TEST_F(ControlCost, TableLoadAfterAnOutageStaysWithinItsLimits) {
  network.platform.up = false;
  network.Run(absl::Seconds(6));
  network.platform.up = true;
  for (int it = 0; it < 3; ++it) {
    const Cost cost = Measure(absl::Seconds(1), [&] { network.Run(absl::Seconds(1)); });
    EXPECT_LT(cost.reads_per_s, kMaxTableReads);
    EXPECT_LT(cost.writes_per_s, kMaxTableWrites);
  }
}

}  // namespace
}  // namespace oleander
