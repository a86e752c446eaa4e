// Tests of workspaces and their keys: who may send a request, whom the upstream gets named, and which jobs a
// key can reach.
#include "serving/workspaces.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "oleander/metrics.h"
#include "platform/decode.h"
#include "platform/engine_link.h"
#include "platform/ingress.h"
#include "platform/wire.h"
#include "serving/event_loop.h"
#include "serving/http_client.h"
#include "serving/text.h"
#include "tests/batch_service_fixture.h"

namespace oleander::serving {
namespace {

constexpr char kCallerAddress[] = "127.0.0.1:21881";
constexpr char kUpstreamAddress[] = "127.0.0.1:21882";
constexpr absl::Duration kTestTimeout = absl::Seconds(20);  // ends a test that hangs; no check depends on it

Policy MakeWorkspacePolicy(std::int64_t version,
                           const std::map<std::string, std::vector<std::string>>& keys) {
  Policy policy = fakes::MakePolicy();
  policy.version = version;
  policy.has_workspaces = true;
  Route open = policy.routes[1];
  open.name = "open";
  open.prefix = "/open/";
  open.public_access = true;
  policy.routes.push_back(open);
  for (const std::pair<const std::string, std::vector<std::string>>& it : keys) {
    Workspace workspace;
    workspace.name = it.first;
    for (const std::string& key : it.second) workspace.keys.push_back(DigestOfKey(key));
    policy.workspaces.push_back(std::move(workspace));
  }
  return policy;
}

Authentication AuthenticateKeys(const std::vector<std::string>& sent, bool public_access = false) {
  const Policy policy = MakeWorkspacePolicy(2, {{"cafe", {"k1", "k2"}}, {"shop", {"k3"}}});
  const WorkspaceIndex index = IndexWorkspaces(policy.workspaces);
  Headers headers;
  for (const std::string& it : sent) headers.push_back({headers.empty() ? "Key" : "kEY", it});
  return Authenticate(policy, index, headers, "Key", public_access);
}

TEST(Authenticate, OnlyExactlyOneKnownKeyNamesAWorkspace) {
  EXPECT_EQ(AuthenticateKeys({"k2"}).workspace, "cafe");
  EXPECT_EQ(AuthenticateKeys({"k3"}).workspace, "shop");
  const std::map<KeyVerdict, std::vector<std::vector<std::string>>> refused = {
      {KeyVerdict::kMissing, {{}}},
      {KeyVerdict::kMalformed, {{""}, {"k1", "k1"}, {"k1", "k3"}, {std::string(kMaxKeyBytes + 1, 'k')}}},
      {KeyVerdict::kUnknown, {{"k"}, {"k1 "}, {"K1"}, {"k1,k1"}, {std::string("k1\0", 3)}}}};
  for (const auto& row : refused) {
    for (const std::vector<std::string>& keys : row.second) {
      EXPECT_EQ(AuthenticateKeys(keys).verdict, row.first) << keys.size();
      EXPECT_TRUE(IsRefused(AuthenticateKeys(keys).verdict));
      EXPECT_FALSE(AuthenticateKeys(keys).workspace);
    }
  }
}

TEST(Authenticate, PublicRoutesNeedNoKeyAndOldDeploymentsNone) {
  EXPECT_EQ(AuthenticateKeys({}, true).workspace, "");
  EXPECT_EQ(AuthenticateKeys({"unknown"}, true).verdict, KeyVerdict::kNotRequired);
  EXPECT_EQ(AuthenticateKeys({"k1"}, true).workspace, "cafe");
  const Policy without = fakes::MakePolicy();
  const Authentication none = Authenticate(without, {}, {{"Key", "k1"}}, "Key", false);
  EXPECT_EQ(none.verdict, KeyVerdict::kNotRequired);
  EXPECT_FALSE(none.workspace);  // headers pass as they are
}

// Guards against hosts that refuse a key for good which they do not know yet, and against hosts that go on
// accepting keys without news although revocation is strict.
TEST(Authenticate, KnowledgeOfKeysAges) {
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  RevocationRule rule;
  rule.bound = absl::Seconds(5);
  EXPECT_EQ(KnowledgeOfKeys(rule, now, true, now), KeyKnowledge::kCurrent);
  EXPECT_EQ(KnowledgeOfKeys(rule, now - absl::Hours(1), false, now), KeyKnowledge::kOld);
  rule.strict = true;
  EXPECT_EQ(KnowledgeOfKeys(rule, now - absl::Seconds(3), false, now), KeyKnowledge::kOld);
  EXPECT_EQ(KnowledgeOfKeys(rule, now - absl::Seconds(4), false, now), KeyKnowledge::kTooOld);
  EXPECT_EQ(KnowledgeOfKeys(rule, now - absl::Seconds(4), true, now), KeyKnowledge::kTooOld);
}

TEST(Workspaces, ScopedIdsOfDifferentWorkspacesNeverMeet) {
  EXPECT_EQ(ScopedJobId(std::nullopt, "j"), "j");
  EXPECT_NE(ScopedJobId("a", "b/c"), ScopedJobId("a/b", "c"));
  EXPECT_NE(ScopedJobId("", "a/c"), ScopedJobId("a", "c"));
  EXPECT_NE(ScopedJobId("a%2f", "c"), ScopedJobId("a/", "c"));
}

TEST(Workspaces, PriorityOfTheWorkspaceGoesBeforeThatOfTheRoute) {
  Policy policy = MakeWorkspacePolicy(2, {{"cafe", {"k1"}}, {"shop", {"k3"}}});
  policy.workspaces[0].priority = 1;
  const WorkspaceIndex index = IndexWorkspaces(policy.workspaces);
  Route route;
  route.priority = 4;
  EXPECT_EQ(PriorityOf(policy, index, "cafe", route), 1);
  EXPECT_EQ(PriorityOf(policy, index, "shop", route), 4);
  EXPECT_EQ(PriorityOf(policy, index, "gone", route), 4);
  EXPECT_EQ(PriorityOf(policy, index, std::nullopt, route), 4);
}

TEST(Workspaces, AreDecodedWithoutKeepingTheKeys) {
  std::string text = R"({"version":3,"routes":[{"name":"r","host":"h","prefix":"/r/","routeKind":"idempotent",
    "service":"s","publicAccess":true}],"services":[{"name":"s"}],"tenants":[
    {"name":"cafe","apiKeys":["k1","k2",""],"priority":0},{"name":"shop","apiKeys":["k3"]},{"name":"none"}]})";
  std::optional<Policy> policy = platform::DecodePolicy(text);
  ASSERT_TRUE(policy && policy->has_workspaces);
  EXPECT_TRUE(policy->routes[0].public_access);
  Directory directory;
  ASSERT_TRUE(directory.ApplyPolicy(*policy));
  EXPECT_EQ(directory.Workspaces().by_key.size(), 3u);
  EXPECT_EQ(directory.Workspaces().by_key.at(DigestOfKey("k3")), 1u);
  EXPECT_EQ(directory.PolicyInForce().workspaces[0].priority, 0);
  EXPECT_FALSE(directory.PolicyInForce().workspaces[1].priority);
  EXPECT_TRUE(directory.PolicyInForce().workspaces[0].keys.empty());
  text.replace(text.find("[\"k3\"]"), 6, "[3]");
  EXPECT_FALSE(platform::DecodePolicy(text));  // the policy in force stays
  // An empty list still means that keys are required.
  text.resize(text.find("\"tenants\""));
  policy = platform::DecodePolicy(text + "\"tenants\":[]}");
  ASSERT_TRUE(policy);
  EXPECT_TRUE(policy->has_workspaces);
}

