// Tests of the serving core's decisions on the load patterns that they are built for.
#include "serving/decisions.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace oleander::serving {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

// A run that is likely to be among the last of its step, on an engine that sends an event every 50 ms.
// Another engine has a free slot.
RunProgress TailRun() {
  RunProgress run;
  run.since_last_event = absl::Milliseconds(20);
  run.since_start = absl::Seconds(2);
  run.events_here = 30;
  run.is_tail = true;
  run.gap_ms = run.pace_ms = run.other_gap_ms = run.other_pace_ms = 50;
  return run;
}

// Guards against load queries and moves for runs that are on schedule.
TEST(DecideMoveTest, ARunOnScheduleStays) { EXPECT_EQ(DecideMove(TailRun()), MoveDecision::kStay); }

// Guards against a burst of half a second on the same machine that delays a step's last item. The engine's
// long-term average shows the burst only after it has ended, so one late event must trigger a load query.
TEST(DecideMoveTest, ALateEventOfATailRunTriggersALoadQuery) {
  RunProgress run = TailRun();
  run.since_last_event = absl::Milliseconds(80);
  EXPECT_EQ(DecideMove(run), MoveDecision::kQueryLoads);
  run.load_fresh = run.other_load_fresh = true;
  EXPECT_EQ(DecideMove(run), MoveDecision::kStay) << "the engine reports that it is not slowed down";
  run.gap_ms = 125;
  EXPECT_EQ(DecideMove(run), MoveDecision::kMove);
  run.other_gap_ms = 125;
  EXPECT_EQ(DecideMove(run), MoveDecision::kStay) << "the other engine is slowed down as well";
}

// Guards against a run that waits in an engine's queue for a free slot: half a second at a full engine.
TEST(DecideMoveTest, ATailRunLeavesAnEngineWithAQueue) {
  RunProgress run = TailRun();
  run.events_here = 0;
  run.since_last_event = absl::Milliseconds(130);
  run.load_fresh = run.other_load_fresh = run.queued = true;
  EXPECT_EQ(DecideMove(run), MoveDecision::kMove);
}

// Guards against waiting for the silence limit of a run when its engine has not answered a load query.
TEST(DecideMoveTest, ATailRunLeavesAnEngineThatDoesNotReportItsLoad) {
  RunProgress run = TailRun();
  run.since_last_event = absl::Milliseconds(250);
  run.unresponsive = run.other_load_fresh = true;
  EXPECT_EQ(DecideMove(run), MoveDecision::kMove);
  run.other_load_fresh = false;
  EXPECT_EQ(DecideMove(run), MoveDecision::kQueryLoads) << "the load of the other engine is not known";
}

// Guards against opening new connections for short items: a burst ends before a move would save time.
TEST(DecideMoveTest, AShortRunLeavesOnlyAnEngineThatStaysSlow) {
  RunProgress run = TailRun();
  run.is_tail = false;
  run.gap_ms = 125;
  run.since_start = absl::Milliseconds(600);
  EXPECT_EQ(DecideMove(run), MoveDecision::kStay);
  run.since_start = absl::Seconds(2);
  EXPECT_EQ(DecideMove(run), MoveDecision::kMove);
}

// Guards against breaking off a run when no other engine has a free slot.
TEST(DecideMoveTest, ARunStaysIfNoOtherEngineHasAFreeSlot) {
  RunProgress run = TailRun();
  run.since_last_event = absl::Seconds(5);
  run.other_gap_ms = 0;
  EXPECT_EQ(DecideMove(run), MoveDecision::kStay);
}

// Guards against an estimate from event intervals that overrides a newer load report, and the reverse.
TEST(ExpectedGapTest, TheNewerObservationDecides) {
  UpstreamState upstream;
  upstream.pace_ms = 50;
  upstream.gap_ms = 125;
  upstream.gap_at = kNow - absl::Milliseconds(50);
  EXPECT_GT(ExpectedGap(upstream, 50, kNow), 100);
  ObserveLoad(upstream, {4, 0, 8, 1.0}, kNow);
  EXPECT_EQ(ExpectedGap(upstream, 50, kNow), 50);
  ObserveLoad(upstream, {4, 0, 8, 2.5}, kNow);
  EXPECT_EQ(ExpectedGap(upstream, 50, kNow), 125);
}

// ---- Engines of an owner

std::vector<UpstreamState*> Pointers(std::vector<UpstreamState>& states) {
  std::vector<UpstreamState*> pointers;
  for (UpstreamState& it : states) pointers.push_back(&it);
  return pointers;
}

