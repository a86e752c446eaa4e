#include "oleander/metrics.h"

#include <array>
#include <boost/histogram.hpp>
#include <map>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"

namespace oleander {
namespace {

namespace bh = boost::histogram;

constexpr std::array<std::string_view, kRetryReasonCount> kRetryNames = {
    "upstream_refused", "upstream_failed", "upstream_timeout", "upstream_protocol",
    "peer_unreachable", "hedge",           "stale_sample",     "unlabelled_sample",
    "scoring_failed",   "budget_exhausted"};
constexpr std::array<std::string_view, kLatencyKindCount> kLatencyNames = {
    "lookup", "receipt", "interactive", "first_token", "batch_wait", "table_commit", "peer_call", "scoring"};
constexpr std::array<std::string_view, kGaugeCount> kGaugeNames = {
    "streams",           "queued",        "members_alive", "config_version",     "config_unconfirmed",
    "jobs_held",         "zone_cut_off",  "store_down",    "caller_connections", "held_request_bytes",
    "held_answer_bytes", "held_job_bytes"};

constexpr int kLatencyBins = 70;         // a bin's upper bound is 1.26 times its lower bound
constexpr double kMinLatencyUs = 10;     // microseconds
constexpr double kMaxLatencyUs = 100e6;  // microseconds

using LatencyAxis = bh::axis::regular<double, bh::axis::transform::log>;
using SharedCount = bh::accumulators::count<std::uint64_t, true>;
using LatencyHistogram = bh::histogram<std::tuple<LatencyAxis>, bh::dense_storage<SharedCount>>;

LatencyHistogram MakeLatencyHistogram() {
  return bh::make_histogram_with(bh::dense_storage<SharedCount>(),
                                 LatencyAxis(kLatencyBins, kMinLatencyUs, kMaxLatencyUs));
}

struct LatencySeries {
  LatencyHistogram histogram = MakeLatencyHistogram();
  std::atomic<std::int64_t> sum_us{0};
};

std::string Text(std::string_view text) { return std::string(text); }

}  // namespace

struct Metrics {
  std::array<std::atomic<std::int64_t>, kErrorKindCount> refusals{};
  std::array<std::atomic<std::int64_t>, kRetryReasonCount> retries{};
  std::array<std::atomic<std::int64_t>, kGaugeCount> gauges{};
  std::array<LatencySeries, kLatencyKindCount> latencies;
  mutable absl::Mutex mutex;
  std::map<std::pair<std::string, std::string>, std::int64_t> module_counters ABSL_GUARDED_BY(mutex);
};

namespace {

void ExposeLatency(std::string& out, LatencyKind kind, const LatencySeries& series) {
  const std::string label = absl::StrCat("kind=\"", Text(NameOf(kind)), "\"");
  std::uint64_t count = 0;
  // Buckets are cumulative: the underflow bin counts into the first bucket, the overflow bin only into +Inf.
  for (int it = -1; it < kLatencyBins; ++it) {
    count += series.histogram.at(it).value();
    if (it < 0) continue;
    const double bound_us = series.histogram.axis().bin(it).upper();
    absl::StrAppend(&out, "oleander_latency_seconds_bucket{", label, ",le=\"", bound_us / 1e6, "\"} ", count,
                    "\n");
  }
  count += series.histogram.at(kLatencyBins).value();
  absl::StrAppend(&out, "oleander_latency_seconds_bucket{", label, ",le=\"+Inf\"} ", count, "\n");
  absl::StrAppend(&out, "oleander_latency_seconds_sum{", label, "} ", series.sum_us.load() / 1e6, "\n");
  absl::StrAppend(&out, "oleander_latency_seconds_count{", label, "} ", count, "\n");
}

}  // namespace

std::string_view NameOf(RetryReason reason) { return kRetryNames[static_cast<int>(reason)]; }
std::string_view NameOf(LatencyKind kind) { return kLatencyNames[static_cast<int>(kind)]; }
std::string_view NameOf(Gauge gauge) { return kGaugeNames[static_cast<int>(gauge)]; }

Metrics& GlobalMetrics() {
  static Metrics* const metrics = new Metrics;  // never destroyed: threads may count until the process ends
  return *metrics;
}

void CountRefusal(Metrics& metrics, ErrorKind kind) {
  metrics.refusals[static_cast<int>(kind)].fetch_add(1, std::memory_order_relaxed);
}

void CountRetry(Metrics& metrics, RetryReason reason) {
  metrics.retries[static_cast<int>(reason)].fetch_add(1, std::memory_order_relaxed);
}

void CountLatency(Metrics& metrics, LatencyKind kind, absl::Duration latency) {
  LatencySeries& series = metrics.latencies[static_cast<int>(kind)];
  series.histogram(absl::ToDoubleMicroseconds(latency));
  series.sum_us.fetch_add(absl::ToInt64Microseconds(latency), std::memory_order_relaxed);
}

void SetGauge(Metrics& metrics, Gauge gauge, std::int64_t value) {
  metrics.gauges[static_cast<int>(gauge)].store(value, std::memory_order_relaxed);
}

void AddCounter(Metrics& metrics, std::string_view name, std::string_view label, std::int64_t n) {
  absl::MutexLock lock(&metrics.mutex);
  metrics.module_counters[{Text(name), Text(label)}] += n;
}

std::int64_t RefusalCount(const Metrics& metrics, ErrorKind kind) {
  return metrics.refusals[static_cast<int>(kind)].load(std::memory_order_relaxed);
}

std::int64_t RetryCount(const Metrics& metrics, RetryReason reason) {
  return metrics.retries[static_cast<int>(reason)].load(std::memory_order_relaxed);
}

std::string ExposeText(const Metrics& metrics) {
  std::string out = "# TYPE oleander_refusals_total counter\n";
  for (int it = 0; it < kErrorKindCount; ++it) {
    const ErrorKind kind = static_cast<ErrorKind>(it);
    absl::StrAppend(&out, "oleander_refusals_total{reason=\"", Text(DescribeError(kind).name), "\"} ",
                    RefusalCount(metrics, kind), "\n");
  }
  absl::StrAppend(&out, "# TYPE oleander_retries_total counter\n");
  for (int it = 0; it < kRetryReasonCount; ++it) {
    const RetryReason reason = static_cast<RetryReason>(it);
    absl::StrAppend(&out, "oleander_retries_total{reason=\"", Text(NameOf(reason)), "\"} ",
                    RetryCount(metrics, reason), "\n");
  }
  for (int it = 0; it < kGaugeCount; ++it) {
    const std::string name = Text(kGaugeNames[it]);
    absl::StrAppend(&out, "# TYPE oleander_", name, " gauge\noleander_", name, " ", metrics.gauges[it].load(),
                    "\n");
  }
  absl::StrAppend(&out, "# TYPE oleander_latency_seconds histogram\n");
  for (int it = 0; it < kLatencyKindCount; ++it) {
    ExposeLatency(out, static_cast<LatencyKind>(it), metrics.latencies[it]);
  }
  absl::MutexLock lock(&metrics.mutex);
  std::string last_name;
  for (const std::pair<const std::pair<std::string, std::string>, std::int64_t>& it :
       metrics.module_counters) {
    if (it.first.first != last_name)
      absl::StrAppend(&out, "# TYPE oleander_", it.first.first, "_total counter\n");
    last_name = it.first.first;
    absl::StrAppend(&out, "oleander_", it.first.first, "_total{reason=\"", it.first.second, "\"} ", it.second,
                    "\n");
  }
  return out;
}

}  // namespace oleander