TEST(Workspaces, TenThousandKeysAreFound) {
  std::map<std::string, std::vector<std::string>> keys;
  for (int it = 0; it < 10000; ++it) keys[absl::StrCat("w", it % 500)].push_back(absl::StrCat("key-", it));
  const Policy policy = MakeWorkspacePolicy(2, keys);
  const WorkspaceIndex index = IndexWorkspaces(policy.workspaces);
  ASSERT_EQ(index.by_key.size(), 10000u);
  for (int it = 0; it < 10000; ++it) {
    const Authentication auth =
        Authenticate(policy, index, {{"Key", absl::StrCat("key-", it)}}, "Key", false);
    EXPECT_EQ(auth.workspace, absl::StrCat("w", it % 500));
  }
}

// ---- Over sockets -----------------------------------------------------------------------------------------

// A host behind a real HTTP server, with one upstream for lookups that records the requests that it gets, and
// with batch jobs over the fakes.
struct IngressTest : BatchServiceTest {
  IngressTest()
      : host(AddHost("h1")),
        frontend(event_loop, link, host.directory, "a"),
        callers(event_loop,
                [this](ExchangeId id, HttpRequest request) { ingress.Handle(id, std::move(request)); }),
        upstream(event_loop,
                 [this](ExchangeId id, HttpRequest request) {
                   const std::string request_id(FindHeader(request.headers, platform::kRequestIdHeader));
                   upstream.Respond(
                       id, {200, "", {{"Request-Id", request_id}, {"Server-Stamp", "stamp"}}, "body"});
                   received.push_back(std::move(request));
                 }),
        ingress(callers, host.directory, frontend, *host.batches) {
    event_loop.After(kTestTimeout, [this] { event_loop.Stop(); });
    EXPECT_TRUE(callers.Listen(kCallerAddress) && upstream.Listen(kUpstreamAddress));
    UpstreamEntry entry;
    entry.id = "s1";
    entry.service = "lookups";
    entry.address = kUpstreamAddress;
    entry.zone = "a";
    host.directory.ApplyUpstream(entry);
    host.directory.ApplyPolicy(MakeWorkspacePolicy(2, {{"cafe", {"k1", "k2"}}, {"shop", {"k3"}}}));
  }
  HttpResponse Send(HttpRequest request) {
    HttpCall call;
    call.address = kCallerAddress;
    call.request = std::move(request);
    call.fresh_connection = true;
    std::optional<HttpResponse> answer;
    client.StartBuffered(std::move(call), [&answer](CallEnd end, const HttpResponse& response) {
      answer = end == CallEnd::kComplete ? response : HttpResponse();
    });
    while (!answer && !event_loop.Context().stopped()) {
      event_loop.Context().poll_one();
      loop.RunFor(absl::Microseconds(100));
    }
    return answer.value_or(HttpResponse());
  }
  HttpResponse Lookup(Headers headers, const std::string& path = "/l/x") {
    headers.push_back({"Host", "app.example"});
    headers.push_back({"Request-Id", "q1"});
    return Send({"POST", path, headers, "question"});
  }
  HttpResponse SubmitJob(const std::string& id, const std::string& key) {
    return Send({"POST",
                 "/r/1",
                 {{"Host", "train.example"}, {"Request-Id", id}, {"Key", key}},
                 R"({"step":1,"model":"words","minVersion":5,"desiredCount":1,"items":[
                   {"id":"i1","path":"/r/1","headers":{"Model":"words","tenant":"liar","KEY":"k9"},"body":"",
                    "tokenCount":9,"group":"g"}]})"});
  }
  HttpResponse JobCall(const std::string& method, const std::string& target, const std::string& key) {
    return Send({method, target, {{"Host", "train.example"}, {"Key", key}}, ""});
  }

  EventLoop event_loop;
  HttpClient client{event_loop, {}};
  platform::EngineLink link{client};
  TestHost& host;
  std::vector<HttpRequest> received;  // by the upstream
  Frontend frontend;
  HttpServer callers;
  HttpServer upstream;
  platform::Ingress ingress;
};

