// Tests of scoring calls with scripted upstreams.
#include "serving/scoring.h"

#include <gtest/gtest.h>

#include <set>

#include "absl/strings/str_cat.h"
#include "tests/serving_fakes.h"

namespace oleander::serving {
namespace {

using fakes::FakeLoop;
using fakes::ScriptedLink;

struct ScoringTest : testing::Test {
  ScoringTest() {
    directory.ApplyPolicy(fakes::MakePolicy());
    for (const char* id : {"u1", "u2", "u3"}) {
      UpstreamEntry entry;
      entry.id = id;
      entry.service = "lookups";
      entry.address = "10.0.0.9:80";
      entry.zone = "a";
      entry.slots = 6;
      entry.started_ms = 1;
      directory.ApplyUpstream(entry);
    }
  }
  ScoringId Start(int n = 1, int failures = 0) {
    return calls.Start(
        {absl::StrCat("score", n), "app.example", "/l/x", "body"}, failures, 1, [] { return true; },
        [this](const ScoringOutcome& outcome) { outcomes.push_back(outcome); });
  }
  void ScriptAllUpstreams(const ScriptedLink::Script& script) {
    for (const char* id : {"u1", "u2", "u3"}) link.scripts[id].assign(200, script);
  }
  // Advances the clock and dispatches every 20 ms, as a host does.
  void RunFor(absl::Duration duration) {
    const absl::Time end = loop.Now() + duration;
    while (loop.Now() < end) {
      calls.Dispatch();
      loop.RunFor(std::min(absl::Milliseconds(20), end - loop.Now()));
    }
  }
  int Cancelled() const {
    int n = 0;
    for (const std::pair<const CallId, ScriptedLink::Sent>& it : link.sent) n += it.second.cancelled ? 1 : 0;
    return n;
  }

