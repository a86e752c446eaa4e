#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <vector>

#include "oleander/routing.h"

namespace oleander {
namespace {

// Makes a view with the same number in all parts, so that the test detects a torn or freed view.
std::unique_ptr<const RoutingView> MakeNumberedView(int n) {
  std::unique_ptr<RoutingView> view = std::make_unique<RoutingView>();
  view->config_version = n;
  view->upstreams.resize(8);
  for (UpstreamView& it : view->upstreams) {
    it.upstream.id = "service-" + std::to_string(n);
    it.upstream.pool = "lookup";
    it.queued = n;
  }
  BuildViewIndexes(*view, nullptr);
  return view;
}

// Guards against a view that is freed or changed while it is read, and against a reader that gets an older
// view after a newer one.
TEST(RoutingSnapshot, ReadersGetConsistentViewsInOrder) {
  constexpr int reader_count = 4;
  constexpr int publications = 300;
  const RoutingSnapshotPtr snapshot = MakeRoutingSnapshot(MakeNumberedView(0));
  std::atomic<bool> stop{false};
  std::atomic<int> torn{0};
  std::atomic<int> reversed{0};
  std::vector<std::atomic<std::int64_t>> reads(reader_count);
  std::vector<std::thread> readers;
  for (int it = 0; it < reader_count; ++it) {
    readers.emplace_back([&, it] {
      std::int64_t last = 0;
      while (!stop.load(std::memory_order_relaxed)) {
        const ReadView view(*snapshot);
        const std::int64_t n = view->config_version;
        if (n < last) reversed.fetch_add(1);
        last = n;
        for (const UpstreamView& upstream : view->upstreams) {
          if (upstream.queued != n || upstream.upstream.id != "service-" + std::to_string(n))
            torn.fetch_add(1);
        }
        reads[it].fetch_add(1, std::memory_order_relaxed);
      }
    });
  }
  // Each reader reads at least once per ten publications, so that reads and publications overlap.
  for (int it = 1; it <= publications; ++it) {
    Publish(*snapshot, MakeNumberedView(it));
    for (std::atomic<std::int64_t>& count : reads) {
      while (count.load(std::memory_order_relaxed) < it / 10) std::this_thread::yield();
    }
  }
  stop = true;
  for (std::thread& it : readers) it.join();
  EXPECT_EQ(torn.load(), 0);
  EXPECT_EQ(reversed.load(), 0);
  EXPECT_EQ(ReadView(*snapshot)->config_version, publications);
}

// Guards against threads that stay registered after their exit: a grace period would then read freed memory
// of the exited thread.
TEST(RoutingSnapshot, PublishAfterReaderThreadsHaveExited) {
  const RoutingSnapshotPtr snapshot = MakeRoutingSnapshot(MakeNumberedView(0));
  for (int it = 1; it <= 50; ++it) {
    std::int64_t seen = -1;
    std::thread reader([&] { seen = ReadView(*snapshot)->config_version; });
    reader.join();
    EXPECT_EQ(seen, it - 1);
    Publish(*snapshot, MakeNumberedView(it));
  }
}

// Guards against losing statistics when a view is replaced while calls are in flight.
TEST(RoutingSnapshot, StatsOutliveTheirView) {
  std::unique_ptr<const RoutingView> first = MakeNumberedView(1);
  const std::shared_ptr<UpstreamStats> stats = first->upstreams[0].stats;
  const RoutingSnapshotPtr snapshot = MakeRoutingSnapshot(std::move(first));
  const absl::Time now = absl::FromUnixSeconds(1000);
  const InFlightCall call = StartCall(*stats, now);
  Publish(*snapshot, MakeNumberedView(2));
  FinishCall(*stats, call, UpstreamKind::kService, CallOutcome::kOk, now + absl::Milliseconds(5));
  EXPECT_EQ(stats->in_flight.load(), 0);
  EXPECT_EQ(stats->latency_ns.load(), 5'000'000);
}

// Guards against wrong counts when several threads start and finish calls to one upstream.
TEST(UpstreamStats, ConcurrentCallsLeaveNothingInFlight) {
  UpstreamStats stats;
  std::vector<std::thread> threads;
  for (int it = 0; it < 4; ++it) {
    threads.emplace_back([&stats] {
      for (int n = 1; n <= 5000; ++n) {
        const absl::Time now = absl::FromUnixSeconds(1000) + absl::Milliseconds(n);
        InFlightCall call = StartCall(stats, now);
        RecordProgress(stats, call, 1, now);
        FinishCall(stats, call, UpstreamKind::kService, CallOutcome::kOk, now + absl::Milliseconds(1));
      }
    });
  }
  for (std::thread& it : threads) it.join();
  EXPECT_EQ(stats.in_flight.load(), 0);
  for (const std::atomic<std::int64_t>& it : stats.starts) EXPECT_EQ(it.load(), 0);
}

}  // namespace
}  // namespace oleander
