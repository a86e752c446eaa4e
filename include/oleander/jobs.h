// Rollout jobs: slots, attempts, groups, scoring, and exactly-once delivery of batches.
//
// A JobRunner is the state of one job at the host that holds its lease. The owner of a JobRunner calls these
// functions with its lock held. Generation and scoring run asynchronously; their results are reported through
// FinishGeneration and FinishScoring.
#ifndef OLEANDER_JOBS_H_
#define OLEANDER_JOBS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "oleander/lease.h"
#include "oleander/platform.h"
#include "oleander/policy.h"
#include "oleander/upstream.h"

namespace oleander {

// ---- Specification

enum class JobState { kRunning, kPaused, kEnded };
std::string_view NameOf(JobState state);

struct JobSpec {
  JobId id;          // [a-z0-9-]{1,64}
  CallerId trainer;  // the only caller that may fetch batches
  PoolId model;      // pool of engines
  PoolId scoring;    // pool of the scoring service; empty: samples are not scored
  std::vector<std::string>
      prompts;                 // 1 to 10,000; group g of step s uses prompt (s * groups + g) modulo size
  int samples_per_step = 256;  // 1 to 65,536; a multiple of group_size
  int group_size = 8;          // 1 to 1,024
  int max_tokens = 256;        // 1 to 1,000,000
  std::uint64_t seed = 1;      // base from which the seed of each sample is derived
  JobState state = JobState::kRunning;
};
// Errors: kInvalidRequest, with the field and the accepted values.
leaf::result<void> CheckJobSpec(const JobSpec& spec);
Json ToJson(const JobSpec& spec);
leaf::result<JobSpec> JobSpecFromJson(const Json& json);

// Creates the row jobs/ID; repeating the call with the same specification succeeds. Errors: kConflict (the
// job exists with another specification), kInvalidRequest, kStoreUnavailable.
leaf::result<void> CreateJob(const TablePort& table, const JobSpec& spec, const std::string& write_id);
leaf::result<JobSpec> SetJobState(const TablePort& table, const JobId& job, JobState state,
                                  const std::string& write_id);
leaf::result<JobSpec> ReadJob(const TablePort& table, const JobId& job);  // kUnknownJob
leaf::result<std::vector<JobSpec>> ListJobs(const TablePort& table);

// ---- Running

enum class SlotState { kPlanned, kDispatched, kGenerated, kScoring, kDone };
std::string_view NameOf(SlotState state);

struct SlotProgress {
  SlotState state = SlotState::kPlanned;  //
  Sample sample;                          // tokens and version spans received so far
  int attempts = 0;                       //
  int starts = 0;    // attempts that began without tokens of an earlier one; part of the seed
  int failures = 0;  // consecutive; determines the backoff
  absl::Time not_before = absl::InfinitePast();  // earliest time of the next attempt
};
struct StepProgress {
  std::vector<SlotProgress> slots;         // samples_per_step, group by group
  std::vector<std::string> group_objects;  // attempt id in each group's object name; empty: not written yet
};

// Why samples or attempts are dropped. Each reason has its own counter.
enum class DropReason { kStale, kUnlabelled, kUpstream, kProtocol, kScoring, kVoided };
inline constexpr int kDropReasonCount = 6;
std::string_view NameOf(DropReason reason);

struct JobCounters {
  std::int64_t dropped[kDropReasonCount] = {};
  std::int64_t batches_committed = 0;
  std::int64_t batches_provisional = 0;
  std::int64_t batches_repeated = 0;
  std::int64_t samples_handed_out = 0;
  std::int64_t tokens_dropped = 0;
  std::int64_t tokens_generated = 0;
};

// For tests only. The fault matrix disables a check and must then detect a violation.
struct JobChecks {
  bool labels = true;     // drop samples that contain tokens of an unknown version
  bool staleness = true;  // check the staleness bound at hand-out
  bool sequence = true;   // refuse acknowledged batches; a higher number acknowledges those below
};

struct JobRunner {
  JobSpec spec;               // the owner updates `state` from the table
  bool may_acquire = true;    // acquire a free or expired lease; false: do not read the lease unless held
  Lease lease;                //
  bool recovered = false;     // progress and group objects were read after the lease was acquired
  std::int64_t next_seq = 1;  // lowest batch that is not acknowledged
  std::int64_t progress_revision = 0;          // revision of the row progress/JOB
  Version trainer_version = 0;                 // highest version reported by the trainer
  std::map<std::int64_t, StepProgress> steps;  // from next_seq to next_seq + steps_ahead
  std::map<std::int64_t, Json> provisional;    // manifests of batches handed out before the commit
  std::optional<Json> committed;               // committed manifest of next_seq, if any
  std::int64_t batch_revision = 0;             // revision of the row batches/JOB/next_seq
  bool groups_listed = false;                  // recovery has read the progress and filled `unread_groups`
  std::vector<std::string> unread_groups;      // recovery: names of group objects still to be read
  absl::Time store_retry_at = absl::InfinitePast();  // background writes pause until then after a failure
  JobCounters counters;                              //
  std::uint64_t attempts_started = 0;                // counter; part of attempt ids
  std::uint64_t writes_started = 0;                  // counter; part of write ids
  JobChecks checks;                                  //
};

// `generate` and `score` start asynchronous work. They must not call back into the runner before they return.
struct RunnerPorts {
  TablePort table;
  ObjectPort objects;
  std::function<void(const SlotKey& slot, const std::string& attempt, const GenerateRequest& request)>
      generate;
  std::function<void(const Sample& sample)> score;
};

// Renews the lease, recovers after acquiring it, plans steps, starts generations, writes finished groups and
// commits provisional batches. `engine_version` is the weight version of the pool's engines (0: unknown).
// Without the lease, the call only watches it and succeeds. An ended job releases its lease.
// Errors: kStoreUnavailable (generation continues from memory), kLeaseLost (another host acquired the lease;
// the runner's progress was discarded).
leaf::result<void> TickJob(JobRunner& runner, const RunnerPorts& ports, const Policy& policy,
                           Version engine_version, int max_dispatched, absl::Time now);

// Result of a generation attempt. If `failure` is set, the tokens received so far are kept and the next
// attempt resumes from them.
struct GenerationEnd {
  SlotKey slot;
  std::string attempt;
  std::vector<GenerateChunk> chunks;
  std::optional<Error> failure;
};
void FinishGeneration(JobRunner& runner, const GenerationEnd& end, absl::Time now);
void FinishScoring(JobRunner& runner, const SlotKey& slot, const std::string& attempt,
                   const Outcome<double>& score, absl::Time now);

// ---- Delivery

struct BatchRequest {
  JobId job;                    //
  CallerId trainer;             //
  std::int64_t seq = 1;         // batch requested; acknowledges all batches before it
  Version trainer_version = 0;  // version being trained now; staleness is measured from it
  std::string request_id;       //
};
struct BatchAnswer {
  std::int64_t seq = 0;      //
  bool provisional = false;  // not committed yet; a repeated request may get other bytes
  std::string bytes;         // JSON: {"job","seq","trainer_version","samples":[...]} in slot order
};
leaf::result<BatchRequest> BatchRequestFromJson(const Json& json);

// Hands out batch `seq`; called at the lease holder. Drops samples that are too old or have tokens of an
// unknown version, and commits the manifest. Renews the lease first if LeaseSafe is false, so that a holder
// that was paused notices that another host has acquired the lease. Errors: kBatchNotReady, kBatchExpired,
// kLeaseLost, kStoreUnavailable, kInvalidRequest (the batch is already acknowledged), kForbidden (another
// trainer's job), kNotFound (the job has ended).
leaf::result<BatchAnswer> HandOutBatch(JobRunner& runner, const RunnerPorts& ports, const Policy& policy,
                                       const BatchRequest& request, absl::Time now);

// Builds a committed batch from its manifest and group objects, at any host and without the lease. The bytes
// equal those of the lease holder. Writes nothing. Errors: kBatchNotReady (no committed manifest),
// kBatchExpired (send the request to the lease holder, which voids the batch), kStoreUnavailable, kForbidden.
leaf::result<BatchAnswer> ReadCommittedBatch(const TablePort& table, const ObjectPort& objects,
                                             const JobSpec& spec, const Policy& policy,
                                             const BatchRequest& request);

}  // namespace oleander

#endif  // OLEANDER_JOBS_H_
