#include "oleander/routing.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace oleander {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000'000);

// Makes `n` upstreams of pool "pool", alternating between zones a, b and c. The host is in zone a.
RoutingView MakeView(UpstreamKind kind, int n) {
  RoutingView view;
  view.zone = "a";
  view.upstreams.resize(n);
  for (int it = 0; it < n; ++it) {
    Upstream& upstream = view.upstreams[it].upstream;
    upstream.id = "upstream-" + std::to_string(it);
    upstream.kind = kind;
    upstream.pool = "pool";
    upstream.zone = std::string(1, static_cast<char>('a' + it % 3));
    if (kind == UpstreamKind::kEngine) view.upstreams[it].responsible_host = "host-" + upstream.zone;
  }
  BuildViewIndexes(view, nullptr);
  return view;
}

void SetLatency(RoutingView& view, int index, absl::Duration latency) {
  view.upstreams[index].stats->latency_ns = absl::ToInt64Nanoseconds(latency);
}

RequestShape Shape(std::uint64_t prefix_hash = 0) {
  RequestShape shape;
  shape.model = "pool";
  shape.prefix_hash = prefix_hash;
  return shape;
}

Outcome<int> TryService(const RoutingView& view, std::mt19937_64& random, absl::Time now = kStart,
                        const std::vector<UpstreamId>& exclude = {}) {
  return Capture<int>([&] { return PickService(view, "pool", exclude, now, random); });
}

Outcome<int> TryEngine(const RoutingView& view, const RequestShape& shape, std::mt19937_64& random,
                       absl::Time now = kStart) {
  return Capture<int>([&] { return PickEngine(view, shape, now, random); });
}

// Returns how often each upstream is selected in `n` decisions made at `now`.
std::map<int, int> CountServiceChoices(const RoutingView& view, int n, std::mt19937_64& random,
                                       absl::Time now = kStart) {
  std::map<int, int> counts;
  for (int it = 0; it < n; ++it) ++counts[Value(TryService(view, random, now))];
  return counts;
}

// ---- Selection of a service ----

// Guards against new work on an upstream that is leaving (invariant 7).
TEST(PickService, NeverPicksLeavingUpstreams) {
  RoutingView view = MakeView(UpstreamKind::kService, 3);
  view.upstreams[0].leaving_since = kStart;
  view.upstreams[1].upstream.state = UpstreamState::kLeaving;
  BuildViewIndexes(view, nullptr);
  std::mt19937_64 random(1);
  EXPECT_EQ(CountServiceChoices(view, 500, random), (std::map<int, int>{{2, 500}}));
  view.upstreams[2].upstream.state = UpstreamState::kRemoved;
  BuildViewIndexes(view, nullptr);
  EXPECT_EQ(ErrorOf(TryService(view, random)).kind, ErrorKind::kNoUpstream);
}

// Guards against a retry on the upstream that has just failed.
TEST(PickService, RetryAvoidsUpstreamsAlreadyTried) {
  const RoutingView view = MakeView(UpstreamKind::kService, 3);
  std::mt19937_64 random(1);
  for (int it = 0; it < 200; ++it)
    EXPECT_EQ(Value(TryService(view, random, kStart, {"upstream-0", "upstream-2"})), 1);
  EXPECT_EQ(ErrorOf(TryService(view, random, kStart, {"upstream-0", "upstream-1", "upstream-2"})).kind,
            ErrorKind::kNoUpstream);
}

// Guards against one upstream getting most of the load because its average latency is lower by chance.
TEST(PickService, SmallLatencyDifferencesDoNotConcentrateLoad) {
  RoutingView view = MakeView(UpstreamKind::kService, 3);
  for (UpstreamView& it : view.upstreams) it.upstream.zone = "a";
  for (int it = 0; it < 3; ++it) SetLatency(view, it, absl::Microseconds(5000 + 400 * it));
  std::mt19937_64 random(2);
  const std::map<int, int> counts = CountServiceChoices(view, 3000, random);
  for (int it = 0; it < 3; ++it) EXPECT_GT(counts.at(it), 700) << it;
}

