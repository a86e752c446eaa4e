// Measures one routing decision with 12 and with 2,900 upstreams, on one thread and under contention. The
// baseline is a uniformly random choice. Target: at most 2 us per decision, and with 2,900 upstreams at most
// twice the cost with 12.
#include <benchmark/benchmark.h>

#include <map>
#include <mutex>

#include "oleander/routing.h"

namespace oleander {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000'000);

std::unique_ptr<RoutingView> MakeView(UpstreamKind kind, int n) {
  std::unique_ptr<RoutingView> view = std::make_unique<RoutingView>();
  view->zone = "a";
  view->upstreams.resize(n);
  for (int it = 0; it < n; ++it) {
    UpstreamView& upstream = view->upstreams[it];
    upstream.upstream.id = "upstream-" + std::to_string(it);
    upstream.upstream.kind = kind;
    upstream.upstream.pool = "pool";
    upstream.upstream.zone = std::string(1, static_cast<char>('a' + it % 4));
    upstream.responsible_host = "host";
    upstream.assigned = 8 + it % 3;
    upstream.stats = std::make_shared<UpstreamStats>();
    upstream.stats->latency_ns = 5'000'000 + it % 7 * 100'000;
  }
  BuildViewIndexes(*view, nullptr);
  return view;
}

// Shared by the threads of a run.
const RoutingSnapshot& SnapshotOf(UpstreamKind kind, int n) {
  static std::mutex mutex;
  static std::map<std::pair<UpstreamKind, int>, RoutingSnapshotPtr> snapshots;
  const std::lock_guard<std::mutex> lock(mutex);
  RoutingSnapshotPtr& snapshot = snapshots[{kind, n}];
  if (!snapshot) snapshot = MakeRoutingSnapshot(MakeView(kind, n));
  return *snapshot;
}

void BaselineRandom(benchmark::State& state) {
  const RoutingSnapshot& snapshot = SnapshotOf(UpstreamKind::kService, static_cast<int>(state.range(0)));
  std::mt19937_64 random(state.thread_index());
  for (auto _ : state) {
    const ReadView view(snapshot);
    benchmark::DoNotOptimize(view->upstreams[random() % view->upstreams.size()].stats->in_flight.load());
  }
}

void ServiceDecision(benchmark::State& state) {
  const RoutingSnapshot& snapshot = SnapshotOf(UpstreamKind::kService, static_cast<int>(state.range(0)));
  std::mt19937_64 random(state.thread_index());
  const std::vector<UpstreamId> exclude;
  const PoolId pool = "pool";
  for (auto _ : state) {
    const ReadView view(snapshot);
    leaf::result<int> picked = PickService(*view, pool, exclude, kStart, random);
    benchmark::DoNotOptimize(picked);
  }
}

void EngineDecision(benchmark::State& state) {
  const RoutingSnapshot& snapshot = SnapshotOf(UpstreamKind::kEngine, static_cast<int>(state.range(0)));
  std::mt19937_64 random(state.thread_index());
  RequestShape shape;
  shape.model = "pool";
  for (auto _ : state) {
    shape.prefix_hash = random() | 1;
    const ReadView view(snapshot);
    leaf::result<int> picked = PickEngine(*view, shape, kStart, random);
    benchmark::DoNotOptimize(picked);
  }
}

// A decision and the updates of the statistics during a call: start, 4 chunks, end.
void EngineCall(benchmark::State& state) {
  const RoutingSnapshot& snapshot = SnapshotOf(UpstreamKind::kEngine, static_cast<int>(state.range(0)));
  std::mt19937_64 random(state.thread_index());
  RequestShape shape;
  shape.model = "pool";
  for (auto _ : state) {
    shape.prefix_hash = random() | 1;
    const ReadView view(snapshot);
    leaf::result<int> picked = PickEngine(*view, shape, kStart, random);
    UpstreamStats& stats = *view->upstreams[*picked].stats;
    InFlightCall call = StartCall(stats, kStart);
    for (int it = 1; it <= 4; ++it) RecordProgress(stats, call, 1, kStart + it * absl::Milliseconds(5));
    FinishCall(stats, call, UpstreamKind::kEngine, CallOutcome::kOk, kStart + absl::Milliseconds(20));
  }
  // Memory of the routing module for one stream: its InFlightCall and its entry in an engine's queue.
  const double stream = sizeof(InFlightCall) + sizeof(QueuedWork);
  const double upstream =
      sizeof(UpstreamView) + sizeof(UpstreamStats) + 16 * sizeof(std::uint16_t) + 3 * sizeof(int);
  state.counters["bytes_per_stream"] = benchmark::Counter(stream, benchmark::Counter::kAvgThreads);
  state.counters["bytes_per_upstream"] = benchmark::Counter(upstream, benchmark::Counter::kAvgThreads);
}

// Rebuilds a routing view, as the control thread does, and reuses the prefix table of the previous one.
void FinishViewAgain(benchmark::State& state) {
  const std::unique_ptr<RoutingView> old = MakeView(UpstreamKind::kEngine, static_cast<int>(state.range(0)));
  const std::unique_ptr<RoutingView> view = MakeView(UpstreamKind::kEngine, static_cast<int>(state.range(0)));
  for (auto _ : state) BuildViewIndexes(*view, old.get());
}

// Updates of the budget and of the hedge delay for one service call.
void BudgetsAndHedgeDelay(benchmark::State& state) {
  static Budget budget;
  static LatencyWindow window;
  absl::Time now = kStart;
  for (auto _ : state) {
    now += absl::Microseconds(10);
    EarnBudget(budget, now);
    RecordLatency(window, absl::Milliseconds(5));
    benchmark::DoNotOptimize(LatencyPercentile(window, 0.95));
  }
}

// Starts, finishes and enqueues one request in an engine's queue.
void QueueTurn(benchmark::State& state) {
  EngineQueue queue;
  QueuedWork work;
  for (int it = 0; it < state.range(0); ++it) {
    work.id = it + 1;
    work.job = "job-" + std::to_string(it % 10);
    work.expected_tokens = 100 + it % 500;
    static_cast<void>(Enqueue(queue, work));
  }
  for (auto _ : state) {
    std::optional<QueuedWork> next = StartNext(queue);
    FinishWork(queue, *next, next->expected_tokens);
    static_cast<void>(Enqueue(queue, *next));
  }
}

BENCHMARK(BaselineRandom)->Arg(12)->Arg(2900)->Threads(1)->Threads(4)->Threads(8);
BENCHMARK(ServiceDecision)->Arg(3)->Arg(12)->Arg(2900)->Threads(1)->Threads(4)->Threads(8);
BENCHMARK(EngineDecision)->Arg(12)->Arg(2900)->Threads(1)->Threads(4)->Threads(8);
BENCHMARK(EngineCall)->Arg(12)->Arg(2900)->Threads(1)->Threads(4)->Threads(8);
BENCHMARK(FinishViewAgain)->Arg(12)->Arg(2900);
BENCHMARK(BudgetsAndHedgeDelay)->Threads(1)->Threads(8);
BENCHMARK(QueueTurn)->Arg(100)->Arg(4000);

}  // namespace
}  // namespace oleander
