// Functions on a JobRunner that jobs.cc and delivery.cc share.
#ifndef OLEANDER_CONTRACTS_JOB_STATE_H_
#define OLEANDER_CONTRACTS_JOB_STATE_H_

#include <cstdint>
#include <string>

#include "oleander/jobs.h"

namespace oleander {

// Max group objects read or written per tick; limits how long a tick blocks.
inline constexpr int kObjectsPerTick = 64;
// Pause of background writes after a failed one.
inline constexpr absl::Duration kStoreRetryAfter = absl::Seconds(1);

int GroupCount(const JobSpec& spec);
SlotKey SlotOf(const JobSpec& spec, std::int64_t step, int position);
std::string NewAttempt(JobRunner& runner);
StepProgress NewStep(const JobSpec& spec);
bool IsComplete(const StepProgress& step);
bool IsGroupDone(const JobRunner& runner, const StepProgress& step, int group);

// Discards the slot's tokens and sets it back to kPlanned.
void DropSample(JobRunner& runner, std::int64_t step, int position, DropReason reason);
// Drops finished samples that are too old for `trainer_version` (counted under `reason`) or have tokens of an
// unknown version. Returns how many were dropped.
int DropUndeliverable(JobRunner& runner, std::int64_t step, const Policy& policy, Version trainer_version,
                      DropReason reason);

std::string GroupObjectName(const JobId& job, std::int64_t step, int group, const std::string& attempt);
leaf::result<void> WriteGroup(JobRunner& runner, const RunnerPorts& ports, std::int64_t step, int group);

// Restores the job's state from the stores: first the progress, the manifest and the names of the group
// objects, then the objects, at most kObjectsPerTick per call. Sets `recovered` when all are read.
leaf::result<void> Recover(JobRunner& runner, const RunnerPorts& ports, const Policy& policy);
leaf::result<void> CommitProvisional(JobRunner& runner, const RunnerPorts& ports, absl::Time now);
// Records that the trainer has received all batches below `seq`.
void Acknowledge(JobRunner& runner, std::int64_t seq);
// Clears all progress after the lease was lost or newly acquired, or after the job ended.
void DiscardProgress(JobRunner& runner);

}  // namespace oleander

#endif  // OLEANDER_CONTRACTS_JOB_STATE_H_
