// Simulated trainer: requests batches, sleeps for the training time, writes new weights to the weight store
// and announces them.
#ifndef OLEANDER_SRC_LOAD_TRAINER_H_
#define OLEANDER_SRC_LOAD_TRAINER_H_

#include <functional>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "load/load_plan.h"
#include "load/load_record.h"
#include "oleander/client.h"

namespace oleander::load {

// Weights shared by several trainers: each finished step of any trainer publishes the next version.
struct SharedWeights {
  absl::Mutex mutex;
  Version latest ABSL_GUARDED_BY(mutex) = 1;
};

struct TrainerContext {
  ClientOptions client;
  std::function<void(const std::string& line)> progress;
};

// Writes a version to the weight store. Retries on every answer but 200, for example 429 at the rate limit.
// Errors: kUpstreamFailed.
leaf::result<void> PutWeights(const LoadPlan& plan, Version version);

// Runs the plan's steps, one batch each. Errors go to trainer_errors of the record.
void RunTrainer(const LoadPlan& plan, const PlannedTrainer& trainer, const TrainerContext& context,
                SharedWeights& weights, LoadRecord& record);

// Defects of one delivered batch that can be found without the audit log.
struct BatchCheck {
  std::int64_t duplicates = 0;  // samples for a slot that already has one
  std::int64_t missing = 0;     // slots without a sample
  std::int64_t mismatched = 0;  // samples with another step's or job's slot, a wrong prompt or no score
};
BatchCheck CheckBatch(const LoadPlan& plan, const PlannedTrainer& trainer, std::int64_t step,
                      const std::vector<Sample>& samples);

}  // namespace oleander::load

#endif  // OLEANDER_SRC_LOAD_TRAINER_H_
