// Selection of a service or an engine for one request.
#include <algorithm>
#include <array>
#include <cmath>

#include "oleander/routing.h"
#include "routing/internal.h"

namespace oleander {
namespace {

// The interval between probes of an upstream doubles while it does not recover, because each probe is a
// request that is likely to be slow.
constexpr std::int64_t kMinProbeIntervalNs = 1'000'000'000;
// Longer for engines, because a generation used as a probe takes seconds.
constexpr std::int64_t kFirstEngineProbeNs = 4'000'000'000;
constexpr std::int64_t kMaxProbeIntervalNs = 8'000'000'000;
// Latencies below this multiple of the median count as equal, because such differences are noise. Without the
// threshold, the upstream with the lowest average would win every comparison and get two thirds of the load
// of a pool of three.
constexpr double kEqualLatencyRatio = 1.5;
// Generations of a job queued at each engine. With fewer, a job with short samples sometimes has none queued
// and loses part of its share to jobs with long samples.
constexpr int kWaitingPerEngine = 4;
constexpr int kMaxRandomDraws = 6;     // attempts to find two upstreams that can accept the request
constexpr int kMaxFallbackScan = 64;   // upstreams evaluated if the draws found none
constexpr double kReportNoise = 0.75;  // error of a late load report, in square roots of the mean load
constexpr int kPrefixCandidates = 4;   // engines per prefix: the preferred one and its alternates

struct Selection {
  const RoutingView& view;
  const std::vector<UpstreamId>& exclude;
  std::int64_t median_ns;
  std::int64_t now_ns;
  bool probes_allowed;
  Version min_version;
  int best = -1;               // index of the best healthy upstream, or of the one to probe; -1: none
  double best_cost = 0;        //
  int best_slow = -1;          // index of the best slow one, the fallback; -1: none
  double best_slow_cost = 0;   //
  bool limit_reached = false;  // at least one upstream was rejected because it is at its limit
};

enum class Evaluation { kRejected, kCandidate, kProbe };

bool IsExcluded(const Selection& selection, const UpstreamView& upstream) {
  for (const UpstreamId& it : selection.exclude) {
    if (it == upstream.upstream.id) return true;
  }
  return false;
}

bool IsFull(const UpstreamView& upstream) {
  if (upstream.upstream.kind == UpstreamKind::kService) {
    const int in_flight = upstream.stats->in_flight.load(std::memory_order_relaxed);
    const int adaptive_limit_x16 = upstream.stats->limit_x16.load(std::memory_order_relaxed);
    return in_flight >= upstream.policy.service_max_in_flight ||
           (adaptive_limit_x16 > 0 && in_flight * 16 >= adaptive_limit_x16);
  }
  return LoadOf(upstream) >= upstream.policy.engine_max_in_flight + upstream.policy.engine_queue_length;
}

double CostOf(const Selection& selection, const UpstreamView& upstream) {
  const double load = upstream.upstream.kind == UpstreamKind::kService
                          ? upstream.stats->in_flight.load(std::memory_order_relaxed)
                          : LoadOf(upstream);
  if (selection.median_ns == 0) return load + 1;
  const double ratio = static_cast<double>(upstream.stats->latency_ns.load(std::memory_order_relaxed)) /
                       static_cast<double>(selection.median_ns);
  return (load + 1) * (ratio < kEqualLatencyRatio ? 1 : ratio);
}

// Returns true for one call per probe interval. The first call after the upstream was healthy only starts the
// first interval.
bool TryStartProbe(UpstreamStats& stats, UpstreamKind kind, std::int64_t now_ns) {
  std::int64_t due = stats.probe_at_ns.load(std::memory_order_relaxed);
  if (now_ns < due) return false;
  const std::int64_t interval = stats.probe_interval_ns.load(std::memory_order_relaxed);
  const bool first = due == 0 || now_ns - due > 2 * kMaxProbeIntervalNs;
  const std::int64_t next = first
                                ? (kind == UpstreamKind::kEngine ? kFirstEngineProbeNs : kMinProbeIntervalNs)
                                : std::min(2 * interval, kMaxProbeIntervalNs);
  if (!stats.probe_at_ns.compare_exchange_strong(due, now_ns + next, std::memory_order_relaxed)) return false;
  stats.probe_interval_ns.store(next, std::memory_order_relaxed);
  return !first;
}

bool IsBetter(const Selection& selection, const UpstreamView& upstream, double cost) {
  if (selection.best < 0) return true;
  if (cost != selection.best_cost) return cost < selection.best_cost;
  const bool local = upstream.upstream.zone == selection.view.zone;
  return local && selection.view.upstreams[selection.best].upstream.zone != selection.view.zone;
}

// Stores the upstream in `selection` if it is better than those evaluated before.
Evaluation Evaluate(Selection& selection, int index) {
  const UpstreamView& upstream = selection.view.upstreams[index];
  if (index == selection.best || index == selection.best_slow) return Evaluation::kRejected;
  if (upstream.upstream.kind == UpstreamKind::kEngine && upstream.responsible_host.empty())
    return Evaluation::kRejected;
  if (upstream.load.version != 0 && upstream.load.version < selection.min_version)
    return Evaluation::kRejected;
  if (!selection.exclude.empty() && IsExcluded(selection, upstream)) return Evaluation::kRejected;
  if (IsFull(upstream)) {
    selection.limit_reached = true;
    return Evaluation::kRejected;
  }
  const UpstreamHealth health =
      HealthOfStats(*upstream.stats, upstream.upstream.kind, selection.median_ns, selection.now_ns);
  if (health != UpstreamHealth::kHealthy && selection.probes_allowed &&
      TryStartProbe(*upstream.stats, upstream.upstream.kind, selection.now_ns)) {
    upstream.stats->probe_pending.store(true, std::memory_order_relaxed);
    selection.best = index;
    return Evaluation::kProbe;
  }
  if (health == UpstreamHealth::kFailing) return Evaluation::kRejected;
  const double cost = CostOf(selection, upstream);
  if (health == UpstreamHealth::kSlow) {
    if (selection.best_slow >= 0 && selection.best_slow_cost <= cost) return Evaluation::kRejected;
    selection.best_slow = index;
    selection.best_slow_cost = cost;
    return Evaluation::kRejected;
  }
  if (IsBetter(selection, upstream, cost)) {
    selection.best = index;
    selection.best_cost = cost;
  }
  return Evaluation::kCandidate;
}

int RandomOf(const std::vector<int>& indexes, std::mt19937_64& random) {
  // Multiply and shift; the bias is below n / 2^32.
  return indexes[((random() >> 32) * indexes.size()) >> 32];
}

// Evaluates random upstreams until two can accept the request, with a bounded number of draws. If none can,
// scans a bounded number of upstreams.
void SelectAtRandom(Selection& selection, const PoolIndex& pool, std::mt19937_64& random) {
  const int n = static_cast<int>(pool.usable.size());
  int candidates = 0;
  for (int it = 0; it < kMaxRandomDraws && candidates < 2; ++it) {
    const Evaluation evaluation = Evaluate(selection, RandomOf(pool.usable, random));
    if (evaluation == Evaluation::kProbe) return;
    if (evaluation == Evaluation::kCandidate) ++candidates;
  }
  if (selection.best >= 0) return;
  const int start = static_cast<int>(((random() >> 32) * static_cast<std::uint64_t>(n)) >> 32);
  for (int it = 0; it < std::min(n, kMaxFallbackScan); ++it) {
    if (Evaluate(selection, pool.usable[(start + it) % n]) == Evaluation::kProbe) return;
  }
}

leaf::result<int> SelectionResult(const Selection& selection, const PoolId& pool) {
  if (selection.best >= 0) return selection.best;
  if (selection.best_slow >= 0) return selection.best_slow;
  if (selection.limit_reached)
    return Fail(ErrorKind::kOverloaded,
                "pool " + pool + ": all upstreams evaluated are at their limit of requests");
  return Fail(
      ErrorKind::kNoUpstream,
      "pool " + pool +
          ": all upstreams evaluated are failing, excluded, without a responsible host or on old weights");
}

// Errors: kNoUpstream, kZoneIsolated.
leaf::result<const PoolIndex*> FindPool(const RoutingView& view, const PoolId& id) {
  const auto it = view.pools.find(id);
  if (it == view.pools.end()) return Fail(ErrorKind::kNoUpstream, "pool " + id + " is unknown");
  if (it->second.all_cut_off)
    return Fail(ErrorKind::kZoneIsolated, "pool " + id + " has upstreams only in zones that are cut off");
  if (it->second.usable.empty()) return Fail(ErrorKind::kNoUpstream, "pool " + id + " has no live upstream");
  return &it->second;
}

// Maximum load at which an engine keeps its prefixes: affinity_load_bound times the mean. Reports that are a
// second old differ from the current load by about the square root of the mean, so an engine may exceed the
// bound by that much while it has free slots.
double PrefixLoadBound(const Policy& policy, double mean, std::size_t n) {
  const double bound = std::ceil(policy.affinity_load_bound * (mean + 1 / static_cast<double>(n)));
  const double slots = policy.engine_max_in_flight - policy.engine_reserved_interactive;
  return std::max(bound, std::min(std::ceil(bound + kReportNoise * std::sqrt(mean)), slots));
}

// Evaluates the engines that the prefix maps to, in order, and skips those above the load bound. Returns true
// if one was selected.
bool SelectByPrefix(Selection& selection, const PoolIndex& pool, const RequestShape& shape) {
  const double mean = PoolMeanLoad(selection.view, pool);
  const std::vector<std::uint16_t>& positions = pool.prefixes->positions;
  std::uint64_t hash = shape.prefix_hash;
  for (int it = 0; it < kPrefixCandidates; ++it) {
    hash = MixHash(hash);
    const int index = pool.prefix_engines[positions[hash % positions.size()]];
    const UpstreamView& upstream = selection.view.upstreams[index];
    const double bound = PrefixLoadBound(upstream.policy, mean, pool.usable.size());
    if (LoadOf(upstream) + 1 > bound) continue;
    if (Evaluate(selection, index) != Evaluation::kRejected) return true;
  }
  return false;
}

}  // namespace

leaf::result<int> PickService(const RoutingView& view, const PoolId& pool,
                              const std::vector<UpstreamId>& exclude, absl::Time now,
                              std::mt19937_64& random) {
  BOOST_LEAF_AUTO(index, FindPool(view, pool));
  Selection selection{view, exclude, PoolMedianLatency(view, *index), absl::ToUnixNanos(now), exclude.empty(),
                      0};
  SelectAtRandom(selection, *index, random);
  return SelectionResult(selection, pool);
}

leaf::result<int> PickEngine(const RoutingView& view, const RequestShape& shape, absl::Time now,
                             std::mt19937_64& random) {
  BOOST_LEAF_AUTO(index, FindPool(view, shape.model));
  Selection selection{view,
                      shape.exclude,
                      PoolMedianLatency(view, *index),
                      absl::ToUnixNanos(now),
                      shape.exclude.empty(),
                      shape.min_version};
  if (shape.prefix_hash != 0 && SelectByPrefix(selection, *index, shape)) return selection.best;
  SelectAtRandom(selection, *index, random);
  return SelectionResult(selection, shape.model);
}

int DispatchWindow(const RoutingView& view, const PoolId& model, int jobs) {
  const auto pool = view.pools.find(model);
  if (pool == view.pools.end()) return 0;
  double slots = 0;
  for (const int it : pool->second.usable) {
    const Policy& policy = view.upstreams[it].policy;
    slots += policy.engine_max_in_flight - policy.engine_reserved_interactive;
  }
  const double waiting = kWaitingPerEngine * static_cast<double>(pool->second.usable.size());
  return static_cast<int>(std::ceil(slots / std::max(1, jobs) + waiting));
}

std::uint64_t PrefixHash(const std::string& prompt, int prefix_bytes) {
  const std::size_t n = std::min<std::size_t>(prompt.size(), prefix_bytes);
  const std::uint64_t hash = HashBytes(prompt.data(), n);
  return hash == 0 ? 1 : hash;  // 0 means "no affinity"
}

}  // namespace oleander
