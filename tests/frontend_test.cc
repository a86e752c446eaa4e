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
  FrontendRequestId SendLookup(absl::Duration deadline = absl::Milliseconds(1500)) {
    CallerRequest request;
    request.id = "r1";
    request.host = "app.example";
    request.deadline = deadline;
    request.http = {"POST", "/l/x", {{"Host", "app.example"}}, "body"};
    return frontend.Handle(std::move(request), route,
                           [this](HttpResponse response) { answers.push_back(response); });
  }
  void ScriptAllUpstreams(const ScriptedLink::Script& script) {
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
  SendLookup();
  loop.RunFor(absl::Milliseconds(50));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, 200);
  EXPECT_EQ(answers[0].body, "whole");
  EXPECT_EQ(link.sent.size(), 1u);
  EXPECT_LE(link.sent.begin()->second.call.deadline.value(), absl::Milliseconds(1500));
}

// Guards against a host that blames sound upstreams for its own lack of memory, and fills that memory again
// with another attempt.
TEST_F(FrontendTest, AnAnswerWithoutRoomIsNotHeldAgainstItsUpstream) {
  ScriptedLink::Script without_room = ScriptedLink::Success();
  without_room.end = CallEnd::kNoRoom;
  ScriptAllUpstreams(without_room);
  SendLookup();
  loop.RunFor(absl::Milliseconds(50));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, 502);  // the request has run
  EXPECT_EQ(link.sent.size(), 1u);
  for (const char* id : {"u1", "u2", "u3"}) {
    EXPECT_EQ(directory.Find(id)->in_flight, 0);
    EXPECT_LE(directory.Find(id)->avoid_until, loop.Now());
  }
}

// Guards against bodies that are copied for each attempt.
TEST_F(FrontendTest, AttemptsShareTheBody) {
  ScriptedLink::Script lost = ScriptedLink::Success();
  lost.end = CallEnd::kBroken;
  lost.body.clear();
  ScriptAllUpstreams(lost);
  SendLookup();
  loop.RunFor(absl::Milliseconds(200));
  ASSERT_EQ(link.sent.size(), 2u);
  EXPECT_EQ(*link.sent[1].call.body, "body");
  EXPECT_EQ(link.sent[1].call.body, link.sent[2].call.body);
}

// Guards against a lookup that waits for its deadline when an answer is lost or an upstream stalls.
TEST_F(FrontendTest, AStalledLookupIsHedgedWithinItsObjective) {
  ScriptedLink::Script stalled = ScriptedLink::Success();
  stalled.delay = absl::Seconds(10);
  for (const char* id : {"u1", "u2", "u3"}) link.scripts[id] = {stalled};
  SendLookup();
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
TEST_F(FrontendTest, AttemptsStayWithinTheMaximumOfTheRoute) {
  ScriptedLink::Script broken = ScriptedLink::Success();
  broken.end = CallEnd::kBroken;
  ScriptAllUpstreams(broken);
  SendLookup();
  loop.RunFor(absl::Seconds(2));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, 502);
  EXPECT_EQ(link.sent.size(), 2u);
}

// Guards against running a non-idempotent call twice: it may have run before its connection broke.
TEST_F(FrontendTest, ACallThatMayHaveRunIsNotRepeated) {
  route.kind = RouteKind::kNonIdempotent;
  route.max_attempts = 3;
  ScriptedLink::Script broken = ScriptedLink::Success();
  broken.end = CallEnd::kBroken;
  ScriptAllUpstreams(broken);
  SendLookup();
  loop.RunFor(absl::Seconds(2));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, 502);
  EXPECT_EQ(link.sent.size(), 1u);
  EXPECT_TRUE(link.sent.begin()->second.call.fresh_connection);
}

// Guards against failing a call that no upstream has run: a refusal with "not run" does not count as an
// attempt.
TEST_F(FrontendTest, ACallThatDidNotRunGoesToAnotherUpstream) {
  route.kind = RouteKind::kNonIdempotent;
  route.max_attempts = 1;
  ScriptedLink::Script full;
  full.head.status = 503;
  full.head.not_run = true;
  for (const char* id : {"u1", "u2"}) link.scripts[id] = {full};
  SendLookup();
  loop.RunFor(absl::Milliseconds(200));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, 200);
}

