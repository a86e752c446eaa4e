#include "serving/frontend.h"

#include <gtest/gtest.h>

#include <set>

#include "absl/strings/str_cat.h"
#include "serving/decisions.h"
#include "tests/serving_fakes.h"

namespace oleander::serving {
namespace {

using fakes::FakeLoop;
using fakes::ScriptedLink;

struct FrontendTest : testing::Test {
  FrontendTest() {
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
    route = directory.PolicyInForce().routes[1];
  }
  FrontendId Ask(absl::Duration deadline = absl::Milliseconds(1500)) {
    CallerRequest request;
    request.id = "r1";
    request.host = "app.example";
    request.deadline = deadline;
    request.http = {"POST", "/l/x", {{"Host", "app.example"}}, "body"};
    return frontend.Handle(std::move(request), route,
                           [this](HttpResponse response) { answers.push_back(response); });
  }
  void AllAnswer(const ScriptedLink::Script& script) {
    for (const char* id : {"u1", "u2", "u3"}) link.scripts[id].assign(4, script);
  }

  FakeLoop loop;
  ScriptedLink link{loop};
  Directory directory;
  Frontend frontend{loop, link, directory, "a"};
  Route route;
  std::vector<HttpResponse> answers;
};

TEST_F(FrontendTest, DeliversTheAnswerUnchanged) {
  Ask();
  loop.RunFor(absl::Milliseconds(50));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, 200);
  EXPECT_EQ(answers[0].body, "whole");
  EXPECT_EQ(link.sent.size(), 1u);
  EXPECT_LE(link.sent.begin()->second.call.deadline.value(), absl::Milliseconds(1500));
}

// Replays lost answers and stalled upstreams: a lookup must not wait for its deadline.
TEST_F(FrontendTest, AStalledLookupIsHedgedWithinItsObjective) {
  ScriptedLink::Script stalled = ScriptedLink::Success();
  stalled.delay = absl::Seconds(10);
  for (const char* id : {"u1", "u2", "u3"}) link.scripts[id] = {stalled};
  Ask();
  loop.RunFor(absl::Milliseconds(30));
  EXPECT_EQ(link.sent.size(), 1u);
  for (const char* id : {"u1", "u2", "u3"}) link.scripts[id].clear();
  loop.RunFor(absl::Milliseconds(100));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, 200);
  EXPECT_EQ(link.sent.size(), 2u);
  EXPECT_TRUE(link.sent.begin()->second.cancelled);
}

// Guards against more attempts than the route allows.
TEST_F(FrontendTest, AttemptsStayWithinTheRoute) {
  ScriptedLink::Script broken = ScriptedLink::Success();
  broken.end = CallEnd::kBroken;
  AllAnswer(broken);
  Ask();
  loop.RunFor(absl::Seconds(2));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, 502);
  EXPECT_EQ(link.sent.size(), 2u);
}

// Guards against a call that runs twice: after a broken connection it may have run.
TEST_F(FrontendTest, ACallThatMayHaveRunIsNotRepeated) {
  route.kind = RouteKind::kNonIdempotent;
  route.max_attempts = 3;
  ScriptedLink::Script broken = ScriptedLink::Success();
  broken.end = CallEnd::kBroken;
  AllAnswer(broken);
  Ask();
  loop.RunFor(absl::Seconds(2));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, 502);
  EXPECT_EQ(link.sent.size(), 1u);
  EXPECT_TRUE(link.sent.begin()->second.call.fresh_connection);
}

// Guards against giving up where nothing ran: a refusal that says "not run" leaves the attempt free.
TEST_F(FrontendTest, ACallThatDidNotRunGoesToAnotherUpstream) {
  route.kind = RouteKind::kNonIdempotent;
  route.max_attempts = 1;
  ScriptedLink::Script full;
  full.head.status = 503;
  full.head.not_run = true;
  for (const char* id : {"u1", "u2"}) link.scripts[id] = {full};
  Ask();
  loop.RunFor(absl::Milliseconds(200));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, 200);
}

// Guards against "not run" that is not true, and against a refusal without a time to return.
TEST_F(FrontendTest, RefusalsSayNotRunOnlyIfNothingRan) {
  ScriptedLink::Script full;
  full.head.status = 503;
  full.head.not_run = true;
  AllAnswer(full);
  Ask();
  loop.RunFor(absl::Milliseconds(300));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, 503);
  EXPECT_FALSE(FindHeader(answers[0].headers, "Retry-After").empty());

  ScriptedLink::Script broken = ScriptedLink::Success();
  broken.end = CallEnd::kBroken;
  for (const char* id : {"u1", "u2", "u3"}) link.scripts[id] = {broken, full, full};
  loop.RunFor(absl::Seconds(3));
  Ask();
  loop.RunFor(absl::Seconds(2));
  ASSERT_EQ(answers.size(), 2u);
  EXPECT_EQ(answers[1].status, 502);
}

