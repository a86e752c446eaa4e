#include <gtest/gtest.h>

#include <map>

#include "oleander/routing.h"

namespace oleander {
namespace {

QueuedWork Rollout(std::uint64_t id, const JobId& job, std::int64_t step, int tokens) {
  QueuedWork work;
  work.id = id;
  work.job = job;
  work.step = step;
  work.expected_tokens = tokens;
  return work;
}

QueuedWork Interactive(std::uint64_t id) {
  QueuedWork work;
  work.id = id;
  work.work_class = WorkClass::kInteractive;
  work.expected_tokens = 10;
  return work;
}

bool Accepts(EngineQueue& queue, const QueuedWork& work) {
  return Ok(Capture<std::monostate>([&] { return Enqueue(queue, work); }));
}

// Guards against training that occupies all slots, so that interactive work waits behind long generations.
TEST(EngineQueue, TrainingNeverTakesReservedSlots) {
  EngineQueue queue;
  queue.max_in_flight = 4;
  queue.reserved_interactive = 1;
  for (int it = 1; it <= 10; ++it) ASSERT_TRUE(Accepts(queue, Rollout(it, "a", 1, 100)));
  int started = 0;
  while (StartNext(queue)) ++started;
  EXPECT_EQ(started, 3);
  ASSERT_TRUE(Accepts(queue, Interactive(11)));
  const std::optional<QueuedWork> next = StartNext(queue);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->id, 11u);
  EXPECT_FALSE(StartNext(queue));
}

// Guards against interactive work that is refused because training has filled the queue.
TEST(EngineQueue, TrainingDoesNotUseUpTheInteractiveLength) {
  EngineQueue queue;
  queue.max_length = 3;
  for (int it = 1; it <= 3; ++it) ASSERT_TRUE(Accepts(queue, Rollout(it, "a", 1, 100)));
  EXPECT_FALSE(Accepts(queue, Rollout(4, "a", 1, 100)));
  EXPECT_TRUE(Accepts(queue, Interactive(5)));
  EXPECT_EQ(QueueLength(queue), 4);
}

// Runs up to `turns` work items, one at a time, and returns the tokens served per job. Each item is served
// `served_each` tokens, or its expected tokens if that is 0.
std::map<JobId, int> Serve(EngineQueue& queue, int turns, int served_each) {
  std::map<JobId, int> tokens;
  for (int it = 0; it < turns; ++it) {
    const std::optional<QueuedWork> work = StartNext(queue);
    if (!work) break;
    const int served = served_each > 0 ? served_each : work->expected_tokens;
    tokens[work->job] += served;
    FinishWork(queue, *work, served);
  }
  return tokens;
}

// Guards against sharing by number of requests, where the trainer with long samples gets most of the engine.
TEST(EngineQueue, SharesTokensNotRequests) {
  EngineQueue queue;
  std::uint64_t id = 0;
  for (int it = 0; it < 100; ++it) ASSERT_TRUE(Accepts(queue, Rollout(++id, "long", 1, 500)));
  for (int it = 0; it < 1000; ++it) ASSERT_TRUE(Accepts(queue, Rollout(++id, "short", 1, 50)));
  const std::map<JobId, int> tokens = Serve(queue, 550, 0);
  EXPECT_NEAR(tokens.at("long"), tokens.at("short"), 500);
}

// Guards against sharing by expected lengths: a job that overstates its lengths must not lose service, and
// one that understates them must not gain.
TEST(EngineQueue, CorrectsTheChargeToTokensServed) {
  EngineQueue queue;
  std::uint64_t id = 0;
  for (int it = 0; it < 300; ++it) ASSERT_TRUE(Accepts(queue, Rollout(++id, "overstated", 1, 1000)));
  for (int it = 0; it < 300; ++it) ASSERT_TRUE(Accepts(queue, Rollout(++id, "understated", 1, 1)));
  const std::map<JobId, int> tokens = Serve(queue, 300, 100);
  EXPECT_NEAR(tokens.at("overstated"), tokens.at("understated"), 200);
}

TEST(EngineQueue, HonoursWeights) {
  EngineQueue queue;
  std::uint64_t id = 0;
  for (int it = 0; it < 400; ++it) {
    QueuedWork heavy = Rollout(++id, "heavy", 1, 100);
    heavy.weight = 3;
    ASSERT_TRUE(Accepts(queue, heavy));
    ASSERT_TRUE(Accepts(queue, Rollout(++id, "light", 1, 100)));
  }
  const std::map<JobId, int> tokens = Serve(queue, 400, 0);
  EXPECT_NEAR(tokens.at("heavy"), 30000, 200);
}

// Guards against a job that is idle for long and then blocks the other jobs until it has caught up.
TEST(EngineQueue, IdleJobGetsNoCreditForIdleTime) {
  EngineQueue queue;
  std::uint64_t id = 0;
  for (int it = 0; it < 500; ++it) ASSERT_TRUE(Accepts(queue, Rollout(++id, "busy", 1, 100)));
  Serve(queue, 200, 0);
  for (int it = 0; it < 200; ++it) ASSERT_TRUE(Accepts(queue, Rollout(++id, "late", 1, 100)));
  const std::map<JobId, int> tokens = Serve(queue, 100, 0);
  EXPECT_NEAR(tokens.at("late"), tokens.at("busy"), 100);
}

// Guards against a long sample that starts last and delays its step, and against later steps that start
// first.
TEST(EngineQueue, OldestStepThenLongestThenSmallestGroup) {
  EngineQueue queue;
  ASSERT_TRUE(Accepts(queue, Rollout(1, "a", 2, 900)));
  ASSERT_TRUE(Accepts(queue, Rollout(2, "a", 1, 10)));
  ASSERT_TRUE(Accepts(queue, Rollout(3, "a", 1, 800)));
  QueuedWork last_of_group = Rollout(4, "a", 1, 10);
  last_of_group.group_unfinished = 1;
  QueuedWork many_missing = Rollout(5, "a", 1, 10);
  many_missing.group_unfinished = 7;
  ASSERT_TRUE(Accepts(queue, many_missing));
  ASSERT_TRUE(Accepts(queue, last_of_group));
  std::vector<std::uint64_t> order;
  while (const std::optional<QueuedWork> work = StartNext(queue)) order.push_back(work->id);
  EXPECT_EQ(order, (std::vector<std::uint64_t>{3, 2, 4, 5, 1}));
}

// Guards against a sample that exceeds its predicted length and then waits behind all new work.
TEST(EngineQueue, ResumedWorkRunsBeforeLongerNewWork) {
  EngineQueue queue;
  QueuedWork outgrown = Rollout(1, "a", 1, ExpectedRemaining(100, 256));
  outgrown.resumed = true;
  ASSERT_TRUE(Accepts(queue, Rollout(2, "a", 1, 4000)));
  ASSERT_TRUE(Accepts(queue, outgrown));
  EXPECT_EQ(StartNext(queue)->id, 1u);
  EXPECT_EQ(ExpectedRemaining(100, 256), 128);
  EXPECT_EQ(ExpectedRemaining(1000, 256), 744);
}

// Guards against work that runs after its deadline, although its caller was already refused.
TEST(EngineQueue, RemovesExpiredWorkOnce) {
  EngineQueue queue;
  const absl::Time start = absl::FromUnixSeconds(1000);
  QueuedWork short_wait = Interactive(1);
  short_wait.deadline = start + absl::Seconds(1);
  QueuedWork long_wait = Rollout(2, "a", 1, 10);
  long_wait.deadline = start + absl::Seconds(3);
  ASSERT_TRUE(Accepts(queue, short_wait));
  ASSERT_TRUE(Accepts(queue, long_wait));
  EXPECT_TRUE(RemoveExpired(queue, start).empty());
  EXPECT_EQ(RemoveExpired(queue, start + absl::Seconds(2)).size(), 1u);
  EXPECT_EQ(QueueLength(queue), 1);
  EXPECT_EQ(RemoveExpired(queue, start + absl::Seconds(3)).size(), 1u);
  EXPECT_EQ(QueueLength(queue), 0);
  EXPECT_FALSE(StartNext(queue));
}

// Guards against a cancelled request that still occupies a slot.
TEST(EngineQueue, RemovedWorkDoesNotStart) {
  EngineQueue queue;
  for (int it = 1; it <= 5; ++it) ASSERT_TRUE(Accepts(queue, Rollout(it, "a", 1, it)));
  EXPECT_TRUE(RemoveQueued(queue, 5));
  EXPECT_FALSE(RemoveQueued(queue, 5));
  EXPECT_EQ(QueueLength(queue), 4);
  EXPECT_EQ(StartNext(queue)->id, 4u);
}

// Guards against a map of virtual times that grows with every job.
TEST(EngineQueue, RemovesVirtualTimesOfFinishedJobs) {
  EngineQueue idle_between;
  EngineQueue always_busy;
  for (int it = 0; it < 2000; ++it) ASSERT_TRUE(Accepts(always_busy, Rollout(5000 + it, "busy", 1, 10)));
  for (int it = 0; it < 1000; ++it) {
    const QueuedWork work = Rollout(it + 1, "job-" + std::to_string(it), 1, 10);
    ASSERT_TRUE(Accepts(idle_between, work));
    ASSERT_TRUE(Accepts(always_busy, work));
    Serve(idle_between, 1, 0);
    Serve(always_busy, 2, 0);
  }
  EXPECT_EQ(idle_between.virtual_time.size(), 0u);
  EXPECT_LE(always_busy.virtual_time.size(), 2 * always_busy.training.size() + 17);
}

}  // namespace
}  // namespace oleander