// Guards against answering "not run" for a request that may have run, and against a refusal without
// Retry-After.
TEST_F(FrontendTest, RefusalsSayNotRunOnlyIfNothingRan) {
  ScriptedLink::Script full;
  full.head.status = 503;
  full.head.not_run = true;
  ScriptAllUpstreams(full);
  SendLookup();
  loop.RunFor(absl::Milliseconds(300));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, 503);
  EXPECT_FALSE(FindHeader(answers[0].headers, "Retry-After").empty());

  ScriptedLink::Script broken = ScriptedLink::Success();
  broken.end = CallEnd::kBroken;
  for (const char* id : {"u1", "u2", "u3"}) link.scripts[id] = {broken, full, full};
  loop.RunFor(absl::Seconds(3));
  SendLookup();
  loop.RunFor(absl::Seconds(2));
  ASSERT_EQ(answers.size(), 2u);
  EXPECT_EQ(answers[1].status, 502);
}

// Guards against holding a request until near its deadline when no upstream can serve it.
TEST_F(FrontendTest, WithoutUpstreamsARequestIsRefusedAtOnce) {
  for (const char* id : {"u1", "u2", "u3"}) directory.RemoveUpstream(id, loop.Now(), loop.Now());
  SendLookup();
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, 503);
}

// Guards against delivering answers to other requests, and successes without a signature.
TEST_F(FrontendTest, AnswersToOtherRequestsAndUnsignedAnswersAreNotDelivered) {
  ScriptedLink::Script foreign = ScriptedLink::Success();
  foreign.head.request_id = "another";
  foreign.body = "not yours";
  ScriptAllUpstreams(foreign);
  SendLookup();
  loop.RunFor(absl::Seconds(2));
  ScriptedLink::Script forged = ScriptedLink::Success();
  forged.head.signature.clear();
  ScriptAllUpstreams(forged);
  SendLookup();
  loop.RunFor(absl::Seconds(2));
  ASSERT_EQ(answers.size(), 2u);
  for (const HttpResponse& it : answers) EXPECT_EQ(it.status, 502);
}

// Guards against upstreams that continue to run a request after its caller has disconnected.
TEST_F(FrontendTest, UpstreamCallsAreCancelledWhenTheCallerDisconnects) {
  ScriptedLink::Script slow = ScriptedLink::Success();
  slow.delay = absl::Seconds(1);
  ScriptAllUpstreams(slow);
  const FrontendRequestId id = SendLookup();
  loop.RunFor(absl::Milliseconds(100));
  frontend.CancelRequest(id);
  for (const std::pair<const CallId, ScriptedLink::Sent>& it : link.sent) EXPECT_TRUE(it.second.cancelled);
  loop.RunFor(absl::Seconds(3));
  EXPECT_TRUE(answers.empty());
  EXPECT_EQ(frontend.OpenRequests(), 0);
  for (const UpstreamState* it : directory.Usable("lookups")) EXPECT_EQ(it->in_flight, 0);
}

// Guards against slow lookups in a zone that is cut off (incident of 4 December): connections to other zones
// hang, and lookups lost 150 ms or more on each before they reached the upstream of their own zone.
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
  frontend.SetZoneIsolated(true);
  SendLookup();
  loop.RunFor(absl::Milliseconds(40));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, 200);
  // Before the host notices that its zone is cut off, an unreachable upstream is avoided for longer after
  // each attempt: eight requests make at most half of the 16 attempts that they could make at the two
  // unreachable upstreams.
  frontend.SetZoneIsolated(false);
  for (int it = 0; it < 8; ++it) {
    SendLookup();
    loop.RunFor(absl::Milliseconds(400));
  }
  EXPECT_EQ(answers.size(), 9u);
  int unreachable = 0;
  for (const std::pair<const CallId, ScriptedLink::Sent>& it : link.sent) {
    unreachable += it.second.call.expected_id == "u1" ? 0 : 1;
  }
  EXPECT_LE(unreachable, 8);
}

// Guards against callers that wait longer than the route's timeout.
TEST_F(FrontendTest, ARequestEndsAtTheTimeoutOfItsRoute) {
  route.timeout = absl::Milliseconds(400);
  ScriptedLink::Script never = ScriptedLink::Success();
  never.delay = absl::Seconds(60);
  ScriptAllUpstreams(never);
  SendLookup();
  loop.RunFor(absl::Milliseconds(410));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].status, 504);
}

// ---- Directory --------------------------------------------------------------------------------------------

// Guards against reverting to an older policy when its record is read late.
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

