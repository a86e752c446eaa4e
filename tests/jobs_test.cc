#include "oleander/jobs.h"

#include <gtest/gtest.h>

#include "tests/matrix/training.h"

namespace oleander {
namespace {

using matrix::Call;
using matrix::CheckBatch;
using matrix::Effect;
using matrix::FetchBatch;
using matrix::RequestBatch;
using matrix::TrainingHost;
using matrix::TrainingWorld;

int Dropped(const TrainingHost& host, DropReason reason) {
  return static_cast<int>(host.runner.counters.dropped[static_cast<int>(reason)]);
}

struct JobsTest : testing::Test {
  TrainingWorld world;
  TrainingHost a = world.MakeHost("a", 1);
  TrainingHost b = world.MakeHost("b", 1);

  ErrorKind KindOf(const Outcome<BatchAnswer>& answer) {
    return Ok(answer) ? ErrorKind::kInternal : ErrorOf(answer).kind;
  }
  Outcome<BatchAnswer> Read(std::int64_t seq, Version version) {
    const BatchRequest request{"clues", "trainer", seq, version, "r"};
    return Capture<BatchAnswer>([&] {
      return ReadCommittedBatch(world.table.Port("c"), world.objects.Port("c"), world.spec, world.policy,
                                request);
    });
  }
  // Lets `b` acquire the lease while `a` does not renew it.
  void TakeOver() {
    for (int it = 0; it < 40 && b.runner.lease.state != LeaseState::kHeld; ++it) {
      static_cast<void>(matrix::Tick(world, b, 1));
      world.clock.now += absl::Milliseconds(500);
    }
    ASSERT_EQ(b.runner.lease.state, LeaseState::kHeld);
  }
  // Starts step 1 and returns its first attempt.
  matrix::PendingGeneration FirstAttempt() {
    static_cast<void>(matrix::Tick(world, a, 1));
    return a.generations.front();
  }
  SlotProgress& FirstSlot() { return a.runner.steps.at(1).slots[0]; }
};

// Guards against incomplete batches and against different bytes for the same batch number.
TEST_F(JobsTest, SameNumberGivesTheSameBytesAtAnyHost) {
  for (std::int64_t seq = 1; seq <= 3; ++seq) {
    const Outcome<BatchAnswer> first = FetchBatch(world, a, seq, 1, 1);
    ASSERT_TRUE(Ok(first)) << ErrorOf(first).detail;
    EXPECT_FALSE(Value(first).provisional);
    EXPECT_EQ(CheckBatch(world, Value(first).bytes, seq, 1), "");
    const Outcome<BatchAnswer> again = RequestBatch(world, a, seq, 2);
    ASSERT_TRUE(Ok(again));
    EXPECT_EQ(Value(again).bytes, Value(first).bytes);
    const Outcome<BatchAnswer> read = Read(seq, 1);
    ASSERT_TRUE(Ok(read)) << ErrorOf(read).detail;
    EXPECT_EQ(Value(read).bytes, Value(first).bytes);
  }
  EXPECT_EQ(KindOf(RequestBatch(world, a, 2, 1)), ErrorKind::kInvalidRequest);
  const Outcome<BatchAnswer> before = Read(3, 1);
  TakeOver();
  const Outcome<BatchAnswer> after = FetchBatch(world, b, 3, 1, 1);
  ASSERT_TRUE(Ok(before) && Ok(after));
  EXPECT_EQ(Value(before).bytes, Value(after).bytes);
}

// Guards against a batch that a paused lease holder commits or hands out after another host took over.
TEST_F(JobsTest, PausedHolderNeitherCommitsNorHandsOutAfterTakeover) {
  static_cast<void>(matrix::Tick(world, a, 1));
  static_cast<void>(matrix::Tick(world, a, 1));
  matrix::RunWork(world, a);
  TakeOver();
  EXPECT_EQ(KindOf(RequestBatch(world, a, 1, 1)), ErrorKind::kLeaseLost);
  EXPECT_FALSE(world.table.rows.contains("batches/clues/1"));
  const Outcome<BatchAnswer> answer = FetchBatch(world, b, 1, 1, 1);
  ASSERT_TRUE(Ok(answer));
  EXPECT_EQ(CheckBatch(world, Value(answer).bytes, 1, 1), "");
  EXPECT_TRUE(a.runner.steps.empty());
}

// Guards against a second manifest for one batch after the response to its commit was lost.
TEST_F(JobsTest, LostCommitAnswerIsResolvedByWriteId) {
  int losses = 0;
  world.table.fault_hook = [&](const Call& call) {
    const bool lose = call.target == "batches/clues/1" && call.port == "table.commit" && losses++ == 0;
    return lose ? Effect::kLoseAnswer : Effect::kPass;
  };
  const Outcome<BatchAnswer> answer = FetchBatch(world, a, 1, 1, 1);
  ASSERT_TRUE(Ok(answer));
  EXPECT_FALSE(Value(answer).provisional);
  EXPECT_EQ(Value(Read(1, 1)).bytes, Value(answer).bytes);
}

// Guards against a commit with unknown outcome that is later repeated with other content.
TEST_F(JobsTest, CommitWithUnknownOutcomeIsRepeatedWithTheSameContent) {
  bool lose = true;
  world.table.fault_hook = [&](const Call& call) {
    return lose && a.runner.recovered && call.target == "batches/clues/1" ? Effect::kLoseAnswer
                                                                          : Effect::kPass;
  };
  const Outcome<BatchAnswer> answer = FetchBatch(world, a, 1, 1, 1);
  ASSERT_TRUE(Ok(answer));
  EXPECT_TRUE(Value(answer).provisional);
  lose = false;
  const Outcome<BatchAnswer> again = FetchBatch(world, a, 1, 1, 1);
  ASSERT_TRUE(Ok(again));
  EXPECT_FALSE(Value(again).provisional);
  EXPECT_EQ(Value(again).bytes, Value(answer).bytes);
  EXPECT_EQ(Value(Read(1, 1)).bytes, Value(answer).bytes);
  EXPECT_TRUE(Ok(FetchBatch(world, a, 2, 1, 1)));
}

// Guards against trainers that idle while the store is down, and against the loss of provisional batches.
TEST_F(JobsTest, BatchesAreProvisionalWhileTheStoreIsDown) {
  ASSERT_TRUE(Ok(FetchBatch(world, a, 1, 1, 1)));
  world.table.down = world.objects.down = true;
  world.clock.now += absl::Seconds(20);
  std::string last;
  for (std::int64_t seq = 2; seq <= 4; ++seq) {
    const Outcome<BatchAnswer> answer = FetchBatch(world, a, seq, 1, 1);
    ASSERT_TRUE(Ok(answer)) << ErrorOf(answer).detail;
    EXPECT_TRUE(Value(answer).provisional);
    EXPECT_EQ(CheckBatch(world, Value(answer).bytes, seq, 1), "");
    last = Value(answer).bytes;
    EXPECT_LE(static_cast<int>(a.runner.steps.size()), world.policy.steps_ahead + 1);
  }
  EXPECT_EQ(Value(RequestBatch(world, a, 4, 1)).bytes, last);
  world.table.down = world.objects.down = false;
  for (int it = 0; it < 10; ++it) {
    static_cast<void>(matrix::Tick(world, a, 1));
    world.clock.now += absl::Milliseconds(500);
  }
  EXPECT_TRUE(a.runner.provisional.empty());
  EXPECT_EQ(Value(Read(4, 1)).bytes, last);
  EXPECT_TRUE(world.table.rows.contains("batches/clues/2"));
}

// Guards against provisional hand-out although the policy forbids it.
TEST_F(JobsTest, NoProvisionalBatchIfThePolicyForbidsIt) {
  world.policy.deliver_without_store = false;
  ASSERT_TRUE(Ok(FetchBatch(world, a, 1, 1, 1)));
  world.table.down = true;
  EXPECT_EQ(KindOf(FetchBatch(world, a, 2, 1, 1, 4)), ErrorKind::kStoreUnavailable);
  EXPECT_EQ(a.runner.counters.batches_provisional, 0);
}

// Guards against a holder that still serves batches below the number that the trainer requested, which
// acknowledges them.
TEST_F(JobsTest, RequestForAHigherNumberAcknowledgesTheBatchesBelow) {
  ASSERT_TRUE(Ok(FetchBatch(world, a, 1, 1, 1)));
  const Outcome<BatchAnswer> answer = FetchBatch(world, a, 7, 1, 1);
  ASSERT_TRUE(Ok(answer));
  EXPECT_EQ(CheckBatch(world, Value(answer).bytes, 7, 1), "");
  EXPECT_EQ(KindOf(RequestBatch(world, a, 6, 1)), ErrorKind::kInvalidRequest);
}

// Guards against stale samples at hand-out, and against a step that stays incomplete after they were dropped.
TEST_F(JobsTest, StaleSamplesAreGeneratedAgain) {
  for (int it = 0; it < 4; ++it) {
    static_cast<void>(matrix::Tick(world, a, 1));
    matrix::RunWork(world, a);
  }
  EXPECT_EQ(KindOf(RequestBatch(world, a, 1, 5)), ErrorKind::kBatchNotReady);
  EXPECT_EQ(Dropped(a, DropReason::kStale), 4);
  for (auto& [id, engine] : world.engines.engines) engine.active = 4;
  const Outcome<BatchAnswer> answer = FetchBatch(world, a, 1, 5, 4);
  ASSERT_TRUE(Ok(answer));
  EXPECT_EQ(CheckBatch(world, Value(answer).bytes, 1, 5), "");
}

// Guards against a livelock: samples of later steps that are always too old when the trainer requests them.
TEST_F(JobsTest, LaterStepsAreGeneratedOnlyIfFreshEnoughAtHandOut) {
  world.policy.staleness_bound = 1;
  for (std::int64_t seq = 1; seq <= 8; ++seq) {
    const Version version = seq + 4;
    // The engines are one version behind the trainer.
    for (auto& [id, engine] : world.engines.engines) engine.active = version - 1;
    const Outcome<BatchAnswer> answer = FetchBatch(world, a, seq, version, version - 1, 20);
    ASSERT_TRUE(Ok(answer)) << "batch " << seq;
    EXPECT_EQ(CheckBatch(world, Value(answer).bytes, seq, version), "");
  }
  // Only the first step was started before the trainer's version was known.
  EXPECT_LE(Dropped(a, DropReason::kStale), 2 * world.spec.samples_per_step);
}

// Guards against an expired batch that is handed out again or blocks its number forever.
TEST_F(JobsTest, ExpiredBatchIsVoidedAndGeneratedAgain) {
  ASSERT_TRUE(Ok(FetchBatch(world, a, 1, 1, 1)));
  EXPECT_EQ(KindOf(Read(1, 9)), ErrorKind::kBatchExpired);
  EXPECT_EQ(KindOf(RequestBatch(world, a, 1, 9)), ErrorKind::kBatchExpired);
  EXPECT_EQ(KindOf(Read(1, 1)), ErrorKind::kBatchNotReady);
  EXPECT_EQ(Dropped(a, DropReason::kVoided), world.spec.samples_per_step);
  for (auto& [id, engine] : world.engines.engines) engine.active = 9;
  const Outcome<BatchAnswer> answer = FetchBatch(world, a, 1, 9, 9);
  ASSERT_TRUE(Ok(answer));
  EXPECT_EQ(CheckBatch(world, Value(answer).bytes, 1, 9), "");
  EXPECT_EQ(Value(Read(1, 9)).bytes, Value(answer).bytes);
}

// Guards against a new lease holder that generates finished groups again.
TEST_F(JobsTest, NewHolderGeneratesOnlyWhatIsMissing) {
  static_cast<void>(matrix::Tick(world, a, 1));
  const matrix::PendingGeneration straggler = a.generations.back();
  a.generations.pop_back();
  for (int it = 0; it < 3; ++it) {
    matrix::RunWork(world, a);
    static_cast<void>(matrix::Tick(world, a, 1));
  }
  TakeOver();
  static_cast<void>(matrix::Tick(world, b, 1));
  int missing = 0;
  for (const matrix::PendingGeneration& it : b.generations) missing += it.slot.step == straggler.slot.step;
  EXPECT_EQ(missing, world.spec.group_size);
  EXPECT_EQ(static_cast<int>(b.generations.size()), missing);
}

// Guards against accepting tokens of an older attempt, after the end of a sample, or above max_tokens.
TEST_F(JobsTest, GenerationsThatViolateTheProtocolAreDropped) {
  const matrix::PendingGeneration work = FirstAttempt();
  const GenerateChunk end{{1, 2}, 1, FinishReason::kStop};
  FinishGeneration(a.runner, {work.slot, "an older attempt", {end}, {}}, world.clock.now);
  EXPECT_EQ(FirstSlot().state, SlotState::kDispatched);
  FinishGeneration(a.runner, {work.slot, work.attempt, {end, {{3}, 1, FinishReason::kNone}}, {}},
                   world.clock.now);
  EXPECT_EQ(FirstSlot().state, SlotState::kPlanned);
  EXPECT_TRUE(FirstSlot().sample.tokens.empty());
  world.clock.now += absl::Seconds(1);
  static_cast<void>(matrix::Tick(world, a, 1));
  const std::vector<std::int32_t> many(world.spec.max_tokens + 1, 7);
  FinishGeneration(a.runner, {work.slot, FirstSlot().sample.attempt, {{many, 1, FinishReason::kStop}}, {}},
                   world.clock.now);
  EXPECT_TRUE(FirstSlot().sample.tokens.empty());
  EXPECT_EQ(Dropped(a, DropReason::kProtocol), 3);
}

// Guards against delivery of a sample with tokens of an unknown version.
TEST_F(JobsTest, ChunkWithoutVersionDropsTheSample) {
  const matrix::PendingGeneration work = FirstAttempt();
  FinishGeneration(
      a.runner, {work.slot, work.attempt, {{{1}, 1, FinishReason::kNone}, {{2}, 0, FinishReason::kStop}}, {}},
      world.clock.now);
  EXPECT_EQ(FirstSlot().state, SlotState::kPlanned);
  EXPECT_TRUE(FirstSlot().sample.tokens.empty());
  EXPECT_EQ(Dropped(a, DropReason::kUnlabelled), 1);
}

// Guards against the loss of tokens or of their versions when a stream is cut.
TEST_F(JobsTest, InterruptedAttemptsResumeWithTheirSpans) {
  int cuts = 0;
  world.engines.fault_hook = [&](const Call&) { return cuts++ < 3 ? Effect::kCut : Effect::kPass; };
  world.engines.after_chunk = [&] {
    for (auto& [id, engine] : world.engines.engines) engine.active = 2;
  };
  const Outcome<BatchAnswer> answer = FetchBatch(world, a, 1, 1, 1);
  ASSERT_TRUE(Ok(answer));
  EXPECT_EQ(CheckBatch(world, Value(answer).bytes, 1, 1), "");
  EXPECT_EQ(Dropped(a, DropReason::kUpstream), 3);
  EXPECT_EQ(a.runner.counters.tokens_dropped, 0);
  EXPECT_EQ(matrix::SamplesOf(Value(answer).bytes)[0].spans, (std::vector<VersionSpan>{{1, 2}, {2, 4}}));
}

// Guards against a resumed sample that continues with another seed, and against a dropped sample that is
// generated again with the same seed.
TEST_F(JobsTest, ResumedSampleKeepsItsSeedAndARestartedOneDoesNot) {
  const matrix::PendingGeneration first = FirstAttempt();
  FinishGeneration(
      a.runner,
      {first.slot, first.attempt, {{{1}, 1, FinishReason::kNone}}, Error{ErrorKind::kUpstreamFailed, "cut"}},
      world.clock.now);
  world.clock.now += absl::Seconds(1);
  static_cast<void>(matrix::Tick(world, a, 1));
  const matrix::PendingGeneration resumed = a.generations.back();
  EXPECT_EQ(resumed.request.seed, first.request.seed);
  EXPECT_EQ(resumed.request.resume_tokens.size(), 1U);
  FinishGeneration(a.runner, {resumed.slot, resumed.attempt, {{{2}, 0, FinishReason::kStop}}, {}},
                   world.clock.now);
  world.clock.now += absl::Seconds(1);
  static_cast<void>(matrix::Tick(world, a, 1));
  EXPECT_NE(a.generations.back().request.seed, first.request.seed);
}

// Guards against taking the end of a slice for the end of a sample.
TEST_F(JobsTest, SlicesAreJoinedIntoOneSample) {
  world.policy.slice_tokens = 2;
  const Outcome<BatchAnswer> answer = FetchBatch(world, a, 1, 1, 1);
  ASSERT_TRUE(Ok(answer));
  EXPECT_EQ(CheckBatch(world, Value(answer).bytes, 1, 1), "");
}

// Guards against samples that stay unscored after a failed scoring call.
TEST_F(JobsTest, ScoringIsRetried) {
  int calls = 0;
  world.services.fault_hook = [&](const Call&) { return calls++ < 5 ? Effect::kLoseAnswer : Effect::kPass; };
  const Outcome<BatchAnswer> answer = FetchBatch(world, a, 1, 1, 1);
  ASSERT_TRUE(Ok(answer));
  EXPECT_EQ(CheckBatch(world, Value(answer).bytes, 1, 1), "");
  EXPECT_EQ(Dropped(a, DropReason::kScoring), 5);
}

// Guards against a job that stops delivering after the table was restored to an earlier state.
TEST_F(JobsTest, DeliveryContinuesAfterTheTableWasRestored) {
  ASSERT_TRUE(Ok(FetchBatch(world, a, 1, 1, 1)));
  world.table.Save();
  ASSERT_TRUE(Ok(FetchBatch(world, a, 2, 1, 1)));
  ASSERT_TRUE(Ok(FetchBatch(world, a, 3, 1, 1)));
  world.table.Restore();
  for (std::int64_t seq = 4; seq <= 5; ++seq) {
    const Outcome<BatchAnswer> answer = FetchBatch(world, a, seq, 1, 1);
    ASSERT_TRUE(Ok(answer)) << ErrorOf(answer).detail;
    EXPECT_EQ(CheckBatch(world, Value(answer).bytes, seq, 1), "");
  }
}

// Guards against two jobs with one id, and against changes to an ended job.
TEST_F(JobsTest, RefusesAConflictingJobAndChangesToAnEndedJob) {
  const TablePort table = world.table.Port("a");
  const auto create = [&](const std::string& write_id) {
    return Capture<std::monostate>([&] { return CreateJob(table, world.spec, write_id); });
  };
  const auto set = [&](JobState state) {
    return Capture<JobSpec>(
        [&] { return SetJobState(table, "clues", state, "w" + std::string(NameOf(state))); });
  };
  EXPECT_TRUE(Ok(create("w1")));
  EXPECT_TRUE(Ok(create("w2")));
  world.spec.seed = 2;
  EXPECT_EQ(ErrorOf(create("w3")).kind, ErrorKind::kConflict);
  world.spec.group_size = 3;
  EXPECT_EQ(ErrorOf(create("w4")).kind, ErrorKind::kInvalidRequest);
  EXPECT_EQ(Value(set(JobState::kEnded)).state, JobState::kEnded);
  EXPECT_EQ(ErrorOf(set(JobState::kRunning)).kind, ErrorKind::kConflict);
  const Outcome<JobSpec> unknown = Capture<JobSpec>([&] { return ReadJob(table, "other"); });
  EXPECT_EQ(ErrorOf(unknown).kind, ErrorKind::kUnknownJob);
  EXPECT_EQ(Value(Capture<std::vector<JobSpec>>([&] { return ListJobs(table); })).size(), 1U);
}

// Guards against a lease that stays held after its job has ended.
TEST_F(JobsTest, EndedJobReleasesItsLease) {
  ASSERT_TRUE(Ok(FetchBatch(world, a, 1, 1, 1)));
  a.runner.spec.state = JobState::kEnded;
  static_cast<void>(matrix::Tick(world, a, 1));
  EXPECT_EQ(a.runner.lease.state, LeaseState::kNotHeld);
  EXPECT_EQ(Json::parse(world.table.rows.at("leases/clues").value).at("holder"), "");
}

}  // namespace
}  // namespace oleander