std::vector<UpstreamState> Engines(int n, int slots) {
  std::vector<UpstreamState> states(static_cast<std::size_t>(n));
  for (int it = 0; it < n; ++it) {
    states[it].entry.id = "e" + std::to_string(it);
    states[it].entry.zone = "z";
    states[it].entry.slots = slots;
    states[it].observed_weights["words"] = it % 2 == 0 ? 5 : 6;
  }
  return states;
}

// Guards against comparing all engines for each item. With a step of 600 items and 1,500 engines of six
// slots, this took seconds on an owner with an eighth of a core.
TEST(EngineShareTest, AStepUsesTheEnginesThatItCanFill) {
  std::vector<UpstreamState> states = Engines(1500, 6);
  const std::vector<UpstreamState*> usable = Pointers(states);
  const std::vector<UpstreamState*> share = EngineShare(usable, "words", 6, 600);
  EXPECT_EQ(share.size(), 300u) << "three slots for each item";
  for (const UpstreamState* it : share) EXPECT_EQ(it->observed_weights.at("words"), 6);
  EXPECT_EQ(EngineShare(usable, "words", 6, 600), share) << "the next step reuses the connections";
  const std::vector<UpstreamState*> other = EngineShare(usable, "numbers", 0, 600);
  EXPECT_NE(other, share) << "each model starts with different engines";
}

// Guards against engines that stay unused although a step needs all of them.
TEST(EngineShareTest, AStepUsesAllEnginesOfASmallFleet) {
  std::vector<UpstreamState> states = Engines(42, 6);
  const std::vector<UpstreamState*> usable = Pointers(states);
  EXPECT_EQ(EngineShare(usable, "words", 6, 192), usable);
}

// Guards against a small step that goes back to one engine as long as all of its answers are broken.
TEST(EngineShareTest, TheSlotsOfAnEngineThatFailsDoNotCount) {
  std::vector<UpstreamState> states = Engines(3, 8);
  const std::vector<UpstreamState*> usable = Pointers(states);
  const std::vector<UpstreamState*> share = EngineShare(usable, "words", 5, 2);
  ASSERT_EQ(share.size(), 1u);
  ObserveFailure(*share[0], absl::UnixEpoch());
  const std::vector<UpstreamState*> with_another = EngineShare(usable, "words", 5, 2);
  ASSERT_EQ(with_another.size(), 2u);
  EXPECT_EQ(with_another[0], share[0]) << "it may serve again, and connections to it are open";
  ObserveFailure(*with_another[1], absl::UnixEpoch());
  EXPECT_EQ(EngineShare(usable, "words", 5, 2).size(), 3u);
  ObserveSuccess(*share[0]);
  EXPECT_EQ(EngineShare(usable, "words", 5, 2), share);
}

// Guards against placing a step on outdated costs: the incremental costs must choose the same engines as a
// full computation for each item.
TEST(PlacementCostsTest, IncrementalCostsChooseTheSameEnginesAsAFullComputation) {
  std::vector<UpstreamState> states = Engines(20, 6);
  std::vector<UpstreamState> again = Engines(20, 6);
  for (int it = 0; it < 20; ++it) states[it].pace_ms = again[it].pace_ms = 40 + it;
  ItemChoice choice;
  choice.model = "words";
  choice.min_version = 5;
  choice.zone = "z";
  choice.now = kNow;
  PlacementCosts costs = CostsForItems(Pointers(states), choice);
  for (int it = 0; it < 130; ++it) {
    choice.preferred = "e" + std::to_string(it % 7);
    choice.avoided = "e" + std::to_string(it % 5);
    UpstreamState* const one = PickByCost(costs, choice);
    UpstreamState* const alone = PickForItem(Pointers(again), choice);
    ASSERT_EQ(one == nullptr, alone == nullptr) << it;
    if (one == nullptr) break;
    ASSERT_EQ(one->entry.id, alone->entry.id) << it;
    ++one->in_flight;
    ++alone->in_flight;
    UpdateCost(costs, *one, choice);
  }
  for (const UpstreamState& it : states) EXPECT_LE(it.in_flight, 6);
}