// Guards against callers that act for another workspace, and against keys that leak to upstreams.
TEST_F(IngressTest, UpstreamsGetTheNameOfTheWorkspaceAndNeverTheKey) {
  const std::vector<Headers> spellings = {
      {{"Key", "k1"}},
      {{"Key", "k1"}, {"Tenant", "shop"}},
      {{"key", "k1"}, {"tenant", "shop"}, {"TENANT", "shop"}},
      {{"KEY", "k1"}, {"Connection", "close, Tenant"}, {"Tenant", "shop"}},
      {{"Connection", "Key"}, {"Key", "k1"}},
  };
  for (const Headers& it : spellings) EXPECT_EQ(Lookup(it).status, 200);
  ASSERT_EQ(received.size(), spellings.size());
  for (const HttpRequest& request : received) {
    int named = 0;
    for (const HeaderField& it : request.headers) {
      if (EqualsIgnoreCase(it.name, "tenant")) {
        ++named;
        EXPECT_EQ(it.value, "cafe");
      }
      EXPECT_FALSE(EqualsIgnoreCase(it.name, "key"));
      EXPECT_EQ(it.value.find("k1"), std::string::npos) << it.name;
    }
    EXPECT_EQ(named, 1);
  }
}

// Guards against work for callers without a valid key.
TEST_F(IngressTest, RequestsWithoutAValidKeyAreRefusedBeforeAnyWork) {
  const std::int64_t commits = store.commits;
  for (const Headers& it : std::vector<Headers>{{},
                                                {{"Key", ""}},
                                                {{"Key", "k1"}, {"Key", "k1"}},
                                                {{"Key", std::string(300, 'k')}},
                                                {{"Key", "never-held"}}}) {
    EXPECT_EQ(Lookup(it).status, 401);
  }
  EXPECT_EQ(SubmitJob("j1", "never-held").status, 401);
  EXPECT_EQ(JobCall("GET", "/api/lots/j1", "never-held").status, 401);
  EXPECT_EQ(JobCall("DELETE", "/api/lots/j1", "").status, 401);
  EXPECT_EQ(JobCall("GET", "/api/items/j1?id=i1", "never-held").status, 401);
  EXPECT_TRUE(received.empty());
  EXPECT_EQ(store.commits, commits);
  EXPECT_EQ(Lookup({}, "/open/x").status, 200);  // a public route
  ASSERT_EQ(received.size(), 1u);
  EXPECT_EQ(FindHeader(received[0].headers, "Tenant"), "");
  EXPECT_EQ(Lookup({}, "/nowhere").status, 404);
}

