// Routes that are split over several services: items, lookups and scoring calls use all of them by their
// weights, and a service that cannot run them hands its part to the others.
#include <gtest/gtest.h>

#include <cmath>

#include "serving/decisions.h"
#include "serving/frontend.h"
#include "tests/batch_service_fixture.h"

namespace oleander::serving {
namespace {

Route SplitRoute(std::vector<WeightedService> services) {
  Route route;
  route.services = std::move(services);
  return route;
}

// Percentage of 10,000 keys whose first service is `service`.
double ShareOf(const Route& route, const std::string& service) {
  int n = 0;
  for (int it = 0; it < 10000; ++it)
    n += RankServices(route, absl::StrCat("g", it)).front() == service ? 1 : 0;
  return n / 100.0;
}

// Guards against services that get another share of the work than their weight.
TEST(RankServices, SharesFollowTheWeights) {
  for (const double weight : {1.0, 10.0, 33.0, 50.0, 90.0}) {
    const Route route = SplitRoute({{"a", weight}, {"b", 100 - weight}});
    EXPECT_NEAR(ShareOf(route, "a"), weight, 2) << weight;
  }
  const Route three = SplitRoute({{"a", 2}, {"b", 3}, {"c", 5}});
  EXPECT_NEAR(ShareOf(three, "a"), 20, 2);
  EXPECT_NEAR(ShareOf(three, "b"), 30, 2);
}

// Guards against work at a service that is switched off by its weight.
TEST(RankServices, AServiceOfWeightZeroGetsNothing) {
  for (int it = 0; it < 1000; ++it) {
    EXPECT_EQ(RankServices(SplitRoute({{"a", 0}, {"b", 1}, {"c", -1}}), absl::StrCat("g", it)),
              std::vector<std::string>{"b"});
  }
  EXPECT_EQ(RankServices(SplitRoute({{"a", 0}, {"b", 0}}), "g"), std::vector<std::string>{"a"});
  EXPECT_TRUE(RankServices(SplitRoute({}), "g").empty());
}

// Guards against moving the work of all services when one of them is lost: the part of the lost one goes to
// the others by their weights, and nothing else moves.
TEST(RankServices, OnlyThePartOfALostServiceMoves) {
  const Route whole = SplitRoute({{"a", 20}, {"b", 20}, {"c", 60}});
  const Route left = SplitRoute({{"b", 20}, {"c", 60}});
  int moved = 0;
  int to_c = 0;
  for (int it = 0; it < 10000; ++it) {
    const std::string key = absl::StrCat("g", it);
    const std::vector<std::string> ranked = RankServices(whole, key);
    const std::string after = RankServices(left, key).front();
    if (ranked[0] != "a") {
      EXPECT_EQ(after, ranked[0]);
      continue;
    }
    EXPECT_EQ(after, ranked[1]);
    ++moved;
    to_c += after == "c" ? 1 : 0;
  }
  EXPECT_NEAR(moved / 100.0, 20, 2);
  EXPECT_NEAR(100.0 * to_c / moved, 75, 4);
}

// Guards against items that wait for a service that cannot run them, and against weights that hold only as
// long as no service is full.
TEST(PickService, AnItemWaitsForItsServiceUnlessThatCannotRunIt) {
  const ServiceRoom lost;
  const ServiceRoom full = {true, false, false};
  const ServiceRoom idle = {true, true, true};
  const ServiceRoom busy = {true, true, false};
  const absl::Duration at_once = absl::ZeroDuration();
  const absl::Duration long_after = absl::Seconds(4);
  EXPECT_EQ(PickService({idle, idle}, at_once), 0u);
  EXPECT_EQ(PickService({busy, idle}, at_once), 0u);
  EXPECT_EQ(PickService({lost, busy}, at_once), 1u);
  EXPECT_EQ(PickService({lost, full, idle}, at_once), std::nullopt);
  EXPECT_EQ(PickService({full, idle}, at_once), std::nullopt);
  EXPECT_EQ(PickService({full, idle}, long_after), 1u);
  EXPECT_EQ(PickService({full, busy}, long_after), std::nullopt);
  EXPECT_EQ(PickService({lost, lost}, long_after), std::nullopt);
  EXPECT_EQ(PickService({}, long_after), std::nullopt);
}

// ---- Items ------------------------------------------------------------------------------------------------

// Batch jobs on a route over the services "small" and "large", of which "small" is listed first.
struct SplitItemsTest : BatchServiceTest {
  SplitItemsTest() { engines.engines.clear(); }
  void AddEngines(const std::string& service, int count, int slots) {
    for (int it = 0; it < count; ++it)
      engines.Add(absl::StrCat(service, it), service, "a", slots).weights["words"] = 5;
  }
  TestHost& AddSplitHost(const std::string& name, double small, double large) {
    TestHost& host = AddHost(name);
    Policy policy = fakes::MakePolicy();
    policy.version = 2;
    policy.routes[0].services = {{"small", small}, {"large", large}};
    ServiceSpec second = policy.services[0];
    policy.services[0].name = "small";
    second.name = "large";
    policy.services.push_back(second);
    host.directory.ApplyPolicy(policy);
    return host;
  }
  // Number of items that began at the service.
  int RunsAt(const std::string& service) const {
    std::set<std::string> items;
    for (const fakes::RunRecord& it : engines.runs) {
      if (it.engine.starts_with(service)) items.insert(it.request);
    }
    return static_cast<int>(items.size());
  }
  std::map<std::string, std::set<std::string>> ServicesByGroup(const BatchSubmission& job) const {
    std::map<std::string, std::string> group_of;
    for (const BatchItem& it : job.items) group_of[it.id] = it.group;
    std::map<std::string, std::set<std::string>> services;
    for (const fakes::RunRecord& it : engines.runs)
      services[group_of[it.request]].insert(it.engine.starts_with("small") ? "small" : "large");
    return services;
  }
};

// Guards against a step that stands still beside idle engines: all items were sent to the service that is
// listed first, and it loses its only engine (review/8).
TEST_F(SplitItemsTest, ItemsRunAtTheOtherServiceWhenTheFirstLosesItsEngines) {
  AddEngines("small", 1, 8);
  AddEngines("large", 6, 8);
  TestHost& host = AddSplitHost("h1", 10, 90);
  for (int it = 0; it < 16; ++it) engines.event_counts[absl::StrCat("item", it)] = 60;
  ASSERT_EQ(SubmitNow(host, MakeJob(kJob, 16)), BatchOutcome::kAccepted);
  loop.RunFor(absl::Milliseconds(400));
  engines.engines.at("small0").silent = true;
  loop.RunFor(absl::Seconds(12));
  ExpectCompleteResults(ReadNow(host, kJob).second, 16);
}

// Guards against shares of items that do not follow the weights, and against groups whose prompt both
// services process.
TEST_F(SplitItemsTest, ItemsFollowTheWeightsAndGroupsStayTogether) {
  AddEngines("small", 1, 3000);
  AddEngines("large", 3, 6000);
  TestHost& host = AddSplitHost("h1", 10, 90);
  BatchSubmission job = MakeJob(kJob, 10000);
  for (const BatchItem& it : job.items) engines.event_counts[it.id] = 1;
  const std::shared_ptr<std::optional<BatchOutcome>> outcome = Submit(host, job);
  loop.RunFor(absl::Milliseconds(300));
  ASSERT_EQ(*outcome, BatchOutcome::kAccepted);
  EXPECT_EQ(RunsAt("small") + RunsAt("large"), 10000);
  EXPECT_NEAR(RunsAt("small") / 100.0, 10, 2);
  for (const std::pair<const std::string, std::set<std::string>>& it : ServicesByGroup(job))
    EXPECT_EQ(it.second.size(), 1u) << it.first;
}

// Guards against items at a service that is switched off by its weight, also when the other one is full.
TEST_F(SplitItemsTest, AServiceOfWeightZeroGetsNoItems) {
  AddEngines("small", 4, 8);
  AddEngines("large", 1, 2);
  TestHost& host = AddSplitHost("h1", 0, 100);
  for (int it = 0; it < 20; ++it) engines.event_counts[absl::StrCat("item", it)] = 20;
  ASSERT_EQ(SubmitNow(host, MakeJob(kJob, 20)), BatchOutcome::kAccepted);
  loop.RunFor(absl::Seconds(12));
  EXPECT_EQ(RunsAt("small"), 0);
  ExpectCompleteResults(ReadNow(host, kJob).second, 20);
}

// Guards against a takeover that processes the prompts of all groups again at another service.
TEST_F(SplitItemsTest, GroupsKeepTheirServiceAfterATakeover) {
  AddEngines("small", 2, 32);
  AddEngines("large", 2, 32);
  TestHost& first = AddSplitHost("h1", 50, 50);
  TestHost& second = AddSplitHost("h2", 50, 50);
  const BatchSubmission job = MakeJob(kJob, 64);
  for (const BatchItem& it : job.items) engines.event_counts[it.id] = 80;
  ASSERT_EQ(SubmitNow(first, job), BatchOutcome::kAccepted);
  loop.RunFor(absl::Seconds(1));
  first.Kill();
  for (int it = 0; it < 8; ++it) ReadNow(second, kJob);
  ExpectCompleteResults(ReadNow(second, kJob).second, 64);
  EXPECT_EQ(engines.runs.size(), 128u);
  EXPECT_NEAR(RunsAt("small"), 32, 16);
  for (const std::pair<const std::string, std::set<std::string>>& it : ServicesByGroup(job))
    EXPECT_EQ(it.second.size(), 1u) << it.first;
}

// Guards against a service that stays without work after its engines have come back, and against items that
// wait while it has none.
TEST_F(SplitItemsTest, AServiceTakesItsPartBack) {
  AddEngines("small", 1, 32);
  AddEngines("large", 1, 64);
  TestHost& host = AddSplitHost("h1", 50, 50);
  host.directory.RemoveUpstream("small0", loop.Now(), loop.Now());
  ASSERT_EQ(SubmitNow(host, MakeJob(kJob, 32)), BatchOutcome::kAccepted);
  loop.RunFor(absl::Seconds(1));
  EXPECT_EQ(RunsAt("large"), 32);
  engines.ApplyRegistrations(host.directory);
  BatchSubmission next = MakeJob("next", 32);
  for (BatchItem& it : next.items) it.id += "-next";
  ASSERT_EQ(SubmitNow(host, next), BatchOutcome::kAccepted);
  loop.RunFor(absl::Seconds(1));
  EXPECT_GT(RunsAt("small"), 8);
}

// Guards against items that wait for their service for the rest of the step while most engines are idle.
TEST_F(SplitItemsTest, ItemsOfAFullServiceUseIdleEnginesOfTheOther) {
  AddEngines("small", 1, 2);
  AddEngines("large", 4, 8);
  TestHost& host = AddSplitHost("h1", 50, 50);
  const BatchSubmission job = MakeJob(kJob, 40);
  for (const BatchItem& it : job.items) engines.event_counts[it.id] = 50;
  ASSERT_EQ(SubmitNow(host, job), BatchOutcome::kAccepted);
  loop.RunFor(absl::Seconds(1));
  const int at_once = RunsAt("large");
  EXPECT_LT(at_once, 32);
  loop.RunFor(absl::Seconds(3));
  EXPECT_EQ(RunsAt("small") + RunsAt("large"), 40);
  loop.RunFor(absl::Seconds(3));
  ExpectCompleteResults(ReadNow(host, kJob).second, 40);
}

// Guards against a text that is continued by engines of another software version because they belong to the
// other service of the route.
TEST_F(SplitItemsTest, TextsMoveToTheOtherServiceOnlyAtTheirSoftwareVersion) {
  AddEngines("small", 1, 16);
  AddEngines("large", 2, 16);
  engines.engines.at("small0").entry.software = "v1";
  engines.engines.at("large0").entry.software = "v1";
  engines.engines.at("large1").entry.software = "v2";
  TestHost& host = AddSplitHost("h1", 50, 50);
  const BatchSubmission job = MakeJob(kJob, 24);
  for (const BatchItem& it : job.items) engines.event_counts[it.id] = 60;
  ASSERT_EQ(SubmitNow(host, job), BatchOutcome::kAccepted);
  loop.RunFor(absl::Milliseconds(800));
  ASSERT_GT(RunsAt("small"), 0);
  engines.engines.at("small0").silent = true;
  loop.RunFor(absl::Seconds(12));
  ExpectCompleteResults(ReadNow(host, kJob).second, 24);
  EXPECT_EQ(engines.mixed_resumes, 0);
}

// Guards against completed texts that wait for a score beside idle upstreams, because their call belongs to a
// service without upstreams.
TEST_F(SplitItemsTest, TextsAreScoredByTheOtherService) {
  AddEngines("small", 1, 16);
  AddScorers();
  TestHost& host = AddSplitHost("h1", 1, 0);
  Policy policy = host.directory.PolicyInForce();
  policy.version = 3;
  policy.routes[1].services = {{"gone", 50}, {"lookups", 50}};
  host.directory.ApplyPolicy(policy);
  ASSERT_EQ(SubmitNow(host, MakeScoredJob(kJob, 16)), BatchOutcome::kAccepted);
  loop.RunFor(absl::Seconds(3));
  const BatchPage page = ReadNow(host, kJob).second;
  ExpectCompleteResults(page, 16);
  ExpectScores(page);
}

// ---- Lookups ----------------------------------------------------------------------------------------------

// Lookups on a route that is split evenly over "first" (one upstream) and "second" (two upstreams).
struct SplitLookupsTest : testing::Test {
  SplitLookupsTest() {
    Policy policy = fakes::MakePolicy();
    policy.routes[1].services = {{"first", 50}, {"second", 50}};
    directory.ApplyPolicy(policy);
    Add("first", "u1");
    Add("second", "u2");
    Add("second", "u3");
  }
  void Add(const std::string& service, const std::string& id) {
    UpstreamEntry entry;
    entry.id = id;
    entry.service = service;
    entry.address = "10.0.0.9:80";
    entry.zone = "a";
    entry.slots = 100;
    entry.started_ms = 1;
    directory.ApplyUpstream(entry);
  }
  // Sends lookups with different ids, each 50 ms after the one before, and returns their statuses' counts.
  std::map<int, int> SendLookups(int count) {
    std::map<int, int> statuses;
    for (int it = 0; it < count; ++it) {
      CallerRequest request;
      request.id = absl::StrCat("r", next_id++);
      request.host = "app.example";
      request.deadline = absl::Milliseconds(1500);
      request.http = {"POST", "/l/x", {{"Host", "app.example"}}, "body"};
      frontend.Handle(std::move(request), directory.PolicyInForce().routes[1],
                      [&statuses](const HttpResponse& response) { ++statuses[response.status]; });
      loop.RunFor(absl::Milliseconds(50));
    }
    loop.RunFor(absl::Seconds(2));
    return statuses;
  }
  int SentTo(const std::string& upstream) const {
    int n = 0;
    for (const auto& it : link.sent) n += it.second.call.expected_id == upstream ? 1 : 0;
    return n;
  }

