// Upstreams that state how many requests per second they accept from all hosts together.
#include "serving/request_limits.h"

#include <gtest/gtest.h>

#include <deque>

#include "absl/strings/str_cat.h"
#include "serving/batch_service.h"
#include "serving/frontend.h"
#include "tests/serving_fakes.h"

namespace oleander::serving {
namespace {

using fakes::EnginePort;
using fakes::FakeEngine;
using fakes::FakeEngines;
using fakes::FakeLoop;
using fakes::FakeStore;
using fakes::StorePort;

constexpr absl::Duration kNotice =
    absl::Seconds(3);  // from the first statement of a limit until it must hold
constexpr absl::Duration kWindow = absl::Seconds(4);
constexpr absl::Duration kHostNotice =
    absl::Milliseconds(500);  // from the first answer with a limit at a host

// One host that runs batch jobs and answers lookups. All hosts share the store, the engines and the clock.
struct TestHost {
  TestHost(FakeLoop& the_loop, FakeStore& the_store, FakeEngines& the_engines, const std::string& name)
      : loop(the_loop),
        store(the_store),
        link(the_loop, the_engines),
        limits(loop, store, directory, name),
        batches(loop, store, link, directory, MakeSettings(name)),
        frontend(loop, link, directory, "a") {
    directory.ApplyPolicy(fakes::MakePolicy());
    the_engines.ApplyRegistrations(directory);
    limits.on_granted = [this] {
      batches.OnPermitsGranted();
      frontend.OnPermitsGranted();
    };
    Tick();
  }
  static BatchSettings MakeSettings(const std::string& name) {
    BatchSettings settings;
    settings.incarnation = name;
    settings.zone = "a";
    return settings;
  }
  void Tick() {
    if (store.disconnected) batches.NoteStoreUnreachable();
    batches.Tick();
    loop.After(absl::Milliseconds(20), [this] { Tick(); });
  }

  FakeLoop& loop;
  StorePort store;
  EnginePort link;
  Directory directory;
  RequestLimits limits;
  BatchService batches;
  Frontend frontend;
};

struct RequestLimitsTest : testing::Test {
  TestHost& AddHost() {
    hosts.push_back(std::make_unique<TestHost>(loop, store, engines, absl::StrCat("h", hosts.size())));
    return *hosts.back();
  }
  void AddEngines(int count, int slots) {
    for (int it = 0; it < count; ++it) {
      FakeEngine& engine = engines.Add(absl::StrCat("e", it), "engines", "a", slots);
      engine.weights["words"] = 5;
    }
  }
  void AddLookups(int count) {
    for (int it = 0; it < count; ++it)
      engines.Add(absl::StrCat("u", it), "lookups", "a", 6).event_interval = absl::Milliseconds(2);
  }
  // All upstreams of a service state a limit from now on.
  void StateLimit(const std::string& service, std::optional<double> limit) {
    for (std::pair<const std::string, FakeEngine>& it : engines.engines) {
      if (it.second.entry.service == service) it.second.request_limit = limit;
    }
    stated_at = loop.Now();
  }
  void Submit(TestHost& host, const std::string& id, int items) {
    BatchSubmission job;
    job.id = id;
    job.host = "train.example";
    job.path = "/r/1";
    job.model = "words";
    job.min_version = 5;
    for (int it = 0; it < items; ++it) {
      BatchItem item;
      item.id = absl::StrCat(id, "-", it);
      item.target = absl::StrCat("/r/", it);
      item.headers = {{"Model", "words"}};
      item.group = absl::StrCat("g", it / 4);
      job.items.push_back(item);
    }
    host.batches.Submit(std::move(job), [](BatchOutcome) {});
  }
  // Sends a lookup to a host every `interval` for `duration`; the answers' statuses go to `statuses`.
  void SendLookups(TestHost& host, absl::Duration interval, absl::Duration duration) {
    if (duration <= absl::ZeroDuration()) return;
    CallerRequest request;
    request.id = absl::StrCat("r", next_request++);
    request.deadline = absl::Milliseconds(1500);
    request.http = {"POST", "/l/x", {}, ""};
    host.frontend.Handle(std::move(request), host.directory.PolicyInForce().routes[1],
                         [this](HttpResponse response) { ++statuses[response.status]; });
    loop.After(interval,
               [this, &host, interval, duration] { SendLookups(host, interval, duration - interval); });
  }
  // The most requests that one engine got in any window, once its limit must hold at all hosts.
  int MostInWindow(absl::Time from) const {
    std::map<std::string, std::vector<absl::Time>> arrivals;
    for (const fakes::RunRecord& it : engines.arrivals) {
      if (it.at >= from) arrivals[it.engine].push_back(it.at);
    }
    std::size_t most = 0;
    for (const std::pair<const std::string, std::vector<absl::Time>>& it : arrivals) {
      std::size_t first = 0;
      for (std::size_t last = 0; last < it.second.size(); ++last) {
        while (it.second[last] - it.second[first] >= kWindow) ++first;
        most = std::max(most, last - first + 1);
      }
    }
    return static_cast<int>(most);
  }
  static int Allowed(double limit) {
    return static_cast<int>(1.5 * limit * absl::ToDoubleSeconds(kWindow)) + 5;
  }