// Guards against an unservable request that is held until near its deadline.
TEST_F(FrontendTest, WithoutUpstreamsARequestIsRefusedAtOnce) {
  for (const char* id : {"u1", "u2", "u3"}) directory.RemoveUpstream(id, loop.Now(), loop.Now());
  Ask();
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, 503);
}

// Guards against answers of other requests and unsigned successes.
TEST_F(FrontendTest, ForeignAndUnsignedAnswersAreNotDelivered) {
  ScriptedLink::Script foreign = ScriptedLink::Success();
  foreign.head.request_id = "another";
  foreign.body = "not yours";
  AllAnswer(foreign);
  Ask();
  loop.RunFor(absl::Seconds(2));
  ScriptedLink::Script forged = ScriptedLink::Success();
  forged.head.signature.clear();
  AllAnswer(forged);
  Ask();
  loop.RunFor(absl::Seconds(2));
  ASSERT_EQ(answers.size(), 2u);
  for (const HttpResponse& it : answers) EXPECT_EQ(it.status, 502);
}

// Guards against upstreams that go on for a caller that has left.
TEST_F(FrontendTest, UpstreamsStopWhenTheCallerLeaves) {
  ScriptedLink::Script slow = ScriptedLink::Success();
  slow.delay = absl::Seconds(1);
  AllAnswer(slow);
  const FrontendId id = Ask();
  loop.RunFor(absl::Milliseconds(100));
  frontend.Abandon(id);
  for (const std::pair<const CallId, ScriptedLink::Sent>& it : link.sent) EXPECT_TRUE(it.second.cancelled);
  loop.RunFor(absl::Seconds(3));
  EXPECT_TRUE(answers.empty());
  EXPECT_EQ(frontend.OpenRequests(), 0);
  for (const UpstreamState* it : directory.Usable("lookups")) EXPECT_EQ(it->in_flight, 0);
}

// Replays a zone that is cut off (incident of 4 December): connections to other zones hang, and lookups lost
// 150 ms and more on each before they came to the upstream next door.
TEST_F(FrontendTest, AZoneThatIsCutOffUsesItsOwnUpstreams) {
  for (const char* id : {"u2", "u3"}) {
    UpstreamEntry other = directory.Find(id)->entry;
    other.zone = "b";
    directory.ApplyUpstream(other);
    ScriptedLink::Script unreachable;
    unreachable.delay = absl::Milliseconds(150);
    unreachable.end = CallEnd::kNotSent;
    unreachable.body.clear();
    link.scripts[id].assign(20, unreachable);
  }
  // The upstream of this zone has been the slowest so far.
  for (int it = 0; it < 10; ++it) ObserveLatency(*directory.Find("u1"), absl::Milliseconds(60), loop.Now());
  for (const char* id : {"u2", "u3"}) ObserveLatency(*directory.Find(id), absl::Milliseconds(20), loop.Now());
  frontend.SetZoneAlone(true);
  Ask();
  loop.RunFor(absl::Milliseconds(40));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, 200);
  // Before the cut is noticed, an unreachable upstream is left alone for longer after each try: of the 16
  // tries that eight requests would make at two of them, half at most.
  frontend.SetZoneAlone(false);
  for (int it = 0; it < 8; ++it) {
    Ask();
    loop.RunFor(absl::Milliseconds(400));
  }
  EXPECT_EQ(answers.size(), 9u);
  int unreachable = 0;
  for (const std::pair<const CallId, ScriptedLink::Sent>& it : link.sent) {
    unreachable += it.second.call.expected_id == "u1" ? 0 : 1;
  }
  EXPECT_LE(unreachable, 8);
}

// Guards against callers that wait past the route's timeout.
TEST_F(FrontendTest, TheTimeoutOfTheRouteIsKept) {
  route.timeout = absl::Milliseconds(400);
  ScriptedLink::Script never = ScriptedLink::Success();
  never.delay = absl::Seconds(60);
  AllAnswer(never);
  Ask();
  loop.RunFor(absl::Milliseconds(410));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, 504);
}

// ---- Directory --------------------------------------------------------------------------------------------

// Guards against a configuration that reverts when an older record is read late.
TEST_F(FrontendTest, AnOlderPolicyIsNotApplied) {
  Policy newer = fakes::MakePolicy();
  newer.version = 9;
  EXPECT_TRUE(directory.ApplyPolicy(newer));
  Policy older = fakes::MakePolicy();
  older.version = 7;
  older.routes.clear();
  EXPECT_FALSE(directory.ApplyPolicy(older));
  EXPECT_NE(directory.FindRoute("app.example", "/l/x?q=1"), nullptr);
}

TEST_F(FrontendTest, TheLongestPrefixWins) {
  Policy policy = fakes::MakePolicy();
  policy.version = 2;
  Route deeper = policy.routes[1];
  deeper.name = "deeper";
  deeper.prefix = "/l/deep/";
  policy.routes.push_back(deeper);
  ASSERT_TRUE(directory.ApplyPolicy(policy));
  EXPECT_EQ(directory.FindRoute("app.example", "/l/deep/x")->name, "deeper");
  EXPECT_EQ(directory.FindRoute("APP.example", "/l/deep")->name, "lookup");
  EXPECT_EQ(directory.FindRoute("app.example", "/other/"), nullptr);
  EXPECT_EQ(directory.FindRoute("other.example", "/l/x"), nullptr);
}

