// Simulates hosts that run a job against the fakes, in a single thread, so that runs are deterministic. Every
// call through a port calls its FaultHook. Shared by the job tests and the fault matrix.
#ifndef OLEANDER_TESTS_MATRIX_TRAINING_H_
#define OLEANDER_TESTS_MATRIX_TRAINING_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "oleander/jobs.h"
#include "oleander/weights.h"
#include "tests/matrix/fakes.h"

namespace oleander::matrix {

struct PendingGeneration {
  SlotKey slot;
  std::string attempt;
  GenerateRequest request;
};

struct TrainingHost {
  HostId id;
  JobRunner runner;
  std::deque<PendingGeneration> generations;
  std::deque<Sample> scorings;
  std::vector<GenerationEnd> late;  // answers that arrive after the next tick
};

struct TrainingWorld {
  ManualClock clock;
  FakeTable table;
  FakeObjects objects;
  FakeEngines engines;
  FakeServices services;
  Policy policy;
  JobSpec spec;
  int max_dispatched = 64;
  std::uint64_t generations_started = 0;

  TrainingWorld();
  TrainingHost MakeHost(const HostId& id, std::int64_t incarnation);
  RunnerPorts Ports(TrainingHost& host);
};

// Runs one tick of the job at `host`, but not the generations and scorings that the tick starts.
Outcome<std::monostate> Tick(TrainingWorld& world, TrainingHost& host, Version engine_version);
// Runs the generations and scorings that previous ticks started.
void RunWork(TrainingWorld& world, TrainingHost& host);
// Picks the engine for the next attempt, round-robin among live engines; empty if there is none.
UpstreamId PickEngine(TrainingWorld& world);
GenerationEnd RunGeneration(TrainingWorld& world, const HostId& host, const PendingGeneration& work);
Outcome<BatchAnswer> RequestBatch(TrainingWorld& world, TrainingHost& host, std::int64_t seq,
                                  Version version);
// Ticks `host` every half second until the batch is ready, at most `rounds` times.
Outcome<BatchAnswer> FetchBatch(TrainingWorld& world, TrainingHost& host, std::int64_t seq, Version version,
                                Version engine_version, int rounds = 200);
std::vector<Sample> SamplesOf(const std::string& bytes);
// The first invariant that a batch violates; an empty text means that none is violated.
struct BatchProblem {
  int invariant = 0;  // number in docs/design.md, section 3
  std::string text;
};
BatchProblem FindBatchProblem(const TrainingWorld& world, const std::string& bytes, std::int64_t seq,
                              Version version);
// Returns the text of FindBatchProblem; empty if the batch consists exactly of the slots of `seq`, with
// correct version labels and within the staleness bound for `version`.
std::string CheckBatch(const TrainingWorld& world, const std::string& bytes, std::int64_t seq,
                       Version version);

}  // namespace oleander::matrix

#endif  // OLEANDER_TESTS_MATRIX_TRAINING_H_
