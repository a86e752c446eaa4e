// The decisions of the serving core on replayed loads.
#include "serving/decisions.h"

#include <gtest/gtest.h>

namespace oleander::serving {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

// A run that is likely to be its step's last, on an engine with a pace of 50 ms; another one has room.
RunProgress DecisiveRun() {
  RunProgress run;
  run.since_last_event = absl::Milliseconds(20);
  run.since_start = absl::Seconds(2);
  run.events_here = 30;
  run.decisive = true;
  run.gap_ms = run.pace_ms = run.other_gap_ms = run.other_pace_ms = 50;
  return run;
}

// Guards against questions and moves for runs that go on as usual.
TEST(JudgeRunTest, ARunInTimeStays) { EXPECT_EQ(JudgeRun(DecisiveRun()), RunVerdict::kStay); }

// Replays a neighbour's burst of half a second on the engine of a step's last item: the long average shows
// it only when it is over, so the engines are asked after one late event.
TEST(JudgeRunTest, ALateEventOfADecisiveRunIsLookedInto) {
  RunProgress run = DecisiveRun();
  run.since_last_event = absl::Milliseconds(80);
  EXPECT_EQ(JudgeRun(run), RunVerdict::kAskLoads);
  run.load_fresh = run.other_load_fresh = true;
  EXPECT_EQ(JudgeRun(run), RunVerdict::kStay) << "the engine says that it is not slowed";
  run.gap_ms = 125;
  EXPECT_EQ(JudgeRun(run), RunVerdict::kMove);
  run.other_gap_ms = 125;
  EXPECT_EQ(JudgeRun(run), RunVerdict::kStay) << "the other engine is slowed as well";
}

// Guards against a run that waits in an engine's queue for another's slot, half a second at a full engine.
TEST(JudgeRunTest, ADecisiveRunLeavesAQueue) {
  RunProgress run = DecisiveRun();
  run.events_here = 0;
  run.since_last_event = absl::Milliseconds(130);
  run.load_fresh = run.other_load_fresh = run.queued = true;
  EXPECT_EQ(JudgeRun(run), RunVerdict::kMove);
}

// Guards against waiting for the silence limit when the engine does not even answer a question.
TEST(JudgeRunTest, ADecisiveRunLeavesAMuteEngine) {
  RunProgress run = DecisiveRun();
  run.since_last_event = absl::Milliseconds(250);
  run.mute = run.other_load_fresh = true;
  EXPECT_EQ(JudgeRun(run), RunVerdict::kMove);
  run.other_load_fresh = false;
  EXPECT_EQ(JudgeRun(run), RunVerdict::kAskLoads) << "nothing is known of the other engine";
}

// Guards against new connections for items that end early anyway: a burst is over before they would gain.
TEST(JudgeRunTest, AShortRunLeavesOnlyAnEngineThatStaysSlow) {
  RunProgress run = DecisiveRun();
  run.decisive = false;
  run.gap_ms = 125;
  run.since_start = absl::Milliseconds(600);
  EXPECT_EQ(JudgeRun(run), RunVerdict::kStay);
  run.since_start = absl::Seconds(2);
  EXPECT_EQ(JudgeRun(run), RunVerdict::kMove);
}

// Guards against a move to nowhere.
TEST(JudgeRunTest, WithoutRoomElsewhereARunStays) {
  RunProgress run = DecisiveRun();
  run.since_last_event = absl::Seconds(5);
  run.other_gap_ms = 0;
  EXPECT_EQ(JudgeRun(run), RunVerdict::kStay);
}

// Guards against a burst that the events have shown and that a newer load denies, and the reverse.
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

}  // namespace
}  // namespace oleander::serving