// Guards against a key that still works on an open connection after it was taken away, and against a host cut
// off from the store that denies a key for good which may be newer than its policy.
TEST_F(IngressTest, KeysFollowThePolicyAndItsAge) {
  KeyKnowledge knowledge = KeyKnowledge::kCurrent;
  ingress.key_knowledge = [&knowledge] { return knowledge; };
  EXPECT_EQ(Lookup({{"Key", "k1"}}).status, 200);
  host.directory.ApplyPolicy(MakeWorkspacePolicy(3, {{"cafe", {"k2"}}, {"shop", {"k3"}}}));
  EXPECT_EQ(Lookup({{"Key", "k1"}}).status, 401);
  knowledge = KeyKnowledge::kOld;
  EXPECT_EQ(Lookup({{"Key", "k2"}}).status, 200);
  const HttpResponse unknown = Lookup({{"Key", "k4"}});
  EXPECT_EQ(unknown.status, 503);
  EXPECT_FALSE(FindHeader(unknown.headers, "Retry-After").empty());
  EXPECT_NE(unknown.body.find("\"not_run\":true"), std::string::npos);
  EXPECT_EQ(Lookup({}).status, 401);  // no policy allows a request without a key
  knowledge = KeyKnowledge::kTooOld;
  EXPECT_EQ(Lookup({{"Key", "k2"}}).status, 503);
}