  FakeLoop loop;
  fakes::ScriptedLink link{loop};
  Directory directory;
  Frontend frontend{loop, link, directory, "a"};
  int next_id = 0;
};

// Guards against refused lookups while the upstreams of the route's other service are idle, and against a
// service that stays without work after its upstream has come back.
TEST_F(SplitLookupsTest, AServiceWithoutUpstreamsHandsItsPartOver) {
  EXPECT_EQ(SendLookups(200), (std::map<int, int>{{200, 200}}));
  EXPECT_NEAR(SentTo("u1"), 100, 25);
  directory.RemoveUpstream("u1", loop.Now(), loop.Now());
  EXPECT_EQ(SendLookups(200), (std::map<int, int>{{200, 200}}));
  const int before = SentTo("u1");
  Add("first", "u1");
  EXPECT_EQ(SendLookups(200), (std::map<int, int>{{200, 200}}));
  EXPECT_NEAR(SentTo("u1") - before, 100, 25);
}

// Guards against lookups that fail because the only upstream of their service has crashed or fallen silent
// and is still listed.
TEST_F(SplitLookupsTest, AFailedAttemptIsRepeatedAtTheOtherService) {
  fakes::ScriptedLink::Script unreachable;
  unreachable.end = CallEnd::kNotSent;
  fakes::ScriptedLink::Script silent = fakes::ScriptedLink::Success();
  silent.delay = absl::Seconds(10);
  for (const fakes::ScriptedLink::Script& script : {unreachable, silent}) {
    link.scripts["u1"].assign(500, script);
    EXPECT_EQ(SendLookups(100), (std::map<int, int>{{200, 100}}));
    EXPECT_GT(SentTo("u1"), 0);
  }
}

}  // namespace
}  // namespace oleander::serving