// Guards against a cached list of usable upstreams that is not updated after a change.
TEST(DirectoryTest, UsableFollowsEachChange) {
  Directory directory;
  UpstreamEntry entry;
  entry.id = "u1";
  entry.service = "s";
  entry.started_ms = 1;
  EXPECT_TRUE(directory.Usable("s").empty());
  directory.ApplyUpstream(entry);
  EXPECT_EQ(directory.Usable("s").size(), 1u);
  entry.draining = true;
  directory.ApplyUpstream(entry);
  EXPECT_TRUE(directory.Usable("s").empty());
  entry.draining = false;
  directory.ApplyUpstream(entry);
  EXPECT_EQ(directory.Usable("s").size(), 1u);
  entry.service = "t";
  directory.ApplyUpstream(entry);
  EXPECT_TRUE(directory.Usable("s").empty());
  EXPECT_EQ(directory.Usable("t").size(), 1u);
  directory.RemoveUpstream("u1", kNow, kNow + absl::Seconds(1));
  EXPECT_EQ(directory.Usable("t").size(), 1u);
  directory.Expire(kNow + absl::Seconds(2));
  EXPECT_TRUE(directory.Usable("t").empty());
  directory.ApplyUpstream(entry);
  EXPECT_EQ(directory.Usable("t").size(), 1u);
  directory.RemoveUpstream("u1", kNow, kNow);
  EXPECT_TRUE(directory.Usable("t").empty());
}

// ---- Scoring calls

std::vector<UpstreamState> Scorers(int n, int slots) {
  std::vector<UpstreamState> states(static_cast<std::size_t>(n));
  for (int it = 0; it < n; ++it) {
    states[it].entry.id = std::string(1, static_cast<char>('a' + it));
    states[it].entry.zone = "z";
    states[it].entry.slots = slots;
  }
  return states;
}
// Guards against scoring calls that take the slots of lookups. The 128 texts of a step are complete at the
// same time, at three upstreams of six slots: a third of the slots stays free, and the other calls wait at
// their owner.
TEST(PickForScoringTest, ABurstLeavesSlotsForLookups) {
  std::vector<UpstreamState> states = Scorers(3, 6);
  ScoringChoice choice;
  choice.zone = "z";
  choice.now = kNow;
  int placed = 0;
  for (int it = 0; it < 128; ++it) {
    UpstreamState* const upstream = PickForScoring(Pointers(states), choice);
    if (upstream == nullptr) continue;
    ++upstream->in_flight;
    ++placed;
  }
  EXPECT_EQ(placed, 12);
  for (const UpstreamState& it : states) EXPECT_EQ(it.in_flight, 4);
}

// Guards against scoring calls to an upstream that is full with lookups of other hosts: its load report must
// exclude it.
TEST(PickForScoringTest, CountsTheReportedLoadOfOtherHosts) {
  std::vector<UpstreamState> states = Scorers(2, 6);
  ObserveLoad(states[0], {5, 2, 6, 1}, kNow);
  ScoringChoice choice;
  choice.zone = "z";
  choice.now = kNow;
  for (int it = 0; it < 4; ++it) {
    UpstreamState* const upstream = PickForScoring(Pointers(states), choice);
    ASSERT_EQ(upstream, &states[1]);
    ++upstream->in_flight;
  }
  EXPECT_EQ(PickForScoring(Pointers(states), choice), nullptr);
}

// Guards against calls to upstreams that have just failed, and to upstreams of other zones while this zone is
// cut off.
TEST(PickForScoringTest, SkipsAvoidedUpstreamsAndUsesItsOwnZoneWhenCutOff) {
  std::vector<UpstreamState> states = Scorers(2, 6);
  states[0].avoid_until = kNow + absl::Seconds(1);
  ScoringChoice choice;
  choice.zone = "z";
  choice.now = kNow;
  EXPECT_EQ(PickForScoring(Pointers(states), choice), &states[1]);
  choice.excluded = "b";
  EXPECT_EQ(PickForScoring(Pointers(states), choice), nullptr);
  states[0].avoid_until = absl::InfinitePast();
  states[0].entry.zone = "other";
  states[0].latency_ms = 20;
  states[1].latency_ms = 500;
  states[0].latency_at = states[1].latency_at = kNow;
  choice.excluded.clear();
  EXPECT_EQ(PickForScoring(Pointers(states), choice), &states[0]);
  choice.zone_isolated = true;
  EXPECT_EQ(PickForScoring(Pointers(states), choice), &states[1]);
}

