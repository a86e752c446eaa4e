#include "load/load_record.h"

#include "absl/time/clock.h"

namespace oleander::load {
namespace {

constexpr int kLatencyBins = 240;
constexpr double kMinLatencyMs = 0.05;
constexpr double kMaxLatencyMs = 100000;

}  // namespace

LatencyHistogram MakeLatencyHistogram() {
  return boost::histogram::make_histogram(LatencyAxis(kLatencyBins, kMinLatencyMs, kMaxLatencyMs));
}

double Quantile(const LatencyHistogram& histogram, double fraction) {
  double total = 0;
  for (auto&& it : boost::histogram::indexed(histogram, boost::histogram::coverage::all)) total += *it;
  if (total == 0) return 0;
  double cumulative = 0;
  for (auto&& it : boost::histogram::indexed(histogram, boost::histogram::coverage::all)) {
    cumulative += *it;
    if (cumulative >= fraction * total) return std::min(it.bin(0).upper(), kMaxLatencyMs);
  }
  return kMaxLatencyMs;
}

void RecordAnswer(LoadRecord& record, const std::string& kind, absl::Time due, absl::Time end) {
  const double ms = absl::ToDoubleMilliseconds(end - due);
  absl::MutexLock lock(&record.mutex);
  LatencyStats& stats = record.latencies[kind];
  stats.histogram(ms);
  stats.points.push_back({absl::ToDoubleSeconds(due - record.start), ms});
  ++record.answered[kind];
}

void RecordFailure(LoadRecord& record, const std::string& kind, const std::string& id, const Error& error) {
  absl::MutexLock lock(&record.mutex);
  ++record.failed[kind];
  if (DescribeError(error.kind).not_run) record.not_run.push_back({kind, id});
}

void RecordRefusal(LoadRecord& record, const Error& error) {
  // Includes batch_not_ready, the normal answer to a trainer that waits for its batch.
  const std::string reason(DescribeError(error.kind).name);
  absl::MutexLock lock(&record.mutex);
  ++record.refusals[reason];
  record.refusal_times.emplace_back(absl::ToDoubleSeconds(absl::Now() - record.start), reason);
}

}  // namespace oleander::load