  FakeLoop loop;
  FakeStore store{loop};
  FakeEngines engines{loop};
  std::vector<std::unique_ptr<TestHost>> hosts;
  absl::Time stated_at;
  std::map<int, int> statuses;
  int next_request = 0;
};

// Failure: owners placed items by free slots only, and engines got a multiple of the limit that they had
// stated.
TEST_F(RequestLimitsTest, OwnersTogetherKeepTheLimitOfAnEngine) {
  AddEngines(2, 16);
  for (int it = 0; it < 3; ++it) AddHost();
  StateLimit("engines", 4);
  for (int round = 0; round < 6; ++round) {
    for (std::size_t it = 0; it < hosts.size(); ++it)
      Submit(*hosts[it], absl::StrCat("j", round, "-", it), 60);
    loop.RunFor(absl::Seconds(4));
  }
  EXPECT_LE(MostInWindow(stated_at + kNotice + kHostNotice), Allowed(4));
}

// Failure: the sum over many hosts was above the limit although each host sent little.
TEST_F(RequestLimitsTest, LookupsOfManyHostsTogetherKeepTheLimit) {
  AddLookups(2);
  for (int it = 0; it < 30; ++it) AddHost();
  StateLimit("lookups", 3);
  for (const std::unique_ptr<TestHost>& it : hosts) {
    SendLookups(*it, absl::Milliseconds(500), absl::Seconds(12));
    loop.RunFor(absl::Milliseconds(17));
  }
  loop.RunFor(absl::Seconds(13));
  EXPECT_LE(MostInWindow(stated_at + kNotice + kHostNotice), Allowed(3));
}

// Failure: with most of its work stopped, an engine was used far below the limit that it had stated.
TEST_F(RequestLimitsTest, WaitingItemsUseTheLimit) {
  AddEngines(1, 16);
  for (int it = 0; it < 3; ++it) AddHost();
  StateLimit("engines", 5);
  for (std::size_t it = 0; it < hosts.size(); ++it) Submit(*hosts[it], absl::StrCat("j", it), 100);
  loop.RunFor(absl::Seconds(4));
  const std::size_t before = engines.arrivals.size();
  loop.RunFor(absl::Seconds(8));
  EXPECT_GE(engines.arrivals.size() - before, 8 * 5 * 0.8);
}

TEST_F(RequestLimitsTest, ALiftedLimitIsNoticedByTheNextAnswer) {
  AddEngines(2, 16);
  AddHost();
  StateLimit("engines", 2);
  Submit(*hosts[0], "j0", 120);
  loop.RunFor(absl::Seconds(5));
  StateLimit("engines", std::nullopt);
  const std::size_t before = engines.arrivals.size();
  loop.RunFor(absl::Seconds(2));
  EXPECT_GE(engines.arrivals.size() - before, 32u);  // every slot of both engines
}

// Failure: without the store, hosts either stop or forget each other's requests.
TEST_F(RequestLimitsTest, TheLimitHoldsThroughAStoreOutage) {
  AddEngines(2, 16);
  for (int it = 0; it < 3; ++it) AddHost();
  StateLimit("engines", 4);
  for (std::size_t it = 0; it < hosts.size(); ++it) Submit(*hosts[it], absl::StrCat("j", it), 300);
  loop.RunFor(absl::Seconds(5));
  for (const std::unique_ptr<TestHost>& it : hosts) it->store.disconnected = true;
  loop.RunFor(absl::Seconds(2));
  const std::size_t before = engines.arrivals.size();
  loop.RunFor(absl::Seconds(6));
  EXPECT_GE(engines.arrivals.size() - before, 6 * 4 * 2 * 0.3);  // still in use
  for (const std::unique_ptr<TestHost>& it : hosts) it->store.disconnected = false;
  loop.RunFor(absl::Seconds(6));
  EXPECT_LE(MostInWindow(stated_at + kNotice + kHostNotice), Allowed(4));
}

TEST_F(RequestLimitsTest, TheLimitHoldsWhileTheStoreTurnsSomeHostsAway) {
  AddEngines(2, 16);
  for (int it = 0; it < 4; ++it) AddHost();
  StateLimit("engines", 6);
  for (std::size_t it = 0; it < hosts.size(); ++it) Submit(*hosts[it], absl::StrCat("j", it), 300);
  loop.RunFor(absl::Seconds(5));
  hosts[0]->store.disconnected = true;
  hosts[1]->store.disconnected = true;
  loop.RunFor(absl::Seconds(8));
  EXPECT_LE(MostInWindow(stated_at + kNotice + kHostNotice), Allowed(6));
}

TEST_F(RequestLimitsTest, TheLimitHoldsWhileTheStoreIsSlow) {
  AddEngines(2, 16);
  for (int it = 0; it < 3; ++it) AddHost();
  StateLimit("engines", 6);
  for (std::size_t it = 0; it < hosts.size(); ++it) Submit(*hosts[it], absl::StrCat("j", it), 300);
  loop.RunFor(absl::Seconds(4));
  for (const int delay_ms : {300, 700, 1500, 100}) {
    for (std::size_t it = 0; it < hosts.size(); ++it)
      hosts[it]->store.extra_delay = absl::Milliseconds(delay_ms * static_cast<int>(it + 1) / 3);
    loop.RunFor(absl::Seconds(4));
  }
  EXPECT_LE(MostInWindow(stated_at + kNotice + kHostNotice), Allowed(6));
}

// Answers to draws that took effect are lost: their tokens are not used twice.
TEST_F(RequestLimitsTest, TheLimitHoldsWhenAnswersOfTheStoreAreLost) {
  AddEngines(2, 16);
  for (int it = 0; it < 3; ++it) AddHost();
  StateLimit("engines", 5);
  for (std::size_t it = 0; it < hosts.size(); ++it) {
    Submit(*hosts[it], absl::StrCat("j", it), 200);
    const std::shared_ptr<int> writes = std::make_shared<int>(0);
    hosts[it]->store.commit_fault = [writes](const Transaction&) {
      return ++*writes % 4 == 0 ? fakes::StoreFault::kLoseAnswer : fakes::StoreFault::kNone;
    };
  }
  loop.RunFor(absl::Seconds(14));
  EXPECT_LE(MostInWindow(stated_at + kNotice + kHostNotice), Allowed(5));
}

// A lookup without a permit is refused as not run within the time that a draw takes, not held to its
// deadline.
TEST_F(RequestLimitsTest, LookupsAboveTheLimitAreRefusedSoon) {
  AddLookups(2);
  TestHost& host = AddHost();
  StateLimit("lookups", 2);
  SendLookups(host, absl::Milliseconds(50), absl::Seconds(6));
  loop.RunFor(absl::Seconds(6) + absl::Milliseconds(70));
  EXPECT_EQ(host.frontend.OpenRequests(), 0);
  EXPECT_GE(statuses[503], 60);
  EXPECT_GE(statuses[200], 6 * 2 * 2 * 7 / 10);
  EXPECT_EQ(statuses[200] + statuses[503], 120);
}

TEST_F(RequestLimitsTest, LookupsUseAnUpstreamWithoutALimitFirst) {
  AddLookups(2);
  TestHost& host = AddHost();
  engines.engines["u0"].request_limit = 1;
  SendLookups(host, absl::Milliseconds(20), absl::Seconds(4));
  loop.RunFor(absl::Seconds(5));
  EXPECT_EQ(statuses[503], 0);
}

TEST_F(RequestLimitsTest, BudgetsOfUpstreamsThatAreGoneAreRemoved) {
  AddEngines(2, 16);
  TestHost& host = AddHost();
  StateLimit("engines", 4);
  Submit(host, "j0", 60);
  loop.RunFor(absl::Seconds(3));
  ASSERT_EQ(store.rows["request_budget/e0"].size(), 1u);
  host.directory.RemoveUpstream("e0", loop.Now(), loop.Now());
  loop.RunFor(absl::Minutes(11));
  host.directory.Expire(loop.Now());
  host.limits.Sweep();
  loop.RunFor(absl::Seconds(1));
  EXPECT_TRUE(store.rows["request_budget/e0"].empty());
  EXPECT_EQ(store.rows["request_budget/e1"].size(), 1u);
}

// Failure: a host that had not sent to the upstreams since their limit was lifted refused all lookups in an
// outage.
TEST_F(RequestLimitsTest, AHostCutOffFromTheStoreNoticesThatAnOldLimitWasLifted) {
  AddLookups(2);
  TestHost& host = AddHost();
  StateLimit("lookups", 1);
  SendLookups(host, absl::Milliseconds(500), absl::Seconds(2));
  loop.RunFor(absl::Seconds(3));
  StateLimit("lookups", std::nullopt);
  host.store.disconnected = true;
  loop.RunFor(absl::Seconds(30));
  SendLookups(host, absl::Milliseconds(200), absl::Seconds(4));
  loop.RunFor(absl::Seconds(3));
  statuses.clear();
  loop.RunFor(absl::Seconds(2));
  EXPECT_GT(statuses[200], 0);
  EXPECT_EQ(statuses[503], 0);
}

UpstreamState LimitedUpstream(double limit, absl::Time now) {
  UpstreamState upstream;
  AnswerHead head;
  head.status = 200;
  head.request_limit = limit;
  ObserveRequestLimit(upstream, head, now, now);
  return upstream;
}

TEST(RequestLimitTest, AnAnswerThatWasOvertakenDoesNotLiftTheLimit) {
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  UpstreamState upstream = LimitedUpstream(3, now);
  AnswerHead unlimited;
  unlimited.status = 200;
  ObserveRequestLimit(upstream, unlimited, now - absl::Milliseconds(5), now + absl::Milliseconds(1));
  EXPECT_FALSE(HasPermit(upstream, now));
  AnswerHead refusal;
  refusal.status = 503;
  ObserveRequestLimit(upstream, refusal, now + absl::Seconds(1), now + absl::Seconds(1));
  EXPECT_FALSE(HasPermit(upstream, now));
  ObserveRequestLimit(upstream, unlimited, now + absl::Seconds(1), now + absl::Seconds(1));
  EXPECT_TRUE(HasPermit(upstream, now));
}

// Replays the draws of many hosts that want as much as they can get, for a minute, at several limits.
TEST(RequestBudgetTest, DrawsInAnyWindowStayWithinTheLimit) {
  for (const double limit : {0.0, 0.4, 1.0, 3.7, 20.0, 300.0}) {
    RequestBudget budget;
    std::deque<std::pair<absl::Duration, int>> recent;
    int in_window = 0;
    for (int ms = 0; ms < 60000; ms += 7) {
      const absl::Duration now = absl::Milliseconds(ms);
      const int drawn = DrawTokens(budget, {absl::StrCat("h", ms % 40), limit, now, 50, now});
      recent.push_back({now, drawn});
      in_window += drawn;
      while (now - recent.front().first > kWindow + kTokenLifetime) {
        in_window -= recent.front().second;
        recent.pop_front();
      }
      ASSERT_LE(in_window, 1.5 * limit * absl::ToDoubleSeconds(kWindow) + 5) << limit;
    }
  }
}

TEST(RequestBudgetTest, TheNewestStatementOfTheLimitCounts) {
  RequestBudget budget;
  DrawTokens(budget, {"h1", 4, absl::Seconds(10), 1, absl::Seconds(10)});
  DrawTokens(budget, {"h2", 9, absl::Seconds(5), 1, absl::Seconds(11)});
  EXPECT_EQ(budget.limit, 4);
  const std::optional<RequestBudget> decoded = DecodeBudget(EncodeBudget(budget));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->limit, 4);
  EXPECT_EQ(decoded->tokens, budget.tokens);
  EXPECT_EQ(decoded->senders, budget.senders);
  EXPECT_FALSE(DecodeBudget("[1]").has_value());
}

TEST(RequestBudgetTest, HostsShareHalfOfTheLimitDuringAnOutage) {
  RequestBudget budget;
  for (int it = 0; it < 8; ++it) budget.senders[absl::StrCat("h", it)] = absl::Seconds(1);
  EXPECT_DOUBLE_EQ(OutageRate(budget, "h1", 16, 0), 1);
  EXPECT_DOUBLE_EQ(OutageRate(budget, "stranger", 16, 0), 0);
  EXPECT_DOUBLE_EQ(OutageRate(std::nullopt, "h1", 16, 2), 2);
}

}  // namespace
}  // namespace oleander::serving