// Guards against new requests for an upstream that is draining, and against losing all upstreams at once
// while the store is unreachable.
TEST_F(FrontendTest, DrainingAndRemovedUpstreamsGetNoNewRequests) {
  UpstreamEntry updated = directory.Find("u1")->entry;
  updated.draining = true;
  directory.ApplyUpstream(updated);
  EXPECT_EQ(directory.Usable("lookups").size(), 2u);
  directory.RemoveUpstream("u2", loop.Now(), loop.Now() + absl::Seconds(2));
  EXPECT_EQ(directory.Usable("lookups").size(), 2u);
  directory.Expire(loop.Now() + absl::Seconds(3));
  EXPECT_EQ(directory.Usable("lookups").size(), 1u);
  // An upstream that restarts under the same id has none of its earlier observations.
  directory.Find("u3")->failures_in_row = 5;
  UpstreamEntry restarted = directory.Find("u3")->entry;
  restarted.started_ms = 77;
  directory.ApplyUpstream(restarted);
  EXPECT_EQ(directory.Find("u3")->failures_in_row, 0);
}

// Upstreams that state in their answers that they leave, while no registration says so.
struct LeavingUpstreamTest : FrontendTest {
  static ScriptedLink::Script Leaving(int status) {
    ScriptedLink::Script script = ScriptedLink::Success();
    script.head.status = status;
    script.head.leaving = true;
    return script;
  }
  // `first`: the upstream to which the first attempt goes; empty: the best one.
  void Send(const std::string& id, const std::string& first = "") {
    for (const char* it : {"u1", "u2", "u3"}) {
      const bool avoided = !first.empty() && it != first;
      directory.Find(it)->avoid_until = avoided ? loop.Now() + absl::Seconds(1) : absl::InfinitePast();
    }
    CallerRequest request;
    request.id = id;
    request.http = {"POST", "/l/x", {}, "body"};
    frontend.Handle(std::move(request), route,
                    [this](HttpResponse response) { answers.push_back(response); });
    loop.RunFor(absl::Milliseconds(500));
  }
  int SentTo(const std::string& upstream) const {
    int n = 0;
    for (const std::pair<const CallId, ScriptedLink::Sent>& it : link.sent)
      n += it.second.call.expected_id == upstream ? 1 : 0;
    return n;
  }
};

// Guards against new requests for it, as first tries and as retries, after an answer of any status.
TEST_F(LeavingUpstreamTest, GetsNothingNewAfterItsAnswer) {
  for (const int status : {200, 404, 500, 503}) {
    UpstreamEntry restarted = directory.Find("u1")->entry;
    ++restarted.started_ms;
    directory.ApplyUpstream(restarted);
    link.scripts["u1"] = {Leaving(status)};
    link.scripts["u1"].back().head.not_run = status == 503;
    Send("first", "u1");
    const int sent = SentTo("u1");
    ScriptedLink::Script failed = Leaving(500);
    failed.head.leaving = false;
    for (const char* it : {"u2", "u3"}) link.scripts[it] = {failed};
    for (int it = 0; it < 8; ++it) Send(absl::StrCat("next", it));
    EXPECT_EQ(SentTo("u1"), sent) << status;
  }
}

// Guards against a late registration of the same start that makes it usable again, against leaving out the
// next start of it, and against an answer of the start before that is taken for one of the next.
TEST_F(LeavingUpstreamTest, IsUsableAgainOnlyAfterANewStart) {
  link.scripts["u1"] = {Leaving(200)};
  Send("first", "u1");
  const UpstreamEntry ready = directory.Find("u1")->entry;
  directory.ApplyUpstream(ready);
  EXPECT_EQ(directory.Usable("lookups").size(), 2u);
  UpstreamEntry restarted = ready;
  ++restarted.started_ms;
  directory.ApplyUpstream(restarted);
  EXPECT_EQ(directory.Usable("lookups").size(), 3u);
  AnswerHead late;
  late.status = 200;
  late.leaving = true;
  late.load = ReportedLoad{6, 9, 6, 1};
  directory.ObserveAnswer("u1", ready.started_ms, late, "", loop.Now(), loop.Now());
  EXPECT_EQ(directory.Usable("lookups").size(), 3u);
  EXPECT_EQ(directory.Find("u1")->load.waiting, 0);
}

// Guards against taking a sound upstream out of service because of an answer to another request, or of one
// without a signature.
TEST_F(LeavingUpstreamTest, OnlyItsOwnSignedAnswersCount) {
  ScriptedLink::Script foreign = Leaving(500);
  foreign.head.request_id = "another";
  ScriptedLink::Script unsigned_answer = Leaving(200);
  unsigned_answer.head.signature.clear();
  link.scripts["u1"] = {foreign, unsigned_answer};
  Send("first", "u1");
  Send("second", "u1");
  EXPECT_EQ(SentTo("u1"), 2);
  EXPECT_EQ(directory.Usable("lookups").size(), 3u);
}