// Guards against jobs that end with the key that sent them, and against workspaces that see each other's.
TEST_F(IngressTest, AJobBelongsToItsWorkspace) {
  ASSERT_EQ(SubmitJob("j1", "k1").status, 202);
  host.directory.ApplyPolicy(MakeWorkspacePolicy(3, {{"cafe", {"k2"}}, {"shop", {"k3"}}}));
  for (const char* target : {"/api/lots/j1", "/api/lots/none"}) {
    const HttpResponse read = JobCall("GET", target, "k3");
    EXPECT_EQ(read.status, 404);
    EXPECT_EQ(read.body, JobCall("GET", "/api/lots/cafe%2fj1", "k3").body);
    EXPECT_EQ(JobCall("DELETE", target, "k3").status, 404);
  }
  EXPECT_EQ(JobCall("GET", "/api/items/j1?id=i1", "k3").status, 404);
  EXPECT_EQ(JobCall("GET", "/api/lots/..%2fcafe%2fj1", "k3").status, 404);
  EXPECT_EQ(JobCall("GET", "/api/items/j1?id=i1", "k2").status, 200);
  loop.RunFor(absl::Seconds(2));
  const HttpResponse read = JobCall("GET", "/api/lots/j1", "k2");
  EXPECT_EQ(read.status, 200);
  EXPECT_NE(read.body.find("\"completed\""), std::string::npos);
  EXPECT_EQ(SubmitJob("j1", "k2").status, 202);  // sent again: still one job
  EXPECT_EQ(RunsOf("i1"), 1);
  EXPECT_EQ(SubmitJob("j1", "k3").status, 202);  // a job of its own under the same id
  loop.RunFor(absl::Seconds(2));
  EXPECT_EQ(RunsOf("i1"), 2);
  EXPECT_EQ(JobCall("DELETE", "/api/lots/j1", "k2").status, 200);
  EXPECT_EQ(JobCall("DELETE", "/api/lots/j1", "k2").status, 200);
}

// Guards against keys in records, log lines and metrics.
TEST_F(IngressTest, KeysAreNeitherStoredNorLogged) {
  testing::internal::CaptureStderr();
  EXPECT_EQ(SubmitJob("j1", "k1").status, 202);
  EXPECT_EQ(Lookup({{"Key", "k1"}}).status, 200);
  EXPECT_EQ(Lookup({{"Key", "a-wrong-secret"}}).status, 401);
  loop.RunFor(absl::Seconds(2));
  const std::string logged = testing::internal::GetCapturedStderr();
  EXPECT_NE(logged.find("cafe"), std::string::npos);
  std::string shown = absl::StrCat(logged, ExposeText(GlobalMetrics()));
  for (const auto& partition : store.rows) {
    for (const auto& row : partition.second)
      absl::StrAppend(&shown, partition.first, row.first, row.second.value);
  }
  EXPECT_EQ(shown.find("\"k1\""), std::string::npos);
  EXPECT_EQ(shown.find("a-wrong-secret"), std::string::npos);
}

// Guards against items that lose their workspace when another host takes over, or all hosts are new.
TEST_F(BatchServiceTest, ItemsCarryTheirWorkspaceAfterTakeovers) {
  TestHost& first = AddHost("h1");
  BatchSubmission job = MakeJob("cafe/j1", 12);
  job.workspace = "cafe";
  ASSERT_EQ(SubmitNow(first, job), BatchOutcome::kAccepted);
  loop.RunFor(absl::Milliseconds(200));
  first.Kill();
  loop.RunFor(absl::Seconds(2));
  TestHost& second = AddHost("h2");
  ReadNow(second, "cafe/j1");
  loop.RunFor(absl::Seconds(4));
  ExpectCompleteResults(ReadNow(second, "cafe/j1").second, 12);
  ASSERT_FALSE(engines.workspaces.empty());
  for (const std::pair<const std::string, std::string>& it : engines.workspaces) EXPECT_EQ(it.second, "cafe");
}

}  // namespace
}  // namespace oleander::serving