// Guards against an owner that keeps its rate while a service refuses calls for a second, or that stays slow
// afterwards. The limit shrinks once for each round of calls, not once for each refusal, and grows again with
// answers.
TEST(ScoringLimitTest, ShrinksWithRefusalsAndGrowsWithAnswers) {
  ScoringLimit limit;
  const double before = limit.max_calls;
  for (int it = 0; it < 8; ++it)
    UpdateScoringLimit(limit, ScoringAttemptOutcome::kRefused, absl::Milliseconds(2), kNow);
  EXPECT_GT(limit.max_calls, before / 2) << "one round of refusals reduces the limit once";
  absl::Time now = kNow;
  for (int it = 0; it < 100; ++it) {
    now += absl::Milliseconds(10);
    UpdateScoringLimit(limit, ScoringAttemptOutcome::kRefused, absl::Milliseconds(2), now);
  }
  EXPECT_LT(limit.max_calls, 2);
  EXPECT_GE(limit.max_calls, 1) << "one call at a time detects that the service has recovered";
  for (int it = 0; it < 200; ++it) {
    now += absl::Milliseconds(10);
    UpdateScoringLimit(limit, ScoringAttemptOutcome::kAnswered, absl::Milliseconds(30), now);
  }
  EXPECT_GT(limit.max_calls, before);
}

// Guards against overloading a service that becomes ten times slower without refusing calls.
TEST(ScoringLimitTest, ShrinksWhenAnswersBecomeSlow) {
  ScoringLimit limit;
  absl::Time now = kNow;
  for (int it = 0; it < 100; ++it) {
    now += absl::Milliseconds(10);
    UpdateScoringLimit(limit, ScoringAttemptOutcome::kAnswered, absl::Milliseconds(30), now);
  }
  const double before = limit.max_calls;
  for (int it = 0; it < 10; ++it) {
    now += absl::Milliseconds(200);
    UpdateScoringLimit(limit, ScoringAttemptOutcome::kAnswered, absl::Milliseconds(300), now);
  }
  EXPECT_LT(limit.max_calls, before / 2);
}

TEST(ScoringPauseTest, GrowsWithEachAttemptUpToASecond) {
  EXPECT_EQ(ScoringBackoff(ScoringAttemptOutcome::kNoAnswer, 1), absl::ZeroDuration())
      << "a call without an answer is sent again at once";
  EXPECT_LT(ScoringBackoff(ScoringAttemptOutcome::kRefused, 1),
            ScoringBackoff(ScoringAttemptOutcome::kRefused, 3));
  EXPECT_LE(ScoringBackoff(ScoringAttemptOutcome::kRefused, 1000), absl::Seconds(1));
}

// Guards against accepting an answer to another request, an incomplete answer, or one without a signature.
TEST(ClassifyAttemptTest, OnlyACompleteSignedAnswerToTheRequestCounts) {
  AnswerHead head;
  head.status = 200;
  head.request_id = "r";
  head.signature = "s";
  EXPECT_EQ(ClassifyAttempt(CallEnd::kComplete, head, "r"), AttemptVerdict::kAnswered);
  EXPECT_EQ(ClassifyAttempt(CallEnd::kComplete, head, "other"), AttemptVerdict::kNoAnswer);
  EXPECT_EQ(ClassifyAttempt(CallEnd::kBroken, head, "r"), AttemptVerdict::kNoAnswer);
  EXPECT_EQ(ClassifyAttempt(CallEnd::kTooLarge, head, "r"), AttemptVerdict::kNoAnswer);
  head.signature.clear();
  EXPECT_EQ(ClassifyAttempt(CallEnd::kComplete, head, "r"), AttemptVerdict::kNoAnswer);
  head.status = 500;
  EXPECT_EQ(ClassifyAttempt(CallEnd::kComplete, head, "r"), AttemptVerdict::kFailed);
  head.not_run = true;
  EXPECT_EQ(ClassifyAttempt(CallEnd::kComplete, head, "r"), AttemptVerdict::kNotRun);
}

// Replays a release: an item waits for an engine of its version no longer than generating the text again
// takes.
TEST(Continuation, WaitsAsLongAsTheTextIsWorth) {
  ContinuationWait wait;
  wait.possible = true;
  wait.events = 50;
  wait.pace_ms = 30;
  wait.waited = absl::Milliseconds(1490);
  EXPECT_FALSE(ShouldDiscardText(wait));
  wait.waited = absl::Milliseconds(1500);
  EXPECT_TRUE(ShouldDiscardText(wait));
  wait.possible = false;
  wait.waited = absl::ZeroDuration();
  EXPECT_TRUE(ShouldDiscardText(wait));
}

}  // namespace
}  // namespace oleander::serving