// Guards against requests that are held although all upstreams of the service leave.
TEST_F(LeavingUpstreamTest, RequestsAreRefusedAtOnceAsNotRunIfAllLeave) {
  for (const char* it : {"u1", "u2", "u3"}) {
    link.scripts[it] = {Leaving(200)};
    Send(absl::StrCat("at ", it), it);
  }
  const std::size_t sent = link.sent.size();
  const absl::Time started = loop.Now();
  absl::Time answered = absl::InfiniteFuture();
  CallerRequest request;
  request.id = "refused";
  frontend.Handle(std::move(request), route, [&](HttpResponse response) {
    answered = loop.Now();
    answers.push_back(response);
  });
  loop.RunFor(absl::Seconds(1));
  EXPECT_EQ(answers.back().status, 503);
  EXPECT_LE(answered - started, absl::Milliseconds(1));
  EXPECT_EQ(link.sent.size(), sent);
}

// Guards against a request that waits for a permit of an upstream, and is sent there after it has stated that
// it leaves.
TEST_F(LeavingUpstreamTest, ARequestThatWaitedIsNotSentThere) {
  for (const char* it : {"u1", "u2", "u3"}) {
    directory.Find(it)->request_limit = 5;
    directory.Find(it)->permits = 0;
  }
  directory.on_permits_wanted = [](UpstreamState&) { return true; };
  CallerRequest request;
  request.id = "waiting";
  frontend.Handle(std::move(request), route, [this](HttpResponse response) { answers.push_back(response); });
  loop.RunFor(absl::Milliseconds(20));
  ASSERT_TRUE(link.sent.empty());
  AnswerHead head;
  head.status = 200;
  head.request_limit = 5;
  head.leaving = true;
  directory.ObserveAnswer("u1", directory.Find("u1")->entry.started_ms, head, "", loop.Now(), loop.Now());
  directory.Find("u1")->permits = 3;
  directory.Find("u1")->permits_until = loop.Now() + absl::Seconds(1);
  frontend.OnPermitsGranted();
  loop.RunFor(absl::Milliseconds(500));
  EXPECT_EQ(SentTo("u1"), 0);
  EXPECT_EQ(answers.back().status, 503);
}

// ---- Decisions --------------------------------------------------------------------------------------------

// Guards against sending work to an upstream at a tenth of its usual speed, and against never trying it
// again.
// A resumable streaming route, and two hosts that share a store. u1 has another software version than u2 and
// u3.
struct ResumedStreamTest : FrontendTest {
  ResumedStreamTest() {
    route.kind = RouteKind::kStreaming;
    route.resumable = true;
    for (const char* id : {"u1", "u2", "u3"}) {
      UpstreamEntry entry = directory.Find(id)->entry;
      entry.software = entry.id == "u1" ? "v1" : "v2";
      directory.ApplyUpstream(entry);
    }
    frontend.UseStreamVersions(versions);
    other.UseStreamVersions(other_versions);
  }
  void Send(Frontend& host, const std::string& id, const std::string& resumed_stream) {
    CallerRequest request;
    request.id = id;
    request.resumes = !resumed_stream.empty();
    request.resumed_stream = resumed_stream;
    request.http = {"POST", "/l/x", {}, "body"};
    host.Handle(std::move(request), route, [this](HttpResponse response) { answers.push_back(response); });
    loop.RunFor(absl::Milliseconds(600));
  }
  std::string UpstreamOfLast() const { return link.sent.rbegin()->second.call.expected_id; }
  std::string SoftwareOfLast() { return directory.Find(UpstreamOfLast())->entry.software; }

  fakes::FakeStore store{loop};
  fakes::StorePort port{store};
  fakes::StorePort other_port{store};
  StreamVersions versions{loop, port};
  StreamVersions other_versions{loop, other_port};
  Frontend other{loop, link, directory, "a"};
};