  FakeLoop loop;
  ScriptedLink link{loop};
  Directory directory;
  ScoringCalls calls{loop, link, directory, "a"};
  std::vector<ScoringOutcome> outcomes;
};

TEST_F(ScoringTest, TheSignatureOfTheAnswerIsTheScore) {
  Start();
  RunFor(absl::Milliseconds(50));
  ASSERT_EQ(outcomes.size(), 1u);
  EXPECT_EQ(outcomes[0].score, "signed");
  ASSERT_EQ(link.sent.size(), 1u);
  const UpstreamCall& call = link.sent.begin()->second.call;
  EXPECT_EQ(call.method, "POST");
  EXPECT_EQ(call.target, "/l/x");
  EXPECT_EQ(call.host, "app.example");
  EXPECT_EQ(call.request_id, "score1");
  ASSERT_TRUE(call.deadline);
  EXPECT_LE(*call.deadline, absl::Milliseconds(1500)) << "the route's timeout limits it";
}

// Guards against scores from unusable answers: to another request, unsigned, truncated, or rejected with
// status 404.
TEST_F(ScoringTest, OnlyACompleteSignedSuccessOfTheCallIsAScore) {
  ScriptedLink::Script foreign = ScriptedLink::Success();
  foreign.head.request_id = "other";
  ScriptedLink::Script unsigned_answer = ScriptedLink::Success();
  unsigned_answer.head.signature.clear();
  ScriptedLink::Script truncated = ScriptedLink::Success();
  truncated.end = CallEnd::kBroken;
  ScriptedLink::Script rejected = ScriptedLink::Success();
  rejected.head.status = 404;
  for (const ScriptedLink::Script& it : {foreign, unsigned_answer, truncated, rejected}) {
    outcomes.clear();
    for (const char* id : {"u1", "u2", "u3"}) link.scripts[id] = {it};
    Start();
    RunFor(absl::Seconds(6));
    ASSERT_EQ(outcomes.size(), 1u);
    EXPECT_EQ(outcomes[0].score, "signed");
    EXPECT_GT(outcomes[0].attempts, 1);
    EXPECT_EQ(outcomes[0].failures, 0);
  }
}

// Guards against more attempts than the route allows, and against ignoring the failures that an earlier owner
// has counted.
TEST_F(ScoringTest, FailuresEndTheCallAfterTheMaximumAttemptsOfItsRoute) {
  ScriptedLink::Script failed = ScriptedLink::Success();
  failed.head.status = 500;
  ScriptAllUpstreams(failed);
  Start();
  RunFor(absl::Seconds(2));
  ASSERT_EQ(outcomes.size(), 1u);
  EXPECT_EQ(outcomes[0].score, "");
  EXPECT_EQ(link.sent.size(), 2u);
  Start(2, 1);
  RunFor(absl::Seconds(2));
  ASSERT_EQ(outcomes.size(), 2u);
  EXPECT_EQ(link.sent.size(), 3u);
  Start(3, 2);
  RunFor(absl::Seconds(2));
  EXPECT_EQ(outcomes.size(), 3u);
}

// Guards against avoiding upstreams because of one call that fails at all of them.
TEST_F(ScoringTest, AFailedCallDoesNotMakeItsUpstreamAvoided) {
  ScriptedLink::Script failed = ScriptedLink::Success();
  failed.head.status = 500;
  for (const char* id : {"u1", "u2", "u3"}) link.scripts[id] = {failed};
  Start();
  RunFor(absl::Milliseconds(25));
  for (const UpstreamState* it : directory.Usable("lookups")) EXPECT_LE(it->avoid_until, loop.Now());
}

// Guards against counting refusals as failures: a full service must not cause the loss of a text.
TEST_F(ScoringTest, RefusedCallsAreRetriedUntilAnswered) {
  ScriptedLink::Script full = ScriptedLink::Success();
  full.head.status = 503;
  full.head.not_run = true;
  full.delay = absl::Milliseconds(2);
  ScriptAllUpstreams(full);
  Start();
  RunFor(absl::Seconds(5));
  EXPECT_TRUE(outcomes.empty());
  EXPECT_LT(link.sent.size(), 20u) << "the rate of calls drops while the service refuses";
  for (const char* id : {"u1", "u2", "u3"}) link.scripts[id].clear();
  RunFor(absl::Milliseconds(1200));
  ASSERT_EQ(outcomes.size(), 1u);
  EXPECT_EQ(outcomes[0].score, "signed");
}

// Guards against waiting for a lost answer until the timeout: after the route's objective the call is hedged
// at a second upstream, within the hedge budget, and it has one outcome.
TEST_F(ScoringTest, StalledCallsAreHedgedWithinTheHedgeBudget) {
  for (int it = 0; it < 20; ++it) Start(it);
  RunFor(absl::Seconds(1));
  ASSERT_EQ(outcomes.size(), 20u);
  outcomes.clear();
  const std::size_t before = link.sent.size();
  ScriptedLink::Script stalled = ScriptedLink::Success();
  stalled.delay = absl::Seconds(10);
  for (const char* id : {"u1", "u2", "u3"}) link.scripts[id].assign(2, stalled);
  for (int it = 0; it < 6; ++it) Start(100 + it);
  RunFor(absl::Milliseconds(400));
  const std::size_t hedges = link.sent.size() - before - 6;
  EXPECT_GE(hedges, 1u);
  EXPECT_LE(hedges, 3u) << "one in ten calls is hedged, plus a small burst";
  RunFor(absl::Seconds(8));
  EXPECT_EQ(outcomes.size(), 6u);
  for (const ScoringOutcome& it : outcomes) EXPECT_EQ(it.score, "signed");
}

// Guards against upstreams that continue to run a cancelled call, and against slots that stay in use.
TEST_F(ScoringTest, ACancelledCallStopsItsUpstreamAndFreesItsSlot) {
  ScriptedLink::Script slow = ScriptedLink::Success();
  slow.delay = absl::Milliseconds(500);
  ScriptAllUpstreams(slow);
  std::vector<ScoringId> ids;
  for (int it = 0; it < 20; ++it) ids.push_back(Start(it));
  RunFor(absl::Milliseconds(40));
  EXPECT_GT(link.sent.size(), 0u);
  EXPECT_LT(link.sent.size(), 20u) << "the other calls wait at this host";
  for (const ScoringId it : ids) calls.Cancel(it);
  RunFor(absl::Seconds(3));
  EXPECT_TRUE(outcomes.empty());
  EXPECT_EQ(Cancelled(), static_cast<int>(link.sent.size()));
  EXPECT_EQ(calls.Open(), 0);
  for (const UpstreamState* it : directory.Usable("lookups")) EXPECT_EQ(it->in_flight, 0);
  for (int it = 0; it < 4; ++it) Start(it);
  RunFor(absl::Seconds(3));
  EXPECT_EQ(outcomes.size(), 4u) << "cancelled calls do not count against the limit";
}

// Guards against a burst of scoring calls that fills the upstreams at the end of a step: 128 texts at the
// same time are all scored, and the slots that lookups need stay free.
TEST_F(ScoringTest, ABurstOfCallsLeavesSlotsForLookups) {
  for (int it = 0; it < 128; ++it) Start(it);
  for (int it = 0; it < 400 && outcomes.size() < 128; ++it) {
    for (const UpstreamState* upstream : directory.Usable("lookups")) EXPECT_LE(upstream->in_flight, 4);
    RunFor(absl::Milliseconds(5));
  }
  EXPECT_EQ(outcomes.size(), 128u);
}

}  // namespace
}  // namespace oleander::serving