// Guards against new work for an upstream that leaves, and against the loss of all upstreams while the store
// is away.
TEST_F(FrontendTest, LeavingUpstreamsGetNothingNew) {
  UpstreamEntry leaving = directory.Find("u1")->entry;
  leaving.draining = true;
  directory.ApplyUpstream(leaving);
  EXPECT_EQ(directory.Usable("lookups").size(), 2u);
  directory.RemoveUpstream("u2", loop.Now(), loop.Now() + absl::Seconds(2));
  EXPECT_EQ(directory.Usable("lookups").size(), 2u);
  directory.Expire(loop.Now() + absl::Seconds(3));
  EXPECT_EQ(directory.Usable("lookups").size(), 1u);
  // An upstream that registers again under its id holds nothing of before.
  directory.Find("u3")->failures_in_row = 5;
  UpstreamEntry reborn = directory.Find("u3")->entry;
  reborn.started_ms = 77;
  directory.ApplyUpstream(reborn);
  EXPECT_EQ(directory.Find("u3")->failures_in_row, 0);
}

// ---- Decisions --------------------------------------------------------------------------------------------

// Replays one of three upstreams at a tenth of its speed: it gets little work while it is slow, and is tried
// again.
TEST(Decisions, ASlowUpstreamIsAvoidedForAWhile) {
  std::vector<UpstreamState> states(3);
  std::vector<UpstreamState*> usable;
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  for (int it = 0; it < 3; ++it) {
    states[it].entry.id = absl::StrCat("u", it);
    states[it].entry.slots = 6;
    for (int n = 0; n < 20; ++n) ObserveLatency(states[it], absl::Milliseconds(it == 0 ? 200 : 20), now);
    usable.push_back(&states[it]);
  }
  EXPECT_NE(PickUnary(usable, {false, "", {}, now})->entry.id, "u0");
  for (UpstreamState& it : states) it.in_flight = it.entry.id == "u0" ? 0 : 2;
  EXPECT_EQ(PickUnary(usable, {false, "", {}, now + absl::Seconds(20)})->entry.id, "u0");
}

// Replays refusals of many callers at once: they must not return together.
TEST(Decisions, RetryAfterSpreadsTheReturn) {
  std::set<int> slots;
  for (int it = 0; it < 200; ++it) {
    const double seconds = RetryAfterSeconds(absl::Seconds(10), absl::StrCat("r", it));
    EXPECT_GE(seconds, 0.1);
    EXPECT_LE(seconds, 10.0 / 3);
    slots.insert(static_cast<int>(seconds * 100));
  }
  EXPECT_GT(slots.size(), 20u);
  EXPECT_LE(RetryAfterSeconds(absl::Milliseconds(30), "r"), 0.011);
}

// Replays a step on engines of which some are slower at all times: the first, longest items go to the fast
// ones.
TEST(Decisions, ItemsGoToFastEnginesFirstAndWaitWhenAllAreFull) {
  std::vector<UpstreamState> states(3);
  std::vector<UpstreamState*> usable;
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  for (int it = 0; it < 3; ++it) {
    states[it].entry.id = absl::StrCat("e", it);
    states[it].entry.slots = 2;
    states[it].pace_ms = it == 2 ? 65 : 50;
    states[it].observed_weights["m"] = it == 1 ? 4 : 5;
    usable.push_back(&states[it]);
  }
  ItemChoice choice;
  choice.model = "m";
  choice.min_version = 5;
  choice.now = now;
  std::string placed;
  while (UpstreamState* const it = PickForItem(usable, choice)) {
    placed += it->entry.id + " ";
    ++it->in_flight;
  }
  EXPECT_EQ(placed, "e0 e0 e2 e2 ");
}

TEST(Decisions, EachEngineGetsItsShareOfModels) {
  std::vector<std::string> engines;
  for (int it = 0; it < 12; ++it) engines.push_back(absl::StrCat("e", it));
  std::map<std::string, std::vector<std::string>> assigned = AssignModels(engines, {"m1", "m2"}, 1);
  EXPECT_EQ(assigned["m1"].size(), 6u);
  EXPECT_EQ(assigned["m2"].size(), 6u);
  for (const std::string& it : assigned["m1"]) {
    EXPECT_EQ(std::count(assigned["m2"].begin(), assigned["m2"].end(), it), 0) << it;
  }
  EXPECT_EQ(AssignModels(engines, {"m1", "m2"}, 2)["m1"].size(), 12u);
  EXPECT_TRUE(AssignModels({}, {"m1"}, 1).empty());
}

}  // namespace
}  // namespace oleander::serving