// Failure: a stream that its caller took up again went on at any upstream of the service.
TEST_F(ResumedStreamTest, GoesOnAtItsOwnVersionAtAnyHost) {
  for (int it = 0; it < 12; ++it) {
    const std::string stream = absl::StrCat("s", it);
    directory.Find(it % 2 == 0 ? "u1" : "u2")->avoid_until = loop.Now() + absl::Milliseconds(300);
    Send(frontend, stream, "");
    const std::string software = SoftwareOfLast();
    directory.Find(UpstreamOfLast())->in_flight += 5;  // the other upstreams are better
    Send(other, absl::StrCat("again", it), stream);
    EXPECT_EQ(SoftwareOfLast(), software);
    for (const char* id : {"u1", "u2", "u3"}) directory.Find(id)->in_flight = 0;
  }
  for (const HttpResponse& it : answers) EXPECT_EQ(it.status, 200);
}

TEST_F(ResumedStreamTest, IsRefusedAsNotRunIfItsVersionIsUnknownOrGone) {
  Send(other, "again", "never-recorded");
  EXPECT_EQ(answers.back().status, 503);
  directory.Find("u2")->avoid_until = directory.Find("u3")->avoid_until = loop.Now() + absl::Seconds(1);
  Send(frontend, "s1", "");
  ASSERT_EQ(UpstreamOfLast(), "u1");
  const std::size_t sent = link.sent.size();
  directory.RemoveUpstream("u1", loop.Now(), loop.Now());
  Send(other, "again1", "s1");
  EXPECT_EQ(answers.back().status, 503);
  EXPECT_EQ(link.sent.size(), sent);
}

// Guards against a text joined from two versions after all hosts were killed: u1 had restarted under its id
// with other software before the stream began, and its registration had not reached the host that recorded
// it.
TEST_F(ResumedStreamTest, IsRefusedIfItsUpstreamHasOtherSoftwareByNow) {
  UpstreamEntry same = directory.Find("u2")->entry;
  same.software = "v1";  // an upstream at which the recorded version is still in service
  directory.ApplyUpstream(same);
  directory.Find("u2")->avoid_until = directory.Find("u3")->avoid_until = loop.Now() + absl::Seconds(1);
  Send(frontend, "s1", "");
  ASSERT_EQ(UpstreamOfLast(), "u1");
  UpstreamEntry restarted = directory.Find("u1")->entry;
  restarted.software = "v2";
  ++restarted.started_ms;
  directory.ApplyUpstream(restarted);
  const std::size_t sent = link.sent.size();
  Send(other, "again1", "s1");
  EXPECT_EQ(answers.back().status, 503);
  EXPECT_EQ(link.sent.size(), sent);
}

// Guards against a text joined from two services: upstreams of the service that the route goes to by now may
// have software with the same version.
TEST_F(ResumedStreamTest, StaysAtItsServiceWhenTheRouteChanges) {
  UpstreamEntry elsewhere = directory.Find("u1")->entry;
  elsewhere.id = "w1";
  elsewhere.service = "elsewhere";
  directory.ApplyUpstream(elsewhere);
  directory.Find("u2")->avoid_until = directory.Find("u3")->avoid_until = loop.Now() + absl::Seconds(1);
  Send(frontend, "s1", "");
  ASSERT_EQ(UpstreamOfLast(), "u1");
  const std::string service = route.services.front().service;
  route.services = {{"elsewhere", 1000}, {service, 1}};
  Send(other, "again1", "s1");
  EXPECT_EQ(UpstreamOfLast(), "u1");
  route.services = {{"elsewhere", 1}};
  const std::size_t sent = link.sent.size();
  Send(other, "again2", "s1");
  EXPECT_EQ(answers.back().status, 503);
  EXPECT_EQ(link.sent.size(), sent);
}

TEST_F(ResumedStreamTest, IsRefusedSoonWhileTheStoreDoesNotAnswer) {
  Send(frontend, "s1", "");
  other_port.disconnected = true;
  Send(other, "again1", "s1");
  ASSERT_EQ(answers.size(), 2u);
  EXPECT_EQ(answers.back().status, 503);
}

TEST_F(ResumedStreamTest, OldRecordsAreRemoved) {
  Send(frontend, "s1", "");
  loop.RunFor(absl::Minutes(6));
  Send(frontend, "s2", "");
  versions.Sweep();
  loop.RunFor(absl::Seconds(1));
  std::size_t records = 0;
  for (const std::pair<const std::string, std::map<std::string, Row>>& it : store.rows)
    records += it.second.size();
  EXPECT_EQ(records, 1u);
}

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

// Guards against callers that are refused at the same time and all retry at the same time.
TEST(Decisions, RetryAfterDiffersBetweenCallers) {
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

// Guards against starting the first and longest items of a step on engines that are always slower than
// others.
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

TEST(Decisions, EnginesAreDividedAmongTheModels) {
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
