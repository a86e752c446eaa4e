// Budgets for retries and hedges, and the histogram of recent latencies.
#include <algorithm>
#include <cmath>

#include "oleander/routing.h"

namespace oleander {
namespace {

constexpr std::int64_t kWindowNs = 10'000'000'000;
constexpr double kBucketBase = 1.2;
constexpr std::uint32_t kMinSamples = 20;
constexpr std::uint32_t kMaxSamples = 1024;  // all counts are then halved, so that old calls lose weight

// Starts a new window if the current one has ended. A call that runs at the same time may be counted in
// either window.
void RotateWindow(Budget& budget, std::int64_t now_ns) {
  std::int64_t start = budget.window_start_ns.load(std::memory_order_relaxed);
  if (start != 0 && now_ns - start < kWindowNs) return;
  const bool is_next_window = start != 0 && now_ns - start < 2 * kWindowNs;
  const std::int64_t next = is_next_window ? start + kWindowNs : now_ns;
  if (!budget.window_start_ns.compare_exchange_strong(start, next, std::memory_order_relaxed)) return;
  const std::int64_t earned = budget.earned.exchange(0, std::memory_order_relaxed);
  const std::int64_t spent = budget.spent.exchange(0, std::memory_order_relaxed);
  budget.previous_earned.store(is_next_window ? earned : 0, std::memory_order_relaxed);
  budget.previous_spent.store(is_next_window ? spent : 0, std::memory_order_relaxed);
}

int BucketOf(absl::Duration latency) {
  const double us = std::max(1.0, absl::ToDoubleMicroseconds(latency));
  const int bucket = static_cast<int>(std::log(us) / std::log(kBucketBase));
  return std::min(bucket, 127);
}

}  // namespace

void EarnBudget(Budget& budget, absl::Time now) {
  RotateWindow(budget, absl::ToUnixNanos(now));
  budget.earned.fetch_add(1, std::memory_order_relaxed);
}

bool SpendBudget(Budget& budget, absl::Time now) {
  const std::int64_t now_ns = absl::ToUnixNanos(now);
  RotateWindow(budget, now_ns);
  const std::int64_t age = now_ns - budget.window_start_ns.load(std::memory_order_relaxed);
  // The previous window is weighted by the fraction of it that lies within the last 10 s.
  const double previous_weight =
      1 - std::clamp(static_cast<double>(age) / static_cast<double>(kWindowNs), 0.0, 1.0);
  const double earned =
      static_cast<double>(budget.earned.load(std::memory_order_relaxed)) +
      previous_weight * static_cast<double>(budget.previous_earned.load(std::memory_order_relaxed));
  const double limit = std::max(static_cast<double>(budget.floor), budget.ratio * earned);
  const double spent =
      static_cast<double>(budget.spent.fetch_add(1, std::memory_order_relaxed)) +
      previous_weight * static_cast<double>(budget.previous_spent.load(std::memory_order_relaxed));
  if (spent + 1 <= limit) return true;
  budget.spent.fetch_sub(1, std::memory_order_relaxed);
  return false;
}

void RecordLatency(LatencyWindow& window, absl::Duration latency) {
  window.buckets[BucketOf(latency)].fetch_add(1, std::memory_order_relaxed);
  const std::uint32_t total = window.total.fetch_add(1, std::memory_order_relaxed) + 1;
  if (total != kMaxSamples) return;  // exactly one thread gets this value
  std::uint32_t removed = 0;
  for (std::atomic<std::uint32_t>& it : window.buckets) {
    const std::uint32_t half = it.load(std::memory_order_relaxed) / 2;
    it.fetch_sub(half, std::memory_order_relaxed);
    removed += half;
  }
  window.total.fetch_sub(removed, std::memory_order_relaxed);
}

absl::Duration LatencyPercentile(const LatencyWindow& window, double fraction) {
  std::uint32_t total = 0;
  for (const std::atomic<std::uint32_t>& it : window.buckets) total += it.load(std::memory_order_relaxed);
  if (total < kMinSamples) return absl::InfiniteDuration();
  const double rank = fraction * total;
  double seen = 0;
  for (int it = 0; it < static_cast<int>(window.buckets.size()); ++it) {
    seen += window.buckets[it].load(std::memory_order_relaxed);
    if (seen >= rank) return absl::Microseconds(std::pow(kBucketBase, it + 1));
  }
  return absl::Microseconds(std::pow(kBucketBase, static_cast<double>(window.buckets.size())));
}

absl::Duration HedgeDelay(const LatencyWindow& window, const InFlightCall& call) {
  return LatencyPercentile(window, call.probe ? 0.5 : 0.95);
}

}  // namespace oleander
