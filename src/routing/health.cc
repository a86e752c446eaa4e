// Detects slow and failing upstreams from this host's own calls, and adapts the limit of calls in flight.
#include <algorithm>
#include <cassert>

#include "oleander/routing.h"
#include "routing/internal.h"

namespace oleander {
namespace {

constexpr int kFailingThreshold = 3;  // consecutive failed calls
constexpr std::int64_t kSlowRatio = 3;
constexpr std::int64_t kMinStallNs = 50'000'000;
constexpr std::int64_t kBaselineDivisor = 256;
// While calls are limited, the baseline latency changes so slowly that an hour of overload does not become
// the baseline.
constexpr std::int64_t kLimitedBaselineDivisor = 262144;
constexpr std::int32_t kMaxLimitX16 = 4096 * 16;         // maximum of service_max_in_flight
constexpr std::int64_t kLimitRemovalNs = 5'000'000'000;  // since the limit was last lowered
constexpr std::int64_t kAverageDivisor = 8;              // weight of a sample in the moving average is 1/8

void AddSample(UpstreamStats& stats, std::int64_t sample_ns, bool probe) {
  sample_ns = std::max<std::int64_t>(sample_ns, 1);
  std::int64_t old = stats.latency_ns.load(std::memory_order_relaxed);
  std::int64_t next = 0;
  do {
    // A probe replaces the average. Probes are rare, so a recovered upstream would otherwise count as slow
    // for many of them.
    next = old == 0 || probe ? sample_ns : old + (sample_ns - old) / kAverageDivisor;
  } while (!stats.latency_ns.compare_exchange_weak(old, std::max<std::int64_t>(next, 1),
                                                   std::memory_order_relaxed));
}

void UpdateOldest(UpstreamStats& stats) {
  std::int64_t oldest = 0;
  for (const std::atomic<std::int64_t>& it : stats.starts) {
    const std::int64_t start = it.load(std::memory_order_relaxed);
    if (start != 0 && (oldest == 0 || start < oldest)) oldest = start;
  }
  stats.oldest_start_ns.store(oldest, std::memory_order_relaxed);
}

// Adapts the limit to the number of calls of this host that the upstream serves without queueing. Load
// reports arrive too late for this, and the policy's limit per host does not depend on the number of hosts.
void UpdateLimit(UpstreamStats& stats, std::int64_t sample_ns, std::int64_t now_ns) {
  const std::int64_t average = stats.latency_ns.load(std::memory_order_relaxed);
  std::int64_t baseline = stats.baseline_ns.load(std::memory_order_relaxed);
  const std::int32_t limit = stats.limit_x16.load(std::memory_order_relaxed);
  const std::int64_t divisor = limit == 0 ? kBaselineDivisor : kLimitedBaselineDivisor;
  baseline = baseline == 0 ? sample_ns : baseline + (sample_ns - baseline) / divisor;
  stats.baseline_ns.store(std::max<std::int64_t>(baseline, 1), std::memory_order_relaxed);
  if (average * 2 > baseline * 3) {
    std::int64_t last = stats.limit_lowered_at_ns.load(std::memory_order_relaxed);
    if (now_ns - last < average) return;  // the last reduction has not taken effect yet
    if (!stats.limit_lowered_at_ns.compare_exchange_strong(last, now_ns, std::memory_order_relaxed)) return;
    const int in_flight = stats.in_flight.load(std::memory_order_relaxed) + 1;
    const int current = limit == 0 ? in_flight * 16 : std::min<int>(limit, in_flight * 16);
    stats.limit_x16.store(std::max(16, current * 9 / 10), std::memory_order_relaxed);
    return;
  }
  if (limit == 0) return;
  const std::int32_t raised = limit + std::max(1, 16 * 16 / limit);
  const bool remove_limit =
      raised >= kMaxLimitX16 || now_ns - stats.limit_lowered_at_ns.load() > kLimitRemovalNs;
  stats.limit_x16.store(remove_limit ? 0 : raised, std::memory_order_relaxed);
}

bool IsStalled(const UpstreamStats& stats, UpstreamKind kind, std::int64_t median_ns, std::int64_t now_ns) {
  if (stats.in_flight.load(std::memory_order_relaxed) == 0) return false;
  const std::int64_t oldest = stats.oldest_start_ns.load(std::memory_order_relaxed);
  if (oldest == 0) return false;
  const std::int64_t limit = std::max(kSlowRatio * median_ns, kMinStallNs);
  if (kind == UpstreamKind::kService) return now_ns - oldest > limit;
  // Before its first token, an engine call may still be in the responsible host's queue.
  const std::int64_t progress = stats.progress_at_ns.load(std::memory_order_relaxed);
  return progress >= oldest && now_ns - progress > limit;
}

}  // namespace

UpstreamHealth HealthOfStats(const UpstreamStats& stats, UpstreamKind kind, std::int64_t median_ns,
                             std::int64_t now_ns) {
  if (stats.failures_in_row.load(std::memory_order_relaxed) >= kFailingThreshold)
    return UpstreamHealth::kFailing;
  if (median_ns == 0) return UpstreamHealth::kHealthy;
  if (stats.latency_ns.load(std::memory_order_relaxed) > kSlowRatio * median_ns) return UpstreamHealth::kSlow;
  return IsStalled(stats, kind, median_ns, now_ns) ? UpstreamHealth::kSlow : UpstreamHealth::kHealthy;
}

absl::Duration StallLimit(const RoutingView& view, const PoolId& pool) {
  const std::int64_t median_ns = MedianLatency(view, pool);
  if (median_ns == 0) return absl::InfiniteDuration();
  // Just above the limit that HealthOf uses, so that the upstream then counts as slow.
  return absl::Nanoseconds(std::max(kSlowRatio * median_ns, kMinStallNs) + 1);
}

UpstreamHealth HealthOf(const UpstreamView& upstream, std::int64_t pool_median_ns, absl::Time now) {
  return HealthOfStats(*upstream.stats, upstream.upstream.kind, pool_median_ns, absl::ToUnixNanos(now));
}

InFlightCall StartCall(UpstreamStats& stats, absl::Time now) {
  InFlightCall call;
  call.start_ns = std::max<std::int64_t>(absl::ToUnixNanos(now), 1);
  stats.in_flight.fetch_add(1, std::memory_order_relaxed);
  if (stats.probe_pending.load(std::memory_order_relaxed))
    call.probe = stats.probe_pending.exchange(false, std::memory_order_relaxed);
  for (int it = 0; it < kMaxTimedCalls; ++it) {
    std::int64_t free = 0;
    if (stats.starts[it].load(std::memory_order_relaxed) != 0) continue;
    if (!stats.starts[it].compare_exchange_strong(free, call.start_ns, std::memory_order_relaxed)) continue;
    call.timed_index = it;
    break;
  }
  std::int64_t none = 0;
  if (call.timed_index >= 0)
    stats.oldest_start_ns.compare_exchange_strong(none, call.start_ns, std::memory_order_relaxed);
  return call;
}

void RecordProgress(UpstreamStats& stats, InFlightCall& call, int tokens, absl::Time now) {
  const std::int64_t now_ns = absl::ToUnixNanos(now);
  if (call.progress_ns != 0 && tokens > 0) AddSample(stats, (now_ns - call.progress_ns) / tokens, call.probe);
  call.progress_ns = now_ns;
  stats.progress_at_ns.store(now_ns, std::memory_order_relaxed);
}

void FinishCall(UpstreamStats& stats, const InFlightCall& call, UpstreamKind kind, CallOutcome outcome,
                absl::Time now) {
  const std::int64_t now_ns = absl::ToUnixNanos(now);
  [[maybe_unused]] const int before = stats.in_flight.fetch_sub(1, std::memory_order_relaxed);
  assert(before > 0 && "FinishCall without StartCall");
  if (call.timed_index >= 0) {
    stats.starts[call.timed_index].store(0, std::memory_order_relaxed);
    if (call.start_ns <= stats.oldest_start_ns.load(std::memory_order_relaxed)) UpdateOldest(stats);
  }
  if (outcome == CallOutcome::kUnknown) return;
  if (outcome == CallOutcome::kStalled) {
    // Replaces the average, because a stall lasts for more than 3 times the median.
    const std::int64_t since = call.progress_ns != 0 ? call.progress_ns : call.start_ns;
    AddSample(stats, now_ns - since, true);
    return;
  }
  stats.progress_at_ns.store(now_ns, std::memory_order_relaxed);
  if (outcome == CallOutcome::kFailed) {
    stats.failures_in_row.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  stats.failures_in_row.store(0, std::memory_order_relaxed);
  if (kind != UpstreamKind::kService) return;
  AddSample(stats, now_ns - call.start_ns, call.probe);
  UpdateLimit(stats, now_ns - call.start_ns, now_ns);
}

}  // namespace oleander