// Guards against calls that keep going to a slow upstream while its load report still shows low load. Only
// probes are allowed, at intervals that double from 1 s.
TEST(PickService, SlowUpstreamGetsOnlyProbesAtDoublingIntervals) {
  RoutingView view = MakeView(UpstreamKind::kService, 3);
  SetLatency(view, 0, absl::Milliseconds(50));
  SetLatency(view, 1, absl::Milliseconds(5));
  SetLatency(view, 2, absl::Milliseconds(5));
  std::mt19937_64 random(3);
  int slow = 0;
  for (int it = 0; it < 10'000; ++it)
    slow += Value(TryService(view, random, kStart + absl::Milliseconds(it))) == 0;
  EXPECT_EQ(slow, 3);
}

// Guards against an upstream that stays excluded after it has recovered.
TEST(PickService, OneGoodProbeRestoresASlowUpstream) {
  RoutingView view = MakeView(UpstreamKind::kService, 3);
  SetLatency(view, 0, absl::Milliseconds(50));
  SetLatency(view, 1, absl::Milliseconds(5));
  SetLatency(view, 2, absl::Milliseconds(5));
  UpstreamStats& stats = *view.upstreams[0].stats;
  std::mt19937_64 random(4);
  absl::Time now = kStart;
  while (Value(TryService(view, random, now)) != 0) now += absl::Milliseconds(1);
  const InFlightCall call = StartCall(stats, now);
  EXPECT_TRUE(call.probe);
  FinishCall(stats, call, UpstreamKind::kService, CallOutcome::kOk, now + absl::Milliseconds(5));
  EXPECT_EQ(HealthOf(view.upstreams[0], MedianLatency(view, "pool"), now), UpstreamHealth::kHealthy);
}

// Guards against calls sent to an upstream that fails all calls, and against never using it again after it
// has recovered.
TEST(PickService, FailingUpstreamIsSkippedUntilAProbeSucceeds) {
  const RoutingView view = MakeView(UpstreamKind::kService, 3);
  UpstreamStats& stats = *view.upstreams[0].stats;
  for (int it = 0; it < 3; ++it)
    FinishCall(stats, StartCall(stats, kStart), UpstreamKind::kService, CallOutcome::kFailed, kStart);
  EXPECT_EQ(HealthOf(view.upstreams[0], 0, kStart), UpstreamHealth::kFailing);
  std::mt19937_64 random(5);
  EXPECT_EQ(CountServiceChoices(view, 500, random).count(0), 0u);
  EXPECT_EQ(CountServiceChoices(view, 500, random, kStart + absl::Milliseconds(1500)).at(0), 1);
  FinishCall(stats, StartCall(stats, kStart), UpstreamKind::kService, CallOutcome::kOk, kStart);
  EXPECT_EQ(HealthOf(view.upstreams[0], 0, kStart), UpstreamHealth::kHealthy);
}

// Guards against a pool that refuses every call because all of its upstreams are slow.
TEST(PickService, UsesSlowUpstreamsIfThereIsNoOther) {
  RoutingView view = MakeView(UpstreamKind::kService, 3);
  SetLatency(view, 0, absl::Milliseconds(5));
  SetLatency(view, 1, absl::Milliseconds(5));
  SetLatency(view, 2, absl::Milliseconds(50));
  std::mt19937_64 random(6);
  for (int it = 0; it < 100; ++it)
    EXPECT_EQ(Value(TryService(view, random, kStart, {"upstream-0", "upstream-1"})), 2);
}

// Guards against calls above the limit, and against overload being reported as kNoUpstream.
TEST(PickService, RefusesAsOverloadedIfAllAreAtTheirLimit) {
  RoutingView view = MakeView(UpstreamKind::kService, 3);
  for (UpstreamView& it : view.upstreams) {
    it.policy.service_max_in_flight = 2;
    it.stats->in_flight = 2;
  }
  std::mt19937_64 random(7);
  EXPECT_EQ(ErrorOf(TryService(view, random)).kind, ErrorKind::kOverloaded);
  view.upstreams[1].stats->in_flight = 1;
  for (int it = 0; it < 100; ++it) EXPECT_EQ(Value(TryService(view, random)), 1);
}

// Guards against an upstream whose queue grows while callers send more than it can serve, and against a limit
// that remains after the peak.
TEST(PickService, LimitsCallsInFlightWhileLatencyIsAboveBaseline) {
  const RoutingView view = MakeView(UpstreamKind::kService, 1);
  UpstreamStats& stats = *view.upstreams[0].stats;
  std::mt19937_64 random(15);
  absl::Time now = kStart;
  const auto call = [&](absl::Duration latency) {
    const InFlightCall in_flight_call = StartCall(stats, now);
    now += latency;
    FinishCall(stats, in_flight_call, UpstreamKind::kService, CallOutcome::kOk, now);
  };
  for (int it = 0; it < 100; ++it) call(absl::Milliseconds(10));
  EXPECT_TRUE(Ok(TryService(view, random, now)));
  stats.in_flight = 8;
  for (int it = 0; it < 100; ++it) call(absl::Milliseconds(40));
  EXPECT_EQ(ErrorOf(TryService(view, random, now)).kind, ErrorKind::kOverloaded);
  stats.in_flight = 0;
  EXPECT_TRUE(Ok(TryService(view, random, now)));
  for (int it = 0; it < 1000; ++it) call(absl::Milliseconds(10));
  stats.in_flight = 60;
  EXPECT_TRUE(Ok(TryService(view, random, now)));
}

// Guards against calls across a partition, and against an error that does not name the partition as the
// cause.
TEST(PickService, CutOffZoneUsesItsOwnUpstreams) {
  RoutingView view = MakeView(UpstreamKind::kService, 6);
  view.zone_cut_off = true;
  BuildViewIndexes(view, nullptr);
  std::mt19937_64 random(8);
  for (const auto& [index, count] : CountServiceChoices(view, 200, random))
    EXPECT_EQ(view.upstreams[index].upstream.zone, "a") << count;
  view.zone = "d";
  BuildViewIndexes(view, nullptr);
  EXPECT_EQ(ErrorOf(TryService(view, random)).kind, ErrorKind::kZoneIsolated);
}

TEST(PickService, PrefersOwnZoneAtEqualCost) {
  const RoutingView view = MakeView(UpstreamKind::kService, 3);
  std::mt19937_64 random(9);
  const std::map<int, int> counts = CountServiceChoices(view, 3000, random);
  EXPECT_GT(counts.at(0), counts.at(1) + 300);
  EXPECT_GT(counts.at(0), counts.at(2) + 300);
}

// ---- Health ----

// Guards against a hung service call that is not detected: it never ends, so its latency never enters the
// average.
TEST(Health, OldCallMakesAServiceSlowBeforeItEnds) {
  const RoutingView view = MakeView(UpstreamKind::kService, 3);
  const UpstreamView& upstream = view.upstreams[0];
  const std::int64_t median = 5'000'000;
  const InFlightCall hung = StartCall(*upstream.stats, kStart);
  EXPECT_EQ(HealthOf(upstream, median, kStart + absl::Milliseconds(49)), UpstreamHealth::kHealthy);
  EXPECT_EQ(HealthOf(upstream, median, kStart + absl::Milliseconds(51)), UpstreamHealth::kSlow);
  // Calls that finish normally must not hide the one that hangs.
  const absl::Time later = kStart + absl::Milliseconds(60);
  FinishCall(*upstream.stats, StartCall(*upstream.stats, later), UpstreamKind::kService, CallOutcome::kOk,
             later + absl::Milliseconds(5));
  EXPECT_EQ(HealthOf(upstream, median, later), UpstreamHealth::kSlow);
  FinishCall(*upstream.stats, hung, UpstreamKind::kService, CallOutcome::kUnknown, later);
  EXPECT_EQ(HealthOf(upstream, median, later), UpstreamHealth::kHealthy);
}

// Guards against engines with a long queue counting as slow, and against a stalled engine counting as
// healthy.
TEST(Health, EngineIsJudgedByTokensNotByQueueing) {
  const RoutingView view = MakeView(UpstreamKind::kEngine, 3);
  const UpstreamView& upstream = view.upstreams[0];
  const std::int64_t median = 20'000'000;
  InFlightCall call = StartCall(*upstream.stats, kStart);
  absl::Time now = kStart + absl::Seconds(90);
  EXPECT_EQ(HealthOf(upstream, median, now), UpstreamHealth::kHealthy);
  RecordProgress(*upstream.stats, call, 1, now);
  EXPECT_EQ(upstream.stats->latency_ns.load(), 0);
  now += absl::Milliseconds(40);
  RecordProgress(*upstream.stats, call, 2, now);
  EXPECT_EQ(upstream.stats->latency_ns.load(), 20'000'000);
  EXPECT_EQ(HealthOf(upstream, median, now + absl::Milliseconds(59)), UpstreamHealth::kHealthy);
  EXPECT_EQ(HealthOf(upstream, median, now + absl::Milliseconds(61)), UpstreamHealth::kSlow);
}

// Guards against new requests to an engine from which a stalled stream has just been moved. With nothing in
// flight there, only the recorded stall shows that the engine is slow.
TEST(Health, StalledStreamMarksItsEngineAsSlow) {
  RoutingView view = MakeView(UpstreamKind::kEngine, 3);
  EXPECT_EQ(StallLimit(view, "pool"), absl::InfiniteDuration());
  for (int it = 0; it < 3; ++it) SetLatency(view, it, absl::Milliseconds(20));
  UpstreamStats& stats = *view.upstreams[0].stats;
  InFlightCall call = StartCall(stats, kStart);
  RecordProgress(stats, call, 1, kStart);
  const absl::Time given_up = kStart + StallLimit(view, "pool");
  FinishCall(stats, call, UpstreamKind::kEngine, CallOutcome::kStalled, given_up);
  EXPECT_EQ(HealthOf(view.upstreams[0], MedianLatency(view, "pool"), given_up), UpstreamHealth::kSlow);
  EXPECT_EQ(stats.failures_in_row.load(), 0);
}

// Guards against a pool of two in which the slow upstream sets the median and so counts as healthy.
TEST(Health, MedianOfTwoIsTheFasterOne) {
  RoutingView view = MakeView(UpstreamKind::kService, 2);
  SetLatency(view, 0, absl::Milliseconds(50));
  SetLatency(view, 1, absl::Milliseconds(5));
  EXPECT_EQ(MedianLatency(view, "pool"), 5'000'000);
  EXPECT_EQ(HealthOf(view.upstreams[0], MedianLatency(view, "pool"), kStart), UpstreamHealth::kSlow);
}

// ---- Selection of an engine ----

// Guards against two hosts sending the same prefix to different engines, and against a change of the set of
// engines that moves most prefixes and so invalidates the engines' prefix caches.
TEST(PickEngine, PrefixesStayWithTheirEngine) {
  const RoutingView view = MakeView(UpstreamKind::kEngine, 12);
  RoutingView reordered = MakeView(UpstreamKind::kEngine, 12);
  std::reverse(reordered.upstreams.begin(), reordered.upstreams.end());
  reordered.zone = "b";
  BuildViewIndexes(reordered, nullptr);
  RoutingView smaller = MakeView(UpstreamKind::kEngine, 12);
  smaller.upstreams[5].leaving_since = kStart;
  BuildViewIndexes(smaller, &view);
  std::mt19937_64 random(10);
  int moved = 0;
  std::set<UpstreamId> used;
  for (int it = 0; it < 1000; ++it) {
    const RequestShape shape = Shape(PrefixHash("prompt " + std::to_string(it)));
    const UpstreamId here = view.upstreams[Value(TryEngine(view, shape, random))].upstream.id;
    EXPECT_EQ(reordered.upstreams[Value(TryEngine(reordered, shape, random))].upstream.id, here);
    const UpstreamId after = smaller.upstreams[Value(TryEngine(smaller, shape, random))].upstream.id;
    EXPECT_NE(after, "upstream-5");
    moved += after != here;
    used.insert(here);
  }
  EXPECT_EQ(used.size(), 12u);
  EXPECT_LT(moved, 170);  // 1/12 have to move
}

// Guards against a popular prefix that overloads its engine while others are idle.
TEST(PickEngine, PopularPrefixIsSpreadAboveTheLoadBound) {
  RoutingView view = MakeView(UpstreamKind::kEngine, 12);
  std::mt19937_64 random(11);
  for (int it = 0; it < 600; ++it) {
    const int index = Value(TryEngine(view, Shape(42), random));
    view.upstreams[index].stats->in_flight.fetch_add(1);
  }
  int highest = 0;
  for (const UpstreamView& it : view.upstreams) highest = std::max(highest, it.stats->in_flight.load());
  EXPECT_LE(highest, 56);  // 600 / 12 * 1.1, rounded up
}

// Guards against herding: while the load report lags, not every request may go to the engine that it shows as
// empty.
TEST(PickEngine, OwnRequestsCountBeforeTheReportShowsThem) {
  RoutingView view = MakeView(UpstreamKind::kEngine, 12);
  for (int it = 0; it < 12; ++it) view.upstreams[it].load.running = it == 0 ? 0 : 10;
  BuildViewIndexes(view, nullptr);
  std::mt19937_64 random(12);
  for (int it = 0; it < 240; ++it)
    view.upstreams[Value(TryEngine(view, Shape(), random))].stats->in_flight.fetch_add(1);
  for (const UpstreamView& it : view.upstreams) EXPECT_LE(it.stats->in_flight.load() + it.other_load, 34);
}

// Guards against requests to an engine whose queue no host holds.
TEST(PickEngine, SkipsEnginesWithoutResponsibleHost) {
  RoutingView view = MakeView(UpstreamKind::kEngine, 12);
  for (int it = 0; it < 11; ++it) view.upstreams[it].responsible_host.clear();
  std::mt19937_64 random(13);
  for (int it = 1; it < 100; ++it) EXPECT_EQ(Value(TryEngine(view, Shape(it), random)), 11);
}

// Guards against tokens that the staleness check would discard: an engine that fails to swap weights stays on
// an old version.
TEST(PickEngine, SkipsEnginesWithOlderWeightsThanAsked) {
  RoutingView view = MakeView(UpstreamKind::kEngine, 12);
  for (int it = 0; it < 12; ++it) view.upstreams[it].load.version = it < 10 ? 7 : 9;
  view.upstreams[0].load.version = 0;  // not reported: may be new
  std::mt19937_64 random(16);
  RequestShape shape = Shape();
  shape.min_version = 8;
  std::set<int> used;
  for (int it = 0; it < 200; ++it) {
    shape.prefix_hash = it;
    used.insert(Value(TryEngine(view, shape, random)));
  }
  EXPECT_EQ(used, (std::set<int>{0, 10, 11}));
  shape.min_version = 10;
  shape.exclude = {"upstream-0"};
  EXPECT_EQ(ErrorOf(TryEngine(view, shape, random)).kind, ErrorKind::kNoUpstream);
}

// Guards against random draws that miss the few live upstreams of a large pool, or select a leaving one.
TEST(PickEngine, LeavingEnginesOfALargePoolAreNeverPicked) {
  RoutingView view = MakeView(UpstreamKind::kEngine, 2900);
  for (int it = 0; it < 2890; ++it) view.upstreams[it].leaving_since = kStart;
  BuildViewIndexes(view, nullptr);
  std::mt19937_64 random(14);
  for (int it = 0; it < 1000; ++it) EXPECT_GE(Value(TryEngine(view, Shape(it), random)), 2890);
}

// ---- Budgets ----

// Guards against a retry storm: a window must not allow more than the floor or the ratio.
TEST(Budget, HoldsTheRatioOverSlidingWindows) {
  Budget budget;
  absl::Time now = kStart;
  int spent = 0;
  for (int it = 0; it < 60'000; ++it) {
    EarnBudget(budget, now);
    spent += SpendBudget(budget, now);
    now += absl::Milliseconds(1);
  }
  EXPECT_LE(spent, 6000 + 2);
  EXPECT_GE(spent, 5000);
}

// Guards against a host with few requests that can never retry, and against budget that accumulates while the
// host is idle.
TEST(Budget, IdleHostsGetTheFloorAndAccumulateNothing) {
  Budget budget;
  EXPECT_TRUE(SpendBudget(budget, kStart));
  EXPECT_TRUE(SpendBudget(budget, kStart));
  EXPECT_FALSE(SpendBudget(budget, kStart));
  const absl::Time busy = kStart + absl::Seconds(100);
  for (int it = 0; it < 1000; ++it) EarnBudget(budget, busy);
  const absl::Time later = busy + absl::Seconds(60);
  int spent = 0;
  for (int it = 0; it < 100; ++it) spent += SpendBudget(budget, later);
  EXPECT_EQ(spent, 2);
}

TEST(LatencyWindow, GivesPercentilesWithinABucket) {
  LatencyWindow window;
  for (int it = 0; it < 19; ++it) RecordLatency(window, absl::Milliseconds(5));
  EXPECT_EQ(LatencyPercentile(window, 0.95), absl::InfiniteDuration());
  for (int it = 0; it < 5000; ++it) RecordLatency(window, absl::Milliseconds(it % 100 < 90 ? 5 : 50));
  EXPECT_LE(LatencyPercentile(window, 0.5), absl::Milliseconds(6));
  EXPECT_GE(LatencyPercentile(window, 0.95), absl::Milliseconds(50));
  EXPECT_LE(LatencyPercentile(window, 0.95), absl::Milliseconds(60));
}

// Guards against a hedge delay that stays high long after a slow period has ended.
TEST(LatencyWindow, OldLatenciesLoseWeight) {
  LatencyWindow window;
  for (int it = 0; it < 2000; ++it) RecordLatency(window, absl::Milliseconds(500));
  for (int it = 0; it < 8000; ++it) RecordLatency(window, absl::Milliseconds(5));
  EXPECT_LE(LatencyPercentile(window, 0.95), absl::Milliseconds(6));
}

}  // namespace
}  // namespace oleander
