// Measurements of a load run: latencies, counts by reason, steps of the trainers. Thread-safe.
#ifndef OLEANDER_SRC_LOAD_LOAD_RECORD_H_
#define OLEANDER_SRC_LOAD_LOAD_RECORD_H_

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "oleander/errors.h"
#include "oleander/types.h"

namespace oleander::load {

// Milliseconds on a logarithmic axis; each bin is about 6% wide.
using LatencyAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using LatencyHistogram = decltype(boost::histogram::make_histogram(std::declval<LatencyAxis>()));
LatencyHistogram MakeLatencyHistogram();
// Upper edge of the bin that holds the quantile, in ms; 0 if the histogram is empty.
double Quantile(const LatencyHistogram& histogram, double fraction);

struct LatencyPoint {
  double at_s = 0;  // since the start of the run
  double ms = 0;
};
struct LatencyStats {
  LatencyHistogram histogram = MakeLatencyHistogram();
  std::vector<LatencyPoint> points;
};

struct StepRecord {
  JobId job;
  std::int64_t step = 0;
  double start_s = 0;                // since the start of the run
  double wait_s = 0;                 // time the trainer waited for its batch
  double train_s = 0;                // training and publishing the new weights
  Version trainer_version = 0;       // the trainer's version when it requested the batch
  std::vector<Sample> samples;       // as delivered
  std::int64_t bytes = 0;            //
  std::map<Version, int> staleness;  // versions behind the trainer to number of samples
};

// One call that was refused as "not run"; checked against the audit log.
struct NotRunClaim {
  std::string kind;  // "lookup", "receipt" or "completion"
  std::string id;    // load id, receipt id or prompt
};

struct CompletionRecord {
  std::vector<std::int32_t> tokens;
  std::vector<VersionSpan> spans;
  FinishReason finish = FinishReason::kNone;
  int max_tokens = 0;
};

struct ReceiptRecord {
  std::string id;
  bool acknowledged = false;  // the caller got a success answer
  bool unknown = false;       // the call failed and may have run
};

struct LoadRecord {
  absl::Time start;
  absl::Mutex mutex;
  std::map<std::string, LatencyStats> latencies ABSL_GUARDED_BY(mutex);  // by kind of call
  std::map<std::string, std::int64_t> answered ABSL_GUARDED_BY(mutex);   // by kind of call
  std::map<std::string, std::int64_t> failed ABSL_GUARDED_BY(mutex);    // by kind of call, after all attempts
  std::map<std::string, std::int64_t> refusals ABSL_GUARDED_BY(mutex);  // of single attempts, by reason
  std::vector<std::pair<double, std::string>> refusal_times ABSL_GUARDED_BY(mutex);  // s, reason
  std::int64_t wrong_answers ABSL_GUARDED_BY(mutex) = 0;  // answers that do not match their request
  std::vector<NotRunClaim> not_run ABSL_GUARDED_BY(mutex);
  std::vector<CompletionRecord> completions ABSL_GUARDED_BY(mutex);
  std::vector<ReceiptRecord> receipts ABSL_GUARDED_BY(mutex);
  std::vector<StepRecord> steps ABSL_GUARDED_BY(mutex);
  std::vector<std::string> trainer_errors ABSL_GUARDED_BY(mutex);
};

// Adds a latency from `due` to `end`.
void RecordAnswer(LoadRecord& record, const std::string& kind, absl::Time due, absl::Time end);
// A call that failed after all attempts. `id` as in NotRunClaim.
void RecordFailure(LoadRecord& record, const std::string& kind, const std::string& id, const Error& error);
// One refused attempt; the call may succeed on another host.
void RecordRefusal(LoadRecord& record, const Error& error);

}  // namespace oleander::load

#endif  // OLEANDER_SRC_LOAD_LOAD_RECORD_H_
